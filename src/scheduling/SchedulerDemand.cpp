//===- SchedulerDemand.cpp - Resource demand of the pools -----------------===//

#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Maximum number of jobs that one call searches for tasks that no server may
/// run. It is large enough to find all kinds of waiting tasks and small enough
/// for a thousand waiting jobs.
constexpr std::size_t MaxJobsSearched = 200;

} // namespace

const PoolName &Scheduler::poolOf(const LiveJob &Job) {
  return Job.m_Policy ? Job.m_Policy->m_Pool : Job.m_Spec.m_Pool;
}

std::map<QueueName, std::uint32_t> Scheduler::waitingJobs() const {
  std::map<QueueName, std::uint32_t> Waiting;
  for (auto &[Id, Job] : const_cast<JobRegistry &>(m_Jobs).all())
    if (!Job->m_HasBegun)
      ++Waiting[Job->m_Spec.m_Queue];
  return Waiting;
}

std::map<PoolName, PoolDemand> Scheduler::demand() {
  std::map<PoolName, PoolDemand> Pools;
  for (auto &[Id, S] : m_Servers.all()) {
    PoolDemand &D = Pools[S.m_Registration.m_Pool];
    D.m_RunningMilliCores += S.m_Used.m_MilliCores + S.m_Planned.m_MilliCores;
    if (S.m_Registered && !S.m_Registration.m_Draining)
      D.m_CapacityMilliCores += S.m_Registration.m_Capacity.m_MilliCores;
  }
  for (auto &[Id, Job] : m_Jobs.all()) {
    PoolDemand &D = Pools[poolOf(*Job)];
    for (const ReadyTask &R : Job->m_Ready) {
      const StepSpec &Step = Job->m_Spec.m_Steps[R.m_Step];
      D.m_ReadyMilliCores +=
          Step.m_IsBestEffort ? 0 : Step.m_RequiredResources.m_MilliCores;
    }
    for (const auto &[Number, O] : Job->m_Occurrences)
      for (std::size_t N = 0; N < O.m_Steps.size(); ++N)
        if (!O.m_Steps[N].m_Released && !Job->m_Spec.m_Steps[N].m_IsBestEffort)
          D.m_BlockedMilliCores +=
              Job->m_Spec.m_Steps[N].m_Count *
              Job->m_Spec.m_Steps[N].m_RequiredResources.m_MilliCores;
  }
  return Pools;
}

bool Scheduler::hasServerFor(const LiveJob &Job, const ReadyTask &Task) const {
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  const StepId Id = Job.stepId(Task);
  PoolName Pool = poolOf(Job);
  return std::any_of(
      m_Servers.all().begin(), m_Servers.all().end(), [&](const auto &E) {
        const ServerRegistration &R = E.second.m_Registration;
        return R.m_Pool == Pool && E.second.m_Registered && !R.m_Draining &&
               hasLabel(R.m_Labels, Step.m_RequiredLabel) &&
               allocationFor(Step).fitsIn(R.m_Capacity) &&
               !(advicePolicy(Job) && m_Advice.isDenied(Id, R.m_Id));
      });
}

std::vector<UnschedulableTask> Scheduler::unschedulableTasks() {
  std::vector<UnschedulableTask> Needs;
  std::set<std::pair<PoolName, std::string>> Seen;
  std::size_t Searched = 0;
  for (const auto &[Pool, Queue] : m_Queues)
    for (const PlacementQueue::Entry &Waiting : Queue.entries()) {
      const LiveJob &Job = *Waiting.m_Job;
      if (Job.m_Ready.empty())
        continue;
      if (++Searched > MaxJobsSearched)
        break;
      const ReadyTask &First = Job.m_Ready.front();
      const StepSpec &Step = Job.m_Spec.m_Steps[First.m_Step];
      if (!hasServerFor(Job, First) &&
          Seen.insert({Pool, Step.m_RequiredLabel}).second)
        Needs.push_back({Pool, Step.m_RequiredLabel, allocationFor(Step)});
    }
  return Needs;
}

} // namespace pollenspool
