//===- RoutedInstance.h - One instance as this entry sees it ----*- C++ -*-===//
//-*-===//
//
// Own tries in flight, the adaptive window and the health of one instance.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_ROUTEDINSTANCE_H
#define POLLENSPOOL_ROUTING_ROUTEDINSTANCE_H

#include "base/Time.h"
#include "routing/Messages.h"
#include <vector>

namespace pollenspool {

/// The concurrency that an adaptive strategy has learned. 0: nothing yet.
struct AdaptiveWindow {
  double m_Size = 0;
  /// Sum of latencies as multiples of the baseline, and their number, since
  /// the last change of the size.
  double m_InflationSum = 0;
  std::uint32_t m_Samples = 0;
  /// True if the window was full since then.
  bool m_WasFull = false;
  TimePoint m_LastCut;
};

/// How many slots the peer entry instances use.
class PeerUsage {
public:
  /// Counts a peer with \p Slots in use; it counted with \p Before so far.
  void replace(std::uint32_t Before, std::uint32_t Slots);

  /// The largest own part of \p Slots when they are shared by max-min
  /// fairness: peers get what they use up to the same part, \p Silent peers
  /// the whole part. At least 1.
  std::uint32_t fairPart(std::uint32_t Slots, std::uint32_t Silent) const;

private:
  /// Index N: peers that use more than N.
  std::vector<std::uint32_t> m_PeersAbove;
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

struct RoutedInstance {
  InstanceTarget m_Target;
  /// False once the list no longer names the instance.
  bool m_Listed = true;
  std::uint32_t m_InFlight = 0;
  PeerUsage m_Peers;
  AdaptiveWindow m_Window;
  InstanceHealth m_Health;

  bool acceptsWork() const { return m_Listed && m_Target.m_AcceptsWork; }
};

/// The instances of one pool in the order of their IDs.
using InstanceGroup = std::vector<RoutedInstance *>;

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_ROUTEDINSTANCE_H
