//===- PoolQueue.cpp - Waiting requests of one pool -----------------------===//

#include "admission/PoolQueue.h"

namespace pollenspool {

void PoolQueue::insert(UrgencyClass Class, const QueueKey &Key,
                       bool Startable) {
  Lane &L = m_Lanes[static_cast<std::size_t>(Class)];
  (Startable ? L.m_Startable : L.m_Claiming).insert(Key);
}

void PoolQueue::makeStartable(UrgencyClass Class, const QueueKey &Key) {
  Lane &L = m_Lanes[static_cast<std::size_t>(Class)];
  L.m_Claiming.erase(Key);
  L.m_Startable.insert(Key);
}

void PoolQueue::remove(UrgencyClass Class, const QueueKey &Key) {
  Lane &L = m_Lanes[static_cast<std::size_t>(Class)];
  L.m_Startable.erase(Key);
  L.m_Claiming.erase(Key);
}

std::optional<QueueKey> PoolQueue::startable(UrgencyClass Class,
                                             std::size_t Position) const {
  const Order &Ready = lane(Class).m_Startable;
  auto It = Ready.find_by_order(Position);
  if (It == Ready.end())
    return std::nullopt;
  return *It;
}

std::optional<QueueKey> PoolQueue::victimFor(UrgencyClass Class) const {
  for (std::size_t C = UrgencyClassCount - 1;
       C > static_cast<std::size_t>(Class); --C) {
    const Order &Ready = m_Lanes[C].m_Startable;
    if (!Ready.empty())
      return *Ready.rbegin();
  }
  return std::nullopt;
}

std::size_t PoolQueue::ahead(UrgencyClass Class, const QueueKey &Key) const {
  std::size_t Count = 0;
  for (std::size_t C = 0; C < static_cast<std::size_t>(Class); ++C)
    Count += depth(static_cast<UrgencyClass>(C));
  const Lane &Own = lane(Class);
  return Count + Own.m_Startable.order_of_key(Key) +
         Own.m_Claiming.order_of_key(Key);
}

std::size_t PoolQueue::depth() const {
  std::size_t Count = 0;
  for (const Lane &L : m_Lanes)
    Count += L.m_Startable.size() + L.m_Claiming.size();
  return Count;
}

std::size_t PoolQueue::depth(UrgencyClass Class) const {
  return lane(Class).m_Startable.size() + lane(Class).m_Claiming.size();
}

} // namespace pollenspool
