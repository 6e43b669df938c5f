//===- PeerTransport.h - Calls between entry instances ----------*- C++ -*-===//
//
// Request and answer over HTTP/2 streams (cleartext, prior knowledge), one
// outgoing connection per peer. One loop thread owns every socket and session;
// handlers run on bounded worker pools. The errors of a call tell whether the
// peer can have processed it.
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

/// A call as its handler sees it.
struct PeerCall {
  EntryId m_From;
  std::string m_Path;
  std::string m_Body;
};

/// Runs on a worker thread and may block. Its error is sent back with code,
/// step and detail. Must be thread safe.
using PeerHandler = std::function<Result<std::string>(const PeerCall &)>;

/// Which workers run a handler. Quick handlers have workers of their own, so
/// that heartbeats and claims never wait behind forwarded requests.
enum class PeerLane : std::uint8_t { Blocking, Quick };

struct PeerRoute {
  std::string m_Path;
  PeerHandler m_Handler;
  PeerLane m_Lane = PeerLane::Blocking;
};

/// When the transport looks after its connections.
struct PeerTiming {
  /// Silence with calls in flight, or bytes unsent, before a PING.
  std::chrono::milliseconds m_PingBusy{1000};
  /// Silence on an idle connection before a PING.
  std::chrono::milliseconds m_PingIdle{15000};
  /// Wait for the answer to a PING, or for a slow reader, before closing.
  std::chrono::milliseconds m_PingTimeout{3000};
  /// An outgoing connection without calls is closed after this time.
  std::chrono::milliseconds m_IdleClose{60000};
  /// First wait after a failed connect; doubles up to the largest.
  std::chrono::milliseconds m_FirstBackoff{50};
  std::chrono::milliseconds m_LargestBackoff{1000};
};

struct PeerSettings {
  EntryId m_Self;
  /// "ip:port"; port 0 takes a free one.
  std::string m_Listen;
  /// Workers of the blocking lane.
  std::size_t m_Workers = 8;
  /// Calls that wait for a worker, per lane, and calls that wait for one
  /// connection to open.
  std::size_t m_MaxPendingCalls = 1024;
  std::size_t m_MaxMessageBytes = std::size_t{4} << 20;
  std::chrono::milliseconds m_ConnectTimeout{500};
  std::size_t m_QuickWorkers = 2;
  PeerTiming m_Timing;
};

/// Messages and bytes of one path group (the path's first segment). Bytes are
/// those of HTTP/2 frames.
struct PathTraffic {
  std::string m_Group;
  std::uint64_t m_MessagesIn = 0;
  std::uint64_t m_MessagesOut = 0;
  std::uint64_t m_BytesIn = 0;
  std::uint64_t m_BytesOut = 0;
};

/// Counters since the start.
struct PeerTraffic {
  std::vector<PathTraffic> m_Paths;
  /// All bytes on sockets, including settings, pings and window updates.
  std::uint64_t m_WireBytesIn = 0;
  std::uint64_t m_WireBytesOut = 0;
  /// Answers that came after their caller had given up.
  std::uint64_t m_LateAnswers = 0;
  /// Answers with another call's number.
  std::uint64_t m_MismatchedAnswers = 0;
  /// Calls refused because the pending calls were at their bound.
  std::uint64_t m_RefusedCalls = 0;
  std::uint64_t m_OversizedMessages = 0;
  std::uint64_t m_ConnectFailures = 0;
  std::uint64_t m_ProtocolErrors = 0;
  /// Connections closed because a PING or a write got no reaction.
  std::uint64_t m_DeadPeers = 0;
};

/// Thread safe.
class PeerTransport {
public:
  using Callback = std::function<void(Result<std::string>)>;

  /// Listens and starts the threads. Errors: InvalidSettings for an address,
  /// Unavailable if it cannot be used, Internal for lack of system resources.
  static Result<std::unique_ptr<PeerTransport>>
  create(PeerSettings Settings, std::vector<PeerRoute> Routes);

  /// Stops.
  ~PeerTransport();

  PeerTransport(const PeerTransport &) = delete;
  PeerTransport &operator=(const PeerTransport &) = delete;

  /// The address that is listened on, "ip:port".
  std::string listenAddress() const;

  /// Calls \p Peer and blocks until the answer, an error or the time-out. Not
  /// to be called from a Callback. ConnectFailed, Refused and ShuttingDown: the
  /// peer did not process the call. Timeout, ConnectionLost and Internal: it
  /// may have. InvalidArgument: the call cannot be sent. InvalidMessage: the
  /// answer is too large. Any other code is the handler's own; a handler that
  /// hands on one of these codes claims their meaning for its own work.
  Result<std::string> call(const EntryId &Peer, std::string_view Path,
                           std::string Body, std::chrono::milliseconds Timeout);

  /// As call(), without blocking. \p Done runs once, on the loop thread (on
  /// the calling thread after stop()), and must not block or call stop().
  void callAsync(const EntryId &Peer, std::string_view Path, std::string Body,
                 std::chrono::milliseconds Timeout, Callback Done);

  /// Takes no new calls from peers and finishes those in flight; its own
  /// calls still go out. On return every later call is refused.
  void drain();

  /// Calls of peers that were taken and are not yet answered.
  std::size_t inFlight() const;

  /// Refuses queued calls, waits for running handlers, closes everything. Calls
  /// in flight to peers end with ShuttingDown or ConnectionLost.
  void stop();

  PeerTraffic traffic() const;

private:
  explicit PeerTransport(std::unique_ptr<PeerLoop> Loop);

  std::unique_ptr<PeerLoop> m_Loop;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_PEERTRANSPORT_H
