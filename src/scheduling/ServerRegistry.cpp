//===- ServerRegistry.cpp - Backend servers and their runs ----------------===//

#include "scheduling/ServerRegistry.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Added to the end of a lease for rounding to whole milliseconds and for the
/// time that a server takes to terminate its runs.
constexpr Duration LeaseMargin = std::chrono::milliseconds(100);

/// Failed polls in a row from which on a server counts as unreachable for long.
/// A single lost answer is no reason to tell the next leader.
constexpr std::uint32_t ManyFailedPolls = 3;

} // namespace

bool ByFreeCores::operator()(const ServerState *A, const ServerState *B) const {
  return std::tie(A->m_IndexedMilliCores, A->m_IndexNumber) <
         std::tie(B->m_IndexedMilliCores, B->m_IndexNumber);
}

bool ByFreeCores::operator()(const ServerState *A,
                             std::int64_t MilliCores) const {
  return A->m_IndexedMilliCores < MilliCores;
}

std::int64_t ServerState::minClockMs(TimePoint Now) const {
  auto Since =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - m_ClockAt);
  return m_ClockMs +
         static_cast<std::int64_t>(static_cast<double>(Since.count()) *
                                   MinServerClockRate);
}

bool hasLabel(const std::vector<std::string> &Labels,
              const std::string &Required) {
  return Required.empty() ||
         std::find(Labels.begin(), Labels.end(), Required) != Labels.end();
}

bool ServerState::needsPoll() const {
  return !m_PollPending && (m_Registered || !m_Runs.empty()) &&
         (!m_HasAcknowledgedTerm || !m_Reachable || !m_Runs.empty() ||
          m_LastRecordedEnd > m_LastAcknowledgedEnd);
}

TimePoint ServerState::nextCheck() const {
  TimePoint At = needsPoll() ? m_NextPoll : TimePoint::max();
  if (!m_PublishedCapacity.fitsIn(m_Registration.m_Capacity))
    At = std::min(At, m_CapacityGrowsAt);
  if (!m_Reachable)
    for (const auto &[Id, Run] : m_Runs)
      At = std::min(At, Run.m_LostBy ? Run.m_MayBeginUntil : m_LeasesEnd);
  if (!m_Registered && isIdle() && !m_PollPending)
    At = std::min(At,
                  std::max(m_UnregisteredAt + RegistrationGrace, m_LeasesEnd));
  return At;
}

bool ServerState::isUnreachableForLong() const {
  return !m_Reachable && m_FailedPolls >= ManyFailedPolls;
}

bool ServerState::hasFiniteRuns() const {
  return std::any_of(m_Runs.begin(), m_Runs.end(),
                     [](const auto &E) { return !E.second.m_IsLongRunning; });
}

bool ServerState::hasOnlyLateStarts() const {
  return std::all_of(m_Runs.begin(), m_Runs.end(), [](const auto &E) {
    return E.second.m_LostBy.has_value();
  });
}

std::vector<RunId> ServerState::lostRuns(TimePoint Now) const {
  std::vector<RunId> Lost;
  for (const auto &[Id, Run] : m_Runs)
    if (Run.m_LostBy && !Run.mayStillBegin(Now) &&
        verdictOn(Run.m_StartEvidence, *Run.m_LostBy, contactLoss()) !=
            LossVerdict::AwaitResult)
      Lost.push_back(Id);
  return Lost;
}

ServerState *ServerRegistry::find(const ServerId &Id) {
  auto It = m_ById.find(Id);
  return It == m_ById.end() ? nullptr : It->second;
}

const ServerState *ServerRegistry::find(const ServerId &Id) const {
  auto It = m_ById.find(Id);
  return It == m_ById.end() ? nullptr : It->second;
}

const ServersByFreeCores &ServerRegistry::inPool(const PoolName &Pool) const {
  static const ServersByFreeCores None;
  auto It = m_Pools.find(Pool);
  return It == m_Pools.end() ? None : It->second;
}

ServerState &ServerRegistry::upsert(const ServerRegistration &R, TimePoint Now,
                                    Duration SettlingTime) {
  ServerState &S = m_Servers[R.m_Id];
  const bool IsNew = !S.m_Index;
  if (IsNew)
    m_ById[R.m_Id] = &S;
  if (IsNew || !S.m_Registered || R.m_Instance != S.m_Registration.m_Instance ||
      R.m_Pool != S.m_Registration.m_Pool ||
      R.m_StartTimeMs != S.m_Registration.m_StartTimeMs)
    S.m_RegisteredAt = Now;
  m_RegistrationChanges +=
      IsNew || !S.m_Registered || R.m_Instance != S.m_Registration.m_Instance;
  if (S.m_Index)
    S.m_Index->erase(&S);
  else
    S.m_IndexNumber = m_ServersAdded++;
  const Resources Used = IsNew ? R.m_Capacity : S.m_Registration.m_Capacity;
  if (IsNew || !R.m_Capacity.fitsIn(S.m_PublishedCapacity))
    S.m_CapacityGrowsAt = IsNew ? Now : Now + SettlingTime;
  S.m_PublishedCapacity = R.m_Capacity;
  S.m_Registration = R;
  S.m_Registration.m_Capacity = Used.least(R.m_Capacity);
  S.m_Registered = true;
  S.m_Index = &m_Pools[R.m_Pool];
  S.m_IndexedMilliCores = S.freeResources().m_MilliCores;
  S.m_Index->insert(&S);
  S.m_DueServers = &m_Due;
  markChanged(S);
  return S;
}

void ServerRegistry::markUnregistered(ServerState &S, TimePoint At) {
  S.m_Registered = false;
  S.m_UnregisteredAt = At;
  ++m_RegistrationChanges;
  markChanged(S);
}

void ServerRegistry::markChanged(ServerState &S) {
  if (S.m_DueServers)
    S.m_DueServers->add(S);
}

void ServerRegistry::growCapacity(ServerState &S, TimePoint Now) {
  if (Now < S.m_CapacityGrowsAt ||
      S.m_PublishedCapacity.fitsIn(S.m_Registration.m_Capacity))
    return;
  S.m_Registration.m_Capacity = S.m_PublishedCapacity;
  reindex(S);
}

void ServerRegistry::erase(const ServerId &Id) {
  auto It = m_Servers.find(Id);
  if (It == m_Servers.end())
    return;
  It->second.m_Index->erase(&It->second);
  m_Due.remove(It->second);
  m_ById.erase(Id);
  ++m_RegistrationChanges;
  m_Servers.erase(It);
}

void ServerRegistry::reindex(ServerState &S) {
  std::int64_t MilliCores = S.freeResources().m_MilliCores;
  if (!S.m_Index || MilliCores == S.m_IndexedMilliCores)
    return;
  // Moves the node instead of allocating a new one.
  auto Node = S.m_Index->extract(&S);
  S.m_IndexedMilliCores = MilliCores;
  S.m_Index->insert(std::move(Node));
}

void ServerRegistry::recordLease(ServerState &S, TimePoint Now,
                                 Duration Length) {
  auto Longest =
      std::chrono::duration_cast<Duration>(Length / MinServerClockRate);
  S.m_LeasesEnd = std::max(S.m_LeasesEnd, Now + Longest + LeaseMargin);
  S.m_LastGrantAt = std::max(S.m_LastGrantAt, Now);
}

void ServerRegistry::holdLateStarts(ServerState &S, Duration MaxLease) {
  const auto Longest =
      std::chrono::duration_cast<Duration>(MaxLease / MinServerClockRate);
  for (auto &[Id, Run] : S.m_Runs)
    Run.m_MayBeginUntil =
        Run.m_OrderedAt + LateOrderTime + Longest + LeaseMargin;
}

void ServerRegistry::withdrawLosses(ServerState &S) {
  for (auto &[Id, Run] : S.m_Runs)
    Run.m_LostBy.reset();
}

void ServerRegistry::excludeLateStarts(ServerState &S) {
  for (auto &[Id, Run] : S.m_Runs)
    Run.m_MayBeginUntil = {};
}

ActiveRun &ServerRegistry::addRun(ServerState &S, const RunId &Id,
                                  ActiveRun Run) {
  S.m_Used += Run.m_Allocation;
  reindex(S);
  markChanged(S);
  if (Run.m_Account) {
    Run.m_Account->charge(Run.m_Charge);
    Run.m_Account->m_RunsOfUnknownSize += Run.m_HasUnknownSize;
  }
  return S.m_Runs[Id] = std::move(Run);
}

void ServerRegistry::removeRun(ServerState &S, const RunId &Id) {
  auto It = S.m_Runs.find(Id);
  if (It == S.m_Runs.end())
    return;
  S.m_Used -= It->second.m_Allocation;
  reindex(S);
  markChanged(S);
  if (OrganisationAccount *Account = It->second.m_Account) {
    Account->release(It->second.m_Charge);
    Account->m_RunsOfUnknownSize -= It->second.m_HasUnknownSize;
  }
  S.m_Runs.erase(It);
  updateIsolation(S);
}

void ServerRegistry::updateIsolation(ServerState &S) {
  if (S.m_IsolatedFor.m_Text.empty() || S.m_PlannedSuspects > 0 ||
      std::any_of(S.m_Runs.begin(), S.m_Runs.end(),
                  [](const auto &E) { return E.second.m_IsSuspect; }))
    return;
  S.m_IsolatedFor = {};
}

void ServerRegistry::planIsolation(ServerState &S, const JobId &Job) {
  S.m_IsolatedFor = Job;
  ++S.m_PlannedSuspects;
}

void ServerRegistry::cancelPlannedIsolation(ServerState &S) {
  --S.m_PlannedSuspects;
  updateIsolation(S);
}

void ServerRegistry::planStart(ServerState &S, const Resources &Need) {
  S.m_Planned += Need;
  ++S.m_PlannedStarts;
  reindex(S);
}

void ServerRegistry::cancelPlannedStart(ServerState &S, const Resources &Need) {
  S.m_Planned -= Need;
  --S.m_PlannedStarts;
  reindex(S);
  markChanged(S);
}

} // namespace pollenspool
