//===- WorkerPool.h - Thread pool of the HTTP servers -----------*- C++ -*-===//
//
// cpp-httplib's default pool has few threads and an unbounded queue. This pool
// starts threads on demand up to a limit, and counts its tasks, so that a drain
// can wait for all of them.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_GATEWAY_WORKERPOOL_H
#define POLLENSPOOL_GATEWAY_WORKERPOOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace pollenspool {

/// Number of connections that a server is serving or has queued. Thread safe.
class TaskCount {
public:
  void add();
  void remove();
  std::size_t value() const;

private:
  mutable std::mutex m_Mutex;
  std::size_t m_Value = 0;
};

/// The threads of one server. enqueue() is called by the accepting thread only.
class WorkerPool final : public httplib::TaskQueue {
public:
  /// \p Tasks must outlive the pool.
  WorkerPool(std::size_t MaxThreads, TaskCount &Tasks);
  ~WorkerPool() override = default;

  void enqueue(std::function<void()> Task) override;
  /// Runs all queued tasks and joins the threads. Blocks.
  void shutdown() override;

private:
  void runWorker();

  const std::size_t m_MaxThreads;
  TaskCount &m_Tasks;
  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  std::deque<std::function<void()>> m_Queue;
  std::vector<std::thread> m_Threads;
  std::size_t m_Idle = 0;
  bool m_Closing = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_WORKERPOOL_H
