//===- MoveOrders.h - Operators' orders for moves ---------------*- C++ -*-===//
//
// Each function builds one transaction on the platform's table. It commits only
// if the rows that it depends on still have the revisions of the view. The
// caller sets the transaction's token and sends it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MOVES_MOVEORDERS_H
#define POLLENSPOOL_MOVES_MOVEORDERS_H

#include "fleet/FleetView.h"

namespace pollenspool {

/// An operator's order to move instances from one pool to another.
struct MoveOrder {
  MoveId m_Id;
  PoolName m_Source;
  PoolName m_Target;
  /// The instance to move; if empty, startMove() chooses m_Count instances.
  InstanceId m_Instance;
  std::uint32_t m_Count = 1;
  std::string m_Operator;
};

/// Starts one move, or m_Count moves in one transaction. Errors: NotFound for
/// unknown pools and instances, InvalidArgument if source and target are the
/// same pool, Refused if the source would have fewer members than it promises
/// or too few instances can be moved, Conflict if the instance is in another
/// pool or held by a move or wave, which the error names. Thread safe if
/// nothing changes the view meanwhile.
Result<Transaction> startMove(const FleetView &View, const MoveOrder &Order);

/// Cancels an active move; its instance serves in the source pool again.
/// Errors: NotFound, Conflict if the move has ended. Thread safe if nothing
/// changes the view meanwhile.
Result<Transaction> cancelMove(const FleetView &View, const InstanceId &Id,
                               const std::string &Reason);

/// Returns the error of an order whose transaction failed because rows had
/// changed. It names the move that committed first. Thread safe.
Error moveConflict(const std::vector<Row> &Conflicts);

} // namespace pollenspool

#endif // POLLENSPOOL_MOVES_MOVEORDERS_H
