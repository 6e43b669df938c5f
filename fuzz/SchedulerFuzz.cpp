//===- SchedulerFuzz.cpp - Random faults around scheduling cores ----------===//
//
// SchedulerFuzz --seed N [--steps M]. Leaders that are killed, or replaced and
// still at work; servers that crash and are cut off; orders and records whose
// answers are lost or that are carried out late; failed runs, cancelled jobs.
// RunOracle watches every start. When the faults end, every job has to end.
//
//===----------------------------------------------------------------------===//

#include "FuzzMain.h"
#include "base/Log.h"
#include "scheduling/testing/JobSimulation.h"

using namespace pollenspool;

namespace {

using std::chrono::milliseconds;

SimulationSettings settingsFor(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 6151);
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_Servers = 2 + Random() % 7;
  S.m_CoresPerServer = 8 + static_cast<std::int64_t>(Random() % 25);
  S.m_Rate = 1.0 + static_cast<double>(Random() % 5);
  S.m_Faults.m_LostAnswers = 0.03 * static_cast<double>(Random() % 3);
  S.m_Faults.m_LateOrders = 0.03 * static_cast<double>(Random() % 3);
  S.m_Faults.m_FailedRuns = 0.02 * static_cast<double>(Random() % 3);
  return S;
}

void stepOnce(JobSimulation &World) {
  auto &Random = World.random();
  std::size_t Server = Random() % World.servers();
  switch (Random() % 12) {
  case 0:
    World.changeLeader();
    break;
  case 1:
    World.killLeader();
    break;
  case 2:
    World.crashServer(Server);
    break;
  case 3:
  case 4:
    World.cutServer(Server);
    break;
  case 5:
  case 6:
    World.heal();
    break;
  case 7:
    World.cancelSomeJob();
    break;
  default:
    break;
  }
  World.run(milliseconds(Random() % 1500));
}

std::string play(const FuzzArguments &Arguments, std::uint64_t &Step) {
  JobSimulation World(settingsFor(Arguments.m_Seed));
  try {
    for (Step = 0; Step < Arguments.m_Steps; ++Step)
      stepOnce(World);
    World.heal();
    World.setFaults({});
    // Long enough for the largest backlog on the fewest servers.
    World.run(std::chrono::minutes(15), false);
  } catch (const std::runtime_error &Breach) {
    throw OracleFailure(Breach.what());
  }
  if (World.liveJobs() != 0)
    throw OracleFailure(std::to_string(World.liveJobs()) +
                        " jobs have not ended; " + World.describeLive());
  const SimulationFigures &F = World.figures();
  return std::to_string(F.m_Completed) + " of " +
         std::to_string(F.m_Submitted) + " jobs completed, " +
         std::to_string(F.m_Terms) + " terms";
}

} // namespace

int main(int Argc, char **Argv) {
  setUpLog(Severity::Error, "fuzz");
  return runFuzz(Argc, Argv, 60, play);
}
