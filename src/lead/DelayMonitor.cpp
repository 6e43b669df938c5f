//===- DelayMonitor.cpp - Whether a process keeps up ----------------------===//

#include "lead/DelayMonitor.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

constexpr Duration Window = std::chrono::seconds(1);
/// One pause of the whole machine, however long, counts as this much.
constexpr Duration MostAtOnce = std::chrono::seconds(1);
/// Delays that endanger a leader: its timers for leases and renewals are a few
/// hundred milliseconds apart, and orders time out after 500 ms.
constexpr Duration Long = std::chrono::milliseconds(100);
/// Longer than the window takes to forget one pause: ln(1 s / 100 ms) seconds.
constexpr Duration LongFor = std::chrono::seconds(3);

} // namespace

void DelayMonitor::note(Duration Delay, TimePoint Now) {
  double Passed = std::chrono::duration<double>(Now - m_Last) / Window;
  double Weight = 1 - std::exp(-Passed);
  Duration Counted = std::min(Delay, MostAtOnce);
  m_Mean += std::chrono::duration_cast<Duration>((Counted - m_Mean) * Weight);
  m_Last = Now;
  if (m_Mean < Long)
    m_LongSince = TimePoint::max();
  else
    m_LongSince = std::min(m_LongSince, Now);
}

bool DelayMonitor::isBehind(TimePoint Now) const {
  // Delays of long ago say nothing.
  return m_LongSince != TimePoint::max() && Now >= m_LongSince + LongFor &&
         Now < m_Last + Window;
}

} // namespace pollenspool
