//===- CallDispatcher.cpp - Dispatches peers' calls to handlers -----------===//

#include "peer/CallDispatcher.h"

namespace pollenspool {

CallDispatcher::CallDispatcher(const PeerSettings &Settings,
                               std::vector<PeerRoute> Routes,
                               ReplyCallback SendReply)
    : m_SendReply(std::move(SendReply)),
      m_Blocking(Settings.m_Workers, Settings.m_MaxPendingCalls),
      m_Quick(Settings.m_QuickWorkers, Settings.m_MaxPendingCalls) {
  for (PeerRoute &Route : Routes) {
    std::string Path = Route.m_Path;
    m_Routes.emplace(std::move(Path), std::move(Route));
  }
}

Result<QueuedCallHandle> CallDispatcher::dispatch(PeerCall Call,
                                                  ReplyAddress ReplyTo) {
  auto It = m_Routes.find(Call.m_Path);
  if (It == m_Routes.end())
    return makeError(ErrorCode::NotFound, "dispatch call", {}, Call.m_Path);
  const PeerRoute &Route = It->second;
  QueuedCall Pending;
  Pending.m_Handler = &Route.m_Handler;
  Pending.m_Call = std::move(Call);
  Pending.m_Done = [this, ReplyTo](Result<std::string> Answer) {
    m_SendReply(ReplyTo, std::move(Answer));
  };
  std::optional<QueuedCallId> Queued =
      pool(Route.m_Lane).submit(std::move(Pending));
  if (Queued)
    return QueuedCallHandle{Route.m_Lane, *Queued};
  return makeError(ErrorCode::Refused, "dispatch call", {},
                   "too many calls are queued");
}

bool CallDispatcher::cancel(QueuedCallHandle Queued) {
  return pool(Queued.m_Lane).cancel(Queued.m_CallId);
}

void CallDispatcher::stop() {
  m_Blocking.stop();
  m_Quick.stop();
}

HandlerPool &CallDispatcher::pool(PeerLane Lane) {
  return Lane == PeerLane::Quick ? m_Quick : m_Blocking;
}

} // namespace pollenspool
