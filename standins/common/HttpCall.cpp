//===- HttpCall.cpp - One HTTP call on a connection of its own ------------===//

#include "common/HttpCall.h"

namespace standin {

namespace {

/// Lives until its result is delivered: the timer holds it.
class Call : public std::enable_shared_from_this<Call> {
public:
  Call(EventLoop &Loop, std::function<void(HttpResult)> OnResult)
      : m_Loop(Loop), m_OnResult(std::move(OnResult)) {}

  void start(const Address &Where, const HttpMessage &Request,
             Milliseconds Timeout) {
    Expected<std::shared_ptr<TcpStream>> Opened =
        TcpStream::connect(m_Loop, Where);
    if (!Opened) {
      m_Loop.after(Milliseconds(0), [Self = shared_from_this()] {
        Self->finish(HttpResult::Kind::NotSent);
      });
      return;
    }
    m_Stream = Opened.value();
    m_Timer = m_Loop.after(Timeout, [Self = shared_from_this()] {
      Self->finish(HttpResult::Kind::TimedOut);
    });
    setHandlers();
    m_Stream->send(writeRequest(Request, Where.text()));
  }

private:
  void setHandlers() {
    const std::weak_ptr<Call> Weak = weak_from_this();
    TcpStream::Handlers Handlers;
    Handlers.m_OnConnected = [this] { m_Connected = true; };
    Handlers.m_OnData = [Weak](std::string_view Bytes) {
      if (const std::shared_ptr<Call> Self = Weak.lock())
        Self->advance(Self->m_Parser.feed(Bytes));
    };
    Handlers.m_OnEnd = [Weak] {
      if (const std::shared_ptr<Call> Self = Weak.lock())
        Self->advance(Self->m_Parser.finish());
    };
    Handlers.m_OnError = [Weak](int) {
      if (const std::shared_ptr<Call> Self = Weak.lock())
        Self->finish(Self->m_Connected ? HttpResult::Kind::Lost
                                       : HttpResult::Kind::NotSent);
    };
    m_Stream->setHandlers(std::move(Handlers));
  }

  void advance(HttpParser::State Reached) {
    if (Reached == HttpParser::State::Complete)
      finish(HttpResult::Kind::Reply);
    else if (Reached == HttpParser::State::Broken)
      finish(HttpResult::Kind::Lost);
  }

  void finish(HttpResult::Kind Kind) {
    if (m_Finished)
      return;
    m_Finished = true;
    const std::shared_ptr<Call> Self = shared_from_this();
    if (m_Stream)
      m_Stream->close();
    m_Loop.cancel(m_Timer);
    HttpResult Result;
    Result.m_Kind = Kind;
    if (Kind == HttpResult::Kind::Reply)
      Result.m_Reply = m_Parser.take();
    m_OnResult(std::move(Result));
  }

  EventLoop &m_Loop;
  std::function<void(HttpResult)> m_OnResult;
  std::shared_ptr<TcpStream> m_Stream;
  HttpParser m_Parser{HttpParser::Kind::Reply};
  EventLoop::TimerId m_Timer = 0;
  bool m_Connected = false;
  bool m_Finished = false;
};

} // namespace

void callOnce(EventLoop &Loop, const Address &Where, HttpMessage Request,
              Milliseconds Timeout, std::function<void(HttpResult)> OnResult) {
  Request.addHeader("Connection", "close");
  std::make_shared<Call>(Loop, std::move(OnResult))
      ->start(Where, Request, Timeout);
}

} // namespace standin
