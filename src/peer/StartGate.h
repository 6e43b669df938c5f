//===- StartGate.h - Refuses peers' calls during start-up -------*- C++ -*-===//
//
// The transport listens before the components behind its handlers exist. Until
// the gate is opened, calls end with Refused (not processed), so that peers may
// send them to another entry instance. Components that were built before open()
// are visible to the handlers that run after it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_STARTGATE_H
#define POLLENSPOOL_PEER_STARTGATE_H

#include "peer/PeerTransport.h"
#include <atomic>

namespace pollenspool {

/// Thread safe. Must outlive the transport that uses its routes.
class StartGate {
public:
  /// Passes all later calls to their handlers.
  void open() { m_IsOpen.store(true, std::memory_order_release); }

  /// Returns the routes with handlers that end with Refused until the gate is
  /// opened.
  std::vector<PeerRoute> guard(std::vector<PeerRoute> Routes) {
    for (PeerRoute &Route : Routes)
      Route.m_Handler = [this, Serve = std::move(Route.m_Handler)](
                            const PeerCall &Call) -> Result<std::string> {
        if (!m_IsOpen.load(std::memory_order_acquire))
          return makeError(ErrorCode::Refused, "serve peer", {},
                           "the entry instance is starting");
        return Serve(Call);
      };
    return Routes;
  }

private:
  std::atomic<bool> m_IsOpen{false};
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_STARTGATE_H
