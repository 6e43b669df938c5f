//===- ShutdownLimit.cpp - Time limit of a process's shutdown -------------===//

#include "net/ShutdownLimit.h"
#include "net/EventLoop.h"
#include <atomic>
#include <cerrno>
#include <csignal>
#include <sys/time.h>
#include <unistd.h>

namespace pollenspool {

namespace {

using SignalHandler = void (*)(int);

// Read by the signal handlers, so lock-free and initialised before main().
std::atomic<Duration::rep> LimitMicroseconds{0};
std::atomic<Duration::rep> RequestedAtMicroseconds{0};
std::atomic<int> StatusAtLimit{0};
std::atomic<SignalHandler> NextTermHandler{nullptr};
std::atomic<SignalHandler> NextIntHandler{nullptr};

void onLimit(int) { _exit(StatusAtLimit); }

void startTimer(Duration Limit) {
  auto Seconds = std::chrono::duration_cast<std::chrono::seconds>(Limit);
  itimerval Timer{};
  Timer.it_value.tv_sec = Seconds.count();
  Timer.it_value.tv_usec = (Limit - Seconds).count();
  setitimer(ITIMER_REAL, &Timer, nullptr);
}

void onStopSignal(int Signal) {
  const int SavedErrno = errno;
  Duration::rep NotRequested = 0;
  if (RequestedAtMicroseconds.compare_exchange_strong(
          NotRequested, EventLoop::clockNow().time_since_epoch().count()))
    startTimer(Duration(LimitMicroseconds));
  errno = SavedErrno;
  SignalHandler Next = Signal == SIGTERM ? NextTermHandler : NextIntHandler;
  if (Next)
    Next(Signal);
}

/// Puts onStopSignal() before the current handler of \p Signal.
void prependHandler(int Signal, std::atomic<SignalHandler> &Next) {
  struct sigaction Action {};
  sigaction(Signal, nullptr, &Action);
  if (Action.sa_handler == onStopSignal)
    return;
  Next = Action.sa_handler;
  Action.sa_handler = onStopSignal;
  sigaction(Signal, &Action, nullptr);
}

} // namespace

void limitShutdown(Duration Limit, int ExitStatus) {
  LimitMicroseconds = Limit.count();
  StatusAtLimit = ExitStatus;
  std::signal(SIGALRM, onLimit);
  prependHandler(SIGTERM, NextTermHandler);
  prependHandler(SIGINT, NextIntHandler);
}

std::optional<TimePoint> shutdownRequestedAt() {
  Duration RequestedAt(RequestedAtMicroseconds.load());
  if (RequestedAt == Duration(0))
    return std::nullopt;
  return TimePoint(RequestedAt);
}

} // namespace pollenspool
