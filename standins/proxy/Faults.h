//===- Faults.h - What the proxy does to a route ----------------*- C++ -*-===//

#ifndef STANDIN_PROXY_FAULTS_H
#define STANDIN_PROXY_FAULTS_H

#include "common/EventLoop.h"
#include <cstdint>

namespace standin {

/// Upwards is from the client to the target.
struct Faults {
  /// Bytes are handed on this long after they came, in order.
  Milliseconds m_Delay{0};
  /// Swallows what goes in one direction, ends of streams as well.
  bool m_DropUp = false;
  bool m_DropDown = false;
  /// Holds both directions, also of new connections.
  bool m_Freeze = false;
  /// Stops listening, so that connecting is refused.
  bool m_Refuse = false;
  /// Accepts new connections and resets them.
  bool m_ResetNew = false;
  /// Resets all connections and refuses new ones.
  bool m_Cut = false;
  /// Resets a connection after this many bytes downwards; 0: never.
  std::uint64_t m_TruncateAfter = 0;
  /// Sends the bytes downwards twice.
  bool m_Duplicate = false;
};

} // namespace standin

#endif // STANDIN_PROXY_FAULTS_H
