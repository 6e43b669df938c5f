//===- StartGate.h - Refuses peers' calls until all is wired ----*- C++ -*-===//
//
// The transport listens before the slices behind its handlers are built. Until
// the gate opens, calls are refused as not processed, so that peers may send
// them elsewhere; opening it publishes all that was built before.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_STARTGATE_H
#define POLLENSPOOL_PEER_STARTGATE_H

#include "peer/PeerTransport.h"
#include <atomic>

namespace pollenspool {

/// Thread safe. Has to outlive the transport that its routes are given to.
class StartGate {
public:
  /// Lets calls through from now on.
  void open() { m_IsOpen.store(true, std::memory_order_release); }

  /// The routes with handlers that answer Refused until the gate is open.
  std::vector<PeerRoute> guard(std::vector<PeerRoute> Routes) {
    for (PeerRoute &Route : Routes)
      Route.m_Handler = [this, Serve = std::move(Route.m_Handler)](
                            const PeerCall &Call) -> Result<std::string> {
        if (!m_IsOpen.load(std::memory_order_acquire))
          return makeError(ErrorCode::Refused, "serve peer", {}, "starting");
        return Serve(Call);
      };
    return Routes;
  }

private:
  std::atomic<bool> m_IsOpen{false};
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_STARTGATE_H
