//===- ConnectionSlots.cpp - Limits of a client's connections -------------===//

#include "net/ConnectionSlots.h"
#include <algorithm>

namespace pollenspool {

void ConnectionSlots::addCall(CallNumber Call, const std::string &Peer) {
  auto [It, IsNew] = m_Peers.try_emplace(Peer);
  PeerState &P = It->second;
  if (IsNew)
    P.m_Name = Peer;
  if (P.m_Queued.insert(Call).second)
    ++m_Queued;
  refresh(P);
}

bool ConnectionSlots::removeCall(CallNumber Call, const std::string &Peer) {
  auto It = m_Peers.find(Peer);
  if (It == m_Peers.end() || It->second.m_Queued.erase(Call) == 0)
    return false;
  --m_Queued;
  refresh(It->second);
  return true;
}

void ConnectionSlots::release(ConnectionNumber Number) {
  auto It = m_Connections.find(Number);
  if (It == m_Connections.end() || It->second.m_IsIdle)
    return;
  Connection &C = It->second;
  C.m_IsIdle = true;
  m_IdleByAge.splice(m_IdleByAge.end(), m_InUse, C.m_Position);
  C.m_Peer->m_Idle.push_back(Number);
  refresh(*C.m_Peer);
}

void ConnectionSlots::close(ConnectionNumber Number) {
  auto It = m_Connections.find(Number);
  if (It == m_Connections.end())
    return;
  if (It->second.m_IsIdle)
    removeIdle(Number, It->second);
  PeerState &P = *It->second.m_Peer;
  m_InUse.erase(It->second.m_Position);
  m_Connections.erase(It);
  --P.m_Open;
  refresh(P);
}

std::optional<ConnectionAction> ConnectionSlots::next() {
  if (m_Startable.empty())
    return std::nullopt;
  const auto [Call, Peer] = *m_Startable.begin();
  PeerState &P = *Peer;
  ConnectionAction Action;
  Action.m_Call = Call;
  if (!P.m_Idle.empty()) {
    Action.m_Kind = ConnectionAction::Kind::Reuse;
    Action.m_Connection = P.m_Idle.back();
    removeIdle(Action.m_Connection,
               m_Connections.find(Action.m_Connection)->second);
  } else if (m_Connections.size() < m_Limits.m_Total) {
    Action.m_Kind = ConnectionAction::Kind::Open;
    Action.m_Connection = openConnection(P);
  } else if (!m_IdleByAge.empty()) {
    Action = {ConnectionAction::Kind::Close, m_IdleByAge.front(), 0};
    close(Action.m_Connection);
    return Action;
  } else {
    return std::nullopt;
  }
  P.m_Queued.erase(Call);
  --m_Queued;
  refresh(P);
  return Action;
}

ConnectionNumber ConnectionSlots::openConnection(PeerState &P) {
  ConnectionNumber Number = ++m_LastConnection;
  m_Connections[Number] = {&P, false, m_InUse.insert(m_InUse.end(), Number)};
  ++P.m_Open;
  return Number;
}

std::vector<ConnectionNumber>
ConnectionSlots::idleTo(const std::string &Peer) const {
  auto It = m_Peers.find(Peer);
  return It == m_Peers.end() ? std::vector<ConnectionNumber>()
                             : It->second.m_Idle;
}

std::size_t ConnectionSlots::openTo(const std::string &Peer) const {
  auto It = m_Peers.find(Peer);
  return It == m_Peers.end() ? 0 : It->second.m_Open;
}

std::optional<ConnectionNumber> ConnectionSlots::longestIdle() const {
  if (m_IdleByAge.empty())
    return std::nullopt;
  return m_IdleByAge.front();
}

bool ConnectionSlots::isTotalLimitBinding() const {
  return !m_Startable.empty() && m_IdleByAge.empty() &&
         m_Connections.size() >= m_Limits.m_Total;
}

void ConnectionSlots::refresh(PeerState &P) {
  bool MayStart = !P.m_Queued.empty() &&
                  (!P.m_Idle.empty() || P.m_Open < m_Limits.m_PerPeer);
  CallNumber First = MayStart ? *P.m_Queued.begin() : 0;
  if (First != P.m_StartableCall) {
    m_Startable.erase(P.m_StartableCall);
    if (MayStart)
      m_Startable[First] = &P;
    P.m_StartableCall = First;
  }
  if (P.m_Queued.empty() && P.m_Open == 0)
    m_Peers.erase(m_Peers.find(P.m_Name));
}

void ConnectionSlots::removeIdle(ConnectionNumber Number, Connection &C) {
  m_InUse.splice(m_InUse.end(), m_IdleByAge, C.m_Position);
  C.m_IsIdle = false;
  auto &Idle = C.m_Peer->m_Idle;
  Idle.erase(std::find(Idle.begin(), Idle.end(), Number));
}

} // namespace pollenspool
