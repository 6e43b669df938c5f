//===- RemoteCapacityTable.cpp - Capacity of other data centres -----------===//

#include "forward/RemoteCapacityTable.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr Duration InitialBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxBackoff = std::chrono::milliseconds(1600);

} // namespace

void RemoteCapacityTable::setTargets(const DataCentreName &Where,
                                     const std::vector<InstanceTarget> &Targets,
                                     std::uint32_t SlotsPerInstance) {
  for (auto &[Key, Known] : m_PoolCapacities)
    if (Key.m_Where == Where)
      Known.m_Slots = 0;
  for (const InstanceTarget &Target : Targets)
    if (Target.m_AcceptsWork)
      m_PoolCapacities[PoolKey{Where, Target.m_Pool}].m_Slots +=
          SlotsPerInstance;
}

void RemoteCapacityTable::onOutcome(const DataCentreName &Where,
                                    const PoolName &Pool, const Outcome &Final,
                                    TimePoint Now) {
  auto It = m_PoolCapacities.find(PoolKey{Where, Pool});
  if (It == m_PoolCapacities.end())
    return;
  PoolCapacity &Known = It->second;
  if (Final.m_Kind == OutcomeKind::Answer) {
    Known.m_Backoff = Duration::zero();
    Known.m_BackoffUntil = Now;
    return;
  }
  Known.m_Backoff =
      std::min(std::max(Known.m_Backoff * 2, InitialBackoff), MaxBackoff);
  Known.m_BackoffUntil = Now + Known.m_Backoff;
}

std::vector<RemoteCapacity> RemoteCapacityTable::capacity(
    const std::function<bool(const DataCentreName &)> &IsReachable,
    TimePoint Now) const {
  std::vector<RemoteCapacity> Out;
  for (const auto &[Key, Known] : m_PoolCapacities) {
    if (Out.empty() || Out.back().m_DataCentre != Key.m_Where) {
      RemoteCapacity Next;
      Next.m_DataCentre = Key.m_Where;
      Next.m_Reachable = IsReachable(Key.m_Where);
      Out.push_back(std::move(Next));
    }
    bool Open = Now >= Known.m_BackoffUntil;
    if (Open && Known.m_Slots > 0)
      Out.back().m_Pools.push_back(PoolFreeCapacity{Key.m_Pool, Known.m_Slots});
  }
  return Out;
}

} // namespace pollenspool
