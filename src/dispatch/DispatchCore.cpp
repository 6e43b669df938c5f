//===- DispatchCore.cpp - Events and state of the dispatcher --------------===//

#include "dispatch/DispatchCore.h"
#include "retry/RetryRules.h"
#include <numeric>

namespace pollenspool {

std::size_t PoolState::inFlight() const {
  return std::accumulate(m_InFlight.begin(), m_InFlight.end(), std::size_t(0));
}

DispatchCore::DispatchCore(const DispatcherSettings &Settings,
                           std::unique_ptr<RoutingStrategy> Strategy)
    : m_DataCentre(Settings.m_DataCentre),
      m_EntryInstances(Settings.m_EntryInstances),
      m_Document(std::make_shared<Document>()),
      m_Instances(std::move(Strategy), Settings.m_Seed) {}

void DispatchCore::setDocument(std::shared_ptr<const Document> Doc) {
  m_Document = std::move(Doc);
  for (auto &Entry : m_Services)
    Entry.second->m_InDocument = false;
  for (const Service &S : m_Document->m_Services) {
    std::unique_ptr<ServiceState> &Entry = m_Services[S.m_Name];
    if (!Entry)
      Entry = std::make_unique<ServiceState>();
    Entry->m_InDocument = true;
    Entry->m_Pool = &poolState(S.m_Pool);
    Entry->m_Budget.setShare(m_Document->m_Policy.m_RetryBudget);
  }
  m_Instances.setMaxEjectedShare(m_Document->m_Policy.m_MaxEjectedShare);
  setEntryInstances(m_EntryInstances);
}

PoolState &DispatchCore::poolState(const PoolName &Name) {
  std::unique_ptr<PoolState> &Entry = m_Pools[Name];
  if (!Entry) {
    Entry = std::make_unique<PoolState>();
    Entry->m_Name = Name;
  }
  return *Entry;
}

void DispatchCore::setInstances(std::vector<InstanceTarget> Targets,
                                TimePoint Now) {
  m_Instances.setTargets(std::move(Targets));
  startQueuedInAllPools(Now);
}

void DispatchCore::setEntryInstances(std::uint32_t Count) {
  const RequestPolicy &Policy = m_Document->m_Policy;
  m_EntryInstances = Count;
  SharedLimits Limits;
  Limits.m_Slots = Policy.m_SlotsPerInstance;
  Limits.m_Connections = Policy.m_ConnectionsPerInstance;
  Limits.m_EntryInstances = Count;
  m_Instances.setLimits(Limits);
}

void DispatchCore::setRemoteCapacity(std::vector<RemoteCapacity> Capacity) {
  m_Remote = std::move(Capacity);
}

Ticket DispatchCore::submit(const RequestInfo &Info, TimePoint Now) {
  TicketRecord &Record = m_Tickets.add(Info);
  Ticket Id = Record.m_Ticket;
  ++m_Stats.m_Submitted[static_cast<std::size_t>(Info.m_Class)];
  auto It = m_Services.find(Info.m_Service);
  if (It == m_Services.end() || !It->second->m_InDocument) {
    abandon(Record, {Reason::UnknownService, Duration(0)});
    return Id;
  }
  Record.m_Service = It->second.get();
  Record.m_Pool = Record.m_Service->m_Pool;
  PoolState &Pool = *Record.m_Pool;
  admit(Record, Now);
  startQueued(Pool, Now);
  return Id;
}

bool DispatchCore::claimGranted(Ticket Id, TimePoint Now) {
  TicketRecord *Record = m_Tickets.find(Id);
  if (!Record || !Record->m_ClaimPending)
    return Record != nullptr;
  Record->m_ClaimPending = false;
  Record->m_ClaimGranted = true;
  PoolState &Pool = *Record->m_Pool;
  if (Record->m_Phase == Phase::Queued)
    Pool.m_Queue.makeStartable(Record->m_Class, Record->queueKey());
  else if (!forwardIfPossible(*Record, Now))
    admit(*Record, Now);
  startQueued(Pool, Now);
  return true;
}

void DispatchCore::claimDenied(Ticket Id, Outcome Final, TimePoint Now) {
  TicketRecord *Record = m_Tickets.find(Id);
  if (!Record || !Record->m_ClaimPending)
    return;
  PoolState &Pool = *Record->m_Pool;
  removeFromQueue(*Record);
  finish(*Record, std::move(Final));
  startQueued(Pool, Now);
}

void DispatchCore::finishTry(Ticket Id, std::uint32_t Try, TryResult Result,
                             Reason Why, Answer ServerAnswer, TimePoint Now) {
  TicketRecord *Record = m_Tickets.find(Id);
  if (!Record || Record->m_Phase != Phase::Trying || Record->tries() != Try) {
    ++m_Stats.m_LateResults;
    return;
  }
  PoolState &Pool = *Record->m_Pool;
  InstanceId Instance = Record->m_Instance->m_Target.m_Id;
  updateEstimates(*Record, Result, Now);
  releaseTry(*Record);
  if (Result == TryResult::Answered) {
    finish(*Record, {OutcomeKind::Answer, Reason::None, std::move(ServerAnswer),
                     std::chrono::milliseconds(0), Instance});
  } else {
    addToHistory(*Record, Result, Why, std::move(ServerAnswer), Instance);
    bool MayRetry = mayRetry(Result, Record->m_Repeatable);
    retryOrFinish(*Record, MayRetry, {Why, Duration(0)}, Now);
  }
  startQueued(Pool, Now);
}

void DispatchCore::finishForward(Ticket Id, ForwardResult Result,
                                 TimePoint Now) {
  TicketRecord *Record = m_Tickets.find(Id);
  if (!Record || Record->m_Phase != Phase::Forwarding ||
      Record->tries() != Result.m_Try) {
    ++m_Stats.m_LateResults;
    return;
  }
  PoolState &Pool = *Record->m_Pool;
  Outcome &Out = Result.m_Outcome;
  if (Out.m_Kind == OutcomeKind::Answer) {
    finish(*Record, std::move(Out));
    return;
  }
  Record->m_Phase = Phase::Queued;
  bool IsUnknown = Out.m_Kind == OutcomeKind::Unknown;
  if (IsUnknown)
    Record->history().m_LastUnknown = Out.m_Reason == Reason::None
                                          ? Reason::PeerConnectionLost
                                          : Out.m_Reason;
  if (Out.m_Reason == Reason::PeerUnreachable)
    markUnreachable(Record->history().m_DataCentres.back());
  bool MayRetry = !IsUnknown || Record->m_Repeatable;
  retryOrFinish(*Record, MayRetry, {Out.m_Reason, Out.m_RetryAfter}, Now);
  startQueued(Pool, Now);
}

std::size_t DispatchCore::cancel(const std::vector<RequestId> &Ids,
                                 TimePoint Now) {
  std::size_t Count = 0;
  for (const RequestId &Id : Ids) {
    for (Ticket T : m_Tickets.withId(Id)) {
      cancelOne(*m_Tickets.find(T));
      ++Count;
    }
  }
  startQueuedInAllPools(Now);
  return Count;
}

void DispatchCore::cancelOne(TicketRecord &Record) {
  if (Record.isWaiting()) {
    abandon(Record, {Reason::Cancelled, Duration(0)});
    return;
  }
  abort(Record);
  Outcome Out;
  Out.m_Kind = OutcomeKind::Unknown;
  Out.m_Reason = Reason::CancelledInFlight;
  finish(Record, std::move(Out));
}

void DispatchCore::setDraining(bool Draining, TimePoint Now) {
  m_Draining = Draining;
  if (!Draining) {
    startQueuedInAllPools(Now);
    return;
  }
  for (Ticket T : m_Tickets.waiting())
    abandon(*m_Tickets.find(T), {Reason::Draining, Duration(0)});
}

void DispatchCore::tick(TimePoint Now) {
  for (auto First = m_Tickets.earliest(); First && First->m_Deadline <= Now;
       First = m_Tickets.earliest())
    expire(*m_Tickets.find(First->m_Ticket), Now);
  startQueuedInAllPools(Now);
}

std::optional<TimePoint> DispatchCore::nextTick() const {
  auto First = m_Tickets.earliest();
  if (!First)
    return std::nullopt;
  return First->m_Deadline;
}

std::vector<Action> DispatchCore::takeActions() {
  std::vector<Action> Taken;
  Taken.swap(m_Actions);
  return Taken;
}

LoadReport DispatchCore::loadReport() const {
  LoadReport Report;
  Report.m_Instances = m_Instances.loads();
  for (const auto &Entry : m_Pools) {
    const PoolState &Pool = *Entry.second;
    std::size_t Slots = m_Instances.capacity(Pool.m_Name).m_Slots;
    std::size_t Taken = Pool.inFlight() + Pool.m_Queue.depth();
    std::size_t FreeSlots = m_Draining || Taken >= Slots ? 0 : Slots - Taken;
    Report.m_Pools.push_back(
        {Pool.m_Name, static_cast<std::uint32_t>(FreeSlots)});
  }
  return Report;
}

std::uint32_t DispatchCore::inFlight(const InstanceId &Instance) const {
  return m_Instances.inFlight(Instance);
}

DispatcherStats DispatchCore::stats() const {
  DispatcherStats Stats = m_Stats;
  for (const auto &Entry : m_Pools) {
    const PoolState &Pool = *Entry.second;
    for (std::size_t C = 0; C < UrgencyClassCount; ++C)
      Stats.m_Queued[C] += Pool.m_Queue.depth(static_cast<UrgencyClass>(C));
    Stats.m_InFlight += Pool.inFlight();
  }
  Stats.m_Ejected = m_Instances.ejected();
  Stats.m_Open = m_Tickets.size();
  return Stats;
}

} // namespace pollenspool
