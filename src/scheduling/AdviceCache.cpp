//===- AdviceCache.cpp - Where steps may run, as the adviser says
//----------===//

#include "scheduling/AdviceCache.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// The adviser works on one call of an instance at a time; a second one waits
/// there, so that no time is lost between them.
constexpr std::size_t CallsAtOnce = 2;
/// Each server asked about takes the adviser time, and the users reckon with
/// calls on 30; the adviser takes 100 at most.
constexpr std::size_t ServersACall = 30;
/// Asked about beyond the number that the share of allowed ones asks for.
constexpr std::size_t SpareServers = 2;
/// Before the next call after one that failed.
constexpr Duration RetryPause = std::chrono::milliseconds(100);
/// Time for the way there and back, beside the adviser's work.
constexpr Duration CallSlack = std::chrono::milliseconds(500);
/// A ticket is not used in the last part of its life: the start that carries it
/// has to arrive in time.
constexpr Duration TicketMargin = std::chrono::milliseconds(100);
/// Weight of one answer in the share of allowed servers.
constexpr double ShareWeight = 0.2;
/// The share is never taken for less, so that a call stays small.
constexpr double LeastShare = 0.05;

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
  bool Valid = T.m_BornMs == S.m_Registration.m_BornMs && Now < T.m_ValidUntil;
  return Valid ? &T.m_Text : nullptr;
}

bool AdviceCache::isDenied(const StepId &Step, const ServerId &Server) const {
  auto It = m_Steps.find(Step);
  if (It == m_Steps.end())
    return false;
  auto Known = It->second.m_Servers.find(Server);
  return Known != It->second.m_Servers.end() && !Known->second.m_Allowed;
}

void AdviceCache::dropTicket(const StepId &Step, const ServerId &Server) {
  if (auto It = m_Steps.find(Step); It != m_Steps.end())
    if (auto Known = It->second.m_Servers.find(Server);
        Known != It->second.m_Servers.end())
      Known->second.m_Ticket.m_ValidUntil = {};
}

void AdviceCache::forget(const JobId &Job) {
  auto It = m_Steps.lower_bound({Job, 0, 0});
  while (It != m_Steps.end() && It->first.m_Job == Job) {
    if (It->second.m_Asking)
      --m_Calls;
    It = m_Steps.erase(It);
  }
}

bool AdviceCache::mayAsk(const StepId &Step, TimePoint Now) const {
  if (m_Calls >= CallsAtOnce || Now < m_NotBefore)
    return false;
  auto It = m_Steps.find(Step);
  return It == m_Steps.end() || !It->second.m_Asking;
}

std::vector<ServerId>
AdviceCache::choose(const StepId &Step,
                    const std::vector<ServerState *> &Candidates,
                    std::size_t Tasks, std::size_t Fit, TimePoint Now) const {
  auto It = m_Steps.find(Step);
  double Places = std::ceil(static_cast<double>(Tasks) /
                            static_cast<double>(std::max<std::size_t>(Fit, 1)));
  auto Wanted =
      static_cast<std::size_t>(Places / std::max(m_AllowedShare, LeastShare)) +
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
  // Servers known to be allowed are certain to bring a ticket again.
  Allowed.insert(Allowed.end(), Unknown.begin(), Unknown.end());
  Allowed.resize(std::min({Allowed.size(), Wanted, ServersACall}));
  return Allowed;
}

Duration AdviceCache::noteAsked(const AdviceOrder &Order,
                                const AdvicePolicy &Policy, TimePoint Now) {
  StepAdvice &Advice = m_Steps[Order.m_Step];
  Advice.m_Asking = true;
  Advice.m_AskedAt = Now;
  ++m_Calls;
  // The call before it may be the largest there is.
  return CallSlack + Policy.m_PerCall * CallsAtOnce +
         Policy.m_PerServer * (ServersACall + Order.m_Servers.size());
}

void AdviceCache::finishCall(const StepId &Step) {
  auto It = m_Steps.find(Step);
  if (It == m_Steps.end() || !It->second.m_Asking)
    return;
  It->second.m_Asking = false;
  --m_Calls;
}

void AdviceCache::onReply(const AdviceOrder &Order, const AdviceReply &Reply,
                          const ServerRegistry &Servers, TimePoint Now) {
  auto It = m_Steps.find(Order.m_Step);
  // The job may be over by now.
  if (It == m_Steps.end())
    return;
  finishCall(Order.m_Step);
  // The tickets began at some time after the call was sent.
  TimePoint Until =
      std::max(It->second.m_AskedAt + Reply.m_Valid - TicketMargin, Now);
  for (const ServerId &Id : Order.m_Servers) {
    Verdict &V = It->second.m_Servers[Id];
    auto Good = Reply.m_Tickets.find(Id);
    V.m_Allowed = Good != Reply.m_Tickets.end();
    m_AllowedShare += ShareWeight *
                      ((V.m_Allowed ? 1.0 : 0.0) - m_AllowedShare) /
                      static_cast<double>(Order.m_Servers.size());
    const ServerState *S = Servers.find(Id);
    if (V.m_Allowed && S)
      V.m_Ticket = {Good->second, S->m_Registration.m_BornMs, Until};
  }
}

void AdviceCache::onFailure(const AdviceOrder &Order, TimePoint Now) {
  finishCall(Order.m_Step);
  m_NotBefore = Now + RetryPause;
}

} // namespace pollenspool
