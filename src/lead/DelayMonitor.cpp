//===- DelayMonitor.cpp - Detection of an overloaded process --------------===//

#include "lead/DelayMonitor.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// Time constant of the exponentially weighted mean.
constexpr Duration AveragingWindow = std::chrono::seconds(1);
/// Upper bound of one sample, so that a single pause of the whole machine,
/// however long, has a limited effect on the mean.
constexpr Duration MaxSample = std::chrono::seconds(1);
/// Mean delay above which a leader is at risk: its timers for leases and
/// renewals are a few hundred milliseconds apart, and orders time out after
/// 500 ms.
constexpr Duration OverloadThreshold = std::chrono::milliseconds(100);
/// How long the mean has to stay above the threshold. Longer than a single
/// sample of MaxSample keeps it there: ln(1 s / 100 ms) seconds.
constexpr Duration OverloadMinDuration = std::chrono::seconds(3);

} // namespace

void DelayMonitor::addSample(Duration Delay, TimePoint Now) {
  double Passed =
      std::chrono::duration<double>(Now - m_LastSampleAt) / AveragingWindow;
  double Weight = 1 - std::exp(-Passed);
  Duration Counted = std::min(Delay, MaxSample);
  m_Mean += std::chrono::duration_cast<Duration>((Counted - m_Mean) * Weight);
  m_LastSampleAt = Now;
  if (m_Mean < OverloadThreshold)
    m_AboveThresholdSince = TimePoint::max();
  else
    m_AboveThresholdSince = std::min(m_AboveThresholdSince, Now);
}

bool DelayMonitor::isOverloaded(TimePoint Now) const {
  // Without recent samples the mean is out of date.
  return m_AboveThresholdSince != TimePoint::max() &&
         Now >= m_AboveThresholdSince + OverloadMinDuration &&
         Now < m_LastSampleAt + AveragingWindow;
}

} // namespace pollenspool
