//===- StoreClock.h - The store's own time ----------------------*- C++ -*-===//

#ifndef POLLENSPOOL_STORE_STORECLOCK_H
#define POLLENSPOOL_STORE_STORECLOCK_H

#include "base/Time.h"
#include <optional>

namespace pollenspool {

/// Follows the steady clock that the store tells with its answers: the one time
/// that all instances share. Answers arrive late, by seconds where a process
/// falls behind, so the one that came soonest counts. One thread.
class StoreClock {
public:
  /// An answer that arrived at \p Now told \p Told; 0: it told none.
  void note(std::chrono::milliseconds Told, TimePoint Now) {
    if (Told.count() == 0 || (m_Told.count() > 0 && *at(Now) >= Told))
      return;
    m_Told = Told;
    m_ToldAt = Now;
  }
  /// The store's time at \p Now, at the least; nothing before the first answer.
  std::optional<std::chrono::milliseconds> at(TimePoint Now) const {
    if (m_Told.count() == 0)
      return std::nullopt;
    return m_Told + std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - m_ToldAt);
  }

private:
  std::chrono::milliseconds m_Told{0};
  TimePoint m_ToldAt{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_STORECLOCK_H
