//===- SchedulerSelection.cpp - Selection of servers for tasks ------------===//

#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Weight of a long-running run in thousandths of a core when servers are
/// compared; larger than the capacity of any server.
constexpr std::int64_t LongRunningBonus = 1000000;
/// A score is below this value if only the free cores count against the server.
constexpr std::tuple<int, int, int, std::uint32_t, std::int64_t>
    OnlyFreeCoresCount{0, 0, 0, 1, INT64_MIN};

} // namespace

bool Scheduler::isUsable(const ServerState &S, TimePoint Now) const {
  bool Present = S.m_Registered || Now < S.m_UnregisteredAt + RegistrationGrace;
  return Present && !S.m_Registration.m_Draining && S.m_HasAcknowledgedTerm &&
         S.m_ClockKnown && S.m_Reachable && !S.m_Reserved && !S.m_IsHeld &&
         Now >= S.m_SuspendedUntil &&
         m_Authority.isUncontestedSince(S.m_AcknowledgedAt);
}

Resources Scheduler::allocationFor(const StepSpec &Step) {
  return Step.allocation();
}

Scheduler::StepNeeds Scheduler::needsOf(const LiveJob &Job,
                                        const ReadyTask &Task) const {
  StepNeeds Needs;
  Needs.m_Step = &Job.m_Spec.m_Steps[Task.m_Step];
  Needs.m_Need = allocationFor(*Needs.m_Step);
  Needs.m_NeedsTicket = advicePolicy(Job) != nullptr;
  if (!Needs.m_Step->m_SameRack)
    return Needs;
  for (const TaskState &T :
       Job.m_Occurrences.at(Task.m_Occurrence).m_Steps[Task.m_Step].m_Tasks)
    for (const RunLocation &P : T.m_Runs)
      if (const ServerState *S = m_Servers.find(P.m_Server))
        Needs.m_RacksInUse.insert(S->m_Registration.m_Rack);
  for (const PlannedStart &P : Job.m_PlannedStarts)
    if (P.m_Task.isInSameStepAs(Task))
      Needs.m_RacksInUse.insert(P.m_Server->m_Registration.m_Rack);
  return Needs;
}

std::uint32_t Scheduler::runsOfStepOn(const LiveJob &Job, const ReadyTask &Task,
                                      const ServerId &Server) const {
  std::uint32_t Count = 0;
  for (const TaskState &T :
       Job.m_Occurrences.at(Task.m_Occurrence).m_Steps[Task.m_Step].m_Tasks)
    for (const RunLocation &P : T.m_Runs)
      Count += P.m_Server == Server;
  for (const PlannedStart &P : Job.m_PlannedStarts)
    Count += P.m_Task.isInSameStepAs(Task) &&
             P.m_Server->m_Registration.m_Id == Server;
  return Count;
}

bool Scheduler::canHost(const ServerState &S, const LiveJob &Job,
                        const ReadyTask &Task, const StepNeeds &Needs,
                        const GangServers &GangPlan) const {
  if (!Needs.m_Need.fitsIn(S.freeResources()))
    return false;
  const StepSpec &Step = *Needs.m_Step;
  if (S.m_OnProbation && !Step.m_IsLongRunning &&
      (S.m_PlannedStarts > 0 || S.hasFiniteRuns()))
    return false;
  if (!hasLabel(S.m_Registration.m_Labels, Step.m_RequiredLabel))
    return false;
  if (Step.m_MaxPerServer == 0)
    return true;
  auto Planned = std::count(GangPlan.begin(), GangPlan.end(), &S);
  return runsOfStepOn(Job, Task, S.m_Registration.m_Id) + Planned <
         Step.m_MaxPerServer;
}

bool Scheduler::isOutsidePreferredRack(const ServerState &S,
                                       const StepNeeds &Needs) {
  const RackName &Rack = S.m_Registration.m_Rack;
  const std::string &DataRack = Needs.m_Step->m_DataRack;
  if (!DataRack.empty() && Rack.m_Text != DataRack)
    return true;
  return !Needs.m_RacksInUse.empty() && !Needs.m_RacksInUse.count(Rack);
}

std::int64_t Scheduler::packingScore(const ServerState &S,
                                     const StepSpec &Step) {
  // Tasks are packed, long-running tasks preferably beside other long-running
  // tasks, so that other servers stay empty for large tasks and for moves.
  // Best-effort tasks use the cores that are left over and go to the server
  // with the most of them.
  std::int64_t Free = S.freeResources().m_MilliCores;
  if (!Step.m_IsBestEffort && !Step.m_IsLongRunning)
    return Free;
  for (const auto &[Id, Run] : S.m_Runs) {
    if (Step.m_IsBestEffort && Run.m_IsBestEffort)
      Free -= Step.m_RequiredResources.m_MilliCores;
    else if (Run.m_IsLongRunning && !Step.m_IsBestEffort)
      Free -= LongRunningBonus;
  }
  return Step.m_IsBestEffort ? -Free : Free;
}

Scheduler::PlacementScore Scheduler::score(const ServerState &S,
                                           const LiveJob &Job,
                                           const ReadyTask &Task,
                                           const StepNeeds &Needs) const {
  const StepSpec &Step = *Needs.m_Step;
  // An order that affects a single server should not interrupt more tasks of a
  // step than may be unavailable at once.
  bool ExceedsMaxUnavailable =
      Step.m_IsLongRunning && Step.m_MaxUnavailable > 0 &&
      runsOfStepOn(Job, Task, S.m_Registration.m_Id) >= Step.m_MaxUnavailable;
  return {ExceedsMaxUnavailable, S.m_OnProbation,
          isOutsidePreferredRack(S, Needs), S.m_FailuresInRow,
          packingScore(S, Step)};
}

bool Scheduler::isKnownToFail(const StepSpec &Step, const Resources &Need,
                              const PoolPass &Pass) {
  return !Step.m_IsLongRunning &&
         std::any_of(Pass.m_Failures.begin(), Pass.m_Failures.end(),
                     [&](const PoolPass::Failure &F) {
                       return (F.m_Label->empty() ||
                               *F.m_Label == Step.m_RequiredLabel) &&
                              F.m_Need.fitsIn(Need);
                     });
}

ServerState *Scheduler::selectServer(const LiveJob &Job, const ReadyTask &Task,
                                     const StepNeeds &Needs,
                                     const GangServers &GangPlan,
                                     PoolPass &Pass) {
  const StepSpec &Step = *Needs.m_Step;
  if (isKnownToFail(Step, Needs.m_Need, Pass))
    return nullptr;
  const StepId Id = Needs.m_NeedsTicket ? Job.stepId(Task) : StepId();
  const bool StopsAtIdeal = prefersLeastFree(Step);
  ServerState *Best = nullptr;
  PlacementScore BestScore;
  for (auto It = Pass.m_Servers.lower_bound(Needs.m_Need.m_MilliCores);
       It != Pass.m_Servers.end(); ++It) {
    ServerState *S = *It;
    ++m_Counters.m_ServersExamined;
    if (S->isHeldForSuspects(Pass.m_Now) || !isUsable(*S, Pass.m_Now) ||
        !canHost(*S, Job, Task, Needs, GangPlan) ||
        (Needs.m_NeedsTicket && !m_Advice.ticket(Id, *S, Pass.m_Now)))
      continue;
    PlacementScore Score = score(*S, Job, Task, Needs);
    if (!Best || Score < BestScore) {
      Best = S;
      BestScore = Score;
    }
    // The servers that follow have at least as many cores free.
    if (StopsAtIdeal && BestScore < OnlyFreeCoresCount)
      break;
  }
  if (!Best && StopsAtIdeal && !Needs.m_NeedsTicket && GangPlan.empty() &&
      Step.m_MaxPerServer == 0)
    Pass.m_Failures.push_back({&Step.m_RequiredLabel, Needs.m_Need});
  return Best;
}

} // namespace pollenspool
