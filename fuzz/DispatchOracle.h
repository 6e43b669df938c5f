//===- DispatchOracle.h - What a dispatcher must never do -------*- C++ -*-===//
//
// Knows only the promises of the request path and watches each action. For
// DispatchFuzz.
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
constexpr unsigned IdCount = 400;

/// What the oracle saw of one request.
struct Seen {
  RequestInfo m_Info;
  PoolName m_Pool;
  bool m_Open = true;
  bool m_ClaimAsked = false;
  bool m_ClaimDecided = false;
  bool m_ClaimGranted = false;
  bool m_Aborted = false;
  bool m_MayHaveRun = false;
  bool m_SpillPossible = false;
  std::set<std::string> m_Answers;
  std::set<InstanceId> m_Tried;
  /// The action of the try or forward in flight.
  bool m_HasTry = false;
  Action m_Try;
};

/// The state of the world as the events made it, and the first fault.
class DispatchOracle {
protected:
  explicit DispatchOracle(Dispatcher Core) : m_Core(std::move(Core)) {}

  void require(bool Holds, const std::string &What) {
    if (!Holds && m_Fault.empty())
      m_Fault = What;
  }

  void takeActions() {
    for (const Action &A : m_Core.takeActions()) {
      m_Digest = m_Digest * 31 + A.m_Ticket * 7 + A.m_Try +
                 static_cast<std::uint64_t>(A.m_Kind);
      auto It = m_Seen.find(A.m_Ticket);
      if (It == m_Seen.end())
        return require(false, "action for an unknown ticket");
      require(It->second.m_Open, "action after Finish");
      onAction(It->second, A);
    }
  }

  void onAction(Seen &S, const Action &A) {
    switch (A.m_Kind) {
    case ActionKind::Claim:
      require(!S.m_ClaimAsked, "claimed twice");
      require(needsClaim(S), "needless claim");
      S.m_ClaimAsked = true;
      return;
    case ActionKind::StartTry:
      return onStartTry(S, A);
    case ActionKind::Forward:
      return onForward(S, A);
    case ActionKind::AbortTry:
      require(S.m_HasTry && S.m_Try.m_Try == A.m_Try, "aborted no try");
      S.m_Aborted = true;
      endTry(S);
      return;
    case ActionKind::Finish:
      return onFinish(S, A);
    }
  }

  static bool needsClaim(const Seen &S) {
    return S.m_Info.m_CallerKeyed && !S.m_Info.m_Repeatable &&
           !S.m_Info.m_Forwarded;
  }

  void onAnyTry(Seen &S, const Action &A) {
    require(!S.m_HasTry, "two tries at once");
    require(!m_Draining, "try while draining");
    require(!S.m_MayHaveRun || S.m_Info.m_Repeatable, "may run twice");
    require(!needsClaim(S) || S.m_ClaimGranted, "try without its claim");
    require(A.m_Try >= 1 && A.m_Try <= MaxAttempts, "too many tries");
    require(A.m_Remaining > Duration(0), "try without time");
    std::uint64_t &Firsts = m_Firsts[S.m_Info.m_Service];
    std::uint64_t &Retries = m_Retries[S.m_Info.m_Service];
    ++(A.m_Try == 1 ? Firsts : Retries);
    double Elapsed = std::chrono::duration<double>(m_Now - TimePoint{}).count();
    require(double(Retries) <=
                double(Firsts) * RetryShare + RetryReserve + Elapsed,
            "retries over their budget");
    S.m_HasTry = true;
    S.m_Try = A;
  }

  void onStartTry(Seen &S, const Action &A) {
    onAnyTry(S, A);
    auto It = m_List.find(A.m_Instance);
    require(It != m_List.end() && It->second.m_AcceptsWork,
            "try at an instance that takes no work");
    if (It == m_List.end())
      return;
    require(It->second.m_Pool == S.m_Pool, "try in another pool");
    require(It->second.m_Address == A.m_Address, "wrong address");
    require(S.m_Tried.insert(A.m_Instance).second, "same instance again");
    require(++m_InFlight[A.m_Instance] <= ConnectionShare,
            "connections over the share");
  }

  void onForward(Seen &S, const Action &A) {
    onAnyTry(S, A);
    require(!S.m_Info.m_Forwarded, "forwarded again");
    auto Room = m_Rooms.find({A.m_DataCentre, S.m_Pool});
    require(Room != m_Rooms.end() && Room->second-- > 0, "no room there");
  }

  void endTry(Seen &S) {
    if (S.m_Try.m_Kind == ActionKind::StartTry)
      --m_InFlight[S.m_Try.m_Instance];
    m_Old.push_back(S.m_Try);
    S.m_HasTry = false;
  }

  void onFinish(Seen &S, const Action &A) {
    const RequestInfo &I = S.m_Info;
    const Outcome &Out = A.m_Outcome;
    require(!S.m_HasTry, "finished with a try in flight");
    bool Vouched = !I.m_CallerKeyed || I.m_Forwarded || S.m_ClaimGranted ||
                   I.m_Attempt == 1;
    bool MayHaveRun = S.m_MayHaveRun || S.m_Aborted;
    bool Denied = S.m_ClaimDecided && !S.m_ClaimGranted;
    if (Out.m_Kind == OutcomeKind::NotRun)
      require(!MayHaveRun && Vouched, "not run, but it may have");
    if (Out.m_Kind == OutcomeKind::Unknown)
      require(MayHaveRun || !Vouched || Denied, "unknown, but it was not run");
    if (Out.m_Kind == OutcomeKind::Answer)
      require(S.m_Answers.count(Out.m_Answer.m_Body) == 1, "another's answer");
    else
      require(Out.m_Reason != Reason::None, "no reason");
    S.m_Open = false;
    m_Open.erase(A.m_Ticket);
  }

  void checkState() {
    DispatcherStats Stats = m_Core.stats();
    require(Stats.m_Open == m_Open.size(), "wrong count of open requests");
    std::uint64_t Total = 0;
    for (const auto &I : m_InFlight) {
      require(m_Core.inFlight(I.first) == I.second, "wrong in flight");
      Total += I.second;
    }
    require(Stats.m_InFlight == Total, "wrong sum in flight");
    std::size_t Bound = 0;
    for (const char *Pool : {"a", "b"}) {
      std::size_t Accepting = accepting(PoolName(Pool));
      auto Share = static_cast<std::size_t>(double(Accepting) * EjectedShare);
      Bound += std::max<std::size_t>(Share, 1);
    }
    require(Stats.m_Ejected <= Bound, "too many ejected");
    auto Next = m_Core.nextTick();
    for (Ticket T : m_Open) {
      require(Next && *Next <= m_Seen[T].m_Info.m_Deadline, "tick too late");
      require(!m_Draining || m_Seen[T].m_HasTry, "waits while draining");
    }
  }

  /// Requests of \p Pool that wait.
  std::size_t waitingIn(const PoolName &Pool) {
    std::size_t Waiting = 0;
    for (Ticket T : m_Open)
      Waiting += m_Seen[T].m_Pool == Pool && !m_Seen[T].m_HasTry;
    return Waiting;
  }

  /// Of these, the ones that wait for sure in the queue, and not for a claim to
  /// be sent on.
  std::size_t queuedIn(const PoolName &Pool) {
    std::size_t Queued = 0;
    for (Ticket T : m_Open) {
      const Seen &S = m_Seen[T];
      Queued += S.m_Pool == Pool && !S.m_HasTry && !S.m_SpillPossible;
    }
    return Queued;
  }

  /// A queue may stay over a bound that shrank, but it may not grow then.
  void checkQueueBound(const Seen &S, std::size_t WaitingBefore) {
    if (!S.m_Open || S.m_HasTry || S.m_SpillPossible)
      return;
    std::size_t Bound =
        std::max<std::size_t>(accepting(S.m_Pool) * QueuePerInstance, 1);
    bool Grew = waitingIn(S.m_Pool) > WaitingBefore;
    require(!Grew || queuedIn(S.m_Pool) <= Bound, "queue over its bound");
  }

  std::size_t accepting(const PoolName &Pool) const {
    std::size_t Count = 0;
    for (const auto &I : m_List)
      Count += I.second.m_Pool == Pool && I.second.m_AcceptsWork;
    return Count;
  }

  Dispatcher m_Core;
  TimePoint m_Now{};
  std::map<Ticket, Seen> m_Seen;
  std::set<Ticket> m_Open;
  std::vector<Action> m_Old;
  std::map<InstanceId, InstanceTarget> m_List;
  std::map<InstanceId, std::uint32_t> m_InFlight;
  std::map<std::pair<DataCentreName, PoolName>, std::uint32_t> m_Rooms;
  std::map<ServiceName, std::uint64_t> m_Firsts;
  std::map<ServiceName, std::uint64_t> m_Retries;
  std::uint64_t m_Digest = 0;
  bool m_Draining = false;
  std::string m_Fault;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FUZZ_DISPATCHORACLE_H
