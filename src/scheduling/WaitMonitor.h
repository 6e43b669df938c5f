//===- WaitMonitor.h - Reports jobs that wait -------------------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_WAITMONITOR_H
#define POLLENSPOOL_SCHEDULING_WAITMONITOR_H

#include "scheduling/ProgressWriter.h"
#include "scheduling/Scheduler.h"
#include <array>

namespace pollenspool {

/// Finds jobs of which nothing has run for a while, each second, and logs those
/// that wait for longest. Does no other I/O. Not thread safe.
class WaitMonitor {
public:
  /// A job that waits.
  struct Wait {
    JobId m_Job;
    /// Its first waiting task; empty if none is ready.
    std::string m_Task;
    /// Ready tasks, and tasks whose start is planned.
    std::size_t m_Tasks = 0;
    Duration m_Waited{0};
    WaitReason m_Reason = WaitReason::None;
    std::string m_Description;
  };
  /// The result of one search.
  struct Report {
    /// The longest waits first, at most 20.
    std::vector<Wait> m_Longest;
    /// Number of waiting jobs by reason.
    std::array<std::size_t, WaitReasonCount> m_Counts{};
    std::size_t m_Jobs = 0;
  };

  /// \p Core and \p Writer must outlive the monitor.
  static std::unique_ptr<WaitMonitor> create(Scheduler &Core,
                                             const ProgressWriter &Writer);

  /// Searches and logs if a second has passed since the last time. To be called
  /// after a tick of the scheduler.
  void update(TimePoint Now);
  /// The result of the latest search.
  const Report &report() const { return m_Report; }
  /// Describes for operators why the next task of a job has not started.
  std::string explain(const JobId &Id, TimePoint Now) const;

private:
  WaitMonitor(Scheduler &Core, const ProgressWriter &Writer)
      : m_Core(Core), m_Writer(Writer) {}
  std::vector<LiveJob *> findWaitingJobs(TimePoint Now) const;
  Wait describe(const LiveJob &Job, WaitReason Reason, TimePoint Now) const;
  /// What the record of a start waits for; empty for other reasons.
  std::string describeRecord(const LiveJob &Job, WaitReason Reason,
                             TimePoint Now) const;
  void log() const;

  Scheduler &m_Core;
  const ProgressWriter &m_Writer;
  TimePoint m_NextSearchAt{};
  Report m_Report;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_WAITMONITOR_H
