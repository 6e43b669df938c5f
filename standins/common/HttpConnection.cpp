//===- HttpConnection.cpp - Client side of an HTTP connection -------------===//

#include "common/HttpConnection.h"

namespace standin {

std::shared_ptr<HttpConnection> HttpConnection::open(EventLoop &Loop,
                                                     const Address &Where) {
  std::shared_ptr<HttpConnection> Opened(new HttpConnection(Loop, Where));
  Opened->start();
  return Opened;
}

void HttpConnection::start() {
  Expected<std::shared_ptr<TcpStream>> Opened =
      TcpStream::connect(m_Loop, m_Where);
  if (!Opened)
    return;
  m_Stream = Opened.value();
  const std::weak_ptr<HttpConnection> Weak = weak_from_this();
  TcpStream::Handlers Handlers;
  Handlers.m_OnConnected = [Weak] {
    if (const std::shared_ptr<HttpConnection> Self = Weak.lock())
      Self->m_Connected = true;
  };
  Handlers.m_OnData = [Weak](std::string_view Bytes) {
    if (const std::shared_ptr<HttpConnection> Self = Weak.lock())
      Self->onBytes(Bytes);
  };
  Handlers.m_OnEnd = [Weak] {
    if (const std::shared_ptr<HttpConnection> Self = Weak.lock())
      Self->onEnd();
  };
  Handlers.m_OnError = [Weak](int) {
    if (const std::shared_ptr<HttpConnection> Self = Weak.lock())
      Self->onFailed();
  };
  m_Stream->setHandlers(std::move(Handlers));
}

void HttpConnection::call(const HttpMessage &Request, Milliseconds Timeout,
                          OnResult Done) {
  m_Done = std::move(Done);
  const std::shared_ptr<HttpConnection> Self = shared_from_this();
  if (!m_Stream || !m_Stream->isOpen()) {
    m_Timer = m_Loop.after(Milliseconds::zero(),
                           [Self] { Self->finish(HttpResult::Kind::NotSent); });
    return;
  }
  m_Timer = m_Loop.after(Timeout,
                         [Self] { Self->finish(HttpResult::Kind::TimedOut); });
  m_Stream->send(writeRequest(Request, m_Where.text()));
}

bool HttpConnection::isReusable() const {
  return !m_Done && m_Stream && m_Stream->isOpen();
}

void HttpConnection::close() {
  if (m_Stream)
    m_Stream->close();
}

void HttpConnection::onBytes(std::string_view Bytes) {
  // Bytes outside a call cannot be matched to a request, so the connection
  // cannot be used further.
  if (!m_Done) {
    close();
    return;
  }
  advance(m_Parser.feed(Bytes));
}

void HttpConnection::onEnd() {
  if (!m_Done) {
    close();
    return;
  }
  advance(m_Parser.finish());
}

void HttpConnection::onFailed() {
  if (!m_Done)
    return;
  // A failed send() is reported during call(). The result is deferred because
  // Done must not run before call() returns.
  const HttpResult::Kind Kind =
      m_Connected ? HttpResult::Kind::Lost : HttpResult::Kind::NotSent;
  m_Loop.cancel(m_Timer);
  m_Timer = m_Loop.after(Milliseconds::zero(), [Self = shared_from_this(),
                                                Kind] { Self->finish(Kind); });
}

void HttpConnection::advance(HttpParser::State NewState) {
  if (NewState == HttpParser::State::Complete)
    finish(HttpResult::Kind::Reply);
  else if (NewState == HttpParser::State::Malformed)
    finish(HttpResult::Kind::Lost);
}

void HttpConnection::finish(HttpResult::Kind Kind) {
  const std::shared_ptr<HttpConnection> Self = shared_from_this();
  m_Loop.cancel(m_Timer);
  m_Timer = 0;
  HttpResult Result;
  // Without an established connection nothing was sent, even if the call timed
  // out.
  Result.m_Kind = m_Connected ? Kind : HttpResult::Kind::NotSent;
  if (Kind == HttpResult::Kind::Reply)
    Result.m_Reply = m_Parser.take();
  const bool KeepsOpen =
      Kind == HttpResult::Kind::Reply && Result.m_Reply.m_Framed &&
      Result.m_Reply.wantsKeepAlive() && !m_Parser.hasBytes();
  if (!KeepsOpen)
    close();
  const OnResult Done = std::move(m_Done);
  m_Done = nullptr;
  if (Done)
    Done(std::move(Result));
}

void callOnce(EventLoop &Loop, const Address &Where, HttpMessage Request,
              Milliseconds Timeout, HttpConnection::OnResult Done) {
  Request.addHeader("Connection", "close");
  const std::shared_ptr<HttpConnection> Connection =
      HttpConnection::open(Loop, Where);
  Connection->call(Request, Timeout,
                   [Connection, Done = std::move(Done)](HttpResult Result) {
                     Connection->close();
                     Done(std::move(Result));
                   });
}

HttpMessage getRequest(std::string Target) {
  HttpMessage Request;
  Request.m_Method = "GET";
  Request.m_Target = std::move(Target);
  return Request;
}

} // namespace standin
