//===- StoreLatency.h - How long the store takes ----------------*- C++ -*-===//

#ifndef POLLENSPOOL_STORE_STORELATENCY_H
#define POLLENSPOOL_STORE_STORELATENCY_H

#include "base/Time.h"

namespace pollenspool {

/// Estimates how long calls of the store take from the calls that it answered
/// lately. Calls without an answer are not counted, since their answers may
/// have been lost. Does no I/O. Not thread safe.
class StoreLatency {
public:
  /// A call that took \p Took was answered at \p Now, which must not decrease.
  void onAnswer(Duration Took, TimePoint Now);
  /// A call was given up after \p Timeout at \p Now. Lengthens the next timeout
  /// if no call is answered at all, since the store may take longer than that.
  void onTimeout(Duration Timeout, TimePoint Now);
  /// The longest time that a call took lately; 0 if none was answered.
  Duration expected(TimePoint Now) const;
  /// Whether the store takes many times as long as usual.
  bool isSlow(TimePoint Now) const;
  /// Timeout for a call: \p Usual, or longer while the store is slow, at most
  /// \p Longest. Giving up a call whose answer is still to come only adds
  /// load, and leaves it open whether the call was carried out.
  Duration callTimeout(Duration Usual, Duration Longest, TimePoint Now) const;

private:
  /// The maxima of the current window and the one before.
  Duration m_Current{0};
  Duration m_Previous{0};
  TimePoint m_WindowStart{};
  Duration m_LastTimeout{0};
  TimePoint m_LastTimeoutAt{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_STORELATENCY_H
