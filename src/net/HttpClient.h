//===- HttpClient.h - Calls over kept connections ---------------*- C++ -*-===//

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

/// What the client has done since its start.
struct HttpClientCounters {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Connections = 0;
  std::uint64_t m_Timeouts = 0;
  std::uint64_t m_Lost = 0;
};

/// HTTP/1.1 calls to any number of peers, each with a few kept connections. A
/// call is sent once and never repeated by the client itself. One thread: the
/// event loop's.
class HttpClient {
public:
  using Done = std::function<void(Result<HttpReply>)>;

  /// \p Loop must outlive the client. \p ConnectionsPerPeer bounds the open
  /// connections to one address; further calls wait for one.
  static std::unique_ptr<HttpClient> create(EventLoop &Loop,
                                            std::size_t ConnectionsPerPeer);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Peer ("ip:port") and calls \p Then once, never
  /// before call() returns. \p Timeout spans connecting, sending and receiving.
  /// Errors: ConnectFailed means that nothing was sent; Timeout and
  /// ConnectionLost mean that the peer may have acted on the request.
  void call(const std::string &Peer, HttpRequest Request, Duration Timeout,
            Done Then);
  /// Closes all idle connections to \p Peer.
  void forget(const std::string &Peer);

  const HttpClientCounters &counters() const;

private:
  struct Parts;
  explicit HttpClient(std::shared_ptr<Parts> P);
  std::shared_ptr<Parts> m_Parts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPCLIENT_H
