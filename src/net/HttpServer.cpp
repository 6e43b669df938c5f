//===- HttpServer.cpp - HTTP/1.1 server on the event loop -----------------===//

#include "net/HttpServer.h"
#include "base/Address.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>

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

/// State that a server shares with its sessions, which may outlive it.
struct ServerState {
  HttpServerLimits m_Limits;
  HttpServer::Handler m_OnRequest;
  bool m_Draining = false;
  std::size_t m_InFlight = 0;
};

/// One connection; keeps itself alive through its pending operations.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(asio::ip::tcp::socket Socket, std::shared_ptr<ServerState> S)
      : m_Stream(std::move(Socket)), m_State(std::move(S)),
        m_Buffer(m_State->m_Limits.m_MaxBufferBytes) {}

  void readNext() {
    m_Parser.emplace();
    m_Parser->body_limit(m_State->m_Limits.m_MaxBodyBytes);
    m_Parser->header_limit(
        static_cast<std::uint32_t>(m_State->m_Limits.m_MaxHeaderBytes));
    m_Stream.expires_after(m_State->m_Limits.m_IdleTimeout);
    http::async_read(
        m_Stream, m_Buffer, *m_Parser,
        [Self = shared_from_this()](const error_code &Failed, std::size_t) {
          if (Failed)
            return Self->onReadFailed(Failed);
          Self->serve();
        });
  }

private:
  void serve() {
    auto Message = m_Parser->release();
    HttpRequest Request;
    Request.m_Method = Message.method_string().to_string();
    Request.m_Target = Message.target().to_string();
    for (const auto &Header : Message)
      Request.m_Headers.emplace_back(std::string(Header.name_string()),
                                     std::string(Header.value()));
    Request.m_Body = std::move(Message.body());
    m_KeepAlive = Message.keep_alive();
    m_Stream.expires_never();
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

  void write(HttpReply Reply) {
    m_Reply = {};
    m_Reply.version(11);
    m_Reply.result(Reply.m_Status);
    for (const auto &[Key, Value] : Reply.m_Headers)
      m_Reply.set(Key, Value);
    m_Reply.body() = std::move(Reply.m_Body);
    m_Reply.keep_alive(m_KeepAlive && !m_State->m_Draining);
    m_Reply.prepare_payload();
    m_Stream.expires_after(m_State->m_Limits.m_IdleTimeout);
    http::async_write(
        m_Stream, m_Reply,
        [Self = shared_from_this()](const error_code &Failed, std::size_t) {
          if (Failed)
            return;
          if (Self->m_Reply.keep_alive())
            return Self->readNext();
          error_code Ignored;
          Self->m_Stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send,
                                           Ignored);
        });
  }

  void onReadFailed(const error_code &Failed) {
    m_KeepAlive = false;
    if (Failed == http::error::body_limit)
      return write({413, {}, "the request body is too large\n"});
    if (Failed == http::error::header_limit)
      return write({431, {}, "the request header is too large\n"});
    if (Failed == http::error::buffer_overflow)
      return write({431, {}, "the trailers or a chunk header are too large\n"});
    if (Failed.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        Failed != http::error::end_of_stream &&
        Failed != http::error::partial_message)
      write({400, {}, "not an HTTP request: " + Failed.message() + "\n"});
  }

  beast::tcp_stream m_Stream;
  std::shared_ptr<ServerState> m_State;
  beast::flat_buffer m_Buffer;
  std::optional<http::request_parser<http::string_body>> m_Parser;
  http::response<http::string_body> m_Reply;
  bool m_KeepAlive = true;
};

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  EventLoop &m_Loop;
  asio::ip::tcp::acceptor m_Acceptor;
  std::shared_ptr<ServerState> m_State = std::make_shared<ServerState>();

  explicit Impl(EventLoop &Loop) : m_Loop(Loop), m_Acceptor(Loop.context()) {}

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
  auto P = std::make_shared<Impl>(Loop);
  if (auto Failed = P->listen(*BindAddress))
    return makeError(ErrorCode::ConnectFailed, "listen", ListenAddress,
                     Failed.message());
  P->m_State->m_Limits = Limits;
  P->m_State->m_OnRequest = std::move(OnRequest);
  P->accept();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(P)));
}

void HttpServer::drain() { m_Impl->m_State->m_Draining = true; }

unsigned HttpServer::port() const {
  error_code Ignored;
  return m_Impl->m_Acceptor.local_endpoint(Ignored).port();
}

std::size_t HttpServer::inFlight() const { return m_Impl->m_State->m_InFlight; }

} // namespace pollenspool
