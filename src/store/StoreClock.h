//===- StoreClock.h - Estimate of the store's clock -------------*- C++ -*-===//

#ifndef POLLENSPOOL_STORE_STORECLOCK_H
#define POLLENSPOOL_STORE_STORECLOCK_H

#include "base/Time.h"
#include <optional>

namespace pollenspool {

/// Lower bound of the store's steady clock, which all instances share. The
/// store sends its time with its answers. Answers arrive late, by seconds in an
/// overloaded process, so the answer with the least delay determines the
/// estimate. Not thread safe.
class StoreClock {
public:
  /// Takes \p StoreTime from an answer that arrived at \p Now; 0 if it had
  /// none.
  void update(std::chrono::milliseconds StoreTime, TimePoint Now) {
    if (StoreTime.count() == 0 ||
        (m_StoreTime.count() > 0 && *at(Now) >= StoreTime))
      return;
    m_StoreTime = StoreTime;
    m_ReceivedAt = Now;
  }
  /// The earliest possible store time at \p Now; nothing before the first
  /// answer.
  std::optional<std::chrono::milliseconds> at(TimePoint Now) const {
    if (m_StoreTime.count() == 0)
      return std::nullopt;
    return m_StoreTime + std::chrono::duration_cast<std::chrono::milliseconds>(
                             Now - m_ReceivedAt);
  }

private:
  std::chrono::milliseconds m_StoreTime{0};
  TimePoint m_ReceivedAt{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_STORECLOCK_H
