//===- SchedulerCaps.cpp - Caps of organisations --------------------------===//

#include "scheduling/Scheduler.h"

namespace pollenspool {

namespace {

/// How long reservations are used before they are computed again. They only
/// shrink during a term, so old ones are too large at worst.
constexpr Duration ReservationLifetime = std::chrono::milliseconds(50);

Resources times(const Resources &R, std::uint32_t Count) {
  return {R.m_MilliCores * Count, R.m_MemoryMb * Count, R.m_Gpus * Count};
}

} // namespace

bool Scheduler::hasRoomUnderCap(const LiveJob &Job, const StepSpec &Step,
                                std::uint32_t Tasks, TimePoint Now) {
  return OrganisationLedger::mayCharge(
      Job.m_Account, Job, times(Step.m_RequiredResources, Tasks), Now);
}

bool Scheduler::isWithoutRoomUnderCap(const LiveJob &Job, const StepSpec &Step,
                                      TimePoint Now) {
  const std::uint32_t Tasks = Step.m_Gang ? Step.m_Count : 1;
  return OrganisationLedger::isWithoutRoom(
      Job.m_Account, Job, times(Step.m_RequiredResources, Tasks), Now);
}

void Scheduler::reserveUnknownRuns(TimePoint Now) {
  if (!m_Organisations.hasCaps() ||
      (m_ReservedAt && Now < *m_ReservedAt + ReservationLifetime))
    return;
  if (areEarlierRunsOver(Now)) {
    if (m_ReservedAt)
      m_Organisations.clearReservations();
    m_ReservedAt.reset();
    return;
  }
  m_ReservedAt = Now;
  m_Organisations.clearReservations();
  for (auto &[Id, Job] : m_Jobs.all())
    if (Job->m_Account && Job->m_Account->hasCap())
      for (const auto &[Number, O] : Job->m_Occurrences)
        for (std::uint32_t N = 0; N < O.m_Steps.size(); ++N)
          reserveUnknownRuns(*Job, O, N, Now);
}

void Scheduler::reserveUnknownRuns(const LiveJob &Job, const Occurrence &O,
                                   std::uint32_t Step, TimePoint Now) {
  const StepState &State = O.m_Steps[Step];
  if (State.isDone() || !mayHaveUnknownRuns(Job, {O.m_Number, Step, 0}, Now))
    return;
  std::uint32_t Unknown = 0;
  for (const TaskState &T : State.m_Tasks)
    Unknown += !T.m_Done && T.m_Runs.empty();
  Job.m_Account->m_Reserved +=
      times(Job.m_Spec.m_Steps[Step].m_RequiredResources, Unknown);
}

} // namespace pollenspool
