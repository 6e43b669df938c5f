//===- SchedulerDemand.cpp - Resource demand of the pools -----------------===//

#include "scheduling/Scheduler.h"
#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace pollenspool {

namespace {

/// Maximum number of jobs that one call searches for tasks that no server may
/// run. It is large enough to find all kinds of waiting tasks and small enough
/// for a thousand waiting jobs.
constexpr std::size_t MaxJobsSearched = 200;
/// A pool that is short of servers for this long cannot be enlarged enough: an
/// instance of another pool moves within 1.5 s.
constexpr Duration GrowthTime = std::chrono::milliseconds(1500);

/// What is free on \p S once all runs have ended that end by themselves.
Resources roomInTime(const ServerState &S) {
  Resources Room = S.m_Registration.m_Capacity;
  for (const auto &[Id, Run] : S.m_Runs)
    if (Run.m_IsLongRunning)
      Room -= Run.m_Allocation;
  return Room;
}

} // namespace

std::map<QueueName, std::uint32_t> Scheduler::waitingJobs() const {
  std::map<QueueName, std::uint32_t> Waiting;
  std::unordered_map<const LiveQueue *, std::uint32_t> ByQueue;
  for (auto &[Id, Job] : const_cast<JobRegistry &>(m_Jobs).all())
    if (!Job->m_HasBegun)
      ++ByQueue[Job->m_Queue];
  for (const auto &[Queue, Count] : ByQueue)
    Waiting[Queue->m_Name] += Count;
  return Waiting;
}

std::map<PoolName, PoolDemand> Scheduler::demand() {
  std::map<PoolName, PoolDemand> Pools;
  // Thousands of servers and jobs belong to few pools, so each pool is looked
  // up by name once.
  std::unordered_map<const void *, PoolDemand *> Known;
  auto Find = [&](const void *Key, const PoolName &Name) -> PoolDemand & {
    PoolDemand *&D = Known[Key];
    if (!D)
      D = &Pools[Name];
    return *D;
  };
  for (auto &[Id, S] : m_Servers.all()) {
    PoolDemand &D = Find(S.m_Index, S.m_Registration.m_Pool);
    // Nothing else starts on a server that is kept for a suspected task.
    if (S.m_IsolatedFor.empty()) {
      D.m_Running += S.m_Used;
      D.m_Running += S.m_Planned;
    } else {
      D.m_Running += S.m_Registration.m_Capacity;
    }
    if (S.m_Registered && !S.m_Registration.m_Draining)
      D.m_Capacity += S.m_Registration.m_Capacity;
  }
  // Tasks beyond the cap of their organisation need no servers.
  std::unordered_map<const OrganisationAccount *, std::int64_t> RoomUnderCaps;
  auto TakeRoom = [&](const OrganisationAccount *Account,
                      const Resources &Needed) {
    if (!Account || !Account->hasCap() || Needed.m_MilliCores <= 0)
      return Needed;
    auto [It, IsNew] = RoomUnderCaps.try_emplace(Account, 0);
    if (IsNew)
      It->second = Account->freeMilliCores();
    std::int64_t Taken = std::min(Needed.m_MilliCores, It->second);
    It->second -= Taken;
    // The tasks that have room need their part of the other resources.
    return Resources{Taken, Needed.m_MemoryMb * Taken / Needed.m_MilliCores,
                     Needed.m_Gpus * Taken / Needed.m_MilliCores};
  };
  // The jobs of a queue of which no rules are known may be in several pools.
  auto PoolOf = [&](const LiveJob &Job) -> PoolDemand & {
    return Job.m_Queue->m_AreRulesKnown ? Find(Job.m_Queue, Job.pool())
                                        : Pools[Job.pool()];
  };
  for (auto &[Id, Job] : m_Jobs.all()) {
    PoolDemand &D = PoolOf(*Job);
    const JobDemand &Needs = Job->demand(m_Counters.m_DemandReads);
    D.m_Ready += TakeRoom(Job->m_Account, Needs.m_Ready);
    D.m_ServersForSpread =
        std::max(D.m_ServersForSpread, Needs.m_ServersForSpread);
  }
  // Tasks that are ready take the room under a cap before later steps.
  for (auto &[Id, Job] : m_Jobs.all()) {
    const Resources &Blocked = Job->demand(m_Counters.m_DemandReads).m_Blocked;
    if (!Blocked.fitsIn({}))
      PoolOf(*Job).m_Blocked += TakeRoom(Job->m_Account, Blocked);
  }
  return Pools;
}

AdmissionShares Scheduler::updateAdmission(TimePoint Now) {
  if (m_Organisations.all().empty())
    return {};
  std::set<PoolName> FullPools;
  for (const auto &[Name, D] : demand()) {
    if (D.m_Running.m_MilliCores + D.m_Ready.m_MilliCores <=
        D.m_Capacity.m_MilliCores)
      m_ShortSince.erase(Name);
    else if (m_ShortSince.try_emplace(Name, Now).first->second + GrowthTime <=
             Now)
      FullPools.insert(Name);
  }
  return m_Shares.update(std::move(FullPools), Now);
}

bool Scheduler::hasServerFor(const LiveJob &Job, const ReadyTask &Task) {
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  const StepId Id = Job.stepId(Task);
  const Resources Need = allocationFor(Step);
  const ServersByFreeCores &Servers = m_Servers.inPool(Job.pool());
  return std::any_of(Servers.begin(), Servers.end(), [&](const ServerState *S) {
    const ServerRegistration &R = S->m_Registration;
    ++m_Counters.m_ServersSearched;
    return S->m_Registered && !R.m_Draining &&
           hasLabel(R.m_Labels, Step.m_RequiredLabel) &&
           Need.fitsIn(R.m_Capacity) && Need.fitsIn(roomInTime(*S)) &&
           !(advicePolicy(Job) && m_Advice.isDenied(Id, R.m_Id));
  });
}

std::vector<UnschedulableTask> Scheduler::unschedulableTasks() {
  std::vector<UnschedulableTask> Needs;
  for (const auto &[Pool, Queue] : m_Queues)
    findUnschedulable(Pool, Queue, Needs);
  return Needs;
}

void Scheduler::findUnschedulable(const PoolName &Pool,
                                  const PlacementQueue &Queue,
                                  std::vector<UnschedulableTask> &Needs) {
  // Whether the pool has a server for the tasks of a label and an allocation
  // that do not depend on advice.
  using Kind =
      std::tuple<std::string_view, std::int64_t, std::int64_t, std::int64_t>;
  std::map<Kind, bool> KnownKinds;
  std::set<std::string_view> LabelsSeen;
  std::size_t Searched = 0;
  for (const PlacementQueue::Entry &Waiting : Queue.entries()) {
    const LiveJob &Job = *Waiting.m_Job;
    if (Job.m_Ready.empty())
      continue;
    if (++Searched > MaxJobsSearched)
      return;
    const ReadyTask &First = Job.m_Ready.front();
    const StepSpec &Step = Job.m_Spec.m_Steps[First.m_Step];
    Resources Need = allocationFor(Step);
    bool HasServer = false;
    if (advicePolicy(Job)) {
      HasServer = hasServerFor(Job, First);
    } else {
      auto [It, IsNew] =
          KnownKinds.try_emplace({Step.m_RequiredLabel, Need.m_MilliCores,
                                  Need.m_MemoryMb, Need.m_Gpus});
      if (IsNew)
        It->second = hasServerFor(Job, First);
      HasServer = It->second;
    }
    if (!HasServer && LabelsSeen.insert(Step.m_RequiredLabel).second)
      Needs.push_back({Pool, Step.m_RequiredLabel, Need});
  }
}

} // namespace pollenspool
