//===- WaveBench.cpp - Roll-out time, platform writes, cost of a tick -----===//
//
// WaveBench runs fault-free waves in virtual time and compares their roll-out
// time with the lower bound
//
//   max(max over pools of ceil(n / b), ceil(N / batch)) * reboot
//
// with n instances and b = min(budget, n - promised) in a pool, N instances in
// all and the platform's time for a reboot. Drains, acknowledgements, the
// list's lag and health checks come on top of it. Then it moves instances one
// by one, and measures the processor time of a controller's step against the
// size of the fleet.
//
//===----------------------------------------------------------------------===//

#include "fleet/testing/FleetWorld.h"
#include "moves/MoveOrders.h"
#include "waves/WaveOrders.h"
#include <algorithm>
#include <cstdio>
#include <ctime>

using namespace pollenspool;

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct FleetSize {
  const char *m_Name;
  std::uint32_t m_Pools;
  std::uint32_t m_Instances;
  std::uint32_t m_Budget;
  std::uint32_t m_DataCentres;
  std::uint32_t m_EntriesPerDataCentre;
  std::uint32_t m_MaxBatch;
  std::chrono::seconds m_Reboot;
};

constexpr FleetSize Sizes[] = {
    {"sramik", 5, 50, 1, 3, 3, 50, seconds(120)},
    {"sramik, budget 2", 5, 50, 2, 3, 3, 50, seconds(120)},
    {"osei", 5, 50, 1, 4, 2, 50, seconds(120)},
    {"osei, reboot 20 s", 5, 50, 1, 4, 2, 50, seconds(20)},
    {"osei, batch of 3", 5, 50, 1, 4, 2, 3, seconds(120)},
    {"400 instances", 35, 400, 1, 6, 2, 400, seconds(120)},
    {"planned size", 138, 1600, 1, 6, 2, 1600, seconds(120)},
};

constexpr Duration RequestTime = seconds(2);
WorldSettings settingsFor(const FleetSize &Size) {
  WorldSettings Settings;
  Settings.m_DataCentres = Size.m_DataCentres;
  Settings.m_EntriesPerDataCentre = Size.m_EntriesPerDataCentre;
  Settings.m_RebootTime = Size.m_Reboot;
  Settings.m_RequestTime = RequestTime;
  // Enough requests that each drained instance has some in flight.
  Settings.m_DispatchInterval = milliseconds(400) *
                                Size.m_EntriesPerDataCentre *
                                Size.m_DataCentres / Size.m_Instances;
  if (Size.m_Instances > 100) {
    Settings.m_DispatchInterval = Duration::zero();
    Settings.m_ListInterval = seconds(2);
  }
  std::uint32_t Left = Size.m_Instances;
  for (std::uint32_t I = 0; I < Size.m_Pools; ++I) {
    Pool P;
    P.m_Name = PoolName("pool" + std::to_string(I));
    P.m_Instances = Left / (Size.m_Pools - I);
    P.m_Promised = P.m_Instances - Size.m_Budget;
    P.m_AvailabilityBudget = Size.m_Budget;
    Left -= P.m_Instances;
    Settings.m_Pools.push_back(P);
  }
  return Settings;
}

std::uint32_t roundsUp(std::uint32_t Count, std::uint32_t At) {
  return (Count + At - 1) / At;
}

Duration lowerBound(const FleetSize &Size, const WorldSettings &Settings) {
  std::uint32_t Rounds = roundsUp(Size.m_Instances, Size.m_MaxBatch);
  for (const Pool &P : Settings.m_Pools)
    Rounds = std::max(Rounds, roundsUp(P.m_Instances, P.m_AvailabilityBudget));
  return Rounds * Duration(Size.m_Reboot);
}

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void runWave(const FleetSize &Size) {
  WorldSettings Settings = settingsFor(Size);
  FleetWorld World(Settings);
  World.runFor(seconds(5));
  WaveOrder Order;
  Order.m_Id = WaveId("w");
  Order.m_MaxBatch = Size.m_MaxBatch;
  auto Before = World.platformCounts();
  TimePoint Start = World.now();
  World.order(0, startWave(World.controller(0).view(), Order));
  auto HasEnded = [&World, &Order] {
    const WaveRow *Wave = World.controller(0).view().findWave(Order.m_Id);
    return Wave && !Wave->isActive();
  };
  bool Ended = World.runUntil(HasEnded, hours(24));
  auto After = World.platformCounts();
  double Bound = secondsOf(lowerBound(Size, Settings));
  double Took = secondsOf(World.now() - Start);
  double Count = Size.m_Instances;
  std::printf("%-18s %5.0f %9.0f %9.0f %6.3f %12.2f %9.2f %9.1f  %s\n",
              Size.m_Name, Count, Bound, Took, Took / Bound,
              double(After.m_Committed - Before.m_Committed) / Count,
              double(After.m_RowsWritten - Before.m_RowsWritten) / Count,
              double(World.drainQuestions()) / Count,
              Ended && World.oracle().violation().empty() ? "held" : "BROKEN");
}

void runMoves() {
  WorldSettings Settings = settingsFor(Sizes[0]);
  FleetWorld World(Settings);
  World.runFor(seconds(5));
  auto Before = World.platformCounts();
  std::vector<double> Times;
  for (std::uint32_t I = 0; I < 20; ++I) {
    MoveOrder Order;
    Order.m_Id = MoveId("m" + std::to_string(I));
    Order.m_Source = Settings.m_Pools[I % 2].m_Name;
    Order.m_Target = Settings.m_Pools[1 - I % 2].m_Name;
    World.order(0, startMove(World.freshView(), Order));
    TimePoint Start = World.now();
    std::uint64_t Done = World.oracle().moves();
    World.runUntil([&] { return World.oracle().moves() > Done; }, hours(1));
    Times.push_back(secondsOf(World.now() - Start));
    World.runFor(seconds(5));
  }
  std::sort(Times.begin(), Times.end());
  auto After = World.platformCounts();
  std::printf("\nmoves %zu: median %.2f s, longest %.2f s, %.2f transactions "
              "each, %s\n",
              Times.size(), Times[Times.size() / 2], Times.back(),
              double(After.m_Committed - Before.m_Committed) /
                  double(Times.size()),
              World.oracle().violation().empty() ? "held" : "BROKEN");
}

double processorMicros() { return 1e6 * double(std::clock()) / CLOCKS_PER_SEC; }

/// Processor time of one tick of a controller, idle and with a wave of the
/// whole fleet under way.
void measureTicks(const FleetSize &Size) {
  constexpr int Ticks = 400;
  FleetWorld World(settingsFor(Size));
  World.runFor(seconds(5));
  double Cost[2];
  for (double &Each : Cost) {
    std::size_t Runner = 0;
    for (std::size_t I = 0; I < World.entryCount(); ++I)
      if (World.controller(I).isRunner())
        Runner = I;
    double Start = processorMicros();
    for (int I = 0; I < Ticks; ++I) {
      World.controller(Runner).tick(World.now());
      (void)World.controller(Runner).view();
    }
    Each = (processorMicros() - Start) / Ticks;
    WaveOrder Order;
    Order.m_Id = WaveId("w");
    Order.m_MaxBatch = Size.m_MaxBatch;
    World.order(0, startWave(World.controller(0).view(), Order));
    World.runFor(seconds(60));
  }
  std::printf("%5u instances: %8.1f us idle, %8.1f us in a wave\n",
              Size.m_Instances, Cost[0], Cost[1]);
}

} // namespace

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  std::printf("%-18s %5s %9s %9s %6s %12s %9s %9s\n", "fleet", "n", "bound s",
              "took s", "ratio", "transactions", "rows", "questions");
  for (const FleetSize &Size : Sizes)
    runWave(Size);
  runMoves();
  std::printf("\nprocessor time of a tick\n");
  measureTicks(Sizes[0]);
  measureTicks(Sizes[5]);
  measureTicks(Sizes[6]);
  return 0;
}
