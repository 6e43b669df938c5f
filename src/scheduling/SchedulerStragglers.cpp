//===- SchedulerStragglers.cpp - Runs on servers that stand still ---------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include "scheduling/StallDetection.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// How long a server whose tasks stand still gets nothing new.
constexpr Duration StillPause = std::chrono::seconds(2);
/// New starts of one task in one term because it stood still. The third server
/// in a row points to the task.
constexpr std::uint32_t MaxMoves = 2;

} // namespace

void Scheduler::watchProgress(ServerState &S, TimePoint Now) {
  if (!standsStill(S, Now))
    return;
  if (!S.m_OnProbation)
    logEvent(Event::BackendStandsStill,
             {{"server", S.m_Registration.m_Id.m_Text},
              {"runs", std::to_string(S.m_Runs.size())}});
  S.m_OnProbation = true;
  S.m_SuspendedUntil = std::max(S.m_SuspendedUntil, Now + StillPause);
  std::vector<RunId> Moved;
  for (const auto &[Id, Run] : S.m_Runs)
    if (standsStill(Run, Now) && mayMove(Id, S, Now))
      Moved.push_back(Id);
  for (const RunId &Id : Moved) {
    ++m_Counters.m_Moved;
    ++m_Jobs.find(Id.m_Task.m_Job)->task(Id.m_Task)->m_Moves;
    orderStop(S, Id);
  }
}

bool Scheduler::mayMove(const RunId &Id, const ServerState &From,
                        TimePoint Now) {
  const TaskId &Task = Id.m_Task;
  LiveJob *Job = m_Jobs.find(Task.m_Job);
  TaskState *T = Job ? Job->task(Task) : nullptr;
  // A gang is broken by the stop of one member.
  if (!T || isFinal(Job->m_State) || Job->m_Spec.m_Steps[Task.m_Step].m_Gang ||
      T->m_Moves >= MaxMoves)
    return false;
  const ReadyTask Where{Task.m_Occurrence, Task.m_Step, Task.m_Index};
  Resources Need = chargeOf(Job->m_Spec.m_Steps[Task.m_Step]);
  return std::any_of(
      m_Servers.all().begin(), m_Servers.all().end(), [&](const auto &E) {
        const ServerState &S = E.second;
        return &S != &From &&
               S.m_Registration.m_Pool == From.m_Registration.m_Pool &&
               !S.m_OnProbation && isUsable(S, Now) &&
               canTake(S, *Job, Where, Need, {});
      });
}

} // namespace pollenspool
