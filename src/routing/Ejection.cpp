//===- Ejection.cpp - Ejection of failing instances -----------------------===//

#include "routing/Ejection.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr double FailureRateSmoothing = 0.1;
/// Consecutive attributed failures after which an instance is ejected.
constexpr std::uint32_t EjectAfterInRow = 5;
/// Tries after which the failure rate alone may eject an instance.
constexpr std::uint32_t MinRateSamples = 20;
constexpr double EjectFailureRate = 0.5;
/// Margin by which the failure rate must exceed the mean of the rest of the
/// pool.
constexpr double FailureRateMargin = 0.3;
/// Consecutive failures of different requests from which on failures are
/// attributed to the instance, even if each request failed at another instance
/// as well.
constexpr std::uint32_t AttributeAfterInRow = 3;
constexpr std::uint32_t ProbesToReadmit = 3;
constexpr Duration FirstBackoff = std::chrono::milliseconds(500);
constexpr Duration MaxBackoff = std::chrono::seconds(30);
/// Extra delay before a due probe may use a request that is not safe as a
/// probe.
constexpr Duration UnsafeProbeDelay = std::chrono::seconds(2);

void readmit(InstanceHealth &H) { H = InstanceHealth{}; }

void delayProbe(InstanceHealth &H, TimePoint Now) {
  H.m_ProbesPassed = 0;
  H.m_NextProbe = Now + H.m_Backoff;
  H.m_Backoff = std::min(H.m_Backoff * 2, MaxBackoff);
}

/// Mean failure rate of the other instances that accept work and are not
/// ejected.
double failureRateOfOthers(const RoutedInstance &Instance,
                           const InstanceGroup &Group) {
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

bool isFailing(const InstanceHealth &H, double RateOfOthers) {
  if (H.m_FailureRate < RateOfOthers + FailureRateMargin)
    return false;
  bool InRow = H.m_AttributedInRow >= EjectAfterInRow;
  bool ByRate =
      H.m_Samples >= MinRateSamples && H.m_FailureRate >= EjectFailureRate;
  return InRow || ByRate;
}

} // namespace

std::size_t ejectionLimit(const InstanceGroup &Group, double MaxShare) {
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
  H.m_FailureRate -= FailureRateSmoothing * H.m_FailureRate;
  H.m_FailuresInRow = 0;
  H.m_AttributedInRow = 0;
  ++H.m_Samples;
  if (H.m_Ejected && ++H.m_ProbesPassed >= ProbesToReadmit)
    readmit(H);
}

void recordFailure(RoutedInstance &Instance, bool FailedElsewhere,
                   TimePoint Now) {
  InstanceHealth &H = Instance.m_Health;
  H.m_FailureRate += FailureRateSmoothing * (1 - H.m_FailureRate);
  ++H.m_FailuresInRow;
  ++H.m_Samples;
  if (!FailedElsewhere || H.m_FailuresInRow >= AttributeAfterInRow)
    ++H.m_AttributedInRow;
  if (H.m_Ejected)
    delayProbe(H, Now);
}

void retractFailure(RoutedInstance &Instance) {
  InstanceHealth &H = Instance.m_Health;
  if (H.m_AttributedInRow > 0 && H.m_FailuresInRow < AttributeAfterInRow)
    --H.m_AttributedInRow;
}

bool ejectIfFailing(RoutedInstance &Instance, const InstanceGroup &Group,
                    double MaxShare, TimePoint Now) {
  InstanceHealth &H = Instance.m_Health;
  if (H.m_Ejected || !Instance.acceptsWork())
    return false;
  if (!isFailing(H, failureRateOfOthers(Instance, Group)))
    return false;
  if (ejectedCount(Group) >= ejectionLimit(Group, MaxShare))
    return false;
  H.m_Ejected = true;
  H.m_Backoff = FirstBackoff;
  delayProbe(H, Now);
  return true;
}

void enforceEjectionLimit(const InstanceGroup &Group, double MaxShare) {
  std::size_t Limit = ejectionLimit(Group, MaxShare);
  std::size_t Count = ejectedCount(Group);
  for (RoutedInstance *I : Group) {
    if (Count <= Limit)
      return;
    if (!I->acceptsWork() || !I->m_Health.m_Ejected)
      continue;
    readmit(I->m_Health);
    --Count;
  }
}

bool isProbeDue(const RoutedInstance &Instance, bool SafeAsProbe,
                TimePoint Now) {
  const InstanceHealth &H = Instance.m_Health;
  if (!H.m_Ejected || H.m_ProbeInFlight)
    return false;
  return Now >= H.m_NextProbe + (SafeAsProbe ? Duration(0) : UnsafeProbeDelay);
}

} // namespace pollenspool
