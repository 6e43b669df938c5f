//===- SchedulingBench.cpp - Turns of demand against one pool -------------===//
//
// SchedulingBench plays turns of demand in virtual time: 4.5 s at a peak that
// the pool holds only in part, 4.5 s of almost nothing, as the users' queues
// have them. It prints the share of jobs that were on time, late, or neither,
// and the processor time of the scheduling core for a second of demand, for
// three sizes and two heights of the peak.
//
//===----------------------------------------------------------------------===//

#include "base/Log.h"
#include "scheduling/testing/JobSimulation.h"
#include <cstdio>
#include <ctime>

using namespace pollenspool;

namespace {

using std::chrono::milliseconds;

struct Load {
  const char *m_Name;
  std::size_t m_Servers;
  /// Demand at the peak against what the pool holds.
  double m_Height;
};

constexpr Load Loads[] = {
    {"11 servers, peak 0.9", 11, 0.9},   {"11 servers, peak 2.2", 11, 2.2},
    {"77 servers, peak 0.9", 77, 0.9},   {"77 servers, peak 2.2", 77, 2.2},
    {"300 servers, peak 0.9", 300, 0.9},
};

constexpr milliseconds TurnLength{4500};
constexpr int Turns = 4;
/// Cores times seconds of a mean job: 2 steps of 6.5 tasks, 0.9 s on 1.8 cores.
constexpr double CoreSecondsPerJob = 2 * 6.5 * 0.9 * 1.8;

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void play(const Load &L, std::uint64_t Seed) {
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_Servers = L.m_Servers;
  double Peak =
      L.m_Height * static_cast<double>(L.m_Servers) * 32 / CoreSecondsPerJob;
  S.m_Rate = Peak;
  JobSimulation World(S);
  double Before = processorSeconds();
  for (int N = 0; N < Turns; ++N) {
    World.setRate(Peak);
    World.run(TurnLength);
    World.setRate(Peak / 100);
    World.run(TurnLength);
  }
  World.run(std::chrono::seconds(30), false);
  double Used = processorSeconds() - Before;
  const SimulationFigures &F = World.figures();
  double All = static_cast<double>(F.m_Submitted);
  std::printf("%-24s %8llu %8.3f %8.3f %8.3f %12.1f\n", L.m_Name,
              static_cast<unsigned long long>(F.m_Submitted),
              static_cast<double>(F.m_OnTime) / All,
              static_cast<double>(F.m_Late) / All,
              static_cast<double>(F.m_Submitted - F.m_OnTime - F.m_Late) / All,
              1000 * Used / (2 * Turns * 4.5));
}

} // namespace

int main(int Argc, char **Argv) {
  setUpLog(Severity::Error, "bench");
  std::uint64_t Seed = Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : 1;
  std::printf("%-24s %8s %8s %8s %8s %12s\n", "load", "jobs", "on time", "late",
              "neither", "ms CPU a s");
  for (const Load &L : Loads)
    play(L, Seed);
  return 0;
}
