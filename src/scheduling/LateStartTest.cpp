//===- LateStartTest.cpp - Tests of starts that are carried out late ------===//
//
// A start without an answer may be carried out seconds later, also by the next
// incarnation of its server, which knows no term and no stopped run.
//
//===----------------------------------------------------------------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A leader whose start of one task on "s1" got no answer. "s2" could take the
/// task.
struct LateStart : SchedulerFixture {
  TimePoint m_OrderedAt;

  explicit LateStart(bool IsAnswered = false) {
    addServer("s1");
    addJob("j", {step(1)});
    tick();
    m_OrderedAt = m_Now;
    answerStart(0, IsAnswered ? OrderResult::Done : OrderResult::Unknown);
    addServer("s2");
    tick();
  }

  std::size_t starts() const { return m_Orders.m_Starts.size(); }
  std::size_t stops() const { return m_Orders.m_Stops.size(); }
  ServerState *server() { return m_Core->servers().find(ServerId("s1")); }
  /// Lets the time pass until \p After the order. No poll of "s1" is answered.
  void passUntil(Duration After) {
    for (TimePoint End = m_OrderedAt + After; m_Now < End;) {
      tick();
      if (server() && server()->m_PollPending)
        failPoll("s1");
      advance(std::min<Duration>(20ms, End - m_Now));
    }
    tick();
    recordAtOnce();
    tick();
  }
  /// Commits all changes of job state now.
  void recordAtOnce() {
    const TimePoint Now = m_Now;
    record();
    m_Now = Now;
  }
  /// The platform lists the instance of "s1" in \p Condition and \p Pool, with
  /// the server \p Server.
  void list(InstanceCondition Condition, const std::string &Pool = "desk",
            const std::string &Server = "s1") {
    if (server()->m_PollPending)
      failPoll("s1");
    InstanceListing L;
    L.m_Id = InstanceId("on-s1");
    L.m_Pool = PoolName(Pool);
    L.m_Condition = Condition;
    L.m_Server = ServerId(Server);
    advance(10ms);
    m_Core->onInstances({L}, m_Now, m_Now);
    tick();
    recordAtOnce();
    tick();
  }
  /// The next incarnation of "s1" registers.
  void restart() {
    ++m_StartTimeMs;
    advance(10ms);
    registerServer("s1");
    tick();
  }
  /// It answers the latest poll.
  void answer(std::vector<RunReport> Running = {}) {
    advance(10ms);
    answerPoll("s1", std::move(Running));
    tick();
    recordAtOnce();
    tick();
  }
  void answerStop() {
    advance(1ms);
    m_Core->onStopResult(m_Orders.m_Stops.back(), OrderResult::Done, m_Now);
    tick();
  }
};

} // namespace

TEST_GROUP(LateStart){};

// A server that was listed as down restarted under its ID and carried out a
// start after another run of the task had ended and was acknowledged.
TEST(LateStart, ACrashDoesNotEndAStartWithoutAnAnswer) {
  LateStart W;
  W.list(InstanceCondition::Down);
  CHECK_EQUAL(1u, W.starts());
  W.passUntil(5900ms);
  CHECK_EQUAL(1u, W.starts());
  W.passUntil(6100ms);
  CHECK_EQUAL(2u, W.starts());
}

// A lease by the clock of the previous incarnation does not end in the next.
TEST(LateStart, AnExpiredLeaseDoesNotEndAStartWithoutAnAnswer) {
  LateStart W;
  W.passUntil(5900ms);
  CHECK_EQUAL(1u, W.starts());
  W.passUntil(6100ms);
  CHECK_EQUAL(2u, W.starts());
}

// Guards against runs that are known to have begun and wait for no reason.
TEST(LateStart, ARunThatHadBegunIsOverAtOnce) {
  LateStart W(true);
  W.list(InstanceCondition::Down);
  CHECK_EQUAL(2u, W.starts());
}

// Guards against a wait of seconds although the server has excluded the start.
TEST(LateStart, AnAnsweredStopOfTheNextIncarnationEndsTheStart) {
  LateStart W;
  W.list(InstanceCondition::Down);
  W.restart();
  W.answer();
  CHECK_EQUAL(1u, W.stops());
  CHECK_EQUAL(1u, W.starts());
  W.answerStop();
  // The poll that was under way was sent before the stop.
  W.answer();
  CHECK_EQUAL(1u, W.starts());
  W.advance(200ms);
  W.tick();
  W.answer();
  CHECK_EQUAL(2u, W.starts());
  CHECK(W.m_Now < W.m_OrderedAt + 1s);
}

// The same for a start that the next incarnation has carried out: it is kept.
TEST(LateStart, ARunOfTheNextIncarnationIsKept) {
  LateStart W;
  W.list(InstanceCondition::Down);
  W.restart();
  W.answer({{W.m_Orders.m_Starts[0].m_Run, "", 0, 0}});
  W.advance(7s);
  W.tick();
  CHECK_EQUAL(1u, W.starts());
  CHECK_EQUAL(0u, W.stops());
}

// A stop that the previous incarnation had answered excludes nothing in the
// next one.
TEST(LateStart, TheNextIncarnationIsAskedToStopTheRunAgain) {
  LateStart W;
  W.answer();
  CHECK_EQUAL(1u, W.stops());
  W.answerStop();
  W.restart();
  W.answer();
  CHECK_EQUAL(2u, W.stops());
  CHECK_EQUAL(1u, W.starts());
}

// A server that had restarted behind a cut carried out the start with a lease
// of the longest length.
TEST(LateStart, TheLongestLeaseCountsOnAServerThatHasRestartedUnreachably) {
  LateStart W;
  W.restart();
  W.passUntil(15900ms);
  CHECK_EQUAL(1u, W.starts());
  W.passUntil(16400ms);
  CHECK_EQUAL(2u, W.starts());
}

// Guards against a wait for an order that no server can carry out any more.
TEST(LateStart, AStartIsOverWhenNoServerHasTheIdAnyMore) {
  LateStart Moved;
  Moved.list(InstanceCondition::Moving, "other");
  CHECK_EQUAL(2u, Moved.starts());
  LateStart ShutDown;
  ShutDown.list(InstanceCondition::Maintenance);
  CHECK_EQUAL(2u, ShutDown.starts());
  LateStart Replaced;
  Replaced.list(InstanceCondition::Up, "desk", "s3");
  Replaced.recordAtOnce();
  Replaced.tick();
  CHECK_EQUAL(2u, Replaced.starts());
  LateStart Terminated;
  Terminated.m_Core->onServerTerminated(ServerId("s1"), Terminated.m_Now);
  Terminated.tick();
  CHECK_EQUAL(2u, Terminated.starts());
}

// The same if another server answers at the address.
TEST(LateStart, AStartIsOverWhenAnotherServerAnswersAtItsAddress) {
  LateStart W;
  W.failPoll("s1", OrderResult::OtherIncarnation);
  W.tick();
  W.recordAtOnce();
  W.tick();
  CHECK_EQUAL(2u, W.starts());
}

// Each list and the next incarnation show the same crash.
TEST(LateStart, ACrashIsCountedOnce) {
  LateStart W;
  W.list(InstanceCondition::Down);
  W.list(InstanceCondition::Down);
  W.restart();
  W.answer();
  CHECK_EQUAL(1u, W.m_Core->counters().m_ServerCrashes);
  CHECK_EQUAL(
      1u,
      W.job("j").task(W.run("j", 0, 0, 1).m_Task)->m_Crashes->m_Runs.size());
}

// Guards against servers that are kept for good, and against a server that is
// forgotten while it may still carry out a start.
TEST(LateStart, AServerIsKeptForAsLongAsItMayCarryOutTheStart) {
  LateStart W;
  W.list(InstanceCondition::Down);
  W.m_Core->onServerUnregistered(ServerId("s1"), W.m_Now);
  CHECK_EQUAL(1000, W.server()->m_Used.m_MilliCores);
  W.passUntil(5900ms);
  CHECK(W.server() != nullptr);
  CHECK_EQUAL(1000, W.server()->m_Used.m_MilliCores);
  W.passUntil(9s);
  POINTERS_EQUAL(nullptr, W.server());
}
