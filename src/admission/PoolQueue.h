//===- PoolQueue.h - Waiting requests of one pool ---------------*- C++ -*-===//
//
// Ordered by class, then by deadline. Requests whose claim is in progress hold
// a place but can be neither started nor evicted.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMISSION_POOLQUEUE_H
#define POLLENSPOOL_ADMISSION_POOLQUEUE_H

#include "admission/Ticket.h"
#include "base/Time.h"
#include "request/Request.h"
#include <array>
#include <ext/pb_ds/assoc_container.hpp>
#include <optional>

namespace pollenspool {

/// A place in the queue: unique by its ticket.
struct QueueKey {
  TimePoint m_Deadline;
  Ticket m_Ticket = 0;

  friend bool operator<(const QueueKey &A, const QueueKey &B) {
    if (A.m_Deadline != B.m_Deadline)
      return A.m_Deadline < B.m_Deadline;
    return A.m_Ticket < B.m_Ticket;
  }
};

/// Every operation is O(log n). Not thread safe.
class PoolQueue {
public:
  /// Preconditions: \p Key stands in no queue.
  void insert(UrgencyClass Class, const QueueKey &Key, bool Startable);

  /// Lets a request start whose claim has been granted.
  void makeStartable(UrgencyClass Class, const QueueKey &Key);

  /// Removes \p Key; nothing happens if it is absent.
  void remove(UrgencyClass Class, const QueueKey &Key);

  /// The startable request at \p Position of its class's order, if any.
  std::optional<QueueKey> startable(UrgencyClass Class,
                                    std::size_t Position) const;

  /// The startable request to give up for one of \p Class: the least urgent
  /// class first, its latest deadline first.
  std::optional<QueueKey> victimFor(UrgencyClass Class) const;

  /// Requests that would go before \p Key.
  std::size_t ahead(UrgencyClass Class, const QueueKey &Key) const;

  std::size_t depth() const;
  std::size_t depth(UrgencyClass Class) const;

private:
  using Order = __gnu_pbds::tree<QueueKey, __gnu_pbds::null_type,
                                 std::less<QueueKey>, __gnu_pbds::rb_tree_tag,
                                 __gnu_pbds::tree_order_statistics_node_update>;

  struct Lane {
    Order m_Startable;
    Order m_Claiming;
  };

  const Lane &lane(UrgencyClass Class) const {
    return m_Lanes[static_cast<std::size_t>(Class)];
  }

  std::array<Lane, UrgencyClassCount> m_Lanes;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ADMISSION_POOLQUEUE_H
