//===- HttpConnection.h - A client's connection -----------------*- C++ -*-===//

#ifndef STANDIN_COMMON_HTTPCONNECTION_H
#define STANDIN_COMMON_HTTPCONNECTION_H

#include "common/HttpMessage.h"
#include "common/TcpStream.h"

namespace standin {

/// What came of a call.
struct HttpResult {
  enum class Kind {
    Reply,
    /// The connection was not made, so nothing was sent.
    NotSent,
    /// Bytes may have arrived, but no whole reply came.
    Lost,
    TimedOut,
  };
  Kind m_Kind = Kind::NotSent;
  HttpMessage m_Reply;
};

/// Sends one request at a time and keeps the connection for the next one if
/// it can. Held by the loop while a call is under way. Not thread safe.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
  using OnResult = std::function<void(HttpResult Result)>;

  /// Starts to connect; a failure is the result of the first call.
  static std::shared_ptr<HttpConnection> open(EventLoop &Loop,
                                              const Address &Where);
  /// Precondition: no call is under way. \p Done runs once, never before
  /// call() returns; after anything but a reply the connection is closed.
  void call(const HttpMessage &Request, Milliseconds Timeout, OnResult Done);
  /// True if another call may be made.
  bool isReusable() const;
  void close();

private:
  HttpConnection(EventLoop &Loop, Address Where)
      : m_Loop(Loop), m_Where(std::move(Where)) {}
  void start();
  void onBytes(std::string_view Bytes);
  void onEnd();
  void onFailed();
  void advance(HttpParser::State Reached);
  void finish(HttpResult::Kind Kind);

  EventLoop &m_Loop;
  Address m_Where;
  std::shared_ptr<TcpStream> m_Stream;
  HttpParser m_Parser{HttpParser::Kind::Reply};
  OnResult m_Done;
  EventLoop::TimerId m_Timer = 0;
  bool m_Connected = false;
};

/// Sends \p Request to \p Where over a connection of its own.
void callOnce(EventLoop &Loop, const Address &Where, HttpMessage Request,
              Milliseconds Timeout, HttpConnection::OnResult Done);

/// A GET without headers.
HttpMessage getRequest(std::string Target);

} // namespace standin

#endif // STANDIN_COMMON_HTTPCONNECTION_H
