//===- MoveMachine.h - State machine of moves -------------------*- C++ -*-===//
//
// Each step depends only on the rows, so that any entry instance can continue
// where another stopped. Transitions of a move:
//
//   Waiting -> Draining  when the source pool's availability budget allows it;
//                        uses one unit of the budget, epoch + 1
//   Draining -> Done     when the instance is drained; the pool becomes the
//                        target, epoch + 1, the unit is released
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MOVES_MOVEMACHINE_H
#define POLLENSPOOL_MOVES_MOVEMACHINE_H

#include "fleet/FleetContext.h"

namespace pollenspool {

/// Has no state of its own: the rows hold the state of all moves.
class MoveMachine {
public:
  /// Submits the transitions that are due for the active moves.
  void step(const FleetContext &Context);

  /// Describes the active move of instance \p Id and why it makes no progress;
  /// empty if there is no active move. Only the runner knows which drain
  /// acknowledgements are missing.
  std::string explain(const FleetContext &Context, const InstanceId &Id) const;

private:
  void stepWaiting(const FleetContext &Context, const MoveRow &Move);
  void stepDraining(const FleetContext &Context, const MoveRow &Move);
  void cancel(const FleetContext &Context, const MoveRow &Move,
              const std::string &Reason);
};

} // namespace pollenspool

#endif // POLLENSPOOL_MOVES_MOVEMACHINE_H
