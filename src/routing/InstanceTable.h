//===- InstanceTable.h - Instances of the own data centre -------*- C++ -*-===//
//
// Keeps the state of each instance when the list of instances changes, and
// chooses the instance for each try.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_INSTANCETABLE_H
#define POLLENSPOOL_ROUTING_INSTANCETABLE_H

#include "routing/PeerLoadTable.h"
#include "routing/RoutedInstance.h"
#include "routing/Strategy.h"
#include <map>
#include <memory>
#include <unordered_map>

namespace pollenspool {

/// A request for which an instance is to be chosen.
struct TryRequest {
  /// Instances at which the request was tried. Null if there are none.
  const std::vector<InstanceId> *m_Tried = nullptr;
  /// True if a failed try does no harm: the request is repeatable and not
  /// urgent.
  bool m_SafeAsProbe = false;
  TimePoint m_Now;
};

/// The chosen instance, or null.
struct InstanceChoice {
  RoutedInstance *m_Instance = nullptr;
  /// True if an instance at which the request was not tried accepts work, even
  /// if all of its slots are occupied.
  bool m_HasUntried = false;
};

/// Capacity of one pool for this entry instance.
struct PoolCapacity {
  /// Number of instances that accept work.
  std::size_t m_Accepting = 0;
  /// Sum of the windows of those that are not ejected.
  std::size_t m_Slots = 0;
};

/// The state of an instance keeps its address while the instance is listed or
/// has tries in flight. Not thread safe.
class InstanceTable {
public:
  InstanceTable(std::unique_ptr<RoutingStrategy> Strategy, std::uint64_t Seed);

  void setLimits(const SharedLimits &Limits);
  void setMaxEjectedShare(double Share);
  const SharedLimits &limits() const { return m_Limits; }

  /// Replaces the list of instances. A target with a lower epoch than the known
  /// one is ignored.
  void setTargets(std::vector<InstanceTarget> Targets);

  void onPeerLoads(const PeerLoadReport &Loads);
  /// Drops the load reports of a peer that left or stopped reporting. From then
  /// on it counts as using its full share of each instance.
  void forgetPeer(const EntryId &Peer);

  /// Chooses an instance of \p Pool. An ejected instance whose probe is due
  /// takes precedence.
  InstanceChoice choose(const PoolName &Pool, const TryRequest &Request);

  /// True if an instance of \p Pool that is not in \p Tried accepts work and is
  /// not ejected.
  bool hasUntried(const PoolName &Pool,
                  const std::vector<InstanceId> &Tried) const;

  PoolCapacity capacity(const PoolName &Pool) const;

  /// Counts a new try at \p Instance. Returns true if it is the probe of an
  /// ejected instance.
  bool startTry(RoutedInstance &Instance);

  /// Removes a try from the in-flight count. Destroys \p Instance if it is no
  /// longer listed and has no other try in flight.
  void endTry(RoutedInstance &Instance, bool Probe);

  /// Passes a try that is about to end to the strategy.
  void observe(RoutedInstance &Instance, const TryObservation &Observation);

  /// Records a failed try. Returns true if the instance was ejected by this
  /// call. \p FailedElsewhere: the request failed at another instance before.
  bool onFailure(RoutedInstance &Instance, bool FailedElsewhere, TimePoint Now);

  /// The state of \p Id, or null.
  RoutedInstance *find(const InstanceId &Id) const;

  std::uint32_t inFlight(const InstanceId &Id) const;
  std::vector<InstanceLoad> loads() const;
  std::size_t ejected() const;

private:
  const InstanceGroup &group(const PoolName &Pool) const;
  bool hasFreeSlot(const RoutedInstance &Instance) const;
  void applyTarget(InstanceTarget Target);
  void removeUnused();
  void rebuildGroups();
  void applyPeerLoads(const std::vector<PeerLoadChange> &Changes);
  void countSilentPeers();

  std::unique_ptr<RoutingStrategy> m_Strategy;
  RandomSource m_Random;
  SharedLimits m_Limits;
  double m_MaxEjectedShare = 0.3;
  std::unordered_map<InstanceId, std::unique_ptr<RoutedInstance>> m_States;
  std::map<PoolName, InstanceGroup> m_Groups;
  PeerLoadTable m_PeerLoads;
  /// Buffer of choose(), kept between calls to save the allocation.
  InstanceGroup m_Free;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_INSTANCETABLE_H
