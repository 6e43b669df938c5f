//===- SchedulerFuzz.cpp - Fuzzing of the scheduler -----------------------===//
//
// SchedulerFuzz --seed N [--steps M] injects random faults: leaders are killed,
// replaced while they keep giving orders, or release their term; servers crash
// and lose their connection to the leader, or also to the next one; replies to
// orders and commits are lost, or orders and commits are carried out late; runs
// fail, some tasks crash the servers that start them, and jobs are cancelled.
// With even seeds jobs belong to organisations whose caps change. RunOracle
// checks every start, and the state of each leader must be consistent. After
// the faults have ended, every job must end.
//
// Each seed plays five scenarios, one after the other: a busy one with short
// tasks; a quiet one in which servers restart while they are idle, tasks
// outlast leases, and the queue is moved between pools, gets other rules, is
// removed and put back, of all of which the leaders learn late; one in which
// leaders are cut off from the store and from a part of the servers, and
// servers are moved or drain; one with many short tasks in which the limits of
// the platform are so small that they are met all the time; and one in which
// servers crash for good and their addresses go to other servers.
//
//===----------------------------------------------------------------------===//

#include "FuzzMain.h"
#include "base/Log.h"
#include "scheduling/testing/JobSimulation.h"

using namespace pollenspool;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t OrganisationCount = 3;
/// Longest time between two faults. In the quiet scenario a cut outlasts
/// leases.
constexpr milliseconds BusyPause{1500};
constexpr milliseconds QuietPause{4000};
/// A gang of four tasks of at most 2.7 cores, in thousandths of a core.
constexpr std::int64_t LeastCap = 10800;

/// Makes the first step of each fourth job a gang that fits on the smallest
/// number of servers.
void shapeSomeGangs(JobSpec &Job) {
  if (Job.m_Id.m_Text.back() % 4 != 0)
    return;
  StepSpec &First = Job.m_Steps.front();
  First.m_Gang = true;
  First.m_Count = std::min(First.m_Count, 4U);
}

/// Limits of the store in the scenario of limits. A row still holds all that
/// can happen to one task.
constexpr std::size_t SmallRowBytes = 270;
constexpr std::size_t SmallTransactionEntries = 16;
constexpr std::size_t SmallValueBytes = 2000;

/// Caps that hold the largest gang, from just that to far more than runs.
std::vector<std::int64_t> drawCaps(std::mt19937_64 &Random) {
  std::vector<std::int64_t> Caps;
  for (std::size_t N = 0; N < OrganisationCount; ++N)
    Caps.push_back(LeastCap + static_cast<std::int64_t>(Random() % 20000));
  return Caps;
}

SimulationSettings settingsFor(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 6151);
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_ChecksState = true;
  S.m_LongRunningShare = 0.05;
  S.m_Servers = 2 + Random() % 7;
  S.m_CoresPerServer = 8 + static_cast<std::int64_t>(Random() % 25);
  S.m_Rate = 1.0 + static_cast<double>(Random() % 5);
  S.m_Faults.m_LostReplyShare = 0.03 * static_cast<double>(Random() % 3);
  S.m_Faults.m_DelayedOrderShare = 0.03 * static_cast<double>(Random() % 3);
  S.m_Faults.m_FailedRunShare = 0.02 * static_cast<double>(Random() % 3);
  S.m_DeadlyJobShare = 0.02 * static_cast<double>(Random() % 3);
  S.m_DeadlyDelay = milliseconds(5 + Random() % 1500);
  S.m_ShapeJob = shapeSomeGangs;
  if (Seed % 2 == 0) {
    S.m_Organisations.resize(OrganisationCount);
    std::vector<std::int64_t> Caps = drawCaps(Random);
    for (std::size_t N = 0; N < OrganisationCount; ++N) {
      S.m_Organisations[N].m_Name = OrganisationName(std::to_string(N));
      S.m_Organisations[N].m_Cap.m_MilliCores = Caps[N];
    }
  }
  return S;
}

SimulationSettings quietSettingsFor(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 7919);
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_ChecksState = true;
  S.m_LongRunningShare = 0.1;
  S.m_Servers = 3 + Random() % 4;
  S.m_Pools = 1 + Random() % 3;
  S.m_Rate = 0.15 + 0.05 * static_cast<double>(Random() % 4);
  S.m_MaxSteps = 2;
  S.m_MaxTasksPerStep = 3;
  S.m_MedianWork = std::chrono::seconds(8);
  S.m_Faults.m_LostReplyShare = 0.03 * static_cast<double>(Random() % 3);
  S.m_Faults.m_FailedRunShare = 0.04 * static_cast<double>(Random() % 3);
  S.m_MinRegistrationDelay = milliseconds(5);
  S.m_MaxRegistrationDelay = milliseconds(50 + Random() % 3000);
  S.m_MaxConfigDelay = milliseconds(1 + Random() % 1000);
  S.m_RowWithoutRulesShare = 0.1;
  return S;
}

SimulationSettings cutSettingsFor(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 9001);
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_ChecksState = true;
  S.m_LongRunningShare = 0.1;
  S.m_Servers = 4 + Random() % 5;
  S.m_Pools = 1 + Random() % 2;
  S.m_CoresPerServer = 6 + static_cast<std::int64_t>(Random() % 7);
  S.m_Rate = 0.5 + 0.25 * static_cast<double>(Random() % 4);
  S.m_MaxSteps = 2;
  S.m_MaxTasksPerStep = 6;
  S.m_MedianWork = milliseconds(600 + Random() % 1500);
  S.m_Faults.m_LostReplyShare = 0.03 * static_cast<double>(Random() % 3);
  S.m_Faults.m_DelayedOrderShare = 0.03 * static_cast<double>(Random() % 3);
  return S;
}

SimulationSettings limitSettingsFor(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 10007);
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_ChecksState = true;
  S.m_Servers = 2 + Random() % 3;
  S.m_Rate = 0.6 + 0.3 * static_cast<double>(Random() % 3);
  S.m_MaxSteps = 2;
  S.m_MaxTasksPerStep = 24;
  S.m_MedianWork = milliseconds(100 + Random() % 400);
  S.m_MeanMilliCores = 200;
  S.m_Faults.m_LostReplyShare = 0.03 * static_cast<double>(Random() % 3);
  S.m_Faults.m_DelayedOrderShare = 0.03 * static_cast<double>(Random() % 3);
  S.m_Faults.m_FailedRunShare = 0.02 * static_cast<double>(1 + Random() % 2);
  S.m_MaxListedEnds = 1 + Random() % 5;
  S.m_StoreLimits.m_RowBytes = SmallRowBytes;
  S.m_StoreLimits.m_TransactionEntries = SmallTransactionEntries;
  S.m_StoreLimits.m_ValueBytes = SmallValueBytes;
  S.m_PageSize = 1;
  return S;
}

/// Changes the rules of the queue, moves it, or removes it or puts it back.
void changeQueue(JobSimulation &Simulation) {
  const auto Drawn = Simulation.random()() % 3;
  if (Drawn == 0)
    Simulation.setHasQueue(!Simulation.hasQueue());
  else if (Drawn == 1 && Simulation.pools() > 1)
    Simulation.moveQueue();
  else
    Simulation.changeRules();
}

/// Injects one fault and lets up to \p MaxPause pass.
void stepOnce(JobSimulation &Simulation, milliseconds MaxPause,
              bool ChangesQueue) {
  auto &Random = Simulation.random();
  std::size_t Server = Random() % Simulation.servers();
  switch (Random() % 12) {
  case 0:
    Simulation.replaceLeader();
    break;
  case 1:
    Simulation.killLeader();
    break;
  case 2:
    Simulation.crashServer(Server);
    break;
  case 3:
  case 4:
    Simulation.disconnectServer(Server);
    break;
  case 5:
  case 6:
    Simulation.reconnectServers();
    break;
  case 7:
    Simulation.cancelRandomJob();
    break;
  case 8:
    Simulation.setCaps(drawCaps(Random));
    break;
  case 9:
    Simulation.isolateServer(Server);
    break;
  case 10:
    Simulation.releaseTerm();
    break;
  default:
    if (ChangesQueue)
      changeQueue(Simulation);
    break;
  }
  Simulation.run(milliseconds(Random() % MaxPause.count()));
  const std::string Wrong = Simulation.findWrongRules();
  if (!Wrong.empty())
    throw OracleFailure(Wrong);
}

/// Few servers and many jobs that need a whole one, so that starts meet servers
/// that have been replaced.
SimulationSettings reuseSettingsFor(std::uint64_t Seed) {
  std::mt19937_64 Random(Seed * 11003);
  SimulationSettings S;
  S.m_Seed = Seed;
  S.m_ChecksState = true;
  S.m_LongRunningShare = 0.1;
  S.m_Servers = 10 + Random() % 10;
  S.m_Pools = 2;
  S.m_CoresPerServer = 4;
  S.m_Rate = 0.5 + 0.5 * static_cast<double>(Random() % 4);
  S.m_MaxSteps = 2;
  S.m_MaxTasksPerStep = 4;
  S.m_MeanMilliCores = 2500;
  S.m_MedianWork = milliseconds(300 + Random() % 900);
  S.m_Faults.m_LostReplyShare = 0.03 * static_cast<double>(Random() % 3);
  return S;
}

/// Replaces several servers at once, or injects another fault.
void stepWithReuse(JobSimulation &Simulation, milliseconds MaxPause, bool) {
  auto &Random = Simulation.random();
  switch (Random() % 6) {
  case 0:
    Simulation.killLeader();
    break;
  case 1:
    Simulation.crashServer(Random() % Simulation.servers());
    break;
  case 2:
    Simulation.releaseTerm();
    break;
  default:
    for (int N = 0; N < 5; ++N)
      Simulation.replaceServer(Random() % Simulation.servers());
  }
  Simulation.run(milliseconds(Random() % MaxPause.count()));
}

/// Injects one fault of the scenario with cuts and lets some time pass.
void stepWithCuts(JobSimulation &Simulation, milliseconds MaxPause, bool) {
  auto &Random = Simulation.random();
  std::size_t Server = Random() % Simulation.servers();
  switch (Random() % 8) {
  case 0:
  case 1:
  case 2:
    Simulation.cutOffLeader();
    break;
  case 3:
    Simulation.moveIdleServer();
    break;
  case 4:
    Simulation.drainServer(Server);
    break;
  case 5:
    Simulation.crashServer(Server);
    break;
  case 6:
    if (!Simulation.hasCut())
      Simulation.killLeader();
    break;
  default:
    Simulation.cancelRandomJob();
    break;
  }
  Simulation.run(milliseconds(Random() % MaxPause.count()));
}

using StepFn = void (*)(JobSimulation &, milliseconds MaxPause,
                        bool ChangesQueue);

std::string runSimulation(const SimulationSettings &Settings,
                          milliseconds MaxPause, std::uint64_t Steps,
                          std::uint64_t &Step, StepFn StepOnce = stepOnce) {
  JobSimulation Simulation(Settings);
  try {
    for (Step = 0; Step < Steps; ++Step)
      StepOnce(Simulation, MaxPause, Settings.m_MaxConfigDelay.count() > 0);
    Simulation.reconnectServers();
    Simulation.setFaults({});
    Simulation.setHasQueue(true);
    // Long enough for the largest backlog on the smallest number of servers.
    Simulation.run(std::chrono::minutes(15), false);
    std::string Idle = Simulation.findIdleLongRunningTasks();
    if (!Idle.empty())
      throw OracleFailure("long-running tasks do not run; " + Idle);
    Simulation.cancelLongRunningJobs();
    Simulation.run(std::chrono::seconds(5), false);
  } catch (const std::runtime_error &Violation) {
    throw OracleFailure(Violation.what());
  }
  if (Simulation.liveJobs() != 0)
    throw OracleFailure(std::to_string(Simulation.liveJobs()) +
                        " jobs have not ended after 15 min without faults; " +
                        Simulation.describeFirstLiveJob());
  const SimulationStats &F = Simulation.stats();
  return std::to_string(F.m_Completed) + " of " +
         std::to_string(F.m_Submitted) + " jobs completed, " +
         std::to_string(F.m_Terms) + " terms" +
         (F.m_Cuts == 0
              ? ""
              : ", " + std::to_string(F.m_Cuts) + " cuts, " +
                    std::to_string(F.m_ServersLeft) + " servers have left") +
         (F.m_PagesWritten == 0
              ? ""
              : ", " + std::to_string(F.m_PagesWritten) + " pages") +
         (F.m_Refused == 0
              ? ""
              : ", " + std::to_string(F.m_Refused) + " refused writes");
}

std::string runScenarios(const FuzzArguments &Arguments, std::uint64_t &Step) {
  std::string Summary = runSimulation(settingsFor(Arguments.m_Seed), BusyPause,
                                      Arguments.m_Steps, Step);
  const struct {
    const char *m_Name;
    SimulationSettings (*m_SettingsFor)(std::uint64_t Seed);
    StepFn m_StepOnce;
  } Others[] = {{"quiet", quietSettingsFor, stepOnce},
                {"cut", cutSettingsFor, stepWithCuts},
                {"limit", limitSettingsFor, stepOnce},
                {"reuse", reuseSettingsFor, stepWithReuse}};
  for (const auto &Other : Others) {
    const std::string Name = std::string(Other.m_Name) + " scenario: ";
    try {
      Summary +=
          "; " + Name +
          runSimulation(Other.m_SettingsFor(Arguments.m_Seed), QuietPause,
                        Arguments.m_Steps, Step, Other.m_StepOnce);
    } catch (const OracleFailure &Failure) {
      throw OracleFailure(Name + Failure.what());
    }
  }
  return Summary;
}

} // namespace

int main(int Argc, char **Argv) {
  setUpLog(Severity::Error, "fuzz");
  return runFuzz(Argc, Argv, 60, runScenarios);
}
