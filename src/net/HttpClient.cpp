//===- HttpClient.cpp - Calls over kept connections -----------------------===//

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

/// Largest reply that is read, in bytes: the store's largest answer is 1 MB of
/// rows, which Base64 and JSON let grow by about half.
constexpr std::uint64_t MaxReplyBytes = 8u << 20;

struct Connection {
  explicit Connection(asio::io_context &Context) : m_Stream(Context) {}
  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;

  /// Whether the peer has closed the connection, or has sent something that
  /// nobody asked for, while it was idle.
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
  HttpClient::Done m_Then;
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

struct HttpClient::Parts : std::enable_shared_from_this<HttpClient::Parts> {
  EventLoop &m_Loop;
  std::size_t m_ConnectionsPerPeer;
  std::map<std::string, Peer> m_Peers;
  HttpClientCounters m_Counters;

  Parts(EventLoop &Loop, std::size_t PerPeer)
      : m_Loop(Loop), m_ConnectionsPerPeer(PerPeer) {}

  void begin(const std::string &Name, const std::shared_ptr<Call> &C) {
    Peer &P = m_Peers[Name];
    while (!P.m_Idle.empty()) {
      auto Kept = std::move(P.m_Idle.back());
      P.m_Idle.pop_back();
      if (Kept->isStale()) {
        --P.m_Open;
        continue;
      }
      C->m_Connection = std::move(Kept);
      send(Name, C);
      return;
    }
    if (P.m_Open >= m_ConnectionsPerPeer) {
      P.m_Waiting.push_back(C);
      return;
    }
    connect(Name, C);
  }

  void connect(const std::string &Name, const std::shared_ptr<Call> &C) {
    auto To = parseAddress(Name);
    error_code Bad;
    auto Ip = asio::ip::make_address_v4(To ? To->m_Host : "", Bad);
    ++m_Peers[Name].m_Open;
    ++m_Counters.m_Connections;
    C->m_Connection = std::make_unique<Connection>(m_Loop.context());
    if (!To || Bad) {
      asio::post(m_Loop.context(), [Self = shared_from_this(), Name, C] {
        Self->fail(Name, C, ErrorCode::InvalidArgument, "not an address");
      });
      return;
    }
    setExpiry(*C);
    C->m_Connection->m_Stream.async_connect(
        asio::ip::tcp::endpoint(Ip, To->m_Port),
        [Self = shared_from_this(), Name, C](const error_code &Failed) {
          if (Failed)
            return Self->fail(Name, C, ErrorCode::ConnectFailed,
                              Failed.message());
          error_code Ignored;
          C->m_Connection->m_Stream.socket().set_option(
              asio::ip::tcp::no_delay(true), Ignored);
          Self->send(Name, C);
        });
  }

  void setExpiry(Call &C) {
    auto Left = std::max(Duration(1), C.m_Deadline - m_Loop.now());
    C.m_Connection->m_Stream.expires_after(Left);
  }

  void send(const std::string &Name, const std::shared_ptr<Call> &C) {
    setExpiry(*C);
    C->m_Sent = true;
    http::async_write(C->m_Connection->m_Stream, C->m_Request,
                      [Self = shared_from_this(), Name,
                       C](const error_code &Failed, std::size_t) {
                        if (Failed)
                          return Self->fail(Name, C, codeOf(Failed),
                                            Failed.message());
                        Self->receive(Name, C);
                      });
  }

  void receive(const std::string &Name, const std::shared_ptr<Call> &C) {
    C->m_Parser.body_limit(MaxReplyBytes);
    http::async_read(
        C->m_Connection->m_Stream, C->m_Connection->m_Buffer, C->m_Parser,
        [Self = shared_from_this(), Name, C](const error_code &Failed,
                                             std::size_t) {
          if (Failed)
            return Self->fail(Name, C, codeOf(Failed), Failed.message());
          Self->finish(Name, C);
        });
  }

  static ErrorCode codeOf(const error_code &Failed) {
    return Failed == beast::error::timeout ? ErrorCode::Timeout
                                           : ErrorCode::ConnectionLost;
  }

  void finish(const std::string &Name, const std::shared_ptr<Call> &C) {
    auto Message = C->m_Parser.release();
    HttpReply Reply;
    Reply.m_Status = Message.result_int();
    for (const auto &Header : Message)
      Reply.m_Headers.emplace_back(std::string(Header.name_string()),
                                   std::string(Header.value()));
    Reply.m_Body = std::move(Message.body());
    Peer &P = m_Peers[Name];
    if (Message.keep_alive()) {
      C->m_Connection->m_Stream.expires_never();
      P.m_Idle.push_back(std::move(C->m_Connection));
    } else {
      --P.m_Open;
    }
    C->m_Connection.reset();
    serveWaiting(Name);
    C->m_Then(std::move(Reply));
  }

  void fail(const std::string &Name, const std::shared_ptr<Call> &C,
            ErrorCode Code, const std::string &Why) {
    --m_Peers[Name].m_Open;
    C->m_Connection.reset();
    if (Code == ErrorCode::Timeout)
      ++m_Counters.m_Timeouts;
    else
      ++m_Counters.m_Lost;
    serveWaiting(Name);
    C->m_Then(makeError(Code, C->m_Request.target().to_string(), Name, Why));
  }

  void serveWaiting(const std::string &Name) {
    Peer &P = m_Peers[Name];
    while (!P.m_Waiting.empty()) {
      auto Next = P.m_Waiting.front();
      if (Next->m_Deadline > m_Loop.now()) {
        if (P.m_Idle.empty() && P.m_Open >= m_ConnectionsPerPeer)
          return;
        P.m_Waiting.pop_front();
        begin(Name, Next);
        return;
      }
      P.m_Waiting.pop_front();
      Next->m_Then(makeError(ErrorCode::ConnectFailed,
                             Next->m_Request.target().to_string(), Name,
                             "no connection was free in time"));
    }
  }
};

HttpClient::HttpClient(std::shared_ptr<Parts> P) : m_Parts(std::move(P)) {}
HttpClient::~HttpClient() = default;

std::unique_ptr<HttpClient> HttpClient::create(EventLoop &Loop,
                                               std::size_t ConnectionsPerPeer) {
  return std::unique_ptr<HttpClient>(
      new HttpClient(std::make_shared<Parts>(Loop, ConnectionsPerPeer)));
}

void HttpClient::call(const std::string &Peer, HttpRequest Request,
                      Duration Timeout, Done Then) {
  auto C = std::make_shared<Call>();
  C->m_Request.method_string(Request.m_Method);
  C->m_Request.target(Request.m_Target);
  C->m_Request.version(11);
  C->m_Request.set(http::field::host, Peer);
  for (const auto &[Key, Value] : Request.m_Headers)
    C->m_Request.set(Key, Value);
  C->m_Request.body() = std::move(Request.m_Body);
  C->m_Request.prepare_payload();
  C->m_Then = std::move(Then);
  C->m_Deadline = m_Parts->m_Loop.now() + Timeout;
  ++m_Parts->m_Counters.m_Calls;
  m_Parts->begin(Peer, C);
}

void HttpClient::forget(const std::string &Peer) {
  auto It = m_Parts->m_Peers.find(Peer);
  if (It == m_Parts->m_Peers.end())
    return;
  It->second.m_Open -= It->second.m_Idle.size();
  It->second.m_Idle.clear();
}

const HttpClientCounters &HttpClient::counters() const {
  return m_Parts->m_Counters;
}

} // namespace pollenspool
