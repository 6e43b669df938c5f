//===- ShutdownLimitTest.cpp - Tests of ShutdownLimit ---------------------===//

#include "net/ShutdownLimit.h"
#include "net/EventLoop.h"
#include <CppUTest/TestHarness.h>
#include <csignal>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr int StatusAtLimit = 7;
constexpr int StatusOfCheck = 8;
/// When a child that does not end is given up.
constexpr Duration ChildTimeout = 20s;

/// Runs \p Body in a process of its own, sends it SIGTERM once it has written a
/// byte to the descriptor it is given, and returns its wait status; that of
/// SIGKILL if it does not end.
int runAndTerminate(void (*Body)(int Ready)) {
  int Pipe[2];
  CHECK_EQUAL(0, pipe(Pipe));
  pid_t Child = fork();
  if (Child == 0) {
    Body(Pipe[1]);
    _exit(0);
  }
  close(Pipe[1]);
  char Byte = 0;
  CHECK_EQUAL(1, read(Pipe[0], &Byte, 1));
  close(Pipe[0]);
  kill(Child, SIGTERM);
  int Status = 0;
  const TimePoint End = steadyNow() + ChildTimeout;
  while (waitpid(Child, &Status, WNOHANG) == 0) {
    if (steadyNow() > End)
      kill(Child, SIGKILL);
    std::this_thread::sleep_for(1ms);
  }
  return Status;
}

void writeByte(int Descriptor) {
  char Byte = 0;
  CHECK_EQUAL(1, write(Descriptor, &Byte, 1));
}

void blockForever() {
  while (true)
    pause();
}

} // namespace

TEST_GROUP(ShutdownLimit){};

// A process whose event loop was stuck in a callback did not see the end of its
// shutdown timeout and was killed by the platform.
TEST(ShutdownLimit, EndsAProcessWhoseLoopIsStuckBeforeTheSignal) {
  int Status = runAndTerminate([](int Ready) {
    auto Loop = EventLoop::create();
    Loop->onSignal([](int) {});
    limitShutdown(200ms, StatusAtLimit);
    Loop->after(0ms, [Ready] {
      writeByte(Ready);
      blockForever();
    });
    Loop->run();
  });
  CHECK(WIFEXITED(Status));
  CHECK_EQUAL(StatusAtLimit, WEXITSTATUS(Status));
}

// The same for a process that is stuck after its event loop, for example in a
// destructor.
TEST(ShutdownLimit, EndsAProcessThatIsStuckAfterItsLoop) {
  int Status = runAndTerminate([](int Ready) {
    auto Loop = EventLoop::create();
    Loop->onSignal([&](int) { Loop->stop(); });
    limitShutdown(200ms, StatusAtLimit);
    Loop->after(0ms, [Ready] { writeByte(Ready); });
    Loop->run();
    blockForever();
  });
  CHECK(WIFEXITED(Status));
  CHECK_EQUAL(StatusAtLimit, WEXITSTATUS(Status));
}

// The time limit of a shutdown began when a late event loop handled the signal.
TEST(ShutdownLimit, TellsWhenTheSignalArrivedNotWhenItWasHandled) {
  int Status = runAndTerminate([](int Ready) {
    auto Loop = EventLoop::create();
    TimePoint BlockedUntil;
    Loop->onSignal([&](int) {
      auto At = shutdownRequestedAt();
      _exit(At && *At < BlockedUntil && Loop->now() >= BlockedUntil
                ? StatusOfCheck
                : 0);
    });
    limitShutdown(ChildTimeout, StatusAtLimit);
    Loop->after(0ms, [&, Ready] {
      writeByte(Ready);
      while (!shutdownRequestedAt())
        std::this_thread::sleep_for(1ms);
      BlockedUntil = Loop->now() + 1ms;
      while (Loop->now() < BlockedUntil)
        std::this_thread::yield();
    });
    Loop->run();
  });
  CHECK(WIFEXITED(Status));
  CHECK_EQUAL(StatusOfCheck, WEXITSTATUS(Status));
}
