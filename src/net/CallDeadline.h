//===- CallDeadline.h - When a call is given up -----------------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_CALLDEADLINE_H
#define POLLENSPOOL_NET_CALLDEADLINE_H

#include "base/Time.h"
#include <algorithm>

namespace pollenspool {

/// When a call is given up: after its timeout, or later while its reply
/// advances. The time for a whole reply depends on its size and on the rate of
/// the link, so no fixed timeout suits all. Does no I/O. Not thread safe.
class CallDeadline {
public:
  /// Longest time without progress once a reply has begun.
  static constexpr Duration StallTimeout = std::chrono::seconds(1);
  /// Longest time of a call, so that a peer which sends a few bytes now and
  /// then does not hold a connection forever. The largest reply takes 7 s at
  /// 10 Mbit/s.
  static constexpr Duration MaxCallTime = std::chrono::seconds(20);

  CallDeadline() = default;
  CallDeadline(TimePoint StartedAt, Duration Timeout)
      : m_At(StartedAt + Timeout),
        m_Latest(std::max(StartedAt + MaxCallTime, m_At)) {}

  TimePoint at() const { return m_At; }
  /// A part of the reply arrived at \p Now.
  /// Returns whether the deadline is later now.
  bool onProgress(TimePoint Now) {
    TimePoint Extended = std::min(Now + StallTimeout, m_Latest);
    if (Extended <= m_At)
      return false;
    m_At = Extended;
    return true;
  }

private:
  TimePoint m_At{};
  TimePoint m_Latest{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_CALLDEADLINE_H
