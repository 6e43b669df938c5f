//===- CallDispatcher.h - Dispatches peers' calls to handlers ---*- C++ -*-===//
//
// Looks up the route of a call, queues the call on the worker pool of the
// route's lane and passes the result to a callback.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_CALLDISPATCHER_H
#define POLLENSPOOL_PEER_CALLDISPATCHER_H

#include "peer/HandlerPool.h"
#include "peer/PeerConnection.h"
#include <unordered_map>

namespace pollenspool {

/// The connection and stream that an answer is sent on.
struct ReplyAddress {
  ConnectionId m_Connection = 0;
  StreamId m_Stream = 0;
};

/// Identifies a queued call, so that it can be cancelled.
struct QueuedCallHandle {
  PeerLane m_Lane = PeerLane::Blocking;
  QueuedCallId m_CallId = 0;
};

/// Receives the results of handlers. Called on worker threads.
using ReplyCallback = std::function<void(ReplyAddress, Result<std::string>)>;

/// dispatch() and cancel() must be called on the loop thread, the other
/// functions on any thread.
class CallDispatcher {
public:
  CallDispatcher(const PeerSettings &Settings, std::vector<PeerRoute> Routes,
                 ReplyCallback SendReply);

  /// Queues \p Call. Errors: NotFound if its path has no route, Refused if the
  /// lane's queue is full.
  Result<QueuedCallHandle> dispatch(PeerCall Call, ReplyAddress ReplyTo);

  /// Removes a queued call. Returns false if a worker has already taken it.
  bool cancel(QueuedCallHandle Queued);

  /// Drops queued calls and waits for running handlers.
  void stop();

private:
  HandlerPool &pool(PeerLane Lane);

  std::unordered_map<std::string, PeerRoute> m_Routes;
  ReplyCallback m_SendReply;
  HandlerPool m_Blocking;
  HandlerPool m_Quick;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_CALLDISPATCHER_H
