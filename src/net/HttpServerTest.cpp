//===- HttpServerTest.cpp - Tests of HttpServer ---------------------------===//

#include "net/HttpServer.h"
#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <list>
#include <string>
#include <vector>

using namespace pollenspool;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Ends a test whose condition never holds.
constexpr Duration TestTimeout = 10s;
const std::string Chunked = "POST / HTTP/1.1\r\nHost: a\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n";

/// A client that sends given bytes and keeps what it receives.
class RawClient {
public:
  RawClient(EventLoop &Loop, unsigned Port) : m_Socket(Loop.context()) {
    m_Socket.connect(
        {asio::ip::address_v4::loopback(), static_cast<unsigned short>(Port)});
    read();
  }

  /// Sends \p Bytes; those that the server does not take are lost.
  void send(std::string Bytes) {
    m_Sent.push_back(std::move(Bytes));
    asio::async_write(m_Socket, asio::buffer(m_Sent.back()),
                      [](const error_code &, std::size_t) {});
  }
  const std::string &received() const { return m_Received; }
  bool isClosed() const { return m_IsClosed; }
  /// Number of replies that have begun to arrive with \p Status.
  std::size_t replies(unsigned Status) const {
    const std::string Line = "HTTP/1.1 " + std::to_string(Status);
    std::size_t Count = 0;
    for (std::size_t At = m_Received.find(Line); At != std::string::npos;
         At = m_Received.find(Line, At + 1))
      ++Count;
    return Count;
  }

private:
  void read() {
    m_Socket.async_read_some(asio::buffer(m_Piece),
                             [this](const error_code &E, std::size_t Bytes) {
                               m_Received.append(m_Piece.data(), Bytes);
                               m_IsClosed = bool(E);
                               if (!E)
                                 read();
                             });
  }

  asio::ip::tcp::socket m_Socket;
  std::list<std::string> m_Sent;
  std::array<char, 4096> m_Piece{};
  std::string m_Received;
  bool m_IsClosed = false;
};

} // namespace

TEST_GROUP(HttpServer) {
  std::unique_ptr<EventLoop> m_Loop = EventLoop::create();
  std::unique_ptr<HttpServer> m_Server;
  std::vector<HttpRequest> m_Requests;
  /// Replies that a test gives later; used if m_IsSlow.
  std::vector<HttpServer::Respond> m_Waiting;
  bool m_IsSlow = false;
  std::list<RawClient> m_Clients;

  /// Starts the server. Its connections do not end by themselves.
  void serve(HttpServerLimits Limits) {
    Limits.m_IdleTimeout = 6 * TestTimeout;
    m_Server =
        std::move(HttpServer::create(
                      *m_Loop, "127.0.0.1:0", Limits,
                      [this](HttpRequest Request, HttpServer::Respond Respond) {
                        m_Requests.push_back(std::move(Request));
                        if (m_IsSlow)
                          return m_Waiting.push_back(std::move(Respond));
                        Respond({200, {}, "served"});
                      })
                      .value());
  }
  RawClient &connect() {
    return m_Clients.emplace_back(*m_Loop, m_Server->port());
  }
  /// Runs the loop until \p Condition holds.
  void runUntil(const std::function<bool()> &Condition) {
    bool IsLate = false;
    m_Loop->after(TestTimeout, [&] {
      IsLate = true;
      m_Loop->stop();
    });
    while (!Condition() && !IsLate)
      m_Loop->context().run_one();
    CHECK_FALSE(IsLate);
  }
};

// Trailers were read into a buffer without a limit; clients sent them until the
// process was out of memory.
TEST(HttpServer, RefusesTrailersWithoutEnd) {
  serve({});
  RawClient &Client = connect();
  Client.send(Chunked + "0\r\n" + "X-T: " + std::string(40000, 'a') + "\r\n");
  runUntil([&] { return Client.isClosed(); });
  CHECK(m_Requests.empty());
  CHECK(Client.replies(431) <= 1);
}

// The same with the extension of a chunk.
TEST(HttpServer, RefusesAChunkExtensionWithoutEnd) {
  serve({});
  RawClient &Client = connect();
  Client.send(Chunked + "1;" + std::string(40000, 'a'));
  runUntil([&] { return Client.isClosed(); });
  CHECK(m_Requests.empty());
}

// Guards against a bound that ordinary trailers, the largest header or the
// largest body meet.
TEST(HttpServer, ServesRequestsUpToTheLimits) {
  serve({});
  RawClient &Client = connect();
  Client.send(Chunked + "1;a=b\r\nb\r\n0\r\nX-T: a\r\n\r\n");
  Client.send("GET / HTTP/1.1\r\nX-Long: " + std::string(16 * 1024 - 64, 'a') +
              "\r\n\r\n");
  Client.send("POST / HTTP/1.1\r\nContent-Length: 262144\r\n\r\n" +
              std::string(262144, 'b'));
  runUntil([&] { return Client.replies(200) == 3 || Client.isClosed(); });
  CHECK_EQUAL(3u, m_Requests.size());
  STRCMP_EQUAL("ab", m_Requests[0].m_Body.c_str());
  CHECK_EQUAL(262144u, m_Requests[2].m_Body.size());
}

// Idle connections took all descriptors. The one that is served stays, and the
// newest is served.
TEST(HttpServer, TheLongestIdleConnectionGivesWay) {
  HttpServerLimits Limits;
  Limits.m_Connections.m_MaxConnections = 2;
  serve(Limits);
  m_IsSlow = true;
  RawClient &Served = connect();
  Served.send("GET /served HTTP/1.1\r\n\r\n");
  runUntil([&] { return m_Waiting.size() == 1; });
  RawClient &Idle = connect();
  runUntil([&] { return m_Server->connections() == 2; });
  RawClient &New = connect();
  New.send("GET /new HTTP/1.1\r\n\r\n");
  runUntil([&] { return m_Waiting.size() == 2 && Idle.isClosed(); });
  for (auto &Respond : m_Waiting)
    Respond({200, {}, {}, {}});
  runUntil([&] { return Served.replies(200) + New.replies(200) == 2; });
  CHECK_EQUAL(1u, m_Server->counters().m_ForConnections);
}

// Unfinished bodies of many clients took all memory. The oldest is told that it
// was not passed on; an ordinary request is served beside them.
TEST(HttpServer, AnUnfinishedBodyGivesWayToOthers) {
  HttpServerLimits Limits;
  Limits.m_Connections.m_MaxBytes = 200000;
  serve(Limits);
  const std::string Unfinished =
      "POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n" +
      std::string(120000, 'a');
  RawClient &First = connect();
  First.send(Unfinished);
  runUntil([&] { return m_Server->chargedBytes() > 120000; });
  RawClient &Second = connect();
  Second.send(Unfinished);
  runUntil([&] { return First.isClosed(); });
  RawClient &Ordinary = connect();
  Ordinary.send("GET / HTTP/1.1\r\n\r\n");
  runUntil([&] { return Ordinary.replies(200) == 1; });
  CHECK_EQUAL(1u, m_Requests.size());
  CHECK_FALSE(Second.isClosed());
  CHECK(First.replies(503) == 1 || First.received().empty());
}

// Requests that wait for the store hold memory, too. A large one that finds
// none is refused before it is passed on, so that "not accepted" is true.
TEST(HttpServer, ARefusedRequestIsNotPassedOn) {
  HttpServerLimits Limits;
  Limits.m_Connections.m_MaxBytes = 50000;
  serve(Limits);
  m_IsSlow = true;
  const std::string Large = "POST / HTTP/1.1\r\nContent-Length: 25000\r\n\r\n" +
                            std::string(25000, 'a');
  connect().send(Large);
  runUntil([&] { return m_Waiting.size() == 1; });
  RawClient &Refused = connect();
  Refused.send(Large);
  runUntil([&] { return Refused.isClosed(); });
  CHECK_EQUAL(1u, m_Waiting.size());
  CHECK_EQUAL(1u, Refused.replies(503));
  CHECK(Refused.received().find("Retry-After: 1\r\n") != std::string::npos);
  CHECK(Refused.received().find("Connection: close\r\n") != std::string::npos);
  // An ordinary request needs none of that memory.
  connect().send("POST / HTTP/1.1\r\nContent-Length: 4000\r\n\r\n" +
                 std::string(4000, 'a'));
  runUntil([&] { return m_Waiting.size() == 2; });
}

// Guards against a limit that a tenth of 1,000 clients meets with a tenth of
// the smallest machine's memory, each with a job of the largest ordinary size.
TEST(HttpServer, ManyClientsInsideTheLimitsAreServedAtTheSameTime) {
  constexpr std::size_t Clients = 100;
  HttpServerLimits Limits;
  Limits.m_Connections.m_MaxBytes /= 10;
  serve(Limits);
  m_IsSlow = true;
  for (std::size_t N = 0; N < Clients; ++N)
    connect().send("POST / HTTP/1.1\r\nContent-Length: 34000\r\n\r\n" +
                   std::string(34000, 'a'));
  runUntil([&] {
    return m_Waiting.size() + m_Server->counters().m_ForMemory >= Clients;
  });
  CHECK_EQUAL(Clients, m_Waiting.size());
}
