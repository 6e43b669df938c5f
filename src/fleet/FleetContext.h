//===- FleetContext.h - What the move and wave machines work on -*- C++ -*-===//
//
// The parts of one FleetController, handed to its machines for one step, and
// the transactions' building blocks that both share.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_FLEETCONTEXT_H
#define POLLENSPOOL_FLEET_FLEETCONTEXT_H

#include "fleet/DrainTracker.h"
#include "fleet/FleetActions.h"
#include "fleet/FleetView.h"
#include "fleet/TransactionLedger.h"

namespace pollenspool {

/// References that are valid for one step. Not thread safe.
struct FleetContext {
  const FleetSettings &m_Settings;
  const FleetView &m_View;
  DrainTracker &m_Drains;
  TransactionLedger &m_Ledger;
  std::vector<FleetAction> &m_Out;
  TimePoint m_Now;

  /// True if losses are known from a list that is not too old.
  bool isListRecent() const;
  /// FleetView::whyNotTake(), and that the platform's list is recent enough to
  /// know of losses.
  std::optional<std::string> whyNotTake(const InstanceId &Id) const;
  void log(Event Id, std::vector<LogField> Fields) const {
    m_Out.emplace_back(LogEntry{Id, std::move(Fields)});
  }
};

/// Builds one transaction from a view: each row that it writes is checked at
/// the revision in the view. Not thread safe.
class TransactionBuilder {
public:
  /// \p View has to outlive the builder.
  explicit TransactionBuilder(const FleetView &View) : m_View(View) {}

  /// Checks the row \p Key without writing it.
  TransactionBuilder &check(const std::string &Key);
  TransactionBuilder &write(const std::string &Key, std::string Value);
  TransactionBuilder &remove(const std::string &Key);

  // The rules for instance rows. \p Row is the row as it stands; its epoch
  // rises by one.

  /// Serving to Draining, held by \p Holder, with a unit of its pool's budget.
  TransactionBuilder &take(InstanceRow Row, const std::string &Holder);
  /// Draining to Away; the unit stays spent.
  TransactionBuilder &setAway(InstanceRow Row);
  /// Back to Serving in \p Target, with the unit given back to the pool that it
  /// was taken from. The one way by which an instance changes its pool.
  TransactionBuilder &giveBack(InstanceRow Row, const PoolName &Target);

  Transaction build() { return std::move(m_Transaction); }

private:
  void writeInstance(InstanceRow Row);

  const FleetView &m_View;
  Transaction m_Transaction;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_FLEETCONTEXT_H
