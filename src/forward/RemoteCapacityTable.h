//===- RemoteCapacityTable.h - Capacity of other data centres ---*- C++ -*-===//
//
// Estimates the free slots of other data centres from the instances in the
// serving view and from recently refused requests, without any extra message: a
// refusal excludes a pool of a data centre for a backoff period.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FORWARD_REMOTECAPACITYTABLE_H
#define POLLENSPOOL_FORWARD_REMOTECAPACITYTABLE_H

#include "request/Request.h"
#include "routing/Messages.h"
#include <functional>
#include <map>
#include <tuple>

namespace pollenspool {

/// Deterministic. Not thread safe.
class RemoteCapacityTable {
public:
  /// Replaces the instances of one other data centre. Only those that accept
  /// work count.
  void setTargets(const DataCentreName &Where,
                  const std::vector<InstanceTarget> &Targets,
                  std::uint32_t SlotsPerInstance);

  /// Records the outcome of a forwarded request. An answer ends the pool's
  /// backoff in that data centre. Any other outcome excludes the pool there for
  /// a backoff that doubles up to a maximum.
  void onOutcome(const DataCentreName &Where, const PoolName &Pool,
                 const Outcome &Final, TimePoint Now);

  /// Returns the free slots of each data centre at \p Now, for the dispatcher.
  std::vector<RemoteCapacity>
  capacity(const std::function<bool(const DataCentreName &)> &IsReachable,
           TimePoint Now) const;

private:
  struct PoolKey {
    DataCentreName m_Where;
    PoolName m_Pool;
    bool operator<(const PoolKey &Other) const {
      return std::tie(m_Where, m_Pool) < std::tie(Other.m_Where, Other.m_Pool);
    }
  };
  struct PoolCapacity {
    std::uint32_t m_Slots = 0;
    TimePoint m_BackoffUntil{};
    Duration m_Backoff{0};
  };

  std::map<PoolKey, PoolCapacity> m_PoolCapacities;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FORWARD_REMOTECAPACITYTABLE_H
