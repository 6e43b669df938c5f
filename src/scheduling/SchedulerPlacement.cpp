//===- SchedulerPlacement.cpp - Which task goes where, and when -----------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Run numbers of one task in one term; the next term's numbers start above
/// them, so that a run of an earlier leader is never numbered again.
constexpr std::uint32_t RunsPerTerm = 1000;
/// Weight of a lasting run in thousandths of a core when servers are compared:
/// more than any server has.
constexpr std::int64_t LastingBonus = 1000000;
/// A job done later than this many times its objective is of no use.
constexpr int LateFactor = 3;

} // namespace

std::uint32_t Scheduler::nextRunNumber(const TaskState &T) const {
  auto Floor = static_cast<std::uint32_t>((m_Options.m_Term - 1) * RunsPerTerm);
  return std::max(T.m_LastRun, Floor) + 1;
}

bool Scheduler::isUsable(const ServerState &S, TimePoint Now) const {
  bool Present = S.m_Registered || Now < S.m_UnregisteredAt + RegistrationGrace;
  return Present && !S.m_Registration.m_Draining && S.m_Vetted &&
         S.m_ClockKnown && S.m_Reachable && !S.m_Reserved &&
         Now >= S.m_SuspendedUntil;
}

bool Scheduler::isPoolVetted(const PoolName &Pool) {
  if (!m_InstancesKnown)
    return false;
  for (const auto &[Id, S] : m_Servers.all())
    if (S.m_Registration.m_Pool == Pool && !S.m_Vetted)
      return false;
  for (const InstanceListing &L : m_Instances) {
    if (L.m_Pool != Pool || L.m_Condition != InstanceCondition::Up ||
        L.m_Server.empty())
      continue;
    ServerState *S = m_Servers.find(L.m_Server);
    if (!S || !S->m_Vetted)
      return false;
  }
  return true;
}

bool Scheduler::mayHaveUnknownRuns(const LiveJob &Job, TimePoint Now) {
  if (Now >= m_UncertainUntil ||
      Job.m_AcceptedVersion > m_Options.m_TermVersion)
    return false;
  PoolName Pool = poolOf(Job);
  return !isPoolVetted(Pool) ||
         (Pool != Job.m_Spec.m_Pool && !isPoolVetted(Job.m_Spec.m_Pool));
}

std::chrono::milliseconds Scheduler::longestChain(const JobSpec &Job) {
  std::vector<std::chrono::milliseconds> Chain;
  std::chrono::milliseconds Longest{0};
  for (const StepSpec &Step : Job.m_Steps) {
    std::chrono::milliseconds Before{0};
    for (std::uint32_t Earlier : Step.m_After)
      Before = std::max(Before, Chain[Earlier]);
    Chain.push_back(Before + Step.m_Estimate);
    Longest = std::max(Longest, Chain.back());
  }
  return Longest;
}

void Scheduler::setObjective(LiveJob &Job) const {
  const QueuePolicy *Q = policyOf(Job);
  if (Q) {
    Job.m_Attempts = Q->m_Attempts;
    Job.m_Priority = Q->m_Priority;
  }
  Duration Allowed = std::chrono::duration_cast<Duration>(
      longestChain(Job.m_Spec) * (Q ? Q->m_Stretch : 1.0));
  if (Q)
    Allowed += Q->m_Slack;
  Job.m_Objective = Job.m_AcceptedAt + Allowed;
  Job.m_LastUse = Job.m_AcceptedAt + Allowed * LateFactor;
}

void Scheduler::PoolRoom::measure() {
  m_Most = {};
  for (const ServerState *S : m_Servers) {
    Resources R = S->room();
    m_Most.m_MilliCores = std::max(m_Most.m_MilliCores, R.m_MilliCores);
    m_Most.m_MemoryMb = std::max(m_Most.m_MemoryMb, R.m_MemoryMb);
    m_Most.m_Gpus = std::max(m_Most.m_Gpus, R.m_Gpus);
  }
}

Resources Scheduler::chargeOf(const StepSpec &Step) {
  Resources Charge = Step.m_Need;
  if (Step.m_Fills)
    Charge.m_MilliCores = 0;
  return Charge;
}

void Scheduler::placeReady(TimePoint Now) {
  std::map<PoolName, std::vector<LiveJob *>> Pools;
  auto &Ready = m_Jobs.ready();
  for (auto It = Ready.begin(); It != Ready.end();) {
    LiveJob *Job = m_Jobs.find(*It);
    if (!Job || Job->m_Ready.empty() || isFinal(Job->m_State)) {
      It = Ready.erase(It);
      continue;
    }
    Pools[poolOf(*Job)].push_back(Job);
    ++It;
  }
  for (auto &[Pool, Jobs] : Pools)
    placePool(Pool, Jobs, Now);
}

void Scheduler::placePool(const PoolName &Pool, std::vector<LiveJob *> &Jobs,
                          TimePoint Now) {
  PoolRoom Room;
  for (auto &[Id, S] : m_Servers.all())
    if (S.m_Registration.m_Pool == Pool && isUsable(S, Now))
      Room.m_Servers.push_back(&S);
  if (Room.m_Servers.empty())
    return;
  Room.measure();
  // Lasting tasks come first: they are few and owed all the time. Then jobs
  // that can be on time, then those that can still be of use; among these, by
  // the operators' priority.
  auto Rank = [Now](const LiveJob &Job) {
    if (Job.m_Spec.m_Steps[Job.m_Ready.front().m_Step].m_Lasting)
      return 0;
    return Now < Job.m_Objective ? 1 : Now < Job.m_LastUse ? 2 : 3;
  };
  std::vector<std::tuple<int, std::uint32_t, TimePoint, LiveJob *>> Order;
  for (LiveJob *Job : Jobs)
    if (Job->m_AcceptedVersion <= m_May.m_StartUpTo &&
        !mayHaveUnknownRuns(*Job, Now))
      Order.emplace_back(Rank(*Job), Job->m_Priority, Job->m_Objective, Job);
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    const auto &[RankA, PriorityA, ObjectiveA, JobA] = A;
    const auto &[RankB, PriorityB, ObjectiveB, JobB] = B;
    return std::tie(RankA, PriorityA, ObjectiveA, JobA->m_Spec.m_Id) <
           std::tie(RankB, PriorityB, ObjectiveB, JobB->m_Spec.m_Id);
  });
  for (const auto &[R, Priority, Objective, Job] : Order) {
    if (mayFit(*Job, Room)) {
      placeTasks(*Job, Room, Now);
      // Starts only lessen the room, so the bounds held meanwhile.
      Room.measure();
    }
    askAdvice(*Job, Room, Now);
  }
}

bool Scheduler::mayFit(const LiveJob &Job, const PoolRoom &Room) {
  std::uint32_t Last = ~0u;
  for (const ReadyTask &R : Job.m_Ready) {
    if (R.m_Step == Last)
      continue;
    Last = R.m_Step;
    if (chargeOf(Job.m_Spec.m_Steps[R.m_Step]).fitsIn(Room.m_Most))
      return true;
  }
  return false;
}

void Scheduler::placeTasks(LiveJob &Job, const PoolRoom &Room, TimePoint Now) {
  std::vector<ReadyTask> Left;
  std::vector<ReadyTask> Tasks = std::move(Job.m_Ready);
  Job.m_Ready.clear();
  std::set<std::pair<std::uint32_t, std::uint32_t>> Skip;
  for (const ReadyTask &R : Tasks) {
    StepState *Step = Job.step(R.m_Occurrence, R.m_Step);
    TaskState &T = Step->m_Tasks[R.m_Index];
    if (!T.m_Ready)
      continue;
    if (Skip.count({R.m_Occurrence, R.m_Step}) || Now < T.m_NotBefore) {
      Left.push_back(R);
      continue;
    }
    if (Job.m_Spec.m_Steps[R.m_Step].m_Gang) {
      Skip.insert({R.m_Occurrence, R.m_Step});
      if (!placeGang(Job, R, Room, Now))
        Left.push_back(R);
      continue;
    }
    ServerState *S = choose(Job, R, Room, {}, Now);
    if (!S) {
      Skip.insert({R.m_Occurrence, R.m_Step});
      Left.push_back(R);
      continue;
    }
    start(Job, R, *S, nextRunNumber(T), Now);
  }
  for (const ReadyTask &R : Left)
    if (Job.step(R.m_Occurrence, R.m_Step)->m_Tasks[R.m_Index].m_Ready)
      Job.m_Ready.push_back(R);
}

bool Scheduler::placeGang(LiveJob &Job, const ReadyTask &First,
                          const PoolRoom &Room, TimePoint Now) {
  StepState &Step = *Job.step(First.m_Occurrence, First.m_Step);
  std::uint32_t Number = 0;
  for (const TaskState &T : Step.m_Tasks) {
    // Every member of the last run has to be over.
    if (!T.m_Done && (!T.m_Ready || Now < T.m_NotBefore))
      return false;
    Number = std::max(Number, nextRunNumber(T));
  }
  Resources Charge = chargeOf(Job.m_Spec.m_Steps[First.m_Step]);
  std::vector<std::pair<ReadyTask, ServerState *>> Plan;
  Company Beside;
  bool Complete = true;
  for (std::uint32_t I = 0; I < Step.m_Tasks.size() && Complete; ++I) {
    ReadyTask R{First.m_Occurrence, First.m_Step, I};
    ServerState *S = choose(Job, R, Room, Beside, Now);
    Complete = S != nullptr;
    if (!Complete)
      break;
    Plan.emplace_back(R, S);
    Beside.push_back(S);
    S->m_Used += Charge;
  }
  for (auto &[R, S] : Plan)
    S->m_Used -= Charge;
  if (!Complete)
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
    for (const RunPlace &P : T.m_Runs)
      Count += P.m_Server == Server;
  return Count;
}

bool Scheduler::canTake(const ServerState &S, const LiveJob &Job,
                        const ReadyTask &Task, const Resources &Need,
                        const Company &Beside) const {
  if (!Need.fitsIn(S.room()))
    return false;
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  if (S.m_OnProbation && !Step.m_Lasting && S.hasPassingRuns())
    return false;
  if (!hasLabel(S.m_Registration.m_Labels, Step.m_RequiredLabel))
    return false;
  if (Step.m_MaxPerServer == 0)
    return true;
  auto Planned = std::count(Beside.begin(), Beside.end(), &S);
  return runsOfStepOn(Job, Task, S.m_Registration.m_Id) + Planned <
         Step.m_MaxPerServer;
}

bool Scheduler::isFar(const ServerState &S, const LiveJob &Job,
                      const ReadyTask &Task, const Company &Beside) const {
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  const RackName &Rack = S.m_Registration.m_Rack;
  if (!Step.m_DataRack.empty() && Rack.m_Text != Step.m_DataRack)
    return true;
  if (!Step.m_SameRack)
    return false;
  std::set<RackName> InUse;
  for (const ServerState *Other : Beside)
    InUse.insert(Other->m_Registration.m_Rack);
  for (const TaskState &T :
       Job.m_Occurrences.at(Task.m_Occurrence).m_Steps[Task.m_Step].m_Tasks)
    for (const RunPlace &P : T.m_Runs)
      if (const ServerState *Other = m_Servers.find(P.m_Server))
        InUse.insert(Other->m_Registration.m_Rack);
  return !InUse.empty() && !InUse.count(Rack);
}

Scheduler::Placement Scheduler::rate(const ServerState &S, const LiveJob &Job,
                                     const ReadyTask &Task,
                                     const Company &Beside) const {
  const StepSpec &Step = Job.m_Spec.m_Steps[Task.m_Step];
  // One order for the server should not take more of a step away than may be
  // away at once.
  bool Crowded =
      Step.m_Lasting && Step.m_MaxUnavailable > 0 &&
      runsOfStepOn(Job, Task, S.m_Registration.m_Id) >= Step.m_MaxUnavailable;
  // Tasks are packed, lasting ones first of all beside other lasting ones, so
  // that other servers stay empty for large tasks and for moves. What fills
  // takes the cores that are left over, and goes where most are.
  std::int64_t Free = S.room().m_MilliCores;
  for (const auto &[Id, Run] : S.m_Runs) {
    if (Step.m_Fills && Run.m_Fills)
      Free -= Step.m_Need.m_MilliCores;
    else if (Step.m_Lasting && Run.m_Lasting && !Step.m_Fills)
      Free -= LastingBonus;
  }
  if (Step.m_Fills)
    Free = -Free;
  return {Crowded, S.m_OnProbation, isFar(S, Job, Task, Beside),
          S.m_FailuresInRow, Free};
}

ServerState *Scheduler::choose(LiveJob &Job, const ReadyTask &Task,
                               const PoolRoom &Room, const Company &Beside,
                               TimePoint Now) {
  Resources Need = chargeOf(Job.m_Spec.m_Steps[Task.m_Step]);
  if (!Need.fitsIn(Room.m_Most))
    return nullptr;
  const StepId Step = Job.stepId(Task);
  bool NeedsTicket = advicePolicy(Job) != nullptr;
  ServerState *Best = nullptr;
  Placement BestRating;
  for (ServerState *S : Room.m_Servers) {
    if (!canTake(*S, Job, Task, Need, Beside) ||
        (NeedsTicket && !m_Advice.ticket(Step, *S, Now)))
      continue;
    Placement Rating = rate(*S, Job, Task, Beside);
    if (!Best || Rating < BestRating) {
      Best = S;
      BestRating = Rating;
    }
  }
  return Best;
}

void Scheduler::describeRun(ActiveRun &Run, const StepSpec &Step) {
  Run.m_Charge = chargeOf(Step);
  Run.m_Lasting = Step.m_Lasting;
  Run.m_Fills = Step.m_Fills;
  Run.m_TailTarget = static_cast<double>(Step.m_TailTarget.count());
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
  Order.m_Saved = T.m_Saved;
  Order.m_Term = m_Options.m_Term;
  Order.m_OrderedAt = Now;
  Order.m_LeaseUntilMs =
      S.clockAtLeast(Now) +
      std::chrono::duration_cast<std::chrono::milliseconds>(m_Options.m_Lease)
          .count();
  ServerRegistry::noteLease(S, Now, m_Options.m_Lease);
  if (advicePolicy(Job))
    if (const std::string *Ticket = m_Advice.ticket(Job.stepId(Task), S, Now))
      Order.m_Ticket = *Ticket;
  ActiveRun Run;
  describeRun(Run, Step);
  if (T.m_Saved.empty())
    Run.m_WatchedSince = Run.m_PercentAt = Now;
  ServerRegistry::addRun(S, Order.m_Run, Run);
  T.m_Ready = false;
  T.m_LastRun = RunNumber;
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
