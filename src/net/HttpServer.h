//===- HttpServer.h - Serves HTTP/1.1 on the event loop ---------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_HTTPSERVER_H
#define POLLENSPOOL_NET_HTTPSERVER_H

#include "base/Error.h"
#include "net/EventLoop.h"
#include "net/HttpMessage.h"
#include <functional>
#include <memory>
#include <string>

namespace pollenspool {

/// What one listening socket bears.
struct HttpServerLimits {
  std::size_t m_BodyBytes = 256 * 1024;
  std::size_t m_HeaderBytes = 16 * 1024;
  /// How long a connection may stay without a request, and how long one
  /// request may take to arrive.
  Duration m_Idle = std::chrono::seconds(15);
};

/// A listening socket and its connections. Requests of one connection are
/// answered one after the other. One thread: the event loop's.
class HttpServer {
public:
  /// Sends the reply. Must be called at most once; a request that is dropped
  /// without a call ends its connection.
  using Respond = std::function<void(HttpReply)>;
  using Handler = std::function<void(HttpRequest, Respond)>;

  /// Listens on \p At ("ip:port"; port 0 takes a free one). \p Loop must
  /// outlive the server. Errors: InvalidArgument, ConnectFailed (the address
  /// cannot be bound).
  static Result<std::unique_ptr<HttpServer>> create(EventLoop &Loop,
                                                    const std::string &At,
                                                    HttpServerLimits Limits,
                                                    Handler Serve);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// From now on each reply closes its connection. Connections go on being
  /// accepted, since callers may still be routed here.
  void drain();
  /// The bound port.
  unsigned port() const;
  /// Requests that have been read and not answered.
  std::size_t inFlight() const;

private:
  struct Parts;
  explicit HttpServer(std::shared_ptr<Parts> P);
  std::shared_ptr<Parts> m_Parts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_NET_HTTPSERVER_H
