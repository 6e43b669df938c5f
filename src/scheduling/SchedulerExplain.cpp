//===- SchedulerExplain.cpp - Explains why a job waits --------------------===//

#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

std::string milliseconds(Duration D) {
  return std::to_string(D / std::chrono::milliseconds(1)) + " ms";
}

std::string describe(const Resources &R) {
  return std::to_string(R.m_MilliCores) + " millicores, " +
         std::to_string(R.m_MemoryMb) + " MB, " + std::to_string(R.m_Gpus) +
         " GPUs";
}

/// Whether the text of \p R names the room on the servers of the pool.
bool isLackOfRoom(WaitReason R) {
  return R >= WaitReason::NoCores && R <= WaitReason::ServerLimit;
}

/// Whether all unfinished tasks of \p Step, a gang, are ready at \p Now.
bool isGangReady(const StepState &Step, TimePoint Now) {
  return std::all_of(Step.m_Tasks.begin(), Step.m_Tasks.end(),
                     [&](const TaskState &T) {
                       return T.m_Done || (T.m_Ready && Now >= T.m_NotBefore);
                     });
}

} // namespace

WaitReason Scheduler::reasonBeforePlacement(const LiveJob &Job,
                                            const ReadyTask &Task,
                                            TimePoint Now) const {
  const StepState &Step =
      Job.m_Occurrences.at(Task.m_Occurrence).m_Steps[Task.m_Step];
  const TaskState &T = Step.m_Tasks[Task.m_Index];
  const StepSpec &Spec = Job.m_Spec.m_Steps[Task.m_Step];
  if (!isStartable(Job))
    return m_Authority.m_IsTermConfirmed ? WaitReason::JobViewUnconfirmed
                                         : WaitReason::TermUnconfirmed;
  if (Job.m_Ready.empty())
    return Job.m_PlansDropped > 0 ? WaitReason::StartPlannedAgain
                                  : WaitReason::StartBeingRecorded;
  if (mayHaveUnknownRuns(Job, Task, Now))
    return WaitReason::EarlierLeaderRuns;
  if (!m_Authority.isUncontestedSince(T.m_LostAt))
    return WaitReason::TermUnconfirmed;
  if (Now < T.m_NotBefore)
    return WaitReason::PauseAfterRun;
  if (T.isSuspect())
    return WaitReason::Isolation;
  if (Spec.m_Gang && !isGangReady(Step, Now))
    return WaitReason::GangIncomplete;
  if (isWithoutRoomUnderCap(Job, Spec, Now))
    return WaitReason::OrganisationCap;
  return WaitReason::None;
}

WaitReason Scheduler::obstacleOn(const ServerState &S, const LiveJob &Job,
                                 const ReadyTask &Task, const StepNeeds &Needs,
                                 TimePoint Now) const {
  const Resources Free = S.freeResources();
  if (Needs.m_Need.m_MemoryMb > Free.m_MemoryMb)
    return WaitReason::NoMemory;
  if (Needs.m_Need.m_Gpus > Free.m_Gpus)
    return WaitReason::NoGpu;
  if (!hasLabel(S.m_Registration.m_Labels, Needs.m_Step->m_RequiredLabel))
    return WaitReason::NoLabel;
  if (S.isHeldForSuspects(Now))
    return WaitReason::HeldForSuspects;
  if (!canHost(S, Job, Task, Needs, {}))
    return WaitReason::ServerLimit;
  if (Needs.m_NeedsTicket && !m_Advice.ticket(Job.stepId(Task), S, Now))
    return WaitReason::NoTicket;
  return Needs.m_Step->m_Gang ? WaitReason::GangIncomplete
                              : WaitReason::AboutToStart;
}

WaitReason Scheduler::placementObstacle(const LiveJob &Job,
                                        const ReadyTask &Task, TimePoint Now) {
  if (!hasServerFor(Job, Task))
    return WaitReason::NoSuitableServer;
  const ServersByFreeCores &Servers = m_Servers.inPool(Job.pool());
  if (std::none_of(Servers.rbegin(), Servers.rend(),
                   [&](const ServerState *S) { return isUsable(*S, Now); }))
    return WaitReason::NoUsableServer;
  const StepNeeds Needs = needsOf(Job, Task);
  WaitReason Furthest = WaitReason::NoCores;
  for (auto It = Servers.lower_bound(Needs.m_Need.m_MilliCores);
       It != Servers.end() && Furthest < WaitReason::GangIncomplete; ++It) {
    ++m_Counters.m_ServersSearched;
    if (isUsable(**It, Now))
      Furthest = std::max(Furthest, obstacleOn(**It, Job, Task, Needs, Now));
  }
  return Furthest;
}

WaitReason Scheduler::waitReason(const LiveJob &Job, TimePoint Now) {
  if (isFinal(Job.m_State))
    return WaitReason::EndBeingRecorded;
  const std::optional<ReadyTask> First = Job.firstWaitingTask();
  if (!First && Job.areReleasedTasksDone())
    return WaitReason::NotDue;
  if (!First)
    return Job.hasRuns() ? WaitReason::None : WaitReason::NoTaskReady;
  WaitReason Reason = reasonBeforePlacement(Job, *First, Now);
  if (Reason == WaitReason::None)
    Reason = placementObstacle(Job, *First, Now);
  if (Reason == WaitReason::AboutToStart && Job.m_PlansDropped > 0)
    return WaitReason::StartPlannedAgain;
  return Reason;
}

std::string Scheduler::describeRoom(const LiveJob &Job, const ReadyTask &Task,
                                    TimePoint Now) const {
  const StepNeeds Needs = needsOf(Job, Task);
  std::size_t Usable = 0, WithCores = 0;
  Resources Most;
  for (const ServerState *S : m_Servers.inPool(Job.pool())) {
    if (!isUsable(*S, Now))
      continue;
    ++Usable;
    const Resources Free = S->freeResources();
    Most.m_MilliCores = std::max(Most.m_MilliCores, Free.m_MilliCores);
    if (Free.m_MilliCores < Needs.m_Need.m_MilliCores)
      continue;
    ++WithCores;
    Most.m_MemoryMb = std::max(Most.m_MemoryMb, Free.m_MemoryMb);
    Most.m_Gpus = std::max(Most.m_Gpus, Free.m_Gpus);
  }
  return "none of " + std::to_string(Usable) + " usable servers of pool " +
         Job.pool().m_Text + " has room for a task of step " +
         std::to_string(Task.m_Step) + ", which needs " +
         describe(Needs.m_Need) + "; " + std::to_string(WithCores) +
         " have the cores; the most that is free, memory and GPUs beside "
         "enough cores: " +
         describe(Most) + "; ";
}

std::string Scheduler::describeUnknownRuns(const LiveJob &Job,
                                           TimePoint Now) const {
  auto It = m_UnacknowledgedPools.end();
  Job.anyPoolOfEarlierRuns([&](const PoolName &Pool) {
    It = m_UnacknowledgedPools.find(Pool);
    return It != m_UnacknowledgedPools.end();
  });
  std::string Servers = It == m_UnacknowledgedPools.end()
                            ? "the instances are not listed yet"
                            : "pool " + It->first.m_Text + ": " +
                                  std::to_string(It->second.m_Count) +
                                  " servers have not listed all their runs, "
                                  "the first is " +
                                  It->second.m_First.m_Text;
  return "; " + Servers + "; for at most " +
         milliseconds(std::max(Duration(0), m_UnknownRunsUntil - Now)) +
         " more, but for servers that hold ends back";
}

std::string Scheduler::describeWait(const LiveJob &Job, WaitReason Reason,
                                    TimePoint Now) const {
  std::string Text(waitReasonText(Reason));
  const std::optional<ReadyTask> First = Job.firstWaitingTask();
  if (!First)
    return Text;
  switch (Reason) {
  case WaitReason::StartBeingRecorded:
  case WaitReason::StartPlannedAgain:
    if (Job.m_FirstPlannedAt)
      Text += "; since " + milliseconds(Now - *Job.m_FirstPlannedAt);
    return Text + "; plans dropped: " + std::to_string(Job.m_PlansDropped);
  case WaitReason::EarlierLeaderRuns:
    return Text + describeUnknownRuns(Job, Now);
  case WaitReason::Isolation:
    return std::to_string(Job.m_Occurrences.at(First->m_Occurrence)
                              .m_Steps[First->m_Step]
                              .m_Tasks[First->m_Index]
                              .m_Crashes->m_Runs.size()) +
           " servers have crashed under it, so " + Text;
  case WaitReason::NoSuitableServer:
  case WaitReason::NoUsableServer:
    return "no server of pool " + Job.pool().m_Text +
           Text.substr(std::string_view("no server of its pool").size());
  case WaitReason::NoTicket:
    return Text + "; pool " + Job.pool().m_Text;
  default:
    return isLackOfRoom(Reason) ? describeRoom(Job, *First, Now) + Text : Text;
  }
}

std::string Scheduler::pendingReason(const JobId &Id, TimePoint Now) {
  const LiveJob *Job = m_Jobs.find(Id);
  if (!Job)
    return "it has ended, or is not known to this leader yet";
  return describeWait(*Job, waitReason(*Job, Now), Now);
}

} // namespace pollenspool
