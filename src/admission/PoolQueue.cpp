//===- PoolQueue.cpp - Queue of the waiting requests of one pool ----------===//

#include "admission/PoolQueue.h"

namespace pollenspool {

void PoolQueue::insert(UrgencyClass Class, const QueueKey &Key,
                       bool Startable) {
  ClassQueue &L = m_ClassQueues[static_cast<std::size_t>(Class)];
  (Startable ? L.m_Startable : L.m_AwaitingClaim).insert(Key);
}

void PoolQueue::makeStartable(UrgencyClass Class, const QueueKey &Key) {
  ClassQueue &L = m_ClassQueues[static_cast<std::size_t>(Class)];
  L.m_AwaitingClaim.erase(Key);
  L.m_Startable.insert(Key);
}

void PoolQueue::remove(UrgencyClass Class, const QueueKey &Key) {
  ClassQueue &L = m_ClassQueues[static_cast<std::size_t>(Class)];
  L.m_Startable.erase(Key);
  L.m_AwaitingClaim.erase(Key);
}

std::optional<QueueKey> PoolQueue::startable(UrgencyClass Class,
                                             std::size_t Position) const {
  const KeySet &Ready = classQueue(Class).m_Startable;
  auto It = Ready.find_by_order(Position);
  if (It == Ready.end())
    return std::nullopt;
  return *It;
}

std::optional<QueueKey> PoolQueue::evictionCandidate(UrgencyClass Class) const {
  for (std::size_t C = UrgencyClassCount - 1;
       C > static_cast<std::size_t>(Class); --C) {
    const KeySet &Ready = m_ClassQueues[C].m_Startable;
    if (!Ready.empty())
      return *Ready.rbegin();
  }
  return std::nullopt;
}

std::size_t PoolQueue::ahead(UrgencyClass Class, const QueueKey &Key) const {
  std::size_t Count = 0;
  for (std::size_t C = 0; C < static_cast<std::size_t>(Class); ++C)
    Count += depth(static_cast<UrgencyClass>(C));
  const ClassQueue &Own = classQueue(Class);
  return Count + Own.m_Startable.order_of_key(Key) +
         Own.m_AwaitingClaim.order_of_key(Key);
}

std::size_t PoolQueue::depth() const {
  std::size_t Count = 0;
  for (const ClassQueue &L : m_ClassQueues)
    Count += L.m_Startable.size() + L.m_AwaitingClaim.size();
  return Count;
}

std::size_t PoolQueue::depth(UrgencyClass Class) const {
  return classQueue(Class).m_Startable.size() +
         classQueue(Class).m_AwaitingClaim.size();
}

} // namespace pollenspool
