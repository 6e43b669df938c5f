//===- RoutedInstance.cpp - Routing state of one instance -----------------===//

#include "routing/RoutedInstance.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Reported loads are clipped to this value, so that an incorrect report cannot
/// make the table large.
constexpr std::uint32_t MaxCountedSlots = 256;

} // namespace

void PeerUsage::replace(std::uint32_t Before, std::uint32_t Slots) {
  Before = std::min(Before, MaxCountedSlots);
  Slots = std::min(Slots, MaxCountedSlots);
  if (m_PeersAbove.size() < Slots)
    m_PeersAbove.resize(Slots);
  for (std::uint32_t N = Before; N < Slots; ++N)
    ++m_PeersAbove[N];
  for (std::uint32_t N = Slots; N < Before; ++N)
    --m_PeersAbove[N];
}

std::uint32_t PeerUsage::fairShare(std::uint32_t Slots,
                                   std::uint32_t Silent) const {
  // Raising the share by one takes one slot for this entry instance, one for
  // each silent peer and one for each peer that uses more than the share.
  std::uint32_t SlotShare = 0;
  std::uint32_t Used = 0;
  while (Used < Slots) {
    std::uint32_t Peers =
        SlotShare < m_PeersAbove.size() ? m_PeersAbove[SlotShare] : 0;
    Used += Peers + Silent + 1;
    ++SlotShare;
  }
  return std::max(SlotShare, 1U);
}

} // namespace pollenspool
