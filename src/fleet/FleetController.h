//===- FleetController.h - Moves and waves behind one interface -*- C++ -*-===//
//
// The decision core that the daemon wires up: events in, actions out. Any entry
// instance runs one; the runner row picks the one that acts, which saves
// doubled work. Safety comes from the transactions alone.
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
  /// What it waits for; empty if it has ended.
  std::string m_Waits;
};

struct FleetStatus {
  EntryId m_Runner;
  bool m_IsRunner = false;
  std::vector<MoveStatus> m_Moves;
  std::vector<WaveStatus> m_Waves;
  /// Drains that wait for an entry instance or for work in flight.
  std::size_t m_WaitingDrains = 0;
  std::size_t m_UndecidedTransactions = 0;
  std::uint64_t m_Conflicts = 0;
};

/// Not thread safe: the shell calls it from one thread or under one lock. Every
/// event may cause actions; the shell takes them after it.
class FleetController {
public:
  /// Errors: InvalidSettings for settings that cannot work.
  static Result<FleetController> create(FleetSettings Settings);

  /// The configuration that is in force.
  void onDocument(const Document &Doc);
  /// Rows from a scan or from changes since view().revision(), under the
  /// prefixes of rowPrefixes().
  void onRows(const RowSet &Rows, TimePoint Now);
  /// The platform's list. \p Now is when it was asked for.
  void onListedInstances(const std::vector<ListedInstance> &List,
                         TimePoint Now);
  /// What came of a Transact action, errors included.
  void onTransactionResult(const std::string &Token,
                           const Result<CommitResult> &Outcome, TimePoint Now);
  void onDrainAck(const DrainAck &Ack, TimePoint Now);
  /// What came of a RebootInstance action. \p Now is when the reply came.
  void onRebootReply(const InstanceId &Id, const std::string &Token,
                     bool IsAccepted, TimePoint Now);
  /// What came of a CheckHealth action.
  void onHealth(const InstanceId &Id, bool IsOk, TimePoint Now);
  /// The request path has ejected an instance as failing, or taken it back.
  void onInstanceSick(const InstanceId &Id, bool IsSick);
  /// Timers; every 100 to 500 ms.
  void tick(TimePoint Now);

  /// The actions since the last call.
  std::vector<FleetAction> takeActions();

  /// What an instance waits for; "serving in pool NAME" if for nothing.
  std::string explain(const InstanceId &Id) const;
  FleetStatus status() const;
  const FleetView &view() const { return m_Parts->m_View; }
  bool isRunner() const;
  /// Prefixes of the rows that the controller has to be told of.
  static const std::vector<std::string> &rowPrefixes();

private:
  /// Kept at one address, since the parts refer to each other.
  struct Parts {
    explicit Parts(FleetSettings Given);

    FleetSettings m_Settings;
    FleetView m_View;
    DrainTracker m_Drains;
    TransactionLedger m_Ledger;
    MoveMachine m_Moves;
    WaveMachine m_Waves;
    std::vector<FleetAction> m_Out;
    TimePoint m_Now;
    Revision m_RunnerRevision = 0;
    TimePoint m_RunnerSeen;
    TimePoint m_NextRenewal;
  };

  explicit FleetController(std::unique_ptr<Parts> Made)
      : m_Parts(std::move(Made)) {}

  FleetContext context() const;
  void step(TimePoint Now);
  bool hasWork() const;
  void stepRunner();
  void writeRunner();

  std::unique_ptr<Parts> m_Parts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETCONTROLLER_H
