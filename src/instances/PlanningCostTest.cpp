//===- PlanningCostTest.cpp - Tests of the cost of a plan -----------------===//

#include "instances/testing/PlannerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Instances = 200;

/// Adds \p Count servers of four cores to the pool "desk", with one instance
/// list for all of them.
void addDesk(PlannerFixture &W, std::size_t Count) {
  for (std::size_t N = 0; N < Count; ++N) {
    std::string Id = "s" + std::to_string(N);
    W.m_World.addServer(Id, 4);
    InstanceListing L;
    L.m_Id = InstanceId("on-" + Id);
    L.m_Pool = PoolName("desk");
    L.m_Capacity = {4000, 64000, 0};
    L.m_Server = ServerId(Id);
    W.m_List.push_back(L);
  }
  W.applyList();
}

} // namespace

TEST_GROUP(PlanningCost){};

// Each plan built two maps of all instances, ten times a second.
TEST(PlanningCost, AnUnchangedFleetIsIndexedOnce) {
  PlannerFixture W;
  addDesk(W, Instances);
  W.plan();
  std::uint64_t Entries = W.m_Planner->counters().m_IndexEntries;
  CHECK(Entries >= Instances);
  for (int N = 0; N < 5; ++N) {
    W.m_World.advance(100ms);
    W.plan();
  }
  CHECK_EQUAL(Entries, W.m_Planner->counters().m_IndexEntries);
}

TEST(PlanningCost, AFleetIsIndexedAgainOnceAServerHasChanged) {
  PlannerFixture W;
  addDesk(W, 4);
  W.plan();
  std::uint64_t Entries = W.m_Planner->counters().m_IndexEntries;
  W.m_World.m_Core->onServerUnregistered(ServerId("s1"), W.m_World.m_Now);
  W.plan();
  CHECK(W.m_Planner->counters().m_IndexEntries > Entries);
  Entries = W.m_Planner->counters().m_IndexEntries;
  W.m_World.addServer("s9", 4);
  W.plan();
  CHECK(W.m_Planner->counters().m_IndexEntries > Entries);
}

// Each change of a server indexed all instances again, and servers change in
// most plans of a large fleet.
TEST(PlanningCost, AChangeOfAServerDoesNotIndexTheInstancesAgain) {
  PlannerFixture W;
  addDesk(W, Instances);
  W.plan();
  std::uint64_t Entries = W.m_Planner->counters().m_IndexEntries;
  W.m_World.m_Core->onServerUnregistered(ServerId("s1"), W.m_World.m_Now);
  W.plan();
  CHECK_EQUAL(Entries + Instances, W.m_Planner->counters().m_IndexEntries);
}

// Each move searched the pool again from its first instance, which is dear if
// the servers at the front run tasks.
TEST(PlanningCost, AllMovesOfAPlanTakeOneWalkOfAPool) {
  PlannerFixture W;
  addDesk(W, Instances);
  W.m_World.addJob("j", {SchedulerFixture::step(4 * Instances / 2)});
  W.m_World.tick();
  CHECK_EQUAL(4 * Instances / 2, W.m_World.m_Orders.m_Starts.size());
  W.m_World.m_Core->onJobEnded(JobId("j"));
  W.m_World.addJob("k", {SchedulerFixture::step(1)});
  W.addHall("h1", 4000);
  std::uint64_t Before = W.m_Planner->counters().m_InstancesExamined;
  std::size_t Moves = W.plan().size();
  CHECK_EQUAL(12u, Moves);
  CHECK(W.m_Planner->counters().m_InstancesExamined - Before <= 6 * Instances);
}

// Each plan read all tasks of all waiting jobs, which are thousands in a
// backlog.
TEST(PlanningCost, OnlyJobsThatHaveChangedAreReadForTheDemand) {
  PlannerFixture W;
  addDesk(W, 2);
  for (int N = 0; N < 500; ++N)
    W.m_World.addJob("j" + std::to_string(N), {SchedulerFixture::step(8),
                                               SchedulerFixture::step(8, {0})});
  W.m_World.tick();
  W.plan();
  std::uint64_t Reads = W.m_World.m_Core->counters().m_DemandReads;
  CHECK(Reads >= 4000u);
  W.m_World.advance(100ms);
  W.m_World.tick();
  W.plan();
  CHECK_EQUAL(Reads, W.m_World.m_Core->counters().m_DemandReads);
  W.m_World.m_Core->onJobEnded(JobId("j499"));
  W.m_World.addJob("k", {SchedulerFixture::step(8)});
  W.m_World.advance(100ms);
  W.m_World.tick();
  W.plan();
  CHECK(W.m_World.m_Core->counters().m_DemandReads - Reads <= 30u);
}

// The servers of the other pools were compared with each of 200 waiting jobs.
TEST(PlanningCost, TheSearchForUnschedulableTasksIsLimitedToKindsOfTasks) {
  PlannerFixture W;
  addDesk(W, Instances);
  W.addHall("z1", 4);
  for (int N = 0; N < 100; ++N) {
    JobSpec Job;
    Job.m_Id = JobId("h" + std::to_string(N));
    Job.m_Queue = QueueName("plans");
    Job.m_Pool = PoolName("hall");
    Job.m_Steps = {SchedulerFixture::step(4)};
    Job.m_AcceptedAt = W.m_World.wall();
    W.m_World.m_Core->onJob(Job, {}, 1, 1, W.m_World.m_Now, W.m_World.wall());
  }
  W.m_World.tick();
  std::uint64_t Before = W.m_World.m_Core->counters().m_ServersSearched;
  W.plan();
  CHECK(W.m_World.m_Core->counters().m_ServersSearched > Before);
  CHECK(W.m_World.m_Core->counters().m_ServersSearched - Before <= 2);
}
