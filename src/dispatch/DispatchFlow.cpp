//===- DispatchFlow.cpp - The way of one request --------------------------===//

#include "dispatch/DispatchCore.h"
#include "routing/Ejection.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Waiting requests that pump looks past when they were tried at all instances
/// that are free.
constexpr std::size_t LookAhead = 4;
/// A try that reached the deadline speaks against the instance only if it took
/// this many times the learned time.
constexpr int TimeoutBlameFactor = 2;

std::size_t indexOf(UrgencyClass Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

void DispatchCore::place(TicketRecord &Record, TimePoint Now) {
  if (m_Draining)
    return giveUp(Record, {Reason::Draining, Duration(0)});
  AdmissionVerdict Verdict = judge(Record, Now);
  if (Verdict.m_Decision == Admission::Refuse) {
    bool MayFitElsewhere = Verdict.m_Reason != Reason::DeadlineTooShort ||
                           Verdict.m_RetryAfter > Duration(0);
    if (!MayFitElsewhere || !spill(Record, Now))
      giveUp(Record, {Verdict.m_Reason, Verdict.m_RetryAfter});
    return;
  }
  if (Verdict.m_Decision == Admission::AdmitForVictim)
    evictFor(Record);
  enqueue(Record);
}

AdmissionVerdict DispatchCore::judge(const TicketRecord &Record,
                                     TimePoint Now) const {
  const PoolEntry &Pool = *Record.m_Pool;
  static const std::vector<InstanceId> None;
  const auto &Tried = Record.m_History ? Record.m_History->m_Instances : None;
  if (!m_Instances.hasUntried(Pool.m_Name, Tried))
    return {Admission::Refuse, Reason::NoInstance, Duration(0)};
  PoolCapacity Capacity = m_Instances.capacity(Pool.m_Name);
  AdmissionView View;
  View.m_Class = Record.m_Class;
  View.m_Remaining = Record.m_Deadline - Now;
  View.m_ServiceTime = Record.m_Service->m_Time.typical(Now);
  View.m_SlotTime = Pool.m_SlotTime.mean(Now);
  View.m_Capacity = Capacity.m_Slots;
  View.m_InFlight = Pool.inFlight();
  View.m_QueueBound = queueBound(Capacity);
  View.m_Queued = Pool.m_Queue.depth();
  View.m_Ahead = Pool.m_Queue.ahead(Record.m_Class, Record.queueKey());
  View.m_HasVictim = Record.m_Class == UrgencyClass::Urgent &&
                     Pool.m_Queue.victimFor(Record.m_Class).has_value();
  return judgeAdmission(View);
}

std::size_t DispatchCore::queueBound(const PoolCapacity &Capacity) const {
  std::size_t Places =
      Capacity.m_Accepting * m_Document->m_Policy.m_QueuePerInstance;
  return std::max<std::size_t>(Places, 1);
}

void DispatchCore::enqueue(TicketRecord &Record) {
  bool NeedsClaim = Record.needsClaim() && !Record.m_ClaimGranted;
  Record.m_Phase = Phase::Queued;
  Record.m_Pool->m_Queue.insert(Record.m_Class, Record.queueKey(), !NeedsClaim);
  if (NeedsClaim)
    askForClaim(Record);
}

void DispatchCore::askForClaim(TicketRecord &Record) {
  Record.m_ClaimPending = true;
  addAction(ActionKind::Claim, Record);
}

void DispatchCore::evictFor(const TicketRecord &Record) {
  auto Victim = Record.m_Pool->m_Queue.victimFor(Record.m_Class);
  if (Victim)
    giveUp(*m_Tickets.find(Victim->m_Ticket),
           {Reason::ShedForUrgentWork, Duration(0)});
}

void DispatchCore::pumpAll(TimePoint Now) {
  for (auto &Entry : m_Pools)
    pump(*Entry.second, Now);
}

void DispatchCore::pump(PoolEntry &Pool, TimePoint Now) {
  if (m_Draining || Pool.m_Queue.depth() == 0)
    return;
  for (std::size_t C = 0; C < UrgencyClassCount; ++C)
    while (startNext(Pool, static_cast<UrgencyClass>(C), Now))
      ;
}

bool DispatchCore::startNext(PoolEntry &Pool, UrgencyClass Class,
                             TimePoint Now) {
  std::size_t Position = 0;
  for (; Position < LookAhead; ++Position) {
    auto Key = Pool.m_Queue.startable(Class, Position);
    if (!Key)
      return false;
    TicketRecord &Record = *m_Tickets.find(Key->m_Ticket);
    if (isHopeless(Record, Now)) {
      giveUp(Record, {Reason::DeadlinePassedInQueue, Duration(0)});
      return true;
    }
    if (!hasSlotFor(Pool, Class))
      return false;
    bool WasTried = Record.m_History != nullptr;
    if (startOrGiveUp(Record, Now))
      return true;
    if (!WasTried)
      return false;
  }
  return false;
}

bool DispatchCore::hasSlotFor(const PoolEntry &Pool, UrgencyClass Class) const {
  if (Class != UrgencyClass::Nightly)
    return true;
  std::size_t Slots = m_Instances.capacity(Pool.m_Name).m_Slots;
  return Pool.m_InFlight[indexOf(Class)] < slotsFor(Class, Slots);
}

bool DispatchCore::isHopeless(const TicketRecord &Record, TimePoint Now) const {
  const ServiceTime &Time = Record.m_Service->m_Time;
  const PoolEntry &Pool = *Record.m_Pool;
  // While many wait, a slot goes to a request that will surely be done.
  bool Crowded = Pool.m_Queue.depth() > Pool.inFlight();
  Duration Needed = Crowded ? Time.safe(Now) : Time.typical(Now);
  return Record.m_Deadline - Now <= Needed;
}

bool DispatchCore::startOrGiveUp(TicketRecord &Record, TimePoint Now) {
  TryRequest Request;
  Request.m_Tried = Record.m_History ? &Record.m_History->m_Instances : nullptr;
  Request.m_Harmless =
      Record.m_Repeatable && Record.m_Class != UrgencyClass::Urgent;
  Request.m_Now = Now;
  InstanceChoice Choice = m_Instances.choose(Record.m_Pool->m_Name, Request);
  if (!Choice.m_Instance && Choice.m_WorthWaiting)
    return false;
  leaveQueue(Record);
  if (Choice.m_Instance)
    startTry(Record, *Choice.m_Instance, Now);
  else if (!spill(Record, Now))
    giveUp(Record, {Reason::NoInstance, Duration(0)});
  return true;
}

void DispatchCore::startTry(TicketRecord &Record, RoutedInstance &Instance,
                            TimePoint Now) {
  Record.m_Phase = Phase::Trying;
  Record.m_Instance = &Instance;
  Record.m_TryStart = Now;
  Record.m_IsProbe = m_Instances.startTry(Instance);
  Record.history().m_Instances.push_back(Instance.m_Target.m_Id);
  ++Record.m_Pool->m_InFlight[indexOf(Record.m_Class)];
  ++m_Stats.m_Tries;
  m_Stats.m_Probes += Record.m_IsProbe ? 1 : 0;
  countTry(Record);
  Action &Start = addAction(ActionKind::StartTry, Record);
  Start.m_Instance = Instance.m_Target.m_Id;
  Start.m_Address = Instance.m_Target.m_Address;
  Start.m_Remaining = Record.m_Deadline - Now;
}

void DispatchCore::countTry(TicketRecord &Record) {
  if (++Record.history().m_Tries == 1)
    Record.m_Service->m_Budget.onFirstTry();
}

RemoteCapacity *DispatchCore::remoteFor(const TicketRecord &Record,
                                        PoolRoom *&Room) {
  RemoteCapacity *Best = nullptr;
  for (RemoteCapacity &Remote : m_Remote) {
    if (!Remote.m_Reachable || Remote.m_DataCentre == m_DataCentre)
      continue;
    if (Record.m_History &&
        std::count(Record.m_History->m_DataCentres.begin(),
                   Record.m_History->m_DataCentres.end(), Remote.m_DataCentre))
      continue;
    for (PoolRoom &Pool : Remote.m_Pools) {
      if (Pool.m_Pool != Record.m_Pool->m_Name || Pool.m_Room == 0)
        continue;
      if (Best && Room->m_Room >= Pool.m_Room)
        continue;
      Best = &Remote;
      Room = &Pool;
    }
  }
  return Best;
}

bool DispatchCore::spill(TicketRecord &Record, TimePoint Now) {
  if (Record.m_Forwarded || m_Draining || Record.m_Deadline <= Now)
    return false;
  PoolRoom *Room = nullptr;
  RemoteCapacity *Remote = remoteFor(Record, Room);
  if (!Remote)
    return false;
  if (Record.needsClaim() && !Record.m_ClaimGranted) {
    Record.m_Phase = Phase::ClaimingForSpill;
    askForClaim(Record);
    return true;
  }
  // Until the next report, the room is what the last one said less own work.
  --Room->m_Room;
  forward(Record, Remote->m_DataCentre, Now);
  return true;
}

void DispatchCore::forward(TicketRecord &Record, const DataCentreName &To,
                           TimePoint Now) {
  Record.m_Phase = Phase::Forwarding;
  Record.m_TryStart = Now;
  Record.history().m_DataCentres.push_back(To);
  ++m_Stats.m_Forwards;
  countTry(Record);
  Action &Forward = addAction(ActionKind::Forward, Record);
  Forward.m_DataCentre = To;
  Forward.m_Remaining = Record.m_Deadline - Now;
}

void DispatchCore::forgetRemote(const DataCentreName &Name) {
  for (RemoteCapacity &Remote : m_Remote)
    if (Remote.m_DataCentre == Name)
      Remote.m_Reachable = false;
}

void DispatchCore::learn(TicketRecord &Record, TryResult Result,
                         TimePoint Now) {
  RoutedInstance &Instance = *Record.m_Instance;
  Duration Latency = Now - Record.m_TryStart;
  ServiceTime &Time = Record.m_Service->m_Time;
  TryObservation Seen;
  Seen.m_Now = Now;
  Seen.m_Refused = Result == TryResult::NotRun;
  // A failure says that a slot was taken for at least so long.
  bool IsLowerBound = Result == TryResult::Unknown && Latency > Time.mean(Now);
  if (Result == TryResult::Answered || IsLowerBound) {
    Time.add(Latency, Now);
    Record.m_Pool->m_SlotTime.add(Latency, Now);
    Seen.m_Latency = Latency;
    Seen.m_Baseline = Time.baseline();
  }
  m_Instances.observe(Instance, Seen);
  if (Result == TryResult::Answered)
    recordSuccess(Instance);
  else
    blame(Record, Instance, Now);
}

void DispatchCore::blame(TicketRecord &Record, RoutedInstance &Instance,
                         TimePoint Now) {
  const std::vector<InstanceId> &Tried = Record.history().m_Instances;
  constexpr std::size_t SecondFailure = 2;
  if (Tried.size() == SecondFailure)
    if (RoutedInstance *First = m_Instances.find(Tried.front()))
      retractFailure(*First);
  if (m_Instances.onFailure(Instance, Tried.size() >= SecondFailure, Now))
    ++m_Stats.m_Ejections;
}

void DispatchCore::leaveTry(TicketRecord &Record) {
  if (Record.m_Phase == Phase::Trying) {
    --Record.m_Pool->m_InFlight[indexOf(Record.m_Class)];
    m_Instances.endTry(*Record.m_Instance, Record.m_IsProbe);
  }
  Record.m_Instance = nullptr;
  Record.m_IsProbe = false;
  Record.m_Phase = Phase::Queued;
}

void DispatchCore::recordTry(TicketRecord &Record, TryResult Result, Reason Why,
                             Answer Whole, const InstanceId &Instance) {
  TryHistory &Past = Record.history();
  if (Result == TryResult::Unknown)
    Past.m_LastUnknown =
        Why == Reason::None ? Reason::BackendConnectionLost : Why;
  if (Result != TryResult::AnsweredError)
    return;
  Past.m_ErrorAnswer = std::make_unique<Answer>(std::move(Whole));
  Past.m_ErrorInstance = Instance;
}

void DispatchCore::retryOrFinish(TicketRecord &Record, bool MayRetry,
                                 GiveUp Cause, TimePoint Now) {
  if (!MayRetry)
    return giveUp(Record, Cause);
  if (m_Draining)
    return giveUp(Record, {Reason::Draining, Cause.m_RetryAfter});
  if (Record.tries() >= m_Document->m_Policy.m_MaxAttempts)
    return giveUp(Record, {Reason::AttemptsSpent, Cause.m_RetryAfter});
  if (!Record.m_Service->m_Budget.take(Now))
    return giveUp(Record, {Reason::RetryBudgetSpent, Cause.m_RetryAfter});
  ++m_Stats.m_Retries[static_cast<std::size_t>(Cause.m_Reason)];
  place(Record, Now);
}

void DispatchCore::expire(TicketRecord &Record, TimePoint Now) {
  if (Record.isWaiting())
    return giveUp(Record, {Reason::DeadlinePassedInQueue, Duration(0)});
  if (Record.m_Phase == Phase::Trying)
    learnFromTimeout(Record, Now);
  abort(Record);
  TryHistory &Past = Record.history();
  Past.m_LastUnknown = Reason::BackendTimeout;
  giveUp(Record, {Reason::BackendTimeout, Duration(0)});
}

void DispatchCore::learnFromTimeout(TicketRecord &Record, TimePoint Now) {
  ServiceTime &Time = Record.m_Service->m_Time;
  Duration Taken = Now - Record.m_TryStart;
  bool IsSlow = Taken > TimeoutBlameFactor * Time.mean(Now);
  if (Taken > Time.mean(Now)) {
    Time.add(Taken, Now);
    Record.m_Pool->m_SlotTime.add(Taken, Now);
  }
  if (IsSlow)
    blame(Record, *Record.m_Instance, Now);
}

void DispatchCore::abort(TicketRecord &Record) {
  Action &Abort = addAction(ActionKind::AbortTry, Record);
  if (Record.m_Instance)
    Abort.m_Instance = Record.m_Instance->m_Target.m_Id;
  else
    Abort.m_DataCentre = Record.history().m_DataCentres.back();
  leaveTry(Record);
}

void DispatchCore::giveUp(TicketRecord &Record, const GiveUp &Why) {
  leaveQueue(Record);
  finish(Record, closingOutcome(Record, Why));
}

void DispatchCore::leaveQueue(TicketRecord &Record) {
  if (Record.m_Pool)
    Record.m_Pool->m_Queue.remove(Record.m_Class, Record.queueKey());
}

void DispatchCore::finish(TicketRecord &Record, Outcome Out) {
  std::size_t Class = indexOf(Record.m_Class);
  auto Why = static_cast<std::size_t>(Out.m_Reason);
  if (Out.m_Kind == OutcomeKind::Answer)
    ++m_Stats.m_Answered[Class];
  if (Out.m_Kind == OutcomeKind::Unknown)
    ++m_Stats.m_Unknown[Why];
  if (Out.m_Kind == OutcomeKind::NotRun) {
    ++m_Stats.m_NotRun[Why];
    ++m_Stats.m_Refused[Class];
  }
  addAction(ActionKind::Finish, Record).m_Outcome = std::move(Out);
  m_Tickets.remove(Record.m_Ticket);
}

Action &DispatchCore::addAction(ActionKind Kind, const TicketRecord &Record) {
  Action &Added = m_Actions.emplace_back();
  Added.m_Kind = Kind;
  Added.m_Ticket = Record.m_Ticket;
  Added.m_Try = Record.tries();
  return Added;
}

} // namespace pollenspool
