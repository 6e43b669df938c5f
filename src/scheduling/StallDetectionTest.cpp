//===- RunSpeedTest.cpp - Tests of how standstills are found --------------===//

#include "scheduling/StallDetection.h"
#include "scheduling/testing/JobSimulation.h"
#include "scheduling/testing/SchedulerWorld.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

ActiveRun watched(TimePoint Since) {
  ActiveRun Run;
  Run.m_Phase = RunPhase::Running;
  Run.m_WatchedSince = Since;
  Run.m_PercentAt = Since;
  return Run;
}

/// Two servers at work on a job of two tasks, one on each.
struct TwoAtWork {
  SchedulerWorld m_World;

  TwoAtWork() {
    m_World.addServer("s1", 2);
    m_World.addServer("s2", 1);
    m_World.addJob("j", {m_World.step(2)});
    m_World.tick();
    m_World.answerStart(0);
    m_World.answerStart(1);
    m_World.tick();
    CHECK_EQUAL(2u, m_World.m_Orders.m_Starts.size());
  }

  std::string serverOf(std::size_t Start) const {
    return m_World.m_Orders.m_Starts[Start].m_Server.m_Id.m_Text;
  }
  /// \p Server reports its run at \p Percent.
  void report(const std::string &Server, int Percent) {
    std::uint32_t Index = serverOf(0) == Server ? 0 : 1;
    m_World.answerLook(Server,
                       {{m_World.run("j", 0, Index, 1), "", Percent, 0}});
    m_World.advance(50ms);
    m_World.tick();
  }
};

} // namespace

TEST_GROUP(StallDetection) { TimePoint m_Now{100s}; };

// Found by quiet-1 of the Sangha site: with estimates of a twentieth of what
// tasks take, 56 sound servers of a calm day were taken for slow.
TEST(StallDetection, ARunThatGetsOnNeverStandsStillHoweverLongItTakes) {
  ActiveRun Run = watched(m_Now);
  for (int Percent = 1; Percent <= 50; ++Percent) {
    m_Now += 2s;
    noteProgress(Run, {{}, "", Percent, 0}, m_Now);
    CHECK_FALSE(standsStill(Run, m_Now));
    CHECK_FALSE(standsStill(Run, m_Now + 1s));
  }
}

TEST(StallDetection, ARunThatStopsGettingOnStandsStill) {
  ActiveRun Run = watched(m_Now - 1s);
  noteProgress(Run, {{}, "", 80, 0}, m_Now - 800ms);
  CHECK_FALSE(standsStill(Run, m_Now - 300ms));
  CHECK(standsStill(Run, m_Now));
}

TEST(StallDetection, ARunThatNeverGotOnStandsStillAfterTwoSeconds) {
  ActiveRun Run = watched(m_Now - 1900ms);
  CHECK_FALSE(standsStill(Run, m_Now));
  CHECK(standsStill(Run, m_Now + 200ms));
}

TEST(StallDetection, ResumingIsNoStandstill) {
  ActiveRun Run;
  Run.m_Phase = RunPhase::Running;
  noteProgress(Run, {{}, "", 40, 0}, m_Now);
  noteProgress(Run, {{}, "", 40, 0}, m_Now + 2500ms);
  CHECK_FALSE(standsStill(Run, m_Now + 2500ms));
  CHECK(standsStill(Run, m_Now + 2800ms));
}

TEST(StallDetection, LastingRunsAreNotJudged) {
  ActiveRun Run = watched(m_Now - 10s);
  Run.m_Lasting = true;
  CHECK_FALSE(standsStill(Run, m_Now));
}

TEST(StallDetection, OneStandstillAmongSoundRunsIsNotTheServers) {
  ServerState S;
  for (std::uint32_t I = 0; I < 4; ++I) {
    ActiveRun Run = watched(m_Now - 3s);
    noteProgress(Run, {{}, "", 10, 0}, I == 0 ? m_Now - 2s : m_Now);
    S.m_Runs[{{JobId("j"), 0, 0, I}, 1}] = Run;
  }
  CHECK_FALSE(standsStill(S, m_Now));
}

// Standing for srv_grey (hang) of the users' sites: health and answers of the
// server are good, its tasks stand still.
TEST(StallDetection, ATaskThatStandsStillIsStartedOnASoundServer) {
  TwoAtWork T;
  std::string Stuck = "s2", Sound = "s1";
  T.report(Sound, 5);
  T.report(Stuck, 5);
  T.m_World.advance(800ms);
  T.report(Sound, 50);
  T.report(Stuck, 5);
  CHECK_EQUAL(1u, T.m_World.m_Orders.m_Stops.size());
  STRCMP_EQUAL(Stuck.c_str(),
               T.m_World.m_Orders.m_Stops[0].m_Server.m_Id.m_Text.c_str());
  RunId Stopped = T.m_World.m_Orders.m_Stops[0].m_Run;
  T.m_World.m_Core->onStopResult(T.m_World.m_Orders.m_Stops[0],
                                 OrderResult::Done, T.m_World.m_Now);
  T.m_World.advance(10ms);
  T.m_World.tick();
  T.m_World.answerLook(Stuck, {}, {{1, Stopped, EndKind::Stopped, ""}});
  T.m_World.tick();
  CHECK_EQUAL(3u, T.m_World.m_Orders.m_Starts.size());
  STRCMP_EQUAL(Sound.c_str(), T.serverOf(2).c_str());
}

TEST(StallDetection, ATaskIsLeftWhereItIsIfNoOtherServerHasRoom) {
  SchedulerWorld W;
  W.addServer("s1", 1);
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.tick();
  for (int I = 0; I < 5; ++I) {
    W.answerLook("s1", {{W.run("j", 0, 0, 1), "", 5, 0}});
    W.advance(500ms);
    W.tick();
  }
  CHECK_EQUAL(0u, W.m_Orders.m_Stops.size());
}

// A server whose tasks stood still or failed gets one task at a time until
// one has ended well.
TEST(StallDetection, AServerOnProbationGetsOneTask) {
  SchedulerWorld W;
  W.addServer("s1", 4);
  W.m_Core->servers().find(ServerId("s1"))->m_OnProbation = true;
  W.addJob("j", {W.step(3)});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.answerStart(0);
  W.tick();
  W.advance(600ms);
  W.answerLook("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
}

// A tenth of the servers stands still for some seconds while demand is at two
// thirds of the capacity.
TEST(StallDetection, JobsAreOnTimeWhileOneServerStandsStill) {
  SimulationSettings S;
  S.m_Seed = 5;
  S.m_Servers = 10;
  S.m_Rate = 9;
  JobSimulation World(S);
  World.run(5s);
  World.slowServer(3, 1000);
  World.run(6s);
  World.slowServer(3, 1);
  World.run(5s);
  World.run(30s, false);
  const SimulationFigures &F = World.figures();
  CHECK_EQUAL(0u, World.liveJobs());
  // Jobs that have a task on the server when it stops are late; 6 s at 9 jobs a
  // second of some 14 tasks each reach it if nothing is done.
  CHECK(F.m_OnTime * 100 >= F.m_Submitted * 85);
}
