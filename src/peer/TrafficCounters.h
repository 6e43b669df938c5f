//===- TrafficCounters.h - Counters of the peer transport -------*- C++ -*-===//
//
// One set of counters per transport, written by the loop thread and read by any
// thread.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_TRAFFICCOUNTERS_H
#define POLLENSPOOL_PEER_TRAFFICCOUNTERS_H

#include "peer/PeerTransport.h"
#include <map>
#include <mutex>

namespace pollenspool {

/// Selects a counter of PeerTraffic.
using TrafficCounter = std::uint64_t PeerTraffic::*;
/// Selects a counter of a path group.
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
