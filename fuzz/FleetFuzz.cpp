//===- FleetFuzz.cpp - Random moves, waves and faults ---------------------===//
//
// FleetFuzz --seed N [--steps M] runs several controllers in a FleetSimulation
// with concurrent operators and random faults: processes that are killed or
// paused, platform outages, lost and late replies, racks that fail, and
// instances that never return from a reboot or return unhealthy. FleetOracle
// checks each commit. After the faults have ended, all moves and waves must
// complete or report why they cannot.
//
//===----------------------------------------------------------------------===//

#include "fleet/testing/FleetSimulation.h"
#include "moves/MoveOrders.h"
#include "waves/WaveOrders.h"
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace pollenspool;

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Virtual time within which all moves and waves must complete after the faults
/// have ended.
constexpr Duration CompletionLimit = std::chrono::hours(6);

FleetSimulationSettings settingsFor(std::uint64_t Seed) {
  FleetSimulationSettings Settings;
  std::mt19937_64 Random(Seed * 7919);
  Settings.m_Seed = Seed;
  Settings.m_DataCentres = 1 + Random() % 3;
  Settings.m_EntriesPerDataCentre = 1 + Random() % 3;
  Settings.m_InstancesPerRack = 1 + Random() % 4;
  std::size_t Pools = 2 + Random() % 3;
  for (std::size_t I = 0; I < Pools; ++I) {
    Pool P;
    P.m_Name = PoolName("pool" + std::to_string(I));
    P.m_Instances = 3 + Random() % 8;
    P.m_AvailabilityBudget = 1 + Random() % 3;
    P.m_MinServing = P.m_Instances - 1 - Random() % 3;
    P.m_Spare = I == 0;
    Settings.m_Pools.push_back(P);
  }
  constexpr std::uint32_t RequestMs[] = {300, 1000, 6000};
  constexpr std::uint32_t PollMs[] = {300, 1000, 3000};
  Settings.m_RequestTime = milliseconds(RequestMs[Random() % 3]);
  Settings.m_PollInterval = milliseconds(PollMs[Random() % 3]);
  Settings.m_Fleet.m_RunnerLease = seconds(5);
  Settings.m_Fleet.m_MaxListAge = seconds(6);
  Settings.m_Fleet.m_ReturnTimeout = seconds(60);
  Settings.m_Fleet.m_BlockedTimeout = seconds(60);
  Settings.m_Fleet.m_FailedHealthInterval = seconds(5);
  return Settings;
}

class FleetFuzz {
public:
  FleetFuzz(std::uint64_t Seed, std::uint64_t Steps)
      : m_Seed(Seed), m_Steps(Steps), m_Settings(settingsFor(Seed)),
        m_Simulation(m_Settings) {}

  /// Runs all steps; returns whether no check failed.
  bool run();

private:
  using Action = void (FleetFuzz::*)();
  struct Choice {
    Action m_Action;
    /// Relative probability of the action.
    std::uint64_t m_Weight;
  };
  static const Choice Choices[];

  void step();
  bool complete();
  void startAll();
  bool hasCompleted();
  bool report(const std::string &What);

  void wait() {}
  void kill();
  void start();
  void pause();
  void restart();
  void planStop();
  void disconnect();
  void outage();
  void changeFaults();
  void failInstance();
  void failRack();
  void failDataCentre();
  void changeHealth();
  void configureReboot();
  void orderMove();
  void orderMoves();
  void cancelOneMove();
  void orderWave();
  void pauseOneWave();
  void resumeOneWave();
  void cancelOneWave();

  std::size_t anyEntry() {
    return m_Simulation.draw(m_Simulation.entryCount());
  }
  InstanceId anyInstance() {
    return m_Simulation
        .instances()[m_Simulation.draw(m_Simulation.instances().size())];
  }
  PoolName anyPool() {
    return m_Settings.m_Pools[m_Simulation.draw(m_Settings.m_Pools.size())]
        .m_Name;
  }
  WaveId anyWave() {
    return WaveId("w" + std::to_string(m_Simulation.draw(m_Waves + 1)));
  }
  const FleetView &viewOf(std::size_t Entry) {
    return m_Simulation.controller(Entry).view();
  }

  std::uint64_t m_Seed;
  std::uint64_t m_Steps;
  std::uint64_t m_Step = 0;
  std::uint64_t m_Waves = 0;
  std::uint64_t m_Moves = 0;
  FleetSimulationSettings m_Settings;
  FleetSimulation m_Simulation;
};

const FleetFuzz::Choice FleetFuzz::Choices[] = {
    {&FleetFuzz::wait, 20},         {&FleetFuzz::kill, 4},
    {&FleetFuzz::start, 10},        {&FleetFuzz::pause, 4},
    {&FleetFuzz::restart, 4},       {&FleetFuzz::disconnect, 4},
    {&FleetFuzz::planStop, 6},      {&FleetFuzz::outage, 2},
    {&FleetFuzz::changeFaults, 3},  {&FleetFuzz::failInstance, 2},
    {&FleetFuzz::failRack, 1},      {&FleetFuzz::failDataCentre, 1},
    {&FleetFuzz::changeHealth, 2},  {&FleetFuzz::configureReboot, 2},
    {&FleetFuzz::orderMove, 6},     {&FleetFuzz::orderMoves, 3},
    {&FleetFuzz::cancelOneMove, 2}, {&FleetFuzz::orderWave, 4},
    {&FleetFuzz::pauseOneWave, 1},  {&FleetFuzz::resumeOneWave, 3},
    {&FleetFuzz::cancelOneWave, 1},
};

void FleetFuzz::kill() {
  m_Simulation.killEntry(anyEntry(), m_Simulation.draw(2) == 0);
}

void FleetFuzz::start() {
  for (std::size_t I = 0; I < m_Simulation.entryCount(); ++I)
    if (m_Simulation.draw(2) == 0)
      m_Simulation.startEntry(I);
}

void FleetFuzz::pause() {
  m_Simulation.pauseEntry(anyEntry(),
                          milliseconds(100 + m_Simulation.draw(30000)));
}

/// Restarts an entry instance so quickly that the platform's list does not show
/// it as Gone.
void FleetFuzz::restart() {
  std::size_t Entry = anyEntry();
  m_Simulation.killEntry(Entry, false);
  m_Simulation.startEntry(Entry);
}

void FleetFuzz::disconnect() {
  m_Simulation.setDisconnected(anyEntry(), true);
  m_Simulation.setDisconnected(anyEntry(), false);
}

void FleetFuzz::planStop() {
  auto Point = static_cast<StopPoint>(m_Simulation.draw(3));
  bool IsPause = m_Simulation.draw(2) == 0;
  m_Simulation.planStop(
      1 + static_cast<std::uint32_t>(m_Simulation.draw(6)), Point,
      IsPause ? seconds(1 + m_Simulation.draw(20)) : seconds(0));
}

void FleetFuzz::outage() {
  m_Simulation.setOutage(true);
  m_Simulation.runFor(seconds(m_Simulation.draw(60)));
  m_Simulation.setOutage(false);
}

void FleetFuzz::changeFaults() {
  m_Simulation.m_Faults.m_LostReply =
      static_cast<std::uint32_t>(m_Simulation.draw(200));
  m_Simulation.m_Faults.m_LateEffect =
      static_cast<std::uint32_t>(m_Simulation.draw(50));
  m_Simulation.m_Faults.m_LostMessage =
      static_cast<std::uint32_t>(m_Simulation.draw(200));
}

void FleetFuzz::failInstance() {
  bool IsPermanent = m_Simulation.draw(4) == 0;
  m_Simulation.failInstance(anyInstance(),
                            IsPermanent ? seconds(0)
                                        : seconds(1 + m_Simulation.draw(90)));
}

void FleetFuzz::failRack() {
  Duration ReturnDelay = seconds(5 + m_Simulation.draw(90));
  for (const InstanceId &Id : m_Simulation.rackOf(anyInstance()))
    m_Simulation.failInstance(Id, ReturnDelay);
}

void FleetFuzz::failDataCentre() {
  std::size_t DataCentreIndex = m_Simulation.draw(m_Settings.m_DataCentres);
  Duration ReturnDelay = seconds(5 + m_Simulation.draw(60));
  for (std::size_t I = DataCentreIndex; I < m_Simulation.instances().size();
       I += m_Settings.m_DataCentres)
    m_Simulation.failInstance(m_Simulation.instances()[I], ReturnDelay);
}

void FleetFuzz::changeHealth() {
  m_Simulation.reportUnhealthy(anyInstance(), m_Simulation.draw(2) == 0);
}

void FleetFuzz::configureReboot() {
  InstanceId Id = anyInstance();
  m_Simulation.setNeverReturns(Id, m_Simulation.draw(3) == 0);
  m_Simulation.setReturnsUnhealthy(Id, m_Simulation.draw(3) == 0);
}

void FleetFuzz::orderMove() {
  // In some cases several operators move the same instance, based on the views
  // of different entry instances.
  InstanceId Id = anyInstance();
  for (std::uint64_t I = 0; I <= m_Simulation.draw(2); ++I) {
    std::size_t Entry = anyEntry();
    const InstanceRow *Row = viewOf(Entry).findInstance(Id);
    MoveOrder Order;
    Order.m_Id = MoveId("m" + std::to_string(m_Moves++));
    Order.m_Source = Row ? Row->m_Pool : anyPool();
    Order.m_Target = anyPool();
    Order.m_Instance = Id;
    m_Simulation.order(Entry, startMove(viewOf(Entry), Order));
  }
}

void FleetFuzz::orderMoves() {
  std::size_t Entry = anyEntry();
  MoveOrder Order;
  Order.m_Id = MoveId("m" + std::to_string(m_Moves++));
  Order.m_Source = anyPool();
  Order.m_Target = anyPool();
  Order.m_Count = 1 + static_cast<std::uint32_t>(m_Simulation.draw(3));
  m_Simulation.order(Entry, startMove(viewOf(Entry), Order));
}

void FleetFuzz::cancelOneMove() {
  std::size_t Entry = anyEntry();
  m_Simulation.order(Entry,
                     cancelMove(viewOf(Entry), anyInstance(), "operator"));
}

void FleetFuzz::orderWave() {
  std::size_t Entry = anyEntry();
  WaveOrder Order;
  Order.m_Id = WaveId("w" + std::to_string(m_Waves++));
  Order.m_Set.m_Kind = static_cast<WaveSetKind>(m_Simulation.draw(4));
  const ListedInstance *Listed = viewOf(Entry).findListed(anyInstance());
  if (Order.m_Set.m_Kind == WaveSetKind::Pool)
    Order.m_Set.m_Name = anyPool().m_Text;
  else if (Listed && Order.m_Set.m_Kind == WaveSetKind::Rack)
    Order.m_Set.m_Name = Listed->m_Rack.m_Text;
  else if (Listed && Order.m_Set.m_Kind == WaveSetKind::DataCentre)
    Order.m_Set.m_Name = Listed->m_DataCentre.m_Text;
  Order.m_MaxBatch = 1 + static_cast<std::uint32_t>(m_Simulation.draw(8));
  Order.m_Rule = static_cast<DomainRule>(m_Simulation.draw(3));
  m_Simulation.order(Entry, startWave(viewOf(Entry), Order));
}

void FleetFuzz::pauseOneWave() {
  std::size_t Entry = anyEntry();
  m_Simulation.order(Entry, pauseWave(viewOf(Entry), anyWave()));
}

void FleetFuzz::resumeOneWave() {
  std::size_t Entry = anyEntry();
  m_Simulation.order(Entry, resumeWave(viewOf(Entry), anyWave()));
}

void FleetFuzz::cancelOneWave() {
  std::size_t Entry = anyEntry();
  m_Simulation.order(Entry, cancelWave(viewOf(Entry), anyWave()));
}

void FleetFuzz::step() {
  std::uint64_t Total = 0;
  for (const Choice &C : Choices)
    Total += C.m_Weight;
  std::uint64_t Drawn = m_Simulation.draw(Total);
  for (const Choice &C : Choices) {
    if (Drawn < C.m_Weight) {
      (this->*C.m_Action)();
      break;
    }
    Drawn -= C.m_Weight;
  }
  m_Simulation.runFor(milliseconds(m_Simulation.draw(4000)));
}

bool FleetFuzz::hasCompleted() {
  if (!m_Simulation.oracle().violation().empty())
    return true;
  if (!m_Simulation.oracle().notServing().empty())
    return false;
  const FleetView &View = m_Simulation.upToDateView();
  for (const auto &[Id, Wave] : View.waves())
    if (WaveMachine::needsRunner(View, Wave))
      return false;
  for (const auto &[Id, Move] : View.moves())
    if (Move.m_State == MoveState::Draining)
      return false;
  return m_Simulation.oracle().notServing().empty();
}

void FleetFuzz::startAll() {
  for (std::size_t I = 0; I < m_Simulation.entryCount(); ++I)
    m_Simulation.startEntry(I);
}

/// Ends all faults. Then all waves must end, and each move must end or report
/// why it waits.
bool FleetFuzz::complete() {
  m_Simulation.m_Faults = {};
  m_Simulation.setOutage(false);
  for (std::size_t I = 0; I < m_Simulation.entryCount(); ++I)
    m_Simulation.setDisconnected(I, false);
  m_Simulation.planStop(0, StopPoint::AfterReply, seconds(0));
  startAll();
  m_Simulation.runFor(minutes(2));
  // A stop that was planned earlier may have taken effect only now.
  startAll();
  m_Simulation.recoverInstances();
  const FleetView &View = m_Simulation.upToDateView();
  for (const auto &[Id, Wave] : View.waves())
    if (Wave.m_State == WaveState::Paused)
      m_Simulation.order(0, resumeWave(View, Id));
  TimePoint End = m_Simulation.now() + CompletionLimit;
  while (!hasCompleted() && m_Simulation.now() < End) {
    m_Simulation.runFor(seconds(30));
    startAll();
  }
  if (!hasCompleted())
    return report("moves or waves did not complete");
  const FleetController &Controller = m_Simulation.controller(0);
  for (const auto &[Id, Move] : Controller.view().moves())
    if (Move.isActive() && !Controller.view().drainBlockReason(Id))
      return report("move " + Move.m_Id.m_Text +
                    " waits though nothing blocks its drain");
  return true;
}

bool FleetFuzz::report(const std::string &What) {
  std::printf("FAILED seed %llu step %llu: %s\n",
              static_cast<unsigned long long>(m_Seed),
              static_cast<unsigned long long>(m_Step), What.c_str());
  for (const InstanceId &Id : m_Simulation.instances()) {
    std::string Description;
    for (std::size_t I = 0; I < m_Simulation.entryCount(); ++I)
      if (m_Simulation.isRunning(I) && m_Simulation.controller(I).isRunner())
        Description = m_Simulation.controller(I).explain(Id);
    std::printf("  %s: %.200s\n", Id.m_Text.c_str(), Description.c_str());
  }
  for (std::size_t I = 0; I < m_Simulation.entryCount(); ++I) {
    FleetStatus S = m_Simulation.controller(I).status();
    std::printf(
        "  entry %zu: running %d, runner %d, pending %zu, conflicts "
        "%llu, drains %zu\n",
        I, m_Simulation.isRunning(I), S.m_IsRunner, S.m_PendingTransactions,
        static_cast<unsigned long long>(S.m_Conflicts), S.m_PendingDrains);
  }
  std::printf("repeat: FleetFuzz --seed %llu --steps %llu\n",
              static_cast<unsigned long long>(m_Seed),
              static_cast<unsigned long long>(m_Steps));
  return false;
}

bool FleetFuzz::run() {
  m_Simulation.runFor(seconds(5));
  for (m_Step = 1; m_Step <= m_Steps; ++m_Step) {
    step();
    if (!m_Simulation.oracle().violation().empty())
      return report(m_Simulation.oracle().violation());
  }
  if (!complete())
    return false;
  if (!m_Simulation.oracle().violation().empty())
    return report(m_Simulation.oracle().violation());
  std::printf("ok seed %llu: %llu steps, %llu waves, %llu moves committed, "
              "%u transactions\n",
              static_cast<unsigned long long>(m_Seed),
              static_cast<unsigned long long>(m_Steps),
              static_cast<unsigned long long>(m_Waves),
              static_cast<unsigned long long>(m_Simulation.oracle().moves()),
              m_Simulation.transactionCount());
  return true;
}

} // namespace

int main(int Argc, char **Argv) {
  std::uint64_t Seed = 1;
  std::uint64_t Steps = 400;
  for (int I = 1; I + 1 < Argc; I += 2) {
    if (std::strcmp(Argv[I], "--seed") == 0)
      Seed = std::strtoull(Argv[I + 1], nullptr, 10);
    else if (std::strcmp(Argv[I], "--steps") == 0)
      Steps = std::strtoull(Argv[I + 1], nullptr, 10);
  }
  std::printf("seed %llu\n", static_cast<unsigned long long>(Seed));
  FleetFuzz Fuzz(Seed, Steps);
  return Fuzz.run() ? 0 : 1;
}
