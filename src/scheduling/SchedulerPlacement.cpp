//===- SchedulerPlacement.cpp - Placement of tasks on servers -------------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Run numbers of one task in one term. The numbers of the next term start
/// above them, so that the number of an earlier leader's run is never reused.
constexpr std::uint32_t RunNumbersPerTerm = 1000;
/// Weight of a long-running run in thousandths of a core when servers are
/// compared; larger than the capacity of any server.
constexpr std::int64_t LongRunningBonus = 1000000;
/// The result of a job is of no use after this multiple of its allowed time.
constexpr int DeadlineFactor = 3;

} // namespace

std::uint32_t Scheduler::nextRunNumber(const TaskState &T) const {
  auto Floor =
      static_cast<std::uint32_t>((m_Options.m_Term - 1) * RunNumbersPerTerm);
  return std::max(T.m_LastRunNumber, Floor) + 1;
}

bool Scheduler::isUsable(const ServerState &S, TimePoint Now) const {
  bool Present = S.m_Registered || Now < S.m_UnregisteredAt + RegistrationGrace;
  return Present && !S.m_Registration.m_Draining && S.m_HasAcknowledgedTerm &&
         S.m_ClockKnown && S.m_Reachable && !S.m_Reserved &&
         Now >= S.m_SuspendedUntil;
}

void Scheduler::findUnacknowledgedPools() {
  m_UnacknowledgedPools.clear();
  for (const auto &[Id, S] : m_Servers.all())
    if (!S.m_HasAcknowledgedTerm && !S.m_IsListedAsGone)
      m_UnacknowledgedPools.insert(S.m_Registration.m_Pool);
  for (const InstanceListing &L : m_Instances) {
    if (L.m_Condition != InstanceCondition::Up || L.m_Server.empty())
      continue;
    const ServerState *S = m_Servers.find(L.m_Server);
    if (!S || !S->m_HasAcknowledgedTerm)
      m_UnacknowledgedPools.insert(L.m_Pool);
  }
}

bool Scheduler::mayHaveUnknownRuns(const LiveJob &Job, const ReadyTask &Task,
                                   TimePoint Now) const {
  if (Now >= m_UnknownRunsUntil ||
      Job.m_AcceptedVersion > m_Options.m_TermVersion)
    return false;
  if (Job.m_AcceptedVersion > m_StartsRecordedSince &&
      !Job.m_Occurrences.at(Task.m_Occurrence)
           .m_Steps[Task.m_Step]
           .m_MayHaveEarlierRuns)
    return false;
  PoolName Pool = poolOf(Job);
  return !hasPoolAcknowledgedTerm(Pool) ||
         (Pool != Job.m_Spec.m_Pool &&
          !hasPoolAcknowledgedTerm(Job.m_Spec.m_Pool));
}

bool Scheduler::mayAllHaveUnknownRuns(const LiveJob &Job, TimePoint Now) const {
  if (Now >= m_UnknownRunsUntil)
    return false;
  const ReadyTask *Last = nullptr;
  for (const ReadyTask &R : Job.m_Ready) {
    bool IsSameStep = Last && Last->m_Step == R.m_Step &&
                      Last->m_Occurrence == R.m_Occurrence;
    if (!IsSameStep && !mayHaveUnknownRuns(Job, R, Now))
      return false;
    Last = &R;
  }
  return true;
}

bool Scheduler::ensureStartRecorded(LiveJob &Job, const ReadyTask &Task,
                                    const Resources &Need, ServerState &S) {
  if (!m_RecordsStarts ||
      Job.step(Task.m_Occurrence, Task.m_Step)->m_StartRecorded)
    return true;
  m_Jobs.requestStart(Job, Task.m_Occurrence, Task.m_Step);
  m_Reservations.emplace_back(&S, Need);
  S.m_Used += Need;
  return false;
}

void Scheduler::releaseReservations() {
  for (auto &[S, Need] : m_Reservations)
    S->m_Used -= Need;
  m_Reservations.clear();
}

std::vector<std::chrono::milliseconds>
Scheduler::remainingPaths(const JobSpec &Job) {
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

bool Scheduler::canCompleteBy(const LiveJob &Job, TimePoint End,
                              TimePoint Now) {
  std::chrono::milliseconds Remaining{0};
  for (const ReadyTask &R : Job.m_Ready)
    Remaining = std::max(Remaining, Job.m_RemainingPaths[R.m_Step]);
  return Now + Remaining < End;
}

void Scheduler::setObjective(LiveJob &Job) const {
  const QueuePolicy *Q =
      m_Config ? m_Config->queue(Job.m_Spec.m_Queue) : nullptr;
  Job.m_Policy = Q;
  if (Q) {
    Job.m_Attempts = Q->m_Attempts;
    Job.m_Priority = Q->m_Priority;
  }
  Job.m_RemainingPaths = remainingPaths(Job.m_Spec);
  std::chrono::milliseconds CriticalPath{0};
  for (std::chrono::milliseconds Path : Job.m_RemainingPaths)
    CriticalPath = std::max(CriticalPath, Path);
  Duration Allowed = std::chrono::duration_cast<Duration>(
      CriticalPath * (Q ? Q->m_DurationFactor : 1.0));
  if (Q)
    Allowed += Q->m_Slack;
  Job.m_Objective = Job.m_AcceptedAt + Allowed;
  Job.m_Deadline = Job.m_AcceptedAt + Allowed * DeadlineFactor;
}

void Scheduler::PoolCapacity::measure() {
  m_Largest = {};
  for (const ServerState *S : m_Servers) {
    Resources R = S->freeResources();
    m_Largest.m_MilliCores = std::max(m_Largest.m_MilliCores, R.m_MilliCores);
    m_Largest.m_MemoryMb = std::max(m_Largest.m_MemoryMb, R.m_MemoryMb);
    m_Largest.m_Gpus = std::max(m_Largest.m_Gpus, R.m_Gpus);
  }
}

Resources Scheduler::allocationFor(const StepSpec &Step) {
  Resources Allocation = Step.m_RequiredResources;
  if (Step.m_IsBestEffort)
    Allocation.m_MilliCores = 0;
  return Allocation;
}

void Scheduler::placeReady(TimePoint Now) {
  ++m_Counters.m_Passes;
  if (Now < m_UnknownRunsUntil)
    findUnacknowledgedPools();
  std::map<PoolName, PoolWork> Pools;
  auto &Ready = m_Jobs.ready();
  for (auto It = Ready.begin(); It != Ready.end();) {
    LiveJob *Job = It->second;
    if (Job->m_Ready.empty() || isFinal(Job->m_State)) {
      It = Ready.erase(It);
      continue;
    }
    Pools[poolOf(*Job)].m_Jobs.push_back(Job);
    ++It;
  }
  if (Pools.empty())
    return;
  for (auto &[Id, S] : m_Servers.all()) {
    auto Pool = Pools.find(S.m_Registration.m_Pool);
    if (Pool != Pools.end() && isUsable(S, Now))
      Pool->second.m_Available.m_Servers.push_back(&S);
  }
  for (auto &[Name, Pool] : Pools)
    placePool(Pool, Now);
  releaseReservations();
}

void Scheduler::placePool(PoolWork &Pool, TimePoint Now) {
  PoolCapacity &Available = Pool.m_Available;
  if (Available.m_Servers.empty())
    return;
  Available.measure();
  // Long-running tasks come first, because they are few and have to run at all
  // times. Then come jobs that can still be on time, then jobs whose result can
  // still be of use. Within each group the operators' priority decides.
  auto Rank = [Now](const LiveJob &Job) {
    if (Job.m_Spec.m_Steps[Job.m_Ready.front().m_Step].m_IsLongRunning)
      return 0;
    if (canCompleteBy(Job, Job.m_Objective, Now))
      return 1;
    return canCompleteBy(Job, Job.m_Deadline, Now) ? 2 : 3;
  };
  std::vector<std::tuple<int, std::uint32_t, TimePoint, LiveJob *>> Order;
  // Starts only reduce the free resources, so a job that does not fit now does
  // not fit later in this pass.
  for (LiveJob *Job : Pool.m_Jobs)
    if (Job->m_AcceptedVersion <= m_Authority.m_StartableVersion &&
        (mayFit(*Job, Available) || advicePolicy(*Job)) &&
        !mayAllHaveUnknownRuns(*Job, Now))
      Order.emplace_back(Rank(*Job), Job->m_Priority, Job->m_Objective, Job);
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    const auto &[RankA, PriorityA, ObjectiveA, JobA] = A;
    const auto &[RankB, PriorityB, ObjectiveB, JobB] = B;
    return std::tie(RankA, PriorityA, ObjectiveA, JobA->m_Spec.m_Id) <
           std::tie(RankB, PriorityB, ObjectiveB, JobB->m_Spec.m_Id);
  });
  for (const auto &[R, Priority, Objective, Job] : Order) {
    if (mayFit(*Job, Available)) {
      ++m_Counters.m_JobsExamined;
      placeTasks(*Job, Available, Now);
      Available.measure();
    }
    requestAdvice(*Job, Available, Now);
  }
}

bool Scheduler::mayFit(const LiveJob &Job, const PoolCapacity &Available) {
  std::uint32_t Last = ~0u;
  for (const ReadyTask &R : Job.m_Ready) {
    if (R.m_Step == Last)
      continue;
    Last = R.m_Step;
    if (allocationFor(Job.m_Spec.m_Steps[R.m_Step]).fitsIn(Available.m_Largest))
      return true;
  }
  return false;
}

void Scheduler::placeTasks(LiveJob &Job, const PoolCapacity &Available,
                           TimePoint Now) {
  std::vector<ReadyTask> Remaining;
  std::vector<ReadyTask> Tasks = std::move(Job.m_Ready);
  Job.m_Ready.clear();
  std::set<std::pair<std::uint32_t, std::uint32_t>> BlockedSteps;
  for (const ReadyTask &R : Tasks) {
    StepState *Step = Job.step(R.m_Occurrence, R.m_Step);
    TaskState &T = Step->m_Tasks[R.m_Index];
    if (!T.m_Ready)
      continue;
    if (BlockedSteps.count({R.m_Occurrence, R.m_Step}) || Now < T.m_NotBefore) {
      Remaining.push_back(R);
      continue;
    }
    if (mayHaveUnknownRuns(Job, R, Now)) {
      BlockedSteps.insert({R.m_Occurrence, R.m_Step});
      Remaining.push_back(R);
      continue;
    }
    if (Job.m_Spec.m_Steps[R.m_Step].m_Gang) {
      BlockedSteps.insert({R.m_Occurrence, R.m_Step});
      if (!placeGang(Job, R, Available, Now))
        Remaining.push_back(R);
      continue;
    }
    ServerState *S = selectServer(Job, R, Available, {}, Now);
    if (!S) {
      BlockedSteps.insert({R.m_Occurrence, R.m_Step});
      Remaining.push_back(R);
      continue;
    }
    if (ensureStartRecorded(Job, R, allocationFor(Job.m_Spec.m_Steps[R.m_Step]),
                            *S))
      start(Job, R, *S, nextRunNumber(T), Now);
    else
      Remaining.push_back(R);
  }
  for (const ReadyTask &R : Remaining)
    if (Job.step(R.m_Occurrence, R.m_Step)->m_Tasks[R.m_Index].m_Ready)
      Job.m_Ready.push_back(R);
}

bool Scheduler::placeGang(LiveJob &Job, const ReadyTask &First,
                          const PoolCapacity &Available, TimePoint Now) {
  StepState &Step = *Job.step(First.m_Occurrence, First.m_Step);
  std::uint32_t Number = 0;
  for (const TaskState &T : Step.m_Tasks) {
    // A gang starts only after every member of its last run has ended.
    if (!T.m_Done && (!T.m_Ready || Now < T.m_NotBefore))
      return false;
    Number = std::max(Number, nextRunNumber(T));
  }
  Resources Allocation = allocationFor(Job.m_Spec.m_Steps[First.m_Step]);
  std::vector<std::pair<ReadyTask, ServerState *>> Plan;
  GangServers GangPlan;
  bool Complete = true;
  for (std::uint32_t I = 0; I < Step.m_Tasks.size() && Complete; ++I) {
    ReadyTask R{First.m_Occurrence, First.m_Step, I};
    ServerState *S = selectServer(Job, R, Available, GangPlan, Now);
    Complete = S != nullptr;
    if (!Complete)
      break;
    Plan.emplace_back(R, S);
    GangPlan.push_back(S);
    S->m_Used += Allocation;
  }
  for (auto &[R, S] : Plan)
    S->m_Used -= Allocation;
  if (!Complete)
    return false;
  bool IsRecorded = true;
  for (auto &[R, S] : Plan)
    IsRecorded &= ensureStartRecorded(Job, R, Allocation, *S);
  if (!IsRecorded)
    return false;
  for (auto &[R, S] : Plan)
    start(Job, R, *S, Number, Now);
  return true;
}

std::uint32_t Scheduler::runsOfStepOn(const LiveJob &Job, const ReadyTask &Task,
                                      const ServerId &Server) const {
  std::uint32_t Count = 0;
  for (const TaskState &T :
       Job.m_Occurrences.at(Task.m_Occurrence).m_Steps[Task.m_Step].m_Tasks)
    for (const RunLocation &P : T.m_Runs)
      Count += P.m_Server == Server;
  return Count;
}

bool Scheduler::canHost(const ServerState &S, const LiveJob &Job,
                        const ReadyTask &Task, const Resources &Need,
                        const GangServers &GangPlan) const {
  if (!Need.fitsIn(S.freeResources()))
    return false;
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  if (S.m_OnProbation && !Step.m_IsLongRunning && S.hasFiniteRuns())
    return false;
  if (!hasLabel(S.m_Registration.m_Labels, Step.m_RequiredLabel))
    return false;
  if (Step.m_MaxPerServer == 0)
    return true;
  auto Planned = std::count(GangPlan.begin(), GangPlan.end(), &S);
  return runsOfStepOn(Job, Task, S.m_Registration.m_Id) + Planned <
         Step.m_MaxPerServer;
}

bool Scheduler::isOutsidePreferredRack(const ServerState &S, const LiveJob &Job,
                                       const ReadyTask &Task,
                                       const GangServers &GangPlan) const {
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  const RackName &Rack = S.m_Registration.m_Rack;
  if (!Step.m_DataRack.empty() && Rack.m_Text != Step.m_DataRack)
    return true;
  if (!Step.m_SameRack)
    return false;
  std::set<RackName> InUse;
  for (const ServerState *Other : GangPlan)
    InUse.insert(Other->m_Registration.m_Rack);
  for (const TaskState &T :
       Job.m_Occurrences.at(Task.m_Occurrence).m_Steps[Task.m_Step].m_Tasks)
    for (const RunLocation &P : T.m_Runs)
      if (const ServerState *Other = m_Servers.find(P.m_Server))
        InUse.insert(Other->m_Registration.m_Rack);
  return !InUse.empty() && !InUse.count(Rack);
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
                                           const GangServers &GangPlan) const {
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  // An order that affects a single server should not interrupt more tasks of a
  // step than may be unavailable at once.
  bool ExceedsMaxUnavailable =
      Step.m_IsLongRunning && Step.m_MaxUnavailable > 0 &&
      runsOfStepOn(Job, Task, S.m_Registration.m_Id) >= Step.m_MaxUnavailable;
  return {ExceedsMaxUnavailable, S.m_OnProbation,
          isOutsidePreferredRack(S, Job, Task, GangPlan), S.m_FailuresInRow,
          packingScore(S, Step)};
}

ServerState *Scheduler::selectServer(LiveJob &Job, const ReadyTask &Task,
                                     const PoolCapacity &Available,
                                     const GangServers &GangPlan,
                                     TimePoint Now) {
  Resources Need = allocationFor(Job.m_Spec.m_Steps[Task.m_Step]);
  if (!Need.fitsIn(Available.m_Largest))
    return nullptr;
  const StepId Step = Job.stepId(Task);
  bool NeedsTicket = advicePolicy(Job) != nullptr;
  ServerState *Best = nullptr;
  PlacementScore BestScore;
  for (ServerState *S : Available.m_Servers) {
    ++m_Counters.m_ServersExamined;
    if (!canHost(*S, Job, Task, Need, GangPlan) ||
        (NeedsTicket && !m_Advice.ticket(Step, *S, Now)))
      continue;
    PlacementScore Score = score(*S, Job, Task, GangPlan);
    if (!Best || Score < BestScore) {
      Best = S;
      BestScore = Score;
    }
  }
  return Best;
}

void Scheduler::initRun(ActiveRun &Run, const StepSpec &Step) {
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
  initRun(Run, Step);
  if (T.m_Checkpoint.empty())
    Run.m_ProgressSince = Run.m_PercentChangedAt = Now;
  ServerRegistry::addRun(S, Order.m_Run, Run);
  T.m_Ready = false;
  T.m_LastRunNumber = RunNumber;
  T.m_Runs.push_back({S.m_Registration.m_Id, RunNumber});
  if (m_Jobs.markStarted(Job))
    logEvent(Event::JobStarted,
             {{"job", Job.m_Spec.m_Id.m_Text},
              {"server", S.m_Registration.m_Id.m_Text},
              {"waited_ms", std::to_string((Now - Job.m_AcceptedAt) /
                                           std::chrono::milliseconds(1))},
              {"term", std::to_string(m_Options.m_Term)}});
  ++m_Counters.m_Starts;
  m_Orders.start(Order);
}

} // namespace pollenspool
