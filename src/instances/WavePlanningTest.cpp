//===- WavePlanningTest.cpp - Tests of maintenance waves ------------------===//

#include "instances/testing/PlannerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

TEST_GROUP(WavePlanning){};

TEST(WavePlanning, RespectsTheConcurrencyLimitOfAWave) {
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

TEST(WavePlanning, KeepsLongRunningTasksAvailableDuringAWave) {
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

TEST(WavePlanning, CompletesAWaveOnlyAfterMaintenanceOfEveryInstance) {
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

// Guards against a server whose maintenance is blocked forever: it runs two
// tasks of a step of which only one may be unavailable.
TEST(WavePlanning, RelocatesTasksThatMayNotBeStoppedTogether) {
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

// Guards against a second start of a long-running task. A new leader ordered
// maintenance that the earlier one had carried out but not recorded; the answer
// was "done", and a task that still ran was started again.
TEST(WavePlanning, KeepsRunsAfterMaintenanceOfAnInheritedWave) {
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
TEST(WavePlanning, ALateAnswerDoesNotMakeAnOrderedInstanceAvailable) {
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
TEST(WavePlanning, AnInstanceMissingFromOneListDoesNotCompleteItsWave) {
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

TEST(WavePlanning, CompletesAWaveWithoutTheInstancesThatHaveLeft) {
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
TEST(WavePlanning, ReopensACompletedWaveToWhichAnInstanceIsAdded) {
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
  W.m_Planner->takeChangedWaves(9);
  W.m_Planner->onWaveRewritten(
      {WaveId("1"), {InstanceId("on-s1"), InstanceId("on-s2")}, 60s, 1});
  CHECK_FALSE(W.m_Planner->progress(WaveId("1")).m_Complete);
  CHECK_EQUAL(1u, W.m_Planner->takeChangedWaves(9).size());
}

// As above, while the leader changed: the next one took the recorded end of the
// wave for the end of its new list of instances.
TEST(WavePlanning, ARecordedEndOfAWaveCountsOnlyForTheInstancesThatAreDone) {
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
TEST(WavePlanning, OneAnswerThatAnInstanceIsNotInTheWaveDoesNotCompleteIt) {
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

// Guards against a server that takes no tasks for the rest of a term: its
// instance drained for a wave when the operators took it out of the wave.
TEST(WavePlanning, AnInstanceThatIsTakenOutOfAWaveStopsDraining) {
  PlannerFixture W;
  W.addDesk(3, 4);
  ServerState *Busy = &W.busyServer();
  W.addWave({Busy->m_Registration.m_Instance}, 1);
  W.plan();
  CHECK(Busy->m_Reserved);
  W.m_Planner->onWaveRewritten({WaveId("1"), {}, 60s, 1});
  W.plan();
  CHECK_FALSE(Busy->m_Reserved);
}

// Guards against the same if the order for the instance was on its way then,
// and its answer was lost.
TEST(WavePlanning, AnInstanceTakenOutOfAWaveDuringAnOrderStopsDraining) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.addWave({InstanceId("on-s1")}, 1);
  auto Orders = W.plan();
  CHECK_EQUAL(1u, Orders.size());
  W.m_Planner->onWaveRewritten({WaveId("1"), {}, 60s, 1});
  W.m_Planner->onOrderResult(Orders[0], InstanceOrderResult::Unknown,
                             W.m_World.m_Now);
  W.applyList();
  W.plan();
  CHECK_EQUAL(0u, W.reserved());
}

// Guards against a server that takes no tasks for the rest of a term: its
// instance was missing from lists while it drained, so that the wave ended
// without it.
TEST(WavePlanning, AnInstanceThatReturnsAfterItsWaveStopsDraining) {
  PlannerFixture W;
  W.addDesk(3, 4);
  ServerState *Busy = &W.busyServer();
  const InstanceId Instance = Busy->m_Registration.m_Instance;
  W.addWave({Instance}, 1);
  W.plan();
  CHECK(Busy->m_Reserved);
  for (int N = 0; N < 4; ++N) {
    W.applyListWithout(Instance);
    W.m_World.advance(1s);
  }
  W.plan();
  CHECK(W.m_Planner->progress(WaveId("1")).m_Complete);
  W.applyList();
  W.plan();
  CHECK_FALSE(Busy->m_Reserved);
}

// Guards against ending tasks without need: the server of a draining instance
// crashed, and the time since the drain of that server began counted for the
// next one of the instance.
TEST(WavePlanning, TheNextServerOfADrainingInstanceDrainsFromTheBeginning) {
  PlannerFixture W;
  W.m_World.addServer("s1", 4);
  W.list("s1", "desk");
  W.m_World.addJob("j", {SchedulerFixture::step(2)});
  W.m_World.tick();
  W.m_World.answerStart(0);
  W.m_World.answerStart(1);
  W.addWave({InstanceId("on-s1")}, 1);
  CHECK_EQUAL(0u, W.plan().size());
  W.m_World.m_Core->onServerTerminated(ServerId("s1"), W.m_World.m_Now);
  W.m_World.advance(3s);
  W.m_World.addServer("s2", 4);
  ServerState &Next = *W.m_World.m_Core->servers().find(ServerId("s2"));
  ServerRegistration R = Next.m_Registration;
  R.m_Instance = InstanceId("on-s1");
  W.m_World.m_Core->onServer(R, W.m_World.m_Now);
  W.m_World.tick();
  CHECK_EQUAL(2u, Next.m_Runs.size());
  W.plan();
  W.m_World.advance(2s);
  CHECK_EQUAL(0u, W.plan().size());
}

// More than 49 waves changed at once, and the transaction with all of them had
// more entries than the store accepts, again and again.
TEST(WavePlanning, ChangedWavesAreTakenInParts) {
  PlannerFixture W;
  for (int N = 0; N < 120; ++N)
    W.m_Planner->markChanged(WaveId(std::to_string(N)));
  std::set<WaveId> Taken;
  for (std::size_t Expected : {49u, 49u, 22u, 0u}) {
    const std::vector<WaveId> Part = W.m_Planner->takeChangedWaves(49);
    CHECK_EQUAL(Expected, Part.size());
    Taken.insert(Part.begin(), Part.end());
  }
  CHECK_EQUAL(120u, Taken.size());
}
