//===- FleetFuzz.cpp - Random moves, waves and faults against an oracle ---===//
//
// FleetFuzz --seed N [--steps M]. Several controllers in a FleetWorld, racing
// operators, kills, pauses, outages, lost and late replies, lost racks, and
// instances that never return or return sick. FleetOracle watches each commit;
// when the faults end, everything has to come to its end.
//
//===----------------------------------------------------------------------===//

#include "fleet/testing/FleetWorld.h"
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

/// Time that everything has to come to its end in, once the faults are over.
constexpr Duration SettleLimit = std::chrono::hours(6);

WorldSettings settingsFor(std::uint64_t Seed) {
  WorldSettings Settings;
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
    P.m_Promised = P.m_Instances - 1 - Random() % 3;
    P.m_Spare = I == 0;
    Settings.m_Pools.push_back(P);
  }
  constexpr std::uint32_t RequestMs[] = {300, 1000, 6000};
  constexpr std::uint32_t PollMs[] = {300, 1000, 3000};
  Settings.m_RequestTime = milliseconds(RequestMs[Random() % 3]);
  Settings.m_PollInterval = milliseconds(PollMs[Random() % 3]);
  Settings.m_Fleet.m_RunnerLease = seconds(5);
  Settings.m_Fleet.m_ListMaxAge = seconds(6);
  Settings.m_Fleet.m_ReturnTimeout = seconds(60);
  Settings.m_Fleet.m_StarveTimeout = seconds(60);
  Settings.m_Fleet.m_FailedHealthInterval = seconds(5);
  return Settings;
}

class FleetFuzz {
public:
  FleetFuzz(std::uint64_t Seed, std::uint64_t Steps)
      : m_Seed(Seed), m_Steps(Steps), m_Settings(settingsFor(Seed)),
        m_World(m_Settings) {}

  /// Runs everything; returns whether the oracle held.
  bool run();

private:
  using Act = void (FleetFuzz::*)();
  struct Choice {
    Act m_Act;
    /// Chances among those of all choices.
    std::uint64_t m_Weight;
  };
  static const Choice Choices[];

  void step();
  bool settle();
  void startAll();
  bool hasSettled();
  bool report(const std::string &What);

  void wait() {}
  void kill();
  void start();
  void pause();
  void restart();
  void planStop();
  void cut();
  void outage();
  void faults();
  void loseInstance();
  void loseRack();
  void loseCentre();
  void sicken();
  void spoilReboot();
  void orderMove();
  void orderMoves();
  void cancelOneMove();
  void orderWave();
  void pauseOneWave();
  void resumeOneWave();
  void cancelOneWave();

  std::size_t anyEntry() { return m_World.draw(m_World.entryCount()); }
  InstanceId anyInstance() {
    return m_World.instances()[m_World.draw(m_World.instances().size())];
  }
  PoolName anyPool() {
    return m_Settings.m_Pools[m_World.draw(m_Settings.m_Pools.size())].m_Name;
  }
  WaveId anyWave() {
    return WaveId("w" + std::to_string(m_World.draw(m_Waves + 1)));
  }
  const FleetView &viewOf(std::size_t Entry) {
    return m_World.controller(Entry).view();
  }

  std::uint64_t m_Seed;
  std::uint64_t m_Steps;
  std::uint64_t m_Step = 0;
  std::uint64_t m_Waves = 0;
  std::uint64_t m_Moves = 0;
  WorldSettings m_Settings;
  FleetWorld m_World;
};

const FleetFuzz::Choice FleetFuzz::Choices[] = {
    {&FleetFuzz::wait, 20},         {&FleetFuzz::kill, 4},
    {&FleetFuzz::start, 10},        {&FleetFuzz::pause, 4},
    {&FleetFuzz::restart, 4},       {&FleetFuzz::cut, 4},
    {&FleetFuzz::planStop, 6},      {&FleetFuzz::outage, 2},
    {&FleetFuzz::faults, 3},        {&FleetFuzz::loseInstance, 2},
    {&FleetFuzz::loseRack, 1},      {&FleetFuzz::loseCentre, 1},
    {&FleetFuzz::sicken, 2},        {&FleetFuzz::spoilReboot, 2},
    {&FleetFuzz::orderMove, 6},     {&FleetFuzz::orderMoves, 3},
    {&FleetFuzz::cancelOneMove, 2}, {&FleetFuzz::orderWave, 4},
    {&FleetFuzz::pauseOneWave, 1},  {&FleetFuzz::resumeOneWave, 3},
    {&FleetFuzz::cancelOneWave, 1},
};

void FleetFuzz::kill() { m_World.killEntry(anyEntry(), m_World.draw(2) == 0); }

void FleetFuzz::start() {
  for (std::size_t I = 0; I < m_World.entryCount(); ++I)
    if (m_World.draw(2) == 0)
      m_World.startEntry(I);
}

void FleetFuzz::pause() {
  m_World.pauseEntry(anyEntry(), milliseconds(100 + m_World.draw(30000)));
}

/// A restart that is over before the platform's list could tell of it.
void FleetFuzz::restart() {
  std::size_t Entry = anyEntry();
  m_World.killEntry(Entry, false);
  m_World.startEntry(Entry);
}

void FleetFuzz::cut() {
  m_World.cutEntry(anyEntry(), true);
  m_World.cutEntry(anyEntry(), false);
}

void FleetFuzz::planStop() {
  auto Point = static_cast<StopPoint>(m_World.draw(3));
  bool IsPause = m_World.draw(2) == 0;
  m_World.planStop(1 + static_cast<std::uint32_t>(m_World.draw(6)), Point,
                   IsPause ? seconds(1 + m_World.draw(20)) : seconds(0));
}

void FleetFuzz::outage() {
  m_World.setOutage(true);
  m_World.runFor(seconds(m_World.draw(60)));
  m_World.setOutage(false);
}

void FleetFuzz::faults() {
  m_World.m_Faults.m_LostReply = static_cast<std::uint32_t>(m_World.draw(200));
  m_World.m_Faults.m_LateEffect = static_cast<std::uint32_t>(m_World.draw(50));
  m_World.m_Faults.m_LostMessage =
      static_cast<std::uint32_t>(m_World.draw(200));
}

void FleetFuzz::loseInstance() {
  bool IsForGood = m_World.draw(4) == 0;
  m_World.loseInstance(anyInstance(),
                       IsForGood ? seconds(0) : seconds(1 + m_World.draw(90)));
}

void FleetFuzz::loseRack() {
  Duration Back = seconds(5 + m_World.draw(90));
  for (const InstanceId &Id : m_World.rackOf(anyInstance()))
    m_World.loseInstance(Id, Back);
}

void FleetFuzz::loseCentre() {
  std::size_t Centre = m_World.draw(m_Settings.m_DataCentres);
  Duration Back = seconds(5 + m_World.draw(60));
  for (std::size_t I = Centre; I < m_World.instances().size();
       I += m_Settings.m_DataCentres)
    m_World.loseInstance(m_World.instances()[I], Back);
}

void FleetFuzz::sicken() {
  m_World.reportSick(anyInstance(), m_World.draw(2) == 0);
}

void FleetFuzz::spoilReboot() {
  InstanceId Id = anyInstance();
  m_World.setNeverReturns(Id, m_World.draw(3) == 0);
  m_World.setReturnsSick(Id, m_World.draw(3) == 0);
}

void FleetFuzz::orderMove() {
  // Two operators on one instance now and then, each with a view of its own.
  InstanceId Id = anyInstance();
  for (std::uint64_t I = 0; I <= m_World.draw(2); ++I) {
    std::size_t Entry = anyEntry();
    const InstanceRow *Row = viewOf(Entry).findInstance(Id);
    MoveOrder Order;
    Order.m_Id = MoveId("m" + std::to_string(m_Moves++));
    Order.m_Source = Row ? Row->m_Pool : anyPool();
    Order.m_Target = anyPool();
    Order.m_Instance = Id;
    m_World.order(Entry, startMove(viewOf(Entry), Order));
  }
}

void FleetFuzz::orderMoves() {
  std::size_t Entry = anyEntry();
  MoveOrder Order;
  Order.m_Id = MoveId("m" + std::to_string(m_Moves++));
  Order.m_Source = anyPool();
  Order.m_Target = anyPool();
  Order.m_Count = 1 + static_cast<std::uint32_t>(m_World.draw(3));
  m_World.order(Entry, startMove(viewOf(Entry), Order));
}

void FleetFuzz::cancelOneMove() {
  std::size_t Entry = anyEntry();
  m_World.order(Entry, cancelMove(viewOf(Entry), anyInstance(), "operator"));
}

void FleetFuzz::orderWave() {
  std::size_t Entry = anyEntry();
  WaveOrder Order;
  Order.m_Id = WaveId("w" + std::to_string(m_Waves++));
  Order.m_Set.m_Kind = static_cast<WaveSetKind>(m_World.draw(4));
  const ListedInstance *Listed = viewOf(Entry).findListed(anyInstance());
  if (Order.m_Set.m_Kind == WaveSetKind::Pool)
    Order.m_Set.m_Name = anyPool().m_Text;
  else if (Listed && Order.m_Set.m_Kind == WaveSetKind::Rack)
    Order.m_Set.m_Name = Listed->m_Rack.m_Text;
  else if (Listed && Order.m_Set.m_Kind == WaveSetKind::DataCentre)
    Order.m_Set.m_Name = Listed->m_DataCentre.m_Text;
  Order.m_MaxBatch = 1 + static_cast<std::uint32_t>(m_World.draw(8));
  Order.m_Rule = static_cast<DomainRule>(m_World.draw(3));
  m_World.order(Entry, startWave(viewOf(Entry), Order));
}

void FleetFuzz::pauseOneWave() {
  std::size_t Entry = anyEntry();
  m_World.order(Entry, pauseWave(viewOf(Entry), anyWave()));
}

void FleetFuzz::resumeOneWave() {
  std::size_t Entry = anyEntry();
  m_World.order(Entry, resumeWave(viewOf(Entry), anyWave()));
}

void FleetFuzz::cancelOneWave() {
  std::size_t Entry = anyEntry();
  m_World.order(Entry, cancelWave(viewOf(Entry), anyWave()));
}

void FleetFuzz::step() {
  std::uint64_t Total = 0;
  for (const Choice &C : Choices)
    Total += C.m_Weight;
  std::uint64_t Drawn = m_World.draw(Total);
  for (const Choice &C : Choices) {
    if (Drawn < C.m_Weight) {
      (this->*C.m_Act)();
      break;
    }
    Drawn -= C.m_Weight;
  }
  m_World.runFor(milliseconds(m_World.draw(4000)));
}

bool FleetFuzz::hasSettled() {
  if (!m_World.oracle().violation().empty())
    return true;
  if (!m_World.oracle().notServing().empty())
    return false;
  const FleetView &View = m_World.freshView();
  for (const auto &[Id, Wave] : View.waves())
    if (WaveMachine::needsRunner(View, Wave))
      return false;
  for (const auto &[Id, Move] : View.moves())
    if (Move.m_State == MoveState::Draining)
      return false;
  return m_World.oracle().notServing().empty();
}

void FleetFuzz::startAll() {
  for (std::size_t I = 0; I < m_World.entryCount(); ++I)
    m_World.startEntry(I);
}

/// Ends all faults; then every wave and move has to end or say what it waits
/// for.
bool FleetFuzz::settle() {
  m_World.m_Faults = {};
  m_World.setOutage(false);
  for (std::size_t I = 0; I < m_World.entryCount(); ++I)
    m_World.cutEntry(I, false);
  m_World.planStop(0, StopPoint::AfterReply, seconds(0));
  startAll();
  m_World.runFor(minutes(2));
  // A stop that was planned earlier may have come only now.
  startAll();
  m_World.healInstances();
  const FleetView &View = m_World.freshView();
  for (const auto &[Id, Wave] : View.waves())
    if (Wave.m_State == WaveState::Paused)
      m_World.order(0, resumeWave(View, Id));
  TimePoint End = m_World.now() + SettleLimit;
  while (!hasSettled() && m_World.now() < End) {
    m_World.runFor(seconds(30));
    startAll();
  }
  if (!hasSettled())
    return report("not settled");
  const FleetController &Controller = m_World.controller(0);
  for (const auto &[Id, Move] : Controller.view().moves())
    if (Move.isActive() && !Controller.view().whyNotTake(Id))
      return report("move " + Move.m_Id.m_Text + " waits for nothing");
  return true;
}

bool FleetFuzz::report(const std::string &What) {
  std::printf("FAILED seed %llu step %llu: %s\n",
              static_cast<unsigned long long>(m_Seed),
              static_cast<unsigned long long>(m_Step), What.c_str());
  for (const InstanceId &Id : m_World.instances()) {
    std::string Word;
    for (std::size_t I = 0; I < m_World.entryCount(); ++I)
      if (m_World.isRunning(I) && m_World.controller(I).isRunner())
        Word = m_World.controller(I).explain(Id);
    std::printf("  %s: %.200s\n", Id.m_Text.c_str(), Word.c_str());
  }
  for (std::size_t I = 0; I < m_World.entryCount(); ++I) {
    FleetStatus S = m_World.controller(I).status();
    std::printf(
        "  entry %zu: running %d, runner %d, undecided %zu, conflicts "
        "%llu, drains %zu\n",
        I, m_World.isRunning(I), S.m_IsRunner, S.m_UndecidedTransactions,
        static_cast<unsigned long long>(S.m_Conflicts), S.m_WaitingDrains);
  }
  std::printf("repeat: FleetFuzz --seed %llu --steps %llu\n",
              static_cast<unsigned long long>(m_Seed),
              static_cast<unsigned long long>(m_Steps));
  return false;
}

bool FleetFuzz::run() {
  m_World.runFor(seconds(5));
  for (m_Step = 1; m_Step <= m_Steps; ++m_Step) {
    step();
    if (!m_World.oracle().violation().empty())
      return report(m_World.oracle().violation());
  }
  if (!settle())
    return false;
  if (!m_World.oracle().violation().empty())
    return report(m_World.oracle().violation());
  std::printf("ok seed %llu: %llu steps, %llu waves, %llu moves committed, "
              "%u transactions\n",
              static_cast<unsigned long long>(m_Seed),
              static_cast<unsigned long long>(m_Steps),
              static_cast<unsigned long long>(m_Waves),
              static_cast<unsigned long long>(m_World.oracle().moves()),
              m_World.transactionCount());
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
