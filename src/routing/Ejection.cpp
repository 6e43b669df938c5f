//===- Ejection.cpp - Taking failing instances out of rotation ------------===//

#include "routing/Ejection.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr double FailureGain = 0.1;
/// Failures in a row that eject an instance.
constexpr std::uint32_t EjectAfterInRow = 5;
/// Tries after which the failure rate alone may eject.
constexpr std::uint32_t RateSamples = 20;
constexpr double EjectRate = 0.5;
/// How much the rate has to exceed that of the rest of the pool.
constexpr double RateMargin = 0.3;
/// Failures in a row of different requests that put the blame on the instance,
/// though each request failed elsewhere as well.
constexpr std::uint32_t BlameAfterInRow = 3;
constexpr std::uint32_t ProbesToReturn = 3;
constexpr Duration FirstBackoff = std::chrono::milliseconds(500);
constexpr Duration MaxBackoff = std::chrono::seconds(30);
/// How long a due probe waits for a harmless request.
constexpr Duration HarmlessGrace = std::chrono::seconds(2);

void takeBack(InstanceHealth &H) { H = InstanceHealth{}; }

void delayProbe(InstanceHealth &H, TimePoint Now) {
  H.m_ProbesPassed = 0;
  H.m_ProbeAt = Now + H.m_Backoff;
  H.m_Backoff = std::min(H.m_Backoff * 2, MaxBackoff);
}

/// Mean failure rate of the others that take work.
double restRate(const RoutedInstance &Instance, const InstanceGroup &Group) {
  double Sum = 0;
  std::size_t Count = 0;
  for (const RoutedInstance *Other : Group) {
    if (Other == &Instance || !Other->acceptsWork() ||
        Other->m_Health.m_Ejected)
      continue;
    Sum += Other->m_Health.m_FailureRate;
    ++Count;
  }
  return Count == 0 ? 0 : Sum / static_cast<double>(Count);
}

bool isFailing(const InstanceHealth &H, double RestRate) {
  if (H.m_FailureRate < RestRate + RateMargin)
    return false;
  bool InRow = H.m_BlamedInRow >= EjectAfterInRow;
  bool ByRate = H.m_Samples >= RateSamples && H.m_FailureRate >= EjectRate;
  return InRow || ByRate;
}

} // namespace

std::size_t ejectionBound(const InstanceGroup &Group, double MaxShare) {
  std::size_t Accepting = 0;
  for (const RoutedInstance *I : Group)
    Accepting += I->acceptsWork() ? 1 : 0;
  if (Accepting <= 1)
    return 0;
  auto Share = static_cast<std::size_t>(double(Accepting) * MaxShare);
  return std::clamp<std::size_t>(Share, 1, Accepting - 1);
}

std::size_t ejectedCount(const InstanceGroup &Group) {
  std::size_t Count = 0;
  for (const RoutedInstance *I : Group)
    Count += I->acceptsWork() && I->m_Health.m_Ejected ? 1 : 0;
  return Count;
}

void recordSuccess(RoutedInstance &Instance) {
  InstanceHealth &H = Instance.m_Health;
  H.m_FailureRate -= FailureGain * H.m_FailureRate;
  H.m_FailuresInRow = 0;
  H.m_BlamedInRow = 0;
  ++H.m_Samples;
  if (H.m_Ejected && ++H.m_ProbesPassed >= ProbesToReturn)
    takeBack(H);
}

void recordFailure(RoutedInstance &Instance, bool FailedElsewhere,
                   TimePoint Now) {
  InstanceHealth &H = Instance.m_Health;
  H.m_FailureRate += FailureGain * (1 - H.m_FailureRate);
  ++H.m_FailuresInRow;
  ++H.m_Samples;
  if (!FailedElsewhere || H.m_FailuresInRow >= BlameAfterInRow)
    ++H.m_BlamedInRow;
  if (H.m_Ejected)
    delayProbe(H, Now);
}

void retractFailure(RoutedInstance &Instance) {
  InstanceHealth &H = Instance.m_Health;
  if (H.m_BlamedInRow > 0 && H.m_FailuresInRow < BlameAfterInRow)
    --H.m_BlamedInRow;
}

bool ejectIfFailing(RoutedInstance &Instance, const InstanceGroup &Group,
                    double MaxShare, TimePoint Now) {
  InstanceHealth &H = Instance.m_Health;
  if (H.m_Ejected || !Instance.acceptsWork())
    return false;
  if (!isFailing(H, restRate(Instance, Group)))
    return false;
  if (ejectedCount(Group) >= ejectionBound(Group, MaxShare))
    return false;
  H.m_Ejected = true;
  H.m_Backoff = FirstBackoff;
  delayProbe(H, Now);
  return true;
}

void enforceEjectionBound(const InstanceGroup &Group, double MaxShare) {
  std::size_t Bound = ejectionBound(Group, MaxShare);
  std::size_t Count = ejectedCount(Group);
  for (RoutedInstance *I : Group) {
    if (Count <= Bound)
      return;
    if (!I->acceptsWork() || !I->m_Health.m_Ejected)
      continue;
    takeBack(I->m_Health);
    --Count;
  }
}

bool isProbeDue(const RoutedInstance &Instance, bool Harmless, TimePoint Now) {
  const InstanceHealth &H = Instance.m_Health;
  if (!H.m_Ejected || H.m_ProbeInFlight)
    return false;
  return Now >= H.m_ProbeAt + (Harmless ? Duration(0) : HarmlessGrace);
}

} // namespace pollenspool
