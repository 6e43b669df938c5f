//===- EventLoop.h - Single-threaded event loop with timers -----*- C++ -*-===//
//
// Each stand-in runs on one epoll loop. Not thread safe: all calls must come
// from the thread that runs the loop, or be made before run().
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_COMMON_EVENTLOOP_H
#define STANDIN_COMMON_EVENTLOOP_H

#include "common/Expected.h"
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace standin {

using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Wall-clock time since the Unix epoch. Thread safe.
Milliseconds wallTime();

/// Dispatches epoll events, timers and termination signals on one thread.
class EventLoop {
public:
  using Ready = std::function<void(std::uint32_t Events)>;
  using Task = std::function<void()>;
  using WatchId = std::uint64_t;
  using TimerId = std::uint64_t;

  static Expected<std::unique_ptr<EventLoop>> create();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Registers \p Fd with epoll and calls \p OnReady with its events until
  /// unwatch().
  WatchId watch(int Fd, std::uint32_t Events, Ready OnReady);
  /// Changes the epoll events for which a watched descriptor is reported.
  void rearm(WatchId Id, int Fd, std::uint32_t Events);
  /// Unregisters a watch. Must be called before \p Fd is closed.
  void unwatch(WatchId Id, int Fd);

  /// Runs \p Work once after \p Delay. The returned ID is never 0.
  TimerId after(SteadyClock::duration Delay, Task Work);
  /// Cancels a timer. Does nothing if it has already run.
  void cancel(TimerId Id);

  /// Makes SIGTERM and SIGINT end run(); ignores SIGPIPE.
  Expected<void> stopOnSignals();
  /// Processes events until stop() is called or a signal stops the loop.
  void run();
  void stop() { m_Stopped = true; }

private:
  struct Timer {
    SteadyClock::time_point m_Due;
    TimerId m_Id = 0;
    bool operator<(const Timer &Other) const;
  };

  EventLoop() = default;
  void runDueTimers();
  int waitMilliseconds() const;
  void dispatch(WatchId Id, std::uint32_t Events);

  int m_Epoll = -1;
  int m_Signals = -1;
  bool m_Stopped = false;
  std::uint64_t m_NextId = 1;
  std::unordered_map<WatchId, std::shared_ptr<Ready>> m_Watches;
  std::map<Timer, Task> m_Timers;
  std::unordered_map<TimerId, SteadyClock::time_point> m_TimerDue;
};

} // namespace standin

#endif // STANDIN_COMMON_EVENTLOOP_H
