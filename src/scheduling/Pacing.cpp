//===- Pacing.cpp - How fast tasks that fill may work ---------------------===//

#include "scheduling/Pacing.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Figures cover half a second and a pace works after 100 ms: a change shows
/// after this.
constexpr Duration SlowDownEvery = std::chrono::milliseconds(600);
/// Slower upwards: what fills is worth less than what serves.
constexpr Duration SpeedUpEvery = std::chrono::milliseconds(1000);
/// Shares of the target above which filling runs are slowed down, and below
/// which they are let go.
constexpr double HighShare = 0.9;
constexpr double LowShare = 0.7;
/// Three halvings bring a run below an eighth within two seconds, well before
/// the four in which a tail must not stay over its target.
constexpr std::uint32_t SlowDownDivisor = 2;
/// Below this it stands still.
constexpr std::uint32_t LeastPace = 10;
constexpr std::uint32_t SpeedUpBy = 15;
constexpr std::uint32_t FullPace = 100;

/// The worst tail of the serving runs, as a share of its target.
double worstTail(const ServerState &S) {
  double Worst = 0;
  for (const auto &[Id, Run] : S.m_Runs)
    if (Run.m_TailTarget > 0 && !Run.m_Fills)
      Worst = std::max(Worst, Run.m_Measure / Run.m_TailTarget);
  return Worst;
}

std::uint32_t nextPace(const ActiveRun &Run, double Tail, TimePoint Now) {
  if (Tail > HighShare && Now >= Run.m_PacedAt + SlowDownEvery)
    return Run.m_Pace / SlowDownDivisor < LeastPace
               ? 0
               : Run.m_Pace / SlowDownDivisor;
  if (Tail < LowShare && Now >= Run.m_PacedAt + SpeedUpEvery)
    return std::min(FullPace, Run.m_Pace + SpeedUpBy);
  return Run.m_Pace;
}

} // namespace

std::vector<PaceOrder> adjustPaces(ServerState &S, Term T, TimePoint Now) {
  std::vector<PaceOrder> Orders;
  double Tail = worstTail(S);
  for (auto &[Id, Run] : S.m_Runs) {
    if (!Run.m_Fills || Run.m_Phase != RunPhase::Running)
      continue;
    std::uint32_t Pace = nextPace(Run, Tail, Now);
    // An order that was lost is given again as long as there is harm.
    bool Again =
        Pace == 0 && Tail > HighShare && Now >= Run.m_PacedAt + SlowDownEvery;
    if (Pace == Run.m_Pace && !Again)
      continue;
    Run.m_Pace = Pace;
    Run.m_PacedAt = Now;
    Orders.push_back({S.address(), Id, Pace, T});
  }
  return Orders;
}

} // namespace pollenspool
