//===- Document.h - The operators' configuration document -------*- C++ -*-===//
//
// The configuration document of pools, services, teams and policy, which
// operators write. The command-line tool and the daemon read it with the same
// parser, which reports every fault in one run.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CONFIG_DOCUMENT_H
#define POLLENSPOOL_CONFIG_DOCUMENT_H

#include "base/Ids.h"
#include "request/Request.h"
#include <cstdint>
#include <string>
#include <vector>

namespace pollenspool {

struct DataCentre {
  DataCentreName m_Name;
  std::string m_Region;
};

struct Pool {
  PoolName m_Name;
  /// Initial number of instances; moves between pools change it afterwards.
  std::uint32_t m_Instances = 0;
  /// Minimum number of serving instances at all times.
  std::uint32_t m_MinServing = 0;
  /// Maximum number of instances that may be unavailable at once, planned and
  /// unplanned together.
  std::uint32_t m_AvailabilityBudget = 1;
  /// True for the pool that lends instances to the other pools.
  bool m_Spare = false;
};

struct Service {
  ServiceName m_Name;
  PoolName m_Pool;
  UrgencyClass m_Class = UrgencyClass::Normal;
  /// Deadline of a request that does not set one.
  std::chrono::milliseconds m_Timeout{10000};
};

struct Team {
  TeamName m_Name;
  /// Quota, in requests per second.
  double m_RequestsPerSecond = 0;
};

/// Relative costs that the customer assigns; only their ratios matter.
struct Weights {
  double m_Buffer = 1;
  double m_Rollout = 1;
  double m_Moves = 1;
};

/// Limits of the request path.
struct RequestPolicy {
  std::uint32_t m_SlotsPerInstance = 8;
  std::uint32_t m_ConnectionsPerInstance = 64;
  std::uint32_t m_MaxAttempts = 3;
  /// Retries per first try of a service, as a fraction.
  double m_RetryBudget = 0.1;
  /// Maximum fraction of a pool that may be ejected as failing.
  double m_MaxEjectedShare = 0.3;
  std::uint32_t m_QueuePerInstance = 32;
};

struct Document {
  std::string m_Customer;
  Weights m_Weights;
  std::vector<DataCentre> m_DataCentres;
  std::vector<Pool> m_Pools;
  std::vector<Service> m_Services;
  std::vector<Team> m_Teams;
  RequestPolicy m_Policy;

  /// Returns the service of that name, or null. Thread safe on a const
  /// document.
  const Service *findService(const ServiceName &Name) const;
  /// Returns the pool of that name, or null. Thread safe on a const document.
  const Pool *findPool(const PoolName &Name) const;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_DOCUMENT_H
