//===- TransactionLedger.h - Transactions without known outcome -*- C++ -*-===//
//
// A transaction whose reply is lost is not sent again: more instances may have
// become unavailable since it was decided. The controller reads the rows
// instead and decides again what is still due. If the first transaction takes
// effect late, the row checks let at most one of the two commit.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_TRANSACTIONLEDGER_H
#define POLLENSPOOL_FLEET_TRANSACTIONLEDGER_H

#include "fleet/FleetActions.h"
#include "fleet/FleetView.h"
#include <map>
#include <unordered_set>

namespace pollenspool {

/// Not thread safe. A row that a pending transaction writes is neither written
/// nor checked by another pending one, so that the controller's own
/// transactions never conflict with each other.
class TransactionLedger {
public:
  /// \p Prefix must be unique among processes; transaction tokens start with
  /// it.
  explicit TransactionLedger(std::string Prefix)
      : m_Prefix(std::move(Prefix)) {}

  /// Adds a Transact action with a new token to \p Actions. Returns false
  /// without doing so if the transaction overlaps with a pending one, or if the
  /// view is known to be out of date.
  bool submit(Transaction Txn, std::vector<FleetAction> &Actions);
  /// Records the outcome, and applies a commit to \p View. Unknown tokens are
  /// ignored.
  void onResult(const std::string &Token, const Result<CommitResult> &Outcome,
                FleetView &View, std::vector<FleetAction> &Actions);
  /// Records that rows up to the view's revision have arrived.
  void onRows(const FleetView &View);

  /// Number of transactions without a known outcome.
  std::size_t pendingCount() const { return m_PendingByToken.size(); }
  /// Number of transactions that failed because a row had changed.
  std::uint64_t conflicts() const { return m_Conflicts; }

private:
  bool isDisjoint(const Transaction &Txn) const;
  void addRows(const Transaction &Txn);
  void removeRows(const Transaction &Txn);

  std::string m_Prefix;
  std::uint64_t m_Next = 1;
  std::uint64_t m_Conflicts = 0;
  std::map<std::string, Transaction> m_PendingByToken;
  std::unordered_set<std::string> m_WrittenKeys;
  /// Number of pending transactions that check a row.
  std::unordered_map<std::string, std::uint32_t> m_CheckCounts;
  /// Set by a conflict or a lost reply until the rows are read again.
  bool m_NeedsRows = false;
  Revision m_NeededRevision = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_TRANSACTIONLEDGER_H
