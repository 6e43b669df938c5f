//===- VirtualTimers.h - Timers on a virtual clock --------------*- C++ -*-===//

#ifndef POLLENSPOOL_STORE_TESTING_VIRTUALTIMERS_H
#define POLLENSPOOL_STORE_TESTING_VIRTUALTIMERS_H

#include "base/Timers.h"
#include <cstdint>
#include <map>
#include <utility>

namespace pollenspool {

/// Timers whose clock moves only in runUntil(). Timers of the same time expire
/// in the order in which they were set. Not thread safe.
class VirtualTimers final : public Timers {
public:
  TimePoint now() const override { return m_Now; }
  void after(Duration Delay, Task Callback) override {
    m_Tasks.emplace(std::pair(m_Now + Delay, ++m_LastTask),
                    std::move(Callback));
  }
  /// Runs all callbacks that are due until \p End, and those that they set.
  void runUntil(TimePoint End) {
    while (!m_Tasks.empty() && m_Tasks.begin()->first.first <= End) {
      auto Next = m_Tasks.extract(m_Tasks.begin());
      m_Now = Next.key().first;
      Next.mapped()();
    }
    m_Now = End;
  }
  void runFor(Duration Time) { runUntil(m_Now + Time); }

private:
  TimePoint m_Now{std::chrono::seconds(1000)};
  std::map<std::pair<TimePoint, std::uint64_t>, Task> m_Tasks;
  std::uint64_t m_LastTask = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_TESTING_VIRTUALTIMERS_H
