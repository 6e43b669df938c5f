//===- ConnectionLedger.h - Limits of a server's connections ----*- C++ -*-===//

#ifndef POLLENSPOOL_NET_CONNECTIONLEDGER_H
#define POLLENSPOOL_NET_CONNECTIONLEDGER_H

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

namespace pollenspool {

/// Limits of the connections that a server has accepted, all together.
struct ConnectionLedgerLimits {
  /// At least 1.
  std::size_t m_MaxConnections = 1024;
  /// Memory of requests and replies, beyond m_FreeBytes of each connection.
  std::size_t m_MaxBytes = (std::size_t(160) << 20) / 3;
  /// Memory that each connection may hold at any time. It suffices for a
  /// request of 4 KB that is served, so that memory which others hold never
  /// affects one.
  std::size_t m_FreeBytes = 16 * 1024;
};

/// What a connection does. A request is passed on when Serving begins.
enum class ConnectionPhase : std::uint8_t { Idle, Receiving, Serving, Sending };

/// The limit that a connection gives way for.
enum class ConnectionLimit : std::uint8_t { Connections, Memory };

/// Number of a connection, unique within one ledger.
using LedgerNumber = std::uint64_t;

/// A connection that has to be closed.
struct ConnectionEviction {
  LedgerNumber m_Connection = 0;
  ConnectionPhase m_Phase = ConnectionPhase::Idle;
  ConnectionLimit m_Limit = ConnectionLimit::Connections;
};

/// Decides which connection gives way when a limit is exceeded: of those whose
/// request is not being served, the one that has been in its phase for longest;
/// for memory, of those that hold more than their free bytes. If all requests
/// are being served, it is the newest connection or the newest large request.
///
/// Knows connections by number only and does no I/O. After each member that
/// changes the state, nextEviction() has to be called until it returns nothing.
/// Not thread safe.
class ConnectionLedger {
public:
  explicit ConnectionLedger(const ConnectionLedgerLimits &Limits)
      : m_Limits(Limits) {}

  /// Adds a connection, which is idle and holds nothing.
  LedgerNumber open();
  /// Removes a connection. Has no effect if it is unknown.
  void close(LedgerNumber Connection);
  /// \p Connection begins \p Phase anew and holds \p Bytes. Has no effect if it
  /// is unknown.
  void begin(LedgerNumber Connection, ConnectionPhase Phase, std::size_t Bytes);
  /// \p Connection holds \p Bytes now. Has no effect if it is unknown.
  void hold(LedgerNumber Connection, std::size_t Bytes);
  /// Returns the next connection to close, and removes it.
  std::optional<ConnectionEviction> nextEviction();

  std::size_t connections() const { return m_Entries.size(); }
  /// Memory that counts for the limit.
  std::size_t chargedBytes() const { return m_ChargedBytes; }

private:
  using Order = std::list<LedgerNumber>;
  struct Entry {
    ConnectionPhase m_Phase = ConnectionPhase::Idle;
    std::size_t m_Charge = 0;
    /// Positions in m_Yielding and m_Holders.
    std::optional<Order::iterator> m_Yields;
    std::optional<Order::iterator> m_Holds;
  };

  void leaveOrders(Entry &E);
  void joinOrders(LedgerNumber Connection, Entry &E);
  void setCharge(Entry &E, std::size_t Bytes);

  ConnectionLedgerLimits m_Limits;
  std::unordered_map<LedgerNumber, Entry> m_Entries;
  /// Connections whose request is not being served, by the start of the phase.
  Order m_Yielding;
  /// Those of them that are charged, by the time since when they are.
  Order m_Holders;
  std::size_t m_ChargedBytes = 0;
  LedgerNumber m_LastNumber = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_CONNECTIONLEDGER_H
