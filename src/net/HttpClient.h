//===- HttpClient.h - HTTP/1.1 client with a connection pool ----*- C++ -*-===//

#ifndef POLLENSPOOL_NET_HTTPCLIENT_H
#define POLLENSPOOL_NET_HTTPCLIENT_H

#include "base/Error.h"
#include "net/ConnectionSlots.h"
#include "net/EventLoop.h"
#include "net/HttpMessage.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pollenspool {

/// Counters since the creation of a client.
struct HttpClientCounters {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Connections = 0;
  std::uint64_t m_Timeouts = 0;
  /// Calls that failed other than by a timeout.
  std::uint64_t m_Lost = 0;
  /// Calls that failed because this process had no connection for them.
  std::uint64_t m_NoConnection = 0;
  /// Idle connections that were closed to make place for others.
  std::uint64_t m_Evicted = 0;
  /// Idle connections that were closed since a call to their peer timed out.
  std::uint64_t m_Unproven = 0;
  /// Connections that were closed since they had been idle for too long.
  std::uint64_t m_Expired = 0;
  /// Connections that a peer refused, or ended before its first reply.
  std::uint64_t m_Refused = 0;

  HttpClientCounters &operator+=(const HttpClientCounters &Other);
};

/// What the timeout of a call limits.
enum class CallLimit : std::uint8_t {
  /// The timeout covers the whole call. For calls whose result is of no use
  /// later, such as those that answer a caller.
  Timeout,
  /// The timeout covers the time until the reply begins; then the call goes on
  /// while the reply advances. For replies of any size. \see CallDeadline.
  Progress,
};

/// An HTTP/1.1 client that reuses connections. It never retries a call. To be
/// used on the event loop's thread only.
class HttpClient {
public:
  using ReplyCallback = std::function<void(Result<HttpReply>)>;

  /// \p Loop must outlive the client. Calls wait while \p Limits are reached.
  /// \p Name tells the clients of one process apart in logs.
  static std::unique_ptr<HttpClient> create(EventLoop &Loop, std::string Name,
                                            const ConnectionLimits &Limits);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Peer ("ip:port") and calls \p Callback exactly
  /// once, never before call() has returned. \p Timeout covers waiting for a
  /// connection, connecting, sending and receiving, the last as far as \p Limit
  /// says. Errors: InvalidArgument if \p Peer is not an address;
  /// ResourceExhausted if this process had no connection, descriptor, port or
  /// memory for the call, so that nothing was sent; ConnectFailed if \p Peer
  /// did not accept a connection, so that nothing was sent; Timeout,
  /// ConnectionLost or InvalidMessage if the peer may have processed the
  /// request, the last if its reply was malformed or too long.
  void call(const std::string &Peer, HttpRequest Request, Duration Timeout,
            ReplyCallback Callback, CallLimit Limit = CallLimit::Timeout);

  const HttpClientCounters &counters() const;
  /// Number of open connections, idle ones included.
  std::size_t openConnections() const;
  /// Number of calls that wait for a connection.
  std::size_t queuedCalls() const;

private:
  struct Impl;
  explicit HttpClient(std::shared_ptr<Impl> P);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPCLIENT_H
