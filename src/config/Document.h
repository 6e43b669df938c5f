//===- Document.h - The operators' configuration document -------*- C++ -*-===//
//
// The one validated document of pools, services, teams and policy. The tool and
// the daemon read it by the same parser, which reports every fault at once.
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
  /// Instances that the pool starts with; moves change it afterwards.
  std::uint32_t m_Instances = 0;
  /// Serving instances that the pool keeps at all times.
  std::uint32_t m_Promised = 0;
  /// Instances that may be away at once, planned and unplanned together.
  std::uint32_t m_AvailabilityBudget = 1;
  /// True for the pool that gives instances to others and takes them back.
  bool m_Spare = false;
};

struct Service {
  ServiceName m_Name;
  PoolName m_Pool;
  UrgencyClass m_Class = UrgencyClass::Normal;
  /// Deadline of a request that names none.
  std::chrono::milliseconds m_Timeout{10000};
};

struct Team {
  TeamName m_Name;
  /// Requests a second that the team is promised.
  double m_RequestsPerSecond = 0;
};

/// The customer's prices; only their ratios matter.
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
  /// Retries as a share of first tries, per service.
  double m_RetryBudget = 0.1;
  /// Largest share of a pool that may be ejected as failing.
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

  /// The service of that name, or null. Thread safe on a const document.
  const Service *findService(const ServiceName &Name) const;
  /// The pool of that name, or null. Thread safe on a const document.
  const Pool *findPool(const PoolName &Name) const;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_DOCUMENT_H
