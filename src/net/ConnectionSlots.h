//===- ConnectionSlots.h - Limits of a client's connections -----*- C++ -*-===//

#ifndef POLLENSPOOL_NET_CONNECTIONSLOTS_H
#define POLLENSPOOL_NET_CONNECTIONSLOTS_H

#include "base/Time.h"
#include <boost/container/flat_map.hpp>
#include <boost/container/flat_set.hpp>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pollenspool {

/// Limits of the connections that a client keeps open, idle ones included.
struct ConnectionLimits {
  /// To one address.
  std::size_t m_PerPeer = 24;
  /// To all addresses together. At least 1.
  std::size_t m_Total = 1024;
  /// Longest body of a reply, in bytes.
  std::size_t m_ReplyBytes = 8u << 20;
  /// Bytes of all replies that are arriving, with the lengths that they
  /// announce. The largest of them is given up when they have more.
  std::size_t m_ArrivingBytes = 96u << 20;
  /// How long a connection may be idle before it is closed. A peer keeps the
  /// connections of a host that is lost without closing them.
  Duration m_IdleTime = std::chrono::seconds(30);
};

/// Number of a call or of a connection, unique within one client.
using CallNumber = std::uint64_t;
using ConnectionNumber = std::uint64_t;

/// What a client has to do next with its connections.
struct ConnectionAction {
  enum class Kind : std::uint8_t {
    /// Send m_Call on the idle connection m_Connection.
    Reuse,
    /// Open m_Connection and send m_Call on it.
    Open,
    /// Close the idle connection m_Connection.
    Close,
  };
  Kind m_Kind = Kind::Open;
  ConnectionNumber m_Connection = 0;
  CallNumber m_Call = 0;
};

/// Assigns calls to connections within ConnectionLimits. Calls start in the
/// order of their numbers, except that a call whose peer is at its limit does
/// not hold back calls to other peers. An idle connection is closed, the least
/// recently used first, when a call to another peer needs its place.
///
/// Knows calls and connections by number only and does no I/O. After each
/// member that changes the state, next() has to be called until it returns
/// nothing. Not thread safe.
class ConnectionSlots {
public:
  explicit ConnectionSlots(const ConnectionLimits &Limits) : m_Limits(Limits) {}

  /// Queues a call to \p Peer. A number that was used before takes its former
  /// place in the order.
  void addCall(CallNumber Call, const std::string &Peer);
  /// Removes a queued call. Returns false if it is not queued.
  bool removeCall(CallNumber Call, const std::string &Peer);
  /// The call on \p Connection has ended and the connection is idle now.
  void release(ConnectionNumber Connection);
  /// \p Connection is closed. Has no effect if it is unknown.
  void close(ConnectionNumber Connection);
  /// Returns the next action and counts it as done; nothing if the queued calls
  /// have to wait.
  std::optional<ConnectionAction> next();

  /// The idle connections to \p Peer.
  std::vector<ConnectionNumber> idleTo(const std::string &Peer) const;
  /// Number of connections to \p Peer, idle ones included.
  std::size_t openTo(const std::string &Peer) const;
  /// The connection that has been idle for the longest time, if any is idle.
  std::optional<ConnectionNumber> longestIdle() const;
  /// Whether a queued call waits only because of the limit of all connections.
  bool isTotalLimitBinding() const;
  std::size_t open() const { return m_Connections.size(); }
  std::size_t idle() const { return m_IdleByAge.size(); }
  std::size_t queued() const { return m_Queued; }
  const ConnectionLimits &limits() const { return m_Limits; }

private:
  struct PeerState {
    std::string m_Name;
    boost::container::flat_set<CallNumber> m_Queued;
    /// Idle connections; the most recently used one is the last.
    std::vector<ConnectionNumber> m_Idle;
    std::size_t m_Open = 0;
    /// The entry of this peer in m_Startable; 0 if there is none.
    CallNumber m_StartableCall = 0;
  };
  struct Connection {
    PeerState *m_Peer = nullptr;
    bool m_IsIdle = false;
    /// Position in m_IdleByAge if idle, else in m_InUse.
    std::list<ConnectionNumber>::iterator m_Position;
  };

  /// Updates the peer's entry in m_Startable, and forgets a peer without calls
  /// and connections.
  void refresh(PeerState &P);
  void removeIdle(ConnectionNumber Number, Connection &C);
  ConnectionNumber openConnection(PeerState &P);

  ConnectionLimits m_Limits;
  /// Elements keep their addresses.
  std::unordered_map<std::string, PeerState> m_Peers;
  std::unordered_map<ConnectionNumber, Connection> m_Connections;
  /// Idle connections, the least recently used one first.
  std::list<ConnectionNumber> m_IdleByAge;
  /// The other connections. Elements move between the lists.
  std::list<ConnectionNumber> m_InUse;
  /// The first queued call of each peer that is below its limit or has an idle
  /// connection.
  boost::container::flat_map<CallNumber, PeerState *> m_Startable;
  ConnectionNumber m_LastConnection = 0;
  std::size_t m_Queued = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_CONNECTIONSLOTS_H
