//===- Faults.h - Injected faults of a proxied route ------------*- C++ -*-===//

#ifndef STANDIN_PROXY_FAULTS_H
#define STANDIN_PROXY_FAULTS_H

#include "common/EventLoop.h"
#include <cstdint>

namespace standin {

/// Faults that the proxy injects on a route. Upstream is the direction from the
/// client to the target, downstream that from the target to the client.
struct Faults {
  /// Delay between the receipt of bytes and their forwarding. The order of the
  /// bytes is kept.
  Milliseconds m_Delay{0};
  /// Discards the bytes of the upstream direction, and ends of stream too.
  bool m_DropUpstream = false;
  /// Discards the bytes of the downstream direction, and ends of stream too.
  bool m_DropDownstream = false;
  /// Forwards nothing in either direction, also for new connections, until the
  /// fault is cleared.
  bool m_Freeze = false;
  /// Stops listening, so that new connections are refused. Open connections
  /// continue.
  bool m_RefuseNew = false;
  /// Accepts new connections and resets them at once.
  bool m_ResetNew = false;
  /// Resets all open connections and refuses new ones.
  bool m_ResetAll = false;
  /// Number of downstream bytes after which a connection is reset; 0 disables
  /// the fault.
  std::uint64_t m_TruncateAfter = 0;
  /// Forwards each chunk of downstream bytes twice.
  bool m_Duplicate = false;
};

} // namespace standin

#endif // STANDIN_PROXY_FAULTS_H
