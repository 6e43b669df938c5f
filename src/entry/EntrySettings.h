//===- EntrySettings.h - Settings of an entry instance ----------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ENTRYSETTINGS_H
#define POLLENSPOOL_ENTRY_ENTRYSETTINGS_H

#include "base/Ids.h"
#include "base/Time.h"
#include "organisations/Authorization.h"
#include <cstdint>
#include <string>

namespace pollenspool {

/// Settings that an entry instance reads at its start. The defaults suit the
/// smallest deployment.
struct EntrySettings {
  /// Name of this instance; each instance needs its own.
  std::string m_Name;
  /// Listening addresses for callers, readiness checks and metrics, "ip:port".
  std::string m_Callers;
  std::string m_Readiness;
  std::string m_Metrics;
  /// Addresses of the platform's store and instance service.
  std::string m_Store;
  std::string m_InstanceService;
  /// Address of the placement adviser; empty if there is none.
  std::string m_Adviser;
  /// Number of cores available to this instance, usually a fraction.
  double m_CpuShare = 0.25;
  /// Bandwidth of its network link in Mbit/s.
  double m_LinkMbps = 1000;
  /// Memory available to this instance.
  unsigned m_MemoryMb = 160;
  /// Number of descriptors it may have open; 0 if only the system limits it.
  unsigned m_MaxDescriptors = 0;

  /// How callers' API keys are checked.
  AuthorizationPolicy m_Authorization{};

  /// The longest lease that a backend server grants.
  Duration m_MaxLease = std::chrono::seconds(10);
  /// How long a process may take to shut down after it was asked to.
  Duration m_ShutdownTimeout = std::chrono::seconds(6);
  /// How long a change may take until all parts of the system act on it.
  Duration m_StabilizationTime = std::chrono::seconds(3);
  /// How long a new configuration may take until every instance acts on it.
  Duration m_MaxConfigDelay = std::chrono::seconds(2);
  /// Interval between the registrations of a backend server.
  Duration m_RegistrationInterval = std::chrono::milliseconds(1500);
  /// Minimum interval between the orders of two leaders for one instance.
  Duration m_MinInstanceOrderInterval = std::chrono::seconds(3);
  /// The platform's rate limit of instance orders, for all entry instances
  /// together.
  double m_InstanceOrdersPerSecond = 64;
  /// Expected duration of an instance's move to another pool, and of its
  /// maintenance.
  Duration m_MoveTime = std::chrono::milliseconds(1500);
  Duration m_MaintenanceTime = std::chrono::seconds(2);
  /// How long after its acceptance a job may be missing from the count of its
  /// queue's waiting jobs, besides the age of the count.
  Duration m_JobVisibilityTime = std::chrono::seconds(3);
  /// How long callers can query the state of a job that has ended.
  Duration m_StateRetention = std::chrono::seconds(120);
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ENTRYSETTINGS_H
