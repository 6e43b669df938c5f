//===- InstanceState.h - One instance as this entry sees it -----*- C++ -*-===//
//
// Own tries in flight, the adaptive window and the health of one instance.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_INSTANCESTATE_H
#define POLLENSPOOL_ROUTING_INSTANCESTATE_H

#include "base/Time.h"
#include "routing/Messages.h"
#include <vector>

namespace pollenspool {

/// The concurrency that an adaptive strategy has learned. 0: nothing yet.
struct AdaptiveWindow {
  double m_Size = 0;
  /// Smoothed latency as a multiple of the service's baseline.
  double m_Inflation = 1;
  TimePoint m_LastCut;
};

/// What recent tries say of the instance, and its ejection.
struct InstanceHealth {
  /// Smoothed share of tries that failed, whoever was to blame.
  double m_FailureRate = 0;
  /// Failures in a row, whoever was to blame.
  std::uint32_t m_FailuresInRow = 0;
  /// Failures in a row that count against the instance.
  std::uint32_t m_BlamedInRow = 0;
  std::uint32_t m_Samples = 0;
  bool m_Ejected = false;
  bool m_ProbeInFlight = false;
  std::uint32_t m_ProbesPassed = 0;
  Duration m_Backoff{0};
  /// Earliest time of the next probe while ejected.
  TimePoint m_ProbeAt;
};

struct InstanceState {
  InstanceTarget m_Target;
  /// False once the list no longer names the instance.
  bool m_Listed = true;
  std::uint32_t m_InFlight = 0;
  /// In flight from other entry instances, as they last reported.
  std::uint32_t m_PeersInFlight = 0;
  AdaptiveWindow m_Window;
  InstanceHealth m_Health;

  bool acceptsWork() const { return m_Listed && m_Target.m_AcceptsWork; }
};

/// The instances of one pool in the order of their IDs.
using InstanceGroup = std::vector<InstanceState *>;

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_INSTANCESTATE_H
