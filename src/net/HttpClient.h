//===- HttpClient.h - HTTP/1.1 client with a connection pool ----*- C++ -*-===//

#ifndef POLLENSPOOL_NET_HTTPCLIENT_H
#define POLLENSPOOL_NET_HTTPCLIENT_H

#include "base/Error.h"
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
};

/// An HTTP/1.1 client that reuses connections. It never retries a call. To be
/// used on the event loop's thread only.
class HttpClient {
public:
  using ReplyCallback = std::function<void(Result<HttpReply>)>;

  /// \p Loop must outlive the client. \p ConnectionsPerPeer limits the open
  /// connections to one address; further calls wait until one is available.
  static std::unique_ptr<HttpClient> create(EventLoop &Loop,
                                            std::size_t ConnectionsPerPeer);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Peer ("ip:port") and calls \p Callback exactly
  /// once, never before call() has returned. \p Timeout covers waiting for a
  /// connection, connecting, sending and receiving; a call that waits for a
  /// connection fails only when another call to \p Peer ends. Errors:
  /// InvalidArgument if \p Peer is not an address; ConnectFailed if nothing was
  /// sent; Timeout or ConnectionLost if the peer may have processed the
  /// request.
  void call(const std::string &Peer, HttpRequest Request, Duration Timeout,
            ReplyCallback Callback);
  /// Closes all idle connections to \p Peer.
  void closeIdleConnections(const std::string &Peer);

  const HttpClientCounters &counters() const;

private:
  struct Impl;
  explicit HttpClient(std::shared_ptr<Impl> P);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPCLIENT_H
