//===- FleetActions.h - Events and actions of the fleet core ----*- C++ -*-===//
//
// What the daemon's shell tells the fleet's decision core and what the core
// asks it to do. Values only; the core itself has no I/O.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_FLEETACTIONS_H
#define POLLENSPOOL_FLEET_FLEETACTIONS_H

#include "base/Ids.h"
#include "base/Log.h"
#include "base/Time.h"
#include "platform/Platform.h"
#include <string>
#include <variant>
#include <vector>

namespace pollenspool {

/// An entry instance's word on one instance. By sending it the entry instance
/// vouches that its view of the row has this epoch, and that it starts no work
/// on the instance until it sees a newer row that is Serving.
struct DrainAck {
  EntryId m_Entry;
  InstanceId m_Instance;
  /// Epoch of the instance's row in the entry instance's view.
  std::uint64_t m_Epoch = 0;
  /// Its requests on the instance, from the dispatch decision to the outcome.
  std::uint32_t m_InFlight = 0;
  /// The number of the AskDrainStatus that it answers.
  std::uint64_t m_Ask = 0;
};

/// Send the transaction once with CallPriority::Control and report what came of
/// it by onTransactionResult() with the same token, whatever it was.
struct Transact {
  Transaction m_Transaction;
};

/// Ask an entry instance for a DrainAck. It answers at once, and again with the
/// same number when its view reaches the epoch or its in-flight count reaches
/// zero.
struct AskDrainStatus {
  EntryId m_Entry;
  InstanceId m_Instance;
  std::uint64_t m_Epoch = 0;
  std::uint64_t m_Ask = 0;
};

/// Call Platform::reboot() and report by onRebootReply().
struct RebootInstance {
  InstanceId m_Instance;
  std::string m_Token;
};

/// Ask the instance's /health and report by onHealth().
struct CheckHealth {
  InstanceId m_Instance;
};

/// Read the table's changes at once: a transaction met newer rows.
struct RefreshRows {};

struct LogField {
  std::string_view m_Key;
  std::string m_Value;
};

/// Write one log event.
struct LogEntry {
  Event m_Event;
  std::vector<LogField> m_Fields;
};

using FleetAction = std::variant<Transact, AskDrainStatus, RebootInstance,
                                 CheckHealth, RefreshRows, LogEntry>;

/// The entry instances of one data centre, from the settings.
struct DataCentreEntries {
  DataCentreName m_DataCentre;
  std::vector<EntryId> m_Entries;
};

struct FleetSettings {
  /// This entry instance; has to be among m_DataCentres.
  EntryId m_Self;
  /// Differs from that of every other process; prefixes transaction tokens.
  std::string m_ProcessToken;
  std::vector<DataCentreEntries> m_DataCentres;

  /// Time after which an unrenewed runner row may be taken over.
  Duration m_RunnerLease = std::chrono::seconds(10);
  /// Longest time by which the platform's list is behind the truth.
  Duration m_ListLag = std::chrono::seconds(5);
  /// Nothing is taken away on a list that arrived longer ago than this.
  Duration m_ListMaxAge = std::chrono::seconds(15);
  /// First and longest wait before an unanswered question is put again.
  Duration m_AskInterval = std::chrono::milliseconds(500);
  Duration m_AskIntervalMax = std::chrono::seconds(5);
  Duration m_RebootRetry = std::chrono::seconds(2);
  /// A rebooted instance that is not healthy after this has failed.
  Duration m_ReturnTimeout = std::chrono::minutes(10);
  Duration m_HealthInterval = std::chrono::milliseconds(500);
  /// Between looks at a failed instance that may have recovered.
  Duration m_FailedHealthInterval = std::chrono::seconds(30);
  /// Consecutive good health checks before an instance serves again.
  std::uint32_t m_HealthPasses = 2;
  /// How long a wave waits for budget that its own failed members hold.
  Duration m_StarveTimeout = std::chrono::minutes(10);
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETACTIONS_H
