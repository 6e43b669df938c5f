//===- StoreLatency.cpp - How long the store takes ------------------------===//

#include "store/StoreLatency.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// An answer counts for one to two of these.
constexpr Duration Window = std::chrono::seconds(1);
/// A call usually takes 10 ms.
constexpr Duration SlowLatency = std::chrono::milliseconds(150);
/// Ratio of the timeout to the latency of earlier calls. Transactions of one
/// partition wait for each other, so latencies vary by a few times.
constexpr int TimeoutFactor = 4;

} // namespace

void StoreLatency::onAnswer(Duration Took, TimePoint Now) {
  if (Now >= m_WindowStart + Window) {
    m_Previous = Now < m_WindowStart + 2 * Window ? m_Current : Duration(0);
    m_Current = Duration(0);
    m_WindowStart = Now;
  }
  m_Current = std::max(m_Current, Took);
}

void StoreLatency::onTimeout(Duration Timeout, TimePoint Now) {
  m_LastTimeout = Timeout;
  m_LastTimeoutAt = Now;
}

Duration StoreLatency::expected(TimePoint Now) const {
  if (Now >= m_WindowStart + 2 * Window)
    return Duration(0);
  if (Now >= m_WindowStart + Window)
    return m_Current;
  return std::max(m_Current, m_Previous);
}

bool StoreLatency::isSlow(TimePoint Now) const {
  return expected(Now) >= SlowLatency;
}

Duration StoreLatency::callTimeout(Duration Usual, Duration Longest,
                                   TimePoint Now) const {
  if (expected(Now) == Duration(0) && Now < m_LastTimeoutAt + 2 * Window)
    return std::clamp(m_LastTimeout * 2, Usual, std::max(Usual, Longest));
  if (!isSlow(Now))
    return Usual;
  return std::clamp(expected(Now) * TimeoutFactor, Usual,
                    std::max(Usual, Longest));
}

} // namespace pollenspool
