//===- PoolQueue.h - Queue of the waiting requests of one pool --*- C++ -*-===//
//
// Ordered by class, then by deadline. Requests whose claim is still pending
// count towards the queue length, but can be neither started nor evicted.
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

/// Position in the queue of a class. The ticket makes it unique.
struct QueueKey {
  TimePoint m_Deadline;
  Ticket m_Ticket = 0;

  friend bool operator<(const QueueKey &A, const QueueKey &B) {
    if (A.m_Deadline != B.m_Deadline)
      return A.m_Deadline < B.m_Deadline;
    return A.m_Ticket < B.m_Ticket;
  }
};

/// Changes and look-ups take O(log n) time. Not thread safe.
class PoolQueue {
public:
  /// Precondition: no request with \p Key is queued. A request that is not
  /// \p Startable waits for its claim.
  void insert(UrgencyClass Class, const QueueKey &Key, bool Startable);

  /// Makes the request startable after its claim was granted.
  void makeStartable(UrgencyClass Class, const QueueKey &Key);

  /// Removes \p Key. Does nothing if it is not queued.
  void remove(UrgencyClass Class, const QueueKey &Key);

  /// The startable request at \p Position in the deadline order of \p Class, or
  /// nothing if there are not that many.
  std::optional<QueueKey> startable(UrgencyClass Class,
                                    std::size_t Position) const;

  /// The startable request to evict for a request of \p Class: the one with the
  /// latest deadline of the least urgent class below \p Class.
  std::optional<QueueKey> evictionCandidate(UrgencyClass Class) const;

  /// Number of queued requests that would start before \p Key.
  std::size_t ahead(UrgencyClass Class, const QueueKey &Key) const;

  std::size_t depth() const;
  std::size_t depth(UrgencyClass Class) const;

private:
  using KeySet =
      __gnu_pbds::tree<QueueKey, __gnu_pbds::null_type, std::less<QueueKey>,
                       __gnu_pbds::rb_tree_tag,
                       __gnu_pbds::tree_order_statistics_node_update>;

  struct ClassQueue {
    KeySet m_Startable;
    KeySet m_AwaitingClaim;
  };

  const ClassQueue &classQueue(UrgencyClass Class) const {
    return m_ClassQueues[static_cast<std::size_t>(Class)];
  }

  std::array<ClassQueue, UrgencyClassCount> m_ClassQueues;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ADMISSION_POOLQUEUE_H
