//===- SpillBook.cpp - Where work can spill to ----------------------------===//

#include "forward/SpillBook.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
constexpr Duration LongestBackoff = std::chrono::milliseconds(1600);

} // namespace

void SpillBook::setTargets(const DataCentreName &Where,
                           const std::vector<InstanceTarget> &Targets,
                           std::uint32_t SlotsPerInstance) {
  for (auto &[At, Known] : m_Offers)
    if (At.m_Where == Where)
      Known.m_Slots = 0;
  for (const InstanceTarget &Target : Targets)
    if (Target.m_AcceptsWork)
      m_Offers[Place{Where, Target.m_Pool}].m_Slots += SlotsPerInstance;
}

void SpillBook::onOutcome(const DataCentreName &Where, const PoolName &Pool,
                          const Outcome &Final, TimePoint Now) {
  auto It = m_Offers.find(Place{Where, Pool});
  if (It == m_Offers.end())
    return;
  Offer &Known = It->second;
  if (Final.m_Kind == OutcomeKind::Answer) {
    Known.m_Backoff = Duration::zero();
    Known.m_ClosedUntil = Now;
    return;
  }
  Known.m_Backoff =
      std::min(std::max(Known.m_Backoff * 2, FirstBackoff), LongestBackoff);
  Known.m_ClosedUntil = Now + Known.m_Backoff;
}

std::vector<RemoteCapacity> SpillBook::capacity(
    const std::function<bool(const DataCentreName &)> &IsReachable,
    TimePoint Now) const {
  std::vector<RemoteCapacity> Out;
  for (const auto &[At, Known] : m_Offers) {
    if (Out.empty() || Out.back().m_DataCentre != At.m_Where) {
      RemoteCapacity Next;
      Next.m_DataCentre = At.m_Where;
      Next.m_Reachable = IsReachable(At.m_Where);
      Out.push_back(std::move(Next));
    }
    bool Open = Now >= Known.m_ClosedUntil;
    if (Open && Known.m_Slots > 0)
      Out.back().m_Pools.push_back(PoolRoom{At.m_Pool, Known.m_Slots});
  }
  return Out;
}

} // namespace pollenspool
