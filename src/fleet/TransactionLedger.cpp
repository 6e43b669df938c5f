//===- TransactionLedger.cpp - Transactions without an outcome yet --------===//

#include "fleet/TransactionLedger.h"
#include <algorithm>

namespace pollenspool {

bool TransactionLedger::submit(Transaction Txn, std::vector<FleetAction> &Out) {
  // Deciding on rows that are known to be old would only conflict again, or
  // count an instance that another runner has just taken as serving.
  if (m_NeedsRows)
    return false;
  if (!isFree(Txn))
    return false;
  lock(Txn);
  Txn.m_Token = m_Prefix + "-" + std::to_string(m_Next++);
  Out.emplace_back(Transact{Txn});
  std::string Token = Txn.m_Token;
  m_Undecided.emplace(Token, std::move(Txn));
  return true;
}

bool TransactionLedger::isFree(const Transaction &Txn) const {
  for (const RowCheck &C : Txn.m_Checks)
    if (m_Written.count(C.m_Key) != 0)
      return false;
  for (const RowWrite &W : Txn.m_Writes)
    if (m_Checked.count(W.m_Key) != 0)
      return false;
  return true;
}

void TransactionLedger::lock(const Transaction &Txn) {
  for (const RowWrite &W : Txn.m_Writes)
    m_Written.insert(W.m_Key);
  for (const RowCheck &C : Txn.m_Checks)
    ++m_Checked[C.m_Key];
}

void TransactionLedger::release(const Transaction &Txn) {
  for (const RowWrite &W : Txn.m_Writes)
    m_Written.erase(W.m_Key);
  for (const RowCheck &C : Txn.m_Checks)
    if (--m_Checked[C.m_Key] == 0)
      m_Checked.erase(C.m_Key);
}

void TransactionLedger::onResult(const std::string &Token,
                                 const Result<CommitResult> &Outcome,
                                 FleetView &View,
                                 std::vector<FleetAction> &Out) {
  auto It = m_Undecided.find(Token);
  if (It == m_Undecided.end())
    return;
  Transaction Txn = std::move(It->second);
  m_Undecided.erase(It);
  release(Txn);
  if (Outcome && Outcome.value().isCommitted()) {
    View.applyCommit(Txn, Outcome.value().m_Revision);
    return;
  }
  m_NeedsRows = true;
  Out.emplace_back(RefreshRows{});
  if (!Outcome)
    return;
  ++m_Conflicts;
  for (const Row &R : Outcome.value().m_Conflicts)
    m_NeededRevision = std::max(m_NeededRevision, R.m_Revision);
}

void TransactionLedger::onRows(const FleetView &View) {
  if (View.revision() >= m_NeededRevision)
    m_NeedsRows = false;
}

} // namespace pollenspool
