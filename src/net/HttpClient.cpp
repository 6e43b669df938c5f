//===- HttpClient.cpp - HTTP/1.1 client with a connection pool ------------===//

#include "net/HttpClient.h"
#include "base/Address.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <deque>
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

struct Connection {
  explicit Connection(asio::io_context &Context) : m_Stream(Context) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;

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
  http::request<http::string_body> m_Request;
  http::response_parser<http::string_body> m_Parser;
  HttpClient::ReplyCallback m_Callback;
  TimePoint m_Deadline;
  std::unique_ptr<Connection> m_Connection;
  bool m_Sent = false;
};

struct Peer {
  std::vector<std::unique_ptr<Connection>> m_Idle;
  std::deque<std::shared_ptr<Call>> m_Waiting;
  std::size_t m_Open = 0;
};

} // namespace

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl> {
  EventLoop &m_Loop;
  std::size_t m_ConnectionsPerPeer;
  std::map<std::string, Peer> m_Peers;
  HttpClientCounters m_Counters;

  Impl(EventLoop &Loop, std::size_t PerPeer)
      : m_Loop(Loop), m_ConnectionsPerPeer(PerPeer) {}

  /// Sends \p C on an idle or a new connection, or queues it if the limit of
  /// connections to the peer is reached.
  void startCall(const std::string &PeerAddress,
                 const std::shared_ptr<Call> &C) {
    Peer &P = m_Peers[PeerAddress];
    while (!P.m_Idle.empty()) {
      auto Reused = std::move(P.m_Idle.back());
      P.m_Idle.pop_back();
      if (Reused->isStale()) {
        --P.m_Open;
        continue;
      }
      C->m_Connection = std::move(Reused);
      send(PeerAddress, C);
      return;
    }
    if (P.m_Open >= m_ConnectionsPerPeer) {
      P.m_Waiting.push_back(C);
      return;
    }
    connect(PeerAddress, C);
  }

  void connect(const std::string &PeerAddress, const std::shared_ptr<Call> &C) {
    auto Destination = parseAddress(PeerAddress);
    error_code Bad;
    auto Ip =
        asio::ip::make_address_v4(Destination ? Destination->m_Host : "", Bad);
    ++m_Peers[PeerAddress].m_Open;
    ++m_Counters.m_Connections;
    C->m_Connection = std::make_unique<Connection>(m_Loop.context());
    if (!Destination || Bad) {
      asio::post(m_Loop.context(), [Self = shared_from_this(), PeerAddress, C] {
        Self->fail(PeerAddress, C, ErrorCode::InvalidArgument,
                   "the peer is not an IPv4 address and port");
      });
      return;
    }
    setExpiry(*C);
    C->m_Connection->m_Stream.async_connect(
        asio::ip::tcp::endpoint(Ip, Destination->m_Port),
        [Self = shared_from_this(), PeerAddress, C](const error_code &Failed) {
          if (Failed)
            return Self->fail(PeerAddress, C, ErrorCode::ConnectFailed,
                              Failed.message());
          error_code Ignored;
          C->m_Connection->m_Stream.socket().set_option(
              asio::ip::tcp::no_delay(true), Ignored);
          Self->send(PeerAddress, C);
        });
  }

  void setExpiry(Call &C) {
    auto Left = std::max(Duration(1), C.m_Deadline - m_Loop.now());
    C.m_Connection->m_Stream.expires_after(Left);
  }

  void send(const std::string &PeerAddress, const std::shared_ptr<Call> &C) {
    setExpiry(*C);
    C->m_Sent = true;
    http::async_write(C->m_Connection->m_Stream, C->m_Request,
                      [Self = shared_from_this(), PeerAddress,
                       C](const error_code &Failed, std::size_t) {
                        if (Failed)
                          return Self->fail(PeerAddress, C, toErrorCode(Failed),
                                            Failed.message());
                        Self->receive(PeerAddress, C);
                      });
  }

  void receive(const std::string &PeerAddress, const std::shared_ptr<Call> &C) {
    C->m_Parser.body_limit(MaxReplyBytes);
    http::async_read(C->m_Connection->m_Stream, C->m_Connection->m_Buffer,
                     C->m_Parser,
                     [Self = shared_from_this(), PeerAddress,
                      C](const error_code &Failed, std::size_t) {
                       if (Failed)
                         return Self->fail(PeerAddress, C, toErrorCode(Failed),
                                           Failed.message());
                       Self->finish(PeerAddress, C);
                     });
  }

  static ErrorCode toErrorCode(const error_code &Failed) {
    return Failed == beast::error::timeout ? ErrorCode::Timeout
                                           : ErrorCode::ConnectionLost;
  }

  void finish(const std::string &PeerAddress, const std::shared_ptr<Call> &C) {
    auto Message = C->m_Parser.release();
    HttpReply Reply;
    Reply.m_Status = Message.result_int();
    for (const auto &Header : Message)
      Reply.m_Headers.emplace_back(std::string(Header.name_string()),
                                   std::string(Header.value()));
    Reply.m_Body = std::move(Message.body());
    Peer &P = m_Peers[PeerAddress];
    if (Message.keep_alive()) {
      C->m_Connection->m_Stream.expires_never();
      P.m_Idle.push_back(std::move(C->m_Connection));
    } else {
      --P.m_Open;
    }
    C->m_Connection.reset();
    startNextWaiting(PeerAddress);
    C->m_Callback(std::move(Reply));
  }

  void fail(const std::string &PeerAddress, const std::shared_ptr<Call> &C,
            ErrorCode Code, const std::string &Detail) {
    --m_Peers[PeerAddress].m_Open;
    C->m_Connection.reset();
    if (Code == ErrorCode::Timeout)
      ++m_Counters.m_Timeouts;
    else
      ++m_Counters.m_Lost;
    startNextWaiting(PeerAddress);
    C->m_Callback(makeError(Code, C->m_Request.target().to_string(),
                            PeerAddress, Detail));
  }

  /// Fails the queued calls whose deadline has passed, then starts the first
  /// one left if a connection is available.
  void startNextWaiting(const std::string &PeerAddress) {
    Peer &P = m_Peers[PeerAddress];
    while (!P.m_Waiting.empty()) {
      auto Next = P.m_Waiting.front();
      if (Next->m_Deadline > m_Loop.now()) {
        if (P.m_Idle.empty() && P.m_Open >= m_ConnectionsPerPeer)
          return;
        P.m_Waiting.pop_front();
        startCall(PeerAddress, Next);
        return;
      }
      P.m_Waiting.pop_front();
      Next->m_Callback(makeError(
          ErrorCode::ConnectFailed, Next->m_Request.target().to_string(),
          PeerAddress, "no connection became available before the deadline"));
    }
  }
};

HttpClient::HttpClient(std::shared_ptr<Impl> P) : m_Impl(std::move(P)) {}
HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::create(EventLoop &Loop,
                                               std::size_t ConnectionsPerPeer) {
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_shared<Impl>(Loop, ConnectionsPerPeer)));
}

void HttpClient::call(const std::string &Peer, HttpRequest Request,
                      Duration Timeout, ReplyCallback Callback) {
  auto C = std::make_shared<Call>();
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
  m_Impl->startCall(Peer, C);
}

void HttpClient::closeIdleConnections(const std::string &Peer) {
  auto It = m_Impl->m_Peers.find(Peer);
  if (It == m_Impl->m_Peers.end())
    return;
  It->second.m_Open -= It->second.m_Idle.size();
  It->second.m_Idle.clear();
}

const HttpClientCounters &HttpClient::counters() const {
  return m_Impl->m_Counters;
}

} // namespace pollenspool
