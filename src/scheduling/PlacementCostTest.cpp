//===- PlacementCostTest.cpp - Tests of the cost of placement -------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t ServersPerPool = 300;
constexpr int CoresPerServer = 32;

void addServers(SchedulerFixture &W, std::size_t Count) {
  for (std::size_t N = 0; N < Count; ++N)
    W.addServer("s" + std::to_string(N), CoresPerServer);
}

StepSpec wideStep(std::uint32_t Count, std::int64_t MilliCores) {
  StepSpec S = SchedulerFixture::step(Count);
  S.m_RequiredResources.m_MilliCores = MilliCores;
  return S;
}

} // namespace

TEST_GROUP(PlacementCost){};

// Each task was compared with every server of its pool, so that a leader of
// half a core fell behind with 1,100 servers and jobs starved.
TEST(PlacementCost, ATaskIsComparedWithFewServersOfALargePool) {
  SchedulerFixture W;
  addServers(W, ServersPerPool);
  for (int N = 0; N < 20; ++N)
    W.addJob("j" + std::to_string(N), {wideStep(8, 4500)});
  W.tick();
  CHECK_EQUAL(160u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Core->counters().m_ServersExamined <= 160 * 10);
}

// The same holds for tasks that depend on racks, of which a pool has a few.
TEST(PlacementCost, ATaskWithARackIsComparedWithFewServersOfALargePool) {
  SchedulerFixture W;
  addServers(W, ServersPerPool);
  std::vector<ServerState *> Servers;
  for (auto &[Id, S] : W.m_Core->servers().all())
    Servers.push_back(&S);
  for (std::size_t N = 0; N < Servers.size(); ++N)
    Servers[N]->m_Registration.m_Rack = RackName("r" + std::to_string(N / 20));
  StepSpec SameRack = wideStep(8, 4500);
  SameRack.m_SameRack = true;
  StepSpec NearData = wideStep(8, 4500);
  NearData.m_DataRack = "r7";
  for (int N = 0; N < 5; ++N)
    W.addJob("j" + std::to_string(N), {SameRack, NearData});
  W.tick();
  CHECK_EQUAL(80u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Core->counters().m_ServersExamined <= 80 * 30);
}

// A job whose start was being recorded was placed anew in every pass, which
// cost most of the leader's processor time while the store was slow.
TEST(PlacementCost, AJobWhoseStartIsBeingRecordedIsNotPlacedAgain) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  addServers(W, ServersPerPool);
  W.addJob("j", {wideStep(8, 4500)});
  W.tick();
  std::uint64_t Jobs = W.m_Core->counters().m_JobsExamined;
  std::uint64_t Servers = W.m_Core->counters().m_ServersExamined;
  for (int Pass = 0; Pass < 50; ++Pass) {
    W.advance(2ms);
    W.tick();
  }
  CHECK_EQUAL(Jobs, W.m_Core->counters().m_JobsExamined);
  CHECK_EQUAL(Servers, W.m_Core->counters().m_ServersExamined);
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
}

// Each pass checked every server for polls and leases, which cost a leader of
// half a core a quarter of its decisions.
TEST(PlacementCost, APassChecksOnlyServersThatAreDue) {
  SchedulerFixture W;
  addServers(W, ServersPerPool);
  W.addJob("j", {wideStep(7, 4500)});
  W.tick();
  CHECK_EQUAL(7u, W.m_Orders.m_Starts.size());
  W.tick();
  std::uint64_t Checked = W.m_Core->counters().m_ServersChecked;
  for (int Pass = 0; Pass < 50; ++Pass) {
    W.advance(2ms);
    W.tick();
  }
  CHECK_EQUAL(Checked, W.m_Core->counters().m_ServersChecked);
  // Each of the two checks of a pass looks at the one server with an event.
  W.answerStart(0);
  W.tick();
  CHECK(W.m_Core->counters().m_ServersChecked <= Checked + 2);
}

// In a full pool, each end of a run let every waiting job be compared with all
// servers.
TEST(PlacementCost, AFullPoolExaminesFewWaitingJobs) {
  SchedulerFixture W;
  addServers(W, 10);
  W.addJob("first", {wideStep(10, CoresPerServer * 1000)});
  W.tick();
  CHECK_EQUAL(10u, W.m_Orders.m_Starts.size());
  for (int N = 0; N < 1000; ++N)
    W.addJob("j" + std::to_string(N), {wideStep(8, 4500)});
  W.tick();
  CHECK_EQUAL(1u, W.m_Core->counters().m_JobsExamined);
  const StartOrder Ended = W.m_Orders.m_Starts.front();
  W.answerStart(0);
  W.tick();
  std::uint64_t Jobs = W.m_Core->counters().m_JobsExamined;
  W.answerPoll(Ended.m_Server.m_Id.m_Text, {},
               {{1, Ended.m_Run, EndKind::Done, ""}});
  W.tick();
  // 32 cores are free again, which 7 tasks of 4.5 cores fill.
  CHECK_EQUAL(17u, W.m_Orders.m_Starts.size());
  CHECK(W.m_Core->counters().m_JobsExamined <= Jobs + 3);
}
