//===- CrashEvidenceTest.cpp - Tests of what counts as a crash ------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A fixture whose starts are recorded and whose instances can be listed.
struct CrashFixture : SchedulerFixture {
  explicit CrashFixture(Term T = 1) : SchedulerFixture(T) {}

  /// Shows a list with the instance of the server \p Id in \p Condition.
  void list(const std::string &Id, InstanceCondition Condition) {
    InstanceListing L;
    L.m_Id = InstanceId("on-" + Id);
    L.m_Pool = PoolName("desk");
    L.m_Condition = Condition;
    L.m_Server = ServerId(Id);
    advance(10ms);
    m_Core->onInstances({L}, m_Now, m_Now);
  }

  /// The server's connections are reset, then its instance is listed as down.
  void crash(const std::string &Id) {
    advance(10ms);
    failPoll(Id);
    list(Id, InstanceCondition::Down);
  }

  /// Answers the last start, and polls the server until it waits for an end.
  void confirmLastStart() {
    answerStart(m_Orders.m_Starts.size() - 1);
    advance(50ms);
    tick();
  }

  const StartOrder &lastStart() { return m_Orders.m_Starts.back(); }
  std::size_t starts() const { return m_Orders.m_Starts.size(); }

  std::size_t crashesOf(const std::string &Job, std::uint32_t Index = 0) {
    const TaskState &T = *job(Job).task({JobId(Job), 0, 0, Index});
    return T.m_Crashes ? T.m_Crashes->m_Runs.size() : 0;
  }

  /// Starts the one task of the job "j" on the only server, "s1".
  void startOnFirstServer(StepSpec Step = step(1)) {
    addServer("s1");
    addJob("j", {std::move(Step)});
    tick();
    confirmLastStart();
  }
};

} // namespace

TEST_GROUP(CrashEvidence){};

TEST(CrashEvidence, AnInstanceListedAsDownHasCrashed) {
  CrashFixture W;
  W.startOnFirstServer();
  W.crash("s1");
  CHECK_EQUAL(1u, W.crashesOf("j"));
}

TEST(CrashEvidence, ALaterStartTimeShowsACrash) {
  CrashFixture W;
  W.startOnFirstServer();
  W.failPoll("s1");
  W.advance(3s);
  W.tick();
  PollReply Reply;
  Reply.m_ClockMs = 1;
  Reply.m_StartTimeMs = 2;
  W.m_Core->onPollReply(W.m_Orders.m_Polls.back(), Reply, W.m_Now);
  CHECK_EQUAL(1u, W.crashesOf("j"));
}

// A server that was only silent had its tasks given up.
TEST(CrashEvidence, ALapsedLeaseIsNoCrash) {
  CrashFixture W;
  W.startOnFirstServer();
  for (int N = 0; N < 3; ++N) {
    W.advance(2s);
    W.failPoll("s1");
    W.tick();
  }
  W.advance(2s);
  W.tick();
  CHECK(W.job("j").m_Ready.size() == 1);
  CHECK_EQUAL(0u, W.crashesOf("j"));
  W.answerPoll("s1");
  CHECK_EQUAL(0u, W.crashesOf("j"));
}

TEST(CrashEvidence, ACrashThatIsShownAfterTheLeaseHasLapsedCounts) {
  CrashFixture W;
  W.startOnFirstServer();
  for (int N = 0; N < 3; ++N) {
    W.advance(2s);
    W.failPoll("s1");
    W.tick();
  }
  W.advance(2s);
  W.tick();
  W.list("s1", InstanceCondition::Down);
  CHECK_EQUAL(1u, W.crashesOf("j"));
}

TEST(CrashEvidence, AServerThatLeavesAsPlannedHasNotCrashed) {
  CrashFixture W;
  W.startOnFirstServer();
  ServerRegistration R =
      W.m_Core->servers().find(ServerId("s1"))->m_Registration;
  R.m_Draining = true;
  W.m_Core->onServer(R, W.m_Now);
  W.crash("s1");
  CHECK_EQUAL(0u, W.crashesOf("j"));
}

TEST(CrashEvidence, AnInstanceThatWasOrderedAwayHasNotCrashed) {
  for (InstanceCondition Condition :
       {InstanceCondition::Moving, InstanceCondition::Maintenance}) {
    CrashFixture W;
    W.startOnFirstServer();
    W.failPoll("s1");
    W.list("s1", Condition);
    CHECK_EQUAL(0u, W.crashesOf("j"));
  }
}

TEST(CrashEvidence, AStartThatNeverReachedTheServerDoesNotCount) {
  CrashFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0, OrderResult::NotSent);
  W.list("s1", InstanceCondition::Down);
  CHECK_EQUAL(0u, W.crashesOf("j"));
}

// A long-running task was given up after two crashes of hardware, hours apart.
TEST(CrashEvidence, ALongRunningTaskMeetsCrashesForOtherReasons) {
  CrashFixture W;
  StepSpec LongRunning = W.step(1);
  LongRunning.m_IsLongRunning = true;
  W.startOnFirstServer(LongRunning);
  for (int N = 0; N < 6; ++N) {
    W.advance(1s);
    W.answerPoll("s1", {{W.lastStart().m_Run, "", 100, 0}});
    W.advance(50ms);
    W.tick();
  }
  W.crash("s1");
  CHECK_EQUAL(0u, W.crashesOf("j"));
}

TEST(CrashEvidence, ASuspectStartsAfterItsRecordAndApartFromOtherJobs) {
  CrashFixture W;
  W.startOnFirstServer();
  W.crash("s1");
  W.addServer("s2");
  W.addServer("s3");
  W.addJob("other", {W.step(1)});
  W.tick();
  // The other job's task is on one server, so the suspect takes the other one,
  // once its start is recorded.
  CHECK_EQUAL(2u, W.starts());
  STRCMP_EQUAL("other", W.lastStart().m_Run.m_Task.m_Job.m_Text.c_str());
  const std::string Shared = W.lastStart().m_Server.m_Id.m_Text;
  W.record();
  W.tick();
  CHECK_EQUAL(3u, W.starts());
  STRCMP_EQUAL("j", W.lastStart().m_Run.m_Task.m_Job.m_Text.c_str());
  const std::string Own = W.lastStart().m_Server.m_Id.m_Text;
  CHECK(Own != Shared);
  // Nor does the task of another job start beside it.
  W.addJob("third", {W.step(1)});
  W.tick();
  STRCMP_EQUAL(Shared.c_str(), W.lastStart().m_Server.m_Id.m_Text.c_str());
  W.answerStart(2);
  W.advance(50ms);
  W.tick();
  W.crash(Own);
  CHECK(W.job("j").m_State == JobState::Failed);
  CHECK(W.m_Core->jobs().progressOf(W.job("j"), W.wall()).m_HasCrashedServers);
  CHECK(W.job("other").m_State == JobState::Running);
}

// A job whose suspected task found no free server would never have run.
TEST(CrashEvidence, ASuspectSharesAServerWhenNoneBecomesFree) {
  CrashFixture W;
  W.startOnFirstServer();
  W.crash("s1");
  W.addServer("s2");
  StepSpec LongRunning = W.step(1);
  LongRunning.m_IsLongRunning = true;
  W.addJob("other", {LongRunning});
  W.tick();
  CHECK_EQUAL(2u, W.starts());
  W.advance(1600ms);
  W.answerPoll("s2", {{W.lastStart().m_Run, "", 100, 0}});
  W.tick();
  W.record();
  W.tick();
  CHECK_EQUAL(3u, W.starts());
  STRCMP_EQUAL("j", W.lastStart().m_Run.m_Task.m_Job.m_Text.c_str());
}

// A gang with more suspected tasks than one pass searches servers for was never
// started again.
TEST(CrashEvidence, AWideGangOfSuspectsStartsAgain) {
  CrashFixture W;
  W.addServer("s1", 16);
  StepSpec Gang = W.step(12);
  Gang.m_Gang = true;
  W.addJob("j", {Gang});
  W.tick();
  CHECK_EQUAL(12u, W.starts());
  for (std::size_t I = 0; I < 12; ++I)
    W.answerStart(I);
  W.advance(50ms);
  W.tick();
  W.crash("s1");
  W.addServer("s2", 16);
  W.tick();
  W.record();
  W.tick();
  CHECK_EQUAL(24u, W.starts());
}

// Members of a gang without a crash started while the others waited for their
// record, and ended without them.
TEST(CrashEvidence, AGangWithSuspectsStartsAsAWhole) {
  CrashFixture W;
  W.addServer("s1", 2);
  W.addServer("s2", 1);
  StepSpec Gang = W.step(3);
  Gang.m_Gang = true;
  W.addJob("j", {Gang});
  W.tick();
  CHECK_EQUAL(3u, W.starts());
  for (std::size_t I = 0; I < 3; ++I)
    W.answerStart(I);
  W.advance(50ms);
  W.tick();
  W.crash("s1");
  for (const StartOrder &Order : std::vector(W.m_Orders.m_Starts))
    if (Order.m_Server.m_Id == ServerId("s2"))
      W.answerPoll("s2", {}, {{1, Order.m_Run, EndKind::GangMemberEnded, ""}});
  W.addServer("s3", 2);
  for (int N = 0; N < 3 && W.starts() == 3; ++N) {
    W.record();
    W.tick();
  }
  CHECK_EQUAL(6u, W.starts());
}

// The list of the instances, which shows a crash, was requested once a second.
TEST(CrashEvidence, AnEndedConnectionAsksForAListAndATimeOutDoesNot) {
  for (Duration Waited : {Duration(10ms), Duration(1600ms)}) {
    CrashFixture W;
    W.startOnFirstServer();
    W.advance(Waited);
    W.failPoll("s1");
    CHECK((W.m_Core->lastAbruptSilence() == W.m_Now) == (Waited < 1s));
  }
}

// A start that each server rejects as malformed was ordered again at once, and
// every server that rejected it got no other task for a while.
TEST(CrashEvidence, AMalformedStartTakesNoSecondServerAtOnce) {
  CrashFixture W;
  W.addServer("s1");
  W.addServer("s2");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0, OrderResult::Invalid);
  W.tick();
  CHECK_EQUAL(1u, W.starts());
  W.advance(700ms);
  W.tick();
  CHECK_EQUAL(2u, W.starts());
}

// All tasks of a crashed server that no poll had listed yet had to run apart.
TEST(CrashEvidence, ARunThatSurvivedALaterStartIsNoFirstSuspect) {
  CrashFixture W;
  W.startOnFirstServer();
  W.advance(150ms);
  W.addJob("later", {W.step(1)});
  W.tick();
  W.confirmLastStart();
  W.crash("s1");
  CHECK(!W.job("j").task({JobId("j"), 0, 0, 0})->isSuspect());
  CHECK(W.job("later").task({JobId("later"), 0, 0, 0})->isSuspect());
}

TEST(CrashEvidence, TheNextLeaderCountsACrashThatNoLeaderSaw) {
  for (bool HasCrashed : {false, true}) {
    CrashFixture W(2);
    W.addServer("s1");
    JobProgress Earlier;
    Earlier.m_State = JobState::Running;
    Earlier.m_StartedSteps = {{0, 0}};
    Earlier.m_Crashes[{0, 0, 0}] = {{1, true, true, false},
                                    {2, true, true, false}};
    Earlier.m_SuspectStarts[{0, 0, 0}] = {3, HasCrashed ? "gone" : "s1", 1};
    W.addJob("j", {W.step(1)}, Earlier);
    W.list("s1", InstanceCondition::Up);
    W.tick();
    CHECK_EQUAL(HasCrashed ? 3u : 2u, W.crashesOf("j"));
    // It is not certain that the task was at work, so it gets another start.
    CHECK(!isFinal(W.job("j").m_State));
  }
}

// A long-running task that had proved sound was given up, with all tasks of its
// job, since the store was slow and its record still held an open start on a
// server that crashed later.
TEST(CrashEvidence, AnEarlierStartOnAServerThatIsGoneGivesNoTaskUp) {
  CrashFixture W(2);
  W.addServer("s1");
  StepSpec LongRunning = W.step(1);
  LongRunning.m_IsLongRunning = true;
  JobProgress Earlier;
  Earlier.m_State = JobState::Running;
  Earlier.m_StartedSteps = {{0, 0}};
  Earlier.m_Crashes[{0, 0, 0}] = {{1, true, false, false},
                                  {2, true, false, false}};
  Earlier.m_SuspectStarts[{0, 0, 0}] = {3, "gone", 1};
  W.addJob("j", {LongRunning}, Earlier);
  W.list("s1", InstanceCondition::Up);
  W.tick();
  CHECK(!isFinal(W.job("j").m_State));
  W.record();
  W.tick();
  CHECK_EQUAL(1u, W.starts());
}

// A task whose run this leader had adopted was counted as lost before its term.
TEST(CrashEvidence, ARunThatWasAdoptedIsNotCountedAsLostBefore) {
  CrashFixture W(2);
  JobProgress Earlier;
  Earlier.m_State = JobState::Running;
  Earlier.m_StartedSteps = {{0, 0}};
  ServerRegistration R;
  R.m_Id = ServerId("s1");
  R.m_Pool = PoolName("desk");
  R.m_Capacity = {4000, 64000, 0};
  R.m_StartTimeMs = 1;
  W.m_Core->onServer(R, W.m_Now);
  W.addJob("j", {W.step(1)}, Earlier);
  W.list("down", InstanceCondition::Down);
  W.tick();
  const RunId Run = W.run("j", 0, 0, 7);
  W.answerPoll("s1", {{Run, "", 10, 0}});
  W.advance(2s);
  W.tick();
  W.answerPoll("s1", {}, {{1, Run, EndKind::Stopped, ""}});
  W.tick();
  CHECK_EQUAL(0u, W.crashesOf("j"));
}

TEST(CrashEvidence, CrashesSurviveTheirEncoding) {
  JobProgress P;
  P.m_Crashes[{1, 2, 3}] = {{1001, true, false, true}};
  P.m_SuspectStarts[{1, 2, 3}] = {1002, "i-1", 77};
  JobProgress Q = decodeProgress(encodeProgress(P)).value();
  CHECK_EQUAL(1u, Q.m_Crashes.size());
  const CrashedRun &Run = Q.m_Crashes.begin()->second.front();
  CHECK(Run.m_Number == 1001 && Run.m_WasAtWork && !Run.m_WasRecent &&
        Run.m_WasAlone);
  const SuspectStart &Start = Q.m_SuspectStarts.begin()->second;
  CHECK(Start.m_Number == 1002 && Start.m_Server == "i-1" &&
        Start.m_ServerStartTimeMs == 77);
}
