//===- HttpServer.h - An HTTP/1.1 server that can misbehave -----*- C++ -*-===//
//
// One event loop serves all connections. A handler answers when it likes,
// through the exchange that it was given; it may also cut or double an answer.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_COMMON_HTTPSERVER_H
#define STANDIN_COMMON_HTTPSERVER_H

#include "common/HttpMessage.h"
#include "common/Listener.h"
#include "common/TcpStream.h"
#include <unordered_map>

namespace standin {

class HttpServer;

/// One connection of an HttpServer, with at most one request being answered.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  /// Sends a whole answer and goes on with the connection's next request.
  void reply(const HttpMessage &Reply);
  /// Sends the answer's bytes twice.
  void replyTwice(const HttpMessage &Reply);
  /// Sends the first half of the answer's body, then closes.
  void replyTruncated(const HttpMessage &Reply);
  /// Closes without an answer.
  void drop();
  /// Closes with a reset.
  void reset();
  /// Closes after the current answer although the reply does not say so.
  void closeAfterReply() { m_KeepAlive = false; }
  bool isOpen() const { return m_Stream->isOpen(); }
  bool isIdle() const { return !m_Answering; }
  /// Called when the peer closes before it has its answer; at most once.
  void setOnGone(std::function<void()> OnGone) { m_OnGone = std::move(OnGone); }

private:
  friend class HttpServer;
  HttpExchange(HttpServer &Server, std::shared_ptr<TcpStream> Stream);
  void start();
  void onBytes(std::string_view Bytes);
  void onPeerGone();
  void finishReply();
  void leaveServer();

  HttpServer *m_Server;
  std::shared_ptr<TcpStream> m_Stream;
  HttpParser m_Parser{HttpParser::Kind::Request};
  bool m_Answering = false;
  bool m_KeepAlive = true;
  std::function<void()> m_OnGone;
};

using ExchangePtr = std::shared_ptr<HttpExchange>;

class HttpServer {
public:
  using Handler =
      std::function<void(const HttpMessage &Request, const ExchangePtr &Peer)>;

  /// Binds \p Where and listens. \p MaxConnections 0 means no limit; at the
  /// limit the listening socket is closed, so that connecting is refused.
  static Expected<std::unique_ptr<HttpServer>>
  create(EventLoop &Loop, const Address &Where, Handler OnRequest,
         std::size_t MaxConnections = 0);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  const Address &address() const { return m_Listener->address(); }
  std::size_t connectionCount() const { return m_Exchanges.size(); }
  /// Stops or resumes listening; connections that are open go on.
  void setListening(bool Listening);
  /// Closes the connections that wait for a request.
  void closeIdle();
  /// Resets every connection.
  void resetAll();

private:
  friend class HttpExchange;
  HttpServer(EventLoop &Loop, Handler OnRequest, std::size_t MaxConnections);
  void updateListener();
  void addConnection(int Socket);
  void remove(HttpExchange *Exchange);
  bool isFull() const;

  EventLoop &m_Loop;
  Handler m_OnRequest;
  std::size_t m_MaxConnections;
  std::unique_ptr<Listener> m_Listener;
  bool m_Listening = true;
  std::unordered_map<HttpExchange *, ExchangePtr> m_Exchanges;
};

} // namespace standin

#endif // STANDIN_COMMON_HTTPSERVER_H
