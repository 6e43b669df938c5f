//===- StallDetectionTest.cpp - Tests of stall detection ------------------===//

#include "scheduling/StallDetection.h"
#include "scheduling/testing/JobSimulation.h"
#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

ActiveRun runWithProgressSince(TimePoint Since) {
  ActiveRun Run;
  Run.m_Phase = RunPhase::Running;
  Run.m_ProgressSince = Since;
  Run.m_PercentChangedAt = Since;
  return Run;
}

/// Two servers, each with one task of the same job.
struct TwoBusyServers {
  SchedulerFixture m_Fixture;

  TwoBusyServers() {
    m_Fixture.addServer("s1", 2);
    m_Fixture.addServer("s2", 1);
    m_Fixture.addJob("j", {m_Fixture.step(2)});
    m_Fixture.tick();
    m_Fixture.answerStart(0);
    m_Fixture.answerStart(1);
    m_Fixture.tick();
    CHECK_EQUAL(2u, m_Fixture.m_Orders.m_Starts.size());
  }

  std::string serverOf(std::size_t Start) const {
    return m_Fixture.m_Orders.m_Starts[Start].m_Server.m_Id.m_Text;
  }
  /// \p Server reports its run at \p Percent.
  void report(const std::string &Server, int Percent) {
    std::uint32_t Index = serverOf(0) == Server ? 0 : 1;
    m_Fixture.answerPoll(Server,
                         {{m_Fixture.run("j", 0, Index, 1), "", Percent, 0}});
    m_Fixture.advance(50ms);
    m_Fixture.tick();
  }
};

} // namespace

TEST_GROUP(StallDetection) { TimePoint m_Now{100s}; };

// When callers' estimates were a twentieth of the actual task durations, stall
// detection that relied on them treated 56 healthy servers as slow.
TEST(StallDetection, RunThatMakesProgressIsNeverStalledHoweverLongItTakes) {
  ActiveRun Run = runWithProgressSince(m_Now);
  for (int Percent = 1; Percent <= 50; ++Percent) {
    m_Now += 2s;
    recordProgress(Run, {{}, "", Percent, 0}, m_Now);
    CHECK_FALSE(isStalled(Run, m_Now));
    CHECK_FALSE(isStalled(Run, m_Now + 1s));
  }
}

TEST(StallDetection, RunThatStopsMakingProgressIsStalled) {
  ActiveRun Run = runWithProgressSince(m_Now - 1s);
  recordProgress(Run, {{}, "", 80, 0}, m_Now - 800ms);
  CHECK_FALSE(isStalled(Run, m_Now - 300ms));
  CHECK(isStalled(Run, m_Now));
}

TEST(StallDetection, RunWithoutProgressIsStalledAfterTwoSeconds) {
  ActiveRun Run = runWithProgressSince(m_Now - 1900ms);
  CHECK_FALSE(isStalled(Run, m_Now));
  CHECK(isStalled(Run, m_Now + 200ms));
}

TEST(StallDetection, RestoringACheckpointIsNotAStall) {
  ActiveRun Run;
  Run.m_Phase = RunPhase::Running;
  recordProgress(Run, {{}, "", 40, 0}, m_Now);
  recordProgress(Run, {{}, "", 40, 0}, m_Now + 2500ms);
  CHECK_FALSE(isStalled(Run, m_Now + 2500ms));
  CHECK(isStalled(Run, m_Now + 2800ms));
}

TEST(StallDetection, LongRunningRunsAreNeverStalled) {
  ActiveRun Run = runWithProgressSince(m_Now - 10s);
  Run.m_IsLongRunning = true;
  CHECK_FALSE(isStalled(Run, m_Now));
}

TEST(StallDetection, OneStalledRunDoesNotMakeTheServerStalled) {
  ServerState S;
  for (std::uint32_t I = 0; I < 4; ++I) {
    ActiveRun Run = runWithProgressSince(m_Now - 3s);
    recordProgress(Run, {{}, "", 10, 0}, I == 0 ? m_Now - 2s : m_Now);
    S.m_Runs[{{JobId("j"), 0, 0, I}, 1}] = Run;
  }
  CHECK_FALSE(isStalled(S, m_Now));
}

// A server that passes health checks and answers polls, but whose tasks make no
// progress (fault kind "hang").
TEST(StallDetection, StalledTaskIsRestartedOnAHealthyServer) {
  TwoBusyServers T;
  std::string Stuck = "s2", Healthy = "s1";
  T.report(Healthy, 5);
  T.report(Stuck, 5);
  T.m_Fixture.advance(800ms);
  T.report(Healthy, 50);
  T.report(Stuck, 5);
  CHECK_EQUAL(1u, T.m_Fixture.m_Orders.m_Stops.size());
  STRCMP_EQUAL(Stuck.c_str(),
               T.m_Fixture.m_Orders.m_Stops[0].m_Server.m_Id.m_Text.c_str());
  RunId Stopped = T.m_Fixture.m_Orders.m_Stops[0].m_Run;
  T.m_Fixture.m_Core->onStopResult(T.m_Fixture.m_Orders.m_Stops[0],
                                   OrderResult::Done, T.m_Fixture.m_Now);
  T.m_Fixture.advance(10ms);
  T.m_Fixture.tick();
  T.m_Fixture.answerPoll(Stuck, {}, {{1, Stopped, EndKind::Stopped, ""}});
  T.m_Fixture.tick();
  CHECK_EQUAL(3u, T.m_Fixture.m_Orders.m_Starts.size());
  STRCMP_EQUAL(Healthy.c_str(), T.serverOf(2).c_str());
}

TEST(StallDetection, StalledTaskStaysIfNoOtherServerHasCapacity) {
  SchedulerFixture W;
  W.addServer("s1", 1);
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.tick();
  for (int I = 0; I < 5; ++I) {
    W.answerPoll("s1", {{W.run("j", 0, 0, 1), "", 5, 0}});
    W.advance(500ms);
    W.tick();
  }
  CHECK_EQUAL(0u, W.m_Orders.m_Stops.size());
}

// A server with stalled or failed runs gets one task at a time until a task has
// completed.
TEST(StallDetection, ServerOnProbationGetsOneTask) {
  SchedulerFixture W;
  W.addServer("s1", 4);
  W.m_Core->servers().find(ServerId("s1"))->m_OnProbation = true;
  W.addJob("j", {W.step(3)});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.answerStart(0);
  W.tick();
  W.advance(600ms);
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
}

// A tenth of the servers stalls for a few seconds while demand is at two thirds
// of the capacity.
TEST(StallDetection, JobsAreOnTimeWhileOneServerIsStalled) {
  SimulationSettings S;
  S.m_Seed = 5;
  S.m_Servers = 10;
  S.m_Rate = 9;
  JobSimulation Simulation(S);
  Simulation.run(5s);
  Simulation.slowServer(3, 1000);
  Simulation.run(6s);
  Simulation.slowServer(3, 1);
  Simulation.run(5s);
  Simulation.run(30s, false);
  const SimulationStats &F = Simulation.stats();
  CHECK_EQUAL(0u, Simulation.liveJobs());
  // Jobs that have a task on the server when it stalls are late. Without
  // relocation the jobs submitted during the stall of 6 s would be late as
  // well, at 9 jobs per second with about 14 tasks each.
  CHECK(F.m_OnTime * 100 >= F.m_Submitted * 85);
}
