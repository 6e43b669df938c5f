//===- HandlerPool.cpp - Bounded workers for peer calls -------------------===//

#include "peer/HandlerPool.h"
#include <exception>

namespace pollenspool {

namespace {

Result<std::string> runHandler(const HandlerJob &Job) {
  try {
    return (*Job.m_Handler)(Job.m_Call);
  } catch (const std::exception &Failure) {
    return makeError(ErrorCode::Internal, "handle " + Job.m_Call.m_Path, {},
                     Failure.what());
  }
}

} // namespace

HandlerPool::HandlerPool(std::size_t Workers, std::size_t MaxWaiting)
    : m_MaxWaiting(MaxWaiting) {
  m_Threads.reserve(Workers);
  for (std::size_t I = 0; I < Workers; ++I)
    m_Threads.emplace_back([this] { run(); });
}

std::optional<JobTicket> HandlerPool::submit(HandlerJob Job) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  // A job that an idle worker is about to take does not count as waiting.
  if (m_Closed || m_Waiting.size() >= m_MaxWaiting + m_Idle)
    return std::nullopt;
  JobTicket Ticket = ++m_LastTicket;
  m_Waiting.emplace(Ticket, std::move(Job));
  m_Wake.notify_one();
  return Ticket;
}

bool HandlerPool::cancel(JobTicket Ticket) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Waiting.erase(Ticket) != 0;
}

void HandlerPool::close() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Closed = true;
  m_Waiting.clear();
  m_Wake.notify_all();
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
    m_Wake.wait(Lock, [this] { return m_Closed || !m_Waiting.empty(); });
    --m_Idle;
    if (m_Closed)
      return;
    auto First = m_Waiting.begin();
    HandlerJob Job = std::move(First->second);
    m_Waiting.erase(First);
    Lock.unlock();
    Job.m_Done(runHandler(Job));
    Lock.lock();
  }
}

} // namespace pollenspool
