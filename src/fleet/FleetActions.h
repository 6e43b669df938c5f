//===- FleetActions.h - Events and actions of the fleet core ----*- C++ -*-===//
//
// The values that the FleetController (decision core) and its I/O driver
// exchange. The core itself performs no I/O.
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

/// An entry instance's acknowledgement of one instance's drain. By sending it
/// the entry instance guarantees that its view of the row has this epoch, and
/// that it starts no request on the instance until it sees a newer row in state
/// Serving.
struct DrainAck {
  EntryId m_Entry;
  InstanceId m_Instance;
  /// Epoch of the instance's row in the entry instance's view.
  std::uint64_t m_Epoch = 0;
  /// Number of its requests on the instance, each counted from the dispatch
  /// decision to the outcome.
  std::uint32_t m_InFlight = 0;
  /// Number of the status query that this answers.
  std::uint64_t m_QueryNumber = 0;
};

/// Send the transaction once with CallPriority::Control, and report its outcome
/// or error by onTransactionResult() with the same token.
struct Transact {
  Transaction m_Transaction;
};

/// Request a DrainAck from an entry instance. It answers immediately, and again
/// with the same query number when its view reaches the epoch or its number of
/// requests in flight reaches zero.
struct DrainStatusQuery {
  EntryId m_Entry;
  InstanceId m_Instance;
  std::uint64_t m_Epoch = 0;
  /// Number of this query; rises with each query of one controller.
  std::uint64_t m_QueryNumber = 0;
};

/// Call Platform::reboot() and report the result by onRebootReply().
struct RebootInstance {
  InstanceId m_Instance;
  std::string m_Token;
};

/// Call the instance's /health and report the result by onHealth().
struct CheckHealth {
  InstanceId m_Instance;
};

/// Read the table's changes immediately: a transaction had a conflict or its
/// reply was lost, so the view may be out of date.
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

using FleetAction = std::variant<Transact, DrainStatusQuery, RebootInstance,
                                 CheckHealth, RefreshRows, LogEntry>;

/// The entry instances of one data centre, as configured in the settings.
struct DataCentreEntries {
  DataCentreName m_DataCentre;
  std::vector<EntryId> m_Entries;
};

struct FleetSettings {
  /// This entry instance; must be listed in m_DataCentres.
  EntryId m_Self;
  /// Prefix of transaction tokens; must be unique among processes.
  std::string m_ProcessToken;
  std::vector<DataCentreEntries> m_DataCentres;

  /// Time without renewal after which another entry instance may take over the
  /// runner row.
  Duration m_RunnerLease = std::chrono::seconds(10);
  /// Largest delay until a change of an instance shows in the platform's list.
  Duration m_ListLag = std::chrono::seconds(5);
  /// No drain starts if the latest list was requested longer ago than this.
  Duration m_MaxListAge = std::chrono::seconds(15);
  /// Initial and largest interval between status queries to an entry instance
  /// that has not confirmed the drain; the interval doubles with each query.
  Duration m_QueryInterval = std::chrono::milliseconds(500);
  Duration m_MaxQueryInterval = std::chrono::seconds(5);
  /// Interval between reboot calls until the platform accepts one.
  Duration m_RebootRetry = std::chrono::seconds(2);
  /// A rebooted instance that is not healthy after this time has failed.
  Duration m_ReturnTimeout = std::chrono::minutes(10);
  /// Interval between health checks of an instance that is listed as live after
  /// its reboot.
  Duration m_HealthInterval = std::chrono::milliseconds(500);
  /// Interval between health checks of a failed instance that may have
  /// recovered.
  Duration m_FailedHealthInterval = std::chrono::seconds(30);
  /// Consecutive passed health checks before an instance serves again.
  std::uint32_t m_RequiredHealthChecks = 2;
  /// How long a wave waits while none of its pending members can be drained,
  /// for instance because its own failed members hold the budget. After this
  /// time the pending members fail, so that the wave ends.
  Duration m_BlockedTimeout = std::chrono::minutes(10);
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETACTIONS_H
