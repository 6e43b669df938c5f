//===- Strategy.h - Ways to spread tries over instances ---------*- C++ -*-===//
//
// Several entry instances share the slots of each instance without seeing each
// other's traffic. A strategy sets how many own tries an instance may have, and
// which instance goes next.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_STRATEGY_H
#define POLLENSPOOL_ROUTING_STRATEGY_H

#include "routing/RoutedInstance.h"
#include <array>
#include <memory>
#include <random>
#include <string_view>

namespace pollenspool {

using RandomSource = std::mt19937_64;

/// A uniform draw from 0 to \p Count - 1, the same with every library.
/// Precondition: \p Count is not 0.
inline std::size_t drawIndex(RandomSource &Random, std::size_t Count) {
  return static_cast<std::size_t>(Random() % Count);
}

/// An instance's limits and the entry instances that share them.
struct SharedLimits {
  std::uint32_t m_Slots = 8;
  std::uint32_t m_Connections = 64;
  std::uint32_t m_EntryInstances = 1;
  /// Other entry instances whose load is not known.
  std::uint32_t m_SilentPeers = 0;

  /// This entry instance's share, at least 1.
  std::uint32_t slotShare() const;
  std::uint32_t connectionShare() const;
};

/// One finished try as a strategy learns from it.
struct TryObservation {
  /// True if the instance refused the try or could not be reached.
  bool m_Refused = false;
  Duration m_Latency{0};
  /// Latency without contention of the same service; 0 if unknown.
  Duration m_Baseline{0};
  TimePoint m_Now;
};

/// Stateless, so that one object serves all pools; what is learned stands in
/// the instance's state.
class RoutingStrategy {
public:
  virtual ~RoutingStrategy() = default;

  /// Own tries that \p Instance may have in flight: at least 1 and at most the
  /// connection share.
  virtual std::uint32_t window(const RoutedInstance &Instance,
                               const SharedLimits &Limits) const = 0;

  /// The instance for the next try. Precondition: \p Free is not empty, and
  /// each has room in its window.
  virtual RoutedInstance *choose(const InstanceGroup &Free,
                                 const SharedLimits &Limits,
                                 RandomSource &Random) const = 0;

  /// Learns from a try; called before it leaves the in-flight count.
  virtual void observe(RoutedInstance &, const SharedLimits &,
                       const TryObservation &) const {}
};

/// One row of the strategy table.
struct StrategyRow {
  std::string_view m_Name;
  std::unique_ptr<RoutingStrategy> (*m_Make)();
};

constexpr std::size_t StrategyCount = 4;

/// All strategies; the first is the default. Thread safe.
const std::array<StrategyRow, StrategyCount> &routingStrategies();

/// The strategy of that name, the default if \p Name is empty, or null. Thread
/// safe.
std::unique_ptr<RoutingStrategy> makeStrategy(std::string_view Name);

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_STRATEGY_H
