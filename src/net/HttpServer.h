//===- HttpServer.h - HTTP/1.1 server on the event loop ---------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_HTTPSERVER_H
#define POLLENSPOOL_NET_HTTPSERVER_H

#include "base/Error.h"
#include "net/EventLoop.h"
#include "net/HttpMessage.h"
#include <functional>
#include <memory>
#include <string>

namespace pollenspool {

/// Limits that apply to each connection of a server.
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

private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> P);
  std::shared_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPSERVER_H
