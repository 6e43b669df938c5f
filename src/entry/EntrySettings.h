//===- EntrySettings.h - Settings of an entry instance ----------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ENTRYSETTINGS_H
#define POLLENSPOOL_ENTRY_ENTRYSETTINGS_H

#include "base/Ids.h"
#include "base/Time.h"
#include <cstdint>
#include <string>

namespace pollenspool {

/// What an entry instance has to know at its start. The defaults are those of
/// the smallest deployment.
struct EntrySettings {
  std::string m_Name;
  /// Listening addresses, "ip:port".
  std::string m_Callers;
  std::string m_Readiness;
  std::string m_Metrics;
  std::string m_Store;
  std::string m_InstanceService;
  /// The placement adviser; empty if there is none.
  std::string m_Adviser;
  /// Share of a core that this instance has.
  double m_CpuShare = 0.25;
  /// Speed of its link in megabits a second.
  double m_LinkMbps = 1000;

  /// The longest lease that a backend server grants.
  Duration m_LongestLease = std::chrono::seconds(10);
  /// How long a process may take to stop after it is asked to.
  Duration m_StopWithin = std::chrono::seconds(6);
  /// Two leaders' orders for one instance are at least this far apart.
  Duration m_InstanceOrderGap = std::chrono::seconds(3);
  /// Orders for instances that the platform takes from all of us.
  double m_InstanceOrdersPerSecond = 64;
  /// How long a changed pool takes, and an upkeep.
  Duration m_MoveTime = std::chrono::milliseconds(1500);
  Duration m_UpkeepTime = std::chrono::seconds(2);
  /// How long callers may ask for a job that is over.
  Duration m_KeepStates = std::chrono::seconds(120);
};

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ENTRYSETTINGS_H
