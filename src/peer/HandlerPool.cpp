//===- HandlerPool.cpp - Bounded thread pool for peer calls ---------------===//

#include "peer/HandlerPool.h"
#include <exception>

namespace pollenspool {

namespace {

Result<std::string> runHandler(const QueuedCall &Pending) {
  try {
    return (*Pending.m_Handler)(Pending.m_Call);
  } catch (const std::exception &Failure) {
    return makeError(ErrorCode::Internal, "handle " + Pending.m_Call.m_Path, {},
                     Failure.what());
  }
}

} // namespace

HandlerPool::HandlerPool(std::size_t Workers, std::size_t MaxQueuedCalls)
    : m_MaxQueuedCalls(MaxQueuedCalls) {
  m_Threads.reserve(Workers);
  for (std::size_t I = 0; I < Workers; ++I)
    m_Threads.emplace_back([this] { run(); });
}

std::optional<QueuedCallId> HandlerPool::submit(QueuedCall Pending) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  // A call that an idle worker is about to take does not count as queued.
  if (m_Closed || m_Queue.size() >= m_MaxQueuedCalls + m_Idle)
    return std::nullopt;
  QueuedCallId Queued = ++m_LastCallId;
  m_Queue.emplace(Queued, std::move(Pending));
  m_WorkAvailable.notify_one();
  return Queued;
}

bool HandlerPool::cancel(QueuedCallId Queued) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Queue.erase(Queued) != 0;
}

void HandlerPool::close() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Closed = true;
  m_Queue.clear();
  m_WorkAvailable.notify_all();
}

void HandlerPool::stop() {
  close();
  for (std::thread &Thread : m_Threads)
    Thread.join();
  m_Threads.clear();
}

void HandlerPool::run() {
  std::unique_lock<std::mutex> Lock(m_Mutex);
  while (true) {
    ++m_Idle;
    m_WorkAvailable.wait(Lock, [this] { return m_Closed || !m_Queue.empty(); });
    --m_Idle;
    if (m_Closed)
      return;
    auto First = m_Queue.begin();
    QueuedCall Pending = std::move(First->second);
    m_Queue.erase(First);
    Lock.unlock();
    Pending.m_Done(runHandler(Pending));
    Lock.lock();
  }
}

} // namespace pollenspool
