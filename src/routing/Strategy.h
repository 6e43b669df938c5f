//===- Strategy.h - Routing strategies --------------------------*- C++ -*-===//
//
// Several entry instances share the slots of each instance without seeing each
// other's requests. A strategy limits the own tries in flight at each instance
// and chooses the instance for the next try.
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

/// Draws a number from 0 to \p Count - 1, the same sequence with every standard
/// library. Precondition: \p Count is not 0.
inline std::size_t drawIndex(RandomSource &Random, std::size_t Count) {
  return static_cast<std::size_t>(Random() % Count);
}

/// Limits of an instance and the number of entry instances that share them.
struct SharedLimits {
  std::uint32_t m_Slots = 8;
  std::uint32_t m_Connections = 64;
  std::uint32_t m_EntryInstances = 1;
  /// Other entry instances that have not reported their load.
  std::uint32_t m_SilentPeers = 0;

  /// Share of this entry instance, at least 1.
  std::uint32_t slotShare() const;
  std::uint32_t connectionShare() const;
};

/// A finished try, as input of a strategy.
struct TryObservation {
  /// True if the instance refused the try or was unreachable.
  bool m_Refused = false;
  Duration m_Latency{0};
  /// Latency of the same service without contention. 0 if unknown.
  Duration m_Baseline{0};
  TimePoint m_Now;
};

/// A strategy has no state of its own, so that one object serves all pools.
/// What it measures is stored in the state of the instance.
class RoutingStrategy {
public:
  virtual ~RoutingStrategy() = default;

  /// Number of own tries that \p Instance may have in flight: at least 1 and at
  /// most the connection share.
  virtual std::uint32_t window(const RoutedInstance &Instance,
                               const SharedLimits &Limits) const = 0;

  /// Chooses the instance for the next try. Precondition: \p Free is not empty,
  /// and each instance in it has fewer tries in flight than its window.
  virtual RoutedInstance *choose(const InstanceGroup &Free,
                                 const SharedLimits &Limits,
                                 RandomSource &Random) const = 0;

  /// Updates the state of the instance after a try. Called before the try
  /// leaves the in-flight count.
  virtual void observe(RoutedInstance &, const SharedLimits &,
                       const TryObservation &) const {}
};

/// A named strategy.
struct StrategyRow {
  std::string_view m_Name;
  std::unique_ptr<RoutingStrategy> (*m_Create)();
};

constexpr std::size_t StrategyCount = 4;

/// All strategies. The first one is the default. Thread safe.
const std::array<StrategyRow, StrategyCount> &routingStrategies();

/// Creates the strategy of that name, or the default if \p Name is empty. Null
/// if the name is unknown. Thread safe.
std::unique_ptr<RoutingStrategy> makeStrategy(std::string_view Name);

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_STRATEGY_H
