//===- TransactionLedger.h - Transactions without an outcome yet -*- C++ -*-==//
//
// Sends transactions until the platform has decided on them. A lost reply is
// settled by repeating the transaction with its token.
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
  TransactionLedger(std::string Prefix, Duration RetryInterval)
      : m_Prefix(std::move(Prefix)), m_RetryInterval(RetryInterval) {}

  /// Starts a transaction with a new token. Returns false, and does nothing,
  /// if it touches a row of an undecided one or if newer rows are on their way.
  bool submit(Transaction Txn, std::vector<FleetAction> &Out);
  /// Notes the outcome; a commit is applied to \p View. Unknown tokens are
  /// passed over.
  void onResult(const std::string &Token, const Result<CommitResult> &Outcome,
                FleetView &View, TimePoint Now, std::vector<FleetAction> &Out);
  /// Notes that rows up to the view's revision have arrived.
  void onRows(const FleetView &View);
  /// Sends again what the platform has not decided on.
  void tick(TimePoint Now, std::vector<FleetAction> &Out);

  /// Transactions without an outcome.
  std::size_t undecided() const { return m_Undecided.size(); }
  /// Transactions that met newer rows.
  std::uint64_t conflicts() const { return m_Conflicts; }

private:
  struct Undecided {
    Transaction m_Transaction;
    /// When to send again; nothing while a call is under way.
    std::optional<TimePoint> m_RetryAt;
  };

  bool isFree(const Transaction &Txn) const;
  void lock(const Transaction &Txn);
  void release(const Transaction &Txn);

  std::string m_Prefix;
  Duration m_RetryInterval;
  std::uint64_t m_Next = 1;
  std::uint64_t m_Conflicts = 0;
  std::map<std::string, Undecided> m_Undecided;
  std::unordered_set<std::string> m_Written;
  /// How many undecided transactions check a row.
  std::unordered_map<std::string, std::uint32_t> m_Checked;
  /// Set by a conflict until rows of at least m_NeededRevision are read.
  bool m_NeedsRows = false;
  Revision m_NeededRevision = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_TRANSACTIONLEDGER_H
