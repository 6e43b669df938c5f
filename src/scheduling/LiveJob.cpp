//===- LiveJob.cpp - State of one live job --------------------------------===//

#include "scheduling/JobRegistry.h"
#include <algorithm>

namespace pollenspool {

StepState *LiveJob::step(std::uint32_t Occurrence, std::uint32_t Step) {
  auto It = m_Occurrences.find(Occurrence);
  if (It == m_Occurrences.end() || Step >= It->second.m_Steps.size())
    return nullptr;
  return &It->second.m_Steps[Step];
}

TaskState *LiveJob::task(const TaskId &Id) {
  StepState *S = step(Id.m_Occurrence, Id.m_Step);
  if (!S || Id.m_Index >= S->m_Tasks.size())
    return nullptr;
  return &S->m_Tasks[Id.m_Index];
}

bool LiveJob::hasPlannedStart(const TaskId &Id) const {
  return std::any_of(m_PlannedStarts.begin(), m_PlannedStarts.end(),
                     [&](const PlannedStart &P) {
                       return P.m_Task.m_Occurrence == Id.m_Occurrence &&
                              P.m_Task.m_Step == Id.m_Step &&
                              P.m_Task.m_Index == Id.m_Index;
                     });
}

bool LiveJob::hasRuns() const {
  for (const auto &[Number, O] : m_Occurrences) {
    if (O.m_StepsDone == O.m_Steps.size())
      continue;
    for (const StepState &S : O.m_Steps)
      if (std::any_of(S.m_Tasks.begin(), S.m_Tasks.end(),
                      [](const TaskState &T) { return !T.m_Runs.empty(); }))
        return true;
  }
  return false;
}

std::optional<ReadyTask> LiveJob::firstWaitingTask() const {
  if (!m_Ready.empty())
    return m_Ready.front();
  if (!m_PlannedStarts.empty())
    return m_PlannedStarts.front().m_Task;
  return std::nullopt;
}

void LiveJob::removeFromReady(const TaskId &Id) {
  TaskState *T = task(Id);
  if (!T || !T->m_Ready)
    return;
  T->m_Ready = false;
  m_Ready.erase(std::remove_if(m_Ready.begin(), m_Ready.end(),
                               [&](const ReadyTask &R) {
                                 return R.m_Occurrence == Id.m_Occurrence &&
                                        R.m_Step == Id.m_Step &&
                                        R.m_Index == Id.m_Index;
                               }),
                m_Ready.end());
}

JobDemand LiveJob::computeDemand() const {
  JobDemand D;
  for (const ReadyTask &R : m_Ready)
    D.m_Ready += m_Spec.m_Steps[R.m_Step].allocation();
  for (const auto &[Number, O] : m_Occurrences)
    for (std::size_t N = 0; N < O.m_Steps.size(); ++N) {
      const StepSpec &Step = m_Spec.m_Steps[N];
      if (!O.m_Steps[N].m_Released && !O.m_Steps[N].isDone())
        D.m_Blocked += Step.allocation() * Step.m_Count;
    }
  for (const StepSpec &Step : m_Spec.m_Steps)
    if (Step.m_IsLongRunning && Step.m_MaxPerServer > 0)
      D.m_ServersForSpread = std::max(D.m_ServersForSpread,
                                      (Step.m_Count + Step.m_MaxPerServer - 1) /
                                          Step.m_MaxPerServer);
  return D;
}

const JobDemand &LiveJob::demand(std::uint64_t &Reads) {
  if (m_DemandChanges != m_ReadyChanges || m_DemandReady != m_Ready.size()) {
    m_Demand = computeDemand();
    m_DemandChanges = m_ReadyChanges;
    m_DemandReady = m_Ready.size();
    Reads += m_Ready.size() + m_Occurrences.size() * m_Spec.m_Steps.size();
  }
  return m_Demand;
}

} // namespace pollenspool
