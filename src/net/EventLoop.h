//===- EventLoop.h - One thread that serves sockets and timers --*- C++ -*-===//

#ifndef POLLENSPOOL_NET_EVENTLOOP_H
#define POLLENSPOOL_NET_EVENTLOOP_H

#include "base/Time.h"
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace pollenspool {

/// The loop of a single-threaded process. All callbacks run on the thread that
/// is in run(); no member may be called from another thread.
class EventLoop {
public:
  using Task = std::function<void()>;

  static std::unique_ptr<EventLoop> create();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  /// Time since boot. Unlike the steady clock it goes on while the system is
  /// suspended, so a lease that ran out meanwhile is seen as run out.
  TimePoint now() const;
  /// Runs \p What once after \p Wait. It cannot be taken back; \p What has to
  /// check that it is still wanted.
  void after(Duration Wait, Task What);
  /// Runs \p What every \p Period until the loop ends.
  void every(Duration Period, Task What);
  /// Calls \p What with the signal's number for each of SIGTERM, SIGINT and
  /// SIGHUP. Call at most once.
  void onSignal(std::function<void(int)> What);
  /// Serves until stop() is called.
  void run();
  void stop();

  /// The context for sockets; for files of this folder.
  boost::asio::io_context &context();

private:
  struct Parts;
  explicit EventLoop(std::unique_ptr<Parts> P);
  std::unique_ptr<Parts> m_Parts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_EVENTLOOP_H
