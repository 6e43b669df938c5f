//===- EventLoop.cpp - Single-threaded event loop -------------------------===//

#include "net/EventLoop.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <ctime>

namespace pollenspool {

namespace asio = boost::asio;

struct EventLoop::Impl {
  /// The concurrency hint 1 lets Asio omit its internal locking.
  asio::io_context m_Context{1};
  asio::signal_set m_Signals{m_Context};
  std::function<void(int)> m_OnSignal;

  void waitForSignal() {
    m_Signals.async_wait(
        [this](const boost::system::error_code &Failed, int SignalNumber) {
          if (Failed)
            return;
          m_OnSignal(SignalNumber);
          waitForSignal();
        });
  }
};

EventLoop::EventLoop(std::unique_ptr<Impl> P) : m_Impl(std::move(P)) {}
EventLoop::~EventLoop() = default;

std::unique_ptr<EventLoop> EventLoop::create() {
  std::signal(SIGPIPE, SIG_IGN);
  return std::unique_ptr<EventLoop>(new EventLoop(std::make_unique<Impl>()));
}

TimePoint EventLoop::clockNow() {
  timespec Spec{};
  clock_gettime(CLOCK_BOOTTIME, &Spec);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Spec.tv_sec) +
      std::chrono::nanoseconds(Spec.tv_nsec)));
}

void EventLoop::after(Duration Delay, Task Callback) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Impl->m_Context, Delay);
  Timer->async_wait([Timer, Callback = std::move(Callback)](
                        const boost::system::error_code &Failed) {
    if (!Failed)
      Callback();
  });
}

void EventLoop::every(Duration Period, Task Callback) {
  after(Period, [this, Period, Callback = std::move(Callback)]() mutable {
    Callback();
    every(Period, std::move(Callback));
  });
}

void EventLoop::onSignal(std::function<void(int)> Callback) {
  m_Impl->m_OnSignal = std::move(Callback);
  for (int SignalNumber : {SIGTERM, SIGINT, SIGHUP})
    m_Impl->m_Signals.add(SignalNumber);
  m_Impl->waitForSignal();
}

void EventLoop::run() {
  auto Guard = asio::make_work_guard(m_Impl->m_Context);
  m_Impl->m_Context.run();
}

void EventLoop::stop() { m_Impl->m_Context.stop(); }

asio::io_context &EventLoop::context() { return m_Impl->m_Context; }

} // namespace pollenspool
