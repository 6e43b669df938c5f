//===- HttpServer.h - HTTP/1.1 server on the event loop ---------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_HTTPSERVER_H
#define POLLENSPOOL_NET_HTTPSERVER_H

#include "base/Error.h"
#include "net/ConnectionLedger.h"
#include "net/EventLoop.h"
#include "net/HttpMessage.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pollenspool {

/// Limits of a server: of each connection, and of all together.
struct HttpServerLimits {
  std::size_t m_MaxBodyBytes = 256 * 1024;
  std::size_t m_MaxHeaderBytes = 16 * 1024;
  /// Received bytes that a connection holds before they are parsed. The
  /// trailers of a request and the header of a chunk have to fit in. At least 1
  /// KB more than m_MaxHeaderBytes.
  std::size_t m_MaxBufferBytes = 32 * 1024;
  /// Time limit for receiving the next request on a connection, which includes
  /// the time without any request, and for sending a reply.
  Duration m_IdleTimeout = std::chrono::seconds(15);
  ConnectionLedgerLimits m_Connections{};
  /// The reply to a request that gives way to others. It has not been passed
  /// on.
  HttpReply m_Overload{503, {{"Retry-After", "1"}}, {}, {}};
  /// Names the server in log lines.
  std::string m_Name = "http";
};

/// Connections that a server has closed because of its limits.
struct HttpServerCounters {
  /// For a newer connection.
  std::uint64_t m_ForConnections = 0;
  /// For the memory of others.
  std::uint64_t m_ForMemory = 0;
  /// After a request that was too large or not one of HTTP.
  std::uint64_t m_BadRequests = 0;
};

/// A listening socket and its connections. The requests of one connection are
/// served one at a time. To be used on the event loop's thread only.
class HttpServer {
public:
  /// Sends the reply. Must be called at most once. If all copies are destroyed
  /// without a call, the connection is closed.
  using Respond = std::function<void(HttpReply)>;
  using Handler = std::function<void(HttpRequest, Respond)>;

  /// Listens on \p ListenAddress ("ip:port"; port 0 selects a free port). \p
  /// Loop must outlive the server. Errors: InvalidArgument if it is not an
  /// address; ConnectFailed if the address cannot be bound.
  static Result<std::unique_ptr<HttpServer>>
  create(EventLoop &Loop, const std::string &ListenAddress,
         HttpServerLimits Limits, Handler OnRequest);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Makes each later reply close its connection. New connections are still
  /// accepted, since the load balancer may still route callers here.
  void drain();
  /// The port that the socket is bound to.
  unsigned port() const;
  /// Number of requests that have been read and not yet answered.
  std::size_t inFlight() const;
  /// The name in the limits.
  const std::string &name() const;
  const HttpServerCounters &counters() const;
  /// Number of open connections, and the memory that counts for their limit.
  std::size_t connections() const;
  std::size_t chargedBytes() const;

private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> P);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPSERVER_H
