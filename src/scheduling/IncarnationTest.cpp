//===- IncarnationTest.cpp - Tests of servers that restart under their ID -===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A fixture whose server "s1" restarts under its ID.
struct RestartFixture : SchedulerFixture {
  explicit RestartFixture(Term T = 1) : SchedulerFixture(T) {}

  /// Time of the latest restart, from which the server's clock counts.
  TimePoint m_RestartedAt{};

  std::int64_t clockMs() const {
    return 1 + (m_Now - m_RestartedAt) / std::chrono::milliseconds(1);
  }
  const PollOrder &lastPoll() const { return m_Orders.m_Polls.back(); }
  std::size_t starts() const { return m_Orders.m_Starts.size(); }

  /// The server restarts after 20 s, which the leader does not see.
  void restart() {
    advance(20s);
    m_RestartedAt = m_Now;
    ++m_StartTimeMs;
  }
  /// The registration of the current incarnation arrives.
  void registerRestart() {
    ServerRegistration R =
        m_Core->servers().find(ServerId("s1"))->m_Registration;
    R.m_Capacity = {4000, 64000, 0};
    R.m_StartTimeMs = m_StartTimeMs;
    m_Core->onServer(R, m_Now);
  }
  /// The current incarnation answers the latest poll of the server.
  void answer(std::vector<RunReport> Running = {},
              std::vector<EndReport> Ended = {}) {
    advance(1ms);
    PollReply Reply;
    Reply.m_ClockMs = clockMs();
    Reply.m_StartTimeMs = m_StartTimeMs;
    Reply.m_Running = std::move(Running);
    Reply.m_Ended = std::move(Ended);
    m_Core->onPollReply(lastPoll(), Reply, m_Now);
  }
  /// The current incarnation answers the latest start with \p R.
  void answerLastStart(OrderResult R = OrderResult::Done) {
    advance(1ms);
    m_Core->onStartResult(m_Orders.m_Starts.back(),
                          {R, R == OrderResult::Unknown ? 0 : clockMs()},
                          m_Now);
  }
  /// Starts a task on the server, whose restart the leader does not know. The
  /// only other server is held meanwhile.
  void startAfterUnnoticedRestart() {
    addServer("s1");
    restart();
    addServer("s2", 1);
    m_Core->holdServers({ServerId("s2")});
    addJob("j", {step(1)});
    tick();
    m_Core->holdServers({});
  }
  /// Polls of the server fail from now on, for \p Length.
  void cutOff(Duration Length) {
    for (TimePoint End = m_Now + Length; m_Now < End; advance(50ms)) {
      tick();
      if (m_Core->servers().find(ServerId("s1"))->m_PollPending)
        failPoll("s1");
    }
  }
};

} // namespace

TEST_GROUP(Incarnation){};

// A server that had restarted while it was idle got a lease that was computed
// by the clock of its previous incarnation. It lasted for twice as long as the
// leader expected, so that a task ran twice once the server was cut off.
TEST(Incarnation, TheFirstPollAfterARegisteredRestartGrantsNoLease) {
  RestartFixture W;
  W.addServer("s1");
  W.restart();
  W.registerRestart();
  W.tick();
  CHECK_EQUAL(0, W.lastPoll().m_LeaseUntilMs);
  CHECK_EQUAL(0u, W.lastPoll().m_AcknowledgedEndNumber);
  W.addJob("j", {SchedulerFixture::step(1)});
  W.tick();
  CHECK_EQUAL(0u, W.starts());
  W.answer();
  W.tick();
  CHECK_EQUAL(1u, W.starts());
  CHECK(W.m_Orders.m_Starts[0].m_LeaseUntilMs <= W.clockMs() + 5000);
}

// Guards against a late answer of the previous incarnation that makes the
// server reachable with the clock of that incarnation.
TEST(Incarnation, AnAnswerOfThePreviousIncarnationDoesNotEndTheSuspicion) {
  RestartFixture W;
  W.addServer("s1");
  W.addJob("j", {SchedulerFixture::step(1)});
  W.tick();
  W.answerLastStart();
  W.tick();
  PollOrder Earlier = W.lastPoll();
  PollReply Reply;
  Reply.m_ClockMs = W.clockMs();
  Reply.m_StartTimeMs = W.m_StartTimeMs;
  Reply.m_Running = {{W.m_Orders.m_Starts[0].m_Run, "", 0, 0}};
  W.restart();
  W.registerRestart();
  W.m_Core->onPollReply(Earlier, Reply, W.m_Now);
  W.tick();
  CHECK_EQUAL(0, W.lastPoll().m_LeaseUntilMs);
  CHECK_EQUAL(0u, W.lastPoll().m_AcknowledgedEndNumber);
}

// A start that reached the new incarnation before its registration was read
// gave it a lease of the longest length.
TEST(Incarnation, AnAnsweredStartByThePreviousClockCountsAsTheLongestLease) {
  RestartFixture W;
  W.startAfterUnnoticedRestart();
  CHECK_EQUAL(1u, W.starts());
  W.answerLastStart();
  W.cutOff(9900ms);
  CHECK_EQUAL(1u, W.starts());
  W.cutOff(600ms);
  CHECK_EQUAL(2u, W.starts());
}

// The same if the start gets no answer and only the next poll shows the
// restart.
TEST(Incarnation, AStartWithoutAnAnswerCountsAsTheLongestLeaseAfterARestart) {
  RestartFixture W;
  W.startAfterUnnoticedRestart();
  CHECK_EQUAL(1u, W.starts());
  W.answerLastStart(OrderResult::Unknown);
  W.tick();
  W.answer({{W.m_Orders.m_Starts[0].m_Run, "", 0, 0}});
  W.cutOff(9800ms);
  CHECK_EQUAL(1u, W.starts());
  W.cutOff(600ms);
  CHECK_EQUAL(2u, W.starts());
}

// The clock of an incarnation that had run for less than a second was taken for
// that of the next one, which was told to forget ends that it had not listed.
TEST(Incarnation, ARestartWithinASecondIsNoticedInTheAnswerToAStart) {
  RestartFixture W;
  W.addServer("s1");
  W.m_RestartedAt = W.m_Now;
  ++W.m_StartTimeMs;
  W.registerRestart();
  W.tick();
  W.advance(300ms);
  W.answer();
  W.addJob("j", {SchedulerFixture::step(1)});
  W.m_RestartedAt = W.m_Now;
  ++W.m_StartTimeMs;
  W.tick();
  CHECK_EQUAL(1u, W.starts());
  W.answerLastStart();
  W.tick();
  CHECK_EQUAL(0, W.lastPoll().m_LeaseUntilMs);
  CHECK_EQUAL(0u, W.lastPoll().m_AcknowledgedEndNumber);
}

// The new incarnation of a server stayed on probation for failures of the
// previous one.
TEST(Incarnation, ANewIncarnationKeepsNothingOfThePreviousOne) {
  RestartFixture W;
  W.addServer("s1");
  ServerState &S = *W.m_Core->servers().find(ServerId("s1"));
  S.m_OnProbation = true;
  S.m_FailuresInRow = 3;
  S.m_LastSeenEnd = S.m_LastRecordedEnd = S.m_LastAcknowledgedEnd = 7;
  S.m_SuspendedUntil = W.m_Now + 60s;
  S.m_WasLostAbruptly = true;
  W.restart();
  W.registerRestart();
  W.tick();
  W.answer();
  CHECK(!S.m_OnProbation);
  CHECK_EQUAL(0u, S.m_FailuresInRow);
  CHECK_EQUAL(0u, S.m_LastSeenEnd);
  CHECK_EQUAL(0u, S.m_LastRecordedEnd);
  CHECK_EQUAL(0u, S.m_LastAcknowledgedEnd);
  CHECK(S.m_SuspendedUntil <= W.m_Now);
  CHECK(!S.m_WasLostAbruptly);
  CHECK(S.m_HasAcknowledgedTerm);
}

// A new leader took the lease of a run that it had taken over for one of its
// own length, although the earlier leader had not known of the restart.
TEST(Incarnation, ALeaseOfAnEarlierLeaderOnAYoungServerCountsAsTheLongest) {
  RestartFixture W(2);
  W.m_RestartedAt = W.m_Now;
  W.registerServer("s1");
  JobProgress Progress;
  Progress.m_State = JobState::Running;
  Progress.m_StartedSteps = {{0, 0}};
  W.addJob("j", {SchedulerFixture::step(1)}, Progress);
  W.tick();
  W.answer({{SchedulerFixture::run("j", 0, 0, 1), "", 0, 0}});
  W.addServer("s2");
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  W.cutOff(9900ms);
  CHECK_EQUAL(0u, W.starts());
  W.cutOff(900ms);
  CHECK_EQUAL(1u, W.starts());
}
