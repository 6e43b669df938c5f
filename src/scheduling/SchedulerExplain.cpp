//===- SchedulerExplain.cpp - Explains why a job waits --------------------===//

#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

std::string Scheduler::pendingReason(const JobId &Id, TimePoint Now) {
  LiveJob *Job = m_Jobs.find(Id);
  if (!Job)
    return "it has ended, or is not known to this leader yet";
  if (Job->m_Ready.empty() && !Job->m_PlannedStarts.empty())
    return "its start is being recorded in the store";
  if (Job->m_Ready.empty())
    return Job->m_Occurrences.empty() ? "its first occurrence is not due yet"
                                      : "it does not wait";
  if (Job->m_AcceptedVersion > m_Authority.m_StartableVersion)
    return "the store has not confirmed that this leader still leads";
  if (mayHaveUnknownRuns(*Job, Job->m_Ready.front(), Now))
    return "an earlier leader may have started it on a server that has not "
           "answered this leader";
  const ReadyTask &First = Job->m_Ready.front();
  const TaskState &T =
      Job->step(First.m_Occurrence, First.m_Step)->m_Tasks[First.m_Index];
  if (Now < T.m_NotBefore)
    return "the delay after its last run is not over";
  if (T.isSuspect())
    return std::to_string(T.m_Crashes->m_Runs.size()) +
           " servers have crashed under it, so it waits for a server without "
           "tasks of other jobs";
  const PoolName Pool = poolOf(*Job);
  if (!hasServerFor(*Job, First))
    return "no server of pool " + Pool.m_Text + " may run it";
  const StepNeeds Needs = needsOf(*Job, First);
  const StepId Step = Job->stepId(First);
  std::size_t Usable = 0, WithCapacity = 0, WithTicket = 0;
  for (const auto &[ServerName, S] : m_Servers.all()) {
    if (S.m_Registration.m_Pool != Pool || !isUsable(S, Now))
      continue;
    ++Usable;
    if (!canHost(S, *Job, First, Needs, {}))
      continue;
    ++WithCapacity;
    WithTicket += m_Advice.ticket(Step, S, Now) != nullptr;
  }
  std::string Servers =
      std::to_string(Usable) + " usable servers of pool " + Pool.m_Text;
  if (WithCapacity == 0)
    return "none of " + Servers + " has room for a task of step " +
           std::to_string(First.m_Step);
  if (advicePolicy(*Job) && WithTicket == 0)
    return "the adviser has allowed none of " + Servers + " yet";
  return "it is about to start";
}

} // namespace pollenspool
