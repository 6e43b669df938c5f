//===- SchedulerLostRuns.cpp - Runs that are over without an end ----------===//
//
// What is known of a server may show that its runs are over. It does not show
// that of a start without an answer, which a server that has restarted under
// its ID may carry out late. Such a start is over when the server has answered
// a stop of it (reconcileRuns()), when no server has the ID any more, or
// LateOrderTime after it was ordered.
//
//===----------------------------------------------------------------------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include <algorithm>
#include <utility>

namespace pollenspool {

void Scheduler::rescheduleRun(ServerState &S, const RunId &Id, RunLoss Loss,
                              TimePoint Now) {
  LossVerdict Verdict = LossVerdict::Lost;
  if (auto It = S.m_Runs.find(Id); It != S.m_Runs.end()) {
    Verdict = verdictOn(It->second.m_StartEvidence, Loss, S.contactLoss());
    if (Loss == RunLoss::LeaseExpired)
      S.m_LapsedRuns[Id] = It->second;
  }
  ServerRegistry::removeRun(S, Id);
  LiveJob *Job = m_Jobs.find(Id.m_Task.m_Job);
  TaskState *T = Job ? Job->task(Id.m_Task) : nullptr;
  if (!T)
    return;
  T->eraseRun(S.m_Registration.m_Id, Id.m_Number);
  Job->m_IdleSince = Now;
  // A server that still has the end may show it to a later leader at any time.
  if (Loss == RunLoss::LeaseExpired)
    T->m_LostAt = TimePoint::max();
  else if (Loss != RunLoss::NotListed && Loss != RunLoss::NotStarted)
    T->m_LostAt = Now;
  if (Verdict != LossVerdict::Crashed)
    endSuspectStart(*Job, Id.m_Task);
  logEvent(Event::TaskAgain, {{"run", runName(Id)},
                              {"server", S.m_Registration.m_Id.m_Text},
                              {"end", std::string(runLossName(Loss))}});
  if (!isFinal(Job->m_State))
    m_Jobs.requeue(*Job, Id.m_Task, Now);
}

void Scheduler::rescheduleAllRuns(ServerState &S, RunLoss Loss,
                                  const char *Evidence, TimePoint Now) {
  if (Loss == RunLoss::ServerCrashed)
    countCrash(S, S.m_Runs, Evidence, Now);
  else if (Loss != RunLoss::LeaseExpired)
    S.m_LapsedRuns.clear();
  bool IsNew = false;
  for (auto &[Id, Run] : S.m_Runs) {
    // A server that has ended has no runs that began before.
    if (Loss != RunLoss::LeaseExpired)
      Run.m_MayBeginUntil =
          std::min(Run.m_MayBeginUntil, Run.m_OrderedAt + LateOrderTime);
    IsNew |= !std::exchange(Run.m_LostBy, Loss);
  }
  ServerRegistry::markChanged(S);
  const std::size_t Over = S.lostRuns(Now).size();
  if (IsNew)
    logEvent(Event::RunsLost,
             {{"server", S.m_Registration.m_Id.m_Text},
              {"runs", std::to_string(S.m_Runs.size())},
              {"kept", std::to_string(S.m_Runs.size() - Over)},
              {"why", std::string(runLossName(Loss))},
              {"evidence", Evidence},
              {"term", std::to_string(m_Options.m_Term)},
              {"confirmed", m_Authority.m_IsTermConfirmed ? "yes" : "no"}});
  rescheduleLostRuns(S, Now);
}

void Scheduler::rescheduleLostRuns(ServerState &S, TimePoint Now) {
  for (const RunId &Id : S.lostRuns(Now))
    rescheduleRun(S, Id, *S.m_Runs.at(Id).m_LostBy, Now);
}

} // namespace pollenspool
