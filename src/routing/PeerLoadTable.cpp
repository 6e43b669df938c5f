//===- PeerLoadTable.cpp - Slots that peers use ---------------------------===//

#include "routing/PeerLoadTable.h"
#include <algorithm>
#include <cmath>

namespace pollenspool {

namespace {

/// Factor by which a usage decays with each report that does not confirm it.
constexpr double DecayPerReport = 0.97;
/// A usage below this number of slots counts as none.
constexpr double MinUsage = 0.5;

std::uint32_t slotsOf(double Use) {
  return static_cast<std::uint32_t>(std::ceil(Use));
}

} // namespace

std::vector<PeerLoadChange> PeerLoadTable::report(const PeerLoadReport &Loads) {
  std::vector<PeerLoadChange> Changes;
  Usage &Known = m_Peers[Loads.m_Peer];
  Usage Next;
  for (const auto &Use : Known)
    if (Use.second * DecayPerReport >= MinUsage)
      Next[Use.first] = Use.second * DecayPerReport;
  for (const InstanceLoad &Load : Loads.m_Report.m_Instances) {
    double &Use = Next[Load.m_Instance];
    Use = std::max<double>(Use, Load.m_InFlight);
  }
  for (const auto &Use : Known)
    if (!Next.count(Use.first))
      Changes.push_back({Use.first, slotsOf(Use.second), 0});
  for (const auto &Use : Next) {
    auto Old = Known.find(Use.first);
    std::uint32_t Before = Old == Known.end() ? 0 : slotsOf(Old->second);
    if (Before != slotsOf(Use.second))
      Changes.push_back({Use.first, Before, slotsOf(Use.second)});
  }
  Known = std::move(Next);
  return Changes;
}

std::vector<PeerLoadChange> PeerLoadTable::forget(const EntryId &Peer) {
  std::vector<PeerLoadChange> Changes;
  auto It = m_Peers.find(Peer);
  if (It == m_Peers.end())
    return Changes;
  for (const auto &Use : It->second)
    Changes.push_back({Use.first, slotsOf(Use.second), 0});
  m_Peers.erase(It);
  return Changes;
}

std::vector<std::uint32_t>
PeerLoadTable::usageOf(const InstanceId &Instance) const {
  std::vector<std::uint32_t> Found;
  for (const auto &Peer : m_Peers) {
    auto It = Peer.second.find(Instance);
    if (It != Peer.second.end())
      Found.push_back(slotsOf(It->second));
  }
  return Found;
}

} // namespace pollenspool
