//===- RoutedInstance.cpp - One instance as this entry sees it ------------===//
//-------------===//

#include "routing/RoutedInstance.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Loads above this count as this many, so that a faulty report cannot take
/// much memory.
constexpr std::uint32_t MaxCounted = 256;

} // namespace

void PeerUsage::replace(std::uint32_t Before, std::uint32_t Slots) {
  Before = std::min(Before, MaxCounted);
  Slots = std::min(Slots, MaxCounted);
  if (m_PeersAbove.size() < Slots)
    m_PeersAbove.resize(Slots);
  for (std::uint32_t N = Before; N < Slots; ++N)
    ++m_PeersAbove[N];
  for (std::uint32_t N = Slots; N < Before; ++N)
    --m_PeersAbove[N];
}

std::uint32_t PeerUsage::fairPart(std::uint32_t Slots,
                                  std::uint32_t Silent) const {
  // Raising everyone's part by one costs a slot for each that still uses it.
  std::uint32_t Part = 0;
  std::uint32_t Used = 0;
  while (Used < Slots) {
    std::uint32_t Peers = Part < m_PeersAbove.size() ? m_PeersAbove[Part] : 0;
    Used += Peers + Silent + 1;
    ++Part;
  }
  return std::max(Part, 1U);
}

} // namespace pollenspool
