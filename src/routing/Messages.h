//===- Messages.h - Instances and load reports ------------------*- C++ -*-===//
//
// Input of routing from the I/O driver: the instances, the capacity of other
// data centres, and the load reports that the heartbeats of entry instances
// carry.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_MESSAGES_H
#define POLLENSPOOL_ROUTING_MESSAGES_H

#include "base/Ids.h"
#include <cstdint>
#include <string>
#include <vector>

namespace pollenspool {

/// A backend server instance of the own data centre.
struct InstanceTarget {
  InstanceId m_Id;
  PoolName m_Pool;
  DataCentreName m_DataCentre;
  RackName m_Rack;
  /// "ip:port" of the backend server.
  std::string m_Address;
  /// False while the instance drains or is unavailable. No try is started at it
  /// then.
  bool m_AcceptsWork = false;
  /// Increases with each change of the instance. A target with an older epoch
  /// is ignored.
  std::uint64_t m_Epoch = 0;
};

/// Tries in flight at one instance.
struct InstanceLoad {
  InstanceId m_Instance;
  std::uint32_t m_InFlight = 0;
};

/// Number of requests of one pool that can start without waiting.
struct PoolFreeCapacity {
  PoolName m_Pool;
  std::uint32_t m_FreeSlots = 0;
};

/// Load of one entry instance, carried by its heartbeats.
struct LoadReport {
  std::vector<InstanceLoad> m_Instances;
  std::vector<PoolFreeCapacity> m_Pools;
};

/// The load report of one peer of the own data centre.
struct PeerLoadReport {
  EntryId m_Peer;
  LoadReport m_Report;
};

/// Free capacity of another data centre, summed over its entry instances.
struct RemoteCapacity {
  DataCentreName m_DataCentre;
  bool m_Reachable = false;
  std::vector<PoolFreeCapacity> m_Pools;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_MESSAGES_H
