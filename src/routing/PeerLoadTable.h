//===- PeerLoadTable.h - Slots that peers use -------------------*- C++ -*-===//
//
// Remembers each peer's use of each instance. Demand comes in peaks of seconds,
// so use fades slowly: what a peer lets go for a moment is not taken from it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ROUTING_PEERLOADTABLE_H
#define POLLENSPOOL_ROUTING_PEERLOADTABLE_H

#include "routing/Messages.h"
#include <map>
#include <unordered_map>

namespace pollenspool {

/// One peer's use of an instance before and after a report.
struct PeerLoadChange {
  InstanceId m_Instance;
  std::uint32_t m_Before = 0;
  std::uint32_t m_After = 0;
};

/// Not thread safe.
class PeerLoadTable {
public:
  /// Takes in a report; instances that it leaves out are not in use. Returns
  /// what changed.
  std::vector<PeerLoadChange> report(const PeerLoads &Loads);

  /// Forgets a peer. Returns what changed.
  std::vector<PeerLoadChange> forget(const EntryId &Peer);

  /// The uses of \p Instance, one for each peer that uses it.
  std::vector<std::uint32_t> usesOf(const InstanceId &Instance) const;

  /// Peers that have reported.
  std::size_t peers() const { return m_Peers.size(); }

private:
  using Uses = std::map<InstanceId, double>;

  std::unordered_map<EntryId, Uses> m_Peers;
};

} // namespace pollenspool

#endif // POLLENSPOOL_ROUTING_PEERLOADTABLE_H
