//===- LoadMonitor.h - Processor time of an entry instance ------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_LOADMONITOR_H
#define POLLENSPOOL_ENTRY_LOADMONITOR_H

#include "base/Time.h"
#include "scheduling/Scheduler.h"
#include <array>
#include <optional>

namespace pollenspool {

/// What the process did during one window of about a second.
struct LoadWindow {
  Duration m_Length{0};
  /// Processor time of the process relative to its quota; 0 without a quota.
  double m_ShareUsed = 0;
  /// Processor time of the decisions of the leader, and their number.
  Duration m_DecisionTime{0};
  std::uint64_t m_Decisions = 0;
  /// What the scheduler counted during the window.
  std::uint64_t m_Passes = 0;
  std::uint64_t m_JobsExamined = 0;
  std::uint64_t m_ServersExamined = 0;
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Polls = 0;

  /// Whether the process used over nine tenths of its quota.
  bool isSaturated() const;
};

/// Processor time of decisions since the process started.
struct DecisionTimes {
  /// Upper bounds of the buckets, in seconds. The last bucket has none.
  static constexpr std::array<double, 10> Bounds = {
      0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5};
  /// Number of decisions in each bucket; a bucket includes its upper bound.
  std::array<std::uint64_t, Bounds.size() + 1> m_Counts{};
  std::uint64_t m_Count = 0;
  Duration m_Sum{0};
};

/// Divides the time into windows of at least a second and sums up what the
/// process does in each. Does no I/O. Not thread safe.
class LoadMonitor {
public:
  /// \p CpuShare is the quota of the process in cores; none if it is not above
  /// 0. The first window begins at \p Now, when the process has used \p Used.
  LoadMonitor(double CpuShare, Duration Used, TimePoint Now)
      : m_CpuShare(CpuShare), m_StartedAt(Now), m_UsedAtStart(Used) {}

  /// Adds one run of the leader's decisions.
  void addDecisions(Duration Used);
  /// The next counters are those of a new scheduler, which begin at 0.
  void onNewScheduler() { m_CountersAtStart = {}; }
  /// Returns the current window if it lasted for a second, and begins the next.
  /// \p Used is the processor time of the process so far. Neither it nor \p Now
  /// must decrease, nor \p Counters unless onNewScheduler() was called.
  std::optional<LoadWindow>
  update(Duration Used, const SchedulerCounters &Counters, TimePoint Now);
  /// The share of the quota that the last complete window used.
  double shareUsed() const { return m_ShareUsed; }
  const DecisionTimes &decisionTimes() const { return m_Decisions; }

private:
  double m_CpuShare;
  DecisionTimes m_Decisions;
  double m_ShareUsed = 0;
  /// Totals at the start of the current window.
  TimePoint m_StartedAt;
  Duration m_UsedAtStart;
  Duration m_DecisionTimeAtStart{0};
  std::uint64_t m_DecisionsAtStart = 0;
  SchedulerCounters m_CountersAtStart;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_LOADMONITOR_H
