//===- RecentOrders.h - Orders that the next leader must know of *- C++ -*-===//
//
// The platform wants a gap between the orders of two leaders for one instance.
// A leader announces its orders in the store before it gives them, with the
// store's time, so that the next leader waits no longer than it has to.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_INSTANCES_RECENTORDERS_H
#define POLLENSPOOL_INSTANCES_RECENTORDERS_H

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include <map>

namespace pollenspool {

/// One thread.
class RecentOrders {
public:
  struct Entry {
    /// The store's time of the announcement; 0: not known.
    std::chrono::milliseconds m_At{0};
    std::string m_Leader;
  };

  void note(const InstanceId &Id, std::chrono::milliseconds At,
            const std::string &Leader) {
    m_Entries[Id] = {At, Leader};
  }
  /// Forgets what no leader has to wait for any more at the store's time \p
  /// Now. \p Gap is the platform's, between two leaders' orders for an
  /// instance.
  void forgetOlder(Duration Gap, std::chrono::milliseconds Now);
  const std::map<InstanceId, Entry> &all() const { return m_Entries; }

  /// How long \p Leader has to wait with an order after that of \p E, from the
  /// store's time \p Now on; 0: not known. \p Gap is the platform's.
  static Duration waitAfter(const Entry &E, const std::string &Leader,
                            Duration Gap, std::chrono::milliseconds Now);

  std::string encode() const;
  /// Errors: InvalidMessage.
  static Result<RecentOrders> decode(const std::string &Text);

private:
  /// From an announcement on: the gap counts from when the order is carried
  /// out.
  static Duration longestWait(Duration Gap);

  std::map<InstanceId, Entry> m_Entries;
};

/// How long after its announcement an order may still be given; a store that
/// is 70 times slower than usual takes half of it.
inline constexpr Duration GiveWithin = std::chrono::milliseconds(600);

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_RECENTORDERS_H
