//===- InstanceTable.h - The instances of the own data centre ---*- C++ -*-===//
//
// Keeps each instance's state through changes of the list and chooses the
// instance of each try.
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

/// One try that needs an instance.
struct TryRequest {
  /// Instances that the request has been tried at.
  const std::vector<InstanceId> *m_Tried = nullptr;
  /// True if a failure can be repaired by a retry and is not urgent.
  bool m_Harmless = false;
  TimePoint m_Now;
};

/// An instance, or why there is none.
struct InstanceChoice {
  RoutedInstance *m_Instance = nullptr;
  /// True if an instance that has not been tried takes work, though it has no
  /// room now.
  bool m_WorthWaiting = false;
};

/// How much of one pool this entry instance may use.
struct PoolCapacity {
  /// Instances that accept work.
  std::size_t m_Accepting = 0;
  /// Sum of the windows of those that are not ejected.
  std::size_t m_Slots = 0;
};

/// States stay at their address while they are listed or have tries in flight.
/// Not thread safe.
class InstanceTable {
public:
  InstanceTable(std::unique_ptr<RoutingStrategy> Strategy, std::uint64_t Seed);

  void setLimits(const SharedLimits &Limits);
  void setMaxEjectedShare(double Share);
  const SharedLimits &limits() const { return m_Limits; }

  /// Replaces the list; a target with a lower epoch than the known is ignored.
  void setTargets(std::vector<InstanceTarget> Targets);

  void onPeerLoads(const PeerLoads &Loads);
  /// The peer is gone or silent: it counts as using its whole share.
  void forgetPeer(const EntryId &Peer);

  /// Chooses an instance of \p Pool; a due probe goes first.
  InstanceChoice choose(const PoolName &Pool, const TryRequest &Request);

  /// True if an instance of \p Pool that is not in \p Tried takes work.
  bool hasUntried(const PoolName &Pool,
                  const std::vector<InstanceId> &Tried) const;

  PoolCapacity capacity(const PoolName &Pool) const;

  /// Returns true if the try is the probe of an ejected instance.
  bool startTry(RoutedInstance &Instance);

  /// Ends a try. \p Instance may be destroyed by this.
  void endTry(RoutedInstance &Instance, bool Probe);

  /// Lets the strategy learn from a try that is about to end.
  void observe(RoutedInstance &Instance, const TryObservation &Seen);

  /// Records that a try failed. Returns true if the instance was ejected.
  bool onFailure(RoutedInstance &Instance, bool FailedElsewhere, TimePoint Now);

  /// The state of \p Id, or null.
  RoutedInstance *find(const InstanceId &Id) const;

  std::uint32_t inFlight(const InstanceId &Id) const;
  std::vector<InstanceLoad> loads() const;
  std::size_t ejected() const;

private:
  const InstanceGroup &group(const PoolName &Pool) const;
  bool isFree(const RoutedInstance &Instance) const;
  void applyTarget(InstanceTarget Target);
  void dropUnused();
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
  /// Kept between calls to save the allocation.
  InstanceGroup m_Free;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_INSTANCETABLE_H
