//===- HandlerPool.h - Bounded thread pool for peer calls -------*- C++ -*-===//
//
// Runs handlers in the order in which their calls were submitted. A queued call
// that is cancelled leaves the queue at once and its handler never runs.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_HANDLERPOOL_H
#define POLLENSPOOL_PEER_HANDLERPOOL_H

#include "peer/PeerTransport.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace pollenspool {

/// Identifies a queued call of one pool.
using QueuedCallId = std::uint64_t;

struct QueuedCall {
  const PeerHandler *m_Handler = nullptr;
  PeerCall m_Call;
  /// Called on the worker with the handler's result.
  std::function<void(Result<std::string>)> m_Done;
};

/// A fixed number of worker threads with a bounded queue. Thread safe.
class HandlerPool {
public:
  HandlerPool(std::size_t Workers, std::size_t MaxQueuedCalls);
  ~HandlerPool() { stop(); }

  /// Queues \p Pending. Returns nullopt if the queue is full or the pool is
  /// closed.
  std::optional<QueuedCallId> submit(QueuedCall Pending);

  /// Removes a queued call. Returns false if its handler has started or ended.
  bool cancel(QueuedCallId Queued);

  /// Accepts no more calls and drops the queued ones. Does not block.
  void close();

  /// Closes the pool and waits for running handlers.
  void stop();

private:
  void run();

  const std::size_t m_MaxQueuedCalls;
  std::mutex m_Mutex;
  std::condition_variable m_WorkAvailable;
  std::map<QueuedCallId, QueuedCall> m_Queue;
  QueuedCallId m_LastCallId = 0;
  std::size_t m_Idle = 0;
  bool m_Closed = false;
  std::vector<std::thread> m_Threads;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_HANDLERPOOL_H
