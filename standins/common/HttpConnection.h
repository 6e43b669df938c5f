//===- HttpConnection.h - Client side of an HTTP connection -----*- C++ -*-===//

#ifndef STANDIN_COMMON_HTTPCONNECTION_H
#define STANDIN_COMMON_HTTPCONNECTION_H

#include "common/HttpMessage.h"
#include "common/TcpStream.h"

namespace standin {

/// The result of a call.
struct HttpResult {
  enum class Kind {
    Reply,
    /// The connection was not established, so nothing was sent.
    NotSent,
    /// The server may have received the request, but no complete reply was
    /// received.
    Lost,
    TimedOut,
  };
  Kind m_Kind = Kind::NotSent;
  HttpMessage m_Reply;
};

/// Sends one request at a time and keeps the connection open for the next one
/// if the reply allows it. The event loop keeps the object alive during a call.
/// Not thread safe.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  using OnResult = std::function<void(HttpResult Result)>;

  /// Starts to connect. A failure is reported as the result of the first call.
  static std::shared_ptr<HttpConnection> open(EventLoop &Loop,
                                              const Address &Where);
  /// Sends \p Request. Precondition: no call is in progress. \p Done is called
  /// exactly once, never before call() returns. The connection is closed after
  /// any result other than a reply.
  void call(const HttpMessage &Request, Milliseconds Timeout, OnResult Done);
  /// True if the connection is open and no call is in progress.
  bool isReusable() const;
  void close();

private:
  HttpConnection(EventLoop &Loop, Address Where)
      : m_Loop(Loop), m_Where(std::move(Where)) {}
  void start();
  void onBytes(std::string_view Bytes);
  void onEnd();
  void onFailed();
  void advance(HttpParser::State NewState);
  void finish(HttpResult::Kind Kind);

  EventLoop &m_Loop;
  Address m_Where;
  std::shared_ptr<TcpStream> m_Stream;
  HttpParser m_Parser{HttpParser::Kind::Reply};
  OnResult m_Done;
  EventLoop::TimerId m_Timer = 0;
  bool m_Connected = false;
};

/// Sends \p Request to \p Where over a new connection, which is closed
/// afterwards.
void callOnce(EventLoop &Loop, const Address &Where, HttpMessage Request,
              Milliseconds Timeout, HttpConnection::OnResult Done);

/// Makes a GET request for \p Target without headers.
HttpMessage getRequest(std::string Target);

} // namespace standin

#endif // STANDIN_COMMON_HTTPCONNECTION_H
