//===- HttpClient.cpp - HTTP/1.1 client with a connection pool ------------===//

#include "net/HttpClient.h"
#include "base/Address.h"
#include "base/Log.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <map>
#include <sys/socket.h>

namespace pollenspool {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Maximum size of a reply body in bytes. The store's largest reply has 1 MB of
/// rows; Base64 and JSON increase this by about half.
constexpr std::uint64_t MaxReplyBytes = 8u << 20;
/// Shortest interval between two log lines about a reached limit.
constexpr Duration LimitLogInterval = std::chrono::seconds(1);

struct Connection {
  explicit Connection(asio::io_context &Context) : m_Stream(Context) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;

  /// To be called once the connection is open. Closing it discards what has not
  /// been sent: a request that was given up must not be delivered later, when a
  /// network that dropped it works again.
  void setOptions() {
    error_code Failed;
    m_Stream.socket().set_option(asio::ip::tcp::no_delay(true), Failed);
    if (!Failed)
      m_Stream.socket().set_option(asio::socket_base::linger(true, 0), Failed);
    if (Failed)
      logEvent(Event::SocketOptionFailed, {{"error", Failed.message()}});
  }

  /// Returns whether the peer has closed the idle connection or sent
  /// unsolicited data on it, so that it must not be reused.
  bool isStale() {
    char Byte = 0;
    auto N = ::recv(m_Stream.socket().native_handle(), &Byte, 1,
                    MSG_PEEK | MSG_DONTWAIT);
    return N >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK) ||
           m_Buffer.size() != 0;
  }
};

struct Call {
  CallNumber m_Number = 0;
  std::string m_Peer;
  http::request<http::string_body> m_Request;
  http::response_parser<http::string_body> m_Parser;
  HttpClient::ReplyCallback m_Callback;
  TimePoint m_Deadline;
  ConnectionNumber m_ConnectionNumber = 0;
  std::unique_ptr<Connection> m_Connection;
};

/// Whether an attempt to connect failed for lack of a resource of this process
/// or system, which says nothing about the peer.
bool isLocalFailure(const error_code &Failed) {
  namespace errc = boost::system::errc;
  return Failed == errc::too_many_files_open ||
         Failed == errc::too_many_files_open_in_system ||
         Failed == errc::no_buffer_space || Failed == errc::not_enough_memory ||
         Failed == errc::address_not_available;
}

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  EventLoop &m_Loop;
  std::string m_Name;
  ConnectionSlots m_Slots;
  std::map<ConnectionNumber, std::unique_ptr<Connection>> m_Idle;
  std::map<CallNumber, std::shared_ptr<Call>> m_Waiting;
  HttpClientCounters m_Counters;
  CallNumber m_LastCall = 0;
  TimePoint m_NextLimitLog{};

  Impl(EventLoop &Loop, std::string Name, const ConnectionLimits &Limits)
      : m_Loop(Loop), m_Name(std::move(Name)), m_Slots(Limits) {}

  void enqueue(const std::shared_ptr<Call> &C) {
    m_Waiting[C->m_Number] = C;
    m_Slots.addCall(C->m_Number, C->m_Peer);
    startCalls();
    if (m_Waiting.count(C->m_Number))
      m_Loop.after(C->m_Deadline - m_Loop.now(),
                   [Weak = weak_from_this(), Number = C->m_Number] {
                     if (auto Self = Weak.lock())
                       Self->onWaitExpired(Number);
                   });
  }

  void onWaitExpired(CallNumber Number) {
    auto It = m_Waiting.find(Number);
    if (It == m_Waiting.end())
      return;
    auto C = std::move(It->second);
    m_Waiting.erase(It);
    m_Slots.removeCall(Number, C->m_Peer);
    ++m_Counters.m_NoConnection;
    C->m_Callback(makeError(ErrorCode::ResourceExhausted,
                            C->m_Request.target().to_string(), C->m_Peer,
                            "no connection was free before the deadline"));
  }

  /// Starts the queued calls for which the limits allow a connection.
  void startCalls() {
    while (auto Next = m_Slots.next()) {
      if (Next->m_Kind == ConnectionAction::Kind::Close) {
        ++m_Counters.m_Evicted;
        m_Idle.erase(Next->m_Connection);
        continue;
      }
      auto Waiting = m_Waiting.find(Next->m_Call);
      auto C = Waiting->second;
      C->m_ConnectionNumber = Next->m_Connection;
      if (Next->m_Kind == ConnectionAction::Kind::Reuse) {
        auto Idle = m_Idle.find(Next->m_Connection);
        C->m_Connection = std::move(Idle->second);
        m_Idle.erase(Idle);
        if (C->m_Connection->isStale()) {
          C->m_Connection.reset();
          m_Slots.close(Next->m_Connection);
          m_Slots.addCall(C->m_Number, C->m_Peer);
          continue;
        }
        m_Waiting.erase(Waiting);
        send(C);
        continue;
      }
      m_Waiting.erase(Waiting);
      connect(C);
    }
    logLimit();
  }

  void logLimit() {
    TimePoint Now = m_Loop.now();
    if (!m_Slots.isTotalLimitBinding() || Now < m_NextLimitLog)
      return;
    m_NextLimitLog = Now + LimitLogInterval;
    logEvent(Event::ConnectionLimitReached,
             {{"client", m_Name},
              {"open", std::to_string(m_Slots.open())},
              {"waiting_calls", std::to_string(m_Slots.queued())}});
  }

  void connect(const std::shared_ptr<Call> &C) {
    auto Destination = parseAddress(C->m_Peer);
    error_code Bad;
    auto Ip =
        asio::ip::make_address_v4(Destination ? Destination->m_Host : "", Bad);
    ++m_Counters.m_Connections;
    C->m_Connection = std::make_unique<Connection>(m_Loop.context());
    if (!Destination || Bad) {
      asio::post(m_Loop.context(), [Self = shared_from_this(), C] {
        Self->fail(C, ErrorCode::InvalidArgument,
                   "the peer is not an IPv4 address and port");
      });
      return;
    }
    setExpiry(*C);
    C->m_Connection->m_Stream.async_connect(
        asio::ip::tcp::endpoint(Ip, Destination->m_Port),
        [Self = shared_from_this(), C](const error_code &Failed) {
          if (Failed)
            return Self->fail(C,
                              isLocalFailure(Failed)
                                  ? ErrorCode::ResourceExhausted
                                  : ErrorCode::ConnectFailed,
                              Failed.message());
          C->m_Connection->setOptions();
          Self->send(C);
        });
  }

  void setExpiry(Call &C) {
    auto Left = std::max(Duration(1), C.m_Deadline - m_Loop.now());
    C.m_Connection->m_Stream.expires_after(Left);
  }

  void send(const std::shared_ptr<Call> &C) {
    setExpiry(*C);
    http::async_write(
        C->m_Connection->m_Stream, C->m_Request,
        [Self = shared_from_this(), C](const error_code &Failed, std::size_t) {
          if (Failed)
            return Self->fail(C, toErrorCode(Failed), Failed.message());
          Self->receive(C);
        });
  }

  void receive(const std::shared_ptr<Call> &C) {
    C->m_Parser.body_limit(MaxReplyBytes);
    http::async_read(
        C->m_Connection->m_Stream, C->m_Connection->m_Buffer, C->m_Parser,
        [Self = shared_from_this(), C](const error_code &Failed, std::size_t) {
          if (Failed)
            return Self->fail(C, toErrorCode(Failed), Failed.message());
          Self->finish(C);
        });
  }

  static ErrorCode toErrorCode(const error_code &Failed) {
    return Failed == beast::error::timeout ? ErrorCode::Timeout
                                           : ErrorCode::ConnectionLost;
  }

  void finish(const std::shared_ptr<Call> &C) {
    auto Message = C->m_Parser.release();
    HttpReply Reply;
    Reply.m_Status = Message.result_int();
    for (const auto &Header : Message)
      Reply.m_Headers.emplace_back(std::string(Header.name_string()),
                                   std::string(Header.value()));
    Reply.m_Body = std::move(Message.body());
    if (Message.keep_alive()) {
      C->m_Connection->m_Stream.expires_never();
      m_Idle[C->m_ConnectionNumber] = std::move(C->m_Connection);
      m_Slots.release(C->m_ConnectionNumber);
    } else {
      C->m_Connection.reset();
      m_Slots.close(C->m_ConnectionNumber);
    }
    startCalls();
    C->m_Callback(std::move(Reply));
  }

  void fail(const std::shared_ptr<Call> &C, ErrorCode Code,
            const std::string &Detail) {
    C->m_Connection.reset();
    m_Slots.close(C->m_ConnectionNumber);
    if (Code == ErrorCode::Timeout)
      ++m_Counters.m_Timeouts;
    else if (Code == ErrorCode::ResourceExhausted)
      ++m_Counters.m_NoConnection;
    else
      ++m_Counters.m_Lost;
    startCalls();
    C->m_Callback(
        makeError(Code, C->m_Request.target().to_string(), C->m_Peer, Detail));
  }
};

HttpClientCounters &
HttpClientCounters::operator+=(const HttpClientCounters &Other) {
  m_Calls += Other.m_Calls;
  m_Connections += Other.m_Connections;
  m_Timeouts += Other.m_Timeouts;
  m_Lost += Other.m_Lost;
  m_NoConnection += Other.m_NoConnection;
  m_Evicted += Other.m_Evicted;
  return *this;
}

HttpClient::HttpClient(std::shared_ptr<Impl> P) : m_Impl(std::move(P)) {}
HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::create(EventLoop &Loop,
                                               std::string Name,
                                               const ConnectionLimits &Limits) {
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_shared<Impl>(Loop, std::move(Name), Limits)));
}

void HttpClient::call(const std::string &Peer, HttpRequest Request,
                      Duration Timeout, ReplyCallback Callback) {
  auto C = std::make_shared<Call>();
  C->m_Number = ++m_Impl->m_LastCall;
  C->m_Peer = Peer;
  C->m_Request.method_string(Request.m_Method);
  C->m_Request.target(Request.m_Target);
  C->m_Request.version(11);
  C->m_Request.set(http::field::host, Peer);
  for (const auto &[Key, Value] : Request.m_Headers)
    C->m_Request.set(Key, Value);
  C->m_Request.body() = std::move(Request.m_Body);
  C->m_Request.prepare_payload();
  C->m_Callback = std::move(Callback);
  C->m_Deadline = m_Impl->m_Loop.now() + Timeout;
  ++m_Impl->m_Counters.m_Calls;
  m_Impl->enqueue(C);
}

const HttpClientCounters &HttpClient::counters() const {
  return m_Impl->m_Counters;
}

std::size_t HttpClient::openConnections() const {
  return m_Impl->m_Slots.open();
}

std::size_t HttpClient::queuedCalls() const { return m_Impl->m_Slots.queued(); }

} // namespace pollenspool
