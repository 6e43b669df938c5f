//===- Messages.h - Heartbeat messages of entry instances -------*- C++ -*-===//
//
// A heartbeat carries the state of its sender and a few notices about other
// instances, so that changes spread by gossip instead of a full mesh.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MEMBERSHIP_MESSAGES_H
#define POLLENSPOOL_MEMBERSHIP_MESSAGES_H

#include "base/Error.h"
#include "base/Ids.h"
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace pollenspool {

/// Current load of an entry instance, in requests.
struct LoadDigest {
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_Queued = 0;
  MSGPACK_DEFINE(m_InFlight, m_Queued)
};

/// State of one entry instance. Of two states of the same instance the one
/// with the higher incarnation, then the higher sequence, is newer.
struct PeerState {
  /// Increases with each restart.
  std::uint64_t m_Incarnation = 0;
  /// Increases with each interval's heartbeats.
  std::uint64_t m_Sequence = 0;
  bool m_Draining = false;
  /// Version of the configuration document in effect.
  std::uint64_t m_DocumentVersion = 0;
  /// Table revision up to which the instance's serving view is complete.
  std::uint64_t m_ViewRevision = 0;
  LoadDigest m_Load;
  MSGPACK_DEFINE(m_Incarnation, m_Sequence, m_Draining, m_DocumentVersion,
                 m_ViewRevision, m_Load)

  bool isNewerThan(const PeerState &Other) const {
    if (m_Incarnation != Other.m_Incarnation)
      return m_Incarnation > Other.m_Incarnation;
    return m_Sequence > Other.m_Sequence;
  }
};

/// A peer's state as known to the sender of the heartbeat, without the load.
struct PeerNotice {
  EntryId m_About;
  PeerState m_State;
  MSGPACK_DEFINE(m_About.m_Text, m_State.m_Incarnation, m_State.m_Sequence,
                 m_State.m_Draining, m_State.m_DocumentVersion,
                 m_State.m_ViewRevision)
};

struct Heartbeat {
  EntryId m_From;
  PeerState m_State;
  std::vector<PeerNotice> m_Notices;
  MSGPACK_DEFINE(m_From.m_Text, m_State, m_Notices)
};

/// Thread safe.
std::string encodeHeartbeat(const Heartbeat &Message);

/// Errors: InvalidMessage. Fields added by later releases are ignored. Thread
/// safe.
Result<Heartbeat> decodeHeartbeat(std::string_view Bytes);

} // namespace pollenspool

#endif // POLLENSPOOL_MEMBERSHIP_MESSAGES_H
