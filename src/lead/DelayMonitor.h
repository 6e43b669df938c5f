//===- DelayMonitor.h - Whether a process keeps up --------------*- C++ -*-===//

#ifndef POLLENSPOOL_LEAD_DELAYMONITOR_H
#define POLLENSPOOL_LEAD_DELAYMONITOR_H

#include "base/Time.h"

namespace pollenspool {

/// Judges by delays that should be short whether a process keeps up: of timers,
/// which grow when it lacks processor time, and of answers to orders, which
/// also grow when its link is full. One thread.
class DelayMonitor {
public:
  /// Something took \p Delay longer than it should, up to \p Now.
  void note(Duration Delay, TimePoint Now);
  /// Mean over about the last second in which anything was noted.
  Duration mean() const { return m_Mean; }
  /// Whether the delays have been long for seconds on end.
  bool isBehind(TimePoint Now) const;

private:
  Duration m_Mean{0};
  TimePoint m_Last{};
  TimePoint m_LongSince = TimePoint::max();
};

} // namespace pollenspool

#endif // POLLENSPOOL_LEAD_DELAYMONITOR_H
