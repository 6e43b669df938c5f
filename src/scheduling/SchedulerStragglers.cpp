//===- SchedulerStragglers.cpp - Relocation of stalled runs ---------------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include "scheduling/StallDetection.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// How long a server with stalled tasks gets no new runs.
constexpr Duration StalledServerSuspension = std::chrono::seconds(2);
/// Maximum number of restarts of one task in one term because of stalls. A
/// stall on a third server in a row points to the task.
constexpr std::uint32_t MaxRelocations = 2;

} // namespace

void Scheduler::relocateStalledRuns(ServerState &S, TimePoint Now) {
  if (!isStalled(S, Now))
    return;
  if (!S.m_OnProbation)
    logEvent(Event::BackendStandsStill,
             {{"server", S.m_Registration.m_Id.m_Text},
              {"runs", std::to_string(S.m_Runs.size())}});
  S.m_OnProbation = true;
  S.m_SuspendedUntil =
      std::max(S.m_SuspendedUntil, Now + StalledServerSuspension);
  std::vector<RunId> Relocated;
  for (const auto &[Id, Run] : S.m_Runs)
    if (isStalled(Run, Now) && canRelocate(Id, S, Now))
      Relocated.push_back(Id);
  for (const RunId &Id : Relocated) {
    ++m_Counters.m_RelocatedRuns;
    ++m_Jobs.find(Id.m_Task.m_Job)->task(Id.m_Task)->m_Relocations;
    orderStop(S, Id);
  }
}

bool Scheduler::canRelocate(const RunId &Id, const ServerState &From,
                            TimePoint Now) {
  const TaskId &Task = Id.m_Task;
  LiveJob *Job = m_Jobs.find(Task.m_Job);
  TaskState *T = Job ? Job->task(Task) : nullptr;
  // Stopping one member would end the whole gang.
  if (!T || isFinal(Job->m_State) || Job->m_Spec.m_Steps[Task.m_Step].m_Gang ||
      T->m_Relocations >= MaxRelocations)
    return false;
  const ReadyTask Where{Task.m_Occurrence, Task.m_Step, Task.m_Index};
  const StepNeeds Needs = needsOf(*Job, Where);
  const ServersByFreeCores &Servers =
      m_Servers.inPool(From.m_Registration.m_Pool);
  return std::any_of(Servers.lower_bound(Needs.m_Need.m_MilliCores),
                     Servers.end(), [&](const ServerState *S) {
                       return S != &From && !S->m_OnProbation &&
                              !S->isHeldForSuspects(Now) && isUsable(*S, Now) &&
                              canHost(*S, *Job, Where, Needs, {});
                     });
}

} // namespace pollenspool
