//===- Time.h - Clock and duration types ------------------------*- C++ -*-===//
//
// The decision cores never read a clock: they receive the time of each event
// from their I/O drivers. Steady time orders the events of one process;
// wall-clock time is used only in rows that other processes read.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_TIME_H
#define POLLENSPOOL_BASE_TIME_H

#include <chrono>

namespace pollenspool {

using Clock = std::chrono::steady_clock;
using TimePoint = std::chrono::time_point<Clock, std::chrono::microseconds>;
using Duration = std::chrono::microseconds;

/// The steady clock's time in microseconds. Not for use in decision cores.
/// Thread safe.
inline TimePoint steadyNow() {
  return std::chrono::time_point_cast<Duration>(Clock::now());
}

/// Wall-clock time since the Unix epoch. Not for use in decision cores. Thread
/// safe.
inline std::chrono::milliseconds wallNow() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_TIME_H
