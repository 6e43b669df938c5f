//===- Time.h - Clock types of the decision core ----------------*- C++ -*-===//
//
// The core never reads a clock: each event carries the time at which the shell
// saw it. Steady time orders events of one process; wall time appears only in
// rows that other processes read.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_TIME_H
#define POLLENSPOOL_BASE_TIME_H

#include <chrono>

namespace pollenspool {

using Clock = std::chrono::steady_clock;
using TimePoint = std::chrono::time_point<Clock, std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

/// The steady clock in the core's resolution. Thread safe; for shells only.
inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(Clock::now());
}

/// Wall time since the Unix epoch. Thread safe; for shells only.
inline std::chrono::milliseconds wallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_TIME_H
