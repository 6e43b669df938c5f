//===- TransactionLedger.h - Transactions without an outcome yet -*- C++ -*-==//
//
// A transaction whose reply is lost is not sent again: by then it may rest on
// losses that were not known when it was decided on. The rows tell what came of
// it, and whatever is still due is decided anew. Should the old one take effect
// late, its checks let at most one of the two through.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FLEET_TRANSACTIONLEDGER_H
#define POLLENSPOOL_FLEET_TRANSACTIONLEDGER_H

#include "fleet/FleetActions.h"
#include "fleet/FleetView.h"
#include <map>
#include <unordered_set>

namespace pollenspool {

/// Not thread safe. A row that an undecided transaction writes is in no other
/// undecided one, so that the controller never races itself.
class TransactionLedger {
public:
  /// \p Prefix makes the tokens unique among processes.
  explicit TransactionLedger(std::string Prefix)
      : m_Prefix(std::move(Prefix)) {}

  /// Starts a transaction with a new token. Returns false, and does nothing,
  /// if it touches a row of an undecided one or if newer rows are on their way.
  bool submit(Transaction Txn, std::vector<FleetAction> &Out);
  /// Notes the outcome; a commit is applied to \p View. Unknown tokens are
  /// passed over.
  void onResult(const std::string &Token, const Result<CommitResult> &Outcome,
                FleetView &View, std::vector<FleetAction> &Out);
  /// Notes that rows up to the view's revision have arrived.
  void onRows(const FleetView &View);

  /// Transactions without an outcome.
  std::size_t undecided() const { return m_Undecided.size(); }
  /// Transactions that met newer rows.
  std::uint64_t conflicts() const { return m_Conflicts; }

private:
  bool isFree(const Transaction &Txn) const;
  void lock(const Transaction &Txn);
  void release(const Transaction &Txn);

  std::string m_Prefix;
  std::uint64_t m_Next = 1;
  std::uint64_t m_Conflicts = 0;
  std::map<std::string, Transaction> m_Undecided;
  std::unordered_set<std::string> m_Written;
  /// How many undecided transactions check a row.
  std::unordered_map<std::string, std::uint32_t> m_Checked;
  /// Set by a conflict or a lost reply until newer rows are read.
  bool m_NeedsRows = false;
  Revision m_NeededRevision = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_TRANSACTIONLEDGER_H
