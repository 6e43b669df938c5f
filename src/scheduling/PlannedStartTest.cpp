//===- PlannedStartTest.cpp - Tests of starts that wait for a record ------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

std::set<ServerId> serversOf(const std::vector<StartOrder> &Starts) {
  std::set<ServerId> Servers;
  for (const StartOrder &Order : Starts)
    Servers.insert(Order.m_Server.m_Id);
  return Servers;
}

} // namespace

TEST_GROUP(PlannedStart){};

// All replicas of a step were planned on one server, so that a crash of it
// stopped all of them.
TEST(PlannedStart, ReplicasAreSpreadThoughTheirStartsWaitForARecord) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  for (int N = 0; N < 3; ++N)
    W.addServer("s" + std::to_string(N), 8);
  StepSpec Replicas = W.step(3);
  Replicas.m_IsLongRunning = true;
  Replicas.m_MaxUnavailable = 1;
  W.addJob("j", {Replicas});
  W.tick();
  W.record();
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(3u, serversOf(W.m_Orders.m_Starts).size());
}

// The same for best-effort tasks, which share the cores that are left over.
TEST(PlannedStart, BestEffortTasksAreSpreadThoughTheirStartsWaitForARecord) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  for (int N = 0; N < 3; ++N)
    W.addServer("s" + std::to_string(N), 8);
  StepSpec BestEffort = W.step(3);
  BestEffort.m_IsBestEffort = true;
  W.addJob("j", {BestEffort});
  W.tick();
  W.record();
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(3u, serversOf(W.m_Orders.m_Starts).size());
}

// A task was started in the pool that its queue had used when the start was
// planned.
TEST(PlannedStart, ATaskIsNotStartedInAPoolThatItsQueueHasLeft) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1");
  W.addJob("j", {W.step(2)});
  W.tick();
  QueuePolicy Queue;
  Queue.m_Name = QueueName("asks");
  Queue.m_Pool = PoolName("hall");
  W.m_Core->onConfig(ServingConfig::create(
      2, {Queue},
      {{PoolName("desk"), false, true}, {PoolName("hall"), false, true}}));
  W.record();
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
}

// While the store was away, planned starts kept the resources from tasks that
// need no record.
TEST(PlannedStart, ResourcesAreReleasedIfTheRecordTakesLong) {
  SchedulerFixture W(2);
  W.m_Core->setRecordsStarts(true);
  W.m_Core->setStartsRecordedSince(0);
  W.addServer("s1", 4);
  W.addJob("j", {W.step(4)}, {}, 200);
  W.tick();
  JobProgress Started;
  Started.m_StartedSteps.insert({0, 0});
  StepSpec Urgent = W.step(4);
  Urgent.m_IsLongRunning = true;
  W.addJob("urgent", {Urgent}, Started, 200);
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.advance(400ms);
  W.tick();
  CHECK_EQUAL(4u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Orders.m_Starts.front().m_Run.m_Task.m_Job == JobId("urgent"));
}

// A task with a planned start was also put into the ready list after a run of
// it had been found and had failed, and then held resources twice.
TEST(PlannedStart, ATaskThatFailsBeforeItsRecordIsStartedOnce) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1", 4);
  W.addJob("j", {W.step(1)});
  W.tick();
  W.advance(50ms);
  W.m_Core->markSuspected(ServerId("s1"), W.m_Now);
  W.tick();
  W.answerPoll("s1", {{W.run("j", 0, 0, 1), "", 10, 0}});
  W.tick();
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Failed, ""}});
  LiveJob &Job = W.job("j");
  CHECK_EQUAL(1u, Job.m_Ready.size() + Job.m_PlannedStarts.size());
  W.record();
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(2u, W.m_Orders.m_Starts[0].m_Run.m_Number);
}

// A planned start is given up after 300 ms and made again. Guards against a job
// that waits on after its partition of the store takes writes again.
TEST(PlannedStart, ATaskStartsSoonAfterTheStoreTakesItsRecord) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1", 4);
  W.addJob("j", {W.step(2)});
  W.tick();
  auto WriteWith = [&W](const Result<CommitOutcome> &Outcome) {
    auto Next = W.m_Writer->next(W.m_Now, W.wall());
    if (Next)
      W.m_Writer->onResult(Next->m_Number, Outcome, W.m_Now);
    return Next.has_value();
  };
  std::size_t Writes = 0;
  for (int N = 0; N < 1000; ++N) {
    W.advance(10ms);
    W.tick();
    Writes += WriteWith(makeError(ErrorCode::Unavailable, "commit"));
  }
  CHECK(Writes > 20);
  CHECK(W.job("j").m_PlansDropped > 20);
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  CommitOutcome Committed;
  Committed.m_Committed = true;
  Committed.m_Version = 500;
  // The longest delay between two writes of a partition that fails.
  for (int N = 0; N < 40; ++N) {
    W.advance(10ms);
    WriteWith(Committed);
    W.tick();
  }
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(0u, W.job("j").m_PlansDropped);
}
