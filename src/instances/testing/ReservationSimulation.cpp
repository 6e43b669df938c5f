//===- ReservationSimulation.cpp - A planner beside faults ----------------===//

#include "instances/testing/ReservationSimulation.h"
#include <stdexcept>

namespace pollenspool {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration StepTime = milliseconds(50);
constexpr Duration PlanInterval = milliseconds(100);
constexpr Duration ListInterval = seconds(1);
constexpr Duration MoveTime = milliseconds(1500);
constexpr Duration MaintenanceTime = seconds(2);
constexpr Duration CrashTime = seconds(3);
/// How long a server that is up may be reserved before its instance is ordered:
/// a drain of 4 s, and what the instances before it in the wave take.
constexpr Duration MaxReservedTime = seconds(15);
constexpr std::size_t MachineCount = 12;
constexpr std::size_t MaxOrders = 3;
const char *const PoolNames[] = {"desk", "hall", "reserve"};
constexpr char WaveName[] = "1";

bool isSpare(const InstanceListing &L) { return L.m_Pool.m_Text == "reserve"; }

} // namespace

std::string findUnfoundedReservation(Scheduler &Core,
                                     const FleetPlanner &Planner) {
  for (const auto &[Id, S] : Core.servers().all())
    if (S.m_Reserved == Planner.reservationReason(Id).empty())
      return Id.m_Text + (S.m_Reserved
                              ? " is reserved without a reason"
                              : " takes tasks despite: " +
                                    std::string(Planner.reservationReason(Id)));
  return {};
}

ReservationSimulation::ReservationSimulation(std::uint64_t Seed)
    : m_Random(Seed) {
  for (std::size_t N = 0; N < MachineCount; ++N) {
    Machine M;
    M.m_Listing.m_Id = InstanceId("i" + std::to_string(N));
    M.m_Listing.m_Pool = PoolName(PoolNames[N % 3]);
    M.m_Listing.m_Capacity = {4000, 64000, 0};
    if (!isSpare(M.m_Listing))
      M.m_Listing.m_Server = ServerId("s" + std::to_string(m_NextServer++));
    m_Machines.push_back(M);
  }
  beginTerm();
}

milliseconds ReservationSimulation::wall() const {
  return std::chrono::duration_cast<milliseconds>(m_Now.time_since_epoch());
}

void ReservationSimulation::beginTerm() {
  SchedulerOptions Options;
  Options.m_Term = ++m_Term;
  Options.m_TermVersion = ++m_Version;
  m_Starts.clear();
  m_Stops.clear();
  m_Polls.clear();
  m_Sent.clear();
  m_ReservedSince.clear();
  m_Planner.reset();
  m_Writer.reset();
  m_Core = Scheduler::create(Options, *this, m_Now);
  m_Writer = ProgressWriter::create(
      *m_Core, {{"lead", "term", "lead"}, Options.m_TermVersion});
  std::vector<QueuePolicy> Queues;
  std::vector<PoolPolicy> Pools;
  for (const char *Name : PoolNames) {
    Pools.push_back(
        {PoolName(Name), PoolName(Name) == PoolName("reserve"), true});
    QueuePolicy Q;
    Q.m_Name = QueueName(Name);
    Q.m_Pool = PoolName(Name);
    Q.m_Attempts = 3;
    Q.m_Slack = milliseconds(600);
    Queues.push_back(Q);
  }
  m_Core->onConfig(ServingConfig::create(1, Queues, Pools));
  m_Planner = FleetPlanner::create({}, *m_Core);
  for (const auto &[Id, Spec] : m_Jobs)
    m_Core->onJob(Spec, {}, m_Version, m_Version, m_Now, wall());
  for (const Machine &M : m_Machines)
    if (M.isUp() && !isSpare(M.m_Listing))
      registerServer(M);
  rewriteWave(false);
}

ServerRegistration
ReservationSimulation::registrationOf(const Machine &M) const {
  ServerRegistration R;
  R.m_Id = M.m_Listing.m_Server;
  R.m_Instance = M.m_Listing.m_Id;
  R.m_Pool = M.m_Listing.m_Pool;
  R.m_Address = R.m_Id.m_Text;
  R.m_Capacity = M.m_Listing.m_Capacity;
  R.m_StartTimeMs = M.m_StartTimeMs;
  return R;
}

void ReservationSimulation::registerServer(const Machine &M) {
  m_Core->onServer(registrationOf(M), m_Now);
}

void ReservationSimulation::rewriteWave(bool IsEmpty) {
  WaveRequest Wave{WaveId(WaveName), {}, seconds(60), 2};
  for (const Machine &M : m_Machines)
    if (!IsEmpty && chance(30))
      Wave.m_Instances.push_back(M.m_Listing.m_Id);
  WaveProgress Progress;
  Progress.m_SeenAt = wall();
  if (m_Planner->hasWave(Wave.m_Id))
    m_Planner->onWaveRewritten(Wave);
  else
    m_Planner->onWave(Wave, Progress, m_Term > 1);
}

void ReservationSimulation::shutDown(Machine &M, InstanceCondition Condition,
                                     Duration Away) {
  M.m_Listing.m_Condition = Condition;
  M.m_ReturnsAt = m_Now + Away;
  M.m_Runs.clear();
  M.m_Ends.clear();
  M.m_LastEnd = 0;
}

InstanceOrderResult ReservationSimulation::execute(const InstanceOrder &Order) {
  for (Machine &M : m_Machines) {
    if (M.m_Listing.m_Id != Order.m_Instance)
      continue;
    if (!M.isUp())
      return InstanceOrderResult::Busy;
    if (!Order.isMove()) {
      shutDown(M, InstanceCondition::Maintenance, MaintenanceTime);
    } else if (M.m_Listing.m_Pool != Order.m_To) {
      M.m_Listing.m_Pool = Order.m_To;
      shutDown(M, InstanceCondition::Moving, MoveTime);
    }
    return InstanceOrderResult::Done;
  }
  return InstanceOrderResult::Invalid;
}

void ReservationSimulation::returnInstances() {
  for (Machine &M : m_Machines) {
    if (M.isUp() || m_Now < M.m_ReturnsAt)
      continue;
    M.m_Listing.m_Condition = InstanceCondition::Up;
    ++M.m_StartTimeMs;
    const ServerId Before = M.m_Listing.m_Server;
    const bool KeepsId = !Before.m_Text.empty() && chance(50);
    if (!KeepsId) {
      m_Core->onServerUnregistered(Before, m_Now);
      M.m_Listing.m_Server =
          isSpare(M.m_Listing) ? ServerId()
                               : ServerId("s" + std::to_string(m_NextServer++));
    }
    if (isSpare(M.m_Listing))
      M.m_Listing.m_Server = ServerId();
    else
      registerServer(M);
  }
}

void ReservationSimulation::endRuns(Machine &M) {
  for (auto It = M.m_Runs.begin(); It != M.m_Runs.end();) {
    if (m_Now < It->second) {
      ++It;
      continue;
    }
    M.m_Ends.push_back({++M.m_LastEnd, It->first, EndKind::Done, ""});
    It = M.m_Runs.erase(It);
  }
}

ReservationSimulation::Machine *
ReservationSimulation::findUp(const ServerAddress &Address) {
  for (Machine &M : m_Machines)
    if (M.isUp() && M.m_Listing.m_Server == Address.m_Id)
      return &M;
  return nullptr;
}

void ReservationSimulation::answerOrders() {
  for (const StartOrder &Order : std::exchange(m_Starts, {})) {
    Machine *M = findUp(Order.m_Server);
    if (M)
      M->m_Runs[Order.m_Run] = m_Now + milliseconds(300 + m_Random() % 1500);
    m_Core->onStartResult(
        Order, {M ? OrderResult::Done : OrderResult::Unknown, wall().count()},
        m_Now);
  }
  for (const StopOrder &Order : std::exchange(m_Stops, {})) {
    Machine *M = findUp(Order.m_Server);
    if (M && M->m_Runs.erase(Order.m_Run))
      M->m_Ends.push_back({++M->m_LastEnd, Order.m_Run, EndKind::Stopped, ""});
    m_Core->onStopResult(Order, M ? OrderResult::Done : OrderResult::Unknown,
                         m_Now);
  }
  for (const PollOrder &Order : std::exchange(m_Polls, {})) {
    Machine *M = findUp(Order.m_Server);
    if (!M) {
      m_Core->onPollFailed(Order, OrderResult::Unknown, m_Now);
      continue;
    }
    PollReply Reply;
    Reply.m_ClockMs = wall().count();
    Reply.m_StartTimeMs = M->m_StartTimeMs;
    for (const auto &[Id, End] : M->m_Runs) {
      Reply.m_Running.emplace_back();
      Reply.m_Running.back().m_Run = Id;
    }
    Reply.m_Ended = M->m_Ends;
    m_Core->onPollReply(Order, Reply, m_Now);
  }
  for (const SentOrder &Sent : std::exchange(m_Sent, {}))
    if (m_Now < Sent.m_ExecutedAt)
      m_Sent.push_back(Sent);
    else if (Sent.m_IsLost)
      execute(Sent.m_Order);
    else
      m_Planner->onOrderResult(Sent.m_Order, execute(Sent.m_Order), m_Now);
}

void ReservationSimulation::plan(bool WithFaults) {
  if (m_Now < m_NextPlanAt)
    return;
  m_NextPlanAt = m_Now + PlanInterval;
  auto Orders = m_Planner->plan(m_Now, wall(), MaxOrders);
  std::string Unfounded = findUnfoundedReservation(*m_Core, *m_Planner);
  if (!Unfounded.empty())
    throw std::runtime_error(Unfounded);
  for (const InstanceOrder &Order : Orders) {
    ++m_Orders;
    // Carried out late, without an answer, or not at all.
    const bool IsLost = WithFaults && chance(25);
    if (!IsLost || chance(50))
      m_Sent.push_back(
          {Order, m_Now + milliseconds(m_Random() % 1200), IsLost});
    if (IsLost)
      m_Planner->onOrderResult(Order, InstanceOrderResult::Unknown, m_Now);
  }
  for (const InstanceOrder &Order : Orders)
    m_ReservedSince.erase(Order.m_Server);
  checkReservedTimes();
}

void ReservationSimulation::checkReservedTimes() {
  for (const auto &[Id, S] : m_Core->servers().all()) {
    m_Reserved += S.m_Reserved;
    if (!S.m_Reserved || !findUp(S.address()))
      m_ReservedSince.erase(Id);
    else if (m_ReservedSince.emplace(Id, m_Now).first->second +
                 MaxReservedTime <
             m_Now)
      throw std::runtime_error(Id.m_Text +
                               " is up and reserved, and nothing is ordered");
  }
}

void ReservationSimulation::list(bool WithFaults) {
  if (m_Now < m_NextListAt)
    return;
  m_NextListAt = m_Now + ListInterval;
  std::vector<InstanceListing> List;
  for (const Machine &M : m_Machines)
    if (!WithFaults || !chance(5))
      List.push_back(M.m_Listing);
  m_Core->onInstances(std::move(List), m_Now, m_Now);
  m_Planner->onInstances(m_Now);
}

void ReservationSimulation::record() {
  while (auto Next = m_Writer->next(m_Now, wall())) {
    CommitOutcome Outcome;
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_Version;
    m_Writer->onResult(Next->m_Number, Outcome, m_Now);
    for (const RowAddress &At : Next->m_Txn.m_Deletes)
      if (m_Jobs.erase(At.m_Key))
        m_Core->onJobEnded(JobId(At.m_Key));
  }
}

void ReservationSimulation::submit(const PoolName &Pool) {
  JobSpec Job;
  Job.m_Id = JobId("j" + std::to_string(m_NextJob++));
  Job.m_Queue = QueueName(Pool.m_Text);
  Job.m_Pool = Pool;
  StepSpec Step;
  Step.m_Count = 1 + m_Random() % 8;
  Step.m_RequiredResources = {1000, 1000, 0};
  Step.m_Estimate = seconds(1);
  Job.m_Steps = {Step};
  Job.m_AcceptedAt = wall();
  m_Jobs[Job.m_Id.m_Text] = Job;
  ++m_Version;
  m_Core->onJob(Job, {}, m_Version, m_Version, m_Now, wall());
}

void ReservationSimulation::injectFault() {
  Machine &M = anyMachine();
  switch (m_Random() % 10) {
  case 0:
    if (chance(20))
      beginTerm();
    return;
  case 1:
  case 2:
    if (M.isUp())
      shutDown(M, InstanceCondition::Down, CrashTime);
    return;
  case 3:
  case 4:
    if (M.isUp())
      shutDown(M, InstanceCondition::Down, milliseconds(100));
    return;
  case 5:
    if (!M.m_Listing.m_Server.m_Text.empty())
      registerServer(M);
    return;
  case 6:
    m_Core->onServerUnregistered(M.m_Listing.m_Server, m_Now);
    return;
  case 7:
    return rewriteWave(chance(30));
  default:
    if (!m_Core->servers().find(M.m_Listing.m_Server) && M.isUp() &&
        !isSpare(M.m_Listing))
      registerServer(M);
  }
}

void ReservationSimulation::step(bool WithFaults) {
  m_Now += StepTime;
  returnInstances();
  for (Machine &M : m_Machines)
    endRuns(M);
  answerOrders();
  if (WithFaults && chance(5))
    injectFault();
  // The demand of the pools peaks in turns.
  const bool IsFirst = wall().count() / 8000 % 2 == 0;
  if (WithFaults && chance(25))
    submit(PoolName(PoolNames[IsFirst == chance(90) ? 0 : 1]));
  m_Core->tick(m_Now, wall(), {});
  list(WithFaults);
  plan(WithFaults);
  record();
}

void ReservationSimulation::run(Duration Length, bool WithFaults) {
  if (!WithFaults) {
    rewriteWave(true);
    // The feed repeats what is registered.
    for (const Machine &M : m_Machines)
      if (M.isUp() && !isSpare(M.m_Listing))
        registerServer(M);
  }
  for (TimePoint End = m_Now + Length; m_Now < End;)
    step(WithFaults);
}

std::string ReservationSimulation::findReserved() {
  for (const auto &[Id, S] : m_Core->servers().all())
    if (S.m_Registered && S.m_Reserved && findUp(S.address()))
      return Id.m_Text + ": " + std::string(m_Planner->reservationReason(Id));
  return {};
}

std::string ReservationSimulation::summary() const {
  return std::to_string(m_Orders) + " orders, " + std::to_string(m_Reserved) +
         " reservations seen, " + std::to_string(m_NextJob) +
         " jobs of which " + std::to_string(m_Jobs.size()) + " are left, " +
         std::to_string(m_Term) + " terms";
}

} // namespace pollenspool
