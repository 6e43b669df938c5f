//===- FleetContext.h - State shared by moves and waves ---------*- C++ -*-===//
//
// References to the parts of one FleetController that its state machines use
// during one step, and the builder for their transactions.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_FLEETCONTEXT_H
#define POLLENSPOOL_FLEET_FLEETCONTEXT_H

#include "fleet/DrainTracker.h"
#include "fleet/FleetActions.h"
#include "fleet/FleetView.h"
#include "fleet/TransactionLedger.h"

namespace pollenspool {

/// References that are valid during one step. Not thread safe.
struct FleetContext {
  const FleetSettings &m_Settings;
  const FleetView &m_View;
  DrainTracker &m_Drains;
  TransactionLedger &m_Ledger;
  std::vector<FleetAction> &m_Actions;
  TimePoint m_Now;

  /// True if the latest platform list is at most m_MaxListAge old, so that
  /// unavailable instances are known.
  bool isListRecent() const;
  /// Like FleetView::drainBlockReason(), but also requires a recent platform
  /// list.
  std::optional<std::string> drainBlockReason(const InstanceId &Id) const;
  void log(Event Id, std::vector<LogField> Fields) const {
    m_Actions.emplace_back(LogEntry{Id, std::move(Fields)});
  }
};

/// Builds one transaction from a view. It commits only if each row that it
/// writes still has the revision that the view has. Not thread safe.
class TransactionBuilder {
public:
  /// \p View must outlive the builder.
  explicit TransactionBuilder(const FleetView &View) : m_View(View) {}

  /// Requires the row \p Key to have the view's revision, without writing it.
  TransactionBuilder &check(const std::string &Key);
  TransactionBuilder &write(const std::string &Key, std::string Value);
  TransactionBuilder &remove(const std::string &Key);

  // Changes of an instance's state. \p Row is the row as the view has it; the
  // written row has its epoch plus one.

  /// Changes Serving to Draining with \p Holder as the holder, and uses one
  /// unit of the pool's availability budget.
  TransactionBuilder &startDrain(InstanceRow Row, const std::string &Holder);
  /// Changes Draining to Away; the budget unit stays in use.
  TransactionBuilder &setAway(InstanceRow Row);
  /// Changes the state to Serving in \p Target, and releases the budget unit of
  /// the instance's previous pool. An instance changes its pool only this way.
  TransactionBuilder &returnToService(InstanceRow Row, const PoolName &Target);

  Transaction build() { return std::move(m_Transaction); }

private:
  void writeInstance(InstanceRow Row);

  const FleetView &m_View;
  Transaction m_Transaction;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETCONTEXT_H
