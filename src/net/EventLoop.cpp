//===- EventLoop.cpp - One thread that serves sockets and timers ----------===//

#include "net/EventLoop.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <ctime>

namespace pollenspool {

namespace asio = boost::asio;

struct EventLoop::Parts {
  /// One thread: Asio then leaves its locks out.
  asio::io_context m_Context{1};
  asio::signal_set m_Signals{m_Context};
  std::function<void(int)> m_OnSignal;

  void waitForSignal() {
    m_Signals.async_wait(
        [this](const boost::system::error_code &Failed, int N) {
          if (Failed)
            return;
          m_OnSignal(N);
          waitForSignal();
        });
  }
};

EventLoop::EventLoop(std::unique_ptr<Parts> P) : m_Parts(std::move(P)) {}
EventLoop::~EventLoop() = default;

std::unique_ptr<EventLoop> EventLoop::create() {
  std::signal(SIGPIPE, SIG_IGN);
  return std::unique_ptr<EventLoop>(new EventLoop(std::make_unique<Parts>()));
}

TimePoint EventLoop::now() const {
  timespec Spec{};
  clock_gettime(CLOCK_BOOTTIME, &Spec);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(Spec.tv_sec) +
      std::chrono::nanoseconds(Spec.tv_nsec)));
}

void EventLoop::after(Duration Wait, Task What) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Parts->m_Context, Wait);
  Timer->async_wait(
      [Timer, What = std::move(What)](const boost::system::error_code &Failed) {
        if (!Failed)
          What();
      });
}

void EventLoop::every(Duration Period, Task What) {
  after(Period, [this, Period, What = std::move(What)]() mutable {
    What();
    every(Period, std::move(What));
  });
}

void EventLoop::onSignal(std::function<void(int)> What) {
  m_Parts->m_OnSignal = std::move(What);
  for (int N : {SIGTERM, SIGINT, SIGHUP})
    m_Parts->m_Signals.add(N);
  m_Parts->waitForSignal();
}

void EventLoop::run() {
  auto Guard = asio::make_work_guard(m_Parts->m_Context);
  m_Parts->m_Context.run();
}

void EventLoop::stop() { m_Parts->m_Context.stop(); }

asio::io_context &EventLoop::context() { return m_Parts->m_Context; }

} // namespace pollenspool
