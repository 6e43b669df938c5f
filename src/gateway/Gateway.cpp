//===- Gateway.cpp - I/O driver of the dispatcher -------------------------===//

#include "gateway/Gateway.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Upper bound of the timer thread's wait, so that probes start on time without
/// any other event.
constexpr Duration MaxTimerInterval = std::chrono::milliseconds(100);
constexpr std::chrono::milliseconds DefaultTimeout{10000};

constexpr std::chrono::milliseconds ClaimRetryAfter{1000};

/// Returns the caller's outcome for a claim that was not granted.
Outcome outcomeOf(ClaimReply &&Reply) {
  Outcome Final;
  if (Reply.m_Verdict == ClaimVerdict::Recorded) {
    Final.m_Kind = OutcomeKind::Answer;
    Final.m_Answer = std::move(Reply.m_Answer);
    return Final;
  }
  Final.m_Kind = OutcomeKind::Unknown;
  Final.m_Reason = Reply.m_Reason;
  Final.m_RetryAfter = ClaimRetryAfter;
  return Final;
}

/// Returns the report of a try that was not sent.
TryReport unsentTryReport() {
  TryReport Report;
  Report.m_Result = TryResult::NotRun;
  Report.m_Reason = Reason::NoInstance;
  return Report;
}

} // namespace

Gateway::Gateway(GatewaySettings Settings, Dispatcher Core,
                 ClaimService &RequestClaims, Forwarder &RequestForwarder)
    : m_Settings(std::move(Settings)), m_Claims(RequestClaims),
      m_Forwarder(RequestForwarder), m_Core(std::move(Core)) {}

Result<std::unique_ptr<Gateway>> Gateway::create(GatewaySettings Settings,
                                                 ClaimService &RequestClaims,
                                                 Forwarder &RequestForwarder) {
  BOOST_OUTCOME_TRY(Core, Dispatcher::create(Settings.m_Dispatcher));
  std::unique_ptr<Gateway> Created(new Gateway(
      std::move(Settings), std::move(Core), RequestClaims, RequestForwarder));
  Created->m_Timer = std::thread([Self = Created.get()] { Self->runTimer(); });
  return Created;
}

Gateway::~Gateway() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopping = true;
  }
  m_TimerWake.notify_all();
  m_Timer.join();
}

template <typename EventFn> auto Gateway::withCore(EventFn Event) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if constexpr (std::is_void_v<decltype(Event(steadyNow()))>) {
    Event(steadyNow());
    deliverActions();
  } else {
    auto Out = Event(steadyNow());
    deliverActions();
    return Out;
  }
}

void Gateway::deliverActions() {
  for (Action &A : m_Core.takeActions()) {
    auto It = m_Waiters.find(A.m_Ticket);
    if (It == m_Waiters.end())
      continue;
    Waiter &W = *It->second;
    if (A.m_Kind == ActionKind::AbortTry) {
      abortTry(W, A.m_Try);
      continue;
    }
    W.m_Actions.push_back(std::move(A));
    W.m_Wake.notify_one();
  }
  auto Next = m_Core.nextTick();
  if (Next && *Next < m_TimerAt)
    m_TimerWake.notify_one();
}

void Gateway::abortTry(Waiter &W, std::uint32_t Try) {
  // If the thread has not begun the try yet, it must not send the request.
  W.m_AbortedTry = Try;
  if (W.m_Call && W.m_Try == Try)
    W.m_Call->abort();
}

void Gateway::runTimer() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (!m_Stopping) {
    TimePoint Latest = steadyNow() + MaxTimerInterval;
    m_TimerAt = std::min(m_Core.nextTick().value_or(Latest), Latest);
    m_TimerWake.wait_until(Lock, m_TimerAt);
    m_Core.tick(steadyNow());
    deliverActions();
  }
}

Action Gateway::nextAction(Waiter &W) {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  W.m_Wake.wait(Lock, [&] { return !W.m_Actions.empty(); });
  Action A = std::move(W.m_Actions.front());
  W.m_Actions.pop_front();
  return A;
}

void Gateway::fillDefaults(CallerRequest &Request) const {
  auto Doc = document();
  const Service *Known =
      Doc ? Doc->findService(Request.m_Info.m_Service) : nullptr;
  if (Request.m_Timeout.count() == 0)
    Request.m_Timeout = Known ? Known->m_Timeout : DefaultTimeout;
  if (!Request.m_ClassGiven && Known)
    Request.m_Info.m_Class = Known->m_Class;
  Request.m_Info.m_Deadline = steadyNow() + Request.m_Timeout;
}

Outcome Gateway::serve(CallerRequest Request) {
  fillDefaults(Request);
  Waiter Own;
  Ticket Id = withCore([&](TimePoint Now) {
    Ticket NewTicket = m_Core.submit(Request.m_Info, Now);
    m_Waiters.emplace(NewTicket, &Own);
    return NewTicket;
  });
  ClaimToken Held;
  for (;;) {
    Action A = nextAction(Own);
    switch (A.m_Kind) {
    case ActionKind::Claim:
      Held = startClaim(A, Request);
      break;
    case ActionKind::StartTry:
      startTry(Own, A, Request);
      break;
    case ActionKind::Forward:
      startForward(A, Request);
      break;
    case ActionKind::AbortTry:
      break;
    case ActionKind::Finish: {
      std::unique_lock<std::mutex> Lock(m_Mutex);
      m_Waiters.erase(Id);
      Lock.unlock();
      if (!Held.empty())
        completeOrReleaseClaim(Request.m_Info.m_Id, Held, A.m_Outcome);
      return std::move(A.m_Outcome);
    }
    }
  }
}

ClaimToken Gateway::startClaim(const Action &A, const CallerRequest &Request) {
  const RequestId &Id = Request.m_Info.m_Id;
  Duration Remaining = Request.m_Info.m_Deadline - steadyNow();
  ClaimReply Reply = m_Claims.claim(Id, std::max(Remaining, Duration::zero()));
  if (Reply.m_Verdict != ClaimVerdict::Granted) {
    withCore([&](TimePoint Now) {
      m_Core.claimDenied(A.m_Ticket, outcomeOf(std::move(Reply)), Now);
    });
    return {};
  }
  bool IsStillOpen = withCore(
      [&](TimePoint Now) { return m_Core.claimGranted(A.m_Ticket, Now); });
  if (IsStillOpen)
    return Reply.m_Token;
  m_Claims.release(Id, Reply.m_Token);
  return {};
}

void Gateway::completeOrReleaseClaim(const RequestId &Id,
                                     const ClaimToken &Token,
                                     const Outcome &Final) {
  // With an unknown outcome the claim stays open, so that repeats get an
  // unknown outcome, too.
  if (Final.m_Kind == OutcomeKind::NotRun)
    m_Claims.release(Id, Token);
  else if (Final.m_Kind == OutcomeKind::Answer)
    m_Claims.complete(Id, Token, Final.m_Answer);
}

bool Gateway::beginTry(Waiter &W, std::uint32_t Try, BackendCall &Call) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (W.m_AbortedTry == Try)
    return false;
  W.m_Call = &Call;
  W.m_Try = Try;
  return true;
}

void Gateway::countCall(const InstanceId &Instance, int Change) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Calls.emplace(Instance, 0).first;
  It->second += Change;
  if (It->second == 0)
    m_Calls.erase(It);
}

void Gateway::startTry(Waiter &W, const Action &A,
                       const CallerRequest &Request) {
  auto Call = BackendCall::create(A.m_Address, m_Settings.m_Backend);
  TryReport Report = unsentTryReport();
  countCall(A.m_Instance, 1);
  if (Call && beginTry(W, A.m_Try, *Call.value()))
    Report = Call.value()->run(Request, A.m_Remaining);
  countCall(A.m_Instance, -1);
  withCore([&](TimePoint Now) {
    W.m_Call = nullptr;
    m_Core.finishTry(A.m_Ticket, A.m_Try, Report.m_Result, Report.m_Reason,
                     std::move(Report.m_Answer), Now);
  });
}

void Gateway::startForward(const Action &A, const CallerRequest &Request) {
  ForwardResult Report;
  Report.m_Try = A.m_Try;
  Report.m_Outcome =
      m_Forwarder.forward(A.m_DataCentre, Request, A.m_Remaining);
  withCore([&](TimePoint Now) {
    m_Core.finishForward(A.m_Ticket, std::move(Report), Now);
  });
}

std::size_t Gateway::cancel(const std::vector<RequestId> &Ids) {
  return withCore([&](TimePoint Now) { return m_Core.cancel(Ids, Now); });
}

void Gateway::setDocument(std::shared_ptr<const Document> Doc) {
  withCore([&](TimePoint) {
    m_Document = Doc;
    m_Core.setDocument(std::move(Doc));
  });
}

void Gateway::setInstances(std::vector<InstanceTarget> Targets) {
  withCore(
      [&](TimePoint Now) { m_Core.setInstances(std::move(Targets), Now); });
}

void Gateway::setRemoteCapacity(std::vector<RemoteCapacity> Capacity) {
  withCore([&](TimePoint) { m_Core.setRemoteCapacity(std::move(Capacity)); });
}

void Gateway::onPeerLoads(const PeerLoadReport &Loads) {
  withCore([&](TimePoint) { m_Core.onPeerLoads(Loads); });
}

void Gateway::setDraining(bool Draining) {
  withCore([&](TimePoint Now) { m_Core.setDraining(Draining, Now); });
}

LoadReport Gateway::loadReport() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Core.loadReport();
}

std::uint32_t Gateway::inFlight(const InstanceId &Instance) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  // A drain must count both an abandoned try whose connection is still open and
  // a scheduled try that has no connection yet.
  auto It = m_Calls.find(Instance);
  auto Calls = static_cast<std::uint32_t>(It == m_Calls.end() ? 0 : It->second);
  return std::max(Calls, m_Core.inFlight(Instance));
}

DispatcherStats Gateway::stats() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Core.stats();
}

std::size_t Gateway::openRequests() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Waiters.size();
}

std::shared_ptr<const Document> Gateway::document() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Document;
}

} // namespace pollenspool
