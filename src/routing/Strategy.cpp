//===- Strategy.cpp - Routing strategies ----------------------------------===//

#include "routing/Strategy.h"
#include <algorithm>

namespace pollenspool {

namespace {

std::uint32_t shareRoundedUp(std::uint32_t Total, std::uint32_t ShareCount) {
  return std::max((Total + ShareCount - 1) / ShareCount, 1U);
}

/// The instance with the lowest \p Cost. The scan starts at a random instance,
/// so that instances of equal cost get equal load.
template <typename CostOf>
RoutedInstance *lowestCost(const InstanceGroup &Free, RandomSource &Random,
                           CostOf Cost) {
  std::size_t Start = drawIndex(Random, Free.size());
  RoutedInstance *Best = Free[Start];
  double BestCost = Cost(*Best);
  for (std::size_t Step = 1; Step < Free.size(); ++Step) {
    RoutedInstance *Next = Free[(Start + Step) % Free.size()];
    double NextCost = Cost(*Next);
    if (NextCost < BestCost) {
      Best = Next;
      BestCost = NextCost;
    }
  }
  return Best;
}

/// A fixed share of the slots. Chooses the instance with the fewest own tries.
class StaticShare : public RoutingStrategy {
public:
  std::uint32_t window(const RoutedInstance &,
                       const SharedLimits &Limits) const override {
    return std::min(Limits.slotShare(), Limits.connectionShare());
  }

  RoutedInstance *choose(const InstanceGroup &Free, const SharedLimits &,
                         RandomSource &Random) const override {
    return lowestCost(Free, Random, [](const RoutedInstance &I) {
      return double(I.m_InFlight);
    });
  }
};

/// Power of two choices: the one of two random instances that has fewer own
/// tries. Only the connection share limits the tries.
class TwoChoices : public RoutingStrategy {
public:
  std::uint32_t window(const RoutedInstance &,
                       const SharedLimits &Limits) const override {
    return Limits.connectionShare();
  }

  RoutedInstance *choose(const InstanceGroup &Free, const SharedLimits &,
                         RandomSource &Random) const override {
    RoutedInstance *A = Free[drawIndex(Random, Free.size())];
    RoutedInstance *B = Free[drawIndex(Random, Free.size())];
    return B->m_InFlight < A->m_InFlight ? B : A;
  }
};

/// The max-min fair share of the slots according to the load reports of the
/// peers. Equals the fixed share while no peer has reported.
class SharedReports : public RoutingStrategy {
public:
  std::uint32_t window(const RoutedInstance &Instance,
                       const SharedLimits &Limits) const override {
    std::uint32_t SlotShare =
        Instance.m_Peers.fairShare(Limits.m_Slots, Limits.m_SilentPeers);
    return std::min(SlotShare, Limits.connectionShare());
  }

  // Load reports are too old to choose an instance by: until the next report,
  // all entry instances would choose the same one.
  RoutedInstance *choose(const InstanceGroup &Free, const SharedLimits &,
                         RandomSource &Random) const override {
    return lowestCost(Free, Random, [](const RoutedInstance &I) {
      return double(I.m_InFlight);
    });
  }
};

/// A concurrency limit for each instance that grows while it is used up and the
/// latency is near the baseline, and shrinks on a high latency or on refusals.
class AdaptiveConcurrency : public RoutingStrategy {
public:
  std::uint32_t window(const RoutedInstance &Instance,
                       const SharedLimits &Limits) const override {
    auto Size = static_cast<std::uint32_t>(size(Instance, Limits));
    return std::clamp(Size, 1U, Limits.connectionShare());
  }

  RoutedInstance *choose(const InstanceGroup &Free, const SharedLimits &Limits,
                         RandomSource &Random) const override {
    return lowestCost(Free, Random, [&](const RoutedInstance &I) {
      return (I.m_InFlight + 1) / size(I, Limits);
    });
  }

  void observe(RoutedInstance &Instance, const SharedLimits &Limits,
               const TryObservation &Observation) const override {
    AdaptiveWindow &W = Instance.m_Window;
    W.m_Size = size(Instance, Limits);
    if (Observation.m_Refused)
      return shrinkOnRefusal(W, Observation, Limits);
    if (Observation.m_Baseline.count() <= 0)
      return;
    W.m_InflationSum += double(Observation.m_Latency.count()) /
                        static_cast<double>(Observation.m_Baseline.count());
    W.m_WasFull |= Instance.m_InFlight + 1.0 >= W.m_Size;
    if (++W.m_Samples < MinSamples)
      return;
    double Inflation = W.m_InflationSum / W.m_Samples;
    if (Inflation > MinInflationToShrink)
      resize(W,
             std::max(W.m_Size * InflationShrinkFactor,
                      minWindow(Inflation, Limits)),
             Limits);
    else if (W.m_WasFull && Inflation < MaxInflationToGrow)
      resize(W, W.m_Size + 1, Limits);
    else
      resize(W, W.m_Size, Limits);
  }

private:
  static constexpr std::uint32_t MinSamples = 16;
  static constexpr double MaxInflationToGrow = 1.3;
  static constexpr double MinInflationToShrink = 1.6;
  /// Above this inflation, the load of the other entry instances alone does not
  /// explain the latency and the instance itself is slow.
  static constexpr double SlowInstanceInflation = 4;
  static constexpr double InflationShrinkFactor = 0.8;
  static constexpr double RefusalShrinkFactor = 0.7;

  static double size(const RoutedInstance &Instance,
                     const SharedLimits &Limits) {
    double Learned = Instance.m_Window.m_Size;
    return Learned > 0 ? Learned : Limits.slotShare();
  }

  /// The window does not shrink below the slot share unless the instance itself
  /// is slow.
  static double minWindow(double Inflation, const SharedLimits &Limits) {
    return Inflation > SlowInstanceInflation ? 1 : Limits.slotShare();
  }

  static void resize(AdaptiveWindow &W, double Size,
                     const SharedLimits &Limits) {
    W.m_Size = std::clamp(Size, 1.0, double(Limits.connectionShare()));
    W.m_InflationSum = 0;
    W.m_Samples = 0;
    W.m_WasFull = false;
  }

  /// Shrinks the window at most once per interval, because tries that were in
  /// flight together are refused together.
  static void shrinkOnRefusal(AdaptiveWindow &W,
                              const TryObservation &Observation,
                              const SharedLimits &Limits) {
    if (Observation.m_Now - W.m_LastRefusalShrink < RefusalShrinkInterval)
      return;
    W.m_LastRefusalShrink = Observation.m_Now;
    resize(W, W.m_Size * RefusalShrinkFactor, Limits);
  }

  static constexpr Duration RefusalShrinkInterval =
      std::chrono::milliseconds(50);
};

template <typename Strategy> std::unique_ptr<RoutingStrategy> create() {
  return std::make_unique<Strategy>();
}

constexpr std::array<StrategyRow, StrategyCount> Strategies = {{
    {"shared-reports", create<SharedReports>},
    {"static-share", create<StaticShare>},
    {"adaptive", create<AdaptiveConcurrency>},
    {"two-choices", create<TwoChoices>},
}};

} // namespace

std::uint32_t SharedLimits::slotShare() const {
  return shareRoundedUp(m_Slots, m_EntryInstances);
}

std::uint32_t SharedLimits::connectionShare() const {
  return std::max(m_Connections / std::max(m_EntryInstances, 1U), 1U);
}

const std::array<StrategyRow, StrategyCount> &routingStrategies() {
  return Strategies;
}

std::unique_ptr<RoutingStrategy> makeStrategy(std::string_view Name) {
  if (Name.empty())
    return Strategies.front().m_Create();
  for (const StrategyRow &Row : Strategies)
    if (Row.m_Name == Name)
      return Row.m_Create();
  return nullptr;
}

} // namespace pollenspool
