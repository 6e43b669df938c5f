//===- MoveOrders.h - Operators' orders for moves ---------------*- C++ -*-===//
//
// Each order is one transaction for the platform's table, built from a view and
// checked against it. The caller sends it with a token of its own.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MOVES_MOVEORDERS_H
#define POLLENSPOOL_MOVES_MOVEORDERS_H

#include "fleet/FleetView.h"

namespace pollenspool {

struct MoveOrder {
  MoveId m_Id;
  PoolName m_Source;
  PoolName m_Target;
  /// The instance to move; empty to have m_Count of them chosen.
  InstanceId m_Instance;
  std::uint32_t m_Count = 1;
  std::string m_Operator;
};

/// Starts a move, or m_Count of them in one transaction. Errors: NotFound for
/// unknown pools and instances, Refused where the source would be left with
/// fewer members than it promises, Conflict naming the move or wave that has
/// the instance already. Thread safe on a const view.
Result<Transaction> startMove(const FleetView &View, const MoveOrder &Order);

/// Ends a move that is not done; its instance serves in its old pool again.
/// Errors: NotFound, Conflict when the move has ended. Thread safe on a const
/// view.
Result<Transaction> cancelMove(const FleetView &View, const InstanceId &Id,
                               const std::string &Reason);

/// The error of an order whose transaction met newer rows; names the move that
/// won. Thread safe.
Error moveConflict(const std::vector<Row> &Conflicts);

} // namespace pollenspool

#endif // POLLENSPOOL_MOVES_MOVEORDERS_H
