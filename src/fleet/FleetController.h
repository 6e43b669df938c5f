//===- FleetController.h - Decision core of moves and waves -----*- C++ -*-===//
//
// Takes events and returns actions, without I/O. Each entry instance runs one
// controller. The runner row selects the one that acts, which avoids duplicate
// work; correctness does not depend on it but only on the transactions.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_FLEETCONTROLLER_H
#define POLLENSPOOL_FLEET_FLEETCONTROLLER_H

#include "fleet/FleetContext.h"
#include "moves/MoveMachine.h"
#include "waves/WaveMachine.h"
#include <memory>

namespace pollenspool {

struct MoveStatus {
  MoveRow m_Move;
  /// Why the move is not complete; empty if it has ended.
  std::string m_PendingReason;
};

struct FleetStatus {
  EntryId m_Runner;
  bool m_IsRunner = false;
  std::vector<MoveStatus> m_Moves;
  std::vector<WaveStatus> m_Waves;
  /// Number of drains that wait for an entry instance or for requests in
  /// flight.
  std::size_t m_PendingDrains = 0;
  std::size_t m_PendingTransactions = 0;
  std::uint64_t m_Conflicts = 0;
};

/// Not thread safe: the driver calls it from one thread or under one lock. Each
/// event may cause actions; the driver fetches them by takeActions() after it.
class FleetController {
public:
  /// Errors: InvalidSettings if \p Settings has an unknown m_Self, an empty
  /// process token or a non-positive interval or count.
  static Result<FleetController> create(FleetSettings Settings);

  /// Sets the configuration document that is in effect.
  void onDocument(const Document &Doc);
  /// Applies rows with the prefixes of rowPrefixes(), read by a scan or as the
  /// changes since view().revision().
  void onRows(const RowSet &Rows, TimePoint Now);
  /// Replaces the platform's list. \p Now is the time at which it was
  /// requested.
  void onListedInstances(const std::vector<ListedInstance> &List,
                         TimePoint Now);
  /// Reports the outcome or the error of a Transact action.
  void onTransactionResult(const std::string &Token,
                           const Result<CommitResult> &Outcome, TimePoint Now);
  void onDrainAck(const DrainAck &Ack, TimePoint Now);
  /// Reports the result of a RebootInstance action. \p Now is the time at which
  /// the reply arrived.
  void onRebootReply(const InstanceId &Id, const std::string &Token,
                     bool IsAccepted, TimePoint Now);
  /// Reports the result of a CheckHealth action.
  void onHealth(const InstanceId &Id, bool IsOk, TimePoint Now);
  /// The request path has ejected the instance because requests fail, or has
  /// ended the ejection.
  void onInstanceUnhealthy(const InstanceId &Id, bool IsUnhealthy);
  /// Runs the timers; to be called every 100 to 500 ms.
  void tick(TimePoint Now);

  /// Returns the actions since the last call, in order.
  std::vector<FleetAction> takeActions();

  /// Describes the instance's state and why its moves and waves make no
  /// progress; "serving in pool NAME" if it has none.
  std::string explain(const InstanceId &Id) const;
  FleetStatus status() const;
  const FleetView &view() const { return m_Parts->m_View; }
  bool isRunner() const;
  /// Prefixes of the rows that onRows() needs.
  static const std::vector<std::string> &rowPrefixes();

private:
  /// Allocated once and never moved, since the parts hold references to each
  /// other.
  struct Parts {
    explicit Parts(FleetSettings InitialSettings);

    FleetSettings m_Settings;
    FleetView m_View;
    DrainTracker m_Drains;
    TransactionLedger m_Ledger;
    MoveMachine m_Moves;
    WaveMachine m_Waves;
    std::vector<FleetAction> m_Actions;
    TimePoint m_Now;
    Revision m_RunnerRevision = 0;
    TimePoint m_RunnerRenewedAt;
    TimePoint m_NextRenewal;
  };

  explicit FleetController(std::unique_ptr<Parts> NewParts)
      : m_Parts(std::move(NewParts)) {}

  FleetContext context() const;
  void step(TimePoint Now);
  bool hasWork() const;
  void stepRunner();
  void writeRunner();

  std::unique_ptr<Parts> m_Parts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETCONTROLLER_H
