//===- FleetPlannerTest.cpp - Tests of pool sizing ------------------------===//

#include "instances/testing/PlannerFixture.h"
#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace pollenspool;
using namespace std::chrono_literals;

TEST_GROUP(FleetPlanner){};

TEST(FleetPlanner, MovesSpareInstancesToAPoolWhoseDemandPeaks) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.list("s2", "reserve");
  W.list("s3", "reserve");
  W.m_World.addJob("j", {SchedulerFixture::step(9)});
  W.m_World.tick();
  auto Orders = W.plan();
  CHECK_EQUAL(2u, Orders.size());
  STRCMP_EQUAL("desk", Orders[0].m_To.m_Text.c_str());
  // Ordered moves count towards the target pool.
  CHECK_EQUAL(0u, W.plan().size());
}

TEST(FleetPlanner, MovesIdleInstancesToTheSparePoolAfterAPeak) {
  PlannerFixture W;
  for (const char *Id : {"s1", "s2", "s3", "s4"}) {
    W.m_World.addServer(Id, 4);
    W.list(Id, "desk");
  }
  CHECK(W.plan().size() >= 2u);
}

// After an outage of the store one queue's backlog kept all instances, none of
// which was ever idle. A queue whose peak came later got none for 3 s, and
// served a fifth of its requests in time.
TEST(FleetPlanner, ABacklogDoesNotKeepTheInstancesThatAnotherPoolNeeds) {
  PlannerFixture W;
  W.addDesk(4, 200);
  W.addHall("h1", 12);
  CHECK_EQUAL(0u, W.plan().size());
  CHECK_EQUAL(1u, W.reserved());
  ServerState *Drained = W.servers(true).front();
  CHECK_EQUAL(4u, Drained->m_Runs.size());
  for (std::size_t N = 0; N < W.m_World.m_Orders.m_Starts.size(); ++N)
    W.m_World.answerStart(N);
  W.endRuns(*Drained);
  CHECK_EQUAL(0u, Drained->m_Runs.size());
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  STRCMP_EQUAL("hall", Orders[0].m_To.m_Text.c_str());
  CHECK(Orders[0].m_Server == Drained->m_Registration.m_Id);
  // Each pool has its share now.
  CHECK_EQUAL(0u, W.plan().size());
  CHECK_EQUAL(1u, W.reserved());
}

TEST(FleetPlanner, APoolWithASmallDemandGetsAllThatItNeedsBesideABacklog) {
  PlannerFixture W;
  W.addDesk(6, 400);
  W.addHall("h1", 8);
  W.plan();
  // Eight tasks need three instances with the headroom; hall has one.
  CHECK_EQUAL(2u, W.reserved());
}

TEST(FleetPlanner, AFreedInstanceTakesTasksAgainOnceTheOtherPoolNeedsNoMore) {
  PlannerFixture W;
  W.addDesk(4, 200);
  W.addHall("h1", 12);
  W.plan();
  CHECK_EQUAL(1u, W.reserved());
  W.m_World.m_Core->onJobEnded(JobId("h"));
  W.m_World.advance(60s);
  W.plan();
  CHECK_EQUAL(0u, W.reserved());
}

TEST(FleetPlanner, LongRunningTasksKeepTheirInstances) {
  PlannerFixture W;
  StepSpec Step = SchedulerFixture::step(3);
  Step.m_IsLongRunning = true;
  Step.m_RequiredResources = {4000, 1000, 0};
  W.m_World.addJob("l", {Step});
  W.addDesk(3, 200);
  W.addHall("h1", 12);
  W.plan();
  CHECK_EQUAL(0u, W.reserved());
}

// Guards against a pool that is not enlarged while a wave drains two of its
// instances: a long-running task that had left one of them found no other
// server.
TEST(FleetPlanner, ReplacesDrainingInstances) {
  PlannerFixture W;
  for (const char *Id : {"s1", "s2", "s3", "s4"}) {
    W.m_World.addServer(Id, 4);
    W.list(Id, "desk");
  }
  for (const char *Id : {"r1", "r2", "r3"})
    W.list(Id, "reserve");
  W.addLastingJob();
  W.m_World.addJob("j", {SchedulerFixture::step(8)});
  W.m_World.tick();
  W.addWave({InstanceId("on-s1"), InstanceId("on-s2")}, 2);
  W.plan();
  std::size_t MovedIn = 0;
  for (const InstanceOrder &Order : W.plan())
    MovedIn += Order.isMove() && Order.m_To == PoolName("desk");
  CHECK(MovedIn >= 2u);
}

// Guards against a job that waits forever although spare instances are left:
// the adviser allowed its step on none of the pool's servers.
TEST(FleetPlanner, MovesASpareInstanceIfTheAdviserAllowsNoServerOfThePool) {
  PlannerFixture W;
  W.m_World.setAdvicePolicy({10ms, 1ms, 3000ms});
  W.addSparePool();
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.list("s2", "reserve");
  W.m_World.addJob("j", {SchedulerFixture::step(1)});
  W.m_World.tick();
  CHECK_EQUAL(0u, W.plan().size());
  W.m_World.m_Core->onAdvice(W.m_World.m_Orders.m_Advice.at(0),
                             AdviceReply{{}, 3000ms}, W.m_World.m_Now);
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  STRCMP_EQUAL("on-s2", Orders[0].m_Instance.m_Text.c_str());
  STRCMP_EQUAL("desk", Orders[0].m_To.m_Text.c_str());
  // Only one instance is moved at a time.
  CHECK_EQUAL(0u, W.plan().size());
}

TEST(FleetPlanner, MovesASpareInstanceWithTheRequiredLabel) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.list("s2", "reserve");
  W.m_List.back().m_Labels = {"small"};
  W.list("s3", "reserve");
  W.m_List.back().m_Labels = {"large"};
  W.applyList();
  StepSpec Step = SchedulerFixture::step(1);
  Step.m_RequiredLabel = "large";
  W.m_World.addJob("j", {Step});
  W.m_World.tick();
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  STRCMP_EQUAL("on-s3", Orders[0].m_Instance.m_Text.c_str());
}

// Guards against a new leader that orders maintenance for a server whose runs
// it does not know yet: that stopped a second long-running task of a step.
TEST(FleetPlanner, SendsNoOrderForAServerWhoseRunsAreUnknown) {
  PlannerFixture W(2);
  ServerRegistration R;
  R.m_Id = ServerId("s1");
  R.m_Instance = InstanceId("on-s1");
  R.m_Pool = PoolName("desk");
  W.m_World.m_Core->onServer(R, W.m_World.m_Now);
  W.list("s1", "desk");
  W.addWave({InstanceId("on-s1")}, 1);
  CHECK_EQUAL(0u, W.plan().size());
  W.m_World.tick();
  W.m_World.answerPoll("s1");
  CHECK_EQUAL(1u, W.plan().size());
}

TEST(FleetPlanner, DefersOrdersForInstancesThatAnEarlierLeaderOrdered) {
  PlannerFixture W(2);
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.addWave({InstanceId("on-s1")}, 1);
  W.m_Planner->deferOrders(InstanceId("on-s1"), W.m_World.m_Now + 3s);
  CHECK_EQUAL(0u, W.plan().size());
  W.m_World.advance(3s);
  CHECK_EQUAL(1u, W.plan().size());
}

// Guards against taking runs for ended: maintenance whose answer was lost is
// ordered again and reported as done, while the server that has returned in the
// meantime still runs.
TEST(FleetPlanner, KeepsRunsIfAnEarlierOrderMayHaveBeenCarriedOut) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.addWave({InstanceId("on-s1")}, 1, 1s);
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  W.m_Planner->onOrderResult(Orders[0], InstanceOrderResult::Unknown,
                             W.m_World.m_Now);
  W.applyList();
  ServerState &S = *W.m_World.m_Core->servers().find(ServerId("s1"));
  S.m_Reserved = false;
  W.m_World.addJob("j", {SchedulerFixture::step(1)});
  W.m_World.tick();
  CHECK_EQUAL(1u, W.m_World.m_Orders.m_Starts.size());
  W.m_World.answerStart(0);
  W.m_World.advance(2s);
  Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  W.m_Planner->onOrderResult(Orders[0], InstanceOrderResult::Done,
                             W.m_World.m_Now);
  W.m_World.tick();
  CHECK_EQUAL(1u, W.m_World.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, S.m_Runs.size());
}

// Guards against a server that takes no tasks for the rest of a term: the
// answer to an order to move its instance was lost, and the order was not
// carried out.
TEST(FleetPlanner, AServerWhoseOrderWasNotCarriedOutTakesTasksAgain) {
  PlannerFixture W;
  for (const char *Server : {"s0", "s1"}) {
    W.m_World.addServer(Server);
    W.list(Server, "desk");
  }
  W.addHall("h1", 40);
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  W.m_Planner->onOrderResult(Orders[0], InstanceOrderResult::Unknown,
                             W.m_World.m_Now);
  CHECK_EQUAL(1u, W.reserved());
  W.applyList();
  CHECK_EQUAL(0u, W.reserved());
}

// Guards against draining servers whose instances no pool waits for.
TEST(FleetPlanner, SpareInstancesAreUsedBeforeServersAreDrained) {
  PlannerFixture W;
  W.list("r1", "reserve");
  W.list("r2", "reserve");
  W.list("r3", "reserve");
  W.addDesk(4, 8);
  W.addHall("h1", 12);
  W.m_Planner->plan(W.m_World.m_Now, W.m_World.wall(), 1);
  CHECK_EQUAL(0u, W.reserved());
}

// Guards against a task that waits for a suitable server forever, because only
// the first 200 waiting jobs of all pools were searched for such tasks.
TEST(FleetPlanner, ABacklogOfOnePoolDoesNotHideTheTasksOfAnother) {
  PlannerFixture W;
  W.addDesk(1, 8);
  W.addHall("h1", 1);
  for (int N = 0; N < 300; ++N)
    W.m_World.addJob("j" + std::to_string(N), {SchedulerFixture::step(8)});
  W.list("r1", "reserve");
  W.list("r2", "reserve");
  W.m_List.back().m_Labels = {"large"};
  W.applyList();
  JobSpec Job;
  Job.m_Id = JobId("labelled");
  Job.m_Queue = QueueName("plans");
  Job.m_Pool = PoolName("hall");
  Job.m_Steps = {SchedulerFixture::step(1)};
  Job.m_Steps.front().m_RequiredLabel = "large";
  Job.m_AcceptedAt = W.m_World.wall();
  W.m_World.m_Core->onJob(Job, {}, 1, 1, W.m_World.m_Now, W.m_World.wall());
  W.m_World.tick();
  auto Orders = W.plan();
  CHECK(std::any_of(Orders.begin(), Orders.end(), [](const InstanceOrder &O) {
    return O.m_Instance == InstanceId("on-r2") && O.m_To == PoolName("hall");
  }));
}

namespace {

/// A step of tasks that last and need \p Required each.
StepSpec lastingStep(std::uint32_t Count, const Resources &Required) {
  StepSpec Step = SchedulerFixture::step(Count);
  Step.m_IsLongRunning = true;
  Step.m_RequiredResources = Required;
  return Step;
}

/// Starts \p Lasting on \p Servers servers, adds a task that needs \p Required
/// and finds no room on them, and expects that the only spare instance moves
/// to the pool.
void expectMoveForTask(PlannerFixture &W, std::size_t Servers,
                       const StepSpec &Lasting, const Resources &Required) {
  for (std::size_t N = 0; N < Servers; ++N) {
    W.m_World.addServer("s" + std::to_string(N), 4);
    W.list("s" + std::to_string(N), "desk");
  }
  W.list("r1", "reserve");
  W.m_World.addJob("l", {Lasting});
  W.m_World.tick();
  CHECK_EQUAL(Lasting.m_Count, W.m_World.m_Orders.m_Starts.size());
  StepSpec Step = SchedulerFixture::step(1);
  Step.m_RequiredResources = Required;
  W.m_World.addJob("j", {Step});
  W.m_World.tick();
  CHECK_EQUAL(Lasting.m_Count, W.m_World.m_Orders.m_Starts.size());
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  STRCMP_EQUAL("on-r1", Orders[0].m_Instance.m_Text.c_str());
  STRCMP_EQUAL("desk", Orders[0].m_To.m_Text.c_str());
}

} // namespace

// Guards against a task that waits forever in a pool with free cores and too
// little free memory, while spare instances are left.
TEST(FleetPlanner, APoolGrowsIfItsMemoryIsFull) {
  PlannerFixture W;
  expectMoveForTask(W, 2, lastingStep(2, {500, 60000, 0}), {1000, 8000, 0});
}

// Guards against the same if best-effort tasks, which occupy no cores, have
// filled the memory.
TEST(FleetPlanner, APoolGrowsIfBestEffortTasksHaveFilledItsMemory) {
  PlannerFixture W;
  StepSpec Filling = SchedulerFixture::step(2);
  Filling.m_IsBestEffort = true;
  Filling.m_RequiredResources = {1000, 60000, 0};
  expectMoveForTask(W, 2, Filling, {1000, 8000, 0});
}

// Guards against the same if the free cores are enough in sum, but too few on
// each server, and the tasks there do not end.
TEST(FleetPlanner, APoolGrowsIfNoServerHasRoomBesideLastingTasks) {
  PlannerFixture W;
  expectMoveForTask(W, 10, lastingStep(10, {3000, 1000, 0}), {2000, 1000, 0});
}

// Guards against a pool without any server while its instances are on their
// way: those that had arrived moved out, since the others counted for them.
TEST(FleetPlanner, InstancesOnTheirWayDoNotReplaceThoseThatHaveArrived) {
  PlannerFixture W;
  W.addDesk(2, 40);
  for (const char *Id : {"r1", "r2", "r3"})
    W.list(Id, "reserve");
  for (std::size_t N = 0; N < W.m_World.m_Orders.m_Starts.size(); ++N)
    W.m_World.answerStart(N);
  auto Orders = W.plan();
  CHECK_EQUAL(3u, Orders.size());
  for (const InstanceOrder &Order : Orders)
    W.m_Planner->onOrderResult(Order, InstanceOrderResult::Done,
                               W.m_World.m_Now);
  W.m_World.m_Core->onJobEnded(JobId("j"));
  for (ServerState *S : W.servers(false))
    W.endRuns(*S);
  W.m_World.advance(60s);
  std::size_t MovedOut = 0;
  for (const InstanceOrder &Order : W.plan())
    MovedOut += Order.m_To == PoolName("reserve");
  CHECK_EQUAL(1u, MovedOut);
}
