//===- AdviceCache.cpp - Cached placement advice --------------------------===//

#include "scheduling/AdviceCache.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// The adviser processes one call of an entry instance at a time. A second
/// pending call waits at the adviser, so that it is never idle between two
/// calls.
constexpr std::size_t MaxConcurrentCalls = 2;
/// The adviser spends time on each server in a call. The expected load assumes
/// calls of 30 servers, and the adviser accepts at most 100.
constexpr std::size_t MaxServersPerCall = 30;
/// Servers to include beyond the number expected to be needed according to the
/// share of allowed servers.
constexpr std::size_t SpareServers = 2;
/// Delay before the next call after a failed one.
constexpr Duration RetryDelay = std::chrono::milliseconds(100);
/// Time for the network round trip, in addition to the adviser's processing
/// time.
constexpr Duration RoundTripMargin = std::chrono::milliseconds(500);
/// A ticket is not used in the last part of its validity, because the start
/// order that carries it has to arrive before the ticket expires.
constexpr Duration TicketMargin = std::chrono::milliseconds(100);
/// Weight of one answer in the moving average of the share of allowed servers.
constexpr double AllowedShareWeight = 0.2;
/// Lower bound on the share of allowed servers, which bounds the size of a
/// call.
constexpr double MinAllowedShare = 0.05;

} // namespace

const std::string *AdviceCache::ticket(const StepId &Step, const ServerState &S,
                                       TimePoint Now) const {
  auto It = m_Steps.find(Step);
  if (It == m_Steps.end())
    return nullptr;
  auto Known = It->second.m_Servers.find(S.m_Registration.m_Id);
  if (Known == It->second.m_Servers.end() || !Known->second.m_Allowed)
    return nullptr;
  const Ticket &T = Known->second.m_Ticket;
  bool Valid =
      T.m_StartTimeMs == S.m_Registration.m_StartTimeMs && Now < T.m_ValidUntil;
  return Valid ? &T.m_Text : nullptr;
}

bool AdviceCache::isDenied(const StepId &Step, const ServerId &Server) const {
  auto It = m_Steps.find(Step);
  if (It == m_Steps.end())
    return false;
  auto Known = It->second.m_Servers.find(Server);
  return Known != It->second.m_Servers.end() && !Known->second.m_Allowed;
}

void AdviceCache::invalidateTicket(const StepId &Step, const ServerId &Server) {
  if (auto It = m_Steps.find(Step); It != m_Steps.end())
    if (auto Known = It->second.m_Servers.find(Server);
        Known != It->second.m_Servers.end())
      Known->second.m_Ticket.m_ValidUntil = {};
}

void AdviceCache::removeJob(const JobId &Job) {
  auto It = m_Steps.lower_bound({Job, 0, 0});
  while (It != m_Steps.end() && It->first.m_Job == Job) {
    if (It->second.m_CallPending)
      --m_PendingCalls;
    It = m_Steps.erase(It);
  }
}

bool AdviceCache::mayCall(const StepId &Step, TimePoint Now) const {
  if (m_PendingCalls >= MaxConcurrentCalls || Now < m_NotBefore)
    return false;
  auto It = m_Steps.find(Step);
  return It == m_Steps.end() || !It->second.m_CallPending;
}

std::vector<ServerId> AdviceCache::selectServers(
    const StepId &Step, const std::vector<ServerState *> &Candidates,
    std::size_t Tasks, std::size_t TasksPerServer, TimePoint Now) const {
  auto It = m_Steps.find(Step);
  double Places =
      std::ceil(static_cast<double>(Tasks) /
                static_cast<double>(std::max<std::size_t>(TasksPerServer, 1)));
  auto Wanted = static_cast<std::size_t>(
                    Places / std::max(m_AllowedShare, MinAllowedShare)) +
                SpareServers;
  std::vector<ServerId> Allowed, Unknown;
  for (const ServerState *S : Candidates) {
    if (ticket(Step, *S, Now))
      continue;
    const ServerId &Id = S->m_Registration.m_Id;
    bool Known = It != m_Steps.end() && It->second.m_Servers.count(Id);
    if (!Known)
      Unknown.push_back(Id);
    else if (It->second.m_Servers.at(Id).m_Allowed)
      Allowed.push_back(Id);
  }
  // Servers known to be allowed come first, since the adviser is certain to
  // issue a new ticket for them.
  Allowed.insert(Allowed.end(), Unknown.begin(), Unknown.end());
  Allowed.resize(std::min({Allowed.size(), Wanted, MaxServersPerCall}));
  return Allowed;
}

Duration AdviceCache::recordCall(const AdviceOrder &Order,
                                 const AdvicePolicy &Policy, TimePoint Now) {
  StepAdvice &Advice = m_Steps[Order.m_Step];
  Advice.m_CallPending = true;
  Advice.m_CallSentAt = Now;
  ++m_PendingCalls;
  // The call ahead of this one in the adviser's queue may be of the maximum
  // size.
  return RoundTripMargin + Policy.m_TimePerCall * MaxConcurrentCalls +
         Policy.m_TimePerServer * (MaxServersPerCall + Order.m_Servers.size());
}

void AdviceCache::finishCall(const StepId &Step) {
  auto It = m_Steps.find(Step);
  if (It == m_Steps.end() || !It->second.m_CallPending)
    return;
  It->second.m_CallPending = false;
  --m_PendingCalls;
}

void AdviceCache::onReply(const AdviceOrder &Order, const AdviceReply &Reply,
                          const ServerRegistry &Servers, TimePoint Now) {
  auto It = m_Steps.find(Order.m_Step);
  // The job may have ended in the meantime.
  if (It == m_Steps.end())
    return;
  finishCall(Order.m_Step);
  // The validity of the tickets began at an unknown time after the call was
  // sent.
  TimePoint Until = std::max(
      It->second.m_CallSentAt + Reply.m_TicketLifetime - TicketMargin, Now);
  for (const ServerId &Id : Order.m_Servers) {
    ServerAdvice &V = It->second.m_Servers[Id];
    auto Good = Reply.m_Tickets.find(Id);
    V.m_Allowed = Good != Reply.m_Tickets.end();
    m_AllowedShare += AllowedShareWeight *
                      ((V.m_Allowed ? 1.0 : 0.0) - m_AllowedShare) /
                      static_cast<double>(Order.m_Servers.size());
    const ServerState *S = Servers.find(Id);
    if (V.m_Allowed && S)
      V.m_Ticket = {Good->second, S->m_Registration.m_StartTimeMs, Until};
  }
}

void AdviceCache::onFailure(const AdviceOrder &Order, TimePoint Now) {
  finishCall(Order.m_Step);
  m_NotBefore = Now + RetryDelay;
}

} // namespace pollenspool
