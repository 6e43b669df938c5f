//===- MoveOrders.cpp - Operators' orders for moves -----------------------===//

#include "moves/MoveOrders.h"
#include "fleet/FleetContext.h"

namespace pollenspool {

namespace {

constexpr const char *StartStep = "start move";
constexpr const char *CancelStep = "cancel move";

Error conflictWith(const char *Step, const MoveRow &Move) {
  return makeError(ErrorCode::Conflict, Step, Move.m_Instance.m_Text,
                   "move " + Move.m_Id.m_Text + " by " + Move.m_Operator +
                       " to pool " + Move.m_Target.m_Text + " is " +
                       std::string(moveStateName(Move.m_State)));
}

Result<void> checkPools(const FleetView &View, const MoveOrder &Order) {
  for (const PoolName &Name : {Order.m_Source, Order.m_Target})
    if (!View.findPool(Name))
      return makeError(ErrorCode::NotFound, StartStep, {},
                       "pool " + Name.m_Text +
                           " is not in the configuration document");
  if (Order.m_Source == Order.m_Target)
    return makeError(ErrorCode::InvalidArgument, StartStep, {},
                     "source and target are the same pool");
  return success();
}

Result<void> checkInstance(const FleetView &View, const MoveOrder &Order,
                           const InstanceId &Id) {
  const InstanceRow *Instance = View.findInstance(Id);
  if (!Instance)
    return makeError(ErrorCode::NotFound, StartStep, Id.m_Text,
                     "no such instance");
  const MoveRow *Move = View.findMove(Id);
  if (Move && Move->isActive())
    return conflictWith(StartStep, *Move);
  if (!(Instance->m_Pool == Order.m_Source))
    return makeError(ErrorCode::Conflict, StartStep, Id.m_Text,
                     "the instance is in pool " + Instance->m_Pool.m_Text);
  if (Instance->m_State != ServingState::Serving)
    return makeError(ErrorCode::Conflict, StartStep, Id.m_Text,
                     "the instance is held by " + Instance->m_Holder);
  return success();
}

std::uint32_t leavingCount(const FleetView &View, const PoolName &Source) {
  std::uint32_t Count = 0;
  for (const auto &[Id, Move] : View.moves())
    Count += Move.isActive() && Move.m_Source == Source ? 1 : 0;
  return Count;
}

Result<void> checkPromise(const FleetView &View, const MoveOrder &Order,
                          std::size_t Count) {
  std::size_t Members = View.membersOf(Order.m_Source).size();
  std::size_t Leaving = leavingCount(View, Order.m_Source) + Count;
  std::uint32_t Promised = View.findPool(Order.m_Source)->m_MinServing;
  if (Members >= Leaving + Promised)
    return success();
  return makeError(ErrorCode::Refused, StartStep, Order.m_Source.m_Text,
                   "the pool has " + std::to_string(Members) +
                       " instances and promises " + std::to_string(Promised) +
                       "; " + std::to_string(Leaving) + " would leave it");
}

std::vector<InstanceId> chooseInstances(const FleetView &View,
                                        const MoveOrder &Order) {
  if (!Order.m_Instance.empty())
    return {Order.m_Instance};
  std::vector<InstanceId> Chosen;
  for (const InstanceId &Id : View.membersOf(Order.m_Source)) {
    if (Chosen.size() == Order.m_Count)
      break;
    if (!View.isUnavailable(Id) && checkInstance(View, Order, Id))
      Chosen.push_back(Id);
  }
  return Chosen;
}

MoveRow moveRow(const MoveOrder &Order, const InstanceId &Id) {
  MoveRow Row;
  Row.m_Id = Order.m_Id;
  if (Order.m_Instance.empty())
    Row.m_Id.m_Text += "." + Id.m_Text;
  Row.m_Instance = Id;
  Row.m_Source = Order.m_Source;
  Row.m_Target = Order.m_Target;
  Row.m_Operator = Order.m_Operator;
  return Row;
}

} // namespace

Result<Transaction> startMove(const FleetView &View, const MoveOrder &Order) {
  BOOST_OUTCOME_TRYV(checkPools(View, Order));
  std::vector<InstanceId> Chosen = chooseInstances(View, Order);
  std::size_t Wanted = Order.m_Instance.empty() ? Order.m_Count : 1;
  if (Chosen.empty() || Chosen.size() < Wanted)
    return makeError(ErrorCode::Refused, StartStep, Order.m_Source.m_Text,
                     "only " + std::to_string(Chosen.size()) + " of " +
                         std::to_string(Wanted) +
                         " requested instances can be moved");
  TransactionBuilder Builder(View);
  for (const InstanceId &Id : Chosen) {
    BOOST_OUTCOME_TRYV(checkInstance(View, Order, Id));
    Builder.check(instanceRowKey(Id));
    Builder.write(moveRowKey(Id), encodeRow(moveRow(Order, Id)));
  }
  BOOST_OUTCOME_TRYV(checkPromise(View, Order, Chosen.size()));
  return Builder.build();
}

Result<Transaction> cancelMove(const FleetView &View, const InstanceId &Id,
                               const std::string &Reason) {
  const MoveRow *Move = View.findMove(Id);
  if (!Move)
    return makeError(ErrorCode::NotFound, CancelStep, Id.m_Text,
                     "the instance has no move");
  if (!Move->isActive())
    return conflictWith(CancelStep, *Move);
  MoveRow Ended = *Move;
  Ended.m_State = MoveState::Cancelled;
  Ended.m_Reason = Reason;
  TransactionBuilder Builder(View);
  Builder.write(moveRowKey(Id), encodeRow(Ended));
  const InstanceRow *Instance = View.findInstance(Id);
  if (Instance && Instance->m_Holder == holderOf(Move->m_Id))
    Builder.returnToService(*Instance, Instance->m_Pool);
  return Builder.build();
}

Error moveConflict(const std::vector<Row> &Conflicts) {
  for (const Row &R : Conflicts) {
    auto Move = decodeMoveRow(R.m_Value);
    if (Move)
      return conflictWith(StartStep, Move.value());
  }
  return makeError(ErrorCode::Conflict, StartStep, {},
                   "the instance has changed since the order was checked");
}

} // namespace pollenspool
