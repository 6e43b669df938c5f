//===- SchedulerPlacement.cpp - Placement of tasks on servers -------------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Run numbers of one task in one term. The numbers of the next term start
/// above them, so that the number of an earlier leader's run is never reused.
constexpr std::uint32_t RunNumbersPerTerm = 1000;
/// The result of a job is of no use after this multiple of its allowed time.
constexpr int DeadlineFactor = 3;

/// For each step, the estimated duration of the longest chain of steps that
/// begins with it.
std::vector<std::chrono::milliseconds> remainingPaths(const JobSpec &Job) {
  std::vector<std::chrono::milliseconds> Paths(Job.m_Steps.size());
  // A step depends on earlier ones only, so the paths of all steps that depend
  // on a step are complete when the loop reaches it.
  for (std::size_t N = Job.m_Steps.size(); N-- > 0;) {
    Paths[N] += Job.m_Steps[N].m_Estimate;
    for (std::uint32_t Earlier : Job.m_Steps[N].m_After)
      Paths[Earlier] = std::max(Paths[Earlier], Paths[N]);
  }
  return Paths;
}

bool isInEarlierStep(const ReadyTask &A, const ReadyTask &B) {
  return std::tie(A.m_Occurrence, A.m_Step) <
         std::tie(B.m_Occurrence, B.m_Step);
}

} // namespace

std::uint32_t Scheduler::nextRunNumber(const TaskState &T) const {
  auto Floor =
      static_cast<std::uint32_t>((m_Options.m_Term - 1) * RunNumbersPerTerm);
  return std::max(T.m_LastRunNumber, Floor) + 1;
}

void Scheduler::applyRules(LiveJob &Job) {
  const QueueRules &Rules = Job.m_Queue->m_Rules;
  Job.m_Attempts = Rules.m_Attempts;
  Job.m_Priority = Rules.m_Priority;
  Job.m_RemainingPaths = remainingPaths(Job.m_Spec);
  std::chrono::milliseconds CriticalPath{0};
  for (std::chrono::milliseconds Path : Job.m_RemainingPaths)
    CriticalPath = std::max(CriticalPath, Path);
  const Duration Allowed = std::chrono::duration_cast<Duration>(
                               CriticalPath * Rules.m_DurationFactor) +
                           Rules.m_Slack;
  Job.m_Objective = Job.m_AcceptedAt + Allowed;
  Job.m_Deadline = Job.m_AcceptedAt + Allowed * DeadlineFactor;
}

void Scheduler::placeReady(TimePoint Now) {
  ++m_Counters.m_Passes;
  if (!areEarlierRunsOver(Now) && m_UnacknowledgedPoolsChanged)
    findUnacknowledgedPools();
  reserveUnknownRuns(Now);
  startPlanned(Now);
  enqueueReady();
  for (auto &[Name, Queue] : m_Queues)
    if (!Queue.entries().empty())
      placePool(Name, Queue, Now);
}

void Scheduler::enqueueReady() {
  for (LiveJob *Job : m_Jobs.takeNewlyReady())
    if (!Job->m_Ready.empty() && !isFinal(Job->m_State))
      (Job->m_PlacementQueue ? *Job->m_PlacementQueue : m_Queues[Job->pool()])
          .add(*Job);
}

void Scheduler::placePool(const PoolName &Name, PlacementQueue &Queue,
                          TimePoint Now) {
  PoolPass Pass{m_Servers.inPool(Name), Now};
  measureMostFree(Pass);
  if (Pass.m_MostMilliCores < 0)
    return;
  Queue.sort(Now);
  Queue.removeIf([&](LiveJob &Job, std::int64_t LeastMilliCores) {
    // Thousands of jobs of an organisation at its cap must cost little.
    if (Job.m_Account && LeastMilliCores > Job.m_Account->freeMilliCores()) {
      OrganisationLedger::mayCharge(Job.m_Account, Job, {LeastMilliCores, 0, 0},
                                    Now);
      return false;
    }
    return LeastMilliCores <= Pass.m_MostMilliCores && placeJob(Job, Pass);
  });
  if (Pass.m_JobsWaitingForIsolation > 0)
    clearServers(Pass);
}

bool Scheduler::placeJob(LiveJob &Job, PoolPass &Pass) {
  if (Job.m_Ready.empty() || isFinal(Job.m_State))
    return true;
  if (!isStartable(Job) || mayAllHaveUnknownRuns(Job, Pass.m_Now))
    return false;
  if (mayFit(Job, Pass)) {
    ++m_Counters.m_JobsExamined;
    placeTasks(Job, Pass);
    if (!Job.m_Ready.empty())
      measureMostFree(Pass);
  }
  requestAdvice(Job, Pass);
  return Job.m_Ready.empty();
}

void Scheduler::measureMostFree(PoolPass &Pass) const {
  Pass.m_MostMilliCores = -1;
  for (auto It = Pass.m_Servers.rbegin(); It != Pass.m_Servers.rend(); ++It)
    if (isUsable(**It, Pass.m_Now)) {
      // A server may have less than nothing free if it reported runs of which
      // the scheduler did not know.
      Pass.m_MostMilliCores =
          std::max<std::int64_t>(0, (*It)->freeResources().m_MilliCores);
      return;
    }
}

bool Scheduler::mayFit(const LiveJob &Job, const PoolPass &Pass) const {
  const ReadyTask *Last = nullptr;
  for (const ReadyTask &R : Job.m_Ready) {
    if (Last && Last->isInSameStepAs(R))
      continue;
    Last = &R;
    const StepSpec &Step = Job.m_Spec.m_Steps[R.m_Step];
    Resources Need = allocationFor(Step);
    if (Need.m_MilliCores <= Pass.m_MostMilliCores &&
        !isKnownToFail(Step, Need, Pass))
      return true;
  }
  return false;
}

void Scheduler::placeTasks(LiveJob &Job, PoolPass &Pass) {
  ReadyTasks Tasks = std::move(Job.m_Ready);
  Job.m_Ready.clear();
  if (!std::is_sorted(Tasks.begin(), Tasks.end(), isInEarlierStep))
    std::stable_sort(Tasks.begin(), Tasks.end(), isInEarlierStep);
  for (auto First = Tasks.cbegin(); First != Tasks.cend();) {
    auto End = std::find_if(First, Tasks.cend(), [&](const ReadyTask &R) {
      return !R.isInSameStepAs(*First);
    });
    placeStep(Job, First, End, Pass);
    First = End;
  }
}

void Scheduler::placeStep(LiveJob &Job, ReadyTasks::const_iterator First,
                          ReadyTasks::const_iterator End, PoolPass &Pass) {
  StepState &Step = *Job.step(First->m_Occurrence, First->m_Step);
  StepNeeds Needs = needsOf(Job, *First);
  bool IsForbidden = mayHaveUnknownRuns(Job, *First, Pass.m_Now);
  if (Step.m_MayHaveEarlierRuns && !IsForbidden)
    countEarlierRuns(Job, *First);
  if (Job.m_HasEarlierSuspectStarts && !IsForbidden)
    resolveEarlierStarts(Job, *First);
  if (isFinal(Job.m_State))
    return;
  if (Needs.m_Step->m_Gang && !IsForbidden &&
      placeGang(Job, *First, Needs, Pass))
    return;
  IsForbidden |= Needs.m_Step->m_Gang;
  auto HasRoomUnderCap = [&] {
    return hasRoomUnderCap(Job, *Needs.m_Step, 1, Pass.m_Now);
  };
  // Once one task finds no server, the others of the step find none either,
  // except suspected ones, which need other servers.
  bool IsBlocked = IsForbidden;
  for (; First != End; ++First) {
    TaskState &T = Step.m_Tasks[First->m_Index];
    if (!T.m_Ready)
      continue;
    const bool MayStart = T.mayStart(Pass.m_Now, m_Authority);
    ServerState *S = nullptr;
    if (MayStart && T.isSuspect() && !IsForbidden) {
      if (HasRoomUnderCap())
        S = selectIsolated(Job, *First, T, Needs, {}, Pass);
    } else if (MayStart && !T.isSuspect() && !IsBlocked) {
      S = HasRoomUnderCap() ? selectServer(Job, *First, Needs, {}, Pass)
                            : nullptr;
      IsBlocked = !S;
    }
    if (!S) {
      Job.m_Ready.push_back(*First);
      continue;
    }
    place(Job, *First, Needs, *S, nextRunNumber(T), Pass.m_Now);
    if (Needs.m_Step->m_SameRack)
      Needs.m_RacksInUse.insert(S->m_Registration.m_Rack);
  }
}

bool Scheduler::placeGang(LiveJob &Job, const ReadyTask &First,
                          StepNeeds &Needs, PoolPass &Pass) {
  StepState &Step = *Job.step(First.m_Occurrence, First.m_Step);
  std::uint32_t Number = 0;
  for (const TaskState &T : Step.m_Tasks) {
    // A gang starts only after every member of its last run has ended.
    if (!T.m_Done && (!T.m_Ready || !T.mayStart(Pass.m_Now, m_Authority)))
      return false;
    Number = std::max(Number, nextRunNumber(T));
  }
  if (!hasRoomUnderCap(Job, *Needs.m_Step,
                       static_cast<std::uint32_t>(Step.m_Tasks.size()),
                       Pass.m_Now))
    return false;
  std::vector<std::pair<ReadyTask, ServerState *>> Plan;
  GangServers GangPlan;
  while (Plan.size() < Step.m_Tasks.size()) {
    ReadyTask R{First.m_Occurrence, First.m_Step,
                static_cast<std::uint32_t>(Plan.size())};
    TaskState &T = Step.m_Tasks[R.m_Index];
    ServerState *S = T.isSuspect()
                         ? selectIsolated(Job, R, T, Needs, GangPlan, Pass)
                         : selectServer(Job, R, Needs, GangPlan, Pass);
    if (!S)
      break;
    Plan.emplace_back(R, S);
    GangPlan.push_back(S);
    if (Needs.m_Step->m_SameRack)
      Needs.m_RacksInUse.insert(S->m_Registration.m_Rack);
    ServerRegistry::planStart(*S, Needs.m_Need);
    if (T.isSuspect())
      ServerRegistry::planIsolation(*S, Job.m_Spec.m_Id);
  }
  for (auto &[R, S] : Plan) {
    ServerRegistry::cancelPlannedStart(*S, Needs.m_Need);
    if (Step.m_Tasks[R.m_Index].isSuspect())
      ServerRegistry::cancelPlannedIsolation(*S);
  }
  if (Plan.size() < Step.m_Tasks.size())
    return false;
  bool IsRecorded =
      std::all_of(Plan.begin(), Plan.end(), [&](const auto &Member) {
        return isStartRecorded(Job, Member.first, *Member.second);
      });
  for (auto &[R, S] : Plan)
    if (IsRecorded)
      start(Job, R, *S, Number, Pass.m_Now);
    else
      planStart(Job, R, Needs.m_Need, *S, Number, Pass.m_Now);
  return true;
}

void Scheduler::place(LiveJob &Job, const ReadyTask &Task,
                      const StepNeeds &Needs, ServerState &S,
                      std::uint32_t RunNumber, TimePoint Now) {
  if (isStartRecorded(Job, Task, S))
    return start(Job, Task, S, RunNumber, Now);
  planStart(Job, Task, Needs.m_Need, S, RunNumber, Now);
}

void Scheduler::initRun(ActiveRun &Run, const LiveJob &Job,
                        const StepSpec &Step) {
  Run.m_Account = Job.m_Account;
  Run.m_Charge = Step.m_RequiredResources;
  Run.m_Allocation = allocationFor(Step);
  Run.m_IsLongRunning = Step.m_IsLongRunning;
  Run.m_IsBestEffort = Step.m_IsBestEffort;
  Run.m_TailLatencyTarget =
      static_cast<double>(Step.m_TailLatencyTarget.count());
}

void Scheduler::start(LiveJob &Job, const ReadyTask &Task, ServerState &S,
                      std::uint32_t RunNumber, TimePoint Now) {
  TaskState &T = *Job.task(
      {Job.m_Spec.m_Id, Task.m_Occurrence, Task.m_Step, Task.m_Index});
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  StartOrder Order;
  Order.m_Server = S.address();
  Order.m_Run = {
      {Job.m_Spec.m_Id, Task.m_Occurrence, Task.m_Step, Task.m_Index},
      RunNumber};
  Order.m_Text = Job.m_Spec.m_Text;
  Order.m_Checkpoint = T.m_Checkpoint;
  Order.m_Term = m_Options.m_Term;
  Order.m_OrderedAt = Now;
  Order.m_LeaseUntilMs =
      S.minClockMs(Now) +
      std::chrono::duration_cast<std::chrono::milliseconds>(m_Options.m_Lease)
          .count();
  ServerRegistry::recordLease(S, Now, m_Options.m_Lease);
  if (advicePolicy(Job))
    if (const std::string *Ticket = m_Advice.ticket(Job.stepId(Task), S, Now))
      Order.m_Ticket = *Ticket;
  ActiveRun Run;
  initRun(Run, Job, Step);
  if (T.m_Checkpoint.empty())
    Run.m_ProgressSince = Run.m_PercentChangedAt = Now;
  Run.m_OrderedAt = Now;
  Run.m_MayBeginUntil = Now + LateOrderTime;
  if (T.isSuspect()) {
    Run.m_IsSuspect = true;
    T.m_Crashes->m_WaitsSince.reset();
    countSuspectStart(Job, S);
  }
  ServerRegistry::addRun(S, Order.m_Run, Run);
  const bool IsRepeated = T.m_LastRunNumber != 0;
  T.m_Ready = false;
  T.m_LastRunNumber = RunNumber;
  T.m_LostAt = {};
  Job.m_FirstPlannedAt.reset();
  Job.m_PlansDropped = 0;
  T.m_Runs.push_back({S.m_Registration.m_Id, RunNumber});
  if (m_Jobs.markStarted(Job))
    logEvent(Event::JobStarted,
             {{"job", Job.m_Spec.m_Id.m_Text},
              {"server", S.m_Registration.m_Id.m_Text},
              {"waited_ms", std::to_string((Now - Job.m_AcceptedAt) /
                                           std::chrono::milliseconds(1))},
              {"term", std::to_string(m_Options.m_Term)}});
  if (IsRepeated || !m_Authority.m_IsTermConfirmed)
    logEvent(Event::RunOrdered,
             {{"run", runName(Order.m_Run)},
              {"server", S.m_Registration.m_Id.m_Text},
              {"term", std::to_string(m_Options.m_Term)},
              {"confirmed", m_Authority.m_IsTermConfirmed ? "yes" : "no"}});
  ++m_Counters.m_Starts;
  m_Orders.start(Order);
}

} // namespace pollenspool
