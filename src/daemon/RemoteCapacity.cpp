//===- RemoteCapacity.cpp - Free capacity of other data centres -----------===//

#include "daemon/DaemonImpl.h"
#include <set>

namespace pollenspool {

ForwardHooks Daemon::Impl::forwardHooks() {
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

void Daemon::Impl::onForwarded(const DataCentreName &Where,
                               const ServiceName &RequestedService,
                               const Outcome &Final) {
  auto Doc = m_Gateway->document();
  const Service *Known = Doc ? Doc->findService(RequestedService) : nullptr;
  if (!Known)
    return;
  {
    std::lock_guard<std::mutex> Lock(m_RemoteCapacityMutex);
    m_RemoteCapacity.onOutcome(Where, Known->m_Pool, Final, steadyNow());
  }
  if (Final.m_Kind != OutcomeKind::Answer)
    publishCapacity();
}

void Daemon::Impl::publishCapacity() {
  auto Doc = m_Gateway->document();
  if (!Doc)
    return;
  std::set<DataCentreName> Others;
  for (const PeerEntry &Entry : m_Settings.m_Entries)
    if (Entry.m_DataCentre != m_Settings.m_DataCentre)
      Others.insert(Entry.m_DataCentre);
  std::unique_lock<std::mutex> Lock(m_RemoteCapacityMutex);
  for (const DataCentreName &Where : Others)
    m_RemoteCapacity.setTargets(Where, m_Sync->targets(Where),
                                Doc->m_Policy.m_SlotsPerInstance);
  auto Capacity = m_RemoteCapacity.capacity(
      [this](const DataCentreName &Where) {
        return m_Membership->isReachable(Where);
      },
      steadyNow());
  Lock.unlock();
  m_Gateway->setRemoteCapacity(std::move(Capacity));
}

} // namespace pollenspool
