//===- OutgoingCalls.h - Outgoing calls and their connections ---*- C++ -*-===//
//
// Keeps one connection per peer, connects on demand with backoff and jitter,
// and ends calls at their deadlines.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_OUTGOINGCALLS_H
#define POLLENSPOOL_PEER_OUTGOINGCALLS_H

#include "peer/ClientConnection.h"
#include "peer/ConnectionTable.h"
#include <random>
#include <unordered_map>

namespace pollenspool {

/// Must be used on the loop thread only.
class OutgoingCalls : public CallObserver {
public:
  OutgoingCalls(ConnectionContext &Context, ConnectionTable &Connections);

  void start(CallPtr Call, TimePoint Now);

  /// Ends the calls whose deadline has passed.
  void expire(TimePoint Now);

  /// Returns the earliest deadline of all calls.
  std::optional<TimePoint> nextDeadline() const;

  /// Ends the calls that wait for a connection, and all later ones, with
  /// ShuttingDown.
  void stop();

  void finish(const CallPtr &Call, Result<std::string> Answer) override;
  void onConnected(ConnectionId Connection, const EntryId &Peer) override;
  void onUnusable(ConnectionId Connection, const EntryId &Peer,
                  const std::string &Reason) override;

  /// Sets the current time, which backoff is computed from.
  void setNow(TimePoint Now) { m_Now = Now; }

private:
  struct Peer {
    ConnectionId m_Connection = 0;
    bool m_Connected = false;
    std::uint32_t m_Failures = 0;
    TimePoint m_RetryAt;
    std::string m_LastFailure;
    /// Calls that wait for the connection to open, by number.
    std::map<std::uint64_t, CallPtr> m_Waiting;
  };

  void startWaiting(Peer &Target, const CallPtr &Call);
  void connect(Peer &Target, const EntryId &Id);
  void backOff(Peer &Target, const std::string &Reason);
  void timeOut(const CallPtr &Call);
  void failWaiting(Peer &Target, ErrorCode Code, const std::string &Detail);
  ClientConnection *connectionOf(const OutgoingCall &Call);

  ConnectionContext &m_Context;
  ConnectionTable &m_Connections;
  std::mt19937_64 m_Random;
  TimePoint m_Now;
  bool m_Stopped = false;
  std::unordered_map<EntryId, Peer> m_Peers;
  std::map<std::pair<TimePoint, std::uint64_t>, CallPtr> m_Deadlines;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_OUTGOINGCALLS_H
