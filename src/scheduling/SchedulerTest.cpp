//===- SchedulerTest.cpp - Tests of the scheduler -------------------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

TEST_GROUP(Scheduler){};

TEST(Scheduler, StartsTheTasksOfAReleasedStepOnly) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(2), W.step(1, {0})});
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Orders.m_Starts[0].m_Run == W.run("j", 0, 0, 1));
}

TEST(Scheduler, StartsTheNextStepWhenAllTasksAreDone) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(2), W.step(1, {0})});
  W.tick();
  W.answerStart(0);
  W.answerStart(1);
  W.tick();
  W.answerPoll("s1", {{W.run("j", 0, 1, 1), "", 50, 0}},
               {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  W.advance(100ms);
  W.tick();
  W.answerPoll("s1", {}, {{2, W.run("j", 0, 1, 1), EndKind::Done, ""}});
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
}

TEST(Scheduler, NeverExceedsAServersCapacity) {
  SchedulerFixture W;
  W.addServer("s1", 4);
  W.addJob("j", {W.step(7)});
  W.tick();
  W.tick();
  CHECK_EQUAL(4u, W.m_Orders.m_Starts.size());
}

TEST(Scheduler, StartsOnNoServerThatHasNotAnsweredInThisTerm) {
  SchedulerFixture W;
  ServerRegistration R;
  R.m_Id = ServerId("s1");
  R.m_Pool = PoolName("desk");
  R.m_Capacity = {4000, 64000, 0};
  W.m_Core->onServer(R, W.m_Now);
  W.addJob("j", {W.step(1)});
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, W.m_Orders.m_Polls.size());
}

// A leader that took over saw a run of the second step before the ends of the
// first step, and started the second step again.
TEST(Scheduler, DoesNotStartAnAdoptedTaskAgainWhenItsStepIsReleased) {
  SchedulerFixture W(2);
  W.addJob("j", {W.step(1), W.step(1, {0})});
  W.addServer("s1");
  W.advance(1s);
  W.tick();
  W.addServer("s2");
  W.tick();
  W.answerPoll("s2", {{W.run("j", 1, 0, 1), "", 10, 0}});
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  W.advance(20s);
  W.tick();
  for (const StartOrder &Order : W.m_Orders.m_Starts)
    CHECK(Order.m_Run.m_Task.m_Step != 1);
  CHECK_EQUAL(0u, W.m_Orders.m_Stops.size());
}

TEST(Scheduler, NewLeaderWaitsForLeasesOfUnreachableServers) {
  SchedulerFixture W(2);
  W.addJob("j", {W.step(1)});
  W.addServer("s1");
  ServerRegistration Silent;
  Silent.m_Id = ServerId("s2");
  Silent.m_Pool = PoolName("desk");
  W.m_Core->onServer(Silent, W.m_Now);
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  // An earlier leader may continue for 8 s and leave leases of 5 s.
  W.advance(13s);
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.advance(1s);
  W.tick();
  W.answerPoll("s1");
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Orders.m_Starts[0].m_Run.m_Number > 1000);
}

TEST(Scheduler, StopsAnUnansweredStartBeforeItStartsTheTaskElsewhere) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addServer("s2");
  W.addJob("j", {W.step(1)});
  W.tick();
  std::string At = W.m_Orders.m_Starts[0].m_Server.m_Id.m_Text;
  W.answerStart(0, OrderResult::Unknown);
  W.tick();
  W.answerPoll(At);
  CHECK_EQUAL(1u, W.m_Orders.m_Stops.size());
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.m_Core->onStopResult(W.m_Orders.m_Stops[0], OrderResult::Done, W.m_Now);
  // This poll was sent before the stop was answered, so its answer proves
  // nothing.
  W.answerPoll(At);
  W.advance(50ms);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.answerPoll(At);
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(2u, W.m_Orders.m_Starts[1].m_Run.m_Number);
}

TEST(Scheduler, RestartsTasksOfAnUnreachableServerOnlyAfterItsLeasesExpire) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.addServer("s2");
  W.tick();
  W.failPoll("s1");
  W.advance(4900ms);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.advance(1500ms);
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  STRCMP_EQUAL("s2", W.m_Orders.m_Starts[1].m_Server.m_Id.m_Text.c_str());
}

TEST(Scheduler, AcknowledgesAnEndOnlyWhenItIsRecorded) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(2)});
  W.tick();
  W.answerStart(0);
  W.answerStart(1);
  W.tick();
  W.answerPoll("s1", {{W.run("j", 0, 1, 1), "", 50, 0}},
               {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.advance(600ms);
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Polls.back().m_AcknowledgedEndNumber);
  W.answerPoll("s1", {{W.run("j", 0, 1, 1), "", 60, 0}},
               {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.record();
  W.advance(100ms);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Polls.back().m_AcknowledgedEndNumber);
}

// Guards against a second run of a task (TWICE): a task was restarted after the
// lease of its first run, whose end then completed the job. The end of the
// second run was acknowledged before the job's state was recorded, and the next
// leader started the task again.
TEST(Scheduler, AcknowledgesEndsOfAJobThatIsOverOnlyWhenItsStateIsRecorded) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.addServer("s2");
  W.tick();
  W.failPoll("s1");
  W.advance(6400ms);
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  W.answerStart(1);
  W.tick();
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  CHECK(W.job("j").m_State == JobState::Completed);
  W.answerPoll("s2", {}, {{1, W.run("j", 0, 0, 2), EndKind::Done, ""}});
  auto Acknowledged = [&] {
    W.advance(600ms);
    W.m_Orders.m_Polls.clear();
    W.tick();
    std::map<std::string, std::uint64_t> Ends;
    for (const PollOrder &Order : W.m_Orders.m_Polls)
      Ends[Order.m_Server.m_Id.m_Text] = Order.m_AcknowledgedEndNumber;
    for (const auto &[Id, End] : Ends)
      W.answerPoll(Id);
    return Ends;
  };
  auto Before = Acknowledged();
  CHECK_EQUAL(0u, Before["s1"]);
  CHECK_EQUAL(0u, Before["s2"]);
  W.record();
  auto After = Acknowledged();
  CHECK_EQUAL(1u, After["s1"]);
  CHECK_EQUAL(1u, After["s2"]);
}

// Guards against ends that are never acknowledged: the second end of a task
// waited for a record that nothing asked for, and all later ends of its server
// waited behind it.
TEST(Scheduler, AcknowledgesAnEndThatChangesNothingWithoutAnotherRecord) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(2)});
  W.tick();
  W.answerStart(0);
  W.answerStart(1);
  W.tick();
  W.answerPoll("s1", {{W.run("j", 0, 1, 1), "", 50, 0}},
               {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.record();
  W.tick();
  W.answerPoll("s1", {{W.run("j", 0, 1, 1), "", 60, 0}},
               {{2, W.run("j", 0, 0, 2), EndKind::Done, ""}});
  W.advance(600ms);
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Polls.back().m_AcknowledgedEndNumber);
}

// Guards against a job that fails by the late end of a run of a task that
// another run has completed.
TEST(Scheduler, CountsNoFailuresOfATaskThatIsDone) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1), W.step(1, {0})});
  W.tick();
  W.answerStart(0);
  W.tick();
  W.answerPoll("s1", {},
               {{1, W.run("j", 0, 0, 1), EndKind::Done, ""},
                {2, W.run("j", 0, 0, 2), EndKind::Failed, ""},
                {3, W.run("j", 0, 0, 3), EndKind::Failed, ""}});
  CHECK(W.job("j").m_State == JobState::Running);
}

TEST(Scheduler, FailsAJobAfterMaxAttemptsAndCountsEachEndOnce) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.tick();
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Failed, ""}});
  W.tick();
  W.answerStart(1);
  W.tick();
  W.answerPoll("s1", {{W.run("j", 0, 0, 2), "", 5, 0}},
               {{1, W.run("j", 0, 0, 1), EndKind::Failed, ""}});
  CHECK(W.job("j").m_State == JobState::Running);
  W.advance(600ms);
  W.tick();
  W.answerPoll("s1", {}, {{2, W.run("j", 0, 0, 2), EndKind::Failed, ""}});
  CHECK(W.job("j").m_State == JobState::Failed);
}

TEST(Scheduler, StopsTheRunsOfAJobThatIsOver) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(2)});
  W.tick();
  W.answerStart(0);
  W.answerStart(1);
  W.m_Core->onJobEnded(JobId("j"));
  CHECK_EQUAL(2u, W.m_Orders.m_Stops.size());
}

TEST(Scheduler, LimitsTasksOfAStepPerServer) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addServer("s2");
  StepSpec Step = W.step(3);
  Step.m_MaxPerServer = 1;
  W.addJob("j", {Step});
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
}

TEST(Scheduler, SpreadsALongRunningStepSoThatOneServerMayBeDrained) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addServer("s2");
  StepSpec Step = W.step(2);
  Step.m_IsLongRunning = true;
  Step.m_MaxUnavailable = 1;
  W.addJob("j", {Step});
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Orders.m_Starts[0].m_Server.m_Id !=
        W.m_Orders.m_Starts[1].m_Server.m_Id);
}

TEST(Scheduler, StartsAllTasksOfAGangOrNone) {
  SchedulerFixture W;
  W.addServer("s1", 4);
  StepSpec Gang = W.step(5);
  Gang.m_Gang = true;
  W.addJob("j", {Gang});
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.addServer("s2", 4);
  W.tick();
  CHECK_EQUAL(5u, W.m_Orders.m_Starts.size());
  for (const StartOrder &Order : W.m_Orders.m_Starts)
    CHECK_EQUAL(1u, Order.m_Run.m_Number);
}

// The store is unavailable for seconds while servers and tasks continue.
TEST(Scheduler, ContinuesKnownJobsWhileItsTermIsUnconfirmed) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("known", {W.step(1), W.step(1, {0})}, {}, 50);
  W.addJob("new", {W.step(1)}, {}, 70);
  Authority Granted;
  Granted.m_IsTermConfirmed = false;
  Granted.m_StartableVersion = 60;
  W.m_Core->tick(W.m_Now, W.wall(), Granted);
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  STRCMP_EQUAL("known",
               W.m_Orders.m_Starts[0].m_Run.m_Task.m_Job.m_Text.c_str());
  W.answerStart(0);
  W.m_Core->tick(W.m_Now, W.wall(), Granted);
  W.answerPoll("s1", {}, {{1, W.run("known", 0, 0, 1), EndKind::Done, ""}});
  W.m_Core->tick(W.m_Now, W.wall(), Granted);
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  // Even a recorded end is not acknowledged, because the next leader may have
  // read the store before the end was recorded.
  W.record();
  W.advance(200ms);
  W.m_Core->tick(W.m_Now, W.wall(), Granted);
  CHECK_EQUAL(0u, W.m_Orders.m_Polls.back().m_AcknowledgedEndNumber);
}

// The earlier leader recorded a run end after this leader had read the rows.
TEST(Scheduler, MergesProgressRecordedByAnEarlierLeader) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1), W.step(1, {0})});
  JobProgress Stored;
  Stored.m_Done[{0, 0}] = {true};
  W.m_Core->mergeStoredProgress(W.job("j"), Stored);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, W.m_Orders.m_Starts[0].m_Run.m_Task.m_Step);
}

// A leader that was cut off by a network partition treated the leases of the
// servers on the other side as expired, while the next leader extended them.
TEST(Scheduler, DoesNotExpireLeasesWhileItsTermIsUnconfirmed) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.addServer("s2");
  W.tick();
  W.failPoll("s1");
  W.advance(7s);
  Authority Granted;
  Granted.m_IsTermConfirmed = false;
  W.m_Core->tick(W.m_Now, W.wall(), Granted);
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.tick();
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
}

TEST(Scheduler, ExplainsWhyAJobWaits) {
  SchedulerFixture W;
  auto Why = [&W](const char *Id) {
    return W.m_Core->pendingReason(JobId(Id), W.m_Now);
  };
  W.addServer("s1", 2);
  W.addJob("first", {W.step(2)});
  W.tick();
  W.addJob("second", {W.step(1)});
  W.tick();
  STRCMP_EQUAL("it does not wait", Why("first").c_str());
  STRCMP_CONTAINS("none of 1 usable servers of pool desk has room",
                  Why("second").c_str());
  StepSpec Labelled = W.step(1);
  Labelled.m_RequiredLabel = "gpu";
  W.addJob("third", {Labelled});
  W.tick();
  STRCMP_EQUAL("no server of pool desk may run it", Why("third").c_str());
  STRCMP_CONTAINS("not known", Why("nobody").c_str());
}

// A start and a poll that reached another server at the same address had
// different consequences: after the start the server stayed usable for 2 s.
TEST(Scheduler, AServerIsGoneOnceAnotherOneAnswersAStartAtItsAddress) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0, OrderResult::OtherIncarnation);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// Under overload the jobs that were closest to their objective started first,
// too late to meet it, and all other jobs waited until they were late as well.
TEST(Scheduler, StartsJobsThatCanBeOnTimeBeforeJobsThatWillBeLate) {
  SchedulerFixture W;
  // On time if it starts within 1.1 s.
  W.addJob("a", {W.step(1)});
  W.advance(1500ms);
  W.addJob("b", {W.step(1)});
  W.addServer("s1", 1);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Orders.m_Starts[0].m_Run == W.run("b", 0, 0, 1));
}

// Guards against counting steps that are done when a job's remaining time is
// compared with its objective.
TEST(Scheduler, JudgesWhetherAJobCanBeOnTimeByItsRemainingSteps) {
  SchedulerFixture W;
  JobProgress FirstStepDone;
  FirstStepDone.m_Done[{0, 0}] = {true};
  // Allowed 3.6 s for two steps of 1 s.
  W.addJob("a", {W.step(1), W.step(1, {0})}, FirstStepDone);
  W.advance(2s);
  W.addJob("b", {W.step(1)});
  W.addServer("s1", 1);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Orders.m_Starts[0].m_Run == W.run("a", 1, 0, 1));
}
