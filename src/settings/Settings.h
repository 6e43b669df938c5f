//===- Settings.h - Settings of one entry instance --------------*- C++ -*-===//
//
// The settings that a process needs before it can communicate: its addresses,
// its data centre, its peers and the platform. Everything else is in the
// configuration document.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SETTINGS_SETTINGS_H
#define POLLENSPOOL_SETTINGS_SETTINGS_H

#include "base/Ids.h"
#include "config/Fault.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace pollenspool {

/// Listening addresses, each "ip:port".
struct ListenSettings {
  std::string m_Callers;
  std::string m_Peers;
  /// The address that the socket for peers is bound to if network address
  /// translation makes it differ from m_Peers; empty if it is the same.
  std::string m_PeersBind;
  std::string m_Admin;
};

/// An entry instance of the deployment.
struct PeerEntry {
  EntryId m_Address;
  DataCentreName m_DataCentre;
};

/// Connection to the platform.
struct PlatformSettings {
  std::string m_Address;
  std::chrono::milliseconds m_ConnectTimeout{500};
  std::chrono::milliseconds m_CallTimeout{2000};
  /// Rate limit of this entry instance's calls.
  std::uint32_t m_CallsPerSecond = 100;
};

/// Limits on threads, each of which serves one connection or request.
struct ThreadSettings {
  std::uint32_t m_Callers = 512;
  std::uint32_t m_Peers = 128;
};

/// Intervals and timeouts.
struct TimingSettings {
  std::chrono::milliseconds m_Poll{1000};
  std::chrono::milliseconds m_Heartbeat{500};
  std::chrono::milliseconds m_DrainGrace{1000};
  std::chrono::milliseconds m_ClaimLifetime{900000};
  std::chrono::milliseconds m_ClaimMargin{120000};
  std::chrono::milliseconds m_BackendConnect{1000};
  std::chrono::milliseconds m_ListLag{5000};
};

struct OperatorSettings {
  /// Bearer token that operators must send; if empty, their calls are rejected.
  std::string m_Token;
};

/// All settings of one entry instance.
struct Settings {
  /// Name in logs and replies.
  std::string m_Name;
  DataCentreName m_DataCentre;
  ListenSettings m_Listen;
  PlatformSettings m_Platform;
  /// All entry instances of the deployment, including this one.
  std::vector<PeerEntry> m_Entries;
  ThreadSettings m_Threads;
  TimingSettings m_Timings;
  OperatorSettings m_Operators;
  std::string m_LogLevel = "info";
  /// Seed of the random number generator; 0: the system provides one.
  std::uint64_t m_Seed = 0;
};

/// Parses and validates \p Text, the YAML content of \p File, which is named in
/// faults only. Reports all faults. Thread safe.
Checked<Settings> parseSettings(const std::string &File,
                                const std::string &Text);

/// The reference tables of all settings keys, in Markdown. Thread safe.
std::string settingsReference();

} // namespace pollenspool

#endif // POLLENSPOOL_SETTINGS_SETTINGS_H
