//===- SchedulingBench.cpp - Scheduling under bursts of jobs --------------===//
//
// SchedulingBench [SEED] simulates bursty load in virtual time, as it occurs in
// the users' queues: 4.5 s at a peak that may exceed the capacity of the pool,
// then 4.5 s at one hundredth of the peak. It prints the shares of jobs that
// were on time, late, or neither, and the processor time per second of load,
// for three pool sizes and two peak rates.
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
  /// Cores that the jobs need at the peak, relative to the cores of the pool.
  double m_PeakFactor;
};

constexpr Load Loads[] = {
    {"11 servers, peak 0.9", 11, 0.9},   {"11 servers, peak 2.2", 11, 2.2},
    {"77 servers, peak 0.9", 77, 0.9},   {"77 servers, peak 2.2", 77, 2.2},
    {"300 servers, peak 0.9", 300, 0.9}, {"600 servers, peak 0.9", 600, 0.9},
    {"600 servers, peak 2.2", 600, 2.2},
};

constexpr milliseconds PhaseLength{4500};
constexpr int Cycles = 4;
/// Core seconds of a mean job: 2 steps of 6.5 tasks, which take 0.9 s on 1.8
/// cores each.
constexpr double CoreSecondsPerJob = 2 * 6.5 * 0.9 * 1.8;

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void runLoad(const Load &L, std::uint64_t Seed) {
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_Servers = L.m_Servers;
  double Peak = L.m_PeakFactor * static_cast<double>(L.m_Servers) * 32 /
                CoreSecondsPerJob;
  S.m_Rate = Peak;
  JobSimulation Simulation(S);
  double Before = processorSeconds();
  for (int N = 0; N < Cycles; ++N) {
    Simulation.setJobRate(Peak);
    Simulation.run(PhaseLength);
    Simulation.setJobRate(Peak / 100);
    Simulation.run(PhaseLength);
  }
  Simulation.run(std::chrono::seconds(30), false);
  double Used = processorSeconds() - Before;
  const SimulationStats &F = Simulation.stats();
  double Submitted = static_cast<double>(F.m_Submitted);
  std::printf("%-24s %8llu %8.3f %8.3f %8.3f %12.1f\n", L.m_Name,
              static_cast<unsigned long long>(F.m_Submitted),
              static_cast<double>(F.m_OnTime) / Submitted,
              static_cast<double>(F.m_Late) / Submitted,
              static_cast<double>(F.m_Submitted - F.m_OnTime - F.m_Late) /
                  Submitted,
              1000 * Used / (2 * Cycles * 4.5));
}

} // namespace

int main(int Argc, char **Argv) {
  setUpLog(Severity::Error, "bench");
  std::uint64_t Seed = Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : 1;
  std::printf("%-24s %8s %8s %8s %8s %12s\n", "load", "jobs", "on time", "late",
              "neither", "CPU ms per s");
  for (const Load &L : Loads)
    runLoad(L, Seed);
  return 0;
}
