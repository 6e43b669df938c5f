//===- OutgoingCalls.h - Calls and the connections they use -----*- C++ -*-===//
//
// Keeps one connection per peer, connects on demand with backoff and jitter,
// and gives calls up at their deadlines.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_OUTGOINGCALLS_H
#define POLLENSPOOL_PEER_OUTGOINGCALLS_H

#include "peer/ClientConnection.h"
#include "peer/ConnectionTable.h"
#include <random>
#include <unordered_map>

namespace pollenspool {

/// Loop thread only.
class OutgoingCalls : public CallSink {
public:
  OutgoingCalls(ConnectionContext &Context, ConnectionTable &Connections);

  void start(CallPtr Call, TimePoint Now);

  /// Gives up the calls whose deadline has passed.
  void expire(TimePoint Now);

  /// The earliest deadline, if any.
  std::optional<TimePoint> nextDeadline() const;

  /// Ends waiting calls with ShuttingDown and takes no more.
  void stop();

  void finish(const CallPtr &Call, Result<std::string> Answer) override;
  void connected(ConnectionId Connection, const EntryId &Peer) override;
  void unusable(ConnectionId Connection, const EntryId &Peer,
                const std::string &Reason) override;

  /// Keeps the time that backoff is counted from.
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
  void giveUp(const CallPtr &Call);
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
