//===- HttpServer.h - HTTP/1.1 server with fault injection ------*- C++ -*-===//
//
// One event loop serves all connections. A handler may reply at any later time
// through the exchange that it received. To inject faults it can also truncate
// a reply or send it twice. Not thread safe.
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

/// A connection of an HttpServer. At most one request is processed at a time.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
  /// Sends a complete reply and continues with the next request of the
  /// connection.
  void reply(const HttpMessage &Reply);
  /// Sends the bytes of the reply twice.
  void replyTwice(const HttpMessage &Reply);
  /// Sends the headers and the first half of the body, then closes.
  void replyTruncated(const HttpMessage &Reply);
  /// Closes the connection without a reply.
  void drop();
  /// Aborts the connection with a TCP reset.
  void reset();
  /// Closes the connection after the current reply even though the reply has no
  /// "Connection: close" header.
  void closeAfterReply() { m_KeepAlive = false; }
  bool isOpen() const { return m_Stream->isOpen(); }
  bool isIdle() const { return !m_Answering; }
  /// Sets the callback for a peer that closes the connection before it has its
  /// reply. It is called at most once.
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

/// Accepts connections and passes each request to a handler.
class HttpServer {
public:
  using Handler =
      std::function<void(const HttpMessage &Request, const ExchangePtr &Peer)>;

  /// Binds \p Where and listens. A \p MaxConnections of 0 means no limit. At
  /// the limit the listening socket is closed, so that the kernel refuses
  /// further connections.
  static Expected<std::unique_ptr<HttpServer>>
  create(EventLoop &Loop, const Address &Where, Handler OnRequest,
         std::size_t MaxConnections = 0);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  const Address &address() const { return m_Listener->address(); }
  std::size_t connectionCount() const { return m_Exchanges.size(); }
  /// Stops or resumes listening. Open connections are not affected.
  void setListening(bool Listening);
  /// Closes all connections that have no request in progress.
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
