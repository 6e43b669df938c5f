//===- SchedulerPolls.cpp - Polls of servers ------------------------------===//

#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// How long a server may delay its answer to a poll until a run ends. Several
/// polls fit into one lease, so that a lost poll does not let the lease expire.
constexpr std::chrono::milliseconds PollWait{1000};
/// How long a server may delay its answer while a run is being stopped.
constexpr std::chrono::milliseconds StoppingPollWait{150};
/// Added to the wait of a poll for its timeout. A server answers within a few
/// milliseconds.
constexpr std::chrono::milliseconds PollTimeoutMargin{600};
/// Number of servers that are polled at the same time for the first time in a
/// term. With more, a leader of a thousand servers would answer its own calls
/// too late and take the servers for unreachable.
constexpr std::size_t MaxFirstPolls = 128;
/// How long after its beginning a term may have more first polls due than that.
constexpr Duration FirstPollsTime = std::chrono::seconds(15);
/// Delay between the answer to a poll and the next poll of a busy server, so
/// that run ends in quick succession are fetched by one poll.
constexpr Duration PollSpacing = std::chrono::milliseconds(40);
/// A process that falls behind should fetch more run ends with each poll. The
/// spacing grows by this factor times the lag, up to MaxPollSpacing, which
/// leaves several polls to a lease.
constexpr int LagFactor = 4;
constexpr Duration MaxPollSpacing = std::chrono::milliseconds(600);

} // namespace

std::size_t Scheduler::firstPollsAllowed(TimePoint Now) const {
  if (Now >= m_TermBegunAt + FirstPollsTime)
    return MaxFirstPolls;
  std::size_t Pending = 0;
  for (const auto &[Id, S] : m_Servers.all())
    Pending += S.m_PollPending && !S.m_HasAcknowledgedTerm;
  return MaxFirstPolls - std::min(Pending, MaxFirstPolls);
}

void Scheduler::sendDuePolls(TimePoint Now) {
  std::vector<ServerState *> First;
  for (ServerState *Due : m_Servers.due().collect(Now)) {
    ServerState &S = *Due;
    ++m_Counters.m_ServersChecked;
    if (!S.needsPoll() || Now < S.m_NextPoll)
      continue;
    if (S.m_HasAcknowledgedTerm)
      sendPoll(S, Now);
    else
      First.push_back(&S);
  }
  sendFirstPolls(std::move(First), Now);
  m_Servers.due().finish();
}

void Scheduler::sendFirstPolls(std::vector<ServerState *> Servers,
                               TimePoint Now) {
  if (Servers.empty())
    return;
  // Servers that have not failed to answer come first: an unreachable one
  // holds its place for the whole timeout. Those take turns.
  auto Rank = [](const ServerState *S) {
    return S->m_FailedPolls == 0 ? TimePoint::min() : S->m_NextPoll;
  };
  std::stable_sort(Servers.begin(), Servers.end(),
                   [&](const ServerState *A, const ServerState *B) {
                     return Rank(A) < Rank(B);
                   });
  std::size_t Allowed = firstPollsAllowed(Now);
  for (ServerState *S : Servers) {
    if (Allowed <= (S->m_FailedPolls > 0 ? MaxFirstPolls / 2 : 0))
      return;
    --Allowed;
    sendPoll(*S, Now);
  }
}

std::chrono::milliseconds Scheduler::pollWait(const ServerState &S) {
  std::chrono::milliseconds Wait = PollWait;
  for (const auto &[Id, Run] : S.m_Runs) {
    if (Run.m_Phase == RunPhase::Unconfirmed)
      return std::chrono::milliseconds(0);
    // If the stopped run had never started on the server, no run end would
    // arrive to end the wait.
    if (Run.m_Phase == RunPhase::Stopping)
      Wait = StoppingPollWait;
  }
  return Wait;
}

Duration Scheduler::pollSpacing() const {
  return std::min(PollSpacing + m_Lag * LagFactor, MaxPollSpacing);
}

void Scheduler::sendPoll(ServerState &S, TimePoint Now) {
  PollOrder Order;
  Order.m_Server = S.address();
  Order.m_Term = m_Options.m_Term;
  // The next leader may have read the store before an end was recorded there;
  // if the server then forgot the end, that leader would never learn of it. A
  // server that did not answer may have restarted, and a new incarnation
  // numbers its ends from the beginning.
  if (m_Authority.m_IsTermConfirmed && S.m_Reachable)
    Order.m_AcknowledgedEndNumber = S.m_LastRecordedEnd;
  else if (S.m_Reachable)
    Order.m_AcknowledgedEndNumber = S.m_LastAcknowledgedEnd;
  // A poll of an unreachable server grants no lease, because each grant would
  // postpone the time at which its tasks may be started elsewhere.
  if (S.m_ClockKnown && S.m_Reachable) {
    Order.m_LeaseUntilMs =
        S.minClockMs(Now) +
        std::chrono::duration_cast<std::chrono::milliseconds>(m_Options.m_Lease)
            .count();
    ServerRegistry::recordLease(S, Now, m_Options.m_Lease);
  }
  if (S.m_HasAcknowledgedTerm && S.m_Reachable && !S.m_Runs.empty() &&
      S.m_UnrecordedEnds.empty())
    Order.m_Wait = pollWait(S);
  Order.m_Timeout = Order.m_Wait + PollTimeoutMargin;
  S.m_PollPending = true;
  S.m_PollSentAt = Now;
  ++m_Counters.m_Polls;
  m_Orders.poll(Order);
}

} // namespace pollenspool
