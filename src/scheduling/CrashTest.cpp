//===- CrashTest.cpp - Tests of tasks that crash their servers ------------===//

#include "scheduling/testing/JobSimulation.h"
#include <CppUTest/TestHarness.h>
#include <stdexcept>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

SimulationSettings deadlySettings(std::uint64_t Seed) {
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_ChecksState = true;
  S.m_Servers = 10;
  S.m_Rate = 6;
  S.m_DeadlyJobShare = 0.05;
  return S;
}

/// The rule that was broken in 20 s of demand and 30 s without; empty if none
/// was. Calls \p EachStep every 2 s of the demand.
template <typename F> std::string play(JobSimulation &Simulation, F EachStep) {
  try {
    for (int Step = 0; Step < 10; ++Step) {
      Simulation.run(2s);
      EachStep(Simulation);
    }
    Simulation.run(30s, false);
  } catch (const std::runtime_error &Violation) {
    return Violation.what();
  }
  return {};
}

void doNothing(JobSimulation &) {}

/// A kind of job that may crash its servers, too.
struct JobShape {
  const char *m_Name;
  void (*m_Shape)(JobSpec &);
  bool m_HasAdviser = false;
};

constexpr JobShape JobShapes[] = {
    {"gang", [](JobSpec &Job) { Job.m_Steps.front().m_Gang = true; }},
    {"periodic",
     [](JobSpec &Job) {
       Job.m_Occurrences = 3;
       Job.m_FirstDue = Job.m_AcceptedAt;
       Job.m_Interval = 1s;
     }},
    {"best effort",
     [](JobSpec &Job) { Job.m_Steps.front().m_IsBestEffort = true; }},
    {"checkpoints",
     [](JobSpec &Job) { Job.m_Steps.front().m_WritesCheckpoints = true; }},
    {"at most one per server",
     [](JobSpec &Job) {
       Job.m_Steps.front().m_Count = 3;
       Job.m_Steps.front().m_MaxPerServer = 1;
     }},
    {"advised", [](JobSpec &) {}, true},
};

SimulationSettings settingsFor(const JobShape &Shape, std::uint64_t Seed) {
  SimulationSettings S = deadlySettings(Seed);
  // Periodic jobs run three times.
  S.m_Rate = 2;
  S.m_DeadlyJobShare = 0.15;
  S.m_ShapeJob = Shape.m_Shape;
  S.m_HasAdviser = Shape.m_HasAdviser;
  return S;
}

} // namespace

TEST_GROUP(Crash){};

// A task that crashed each server on which it began was started again
// for as long as the system ran.
TEST(Crash, ATaskThatCrashesItsServersIsGivenUp) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    JobSimulation Simulation(deadlySettings(Seed));
    STRCMP_EQUAL("", play(Simulation, doNothing).c_str());
    CHECK(Simulation.stats().m_Deadly > 0);
    CHECK(Simulation.stats().m_CrashesByTasks >=
          2 * Simulation.stats().m_Deadly);
    CHECK_EQUAL(0u, Simulation.liveJobs());
  }
}

// Tasks that only ran beside such a task were lost with each of its servers.
TEST(Crash, JobsBesideATaskThatCrashesItsServersComplete) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    JobSimulation Simulation(deadlySettings(Seed));
    STRCMP_EQUAL("", play(Simulation, doNothing).c_str());
    const SimulationStats &F = Simulation.stats();
    CHECK_EQUAL(F.m_Deadly, F.m_Failed);
    CHECK_EQUAL(F.m_Submitted - F.m_Deadly, F.m_Completed);
  }
}

// Nothing told the next leader of a crash, so it counted from zero.
TEST(Crash, TheLimitOutlivesTheLeader) {
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    JobSimulation Simulation(deadlySettings(Seed));
    STRCMP_EQUAL(
        "", play(Simulation, [](JobSimulation &S) { S.killLeader(); }).c_str());
    CHECK(Simulation.stats().m_CrashesByTasks > 0);
    CHECK_EQUAL(0u, Simulation.liveJobs());
  }
}

TEST(Crash, TheLimitHoldsForEachKindOfJob) {
  for (const JobShape &Shape : JobShapes) {
    for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
      JobSimulation Simulation(settingsFor(Shape, Seed));
      std::string Broken = play(Simulation, doNothing);
      STRCMP_EQUAL_TEXT("", Broken.c_str(), Shape.m_Name);
      const SimulationStats &F = Simulation.stats();
      CHECK_TEXT(F.m_CrashesByTasks > 0, Shape.m_Name);
      STRCMP_EQUAL_TEXT("none", Simulation.describeFirstLiveJob().c_str(),
                        Shape.m_Name);
      LONGS_EQUAL_TEXT(F.m_Deadly, F.m_Failed, Shape.m_Name);
    }
  }
}

TEST(Crash, TheLimitOutlivesTheLeaderForEachKindOfJob) {
  for (const JobShape &Shape : JobShapes) {
    for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
      JobSimulation Simulation(settingsFor(Shape, Seed));
      std::string Broken =
          play(Simulation, [](JobSimulation &S) { S.killLeader(); });
      STRCMP_EQUAL_TEXT("", Broken.c_str(), Shape.m_Name);
      STRCMP_EQUAL_TEXT("none", Simulation.describeFirstLiveJob().c_str(),
                        Shape.m_Name);
    }
  }
}
