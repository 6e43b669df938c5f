//===- SchedulerStartRecords.cpp - Starts recorded in the store -----------===//

#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// How long resources are kept free for a task whose start is being recorded.
/// Records take longer only while the store is slow or unavailable.
constexpr Duration MaxPlannedTime = std::chrono::milliseconds(300);
/// The same for a suspected task, which must not start without its record.
constexpr Duration MaxIsolatedPlannedTime = std::chrono::seconds(2);
/// Unreachable servers that the next leader is told of.
constexpr std::size_t MaxIdleServers = 200;

/// Whether \p Holds for all planned tasks of the gang of \p P, or for the one
/// task.
template <typename F>
bool holdsForGang(const LiveJob &Job, const PlannedStart &P, F Holds) {
  if (!Job.m_Spec.m_Steps[P.m_Task.m_Step].m_Gang)
    return Holds(P);
  return std::all_of(Job.m_PlannedStarts.begin(), Job.m_PlannedStarts.end(),
                     [&](const PlannedStart &Each) {
                       return !P.m_Task.isInSameStepAs(Each.m_Task) ||
                              Holds(Each);
                     });
}

} // namespace

void Scheduler::findUnacknowledgedPools() {
  m_UnacknowledgedPoolsChanged = false;
  m_UnacknowledgedPools.clear();
  m_ServersHoldEnds = false;
  auto Count = [this](const PoolName &Pool, const ServerId &Server) {
    UnacknowledgedServers &U = m_UnacknowledgedPools[Pool];
    if (++U.m_Count == 1)
      U.m_First = Server;
    const ServerState *S = m_Servers.find(Server);
    U.m_HoldsEnds |= S && S->m_HasAcknowledgedTerm && !S->m_HasListedAllRuns;
    m_ServersHoldEnds |= U.m_HoldsEnds;
  };
  // A later leader may have recorded the ends of all runs of the incarnation
  // before.
  auto HasAnswered = [this](const ServerState &S) {
    return S.m_HasListedAllRuns &&
           (S.m_Incarnation == 0 ||
            m_Authority.isUncontestedSince(S.m_AcknowledgedAt));
  };
  for (const auto &[Id, S] : m_Servers.all())
    // The same before it moved the server.
    if (!HasAnswered(S) &&
        !(S.m_IsListedAsGone &&
          m_Authority.isUncontestedSince(S.m_GoneSince)) &&
        !m_ServersWithoutEarlierRuns.count(Id))
      Count(S.m_Registration.m_Pool, Id);
  for (const InstanceListing &L : m_Instances) {
    if (L.m_Condition != InstanceCondition::Up || L.m_Server.empty())
      continue;
    const ServerState *S = m_Servers.find(L.m_Server);
    if ((S && HasAnswered(*S)) || m_ServersWithoutEarlierRuns.count(L.m_Server))
      continue;
    bool IsCounted =
        S && !S->m_IsListedAsGone && S->m_Registration.m_Pool == L.m_Pool;
    if (!IsCounted)
      Count(L.m_Pool, L.m_Server);
  }
}

void Scheduler::setServersWithoutEarlierRuns(std::set<ServerId> Servers) {
  m_ServersWithoutEarlierRuns = std::move(Servers);
  m_UnacknowledgedPoolsChanged = true;
}

std::set<ServerId>
Scheduler::unreachableServersWithoutRuns(TimePoint Now) const {
  std::set<ServerId> Idle;
  // An answer in this term is not enough: a server that has restarted since
  // then takes orders of earlier leaders again.
  auto Add = [&](const ServerId &Id) {
    if (Idle.size() < MaxIdleServers &&
        (Now >= m_UnknownRunsUntil || m_ServersWithoutEarlierRuns.count(Id)))
      Idle.insert(Id);
  };
  for (const auto &[Id, S] : m_Servers.all())
    if (S.isUnreachableForLong() && S.isIdle() && Now >= S.m_LeasesEnd)
      Add(Id);
  for (const ServerId &Id : m_ForgottenServers)
    Add(Id);
  // Servers that have not registered in this term may still be listed.
  for (const ServerId &Id : m_ServersWithoutEarlierRuns)
    if (!m_Servers.find(Id))
      Add(Id);
  return Idle;
}

void Scheduler::holdServers(std::set<ServerId> Servers) {
  m_HeldServers = std::move(Servers);
  for (auto &[Id, S] : m_Servers.all())
    S.m_IsHeld = m_HeldServers.count(Id) != 0;
}

bool Scheduler::areEarlierRunsOver(TimePoint Now) const {
  return Now >= m_UnknownRunsUntil && m_Authority.m_IsTermConfirmed &&
         !m_ServersHoldEnds;
}

bool Scheduler::mayHaveUnknownRuns(const LiveJob &Job, const ReadyTask &Task,
                                   TimePoint Now) const {
  // That the runs are over does not tell what became of them: a later leader
  // may have recorded their ends.
  if (m_Options.m_Term == 1 || areEarlierRunsOver(Now) ||
      Job.m_AcceptedVersion > m_Options.m_TermVersion)
    return false;
  if (Job.m_AcceptedVersion > m_StartsRecordedSince &&
      !Job.m_Occurrences.at(Task.m_Occurrence)
           .m_Steps[Task.m_Step]
           .m_MayHaveEarlierRuns)
    return false;
  // The leases of earlier leaders have expired by then, but not those of
  // servers that this leader polls.
  const bool OnlyHeldEnds =
      Now >= m_UnknownRunsUntil && m_Authority.m_IsTermConfirmed;
  return Job.anyPoolOfEarlierRuns([&](const PoolName &Pool) {
    auto It = m_UnacknowledgedPools.find(Pool);
    const bool IsListed = It != m_UnacknowledgedPools.end();
    return OnlyHeldEnds ? IsListed && It->second.m_HoldsEnds
                        : !m_InstancesKnown || IsListed;
  });
}

bool Scheduler::mayAllHaveUnknownRuns(const LiveJob &Job, TimePoint Now) const {
  if (areEarlierRunsOver(Now))
    return false;
  const ReadyTask *Last = nullptr;
  for (const ReadyTask &R : Job.m_Ready) {
    bool IsSameStep = Last && Last->m_Step == R.m_Step &&
                      Last->m_Occurrence == R.m_Occurrence;
    if (!IsSameStep && !mayHaveUnknownRuns(Job, R, Now))
      return false;
    Last = &R;
  }
  return true;
}

bool Scheduler::isStartRecorded(LiveJob &Job, const ReadyTask &Task) const {
  const StepState &Step = *Job.step(Task.m_Occurrence, Task.m_Step);
  const CrashHistory *H = Step.m_Tasks[Task.m_Index].m_Crashes.get();
  return (!m_RecordsStarts || Step.m_StartRecorded) &&
         Job.isPoolRecorded(Job.pool()) &&
         (!H || Job.m_RecordedChangeNumber >= H->m_RunsChange);
}

void Scheduler::planStart(LiveJob &Job, const ReadyTask &Task,
                          const Resources &Need, ServerState &S,
                          std::uint32_t RunNumber, TimePoint Now) {
  m_Jobs.requestStart(Job, Task.m_Occurrence, Task.m_Step);
  m_Jobs.requestPool(Job, S.m_Registration.m_Pool);
  if (!Job.m_FirstPlannedAt)
    Job.m_FirstPlannedAt = Now;
  if (Job.m_PlannedStarts.empty())
    m_JobsWithPlannedStarts.push_back(&Job);
  const Resources &Charge = Job.m_Spec.m_Steps[Task.m_Step].m_RequiredResources;
  if (Job.m_Account)
    Job.m_Account->charge(Charge);
  Job.m_PlannedStarts.push_back({Task, &S, Need, Charge, Now});
  ServerRegistry::planStart(S, Need);
  TaskState &T =
      Job.step(Task.m_Occurrence, Task.m_Step)->m_Tasks[Task.m_Index];
  if (T.isSuspect())
    planSuspectStart(Job, T, S, RunNumber);
}

void Scheduler::cancelPlannedStart(const LiveJob &Job, const PlannedStart &P) {
  if (Job.m_Account)
    Job.m_Account->release(P.m_Charge);
  ServerRegistry::cancelPlannedStart(*P.m_Server, P.m_Need);
  if (P.m_IsIsolated)
    ServerRegistry::cancelPlannedIsolation(*P.m_Server);
}

void Scheduler::startPlanned(TimePoint Now) {
  for (LiveJob *Job : std::exchange(m_JobsWithPlannedStarts, {})) {
    startPlanned(*Job, Now);
    if (!Job->m_PlannedStarts.empty())
      m_JobsWithPlannedStarts.push_back(Job);
  }
}

bool Scheduler::areServersUsable(const LiveJob &Job, const PlannedStart &P,
                                 TimePoint Now) const {
  return holdsForGang(Job, P, [&](const PlannedStart &Each) {
    return isUsable(*Each.m_Server, Now);
  });
}

bool Scheduler::isStartRecorded(LiveJob &Job, const ReadyTask &Task,
                                const ServerState &S) const {
  const TaskState &T =
      Job.step(Task.m_Occurrence, Task.m_Step)->m_Tasks[Task.m_Index];
  return isStartRecorded(Job, Task) &&
         (!T.isSuspect() || isSuspectStartRecorded(Job, T, S));
}

bool Scheduler::areStartsRecorded(LiveJob &Job, const PlannedStart &P) const {
  return holdsForGang(Job, P, [&](const PlannedStart &Each) {
    return isStartRecorded(Job, Each.m_Task, *Each.m_Server);
  });
}

bool Scheduler::isResolved(LiveJob &Job, const PlannedStart &P,
                           TimePoint Now) const {
  auto IsOverdue = [&](const PlannedStart &Each) {
    return Now >= Each.m_PlannedAt + (Each.m_IsIsolated ? MaxIsolatedPlannedTime
                                                        : MaxPlannedTime);
  };
  return isFinal(Job.m_State) || holdsForGang(Job, P, IsOverdue) ||
         (isStartable(Job) && areStartsRecorded(Job, P)) ||
         !areServersUsable(Job, P, Now);
}

void Scheduler::startPlanned(LiveJob &Job, TimePoint Now) {
  std::vector<PlannedStart> Kept, Resolved;
  for (const PlannedStart &P : Job.m_PlannedStarts)
    (isResolved(Job, P, Now) ? Resolved : Kept).push_back(P);
  if (Resolved.empty())
    return;
  Job.m_PlannedStarts = std::move(Kept);
  for (const PlannedStart &P : Resolved) {
    cancelPlannedStart(Job, P);
    Job.m_PlansDropped += !isStartRecorded(Job, P.m_Task, *P.m_Server);
  }
  for (const PlannedStart &P : Resolved)
    startOrRequeue(Job, P, Now);
}

void Scheduler::startOrRequeue(LiveJob &Job, const PlannedStart &P,
                               TimePoint Now) {
  const ReadyTask &R = P.m_Task;
  const TaskState &T = Job.step(R.m_Occurrence, R.m_Step)->m_Tasks[R.m_Index];
  // The task may have got a run or an end in the meantime.
  if (!T.m_Ready || isFinal(Job.m_State))
    return;
  const StepNeeds Needs = needsOf(Job, R);
  const ServerState &Server = *P.m_Server;
  bool IsIsolationKept =
      Server.m_IsolatedFor.empty()
          ? !T.isSuspect() || Server.isIdle()
          : T.isSuspect() && Server.m_IsolatedFor == Job.m_Spec.m_Id;
  // A gang is placed as a whole, and the best server of a long-running or
  // best-effort task depends on what runs there by now.
  if (!Needs.m_Step->m_Gang && prefersLeastFree(*Needs.m_Step) &&
      isStartable(Job) && isStartRecorded(Job, R, Server) && IsIsolationKept &&
      P.m_Server->m_Registration.m_Pool == Job.pool() &&
      T.mayStart(Now, m_Authority) && isUsable(*P.m_Server, Now) &&
      !mayHaveUnknownRuns(Job, R, Now) &&
      hasRoomUnderCap(Job, *Needs.m_Step, 1, Now) &&
      canHost(*P.m_Server, Job, R, Needs, {}) &&
      (!Needs.m_NeedsTicket ||
       m_Advice.ticket(Job.stepId(R), *P.m_Server, Now)))
    return start(Job, R, *P.m_Server, nextRunNumber(T), Now);
  Job.m_Ready.push_back(R);
  m_Jobs.markNewlyReady(Job);
}

void Scheduler::cancelPlannedStarts(LiveJob &Job) {
  if (Job.m_PlannedStarts.empty())
    return;
  for (const PlannedStart &P : Job.m_PlannedStarts)
    cancelPlannedStart(Job, P);
  Job.m_PlannedStarts.clear();
  m_JobsWithPlannedStarts.erase(std::find(m_JobsWithPlannedStarts.begin(),
                                          m_JobsWithPlannedStarts.end(), &Job));
}

} // namespace pollenspool
