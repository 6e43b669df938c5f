//===- WaveOrders.h - Operators' orders for maintenance waves ---*- C++ -*-===//
//
// Each order is one transaction for the platform's table, built from a view and
// checked against it. The caller sends it with a token of its own.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_WAVES_WAVEORDERS_H
#define POLLENSPOOL_WAVES_WAVEORDERS_H

#include "fleet/FleetView.h"

namespace pollenspool {

struct WaveOrder {
  WaveId m_Id;
  WaveSet m_Set;
  /// Most instances that the wave may hold at once; at least 1.
  std::uint32_t m_MaxBatch = 1;
  DomainRule m_Rule = DomainRule::None;
  std::string m_Operator;
};

// Thread safe on a const view. All fail with NotFound for an unknown wave and
// with Conflict for one that has ended.

/// Starts a wave over the set's instances of now; later ones start fresh and
/// need no maintenance. Errors: InvalidArgument, NotFound for an empty set,
/// Conflict for an ID that is in use.
Result<Transaction> startWave(const FleetView &View, const WaveOrder &Order);

/// Takes no further instances; those that are away return.
Result<Transaction> pauseWave(const FleetView &View, const WaveId &Id);
Result<Transaction> resumeWave(const FleetView &View, const WaveId &Id);

/// Takes no further instances; draining ones serve again, rebooting ones return
/// first, and then the wave is cancelled.
Result<Transaction> cancelWave(const FleetView &View, const WaveId &Id);

/// The error of an order whose transaction met newer rows; says how the wave
/// stands. Thread safe.
Error waveConflict(const std::vector<Row> &Conflicts);

} // namespace pollenspool

#endif // POLLENSPOOL_WAVES_WAVEORDERS_H
