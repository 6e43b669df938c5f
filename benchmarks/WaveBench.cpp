//===- WaveBench.cpp - Duration and cost of waves and moves ---------------===//
//
// Runs waves without faults in virtual time and compares their duration with
// the lower bound
//
//   max(max over pools of ceil(n / b), ceil(N / batch)) * reboot
//
// where a pool has n instances and b = min(budget, n - promised), the fleet has
// N instances, and reboot is the time that the platform takes for a reboot.
// Drains, acknowledgements, the delay of the platform's list and health checks
// add to this bound. It then moves instances one by one, and measures the
// processor time of a controller's tick for several fleet sizes.
//
//===----------------------------------------------------------------------===//

#include "fleet/testing/FleetSimulation.h"
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
    // The deployments of the example customers sramik (3 data centres) and osei
    // (4 data centres), with variations of one parameter each.
    {"3 centres", 5, 50, 1, 3, 3, 50, seconds(120)},
    {"3 centres, b = 2", 5, 50, 2, 3, 3, 50, seconds(120)},
    {"4 centres", 5, 50, 1, 4, 2, 50, seconds(120)},
    {"4 centres, 20 s", 5, 50, 1, 4, 2, 50, seconds(20)},
    {"4 centres, batch 3", 5, 50, 1, 4, 2, 3, seconds(120)},
    {"400 instances", 35, 400, 1, 6, 2, 400, seconds(120)},
    // The planned size of the fleet.
    {"1600 instances", 138, 1600, 1, 6, 2, 1600, seconds(120)},
};

constexpr Duration RequestTime = seconds(2);
FleetSimulationSettings settingsFor(const FleetSize &Size) {
  FleetSimulationSettings Settings;
  Settings.m_DataCentres = Size.m_DataCentres;
  Settings.m_EntriesPerDataCentre = Size.m_EntriesPerDataCentre;
  Settings.m_RebootTime = Size.m_Reboot;
  Settings.m_RequestTime = RequestTime;
  // This rate lets each drained instance have requests in flight.
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
    P.m_MinServing = P.m_Instances - Size.m_Budget;
    P.m_AvailabilityBudget = Size.m_Budget;
    Left -= P.m_Instances;
    Settings.m_Pools.push_back(P);
  }
  return Settings;
}

std::uint32_t divideRoundingUp(std::uint32_t Count, std::uint32_t Divisor) {
  return (Count + Divisor - 1) / Divisor;
}

Duration lowerBound(const FleetSize &Size,
                    const FleetSimulationSettings &Settings) {
  std::uint32_t Rounds = divideRoundingUp(Size.m_Instances, Size.m_MaxBatch);
  for (const Pool &P : Settings.m_Pools)
    Rounds = std::max(Rounds,
                      divideRoundingUp(P.m_Instances, P.m_AvailabilityBudget));
  return Rounds * Duration(Size.m_Reboot);
}

double secondsOf(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

void runWave(const FleetSize &Size) {
  FleetSimulationSettings Settings = settingsFor(Size);
  FleetSimulation Simulation(Settings);
  Simulation.runFor(seconds(5));
  WaveOrder Order;
  Order.m_Id = WaveId("w");
  Order.m_MaxBatch = Size.m_MaxBatch;
  auto Before = Simulation.platformCounts();
  TimePoint Start = Simulation.now();
  Simulation.order(0, startWave(Simulation.controller(0).view(), Order));
  auto HasEnded = [&Simulation, &Order] {
    const WaveRow *Wave = Simulation.controller(0).view().findWave(Order.m_Id);
    return Wave && !Wave->isActive();
  };
  bool Ended = Simulation.runUntil(HasEnded, hours(24));
  auto After = Simulation.platformCounts();
  double Bound = secondsOf(lowerBound(Size, Settings));
  double Actual = secondsOf(Simulation.now() - Start);
  double Count = Size.m_Instances;
  std::printf("%-18s %5.0f %9.0f %9.0f %6.3f %12.2f %9.2f %9.1f  %s\n",
              Size.m_Name, Count, Bound, Actual, Actual / Bound,
              double(After.m_Committed - Before.m_Committed) / Count,
              double(After.m_RowsWritten - Before.m_RowsWritten) / Count,
              double(Simulation.drainQueryCount()) / Count,
              Ended && Simulation.oracle().violation().empty() ? "held"
                                                               : "BROKEN");
}

void runMoves() {
  FleetSimulationSettings Settings = settingsFor(Sizes[0]);
  FleetSimulation Simulation(Settings);
  Simulation.runFor(seconds(5));
  auto Before = Simulation.platformCounts();
  std::vector<double> Times;
  for (std::uint32_t I = 0; I < 20; ++I) {
    MoveOrder Order;
    Order.m_Id = MoveId("m" + std::to_string(I));
    Order.m_Source = Settings.m_Pools[I % 2].m_Name;
    Order.m_Target = Settings.m_Pools[1 - I % 2].m_Name;
    Simulation.order(0, startMove(Simulation.upToDateView(), Order));
    TimePoint Start = Simulation.now();
    std::uint64_t Done = Simulation.oracle().moves();
    Simulation.runUntil([&] { return Simulation.oracle().moves() > Done; },
                        hours(1));
    Times.push_back(secondsOf(Simulation.now() - Start));
    Simulation.runFor(seconds(5));
  }
  std::sort(Times.begin(), Times.end());
  auto After = Simulation.platformCounts();
  std::printf("\nmoves %zu: median %.2f s, longest %.2f s, %.2f transactions "
              "each, %s\n",
              Times.size(), Times[Times.size() / 2], Times.back(),
              double(After.m_Committed - Before.m_Committed) /
                  double(Times.size()),
              Simulation.oracle().violation().empty() ? "held" : "BROKEN");
}

double processorMicros() { return 1e6 * double(std::clock()) / CLOCKS_PER_SEC; }

/// Measures the processor time of one tick of a controller, both idle and
/// during a wave over the whole fleet.
void measureTicks(const FleetSize &Size) {
  constexpr int Ticks = 400;
  FleetSimulation Simulation(settingsFor(Size));
  Simulation.runFor(seconds(5));
  double Cost[2];
  for (double &TickCost : Cost) {
    std::size_t Runner = 0;
    for (std::size_t I = 0; I < Simulation.entryCount(); ++I)
      if (Simulation.controller(I).isRunner())
        Runner = I;
    double Start = processorMicros();
    for (int I = 0; I < Ticks; ++I) {
      Simulation.controller(Runner).tick(Simulation.now());
      (void)Simulation.controller(Runner).view();
    }
    TickCost = (processorMicros() - Start) / Ticks;
    WaveOrder Order;
    Order.m_Id = WaveId("w");
    Order.m_MaxBatch = Size.m_MaxBatch;
    Simulation.order(0, startWave(Simulation.controller(0).view(), Order));
    Simulation.runFor(seconds(60));
  }
  std::printf("%5u instances: %8.1f us idle, %8.1f us in a wave\n",
              Size.m_Instances, Cost[0], Cost[1]);
}

} // namespace

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  std::printf("%-18s %5s %9s %9s %6s %12s %9s %9s\n", "fleet", "n", "bound s",
              "took s", "ratio", "transactions", "rows", "queries");
  for (const FleetSize &Size : Sizes)
    runWave(Size);
  runMoves();
  std::printf("\nprocessor time of a tick\n");
  measureTicks(Sizes[0]);
  measureTicks(Sizes[5]);
  measureTicks(Sizes[6]);
  return 0;
}
