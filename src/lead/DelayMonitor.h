//===- DelayMonitor.h - Detection of an overloaded process ------*- C++ -*-===//

#ifndef POLLENSPOOL_LEAD_DELAYMONITOR_H
#define POLLENSPOOL_LEAD_DELAYMONITOR_H

#include "base/Time.h"

namespace pollenspool {

/// Detects an overloaded process by a moving average of delays that should be
/// short. Timers are late when the process lacks processor time; answers to
/// orders are also late when its network link is saturated. Not thread safe.
class DelayMonitor {
public:
  /// Adds a delay that ended at \p Now. \p Now must not decrease.
  void addSample(Duration Delay, TimePoint Now);
  /// Mean over about the last second before the latest sample.
  Duration mean() const { return m_Mean; }
  /// Whether the mean has been too high for several seconds, up to \p Now.
  bool isOverloaded(TimePoint Now) const;

private:
  Duration m_Mean{0};
  TimePoint m_LastSampleAt{};
  /// TimePoint::max() while the mean is below the threshold.
  TimePoint m_AboveThresholdSince = TimePoint::max();
};

} // namespace pollenspool

#endif // POLLENSPOOL_LEAD_DELAYMONITOR_H
