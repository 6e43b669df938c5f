//===- HandlerPool.h - Bounded workers for peer calls -----------*- C++ -*-===//
//
// Runs handlers in the order of their calls. A call that is cancelled while it
// waits frees its place at once and never runs.
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

/// Names a waiting job.
using JobTicket = std::uint64_t;

struct HandlerJob {
  const PeerHandler *m_Handler = nullptr;
  PeerCall m_Call;
  /// Called on the worker with the handler's result.
  std::function<void(Result<std::string>)> m_Done;
};

/// Thread safe.
class HandlerPool {
public:
  HandlerPool(std::size_t Workers, std::size_t MaxWaiting);
  ~HandlerPool() { stop(); }

  /// Queues \p Job; nothing if the bound is reached or the pool has stopped.
  std::optional<JobTicket> submit(HandlerJob Job);

  /// Takes a waiting job back. False if it has started or ended.
  bool cancel(JobTicket Ticket);

  /// Takes no more jobs and drops those that wait. Does not block.
  void close();

  /// Closes and waits for running handlers.
  void stop();

private:
  void run();

  const std::size_t m_MaxWaiting;
  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  std::map<JobTicket, HandlerJob> m_Waiting;
  JobTicket m_LastTicket = 0;
  std::size_t m_Idle = 0;
  bool m_Closed = false;
  std::vector<std::thread> m_Threads;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_HANDLERPOOL_H
