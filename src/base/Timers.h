//===- Timers.h - Clock and timers of an event loop -------------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_TIMERS_H
#define POLLENSPOOL_BASE_TIMERS_H

#include "base/Time.h"
#include <functional>

namespace pollenspool {

/// A clock and timers whose callbacks run one after another on one thread.
/// EventLoop implements it; tests use a virtual clock. Not thread safe.
class Timers {
public:
  using Task = std::function<void()>;

  virtual ~Timers() = default;
  virtual TimePoint now() const = 0;
  /// Runs \p Callback once after \p Delay, never from within this call. The
  /// timer cannot be cancelled, so \p Callback has to check whether it still
  /// applies.
  virtual void after(Duration Delay, Task Callback) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_TIMERS_H
