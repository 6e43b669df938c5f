//===- HttpServer.cpp - HTTP/1.1 server with fault injection --------------===//

#include "common/HttpServer.h"

namespace standin {

HttpExchange::HttpExchange(HttpServer &Server,
                           std::shared_ptr<TcpStream> Stream)
    : m_Server(&Server), m_Stream(std::move(Stream)) {}

void HttpExchange::start() {
  TcpStream::Handlers Handlers;
  const std::weak_ptr<HttpExchange> Weak = weak_from_this();
  Handlers.m_OnData = [Weak](std::string_view Bytes) {
    if (const ExchangePtr Self = Weak.lock())
      Self->onBytes(Bytes);
  };
  Handlers.m_OnEnd = [Weak] {
    if (const ExchangePtr Self = Weak.lock())
      Self->onPeerGone();
  };
  Handlers.m_OnError = [Weak](int) {
    if (const ExchangePtr Self = Weak.lock())
      Self->onPeerGone();
  };
  m_Stream->setHandlers(std::move(Handlers));
}

void HttpExchange::onBytes(std::string_view Bytes) {
  const ExchangePtr Self = shared_from_this();
  HttpParser::State NewState = HttpParser::State::NeedsMore;
  if (m_Answering) {
    // The next request stays buffered in the parser until the reply to this
    // one has been sent.
    m_Stream->setPaused(true);
  }
  NewState = m_Parser.feed(Bytes);
  if (m_Answering)
    return;
  if (NewState == HttpParser::State::Malformed) {
    drop();
    return;
  }
  if (NewState == HttpParser::State::NeedsMore || m_Server == nullptr)
    return;
  m_Answering = true;
  const HttpMessage Request = m_Parser.take();
  m_KeepAlive = Request.wantsKeepAlive();
  m_Server->m_OnRequest(Request, Self);
}

void HttpExchange::onPeerGone() {
  const ExchangePtr Self = shared_from_this();
  const bool WasAnswering = m_Answering;
  m_Stream->close();
  leaveServer();
  const std::function<void()> OnGone = std::move(m_OnGone);
  m_OnGone = nullptr;
  if (WasAnswering && OnGone)
    OnGone();
}

void HttpExchange::reply(const HttpMessage &Reply) {
  m_Stream->send(writeReply(Reply));
  finishReply();
}

void HttpExchange::replyTwice(const HttpMessage &Reply) {
  const std::string Bytes = writeReply(Reply);
  m_Stream->send(Bytes + Bytes);
  finishReply();
}

void HttpExchange::replyTruncated(const HttpMessage &Reply) {
  const std::string Bytes = writeReply(Reply);
  const std::size_t OmittedBytes =
      Reply.m_Body.size() - Reply.m_Body.size() / 2;
  m_Stream->send(
      std::string_view(Bytes).substr(0, Bytes.size() - OmittedBytes));
  m_KeepAlive = false;
  finishReply();
}

void HttpExchange::finishReply() {
  const ExchangePtr Self = shared_from_this();
  m_OnGone = nullptr;
  if (!isOpen())
    return;
  m_Answering = false;
  if (!m_KeepAlive) {
    m_Stream->closeAfterSending();
    leaveServer();
    return;
  }
  m_Stream->setPaused(false);
  if (m_Parser.hasBytes())
    onBytes({});
}

void HttpExchange::drop() {
  const ExchangePtr Self = shared_from_this();
  m_OnGone = nullptr;
  m_Stream->close();
  leaveServer();
}

void HttpExchange::reset() {
  const ExchangePtr Self = shared_from_this();
  m_OnGone = nullptr;
  m_Stream->reset();
  leaveServer();
}

void HttpExchange::leaveServer() {
  HttpServer *const Server = m_Server;
  m_Server = nullptr;
  if (Server != nullptr)
    Server->remove(this);
}

HttpServer::HttpServer(EventLoop &Loop, Handler OnRequest,
                       std::size_t MaxConnections)
    : m_Loop(Loop), m_OnRequest(std::move(OnRequest)),
      m_MaxConnections(MaxConnections) {}

Expected<std::unique_ptr<HttpServer>>
HttpServer::create(EventLoop &Loop, const Address &Where, Handler OnRequest,
                   std::size_t MaxConnections) {
  std::unique_ptr<HttpServer> Server(
      new HttpServer(Loop, std::move(OnRequest), MaxConnections));
  HttpServer *const ServerPtr = Server.get();
  BOOST_OUTCOME_TRY(Opened,
                    Listener::create(Loop, Where, [ServerPtr](int Socket) {
                      ServerPtr->addConnection(Socket);
                    }));
  Server->m_Listener = std::move(Opened);
  return Server;
}

HttpServer::~HttpServer() {
  for (const auto &Entry : m_Exchanges)
    Entry.second->m_Server = nullptr;
}

void HttpServer::setListening(bool Listening) {
  m_Listening = Listening;
  updateListener();
}

void HttpServer::updateListener() {
  m_Listener->setOpen(m_Listening && !isFull());
}

bool HttpServer::isFull() const {
  return m_MaxConnections != 0 && m_Exchanges.size() >= m_MaxConnections;
}

void HttpServer::addConnection(int Socket) {
  ExchangePtr Exchange(
      new HttpExchange(*this, TcpStream::adopt(m_Loop, Socket)));
  Exchange->start();
  m_Exchanges.emplace(Exchange.get(), Exchange);
  updateListener();
}

void HttpServer::remove(HttpExchange *Exchange) {
  m_Exchanges.erase(Exchange);
  updateListener();
}

void HttpServer::closeIdle() {
  std::vector<ExchangePtr> Idle;
  for (const auto &Entry : m_Exchanges)
    if (Entry.second->isIdle())
      Idle.push_back(Entry.second);
  for (const ExchangePtr &Exchange : Idle)
    Exchange->drop();
}

void HttpServer::resetAll() {
  std::vector<ExchangePtr> All;
  for (const auto &Entry : m_Exchanges)
    All.push_back(Entry.second);
  for (const ExchangePtr &Exchange : All)
    Exchange->reset();
}

} // namespace standin
