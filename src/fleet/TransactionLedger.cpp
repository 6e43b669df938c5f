//===- TransactionLedger.cpp - Transactions without known outcome ---------===//

#include "fleet/TransactionLedger.h"
#include <algorithm>

namespace pollenspool {

bool TransactionLedger::submit(Transaction Txn,
                               std::vector<FleetAction> &Actions) {
  // A decision based on rows that are known to be out of date would conflict
  // again, or count an instance as serving that another runner has just
  // drained.
  if (m_NeedsRows)
    return false;
  if (!isDisjoint(Txn))
    return false;
  addRows(Txn);
  Txn.m_Token = m_Prefix + "-" + std::to_string(m_Next++);
  Actions.emplace_back(Transact{Txn});
  std::string Token = Txn.m_Token;
  m_PendingByToken.emplace(Token, std::move(Txn));
  return true;
}

bool TransactionLedger::isDisjoint(const Transaction &Txn) const {
  for (const RowCheck &C : Txn.m_Checks)
    if (m_WrittenKeys.count(C.m_Key) != 0)
      return false;
  for (const RowWrite &W : Txn.m_Writes)
    if (m_CheckCounts.count(W.m_Key) != 0)
      return false;
  return true;
}

void TransactionLedger::addRows(const Transaction &Txn) {
  for (const RowWrite &W : Txn.m_Writes)
    m_WrittenKeys.insert(W.m_Key);
  for (const RowCheck &C : Txn.m_Checks)
    ++m_CheckCounts[C.m_Key];
}

void TransactionLedger::removeRows(const Transaction &Txn) {
  for (const RowWrite &W : Txn.m_Writes)
    m_WrittenKeys.erase(W.m_Key);
  for (const RowCheck &C : Txn.m_Checks)
    if (--m_CheckCounts[C.m_Key] == 0)
      m_CheckCounts.erase(C.m_Key);
}

void TransactionLedger::onResult(const std::string &Token,
                                 const Result<CommitResult> &Outcome,
                                 FleetView &View,
                                 std::vector<FleetAction> &Actions) {
  auto It = m_PendingByToken.find(Token);
  if (It == m_PendingByToken.end())
    return;
  Transaction Txn = std::move(It->second);
  m_PendingByToken.erase(It);
  removeRows(Txn);
  if (Outcome && Outcome.value().isCommitted()) {
    View.applyCommit(Txn, Outcome.value().m_Revision);
    return;
  }
  m_NeedsRows = true;
  Actions.emplace_back(RefreshRows{});
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
