//===- Pacing.cpp - Pacing of best-effort tasks ---------------------------===//

#include "scheduling/Pacing.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Measurements cover half a second and a new pace takes effect after 100 ms,
/// so the effect of a change is visible after this interval.
constexpr Duration SlowDownInterval = std::chrono::milliseconds(600);
/// Longer than SlowDownInterval, since best-effort work is worth less than
/// serving.
constexpr Duration SpeedUpInterval = std::chrono::milliseconds(1000);
/// Ratios of tail latency to its target: best-effort runs are slowed down above
/// the first and sped up below the second.
constexpr double SlowDownThreshold = 0.9;
constexpr double SpeedUpThreshold = 0.7;
/// Three halvings reduce the pace below an eighth within two seconds. Tail
/// latency must not exceed its target for four seconds.
constexpr std::uint32_t SlowDownDivisor = 2;
/// Below this pace, in percent, a run is suspended.
constexpr std::uint32_t MinPace = 10;
/// Added to the pace with each step, in percent of full speed.
constexpr std::uint32_t SpeedUpStep = 15;
constexpr std::uint32_t FullPace = 100;

/// The highest ratio of tail latency to its target among the serving runs.
double worstTailRatio(const ServerState &S) {
  double Worst = 0;
  for (const auto &[Id, Run] : S.m_Runs)
    if (Run.m_TailLatencyTarget > 0 && !Run.m_IsBestEffort)
      Worst = std::max(Worst, Run.m_LoadMeasurement / Run.m_TailLatencyTarget);
  return Worst;
}

std::uint32_t nextPace(const ActiveRun &Run, double TailRatio, TimePoint Now) {
  if (TailRatio > SlowDownThreshold && Now >= Run.m_PacedAt + SlowDownInterval)
    return Run.m_Pace / SlowDownDivisor < MinPace
               ? 0
               : Run.m_Pace / SlowDownDivisor;
  if (TailRatio < SpeedUpThreshold && Now >= Run.m_PacedAt + SpeedUpInterval)
    return std::min(FullPace, Run.m_Pace + SpeedUpStep);
  return Run.m_Pace;
}

} // namespace

std::vector<PaceOrder> adjustPaces(ServerState &S, Term T, TimePoint Now) {
  std::vector<PaceOrder> Orders;
  double TailRatio = worstTailRatio(S);
  for (auto &[Id, Run] : S.m_Runs) {
    if (!Run.m_IsBestEffort || Run.m_Phase != RunPhase::Running)
      continue;
    std::uint32_t Pace = nextPace(Run, TailRatio, Now);
    // The order may have been lost, so it is repeated while tail latency is too
    // high.
    bool Repeat = Pace == 0 && TailRatio > SlowDownThreshold &&
                  Now >= Run.m_PacedAt + SlowDownInterval;
    if (Pace == Run.m_Pace && !Repeat)
      continue;
    Run.m_Pace = Pace;
    Run.m_PacedAt = Now;
    Orders.push_back({S.address(), Id, Pace, T});
  }
  return Orders;
}

} // namespace pollenspool
