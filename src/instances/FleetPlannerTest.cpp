//===- FleetPlannerTest.cpp - Tests of pool sizing and waves --------------===//

#include "instances/FleetPlanner.h"
#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A scheduler fixture with the pool "desk", the spare pool "reserve" and a
/// planner.
struct PlannerFixture {
  SchedulerFixture m_World;
  std::unique_ptr<FleetPlanner> m_Planner;
  std::vector<InstanceListing> m_List;
  bool m_Inherited = false;

  explicit PlannerFixture(Term T = 1) : m_World(T) {
    addSparePool();
    m_Planner = FleetPlanner::create({}, *m_World.m_Core);
  }
  void addSparePool() {
    const ServingConfig &Config = *m_World.m_Core->config();
    auto Pools = Config.pools();
    Pools.push_back({PoolName("reserve"), true, true});
    m_World.m_Core->onConfig(
        ServingConfig::create(Config.version(), Config.queues(), Pools));
  }
  void list(const std::string &Server, const std::string &Pool) {
    InstanceListing L;
    L.m_Id = InstanceId("on-" + Server);
    L.m_Pool = PoolName(Pool);
    L.m_Capacity = {4000, 64000, 0};
    if (Pool != "reserve")
      L.m_Server = ServerId(Server);
    m_List.push_back(L);
    applyList();
  }
  void applyList() {
    m_World.advance(1ms);
    m_World.m_Core->onInstances(m_List, m_World.m_Now, m_World.m_Now);
    m_Planner->onInstances(m_World.m_Now);
  }
  std::vector<InstanceOrder> plan() {
    return m_Planner->plan(m_World.m_Now, m_World.wall(), 12);
  }
  void addWave(std::vector<InstanceId> Instances, std::uint32_t AtOnce,
               std::chrono::milliseconds Within = 60s) {
    WaveProgress Progress;
    Progress.m_SeenAt = m_World.wall();
    m_Planner->onWave({WaveId("1"), std::move(Instances), Within, AtOnce},
                      Progress, m_Inherited);
  }
  /// Adds the pool "hall", server \p Server and a job of \p Tasks tasks.
  void addHall(const std::string &Server, std::uint32_t Tasks) {
    const ServingConfig &Config = *m_World.m_Core->config();
    auto Pools = Config.pools();
    Pools.push_back({PoolName("hall"), false, true});
    m_World.m_Core->onConfig(
        ServingConfig::create(Config.version(), Config.queues(), Pools));
    ServerRegistration R;
    R.m_Id = ServerId(Server);
    R.m_Instance = InstanceId("on-" + Server);
    R.m_Pool = PoolName("hall");
    R.m_Capacity = {4000, 64000, 0};
    m_World.m_Core->onServer(R, m_World.m_Now);
    m_World.tick();
    m_World.answerPoll(Server);
    list(Server, "hall");
    JobSpec Job;
    Job.m_Id = JobId("h");
    Job.m_Queue = QueueName("plans");
    Job.m_Pool = PoolName("hall");
    Job.m_Steps = {SchedulerFixture::step(Tasks)};
    Job.m_AcceptedAt = m_World.wall();
    m_World.m_Core->onJob(Job, {}, 1, 1, m_World.m_Now, m_World.wall());
  }
  /// Adds servers s0, s1 ... to the pool "desk", and its job "j" of \p Tasks
  /// tasks of one core.
  void addDesk(std::size_t Servers, std::uint32_t Tasks) {
    for (std::size_t N = 0; N < Servers; ++N) {
      m_World.addServer("s" + std::to_string(N), 4);
      list("s" + std::to_string(N), "desk");
    }
    m_World.addJob("j", {SchedulerFixture::step(Tasks)});
    m_World.tick();
  }
  /// All servers, or only those that get no new tasks.
  std::vector<ServerState *> servers(bool OnlyReserved) {
    std::vector<ServerState *> Found;
    for (auto &[Id, S] : m_World.m_Core->servers().all())
      if (S.m_Reserved || !OnlyReserved)
        Found.push_back(&S);
    return Found;
  }
  std::size_t reserved() { return servers(true).size(); }
  /// Lets all runs of \p S end, and starts what is placed then.
  void endRuns(const ServerState &S) {
    std::vector<EndReport> Ends;
    for (const auto &[Id, Run] : S.m_Runs)
      Ends.push_back({Ends.size() + 1, Id, EndKind::Done, ""});
    m_World.advance(100ms);
    m_World.tick();
    m_World.answerPoll(S.m_Registration.m_Id.m_Text, {}, Ends);
    m_World.tick();
  }
  /// Adds a job of three long-running tasks, one per server, of which one may
  /// be unavailable.
  void addLastingJob() {
    StepSpec Step = SchedulerFixture::step(3);
    Step.m_IsLongRunning = true;
    Step.m_MaxPerServer = 1;
    Step.m_MaxUnavailable = 1;
    m_World.addJob("l", {Step});
  }
};

} // namespace

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

// Jobs that could no longer be on time held servers, so that those of another
// queue became late as well.
TEST(FleetPlanner, LateJobsLeaveInstancesToThoseThatCanBeOnTime) {
  PlannerFixture W;
  W.addDesk(4, 200);
  W.m_World.advance(3s);
  W.addHall("h1", 12);
  W.plan();
  CHECK_EQUAL(3u, W.reserved());
}

// A pool kept idle servers for seconds after its peak, while the tasks of
// another pool waited for them.
TEST(FleetPlanner, APoolKeepsNothingAfterItsPeakThatAnotherPoolNeeds) {
  PlannerFixture W;
  W.addDesk(4, 16);
  W.plan();
  W.m_World.m_Core->onJobEnded(JobId("j"));
  for (ServerState *S : W.servers(false))
    W.endRuns(*S);
  W.addHall("h1", 12);
  CHECK_EQUAL(3u, W.plan().size());
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

TEST(FleetPlanner, RespectsTheConcurrencyLimitOfAWave) {
  PlannerFixture W;
  for (const char *Id : {"s1", "s2", "s3"}) {
    W.m_World.addServer(Id, 4);
    W.list(Id, "desk");
  }
  W.addWave({InstanceId("on-s1"), InstanceId("on-s2"), InstanceId("on-s3")}, 2);
  std::size_t MaintenanceOrders = 0;
  for (const InstanceOrder &Order : W.plan())
    MaintenanceOrders += !Order.isMove();
  CHECK_EQUAL(2u, MaintenanceOrders);
}

TEST(FleetPlanner, KeepsLongRunningTasksAvailableDuringAWave) {
  PlannerFixture W;
  std::vector<InstanceId> Instances;
  for (const char *Id : {"s1", "s2", "s3"}) {
    W.m_World.addServer(Id, 4);
    W.list(Id, "desk");
    Instances.push_back(InstanceId(std::string("on-") + Id));
  }
  W.addLastingJob();
  W.m_World.tick();
  CHECK_EQUAL(3u, W.m_World.m_Orders.m_Starts.size());
  for (std::size_t N = 0; N < 3; ++N)
    W.m_World.answerStart(N);
  W.m_World.tick();
  for (const StartOrder &S : W.m_World.m_Orders.m_Starts)
    W.m_World.answerPoll(S.m_Server.m_Id.m_Text, {{S.m_Run, "", 100, 0}});
  // The wave is urgent, so that the pool's target size does not delay it.
  W.addWave(Instances, 3, 1s);
  std::size_t MaintenanceOrders = 0;
  for (const InstanceOrder &Order : W.plan())
    MaintenanceOrders += !Order.isMove();
  CHECK_EQUAL(1u, MaintenanceOrders);
}

TEST(FleetPlanner, CompletesAWaveOnlyAfterMaintenanceOfEveryInstance) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.addWave({InstanceId("on-s1")}, 1);
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  W.m_Planner->onOrderResult(Orders[0], InstanceOrderResult::Unknown,
                             W.m_World.m_Now);
  W.plan();
  CHECK_FALSE(W.m_Planner->progress(WaveId("1")).m_Complete);
  W.applyList();
  W.m_World.advance(1s);
  W.m_World.tick();
  W.m_World.answerPoll("s1");
  Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  W.m_Planner->onOrderResult(Orders[0], InstanceOrderResult::Done,
                             W.m_World.m_Now);
  W.plan();
  CHECK(W.m_Planner->progress(WaveId("1")).m_Complete);
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

// Guards against a server whose maintenance is blocked forever: it runs two
// tasks of a step of which only one may be unavailable.
TEST(FleetPlanner, RelocatesTasksThatMayNotBeStoppedTogether) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  StepSpec Step = SchedulerFixture::step(2);
  Step.m_IsLongRunning = true;
  Step.m_MaxUnavailable = 1;
  W.m_World.addJob("l", {Step});
  W.m_World.tick();
  CHECK_EQUAL(2u, W.m_World.m_Orders.m_Starts.size());
  W.m_World.answerStart(0);
  W.m_World.answerStart(1);
  W.m_World.tick();
  W.m_World.answerPoll("s1",
                       {{SchedulerFixture::run("l", 0, 0, 1), "", 100, 0},
                        {SchedulerFixture::run("l", 0, 1, 1), "", 100, 0}});
  W.addWave({InstanceId("on-s1")}, 1, 1s);
  CHECK_EQUAL(0u, W.plan().size());
  CHECK_EQUAL(1u, W.m_World.m_Orders.m_Stops.size());
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

// Guards against a second start of a long-running task. A new leader ordered
// maintenance that the earlier one had carried out but not recorded; the answer
// was "done", and a task that still ran was started again.
TEST(FleetPlanner, KeepsRunsAfterMaintenanceOfAnInheritedWave) {
  PlannerFixture W;
  W.m_Inherited = true;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  StepSpec Step = SchedulerFixture::step(1);
  Step.m_IsLongRunning = true;
  W.m_World.addJob("l", {Step});
  W.m_World.tick();
  W.m_World.answerStart(0);
  W.m_World.tick();
  W.m_World.addServer("s2", 4);
  W.addWave({InstanceId("on-s1")}, 1, 1s);
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  W.m_Planner->onOrderResult(Orders[0], InstanceOrderResult::Done,
                             W.m_World.m_Now);
  W.m_World.tick();
  CHECK_EQUAL(1u, W.m_World.m_Orders.m_Starts.size());
  // No task is started on the server before it answers.
  W.m_World.addJob("j", {SchedulerFixture::step(1)});
  W.m_World.tick();
  CHECK_EQUAL(2u, W.m_World.m_Orders.m_Starts.size());
  STRCMP_EQUAL("s2",
               W.m_World.m_Orders.m_Starts[1].m_Server.m_Id.m_Text.c_str());
}

// A new leader ordered the maintenance of an instance. The answer to a poll
// that it had sent before arrived afterwards and still listed the instance's
// task, and the leader ended a second task of a step of which one may be
// unavailable.
TEST(FleetPlanner, ALateAnswerDoesNotMakeAnOrderedInstanceAvailable) {
  PlannerFixture W;
  W.m_Inherited = true;
  for (const char *Id : {"s1", "s2", "s3", "s4"}) {
    W.m_World.addServer(Id, 1);
    W.list(Id, "desk");
  }
  W.addLastingJob();
  W.m_World.tick();
  CHECK_EQUAL(3u, W.m_World.m_Orders.m_Starts.size());
  std::vector<InstanceId> Instances;
  for (std::size_t N = 0; N < 3; ++N) {
    const StartOrder Start = W.m_World.m_Orders.m_Starts[N];
    W.m_World.answerStart(N);
    W.m_World.tick();
    W.m_World.answerPoll(Start.m_Server.m_Id.m_Text,
                         {{Start.m_Run, "", 100, 0}});
    Instances.emplace_back("on-" + Start.m_Server.m_Id.m_Text);
  }
  W.m_World.advance(1s);
  W.m_World.tick();
  W.addWave(Instances, 2, 1s);
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  W.m_World.advance(1ms);
  W.m_Planner->onOrderResult(Orders[0], InstanceOrderResult::Done,
                             W.m_World.m_Now);
  for (const StartOrder &Start : W.m_World.m_Orders.m_Starts)
    if (Start.m_Server.m_Id == Orders[0].m_Server)
      W.m_World.answerPoll(Start.m_Server.m_Id.m_Text,
                           {{Start.m_Run, "", 100, 0}});
  CHECK_FALSE(
      W.m_World.m_Core->servers().find(Orders[0].m_Server)->m_Reachable);
  CHECK_EQUAL(0u, W.plan().size());
}

// The pages of one instance list missed an instance that moved. Its wave was
// said to be completed, and the instance never had its maintenance.
TEST(FleetPlanner, AnInstanceMissingFromOneListDoesNotCompleteItsWave) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.m_World.addServer("s2", 4);
  W.list("s2", "desk");
  W.addWave({InstanceId("on-s2")}, 1);
  auto Full = W.m_List;
  W.m_List.pop_back();
  W.applyList();
  CHECK_EQUAL(0u, W.plan().size());
  CHECK_FALSE(W.m_Planner->progress(WaveId("1")).m_Complete);
  W.m_List = Full;
  W.applyList();
  std::size_t MaintenanceOrders = 0;
  for (const InstanceOrder &Order : W.plan())
    MaintenanceOrders += !Order.isMove();
  CHECK_EQUAL(1u, MaintenanceOrders);
}

TEST(FleetPlanner, CompletesAWaveWithoutTheInstancesThatHaveLeft) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.addWave({InstanceId("on-gone")}, 1);
  for (int N = 0; N < 4; ++N) {
    W.applyList();
    W.m_World.advance(1s);
  }
  W.plan();
  CHECK(W.m_Planner->progress(WaveId("1")).m_Complete);
}

// Operators added an instance to a wave that had ended. The wave stayed
// completed, and the instance never had its maintenance.
TEST(FleetPlanner, ReopensACompletedWaveToWhichAnInstanceIsAdded) {
  PlannerFixture W;
  for (const char *Id : {"s1", "s2", "s3"}) {
    W.m_World.addServer(Id, 4);
    W.list(Id, "desk");
  }
  W.addWave({InstanceId("on-s1")}, 1);
  for (const InstanceOrder &Order : W.plan())
    W.m_Planner->onOrderResult(Order, InstanceOrderResult::Done,
                               W.m_World.m_Now);
  W.plan();
  CHECK(W.m_Planner->progress(WaveId("1")).m_Complete);
  W.m_Planner->takeChangedWaves();
  W.m_Planner->onWaveRewritten(
      {WaveId("1"), {InstanceId("on-s1"), InstanceId("on-s2")}, 60s, 1});
  CHECK_FALSE(W.m_Planner->progress(WaveId("1")).m_Complete);
  CHECK_EQUAL(1u, W.m_Planner->takeChangedWaves().size());
}

// As above, while the leader changed: the next one took the recorded end of the
// wave for the end of its new list of instances.
TEST(FleetPlanner, ARecordedEndOfAWaveCountsOnlyForTheInstancesThatAreDone) {
  PlannerFixture W;
  WaveProgress Progress;
  Progress.m_SeenAt = W.m_World.wall();
  Progress.m_Done = {InstanceId("on-s1")};
  Progress.m_Complete = true;
  W.m_Planner->onWave(
      {WaveId("1"), {InstanceId("on-s1"), InstanceId("on-s2")}, 60s, 1},
      Progress, true);
  CHECK_FALSE(W.m_Planner->progress(WaveId("1")).m_Complete);
  W.m_Planner->onWave({WaveId("2"), {InstanceId("on-s1")}, 60s, 1}, Progress,
                      true);
  CHECK(W.m_Planner->progress(WaveId("2")).m_Complete);
}

// The platform had not read the new version of a wave yet and said that an
// instance was not part of it. The instance counted as done, and the wave as
// completed.
TEST(FleetPlanner, OneAnswerThatAnInstanceIsNotInTheWaveDoesNotCompleteIt) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.addWave({InstanceId("on-s1")}, 1);
  int Answers = 0;
  while (!W.m_Planner->progress(WaveId("1")).m_Complete && Answers < 20) {
    for (const InstanceOrder &Order : W.plan()) {
      W.m_Planner->onOrderResult(Order, InstanceOrderResult::NotInWave,
                                 W.m_World.m_Now);
      ++Answers;
    }
    W.m_World.advance(100ms);
  }
  CHECK(Answers >= 3);
  CHECK(W.m_Planner->progress(WaveId("1")).m_Complete);
}
