//===- WaveOrders.h - Operators' orders for maintenance waves ---*- C++ -*-===//
//
// Each function builds one transaction on the platform's table. It commits only
// if the rows that it depends on still have the revisions of the view. The
// caller sets the transaction's token and sends it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_WAVES_WAVEORDERS_H
#define POLLENSPOOL_WAVES_WAVEORDERS_H

#include "fleet/FleetView.h"

namespace pollenspool {

/// An operator's order to maintain the instances of a set.
struct WaveOrder {
  WaveId m_Id;
  WaveSet m_Set;
  /// Largest number of instances that the wave may hold at one time; at
  /// least 1.
  std::uint32_t m_MaxBatch = 1;
  DomainRule m_Rule = DomainRule::None;
  std::string m_Operator;
};

// These functions are thread safe if nothing changes the view meanwhile. All
// but startWave() fail with NotFound for an unknown wave, and with Conflict for
// a wave that has ended, is being cancelled or is already in the requested
// state.

/// Starts a wave over the current instances of the set. Instances that join the
/// set later have just started and need no maintenance. Errors: InvalidArgument
/// for an invalid ID or a batch of 0, NotFound for an empty set, Conflict for
/// an ID that is in use.
Result<Transaction> startWave(const FleetView &View, const WaveOrder &Order);

/// Pauses the wave: it starts no further drains. Members that it holds complete
/// their reboot and return to service.
Result<Transaction> pauseWave(const FleetView &View, const WaveId &Id);
/// Resumes a paused wave.
Result<Transaction> resumeWave(const FleetView &View, const WaveId &Id);

/// Cancels the wave: it starts no further drains, and draining members serve
/// again. The wave ends once its rebooting members have returned or failed.
Result<Transaction> cancelWave(const FleetView &View, const WaveId &Id);

/// Returns the error of an order whose transaction failed because rows had
/// changed. It names the wave's current state. Thread safe.
Error waveConflict(const std::vector<Row> &Conflicts);

} // namespace pollenspool

#endif // POLLENSPOOL_WAVES_WAVEORDERS_H
