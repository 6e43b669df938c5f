//===- EventLoop.cpp - Single-threaded event loop with timers -------------===//

#include "common/EventLoop.h"
#include <array>
#include <csignal>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <tuple>
#include <unistd.h>

namespace standin {

namespace {
constexpr std::size_t EventBatch = 256;
} // namespace

Milliseconds wallTime() {
  return std::chrono::duration_cast<Milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

bool EventLoop::Timer::operator<(const Timer &Other) const {
  return std::tie(m_Due, m_Id) < std::tie(Other.m_Due, Other.m_Id);
}

Expected<std::unique_ptr<EventLoop>> EventLoop::create() {
  std::unique_ptr<EventLoop> Loop(new EventLoop());
  Loop->m_Epoll = ::epoll_create1(EPOLL_CLOEXEC);
  if (Loop->m_Epoll < 0)
    return systemError("epoll_create1");
  return Loop;
}

EventLoop::~EventLoop() {
  if (m_Signals >= 0)
    ::close(m_Signals);
  if (m_Epoll >= 0)
    ::close(m_Epoll);
}

EventLoop::WatchId EventLoop::watch(int Fd, std::uint32_t Events,
                                    Ready OnReady) {
  const WatchId Id = m_NextId++;
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Id;
  ::epoll_ctl(m_Epoll, EPOLL_CTL_ADD, Fd, &Event);
  m_Watches.emplace(Id, std::make_shared<Ready>(std::move(OnReady)));
  return Id;
}

void EventLoop::rearm(WatchId Id, int Fd, std::uint32_t Events) {
  epoll_event Event{};
  Event.events = Events;
  Event.data.u64 = Id;
  ::epoll_ctl(m_Epoll, EPOLL_CTL_MOD, Fd, &Event);
}

void EventLoop::unwatch(WatchId Id, int Fd) {
  if (m_Watches.erase(Id) == 0)
    return;
  ::epoll_ctl(m_Epoll, EPOLL_CTL_DEL, Fd, nullptr);
}

EventLoop::TimerId EventLoop::after(SteadyClock::duration Delay, Task Work) {
  const Timer Key{SteadyClock::now() + Delay, m_NextId++};
  m_Timers.emplace(Key, std::move(Work));
  m_TimerDue.emplace(Key.m_Id, Key.m_Due);
  return Key.m_Id;
}

void EventLoop::cancel(TimerId Id) {
  const auto Found = m_TimerDue.find(Id);
  if (Found == m_TimerDue.end())
    return;
  m_Timers.erase(Timer{Found->second, Id});
  m_TimerDue.erase(Found);
}

Expected<void> EventLoop::stopOnSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t Mask;
  sigemptyset(&Mask);
  sigaddset(&Mask, SIGTERM);
  sigaddset(&Mask, SIGINT);
  ::pthread_sigmask(SIG_BLOCK, &Mask, nullptr);
  m_Signals = ::signalfd(-1, &Mask, SFD_CLOEXEC | SFD_NONBLOCK);
  if (m_Signals < 0)
    return systemError("signalfd");
  watch(m_Signals, EPOLLIN, [this](std::uint32_t) { stop(); });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void EventLoop::run() {
  std::array<epoll_event, EventBatch> Events;
  while (!m_Stopped) {
    const int Count =
        ::epoll_wait(m_Epoll, Events.data(), EventBatch, waitMilliseconds());
    for (int I = 0; I < Count && !m_Stopped; ++I)
      dispatch(Events[I].data.u64, Events[I].events);
    runDueTimers();
  }
}

void EventLoop::dispatch(WatchId Id, std::uint32_t Events) {
  const auto Found = m_Watches.find(Id);
  if (Found == m_Watches.end())
    return;
  // A handler may remove its own watch, so it is kept alive while it runs.
  const std::shared_ptr<Ready> Handler = Found->second;
  (*Handler)(Events);
}

void EventLoop::runDueTimers() {
  const SteadyClock::time_point Now = SteadyClock::now();
  while (!m_Stopped && !m_Timers.empty() &&
         m_Timers.begin()->first.m_Due <= Now) {
    auto First = m_Timers.extract(m_Timers.begin());
    m_TimerDue.erase(First.key().m_Id);
    First.mapped()();
  }
}

int EventLoop::waitMilliseconds() const {
  if (m_Timers.empty())
    return -1;
  const auto Remaining = m_Timers.begin()->first.m_Due - SteadyClock::now();
  if (Remaining <= SteadyClock::duration::zero())
    return 0;
  return static_cast<int>(std::chrono::ceil<Milliseconds>(Remaining).count());
}

} // namespace standin
