//===- MoveMachine.cpp - State machine of moves ---------------------------===//

#include "moves/MoveMachine.h"
#include "moves/MoveOrders.h"

namespace pollenspool {

void MoveMachine::step(const FleetContext &Context) {
  for (const auto &[Id, Move] : Context.m_View.moves()) {
    if (Move.m_State == MoveState::Waiting)
      stepWaiting(Context, Move);
    else if (Move.m_State == MoveState::Draining)
      stepDraining(Context, Move);
  }
}

void MoveMachine::cancel(const FleetContext &Context, const MoveRow &Move,
                         const std::string &Reason) {
  auto Txn = cancelMove(Context.m_View, Move.m_Instance, Reason);
  if (Txn && Context.m_Ledger.submit(Txn.value(), Context.m_Actions))
    Context.log(Event::MoveCancelled, {{"move", Move.m_Id.m_Text},
                                       {"instance", Move.m_Instance.m_Text},
                                       {"reason", Reason}});
}

void MoveMachine::stepWaiting(const FleetContext &Context,
                              const MoveRow &Move) {
  const InstanceRow *Instance = Context.m_View.findInstance(Move.m_Instance);
  if (!Instance || !(Instance->m_Pool == Move.m_Source)) {
    cancel(Context, Move, "the instance is no longer in the source pool");
    return;
  }
  if (Context.drainBlockReason(Move.m_Instance))
    return;
  MoveRow Next = Move;
  Next.m_State = MoveState::Draining;
  TransactionBuilder Builder(Context.m_View);
  Builder.write(moveRowKey(Move.m_Instance), encodeRow(Next));
  Builder.startDrain(*Instance, holderOf(Move.m_Id));
  if (Context.m_Ledger.submit(Builder.build(), Context.m_Actions))
    Context.log(Event::MoveDraining, {{"move", Move.m_Id.m_Text},
                                      {"instance", Move.m_Instance.m_Text}});
}

void MoveMachine::stepDraining(const FleetContext &Context,
                               const MoveRow &Move) {
  const InstanceRow *Instance = Context.m_View.findInstance(Move.m_Instance);
  if (!Instance || Instance->m_Holder != holderOf(Move.m_Id)) {
    cancel(Context, Move, "the move no longer holds the instance");
    return;
  }
  Context.m_Drains.watch(Move.m_Instance, Instance->m_Epoch, Context.m_View,
                         Context.m_Now);
  if (!Context.m_Drains.isDrained(Move.m_Instance))
    return;
  MoveRow Next = Move;
  Next.m_State = MoveState::Done;
  TransactionBuilder Builder(Context.m_View);
  Builder.write(moveRowKey(Move.m_Instance), encodeRow(Next));
  Builder.returnToService(*Instance, Move.m_Target);
  if (Context.m_Ledger.submit(Builder.build(), Context.m_Actions))
    Context.log(Event::MoveCommitted, {{"move", Move.m_Id.m_Text},
                                       {"instance", Move.m_Instance.m_Text},
                                       {"target", Move.m_Target.m_Text}});
}

std::string MoveMachine::explain(const FleetContext &Context,
                                 const InstanceId &Id) const {
  const MoveRow *Move = Context.m_View.findMove(Id);
  if (!Move || !Move->isActive())
    return {};
  std::string Text = "move " + Move->m_Id.m_Text + " to pool " +
                     Move->m_Target.m_Text + " is " +
                     std::string(moveStateName(Move->m_State));
  std::string Cause;
  if (Move->m_State == MoveState::Waiting)
    Cause = Context.drainBlockReason(Id).value_or(
        "the platform's answer to its transaction is outstanding");
  else
    Cause = Context.m_Drains.pendingReason(Id);
  return Cause.empty() ? Text : Text + ": waits because " + Cause;
}

} // namespace pollenspool
