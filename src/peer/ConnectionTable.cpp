//===- ConnectionTable.cpp - The sockets of a transport -------------------===//

#include "peer/ConnectionTable.h"
#include <cerrno>
#include <sys/epoll.h>

namespace pollenspool {

ConnectionId ConnectionTable::add(std::unique_ptr<PeerConnection> Connection) {
  ConnectionId Id = ++m_LastId;
  Connection->setId(Id);
  Entry &Added = m_Entries[Id];
  Added.m_Connection = std::move(Connection);
  setInterest(Added, EPOLL_CTL_ADD);
  scheduleFlush(Id);
  return Id;
}

PeerConnection *ConnectionTable::find(ConnectionId Id) {
  auto It = m_Entries.find(Id);
  return It == m_Entries.end() ? nullptr : It->second.m_Connection.get();
}

void ConnectionTable::setInterest(Entry &Target, int Operation) {
  Target.m_WaitsForWrite = Target.m_Connection->waitsForWrite();
  epoll_event Interest{};
  Interest.events = EPOLLIN;
  if (Target.m_WaitsForWrite)
    Interest.events |= EPOLLOUT;
  Interest.data.u64 = Target.m_Connection->id();
  if (::epoll_ctl(m_Epoll, Operation, Target.m_Connection->socket(),
                  &Interest) != 0)
    Target.m_Connection->markClosed(systemMessage(errno));
}

void ConnectionTable::flush(TimePoint Now) {
  // Callbacks of a closed connection may start calls on other connections.
  while (!m_PendingFlushes.empty()) {
    std::unordered_set<ConnectionId> Batch;
    Batch.swap(m_PendingFlushes);
    for (ConnectionId Id : Batch)
      flushOne(Id, Now);
  }
}

void ConnectionTable::flushOne(ConnectionId Id, TimePoint Now) {
  auto It = m_Entries.find(Id);
  if (It == m_Entries.end())
    return;
  PeerConnection &Connection = *It->second.m_Connection;
  Connection.flush(Now);
  if (!Connection.isClosed() &&
      Connection.waitsForWrite() != It->second.m_WaitsForWrite)
    setInterest(It->second, EPOLL_CTL_MOD);
  if (!Connection.isClosed())
    return;
  std::unique_ptr<PeerConnection> Closed = std::move(It->second.m_Connection);
  m_Entries.erase(It);
  Closed->onConnectionClosed();
}

void ConnectionTable::checkHealth(TimePoint Now) {
  forEach([Now](PeerConnection &Connection) { Connection.checkHealth(Now); });
}

bool ConnectionTable::hasUnsentBytes() const {
  for (const auto &[Id, Found] : m_Entries)
    if (Found.m_Connection->isOpen() && Found.m_Connection->waitsForWrite())
      return true;
  return false;
}

void ConnectionTable::clear() {
  std::unordered_map<ConnectionId, Entry> Closed;
  Closed.swap(m_Entries);
  for (auto &[Id, Found] : Closed) {
    Found.m_Connection->markClosed("the transport is stopping");
    Found.m_Connection->onConnectionClosed();
  }
}

} // namespace pollenspool
