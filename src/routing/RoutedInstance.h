//===- RoutedInstance.h - Routing state of one instance ---------*- C++ -*-===//
//
// Own tries in flight, usage by peers, adaptive window and health of an
// instance.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_ROUTEDINSTANCE_H
#define POLLENSPOOL_ROUTING_ROUTEDINSTANCE_H

#include "base/Time.h"
#include "routing/Messages.h"
#include <vector>

namespace pollenspool {

/// Concurrency limit of the adaptive strategy. A size of 0 means that none has
/// been measured.
struct AdaptiveWindow {
  double m_Size = 0;
  /// Sum of the latencies as multiples of the baseline, and their number, since
  /// the size was last set.
  double m_InflationSum = 0;
  std::uint32_t m_Samples = 0;
  /// True if the window was full at some time since the size was last set.
  bool m_WasFull = false;
  TimePoint m_LastRefusalShrink;
};

/// Number of slots of an instance that each peer entry instance uses.
class PeerUsage {
public:
  /// Changes the usage of one peer from \p Before to \p Slots.
  void replace(std::uint32_t Before, std::uint32_t Slots);

  /// Share of this entry instance when \p Slots are divided by max-min
  /// fairness. Peers that have reported get the slots that they use, up to the
  /// same share, and \p Silent peers get the full share. At least 1.
  std::uint32_t fairShare(std::uint32_t Slots, std::uint32_t Silent) const;

private:
  /// Element N is the number of peers that use more than N slots.
  std::vector<std::uint32_t> m_PeersAbove;
};

/// Results of recent tries at the instance, and its ejection state.
struct InstanceHealth {
  /// Smoothed share of tries that failed, whether or not the failure is
  /// attributed to the instance.
  double m_FailureRate = 0;
  /// Consecutive failures, whether or not they are attributed to the instance.
  std::uint32_t m_FailuresInRow = 0;
  /// Consecutive failures that are attributed to the instance.
  std::uint32_t m_AttributedInRow = 0;
  std::uint32_t m_Samples = 0;
  bool m_Ejected = false;
  bool m_ProbeInFlight = false;
  std::uint32_t m_ProbesPassed = 0;
  Duration m_Backoff{0};
  /// Earliest time of the next probe while the instance is ejected.
  TimePoint m_NextProbe;
};

struct RoutedInstance {
  InstanceTarget m_Target;
  /// False when the current list no longer contains the instance.
  bool m_Listed = true;
  std::uint32_t m_InFlight = 0;
  PeerUsage m_Peers;
  AdaptiveWindow m_Window;
  InstanceHealth m_Health;

  bool acceptsWork() const { return m_Listed && m_Target.m_AcceptsWork; }
};

/// The instances of one pool, ordered by ID.
using InstanceGroup = std::vector<RoutedInstance *>;

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_ROUTEDINSTANCE_H
