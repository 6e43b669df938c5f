//===- ConnectionTable.h - The sockets of a transport -----------*- C++ -*-===//
//
// Registers connections with epoll, flushes those that changed and removes the
// dead.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_CONNECTIONTABLE_H
#define POLLENSPOOL_PEER_CONNECTIONTABLE_H

#include "peer/PeerConnection.h"
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pollenspool {

/// Loop thread only.
class ConnectionTable {
public:
  /// Ids up to this one are left for the loop's own descriptors.
  static constexpr ConnectionId LastReservedId = 15;

  explicit ConnectionTable(int Epoll) : m_Epoll(Epoll) {}

  /// Adds and registers a connection. It is dead if epoll refuses it.
  ConnectionId add(std::unique_ptr<PeerConnection> Connection);

  /// Null if the connection is gone.
  PeerConnection *find(ConnectionId Id);

  /// Has the connection flushed by the next flush().
  void touch(ConnectionId Id) { m_Touched.insert(Id); }

  /// Flushes touched connections, renews epoll interest, removes the dead.
  void flush(TimePoint Now);

  /// Checks every connection's health.
  void checkHealth(TimePoint Now);

  /// Removes all connections.
  void clear();

  bool empty() const { return m_Entries.empty(); }
  bool hasUnsentBytes() const;

  template <typename Visitor> void forEach(Visitor Visit) {
    for (auto &[Id, Found] : m_Entries) {
      Visit(*Found.m_Connection);
      touch(Id);
    }
  }

private:
  struct Entry {
    std::unique_ptr<PeerConnection> m_Connection;
    bool m_WaitsForWrite = false;
  };

  void flushOne(ConnectionId Id, TimePoint Now);
  void setInterest(Entry &Target, int Operation);

  const int m_Epoll;
  ConnectionId m_LastId = LastReservedId;
  std::unordered_map<ConnectionId, Entry> m_Entries;
  std::unordered_set<ConnectionId> m_Touched;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_CONNECTIONTABLE_H
