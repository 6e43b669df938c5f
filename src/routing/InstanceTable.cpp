//===- InstanceTable.cpp - Instances of the own data centre ---------------===//

#include "routing/InstanceTable.h"
#include "routing/Ejection.h"
#include <algorithm>

namespace pollenspool {

namespace {

bool contains(const std::vector<InstanceId> *Ids, const InstanceId &Id) {
  return Ids && std::find(Ids->begin(), Ids->end(), Id) != Ids->end();
}

} // namespace

InstanceTable::InstanceTable(std::unique_ptr<RoutingStrategy> Strategy,
                             std::uint64_t Seed)
    : m_Strategy(std::move(Strategy)), m_Random(Seed) {}

void InstanceTable::setMaxEjectedShare(double Share) {
  m_MaxEjectedShare = Share;
  for (auto &Entry : m_Groups)
    enforceEjectionLimit(Entry.second, Share);
}

void InstanceTable::setTargets(std::vector<InstanceTarget> Targets) {
  for (auto &Entry : m_States)
    Entry.second->m_Listed = false;
  for (InstanceTarget &Target : Targets)
    applyTarget(std::move(Target));
  removeUnused();
  rebuildGroups();
}

void InstanceTable::applyTarget(InstanceTarget Target) {
  std::unique_ptr<RoutedInstance> &State = m_States[Target.m_Id];
  if (!State) {
    State = std::make_unique<RoutedInstance>();
    for (std::uint32_t Use : m_PeerLoads.usageOf(Target.m_Id))
      State->m_Peers.replace(0, Use);
  }
  State->m_Listed = true;
  if (Target.m_Epoch < State->m_Target.m_Epoch)
    return;
  // Failures from before a drain or a reboot say nothing about the restarted
  // instance.
  if (Target.m_AcceptsWork && !State->m_Target.m_AcceptsWork)
    State->m_Health = InstanceHealth();
  State->m_Target = std::move(Target);
}

void InstanceTable::removeUnused() {
  for (auto It = m_States.begin(); It != m_States.end();) {
    const RoutedInstance &State = *It->second;
    bool Unused = !State.m_Listed && State.m_InFlight == 0;
    It = Unused ? m_States.erase(It) : std::next(It);
  }
}

void InstanceTable::rebuildGroups() {
  m_Groups.clear();
  for (auto &Entry : m_States)
    if (Entry.second->m_Listed)
      m_Groups[Entry.second->m_Target.m_Pool].push_back(Entry.second.get());
  for (auto &Entry : m_Groups) {
    std::sort(Entry.second.begin(), Entry.second.end(),
              [](const RoutedInstance *A, const RoutedInstance *B) {
                return A->m_Target.m_Id < B->m_Target.m_Id;
              });
    enforceEjectionLimit(Entry.second, m_MaxEjectedShare);
  }
}

void InstanceTable::setLimits(const SharedLimits &Limits) {
  m_Limits = Limits;
  countSilentPeers();
}

void InstanceTable::onPeerLoads(const PeerLoadReport &Loads) {
  applyPeerLoads(m_PeerLoads.report(Loads));
}

void InstanceTable::forgetPeer(const EntryId &Peer) {
  applyPeerLoads(m_PeerLoads.forget(Peer));
}

void InstanceTable::applyPeerLoads(const std::vector<PeerLoadChange> &Changes) {
  for (const PeerLoadChange &Change : Changes)
    if (RoutedInstance *State = find(Change.m_Instance))
      State->m_Peers.replace(Change.m_Before, Change.m_After);
  countSilentPeers();
}

void InstanceTable::countSilentPeers() {
  std::size_t Others = m_Limits.m_EntryInstances - 1;
  std::size_t Heard = std::min(m_PeerLoads.peers(), Others);
  m_Limits.m_SilentPeers = static_cast<std::uint32_t>(Others - Heard);
}

InstanceChoice InstanceTable::choose(const PoolName &Pool,
                                     const TryRequest &Request) {
  InstanceChoice Choice;
  m_Free.clear();
  for (RoutedInstance *State : group(Pool)) {
    if (!State->acceptsWork() ||
        contains(Request.m_Tried, State->m_Target.m_Id))
      continue;
    if (State->m_Health.m_Ejected) {
      if (isProbeDue(*State, Request.m_SafeAsProbe, Request.m_Now) &&
          State->m_InFlight < m_Limits.connectionShare())
        return {State, true};
      continue;
    }
    Choice.m_HasUntried = true;
    if (hasFreeSlot(*State))
      m_Free.push_back(State);
  }
  if (!m_Free.empty())
    Choice.m_Instance = m_Strategy->choose(m_Free, m_Limits, m_Random);
  return Choice;
}

bool InstanceTable::hasUntried(const PoolName &Pool,
                               const std::vector<InstanceId> &Tried) const {
  for (const RoutedInstance *State : group(Pool))
    if (State->acceptsWork() && !State->m_Health.m_Ejected &&
        !contains(&Tried, State->m_Target.m_Id))
      return true;
  return false;
}

bool InstanceTable::hasFreeSlot(const RoutedInstance &Instance) const {
  return Instance.m_InFlight < m_Strategy->window(Instance, m_Limits);
}

PoolCapacity InstanceTable::capacity(const PoolName &Pool) const {
  PoolCapacity Capacity;
  for (const RoutedInstance *State : group(Pool)) {
    if (!State->acceptsWork())
      continue;
    ++Capacity.m_Accepting;
    if (!State->m_Health.m_Ejected)
      Capacity.m_Slots += m_Strategy->window(*State, m_Limits);
  }
  return Capacity;
}

bool InstanceTable::startTry(RoutedInstance &Instance) {
  ++Instance.m_InFlight;
  if (Instance.m_Health.m_Ejected)
    Instance.m_Health.m_ProbeInFlight = true;
  return Instance.m_Health.m_Ejected;
}

void InstanceTable::endTry(RoutedInstance &Instance, bool Probe) {
  --Instance.m_InFlight;
  if (Probe)
    Instance.m_Health.m_ProbeInFlight = false;
  if (!Instance.m_Listed && Instance.m_InFlight == 0)
    m_States.erase(InstanceId(Instance.m_Target.m_Id));
}

void InstanceTable::observe(RoutedInstance &Instance,
                            const TryObservation &Observation) {
  m_Strategy->observe(Instance, m_Limits, Observation);
}

bool InstanceTable::onFailure(RoutedInstance &Instance, bool FailedElsewhere,
                              TimePoint Now) {
  recordFailure(Instance, FailedElsewhere, Now);
  return ejectIfFailing(Instance, group(Instance.m_Target.m_Pool),
                        m_MaxEjectedShare, Now);
}

RoutedInstance *InstanceTable::find(const InstanceId &Id) const {
  auto It = m_States.find(Id);
  return It == m_States.end() ? nullptr : It->second.get();
}

std::uint32_t InstanceTable::inFlight(const InstanceId &Id) const {
  const RoutedInstance *State = find(Id);
  return State ? State->m_InFlight : 0;
}

std::vector<InstanceLoad> InstanceTable::loads() const {
  std::vector<InstanceLoad> Loads;
  for (const auto &Entry : m_States)
    if (Entry.second->m_InFlight > 0)
      Loads.push_back({Entry.first, Entry.second->m_InFlight});
  return Loads;
}

std::size_t InstanceTable::ejected() const {
  std::size_t Count = 0;
  for (const auto &Entry : m_Groups)
    Count += ejectedCount(Entry.second);
  return Count;
}

const InstanceGroup &InstanceTable::group(const PoolName &Pool) const {
  static const InstanceGroup Empty;
  auto It = m_Groups.find(Pool);
  return It == m_Groups.end() ? Empty : It->second;
}

} // namespace pollenspool
