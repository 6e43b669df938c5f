//===- TrafficCounters.h - What the peer transport counts -------*- C++ -*-===//
//
// One set of counters per transport, written by the loop thread and read by
// any.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_TRAFFICCOUNTERS_H
#define POLLENSPOOL_PEER_TRAFFICCOUNTERS_H

#include "peer/PeerTransport.h"
#include <map>
#include <mutex>

namespace pollenspool {

/// A counter of PeerTraffic, named by its member.
using TrafficCounter = std::uint64_t PeerTraffic::*;
/// A counter of one path group, named by its member.
using PathCounter = std::uint64_t PathTraffic::*;

/// Thread safe.
class TrafficCounters {
public:
  void add(TrafficCounter Counter, std::uint64_t Amount = 1);
  void add(std::string_view Path, PathCounter Counter,
           std::uint64_t Amount = 1);
  PeerTraffic snapshot() const;

private:
  mutable std::mutex m_Mutex;
  PeerTraffic m_Totals;
  std::map<std::string, PathTraffic, std::less<>> m_Paths;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_TRAFFICCOUNTERS_H
