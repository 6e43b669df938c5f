//===- Settings.h - Settings of one entry instance --------------*- C++ -*-===//
//
// What a process has to know before it can talk to anybody: its addresses, its
// data centre, its peers and the platform. Everything else is in the
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
  /// Where the socket for peers is bound if m_Peers is translated on the way;
  /// empty: m_Peers itself.
  std::string m_PeersBind;
  std::string m_Admin;
};

/// Another entry instance, or this one.
struct PeerEntry {
  EntryId m_Address;
  DataCentreName m_DataCentre;
};

struct PlatformSettings {
  std::string m_Address;
  std::chrono::milliseconds m_ConnectTimeout{500};
  std::chrono::milliseconds m_CallTimeout{2000};
  std::uint32_t m_CallsPerSecond = 100;
};

struct ThreadSettings {
  std::uint32_t m_Callers = 512;
  std::uint32_t m_Peers = 128;
};

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
  /// Token that operators send; empty switches operators' calls off.
  std::string m_Token;
};

struct Settings {
  /// Name in logs and answers.
  std::string m_Name;
  DataCentreName m_DataCentre;
  ListenSettings m_Listen;
  PlatformSettings m_Platform;
  /// All entry instances of the deployment, this one among them.
  std::vector<PeerEntry> m_Entries;
  ThreadSettings m_Threads;
  TimingSettings m_Timings;
  OperatorSettings m_Operators;
  std::string m_LogLevel = "info";
  std::uint64_t m_Seed = 0;
};

/// Reads the YAML \p Text of \p File; reports every fault. Thread safe.
Checked<Settings> parseSettings(const std::string &File,
                                const std::string &Text);

/// The reference page of the settings' keys, in Markdown. Thread safe.
std::string settingsReference();

} // namespace pollenspool

#endif // POLLENSPOOL_SETTINGS_SETTINGS_H
