//===- HttpServer.cpp - HTTP/1.1 server on the event loop -----------------===//

#include "net/HttpServer.h"
#include "base/Address.h"
#include "base/Log.h"
#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <sstream>
#include <unordered_map>

namespace pollenspool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Length of the queue of connections to accept; the system limits it further.
constexpr int ListenBacklog = 1024;
/// Delay after a failed accept. Without it, a lack of file descriptors would
/// cause a busy loop.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(20);

/// Memory of a request that is being served, in multiples of its size: it is
/// held as a job and as a call of the store.
constexpr std::size_t ServedRequestFactor = 2;
/// Limits of the bytes that are read at once.
constexpr std::size_t MinReadBytes = 2048;
constexpr std::size_t MaxReadBytes = 16 * 1024;
/// The largest buffer that an idle connection keeps.
constexpr std::size_t KeptBufferBytes = 4096;
/// Time between two log lines on connections that were closed.
constexpr Duration LimitLogInterval = std::chrono::seconds(10);

class Session;

/// State that a server shares with its sessions, which may outlive it.
struct ServerState {
  ServerState(EventLoop &Loop, HttpServerLimits Limits,
              HttpServer::Handler OnRequest)
      : m_Loop(Loop), m_Limits(std::move(Limits)),
        m_OnRequest(std::move(OnRequest)), m_Ledger(m_Limits.m_Connections) {}

  /// Closes the connections that have to give way.
  void enforceLimits();
  /// Logs that connections were closed, once in a while.
  void logClosed() {
    if (m_Loop.now() < m_NextLog)
      return;
    m_NextLog = m_Loop.now() + LimitLogInterval;
    logEvent(Event::ConnectionsClosed,
             {{"server", m_Limits.m_Name},
              {"open", std::to_string(m_Ledger.connections())},
              {"bytes", std::to_string(m_Ledger.chargedBytes())},
              {"for_connections", std::to_string(m_Counters.m_ForConnections)},
              {"for_memory", std::to_string(m_Counters.m_ForMemory)},
              {"bad_requests", std::to_string(m_Counters.m_BadRequests)}});
  }

  EventLoop &m_Loop;
  HttpServerLimits m_Limits;
  HttpServer::Handler m_OnRequest;
  ConnectionLedger m_Ledger;
  std::unordered_map<LedgerNumber, Session *> m_Sessions;
  HttpServerCounters m_Counters;
  TimePoint m_NextLog{};
  bool m_Draining = false;
  std::size_t m_InFlight = 0;
};

http::response<http::string_body> makeMessage(HttpReply Reply, bool KeepAlive) {
  http::response<http::string_body> Message;
  Message.version(11);
  Message.result(Reply.m_Status);
  for (const auto &[Key, Value] : Reply.m_Headers)
    Message.set(Key, Value);
  Message.body() = std::move(Reply.m_Body);
  Message.keep_alive(KeepAlive);
  Message.prepare_payload();
  return Message;
}

/// One connection; keeps itself alive through its pending operations.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(asio::ip::tcp::socket Socket, std::shared_ptr<ServerState> S)
      : m_Stream(std::move(Socket)), m_State(std::move(S)),
        m_Number(m_State->m_Ledger.open()),
        m_Buffer(m_State->m_Limits.m_MaxBufferBytes) {
    m_State->m_Sessions[m_Number] = this;
  }
  ~Session() {
    m_State->m_Sessions.erase(m_Number);
    m_State->m_Ledger.close(m_Number);
  }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void readNext() {
    if (m_IsClosed)
      return;
    m_Parser.emplace();
    m_Parser->eager(true);
    m_Parser->body_limit(m_State->m_Limits.m_MaxBodyBytes);
    m_Parser->header_limit(
        static_cast<std::uint32_t>(m_State->m_Limits.m_MaxHeaderBytes));
    m_HeaderBytes = 0;
    releaseBuffer();
    m_Stream.expires_after(m_State->m_Limits.m_IdleTimeout);
    begin(ConnectionPhase::Idle, heldBytes());
    parse();
  }

  /// Closes the connection. The reply to an unfinished request is sent if the
  /// socket takes it at once.
  void giveWay(const ConnectionEviction &Eviction) {
    if (Eviction.m_Phase == ConnectionPhase::Receiving) {
      std::ostringstream Text;
      Text << makeMessage(m_State->m_Limits.m_Overload, false);
      error_code Ignored;
      m_Stream.socket().non_blocking(true, Ignored);
      m_Stream.socket().write_some(asio::buffer(Text.str()), Ignored);
    }
    m_IsClosed = true;
    m_Stream.close();
  }

private:
  void releaseBuffer() {
    if (m_Buffer.size() == 0 && m_Buffer.capacity() > KeptBufferBytes)
      m_Buffer = beast::flat_buffer(m_State->m_Limits.m_MaxBufferBytes);
  }

  std::size_t heldBytes() const {
    std::size_t Body = 0;
    // Capacity that has not been written to takes no memory.
    if (m_Parser && m_Parser->is_header_done())
      Body = std::min(m_Parser->get().body().capacity(),
                      2 * m_Parser->get().body().size());
    return m_Buffer.capacity() + m_HeaderBytes + Body;
  }

  void begin(ConnectionPhase Phase, std::size_t Bytes) {
    m_Phase = Phase;
    m_State->m_Ledger.begin(m_Number, Phase, Bytes);
    m_State->enforceLimits();
  }

  /// Parses what has been received, and receives more until the request is
  /// complete.
  void parse() {
    error_code Failed;
    std::size_t Used = 1;
    while (Used > 0 && !Failed && m_Buffer.size() > 0 && !m_Parser->is_done()) {
      const bool WasInHeader = !m_Parser->is_header_done();
      Used = m_Parser->put(m_Buffer.data(), Failed);
      m_HeaderBytes += WasInHeader ? m_Buffer.size() : 0;
      m_Buffer.consume(Used);
      m_HeaderBytes -= WasInHeader ? m_Buffer.size() : 0;
    }
    if (Failed && Failed != http::error::need_more)
      return refuse(Failed);
    if (m_Parser->is_done())
      return serve();
    receive();
  }

  void receive() {
    if (m_Phase == ConnectionPhase::Idle &&
        (m_Parser->got_some() || m_Buffer.size() > 0))
      begin(ConnectionPhase::Receiving, heldBytes());
    m_State->m_Ledger.hold(m_Number, heldBytes());
    m_State->enforceLimits();
    if (m_IsClosed)
      return;
    const std::size_t Room = m_Buffer.max_size() - m_Buffer.size();
    if (Room == 0)
      return refuse(http::error::buffer_overflow);
    m_Stream.async_read_some(m_Buffer.prepare(std::min(Room, readSize())),
                             [Self = shared_from_this()](
                                 const error_code &Failed, std::size_t Bytes) {
                               if (Failed || Self->m_IsClosed)
                                 return;
                               Self->m_Buffer.commit(Bytes);
                               Self->parse();
                             });
  }

  std::size_t readSize() const {
    if (!m_Parser->is_header_done())
      return MinReadBytes;
    return static_cast<std::size_t>(std::clamp<std::uint64_t>(
        m_Parser->content_length_remaining().value_or(MinReadBytes),
        MinReadBytes, MaxReadBytes));
  }

  void serve() {
    releaseBuffer();
    const std::size_t Bytes =
        m_Buffer.capacity() +
        (heldBytes() - m_Buffer.capacity()) * ServedRequestFactor;
    // A complete request gives way after all unfinished ones, and only before
    // it is passed on.
    begin(ConnectionPhase::Receiving, Bytes);
    if (m_IsClosed)
      return;
    begin(ConnectionPhase::Serving, Bytes);
    m_Stream.expires_never();
    HttpRequest Request = takeRequest();
    ++m_State->m_InFlight;
    // The guard decrements the counter when the last copy of the reply callback
    // is destroyed, also if the handler never calls it.
    auto Guard = std::shared_ptr<void>(
        nullptr, [S = m_State](void *) { --S->m_InFlight; });
    m_State->m_OnRequest(std::move(Request),
                         [Self = shared_from_this(), Guard](HttpReply Reply) {
                           Self->write(std::move(Reply));
                         });
  }

  HttpRequest takeRequest() {
    auto Message = m_Parser->release();
    m_Parser.reset();
    HttpRequest Request;
    Request.m_Method = Message.method_string().to_string();
    Request.m_Target = Message.target().to_string();
    for (const auto &Header : Message)
      Request.m_Headers.emplace_back(std::string(Header.name_string()),
                                     std::string(Header.value()));
    Request.m_Body = std::move(Message.body());
    m_KeepAlive = Message.keep_alive();
    return Request;
  }

  void write(HttpReply Reply) {
    m_Parser.reset();
    m_Reply =
        makeMessage(std::move(Reply), m_KeepAlive && !m_State->m_Draining);
    begin(ConnectionPhase::Sending, heldBytes() + m_Reply.body().size());
    if (m_IsClosed)
      return;
    m_Stream.expires_after(m_State->m_Limits.m_IdleTimeout);
    http::async_write(
        m_Stream, m_Reply,
        [Self = shared_from_this()](const error_code &Failed, std::size_t) {
          if (!Failed && !Self->m_IsClosed)
            Self->onWritten();
        });
  }

  void onWritten() {
    const bool KeepAlive = m_Reply.keep_alive();
    m_Reply = {};
    m_HeaderBytes = 0;
    if (KeepAlive)
      return readNext();
    error_code Ignored;
    m_Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
  }

  /// Answers a request that cannot be read, and closes the connection.
  void refuse(const error_code &Failed) {
    m_KeepAlive = false;
    ++m_State->m_Counters.m_BadRequests;
    m_State->logClosed();
    if (Failed == http::error::body_limit)
      return write({413, {}, "the request body is too large\n"});
    if (Failed == http::error::header_limit)
      return write({431, {}, "the request header is too large\n"});
    if (Failed == http::error::buffer_overflow)
      return write({431, {}, "the trailers or a chunk header are too large\n"});
    write({400, {}, "not an HTTP request: " + Failed.message() + "\n"});
  }

  beast::tcp_stream m_Stream;
  std::shared_ptr<ServerState> m_State;
  const LedgerNumber m_Number;
  ConnectionPhase m_Phase = ConnectionPhase::Idle;
  beast::flat_buffer m_Buffer;
  std::optional<http::request_parser<http::string_body>> m_Parser;
  /// Bytes of the request line and the header that have been parsed.
  std::size_t m_HeaderBytes = 0;
  http::response<http::string_body> m_Reply;
  bool m_KeepAlive = true;
  bool m_IsClosed = false;
};

void ServerState::enforceLimits() {
  while (auto Eviction = m_Ledger.nextEviction()) {
    ++(Eviction->m_Limit == ConnectionLimit::Memory
           ? m_Counters.m_ForMemory
           : m_Counters.m_ForConnections);
    logClosed();
    m_Sessions.at(Eviction->m_Connection)->giveWay(*Eviction);
  }
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  EventLoop &m_Loop;
  asio::ip::tcp::acceptor m_Acceptor;
  std::shared_ptr<ServerState> m_State;

  Impl(EventLoop &Loop, std::shared_ptr<ServerState> S)
      : m_Loop(Loop), m_Acceptor(Loop.context()), m_State(std::move(S)) {}

  error_code listen(const Address &ListenAddress) {
    error_code Failed;
    asio::ip::tcp::endpoint BindAddress(
        asio::ip::make_address_v4(ListenAddress.m_Host, Failed),
        ListenAddress.m_Port);
    if (!Failed)
      m_Acceptor.open(BindAddress.protocol(), Failed);
    if (!Failed)
      m_Acceptor.set_option(asio::socket_base::reuse_address(true), Failed);
    if (!Failed)
      m_Acceptor.bind(BindAddress, Failed);
    if (!Failed)
      m_Acceptor.listen(ListenBacklog, Failed);
    return Failed;
  }

  void accept() {
    m_Acceptor.async_accept([Self = shared_from_this()](
                                const error_code &Failed,
                                asio::ip::tcp::socket Socket) {
      if (Failed == asio::error::operation_aborted)
        return;
      if (Failed) {
        Self->m_Loop.after(AcceptRetryDelay, [Self] { Self->accept(); });
        return;
      }
      error_code Ignored;
      Socket.set_option(asio::ip::tcp::no_delay(true), Ignored);
      std::make_shared<Session>(std::move(Socket), Self->m_State)->readNext();
      Self->accept();
    });
  }
};

HttpServer::HttpServer(std::shared_ptr<Impl> P) : m_Impl(std::move(P)) {}

HttpServer::~HttpServer() {
  error_code Ignored;
  m_Impl->m_Acceptor.close(Ignored);
}

Result<std::unique_ptr<HttpServer>>
HttpServer::create(EventLoop &Loop, const std::string &ListenAddress,
                   HttpServerLimits Limits, Handler OnRequest) {
  auto BindAddress = parseAddress(ListenAddress);
  if (!BindAddress)
    return makeError(ErrorCode::InvalidArgument, "listen", ListenAddress,
                     "not an IPv4 address and port");
  auto P = std::make_shared<Impl>(
      Loop, std::make_shared<ServerState>(Loop, std::move(Limits),
                                          std::move(OnRequest)));
  if (auto Failed = P->listen(*BindAddress))
    return makeError(ErrorCode::ConnectFailed, "listen", ListenAddress,
                     Failed.message());
  P->accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(P)));
}

void HttpServer::drain() { m_Impl->m_State->m_Draining = true; }

unsigned HttpServer::port() const {
  error_code Ignored;
  return m_Impl->m_Acceptor.local_endpoint(Ignored).port();
}

std::size_t HttpServer::inFlight() const { return m_Impl->m_State->m_InFlight; }

const std::string &HttpServer::name() const {
  return m_Impl->m_State->m_Limits.m_Name;
}

const HttpServerCounters &HttpServer::counters() const {
  return m_Impl->m_State->m_Counters;
}

std::size_t HttpServer::connections() const {
  return m_Impl->m_State->m_Ledger.connections();
}

std::size_t HttpServer::chargedBytes() const {
  return m_Impl->m_State->m_Ledger.chargedBytes();
}

} // namespace pollenspool
