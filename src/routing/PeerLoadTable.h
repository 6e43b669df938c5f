//===- PeerLoadTable.h - Slots that peers use -------------------*- C++ -*-===//
//
// Remembers how many slots of each instance each peer uses. Demand comes in
// peaks that last seconds, so a usage decays slowly: slots that a peer frees
// for a short time are not taken by this entry instance.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_PEERLOADTABLE_H
#define POLLENSPOOL_ROUTING_PEERLOADTABLE_H

#include "routing/Messages.h"
#include <map>
#include <unordered_map>

namespace pollenspool {

/// Usage of an instance by one peer before and after a report, in slots.
struct PeerLoadChange {
  InstanceId m_Instance;
  std::uint32_t m_Before = 0;
  std::uint32_t m_After = 0;
};

/// Not thread safe.
class PeerLoadTable {
public:
  /// Applies a load report. Usage of instances that the report leaves out
  /// decays. Returns the changes.
  std::vector<PeerLoadChange> report(const PeerLoadReport &Loads);

  /// Drops the usage of a peer. Returns the changes.
  std::vector<PeerLoadChange> forget(const EntryId &Peer);

  /// The slots of \p Instance that are in use, one element for each peer that
  /// uses it.
  std::vector<std::uint32_t> usageOf(const InstanceId &Instance) const;

  /// Number of peers that have reported.
  std::size_t peers() const { return m_Peers.size(); }

private:
  using Usage = std::map<InstanceId, double>;

  std::unordered_map<EntryId, Usage> m_Peers;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_PEERLOADTABLE_H
