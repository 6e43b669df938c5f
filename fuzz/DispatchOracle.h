//===- DispatchOracle.h - Guarantees of a dispatcher ------------*- C++ -*-===//
//
// Checks each action of a dispatcher against the guarantees of the request
// path, without knowing how the dispatcher works. For DispatchFuzz.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FUZZ_DISPATCHORACLE_H
#define POLLENSPOOL_FUZZ_DISPATCHORACLE_H

#include "dispatch/Dispatcher.h"
#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace pollenspool {

constexpr std::uint32_t MaxAttempts = 3;
constexpr std::uint32_t ConnectionShare = 3;
constexpr std::uint32_t EntryInstances = 2;
constexpr std::uint32_t QueuePerInstance = 3;
constexpr double RetryShare = 0.2;
constexpr double RetryReserve = 3;
constexpr double EjectedShare = 0.4;
constexpr unsigned DistinctIds = 400;

/// State of one request according to the events and actions so far.
struct ObservedRequest {
  RequestInfo m_Info;
  PoolName m_Pool;
  bool m_Open = true;
  bool m_ClaimRequested = false;
  bool m_ClaimDecided = false;
  bool m_ClaimGranted = false;
  bool m_Aborted = false;
  bool m_MayHaveRun = false;
  bool m_ForwardPossible = false;
  std::set<std::string> m_Answers;
  std::set<InstanceId> m_Tried;
  /// The action that started the try or forward in flight.
  bool m_HasTry = false;
  Action m_Try;
};

/// The state that follows from the events so far, and the first violation.
class DispatchOracle {
protected:
  explicit DispatchOracle(Dispatcher Core) : m_Dispatcher(std::move(Core)) {}

  void require(bool IsValid, const std::string &What) {
    if (!IsValid && m_Violation.empty())
      m_Violation = What;
  }

  void takeActions() {
    for (const Action &A : m_Dispatcher.takeActions()) {
      m_Digest = m_Digest * 31 + A.m_Ticket * 7 + A.m_Try +
                 static_cast<std::uint64_t>(A.m_Kind);
      auto It = m_Requests.find(A.m_Ticket);
      if (It == m_Requests.end())
        return require(false, "action for an unknown ticket");
      require(It->second.m_Open, "action after Finish");
      onAction(It->second, A);
    }
  }

  void onAction(ObservedRequest &S, const Action &A) {
    switch (A.m_Kind) {
    case ActionKind::Claim:
      require(!S.m_ClaimRequested, "second claim for one request");
      require(needsClaim(S), "claim for a request that needs none");
      S.m_ClaimRequested = true;
      return;
    case ActionKind::StartTry:
      return onStartTry(S, A);
    case ActionKind::Forward:
      return onForward(S, A);
    case ActionKind::AbortTry:
      require(S.m_HasTry && S.m_Try.m_Try == A.m_Try,
              "AbortTry with no such try in flight");
      S.m_Aborted = true;
      endTry(S);
      return;
    case ActionKind::Finish:
      return onFinish(S, A);
    }
  }

  static bool needsClaim(const ObservedRequest &S) {
    return S.m_Info.m_HasIdempotencyKey && !S.m_Info.m_Repeatable &&
           !S.m_Info.m_Forwarded;
  }

  void onAnyTry(ObservedRequest &S, const Action &A) {
    require(!S.m_HasTry, "two tries of one request in flight");
    require(!m_Draining, "try started while draining");
    require(!S.m_MayHaveRun || S.m_Info.m_Repeatable,
            "retry of a request that is not repeatable and may have run");
    require(!needsClaim(S) || S.m_ClaimGranted,
            "try started before the claim was granted");
    require(A.m_Try >= 1 && A.m_Try <= MaxAttempts, "try number out of range");
    require(A.m_Remaining > Duration(0), "try started after the deadline");
    std::uint64_t &Firsts = m_FirstTries[S.m_Info.m_Service];
    std::uint64_t &Retries = m_Retries[S.m_Info.m_Service];
    ++(A.m_Try == 1 ? Firsts : Retries);
    double Elapsed = std::chrono::duration<double>(m_Now - TimePoint{}).count();
    require(double(Retries) <=
                double(Firsts) * RetryShare + RetryReserve + Elapsed,
            "retries exceed their budget");
    S.m_HasTry = true;
    S.m_Try = A;
  }

  void onStartTry(ObservedRequest &S, const Action &A) {
    onAnyTry(S, A);
    auto It = m_Targets.find(A.m_Instance);
    require(It != m_Targets.end() && It->second.m_AcceptsWork,
            "try at an instance that accepts no work");
    if (It == m_Targets.end())
      return;
    require(It->second.m_Pool == S.m_Pool,
            "try at an instance of another pool");
    require(It->second.m_Address == A.m_Address,
            "try with the wrong instance address");
    require(S.m_Tried.insert(A.m_Instance).second,
            "second try at the same instance");
    require(++m_InFlight[A.m_Instance] <= ConnectionShare,
            "connections exceed the connection share");
  }

  void onForward(ObservedRequest &S, const Action &A) {
    onAnyTry(S, A);
    require(!S.m_Info.m_Forwarded, "forward of a forwarded request");
    auto FreeSlots = m_RemoteSlots.find({A.m_DataCentre, S.m_Pool});
    require(FreeSlots != m_RemoteSlots.end() && FreeSlots->second-- > 0,
            "forward to a data centre with no room left");
  }

  void endTry(ObservedRequest &S) {
    if (S.m_Try.m_Kind == ActionKind::StartTry)
      --m_InFlight[S.m_Try.m_Instance];
    m_EndedTries.push_back(S.m_Try);
    S.m_HasTry = false;
  }

  void onFinish(ObservedRequest &S, const Action &A) {
    const RequestInfo &I = S.m_Info;
    const Outcome &Out = A.m_Outcome;
    require(!S.m_HasTry, "request finished with a try in flight");
    bool CannotHaveRunElsewhere = !I.m_HasIdempotencyKey || I.m_Forwarded ||
                                  S.m_ClaimGranted || I.m_Attempt == 1;
    bool MayHaveRun = S.m_MayHaveRun || S.m_Aborted;
    bool Denied = S.m_ClaimDecided && !S.m_ClaimGranted;
    if (Out.m_Kind == OutcomeKind::NotRun)
      require(!MayHaveRun && CannotHaveRunElsewhere,
              "outcome not run for a request that may have run");
    if (Out.m_Kind == OutcomeKind::Unknown)
      require(MayHaveRun || !CannotHaveRunElsewhere || Denied,
              "outcome unknown for a request that was not run");
    if (Out.m_Kind == OutcomeKind::Answer)
      require(S.m_Answers.count(Out.m_Answer.m_Body) == 1,
              "answer of another request");
    else
      require(Out.m_Reason != Reason::None, "outcome with no reason");
    S.m_Open = false;
    m_Open.erase(A.m_Ticket);
  }

  void checkState() {
    DispatcherStats Stats = m_Dispatcher.stats();
    require(Stats.m_Open == m_Open.size(), "wrong count of open requests");
    std::uint64_t Total = 0;
    for (const auto &I : m_InFlight) {
      require(m_Dispatcher.inFlight(I.first) == I.second,
              "wrong number of tries in flight at an instance");
      Total += I.second;
    }
    require(Stats.m_InFlight == Total, "wrong total number of tries in flight");
    std::size_t Bound = 0;
    for (const char *Pool : {"a", "b"}) {
      std::size_t Accepting = accepting(PoolName(Pool));
      auto Share = static_cast<std::size_t>(double(Accepting) * EjectedShare);
      Bound += std::max<std::size_t>(Share, 1);
    }
    require(Stats.m_Ejected <= Bound, "too many instances ejected");
    auto Next = m_Dispatcher.nextTick();
    for (Ticket T : m_Open) {
      require(Next && *Next <= m_Requests[T].m_Info.m_Deadline,
              "next tick is too late for a deadline");
      require(!m_Draining || m_Requests[T].m_HasTry,
              "request waits while draining");
    }
  }

  /// Number of open requests of \p Pool without a try or forward in flight.
  std::size_t waitingIn(const PoolName &Pool) {
    std::size_t Waiting = 0;
    for (Ticket T : m_Open)
      Waiting += m_Requests[T].m_Pool == Pool && !m_Requests[T].m_HasTry;
    return Waiting;
  }

  /// Number of those requests that are certainly queued, and do not wait for a
  /// claim before they are forwarded.
  std::size_t queuedIn(const PoolName &Pool) {
    std::size_t Queued = 0;
    for (Ticket T : m_Open) {
      const ObservedRequest &S = m_Requests[T];
      Queued += S.m_Pool == Pool && !S.m_HasTry && !S.m_ForwardPossible;
    }
    return Queued;
  }

  /// A queue may be longer than its limit after the limit was lowered, but it
  /// must not grow then.
  void checkQueueBound(const ObservedRequest &S, std::size_t WaitingBefore) {
    if (!S.m_Open || S.m_HasTry || S.m_ForwardPossible)
      return;
    std::size_t Bound =
        std::max<std::size_t>(accepting(S.m_Pool) * QueuePerInstance, 1);
    bool Grew = waitingIn(S.m_Pool) > WaitingBefore;
    require(!Grew || queuedIn(S.m_Pool) <= Bound,
            "queue grew beyond its limit");
  }

  std::size_t accepting(const PoolName &Pool) const {
    std::size_t Count = 0;
    for (const auto &I : m_Targets)
      Count += I.second.m_Pool == Pool && I.second.m_AcceptsWork;
    return Count;
  }

  Dispatcher m_Dispatcher;
  TimePoint m_Now{};
  std::map<Ticket, ObservedRequest> m_Requests;
  std::set<Ticket> m_Open;
  std::vector<Action> m_EndedTries;
  std::map<InstanceId, InstanceTarget> m_Targets;
  std::map<InstanceId, std::uint32_t> m_InFlight;
  std::map<std::pair<DataCentreName, PoolName>, std::uint32_t> m_RemoteSlots;
  std::map<ServiceName, std::uint64_t> m_FirstTries;
  std::map<ServiceName, std::uint64_t> m_Retries;
  std::uint64_t m_Digest = 0;
  bool m_Draining = false;
  std::string m_Violation;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FUZZ_DISPATCHORACLE_H
