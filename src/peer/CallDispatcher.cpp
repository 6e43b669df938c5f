//===- CallDispatcher.cpp - From a peer's call to its handler ------------===//

#include "peer/CallDispatcher.h"

namespace pollenspool {

CallDispatcher::CallDispatcher(const PeerSettings &Settings,
                               std::vector<PeerRoute> Routes, ReplySink Replies)
    : m_Replies(std::move(Replies)),
      m_Blocking(Settings.m_Workers, Settings.m_MaxPendingCalls),
      m_Quick(Settings.m_QuickWorkers, Settings.m_MaxPendingCalls) {
  for (PeerRoute &Route : Routes) {
    std::string Path = Route.m_Path;
    m_Routes.emplace(std::move(Path), std::move(Route));
  }
}

Result<DispatchTicket> CallDispatcher::dispatch(PeerCall Call,
                                                ReplyAddress ReplyTo) {
  auto It = m_Routes.find(Call.m_Path);
  if (It == m_Routes.end())
    return makeError(ErrorCode::NotFound, "dispatch call", {}, Call.m_Path);
  const PeerRoute &Route = It->second;
  HandlerJob Job;
  Job.m_Handler = &Route.m_Handler;
  Job.m_Call = std::move(Call);
  Job.m_Done = [this, ReplyTo](Result<std::string> Answer) {
    m_Replies(ReplyTo, std::move(Answer));
  };
  std::optional<JobTicket> Ticket = pool(Route.m_Lane).submit(std::move(Job));
  if (Ticket)
    return DispatchTicket{Route.m_Lane, *Ticket};
  return makeError(ErrorCode::Refused, "dispatch call", {},
                   "too many calls wait");
}

bool CallDispatcher::cancel(DispatchTicket Ticket) {
  return pool(Ticket.m_Lane).cancel(Ticket.m_Job);
}

void CallDispatcher::stop() {
  m_Blocking.stop();
  m_Quick.stop();
}

HandlerPool &CallDispatcher::pool(PeerLane Lane) {
  return Lane == PeerLane::Quick ? m_Quick : m_Blocking;
}

} // namespace pollenspool
