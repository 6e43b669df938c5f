//===- DispatchFlow.cpp - Life cycle of a request in the dispatcher -------===//

#include "dispatch/DispatchCore.h"
#include "routing/Ejection.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Maximum number of queued requests of one class that startNext() examines. It
/// examines the next one only if the one before has been tried at every
/// instance that has a free slot.
constexpr std::size_t MaxQueueLookAhead = 4;
/// A try that reached the deadline counts as a failure of the instance only if
/// it took longer than this multiple of the mean service time.
constexpr int SlowTryFactor = 2;

std::size_t indexOf(UrgencyClass Class) {
  return static_cast<std::size_t>(Class);
}

} // namespace

void DispatchCore::admit(TicketRecord &Record, TimePoint Now) {
  if (m_Draining)
    return abandon(Record, {Reason::Draining, Duration(0)});
  AdmissionDecision Decision = evaluateAdmission(Record, Now);
  if (Decision.m_Decision == Admission::Refuse) {
    bool CanRunElsewhere = Decision.m_Reason != Reason::DeadlineTooShort ||
                           Decision.m_RetryAfter > Duration(0);
    if (!CanRunElsewhere || !forwardIfPossible(Record, Now))
      abandon(Record, {Decision.m_Reason, Decision.m_RetryAfter});
    return;
  }
  if (Decision.m_Decision == Admission::AdmitWithEviction)
    evictFor(Record);
  enqueue(Record);
}

AdmissionDecision DispatchCore::evaluateAdmission(const TicketRecord &Record,
                                                  TimePoint Now) const {
  const PoolState &Pool = *Record.m_Pool;
  static const std::vector<InstanceId> None;
  const auto &Tried = Record.m_History ? Record.m_History->m_Instances : None;
  if (!m_Instances.hasUntried(Pool.m_Name, Tried))
    return {Admission::Refuse, Reason::NoInstance, Duration(0)};
  PoolCapacity Capacity = m_Instances.capacity(Pool.m_Name);
  AdmissionInput Input;
  Input.m_Class = Record.m_Class;
  Input.m_Remaining = Record.m_Deadline - Now;
  Input.m_ServiceTime = Record.m_Service->m_Time.typical(Now);
  Input.m_SlotTime = Pool.m_SlotTime.mean(Now);
  Input.m_Capacity = Capacity.m_Slots;
  Input.m_InFlight = Pool.inFlight();
  Input.m_QueueLimit = poolQueueLimit(Capacity);
  Input.m_Queued = Pool.m_Queue.depth();
  Input.m_Ahead = Pool.m_Queue.ahead(Record.m_Class, Record.queueKey());
  Input.m_CanEvict = Record.m_Class == UrgencyClass::Urgent &&
                     Pool.m_Queue.evictionCandidate(Record.m_Class).has_value();
  return decideAdmission(Input);
}

std::size_t DispatchCore::poolQueueLimit(const PoolCapacity &Capacity) const {
  std::size_t Limit =
      Capacity.m_Accepting * m_Document->m_Policy.m_QueuePerInstance;
  return std::max<std::size_t>(Limit, 1);
}

void DispatchCore::enqueue(TicketRecord &Record) {
  bool NeedsClaim = Record.needsClaim() && !Record.m_ClaimGranted;
  Record.m_Phase = Phase::Queued;
  Record.m_Pool->m_Queue.insert(Record.m_Class, Record.queueKey(), !NeedsClaim);
  if (NeedsClaim)
    requestClaim(Record);
}

void DispatchCore::requestClaim(TicketRecord &Record) {
  Record.m_ClaimPending = true;
  addAction(ActionKind::Claim, Record);
}

void DispatchCore::evictFor(const TicketRecord &Record) {
  auto Candidate = Record.m_Pool->m_Queue.evictionCandidate(Record.m_Class);
  if (Candidate)
    abandon(*m_Tickets.find(Candidate->m_Ticket),
            {Reason::ShedForUrgentWork, Duration(0)});
}

void DispatchCore::startQueuedInAllPools(TimePoint Now) {
  for (auto &Entry : m_Pools)
    startQueued(*Entry.second, Now);
}

void DispatchCore::startQueued(PoolState &Pool, TimePoint Now) {
  if (m_Draining || Pool.m_Queue.depth() == 0)
    return;
  for (std::size_t C = 0; C < UrgencyClassCount; ++C)
    while (startNext(Pool, static_cast<UrgencyClass>(C), Now))
      ;
}

bool DispatchCore::startNext(PoolState &Pool, UrgencyClass Class,
                             TimePoint Now) {
  std::size_t Position = 0;
  for (; Position < MaxQueueLookAhead; ++Position) {
    auto Key = Pool.m_Queue.startable(Class, Position);
    if (!Key)
      return false;
    TicketRecord &Record = *m_Tickets.find(Key->m_Ticket);
    if (cannotMeetDeadline(Record, Now)) {
      abandon(Record, {Reason::DeadlinePassedInQueue, Duration(0)});
      return true;
    }
    if (!hasSlotFor(Pool, Class))
      return false;
    bool WasTried = Record.m_History != nullptr;
    if (startOrAbandon(Record, Now))
      return true;
    if (!WasTried)
      return false;
  }
  return false;
}

bool DispatchCore::hasSlotFor(const PoolState &Pool, UrgencyClass Class) const {
  if (Class != UrgencyClass::Nightly)
    return true;
  std::size_t Slots = m_Instances.capacity(Pool.m_Name).m_Slots;
  return Pool.m_InFlight[indexOf(Class)] < classSlotLimit(Class, Slots);
}

bool DispatchCore::cannotMeetDeadline(const TicketRecord &Record,
                                      TimePoint Now) const {
  const ServiceTime &Time = Record.m_Service->m_Time;
  const PoolState &Pool = *Record.m_Pool;
  // While more requests are queued than in flight, slots are given only to
  // requests that are almost certain to meet their deadline.
  bool QueueIsLong = Pool.m_Queue.depth() > Pool.inFlight();
  Duration Needed = QueueIsLong ? Time.conservative(Now) : Time.typical(Now);
  return Record.m_Deadline - Now <= Needed;
}

bool DispatchCore::startOrAbandon(TicketRecord &Record, TimePoint Now) {
  TryRequest Request;
  Request.m_Tried = Record.m_History ? &Record.m_History->m_Instances : nullptr;
  Request.m_SafeAsProbe =
      Record.m_Repeatable && Record.m_Class != UrgencyClass::Urgent;
  Request.m_Now = Now;
  InstanceChoice Choice = m_Instances.choose(Record.m_Pool->m_Name, Request);
  if (!Choice.m_Instance && Choice.m_HasUntried)
    return false;
  removeFromQueue(Record);
  if (Choice.m_Instance)
    startTry(Record, *Choice.m_Instance, Now);
  else if (!forwardIfPossible(Record, Now))
    abandon(Record, {Reason::NoInstance, Duration(0)});
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

RemoteCapacity *DispatchCore::findRemote(const TicketRecord &Record,
                                         PoolFreeCapacity *&Target) {
  RemoteCapacity *Best = nullptr;
  for (RemoteCapacity &Remote : m_Remote) {
    if (!Remote.m_Reachable || Remote.m_DataCentre == m_DataCentre)
      continue;
    if (Record.m_History &&
        std::count(Record.m_History->m_DataCentres.begin(),
                   Record.m_History->m_DataCentres.end(), Remote.m_DataCentre))
      continue;
    for (PoolFreeCapacity &Pool : Remote.m_Pools) {
      if (Pool.m_Pool != Record.m_Pool->m_Name || Pool.m_FreeSlots == 0)
        continue;
      if (Best && Target->m_FreeSlots >= Pool.m_FreeSlots)
        continue;
      Best = &Remote;
      Target = &Pool;
    }
  }
  return Best;
}

bool DispatchCore::forwardIfPossible(TicketRecord &Record, TimePoint Now) {
  if (Record.m_Forwarded || m_Draining || Record.m_Deadline <= Now)
    return false;
  PoolFreeCapacity *Target = nullptr;
  RemoteCapacity *Remote = findRemote(Record, Target);
  if (!Remote)
    return false;
  if (Record.needsClaim() && !Record.m_ClaimGranted) {
    Record.m_Phase = Phase::ClaimingForForward;
    requestClaim(Record);
    return true;
  }
  // Until the next report, the free capacity is that of the last report less
  // the requests that this entry instance has forwarded.
  --Target->m_FreeSlots;
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

void DispatchCore::markUnreachable(const DataCentreName &Name) {
  for (RemoteCapacity &Remote : m_Remote)
    if (Remote.m_DataCentre == Name)
      Remote.m_Reachable = false;
}

void DispatchCore::updateEstimates(TicketRecord &Record, TryResult Result,
                                   TimePoint Now) {
  RoutedInstance &Instance = *Record.m_Instance;
  Duration Latency = Now - Record.m_TryStart;
  ServiceTime &Time = Record.m_Service->m_Time;
  TryObservation Observation;
  Observation.m_Now = Now;
  Observation.m_Refused = Result == TryResult::NotRun;
  // A try that failed occupied a slot for at least this time.
  bool IsLowerBound = Result == TryResult::Unknown && Latency > Time.mean(Now);
  if (Result == TryResult::Answered || IsLowerBound) {
    Time.add(Latency, Now);
    Record.m_Pool->m_SlotTime.add(Latency, Now);
    Observation.m_Latency = Latency;
    Observation.m_Baseline = Time.baseline();
  }
  m_Instances.observe(Instance, Observation);
  if (Result == TryResult::Answered)
    recordSuccess(Instance);
  else
    recordInstanceFailure(Record, Instance, Now);
}

void DispatchCore::recordInstanceFailure(TicketRecord &Record,
                                         RoutedInstance &Instance,
                                         TimePoint Now) {
  const std::vector<InstanceId> &Tried = Record.history().m_Instances;
  constexpr std::size_t SecondFailure = 2;
  if (Tried.size() == SecondFailure)
    if (RoutedInstance *First = m_Instances.find(Tried.front()))
      retractFailure(*First);
  if (m_Instances.onFailure(Instance, Tried.size() >= SecondFailure, Now))
    ++m_Stats.m_Ejections;
}

void DispatchCore::releaseTry(TicketRecord &Record) {
  if (Record.m_Phase == Phase::Trying) {
    --Record.m_Pool->m_InFlight[indexOf(Record.m_Class)];
    m_Instances.endTry(*Record.m_Instance, Record.m_IsProbe);
  }
  Record.m_Instance = nullptr;
  Record.m_IsProbe = false;
  Record.m_Phase = Phase::Queued;
}

void DispatchCore::addToHistory(TicketRecord &Record, TryResult Result,
                                Reason Why, Answer ServerAnswer,
                                const InstanceId &Instance) {
  TryHistory &History = Record.history();
  if (Result == TryResult::Unknown)
    History.m_LastUnknown =
        Why == Reason::None ? Reason::BackendConnectionLost : Why;
  if (Result != TryResult::AnsweredWithError)
    return;
  History.m_ErrorAnswer = std::make_unique<Answer>(std::move(ServerAnswer));
  History.m_ErrorInstance = Instance;
}

void DispatchCore::retryOrFinish(TicketRecord &Record, bool MayRetry,
                                 AbandonCause Cause, TimePoint Now) {
  if (!MayRetry)
    return abandon(Record, Cause);
  if (m_Draining)
    return abandon(Record, {Reason::Draining, Cause.m_RetryAfter});
  if (Record.tries() >= m_Document->m_Policy.m_MaxAttempts)
    return abandon(Record, {Reason::AttemptsSpent, Cause.m_RetryAfter});
  if (!Record.m_Service->m_Budget.take(Now))
    return abandon(Record, {Reason::RetryBudgetSpent, Cause.m_RetryAfter});
  ++m_Stats.m_Retries[static_cast<std::size_t>(Cause.m_Reason)];
  admit(Record, Now);
}

void DispatchCore::expire(TicketRecord &Record, TimePoint Now) {
  if (Record.isWaiting())
    return abandon(Record, {Reason::DeadlinePassedInQueue, Duration(0)});
  if (Record.m_Phase == Phase::Trying)
    updateEstimatesOnTimeout(Record, Now);
  abort(Record);
  TryHistory &History = Record.history();
  History.m_LastUnknown = Reason::BackendTimeout;
  abandon(Record, {Reason::BackendTimeout, Duration(0)});
}

void DispatchCore::updateEstimatesOnTimeout(TicketRecord &Record,
                                            TimePoint Now) {
  ServiceTime &Time = Record.m_Service->m_Time;
  Duration Taken = Now - Record.m_TryStart;
  bool IsSlowTry = Taken > SlowTryFactor * Time.mean(Now);
  if (Taken > Time.mean(Now)) {
    Time.add(Taken, Now);
    Record.m_Pool->m_SlotTime.add(Taken, Now);
  }
  if (IsSlowTry)
    recordInstanceFailure(Record, *Record.m_Instance, Now);
}

void DispatchCore::abort(TicketRecord &Record) {
  Action &Abort = addAction(ActionKind::AbortTry, Record);
  if (Record.m_Instance)
    Abort.m_Instance = Record.m_Instance->m_Target.m_Id;
  else
    Abort.m_DataCentre = Record.history().m_DataCentres.back();
  releaseTry(Record);
}

void DispatchCore::abandon(TicketRecord &Record, const AbandonCause &Why) {
  removeFromQueue(Record);
  finish(Record, finalOutcome(Record, Why));
}

void DispatchCore::removeFromQueue(TicketRecord &Record) {
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
