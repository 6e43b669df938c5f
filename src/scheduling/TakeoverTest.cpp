//===- TakeoverTest.cpp - Tests of the beginning of a term ----------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>
#include <ctime>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

void registerServers(SchedulerFixture &W, std::size_t Count) {
  for (std::size_t N = 0; N < Count; ++N) {
    ServerRegistration R;
    R.m_Id = ServerId("s" + std::to_string(N));
    R.m_Instance = InstanceId("on-" + R.m_Id.m_Text);
    R.m_Pool = PoolName("desk");
    R.m_Address = R.m_Id.m_Text;
    R.m_Capacity = {4000, 64000, 0};
    R.m_StartTimeMs = 1;
    W.m_Core->onServer(R, W.m_Now);
  }
}

} // namespace

TEST_GROUP(Takeover){};

// With 1,100 servers a new leader polled all of them at once, answered its own
// calls too late, and took hundreds of sound servers for unreachable.
TEST(Takeover, FirstPollsAreSpreadOverTime) {
  SchedulerFixture W(2);
  registerServers(W, 1100);
  W.tick();
  std::size_t AtOnce = W.m_Orders.m_Polls.size();
  CHECK(AtOnce <= 128);
  for (std::size_t N = 0; N < 1100; ++N) {
    CHECK(N < W.m_Orders.m_Polls.size());
    W.answerPoll(W.m_Orders.m_Polls[N].m_Server.m_Id.m_Text);
    W.tick();
    CHECK(W.m_Orders.m_Polls.size() - N <= AtOnce + 1);
  }
}

TEST(Takeover, UnreachableServersDoNotHoldUpTheFirstPollsOfOthers) {
  SchedulerFixture W(2);
  registerServers(W, 1100);
  W.tick();
  std::set<std::string> Failed;
  for (std::size_t N = 0; N < 128; ++N) {
    Failed.insert(W.m_Orders.m_Polls[N].m_Server.m_Id.m_Text);
    W.failPoll(W.m_Orders.m_Polls[N].m_Server.m_Id.m_Text);
  }
  W.advance(2s);
  W.m_Orders.m_Polls.clear();
  W.tick();
  std::size_t Others = 0;
  for (const PollOrder &Order : W.m_Orders.m_Polls)
    Others += !Failed.count(Order.m_Server.m_Id.m_Text);
  CHECK(Others >= 64);
}

// With more unreachable servers than can be polled at once, those with the
// first IDs took all places. The others were not polled again for 15 s, and
// jobs waited for them although they answered by then.
TEST(Takeover, UnreachableServersArePolledAgainInTurns) {
  constexpr std::size_t Unreachable = 400;
  SchedulerFixture W(2);
  registerServers(W, Unreachable);
  std::map<std::string, int> Polls;
  std::vector<PollOrder> Pending;
  for (int N = 0; N < 80; ++N) {
    if (N % 6 == 0)
      for (const PollOrder &Order : std::exchange(Pending, {}))
        W.m_Core->onPollFailed(Order, OrderResult::Unknown, W.m_Now);
    W.tick();
    for (const PollOrder &Order : std::exchange(W.m_Orders.m_Polls, {})) {
      ++Polls[Order.m_Server.m_Id.m_Text];
      Pending.push_back(Order);
    }
    W.advance(100ms);
  }
  CHECK_EQUAL(Unreachable, Polls.size());
  for (const auto &[Server, Count] : Polls)
    CHECK(Count > 1);
}

TEST(Takeover, AFailureOfThisProcessIsNoEvidenceAgainstAServer) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0, OrderResult::NotAttempted);
  W.advance(1s);
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  W.failPoll("s1", OrderResult::NotAttempted);
  CHECK(W.m_Core->servers().find(ServerId("s1"))->m_Reachable);
}

// Starts of a leader without descriptors failed by the thousand. The jobs
// counted as begun, and a status told a tenth of those that waited.
TEST(Takeover, AJobWhoseStartsHaveFailedStillCountsAsWaiting) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  CHECK_EQUAL(1u, W.m_Core->waitingJobs()[QueueName("asks")]);
  W.answerStart(0, OrderResult::NotSent);
  CHECK_EQUAL(1u, W.m_Core->waitingJobs()[QueueName("asks")]);
  W.failPoll("s1");
  W.advance(1s);
  W.tick();
  W.answerPoll("s1");
  W.tick();
  W.answerStart(1);
  CHECK_EQUAL(0u, W.m_Core->waitingJobs()[QueueName("asks")]);
}

// A new leader went through all servers for each waiting job, at each tick.
TEST(Takeover, ABacklogBehindAnUnreachableServerCostsLittle) {
  SchedulerFixture W(2);
  registerServers(W, 1100);
  for (std::size_t N = 0; N < 2000; ++N)
    W.addJob("job" + std::to_string(N), {W.step(8)});
  W.tick();
  std::clock_t Before = std::clock();
  for (int N = 0; N < 20; ++N) {
    W.advance(20ms);
    W.tick();
  }
  double Seconds = static_cast<double>(std::clock() - Before) / CLOCKS_PER_SEC;
  // A tick is due each 20 ms, so that these 20 may take 0.4 s.
  CHECK(Seconds < 0.4);
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
}

// A rack of servers was dark while the leader changed. All jobs of the pool
// waited 10.6 s, although the earlier leader had started none of them.
TEST(Takeover, JobsWithoutARecordedStartDoNotWaitForUnreachableServers) {
  SchedulerFixture W(2);
  W.m_Core->setStartsRecordedSince(0);
  W.addServer("s1");
  registerServers(W, 1);
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  W.addJob("waited", {W.step(1)});
  JobProgress Recorded;
  Recorded.m_State = JobState::Running;
  Recorded.m_StartedSteps = {{0, 0}};
  W.addJob("begun", {W.step(1)}, Recorded);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Orders.m_Starts[0].m_Run.m_Task.m_Job == JobId("waited"));
  W.advance(14s);
  W.tick();
  W.answerPoll("s1");
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
}

TEST(Takeover, StartsOfALeaderThatDidNotRecordAreLookedFor) {
  SchedulerFixture W(2);
  W.m_Core->setStartsRecordedSince(50);
  W.addServer("s1");
  registerServers(W, 1);
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  W.addJob("before", {W.step(1)}, {}, 50);
  W.addJob("after", {W.step(1)}, {}, 51);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Orders.m_Starts[0].m_Run.m_Task.m_Job == JobId("after"));
}

// Moves replace a server each, and the registration of the former one stays for
// seconds. Each held up all jobs of its pool after a change of the leader.
TEST(Takeover, AServerWhoseInstanceHasAnotherOneIsNotWaitedFor) {
  SchedulerFixture W(2);
  W.addServer("s1");
  registerServers(W, 1);
  InstanceListing Moved;
  Moved.m_Id = InstanceId("on-s0");
  Moved.m_Pool = PoolName("desk");
  Moved.m_Condition = InstanceCondition::Moving;
  W.m_Core->onInstances({Moved}, W.m_Now, W.m_Now);
  W.addJob("j", {W.step(1)});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// An instance that has been moved to the spare pool is up and has no server.
// The registration of its former server held up all jobs of the pool for
// seconds.
TEST(Takeover, AServerWhoseInstanceHasLeftThePoolIsNotWaitedFor) {
  SchedulerFixture W(2);
  W.addServer("s1");
  registerServers(W, 1);
  InstanceListing Spare;
  Spare.m_Id = InstanceId("on-s0");
  Spare.m_Pool = PoolName("reserve");
  W.m_Core->onInstances({Spare}, W.m_Now, W.m_Now);
  W.addJob("j", {W.step(1)});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// An instance left the spare pool after the list was requested, and an earlier
// leader may have runs on its new server. Guards against a second run.
TEST(Takeover, AServerIsWaitedForIfItRegisteredAfterTheListWasRequested) {
  SchedulerFixture W(2);
  W.addServer("s1");
  TimePoint Asked = W.m_Now;
  W.advance(10ms);
  registerServers(W, 1);
  InstanceListing Spare;
  Spare.m_Id = InstanceId("on-s0");
  Spare.m_Pool = PoolName("reserve");
  W.m_Core->onInstances({Spare}, Asked, W.m_Now);
  W.addJob("j", {W.step(1)});
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.m_Core->onInstances({Spare}, W.m_Now, W.m_Now);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

TEST(Takeover, AStartIsOrderedOnceItIsRecordedUnderTheTerm) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1", 4);
  W.addJob("j", {W.step(3), W.step(1, {0})});
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(Next.has_value());
  CHECK_EQUAL(2u, Next->m_Txn.m_Conditions.size());
  CHECK(Next->m_Txn.m_Conditions[1].m_At == W.termCondition().m_At);
  JobProgress Written = decodeProgress(Next->m_Txn.m_Puts[0].m_Value).value();
  CHECK(Written.m_StartedSteps ==
        (std::set<std::pair<std::uint32_t, std::uint32_t>>{{0, 0}}));
  CHECK(Written.m_State == JobState::Running);
  W.m_Writer->onResult(Next->m_Number, makeError(ErrorCode::Timeout, "commit"),
                       W.m_Now);
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.record();
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
}

TEST(Takeover, TheNextStepIsRecordedWithTheProgressOfTheOneBefore) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1", 4);
  W.addJob("j", {W.step(2), W.step(1, {0})});
  W.tick();
  W.record();
  W.tick();
  W.answerStart(0);
  W.answerStart(1);
  W.tick();
  W.answerPoll("s1", {{W.run("j", 0, 1, 1), "", 50, 0}},
               {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.record();
  W.tick();
  W.answerPoll("s1", {}, {{2, W.run("j", 0, 1, 1), EndKind::Done, ""}});
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
}

// Recording asks for as much as fits: with a backlog, only the jobs that are
// about to start, so that the next leader need not look for the others.
TEST(Takeover, OnlyStartsForWhichThereIsRoomAreRecorded) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1", 4);
  for (int N = 0; N < 20; ++N)
    W.addJob("job" + std::to_string(N), {W.step(2)});
  W.tick();
  W.tick();
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK_EQUAL(2u, Next->m_Txn.m_Puts.size());
  CHECK_EQUAL(0, W.m_Core->servers().find(ServerId("s1"))->m_Used.m_MilliCores);
}

// The steps that were done before a change of leader counted as demand until
// their job ended, so the pool of a backlog was sized too large.
TEST(Takeover, StepsThatAreDoneAreNoDemand) {
  SchedulerFixture W(2);
  JobProgress Progress;
  Progress.m_Done[{0, 0}] = {true, true};
  W.addJob("j", {SchedulerFixture::step(2), SchedulerFixture::step(3, {0})},
           Progress);
  PoolDemand D = W.m_Core->demand()[PoolName("desk")];
  CHECK_EQUAL(3000, D.m_Ready.m_MilliCores);
  CHECK_EQUAL(0, D.m_Blocked.m_MilliCores);
}

// A job was cancelled while the leader changed. The next leader did not know
// what the job's runs require, and started others of the organisation up to the
// cap beside them.
TEST(Takeover, NothingStartsBesideRunsOfUnknownSizeOfACappedOrganisation) {
  SchedulerFixture W(2);
  OrganisationPolicy Owner;
  Owner.m_Name = OrganisationName("school");
  Owner.m_Cap.m_MilliCores = 4000;
  W.m_Core->onConfig(
      ServingConfig::create(2, {}, {{PoolName("desk"), false, true}}, {Owner}));
  W.m_Core->onEarlierEnd(JobId("cancelled"), Owner.m_Name);
  W.addServer("s1", 8);
  W.tick();
  W.answerPoll("s1", {{W.run("cancelled", 0, 0, 1), "", 50, 0}});
  JobSpec Job;
  Job.m_Id = JobId("new");
  Job.m_Queue = QueueName("asks");
  Job.m_Pool = PoolName("desk");
  Job.m_Organisation = Owner.m_Name;
  Job.m_Steps = {SchedulerFixture::step(1)};
  W.m_Core->onJob(Job, {}, 1000, 1000, W.m_Now, W.wall());
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.answerPoll("s1", {},
               {{1, W.run("cancelled", 0, 0, 1), EndKind::Stopped, ""}});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// A rack was dark for longer than its leases when the leader changed. Jobs with
// recorded starts waited 10.6 s for it, although the earlier leader knew that
// nothing ran there.
TEST(Takeover, ServersThatTheEarlierLeaderFoundIdleAreNotWaitedFor) {
  SchedulerFixture W(2);
  W.m_Core->setStartsRecordedSince(0);
  W.addServer("s1");
  registerServers(W, 1);
  InstanceListing Dark;
  Dark.m_Id = InstanceId("on-s0");
  Dark.m_Pool = PoolName("desk");
  Dark.m_Server = ServerId("s0");
  W.m_Core->onInstances({Dark}, W.m_Now, W.m_Now);
  JobProgress Recorded;
  Recorded.m_State = JobState::Running;
  Recorded.m_StartedSteps = {{0, 0}};
  W.addJob("begun", {W.step(1)}, Recorded);
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.m_Core->setServersWithoutEarlierRuns({ServerId("s0")});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

namespace {

/// Lets \p Count polls of \p Server fail.
void failPolls(SchedulerFixture &W, const std::string &Server, int Count) {
  for (int N = 0; N < Count; ++N) {
    W.tick();
    W.failPoll(Server);
    W.advance(1s);
  }
}

} // namespace

// Guards against telling the next leader that a server is idle while a run of
// this leader may still be there.
TEST(Takeover, AServerCountsAsIdleOnceTheLeasesOfItsRunsAreOver) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  failPolls(W, "s1", 4);
  CHECK(W.m_Core->unreachableServersWithoutRuns(W.m_Now).empty());
  failPolls(W, "s1", 2);
  W.tick();
  CHECK(W.m_Core->unreachableServersWithoutRuns(W.m_Now) ==
        std::set<ServerId>{ServerId("s1")});
}

// An earlier leader may start runs on a server that has restarted since it
// answered this one. Guards against telling the next leader that it is idle.
TEST(Takeover, NoServerCountsAsIdleWhileEarlierLeadersMayHaveRuns) {
  SchedulerFixture W(2);
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.m_Core->markSuspected(ServerId("s1"), W.m_Now);
  failPolls(W, "s1", 8);
  CHECK(W.m_Core->unreachableServersWithoutRuns(W.m_Now).empty());
  W.m_Core->setServersWithoutEarlierRuns({ServerId("s1")});
  CHECK_EQUAL(1u, W.m_Core->unreachableServersWithoutRuns(W.m_Now).size());
  W.m_Core->setServersWithoutEarlierRuns({});
  failPolls(W, "s1", 8);
  CHECK_EQUAL(1u, W.m_Core->unreachableServersWithoutRuns(W.m_Now).size());
}

// A server is dark over two changes of leader, and the second leader has never
// seen its registration. Guards against a third one that waits for it.
TEST(Takeover, AnIdleServerThatHasNotRegisteredIsNamedAgain) {
  SchedulerFixture W(2);
  W.m_Core->setServersWithoutEarlierRuns({ServerId("s1")});
  W.tick();
  CHECK_EQUAL(1u, W.m_Core->unreachableServersWithoutRuns(W.m_Now).size());
}

// The registration of a server that is dark for long expires, but the platform
// lists it. Guards against a next leader that waits for it.
TEST(Takeover, AForgottenServerCountsAsIdleWhileItIsListed) {
  SchedulerFixture W;
  W.addServer("s1");
  W.m_Core->markSuspected(ServerId("s1"), W.m_Now);
  failPolls(W, "s1", 4);
  W.m_Core->onServerUnregistered(ServerId("s1"), W.m_Now);
  W.advance(8s);
  W.tick();
  CHECK(!W.m_Core->servers().find(ServerId("s1")));
  InstanceListing Dark;
  Dark.m_Id = InstanceId("on-s1");
  Dark.m_Pool = PoolName("desk");
  Dark.m_Server = ServerId("s1");
  W.m_Core->onInstances({Dark}, W.m_Now, W.m_Now);
  CHECK_EQUAL(1u, W.m_Core->unreachableServersWithoutRuns(W.m_Now).size());
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  CHECK(W.m_Core->unreachableServersWithoutRuns(W.m_Now).empty());
}

// Guards against a start on a server that the next leader takes for idle, also
// after the server has registered again.
TEST(Takeover, NothingStartsOnAHeldServer) {
  SchedulerFixture W;
  W.m_Core->holdServers({ServerId("s1")});
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.m_Core->holdServers({});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}
