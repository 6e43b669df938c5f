//===- ConnectionLedger.cpp - Limits of a server's connections ------------===//

#include "net/ConnectionLedger.h"
#include <algorithm>

namespace pollenspool {

LedgerNumber ConnectionLedger::open() {
  LedgerNumber Number = ++m_LastNumber;
  joinOrders(Number, m_Entries[Number]);
  return Number;
}

void ConnectionLedger::close(LedgerNumber Connection) {
  auto At = m_Entries.find(Connection);
  if (At == m_Entries.end())
    return;
  leaveOrders(At->second);
  setCharge(At->second, 0);
  m_Entries.erase(At);
}

void ConnectionLedger::begin(LedgerNumber Connection, ConnectionPhase Phase,
                             std::size_t Bytes) {
  auto At = m_Entries.find(Connection);
  if (At == m_Entries.end())
    return;
  Entry &E = At->second;
  leaveOrders(E);
  E.m_Phase = Phase;
  setCharge(E, Bytes);
  joinOrders(Connection, E);
}

void ConnectionLedger::hold(LedgerNumber Connection, std::size_t Bytes) {
  auto At = m_Entries.find(Connection);
  if (At == m_Entries.end())
    return;
  Entry &E = At->second;
  setCharge(E, Bytes);
  if (E.m_Charge == 0 && E.m_Holds) {
    m_Holders.erase(*E.m_Holds);
    E.m_Holds.reset();
  } else if (E.m_Charge > 0 && E.m_Yields && !E.m_Holds) {
    E.m_Holds = m_Holders.insert(m_Holders.end(), Connection);
  }
}

std::optional<ConnectionEviction> ConnectionLedger::nextEviction() {
  ConnectionEviction Out;
  if (m_Entries.size() > m_Limits.m_MaxConnections && !m_Yielding.empty()) {
    Out.m_Connection = m_Yielding.front();
    Out.m_Limit = ConnectionLimit::Connections;
  } else if (m_ChargedBytes > m_Limits.m_MaxBytes && !m_Holders.empty()) {
    Out.m_Connection = m_Holders.front();
    Out.m_Limit = ConnectionLimit::Memory;
  } else {
    return std::nullopt;
  }
  Out.m_Phase = m_Entries.at(Out.m_Connection).m_Phase;
  close(Out.m_Connection);
  return Out;
}

void ConnectionLedger::leaveOrders(Entry &E) {
  if (E.m_Yields)
    m_Yielding.erase(*E.m_Yields);
  if (E.m_Holds)
    m_Holders.erase(*E.m_Holds);
  E.m_Yields.reset();
  E.m_Holds.reset();
}

void ConnectionLedger::joinOrders(LedgerNumber Connection, Entry &E) {
  if (E.m_Phase == ConnectionPhase::Serving)
    return;
  E.m_Yields = m_Yielding.insert(m_Yielding.end(), Connection);
  if (E.m_Charge > 0)
    E.m_Holds = m_Holders.insert(m_Holders.end(), Connection);
}

void ConnectionLedger::setCharge(Entry &E, std::size_t Bytes) {
  m_ChargedBytes -= E.m_Charge;
  E.m_Charge = Bytes - std::min(Bytes, m_Limits.m_FreeBytes);
  m_ChargedBytes += E.m_Charge;
}

} // namespace pollenspool
