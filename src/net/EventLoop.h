//===- EventLoop.h - Single-threaded event loop -----------------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_EVENTLOOP_H
#define POLLENSPOOL_NET_EVENTLOOP_H

#include "base/Timers.h"
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace pollenspool {

/// The event loop of a single-threaded process, with sockets, timers and
/// signals. All callbacks run on the thread that calls run(). Not thread safe:
/// no member may be called from another thread.
class EventLoop final : public Timers {
public:
  /// Creates a loop and makes the process ignore SIGPIPE.
  static std::unique_ptr<EventLoop> create();
  ~EventLoop() override;
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Time since boot. Unlike the steady clock it advances while the system is
  /// suspended, so that leases that expire during a suspension are seen as
  /// expired.
  TimePoint now() const override { return clockNow(); }
  /// The clock of now(). Thread safe, also in a signal handler.
  static TimePoint clockNow();
  void after(Duration Delay, Task Callback) override;
  /// Runs \p Callback repeatedly until the loop is stopped; \p Period lies
  /// between the end of one run and the start of the next.
  void every(Duration Period, Task Callback);
  /// Calls \p Callback with the signal number for each SIGTERM, SIGINT and
  /// SIGHUP. May be called at most once.
  void onSignal(std::function<void(int)> Callback);
  /// Runs callbacks until stop() is called.
  void run();
  /// Makes run() return after the current callback.
  void stop();

  /// The Asio context for sockets. For use in src/net only.
  boost::asio::io_context &context();

private:
  struct Impl;
  explicit EventLoop(std::unique_ptr<Impl> P);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_EVENTLOOP_H
