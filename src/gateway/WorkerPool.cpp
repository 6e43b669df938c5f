//===- WorkerPool.cpp - Thread pool of the HTTP servers -------------------===//

#include "gateway/WorkerPool.h"

namespace pollenspool {

void TaskCount::add() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Value;
}

void TaskCount::remove() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  --m_Value;
}

std::size_t TaskCount::value() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Value;
}

WorkerPool::WorkerPool(std::size_t MaxThreads, TaskCount &Tasks)
    : m_MaxThreads(MaxThreads), m_Tasks(Tasks) {}

void WorkerPool::enqueue(std::function<void()> Task) {
  m_Tasks.add();
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Queue.push_back(std::move(Task));
  if (m_Queue.size() > m_Idle && m_Threads.size() < m_MaxThreads)
    m_Threads.emplace_back([this] { runWorker(); });
  else
    m_Wake.notify_one();
}

void WorkerPool::shutdown() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Closing = true;
  }
  m_Wake.notify_all();
  for (std::thread &T : m_Threads)
    T.join();
}

void WorkerPool::runWorker() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  for (;;) {
    ++m_Idle;
    m_Wake.wait(Lock, [&] { return !m_Queue.empty() || m_Closing; });
    --m_Idle;
    if (m_Queue.empty())
      return;
    std::function<void()> Task = std::move(m_Queue.front());
    m_Queue.pop_front();
    Lock.unlock();
    Task();
    m_Tasks.remove();
    Lock.lock();
  }
}

} // namespace pollenspool
