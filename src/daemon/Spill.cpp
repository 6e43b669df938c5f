//===- Spill.cpp - What other data centres can take -----------------------===//

#include "daemon/Parts.h"
#include <set>

namespace pollenspool {

ForwardHooks Daemon::Parts::forwardHooks() {
  ForwardHooks Hooks;
  Hooks.m_OnOutcome = [this](const DataCentreName &Where,
                             const ServiceName &Service, const Outcome &Final) {
    onForwarded(Where, Service, Final);
  };
  Hooks.m_OnUnreachable = [this](const EntryId &Peer) {
    m_Membership->onUnreachable(Peer);
  };
  return Hooks;
}

void Daemon::Parts::onForwarded(const DataCentreName &Where,
                                const ServiceName &ServiceOf,
                                const Outcome &Final) {
  auto Doc = m_Gateway->document();
  const Service *Known = Doc ? Doc->findService(ServiceOf) : nullptr;
  if (!Known)
    return;
  {
    std::lock_guard<std::mutex> Lock(m_SpillMutex);
    m_Spill.onOutcome(Where, Known->m_Pool, Final, steadyNow());
  }
  if (Final.m_Kind != OutcomeKind::Answer)
    publishCapacity();
}

void Daemon::Parts::publishCapacity() {
  auto Doc = m_Gateway->document();
  if (!Doc)
    return;
  std::set<DataCentreName> Others;
  for (const PeerEntry &Entry : m_Settings.m_Entries)
    if (Entry.m_DataCentre != m_Settings.m_DataCentre)
      Others.insert(Entry.m_DataCentre);
  std::unique_lock<std::mutex> Lock(m_SpillMutex);
  for (const DataCentreName &Where : Others)
    m_Spill.setTargets(Where, m_Sync->targets(Where),
                       Doc->m_Policy.m_SlotsPerInstance);
  auto Capacity = m_Spill.capacity(
      [this](const DataCentreName &Where) {
        return m_Membership->isReachable(Where);
      },
      steadyNow());
  Lock.unlock();
  m_Gateway->setRemoteCapacity(std::move(Capacity));
}

} // namespace pollenspool
