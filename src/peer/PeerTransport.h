//===- PeerTransport.h - Calls between entry instances ----------*- C++ -*-===//
//
// Calls over HTTP/2 streams (cleartext, prior knowledge) on one outgoing
// connection per peer. One loop thread owns all sockets and sessions; handlers
// run on bounded worker pools. The error of a failed call tells whether the
// peer may have processed it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_PEERTRANSPORT_H
#define POLLENSPOOL_PEER_PEERTRANSPORT_H

#include "base/Error.h"
#include "base/Ids.h"
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace pollenspool {

class PeerLoop;

/// A call as it is passed to its handler.
struct PeerCall {
  EntryId m_From;
  std::string m_Path;
  std::string m_Body;
};

/// Handles a call on a worker thread. May block; must be thread safe. Code,
/// step and detail of its error are sent to the calling peer.
using PeerHandler = std::function<Result<std::string>(const PeerCall &)>;

/// The worker pool that runs a handler. Quick handlers have a pool of their
/// own, so that heartbeats and claims never queue behind forwarded requests.
enum class PeerLane : std::uint8_t { Blocking, Quick };

struct PeerRoute {
  std::string m_Path;
  PeerHandler m_Handler;
  PeerLane m_Lane = PeerLane::Blocking;
};

/// Intervals and timeouts of the transport's connections.
struct PeerTiming {
  /// Time without received bytes before a PING is sent, with calls in flight or
  /// unsent bytes.
  std::chrono::milliseconds m_BusyPingInterval{1000};
  /// Time without received bytes before a PING is sent on an idle connection.
  std::chrono::milliseconds m_IdlePingInterval{15000};
  /// The connection is closed if a PING is unanswered, or no byte can be
  /// written, for this time.
  std::chrono::milliseconds m_PingTimeout{3000};
  /// An outgoing connection without calls is closed after this time.
  std::chrono::milliseconds m_IdleTimeout{60000};
  /// Backoff after the first failed connect. It doubles with each further
  /// failure up to the largest backoff.
  std::chrono::milliseconds m_InitialBackoff{50};
  std::chrono::milliseconds m_MaxBackoff{1000};
};

struct PeerSettings {
  EntryId m_Self;
  /// Address to listen on, "ip:port". Port 0 selects a free port.
  std::string m_Listen;
  /// Worker threads of the blocking lane.
  std::size_t m_Workers = 8;
  /// Bounds the calls queued for a worker, per lane, and the calls that wait
  /// for a connection to open, per peer.
  std::size_t m_MaxPendingCalls = 1024;
  std::size_t m_MaxMessageBytes = std::size_t{4} << 20;
  std::chrono::milliseconds m_ConnectTimeout{500};
  std::size_t m_QuickWorkers = 2;
  PeerTiming m_Timing;
};

/// Messages and bytes of one path group (the first segment of the path). Bytes
/// are those of HTTP/2 HEADERS and DATA frames.
struct PathTraffic {
  std::string m_Group;
  std::uint64_t m_MessagesIn = 0;
  std::uint64_t m_MessagesOut = 0;
  std::uint64_t m_BytesIn = 0;
  std::uint64_t m_BytesOut = 0;
};

/// Counters since the start of the transport.
struct PeerTraffic {
  std::vector<PathTraffic> m_Paths;
  /// All bytes on sockets, including SETTINGS, PING and WINDOW_UPDATE frames.
  std::uint64_t m_WireBytesIn = 0;
  std::uint64_t m_WireBytesOut = 0;
  /// Answers that arrived after their call had timed out.
  std::uint64_t m_LateAnswers = 0;
  /// Answers that carry another call's number.
  std::uint64_t m_MismatchedAnswers = 0;
  /// Calls refused because m_MaxPendingCalls was reached or the transport was
  /// draining.
  std::uint64_t m_RefusedCalls = 0;
  std::uint64_t m_OversizedMessages = 0;
  std::uint64_t m_ConnectFailures = 0;
  std::uint64_t m_ProtocolErrors = 0;
  /// Connections closed because a PING was unanswered or a write stalled.
  std::uint64_t m_DeadPeers = 0;
};

/// Makes calls to peers and serves theirs. Thread safe.
class PeerTransport {
public:
  using Callback = std::function<void(Result<std::string>)>;

  /// Listens and starts the threads. Errors: InvalidSettings for a malformed
  /// address or a lane without workers, Unavailable if the address cannot be
  /// used, Internal for lack of system resources.
  static Result<std::unique_ptr<PeerTransport>>
  create(PeerSettings Settings, std::vector<PeerRoute> Routes);

  ~PeerTransport();

  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// Returns the address that the transport listens on, "ip:port".
  std::string listenAddress() const;

  /// Calls \p Peer and blocks until the answer, an error or the timeout. Must
  /// not be called from a Callback. ConnectFailed, Refused and ShuttingDown:
  /// the peer did not process the call. Timeout, ConnectionLost and Internal:
  /// the peer may have processed it. InvalidArgument: the call cannot be sent.
  /// InvalidMessage: the answer is too large. Any other code comes from the
  /// handler. A handler may return one of the codes above only if the code's
  /// meaning holds for the handler's own work.
  Result<std::string> call(const EntryId &Peer, std::string_view Path,
                           std::string Body, std::chrono::milliseconds Timeout);

  /// Like call(), without blocking. \p Done is called once, on the loop thread
  /// (on the calling thread after stop()), and must not block or call stop().
  void callAsync(const EntryId &Peer, std::string_view Path, std::string Body,
                 std::chrono::milliseconds Timeout, Callback Done);

  /// Stops accepting calls from peers and lets those in flight finish. Outgoing
  /// calls are still sent. Calls that arrive after the return are refused.
  void drain();

  /// Returns the number of accepted calls from peers without a complete answer.
  std::size_t inFlight() const;

  /// Refuses queued calls, closes all connections and waits for running
  /// handlers. Calls in flight to peers end with ShuttingDown, ConnectFailed or
  /// ConnectionLost.
  void stop();

  PeerTraffic traffic() const;

private:
  explicit PeerTransport(std::unique_ptr<PeerLoop> Loop);

  std::unique_ptr<PeerLoop> m_Loop;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_PEERTRANSPORT_H
