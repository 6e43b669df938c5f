//===- FleetContext.cpp - State shared by the move and wave machines ------===//

#include "fleet/FleetContext.h"
#include <algorithm>

namespace pollenspool {

bool FleetContext::isListRecent() const {
  return m_View.listTime() &&
         *m_View.listTime() + m_Settings.m_MaxListAge >= m_Now;
}

std::optional<std::string>
FleetContext::drainBlockReason(const InstanceId &Id) const {
  if (!isListRecent())
    return "the platform's list is out of date";
  return m_View.drainBlockReason(Id);
}

TransactionBuilder &TransactionBuilder::check(const std::string &Key) {
  m_Transaction.m_Checks.push_back({Key, m_View.revisionOf(Key)});
  return *this;
}

TransactionBuilder &TransactionBuilder::write(const std::string &Key,
                                              std::string Value) {
  m_Transaction.m_Writes.push_back({Key, std::move(Value), false});
  return check(Key);
}

TransactionBuilder &TransactionBuilder::remove(const std::string &Key) {
  m_Transaction.m_Writes.push_back({Key, {}, true});
  return check(Key);
}

void TransactionBuilder::writeInstance(InstanceRow Row) {
  ++Row.m_Epoch;
  write(instanceRowKey(Row.m_Id), encodeInstanceRow(Row));
}

TransactionBuilder &TransactionBuilder::startDrain(InstanceRow Row,
                                                   const std::string &Holder) {
  BudgetRow Budget = m_View.budget(Row.m_Pool);
  Budget.m_Units.push_back({Row.m_Id, Holder});
  write(budgetRowKey(Row.m_Pool), encodeRow(Budget));
  Row.m_State = ServingState::Draining;
  Row.m_Holder = Holder;
  writeInstance(std::move(Row));
  return *this;
}

TransactionBuilder &TransactionBuilder::setAway(InstanceRow Row) {
  Row.m_State = ServingState::Away;
  writeInstance(std::move(Row));
  return *this;
}

TransactionBuilder &
TransactionBuilder::returnToService(InstanceRow Row, const PoolName &Target) {
  BudgetRow Budget = m_View.budget(Row.m_Pool);
  auto IsOurs = [&Row](const BudgetUnit &U) {
    return U.m_Instance == Row.m_Id;
  };
  Budget.m_Units.erase(
      std::remove_if(Budget.m_Units.begin(), Budget.m_Units.end(), IsOurs),
      Budget.m_Units.end());
  write(budgetRowKey(Row.m_Pool), encodeRow(Budget));
  // The instance may be unavailable and then counts against the target's
  // budget. Writing the target's budget row makes concurrent drains in that
  // pool conflict, so that they are decided again with this instance counted.
  if (!(Target == Row.m_Pool))
    write(budgetRowKey(Target), encodeRow(m_View.budget(Target)));
  Row.m_Pool = Target;
  Row.m_State = ServingState::Serving;
  Row.m_Holder.clear();
  writeInstance(std::move(Row));
  return *this;
}

} // namespace pollenspool
