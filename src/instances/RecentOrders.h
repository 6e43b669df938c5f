//===- RecentOrders.h - Orders announced to the next leader -----*- C++ -*-===//
//
// The platform requires a minimum interval between the orders of two leaders
// for one instance. A leader stores its orders with the store's time before it
// sends them, so that the next leader waits no longer than necessary.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_INSTANCES_RECENTORDERS_H
#define POLLENSPOOL_INSTANCES_RECENTORDERS_H

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include <map>

namespace pollenspool {

/// The announced orders by instance. Not thread safe.
class RecentOrders {
public:
  struct Announcement {
    /// The store's time of the announcement; 0 if unknown.
    std::chrono::milliseconds m_At{0};
    std::string m_Leader;
  };

  void add(const InstanceId &Id, std::chrono::milliseconds At,
           const std::string &Leader) {
    m_Announcements[Id] = {At, Leader};
  }
  /// Removes the announcements for which no leader has to wait any more at the
  /// store's time \p Now. \p MinInterval is the platform's minimum interval
  /// between two leaders' orders for one instance.
  void removeExpired(Duration MinInterval, std::chrono::milliseconds Now);
  const std::map<InstanceId, Announcement> &all() const {
    return m_Announcements;
  }

  /// How long after the store's time \p Now (0 if unknown) \p Leader has to
  /// wait before it orders the instance of \p E. \p MinInterval is as in
  /// removeExpired().
  static Duration remainingWait(const Announcement &E,
                                const std::string &Leader, Duration MinInterval,
                                std::chrono::milliseconds Now);

  std::string encode() const;
  /// Errors: InvalidMessage.
  static Result<RecentOrders> decode(const std::string &Text);

private:
  /// Longest wait after an announcement. It exceeds \p MinInterval, which
  /// counts from the time at which the order is carried out.
  static Duration maxWait(Duration MinInterval);

  std::map<InstanceId, Announcement> m_Announcements;
};

/// How long after its announcement an order may still be sent. A store that is
/// 70 times slower than usual takes half of this to store the announcement.
inline constexpr Duration MaxAnnouncementAge = std::chrono::milliseconds(600);

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_RECENTORDERS_H
