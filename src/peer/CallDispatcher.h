//===- CallDispatcher.h - From a peer's call to its handler -----*- C++ -*-===//
//
// Finds the route of a call, queues it on the route's lane and posts the result
// back to the loop.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_CALLDISPATCHER_H
#define POLLENSPOOL_PEER_CALLDISPATCHER_H

#include "peer/HandlerPool.h"
#include "peer/PeerConnection.h"
#include <unordered_map>

namespace pollenspool {

/// Where an answer has to go.
struct ReplyAddress {
  ConnectionId m_Connection = 0;
  StreamId m_Stream = 0;
};

/// A call that waits for a worker.
struct DispatchTicket {
  PeerLane m_Lane = PeerLane::Blocking;
  JobTicket m_Job = 0;
};

/// Takes results on worker threads.
using ReplySink = std::function<void(ReplyAddress, Result<std::string>)>;

/// dispatch() and cancel() on the loop thread, the rest on any.
class CallDispatcher {
public:
  CallDispatcher(const PeerSettings &Settings, std::vector<PeerRoute> Routes,
                 ReplySink Replies);

  /// Queues \p Call. Errors: NotFound without a route, Refused at the bound.
  Result<DispatchTicket> dispatch(PeerCall Call, ReplyAddress ReplyTo);

  /// Takes a waiting call back. False if a worker has it.
  bool cancel(DispatchTicket Ticket);

  /// Waits for running handlers; waiting calls are dropped.
  void stop();

private:
  HandlerPool &pool(PeerLane Lane);

  std::unordered_map<std::string, PeerRoute> m_Routes;
  ReplySink m_Replies;
  HandlerPool m_Blocking;
  HandlerPool m_Quick;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_CALLDISPATCHER_H
