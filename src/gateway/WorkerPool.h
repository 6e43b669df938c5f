//===- WorkerPool.h - Threads of the HTTP servers ---------------*- C++ -*-===//
//
// cpp-httplib's own pool has few threads and an unbounded queue in front. This
// one starts threads as connections come, up to a bound, and knows how many
// tasks it holds, so that a drain can wait for all of them.
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

/// Tasks that a server holds: running connections and those that wait.
class TaskCount {
public:
  void add();
  void remove();
  /// Thread safe.
  std::size_t value() const;

private:
  mutable std::mutex m_Mutex;
  std::size_t m_Value = 0;
};

/// One server's threads. enqueue() is called by the accepting thread.
class WorkerPool final : public httplib::TaskQueue {
public:
  /// \p Tasks has to outlive the pool.
  WorkerPool(std::size_t MaxThreads, TaskCount &Tasks);
  ~WorkerPool() override = default;

  void enqueue(std::function<void()> Task) override;
  /// Finishes all tasks, also those that wait.
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
