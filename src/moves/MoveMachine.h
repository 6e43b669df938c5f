//===- MoveMachine.h - Carries moves out ------------------------*- C++ -*-===//
//
// Each step looks at the rows alone and does what they lack, so that any entry
// instance can go on where another stopped:
//
//   Waiting -> Draining  the source's budget allows it: epoch + 1, one unit
//   Draining -> Done     drained: pool = target, epoch + 1, unit given back
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MOVES_MOVEMACHINE_H
#define POLLENSPOOL_MOVES_MOVEMACHINE_H

#include "fleet/FleetContext.h"

namespace pollenspool {

/// Holds no state of its own; the rows are the state.
class MoveMachine {
public:
  /// Does what is due for each active move.
  void step(const FleetContext &Context);

  /// What the move of \p Id waits for; empty if there is no active one. Only
  /// the runner knows about the acknowledgements of a drain.
  std::string explain(const FleetContext &Context, const InstanceId &Id) const;

private:
  void stepWaiting(const FleetContext &Context, const MoveRow &Move);
  void stepDraining(const FleetContext &Context, const MoveRow &Move);
  void cancel(const FleetContext &Context, const MoveRow &Move,
              const std::string &Reason);
};

} // namespace pollenspool

#endif // POLLENSPOOL_MOVES_MOVEMACHINE_H
