//===- ShareMeter.cpp - Accepted jobs against each share ------------------===//

#include "organisations/ShareMeter.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// An organisation may use its share of this time at once, since jobs do not
/// arrive evenly.
constexpr std::chrono::duration<double> BurstTime{2.0};
/// Jobs that even the smallest organisation may submit at once.
constexpr double MinBurst = 5;
constexpr std::chrono::duration<double> RateTime{0.5};
/// Some jobs are always admitted, so that the leader sees when fewer come.
constexpr double MinFraction = 0.05;
/// Growth of a fraction with each update once the organisation is within its
/// share again, or there is room.
constexpr double FractionGrowth = 1.5;

double burstOf(double Weight) {
  return std::max(MinBurst, Weight * BurstTime.count());
}

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

} // namespace

void ShareMeter::restore(const AdmissionShares &Earlier) {
  for (const auto &[Organisation, Fraction] : Earlier.m_Fractions)
    m_Meters[Organisation].m_Fraction = Fraction;
}

void ShareMeter::refill(Meter &M, TimePoint Now) {
  double Burst = burstOf(M.m_Weight);
  M.m_Tokens =
      M.m_IsNew
          ? Burst
          : std::min(Burst,
                     M.m_Tokens + M.m_Weight * seconds(Now - M.m_RefilledAt));
  M.m_IsNew = false;
  M.m_RefilledAt = Now;
}

bool ShareMeter::onAccepted(const OrganisationName &Organisation, double Weight,
                            TimePoint Now) {
  // Without a weight there is no share to exceed.
  if (Weight <= 0)
    return true;
  Meter &M = m_Meters[Organisation];
  M.m_Weight = Weight;
  refill(M, Now);
  ++M.m_Accepted;
  if (M.m_Tokens < 1) {
    M.m_HasExceeded = true;
    return false;
  }
  M.m_Tokens -= 1;
  return true;
}

void ShareMeter::updateRate(Meter &M, TimePoint Now) {
  if (M.m_RateAt == TimePoint{}) {
    // The fraction of an earlier leader tells what was submitted until now.
    M.m_Rate = M.m_Fraction < 1 ? M.m_Weight / M.m_Fraction : 0;
    M.m_RateAt = Now;
  }
  double Passed = seconds(Now - M.m_RateAt);
  if (Passed <= 0)
    return;
  double Decay = std::exp(-Passed / RateTime.count());
  M.m_Rate =
      M.m_Rate * Decay + M.m_Accepted / M.m_Fraction / Passed * (1 - Decay);
  M.m_Accepted = 0;
  M.m_RateAt = Now;
}

AdmissionShares ShareMeter::update(std::set<PoolName> FullPools,
                                   TimePoint Now) {
  AdmissionShares Shares;
  for (auto &[Organisation, M] : m_Meters) {
    refill(M, Now);
    updateRate(M, Now);
    bool Exceeds = M.m_HasExceeded || M.m_Fraction < 1;
    M.m_HasExceeded = false;
    if (!FullPools.empty() && Exceeds && M.m_Rate > M.m_Weight)
      M.m_Fraction = std::max(MinFraction, M.m_Weight / M.m_Rate);
    else
      M.m_Fraction = std::min(1.0, M.m_Fraction * FractionGrowth);
    if (M.m_Fraction < 1)
      Shares.m_Fractions[Organisation] = M.m_Fraction;
  }
  if (!Shares.m_Fractions.empty())
    Shares.m_FullPools = std::move(FullPools);
  return Shares;
}

} // namespace pollenspool
