//===- TrafficCounters.cpp - Counters of the peer transport ---------------===//

#include "peer/TrafficCounters.h"

namespace pollenspool {

namespace {

// Paths are received from peers, so the number of groups is bounded to limit
// memory use.
constexpr std::size_t MaxPathGroups = 64;
constexpr std::string_view OverflowGroup = "other";

std::string_view groupOf(std::string_view Path) {
  if (!Path.empty() && Path.front() == '/')
    Path.remove_prefix(1);
  return Path.substr(0, Path.find('/'));
}

} // namespace

void TrafficCounters::add(TrafficCounter Counter, std::uint64_t Amount) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Totals.*Counter += Amount;
}

void TrafficCounters::add(std::string_view Path, PathCounter Counter,
                          std::uint64_t Amount) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::string_view Group = groupOf(Path);
  auto It = m_Paths.find(Group);
  if (It == m_Paths.end()) {
    std::string_view Name =
        m_Paths.size() < MaxPathGroups ? Group : OverflowGroup;
    It = m_Paths.try_emplace(std::string(Name)).first;
    It->second.m_Group = It->first;
  }
  It->second.*Counter += Amount;
}

PeerTraffic TrafficCounters::snapshot() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  PeerTraffic Copy = m_Totals;
  for (const auto &[Group, Traffic] : m_Paths)
    Copy.m_Paths.push_back(Traffic);
  return Copy;
}

} // namespace pollenspool
