//===- Strategy.cpp - Ways to spread tries over instances -----------------===//

#include "routing/Strategy.h"
#include <algorithm>

namespace pollenspool {

namespace {

std::uint32_t shareOf(std::uint32_t Whole, std::uint32_t Parts) {
  return std::max((Whole + Parts - 1) / Parts, 1U);
}

/// The instance with the lowest \p Cost; ties go to the first after a random
/// start, so that equals get equal work.
template <typename CostOf>
RoutedInstance *lowest(const InstanceGroup &Free, RandomSource &Random,
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

/// A fixed share of the slots; the instance with the fewest own tries.
class StaticShare : public RoutingStrategy {
public:
  std::uint32_t window(const RoutedInstance &,
                       const SharedLimits &Limits) const override {
    return std::min(Limits.slotShare(), Limits.connectionShare());
  }

  RoutedInstance *choose(const InstanceGroup &Free, const SharedLimits &,
                         RandomSource &Random) const override {
    return lowest(Free, Random,
                  [](const RoutedInstance &I) { return double(I.m_InFlight); });
  }
};

/// The better of two random instances by own tries, bounded by connections
/// alone.
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

/// The part of the slots that max-min fairness leaves by the peers' reports; a
/// fixed share while there are none.
class SharedReports : public RoutingStrategy {
public:
  std::uint32_t window(const RoutedInstance &Instance,
                       const SharedLimits &Limits) const override {
    std::uint32_t Part =
        Instance.m_Peers.fairPart(Limits.m_Slots, Limits.m_SilentPeers);
    return std::min(Part, Limits.connectionShare());
  }

  // Reports are too old to choose by: all entry instances would turn to the
  // same instance until the next one.
  RoutedInstance *choose(const InstanceGroup &Free, const SharedLimits &,
                         RandomSource &Random) const override {
    return lowest(Free, Random,
                  [](const RoutedInstance &I) { return double(I.m_InFlight); });
  }
};

/// A window for each instance that grows while it is full and latency stays
/// near the baseline, and shrinks on inflated latency and refusals.
class AdaptiveConcurrency : public RoutingStrategy {
public:
  std::uint32_t window(const RoutedInstance &Instance,
                       const SharedLimits &Limits) const override {
    auto Size = static_cast<std::uint32_t>(size(Instance, Limits));
    return std::clamp(Size, 1U, Limits.connectionShare());
  }

  RoutedInstance *choose(const InstanceGroup &Free, const SharedLimits &Limits,
                         RandomSource &Random) const override {
    return lowest(Free, Random, [&](const RoutedInstance &I) {
      return (I.m_InFlight + 1) / size(I, Limits);
    });
  }

  void observe(RoutedInstance &Instance, const SharedLimits &Limits,
               const TryObservation &Seen) const override {
    AdaptiveWindow &W = Instance.m_Window;
    W.m_Size = size(Instance, Limits);
    if (Seen.m_Refused)
      return cutForRefusal(W, Seen, Limits);
    if (Seen.m_Baseline.count() <= 0)
      return;
    W.m_InflationSum += double(Seen.m_Latency.count()) /
                        static_cast<double>(Seen.m_Baseline.count());
    W.m_WasFull |= Instance.m_InFlight + 1.0 >= W.m_Size;
    if (++W.m_Samples < MinSamples)
      return;
    double Inflation = W.m_InflationSum / W.m_Samples;
    if (Inflation > InflationCeiling)
      resize(W, std::max(W.m_Size * InflationCut, floorOf(Inflation, Limits)),
             Limits);
    else if (W.m_WasFull && Inflation < InflationFloor)
      resize(W, W.m_Size + 1, Limits);
    else
      resize(W, W.m_Size, Limits);
  }

private:
  static constexpr std::uint32_t MinSamples = 16;
  static constexpr double InflationFloor = 1.3;
  static constexpr double InflationCeiling = 1.6;
  /// Inflation that a crowd alone does not explain: the instance is slow.
  static constexpr double SlowInflation = 4;
  static constexpr double InflationCut = 0.8;
  static constexpr double RefusalCut = 0.7;

  static double size(const RoutedInstance &Instance,
                     const SharedLimits &Limits) {
    double Learned = Instance.m_Window.m_Size;
    return Learned > 0 ? Learned : Limits.slotShare();
  }

  /// The share of the slots is kept unless the instance itself is slow.
  static double floorOf(double Inflation, const SharedLimits &Limits) {
    return Inflation > SlowInflation ? 1 : Limits.slotShare();
  }

  static void resize(AdaptiveWindow &W, double Size,
                     const SharedLimits &Limits) {
    W.m_Size = std::clamp(Size, 1.0, double(Limits.connectionShare()));
    W.m_InflationSum = 0;
    W.m_Samples = 0;
    W.m_WasFull = false;
  }

  /// One cut for all tries that were in flight together.
  static void cutForRefusal(AdaptiveWindow &W, const TryObservation &Seen,
                            const SharedLimits &Limits) {
    if (Seen.m_Now - W.m_LastCut < RefusalInterval)
      return;
    W.m_LastCut = Seen.m_Now;
    resize(W, W.m_Size * RefusalCut, Limits);
  }

  static constexpr Duration RefusalInterval = std::chrono::milliseconds(50);
};

template <typename Strategy> std::unique_ptr<RoutingStrategy> make() {
  return std::make_unique<Strategy>();
}

constexpr std::array<StrategyRow, StrategyCount> Strategies = {{
    {"shared-reports", make<SharedReports>},
    {"static-share", make<StaticShare>},
    {"adaptive", make<AdaptiveConcurrency>},
    {"two-choices", make<TwoChoices>},
}};

} // namespace

std::uint32_t SharedLimits::slotShare() const {
  return shareOf(m_Slots, m_EntryInstances);
}

std::uint32_t SharedLimits::connectionShare() const {
  return std::max(m_Connections / std::max(m_EntryInstances, 1U), 1U);
}

const std::array<StrategyRow, StrategyCount> &routingStrategies() {
  return Strategies;
}

std::unique_ptr<RoutingStrategy> makeStrategy(std::string_view Name) {
  if (Name.empty())
    return Strategies.front().m_Make();
  for (const StrategyRow &Row : Strategies)
    if (Row.m_Name == Name)
      return Row.m_Make();
  return nullptr;
}

} // namespace pollenspool
