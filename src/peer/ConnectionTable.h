//===- ConnectionTable.h - The sockets of a transport -----------*- C++ -*-===//
//
// Registers connections with epoll, flushes those that have output and removes
// closed ones.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_CONNECTIONTABLE_H
#define POLLENSPOOL_PEER_CONNECTIONTABLE_H

#include "peer/PeerConnection.h"
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace pollenspool {

/// Owns the connections of a transport. Must be used on the loop thread only.
class ConnectionTable {
public:
  /// IDs up to this one are reserved for the loop's own descriptors.
  static constexpr ConnectionId LastReservedId = 15;

  explicit ConnectionTable(int Epoll) : m_Epoll(Epoll) {}

  /// Adds a connection and registers it with epoll. If the registration fails,
  /// the connection is marked closed.
  ConnectionId add(std::unique_ptr<PeerConnection> Connection);

  /// Returns null if the connection was removed.
  PeerConnection *find(ConnectionId Id);

  /// The next flush() includes the connection.
  void scheduleFlush(ConnectionId Id) { m_PendingFlushes.insert(Id); }

  /// Flushes the scheduled connections, updates their epoll interest and
  /// removes closed ones.
  void flush(TimePoint Now);

  void checkHealth(TimePoint Now);

  /// Closes and removes all connections.
  void clear();

  bool empty() const { return m_Entries.empty(); }
  bool hasUnsentBytes() const;

  template <typename Visitor> void forEach(Visitor Visit) {
    for (auto &[Id, Found] : m_Entries) {
      Visit(*Found.m_Connection);
      scheduleFlush(Id);
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
  std::unordered_set<ConnectionId> m_PendingFlushes;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_CONNECTIONTABLE_H
