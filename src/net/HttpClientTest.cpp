//===- HttpClientTest.cpp - Tests of HttpClient ---------------------------===//

#include "net/CallDeadline.h"
#include "net/testing/ScriptedServer.h"
#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/post.hpp>
#include <vector>

using namespace pollenspool;
using namespace std::chrono_literals;
using namespace pollenspool::testing;
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// A server that accepts one connection and answers nothing.
class SilentServer {
public:
  explicit SilentServer(EventLoop &Loop)
      : m_Loop(Loop),
        m_Acceptor(Loop.context(), {asio::ip::address_v4::loopback(), 0}),
        m_Socket(Loop.context()) {
    m_Acceptor.async_accept(m_Socket, [this](const error_code &Failed) {
      if (!Failed)
        read();
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }
  /// How the connection ended. Stops the loop at that time.
  const std::optional<error_code> &end() const { return m_End; }
  std::size_t bytesRead() const { return m_BytesRead; }

private:
  void read() {
    m_Socket.async_read_some(
        asio::buffer(m_Buffer),
        [this](const error_code &Failed, std::size_t Bytes) {
          m_BytesRead += Bytes;
          if (!Failed)
            return read();
          m_End = Failed;
          m_Loop.stop();
        });
  }

  EventLoop &m_Loop;
  asio::ip::tcp::acceptor m_Acceptor;
  asio::ip::tcp::socket m_Socket;
  std::array<char, 4096> m_Buffer{};
  std::size_t m_BytesRead = 0;
  std::optional<error_code> m_End;
};

/// Lets \p Time pass in which \p Loop handles nothing.
void passTime(const EventLoop &Loop, Duration Time) {
  for (TimePoint End = Loop.now() + Time; Loop.now() < End;)
    continue;
}

} // namespace

TEST_GROUP(HttpClient){};

// Guards against orders that are carried out seconds after they were given up
// (ONE): a zone was cut off while an order was on its way, the call timed out,
// and the system sent the order when the zone was back, after the orders of
// the next leader.
TEST(HttpClient, DiscardsARequestThatItHasGivenUp) {
  auto Loop = EventLoop::create();
  SilentServer Server(*Loop);
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  std::optional<ErrorCode> Answer;
  Client->call(Server.address(), {"POST", "/order", {}, "{}"}, 50ms,
               [&](const Result<HttpReply> &Reply) {
                 Answer = Reply ? ErrorCode::Internal : Reply.error().m_Code;
               });
  Loop->after(10s, [&] { Loop->stop(); });
  Loop->run();
  CHECK(Answer == ErrorCode::Timeout);
  CHECK(Server.bytesRead() > 0);
  CHECK(Server.end() == asio::error::connection_reset);
}

// Guards against a call that waits for ever behind calls that use all
// connections, and against one that is said to have been sent.
TEST(HttpClient, ADeadlineEndsACallThatWaitsForAConnection) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [](ScriptedServer::Socket &, int) {});
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer First;
  Answer Second;
  Client->call(Server.address(), Order, 100ms, storeTo(First));
  Client->call(Server.address(), Order, 30ms, storeTo(Second));
  CHECK_EQUAL(1u, Client->queuedCalls());
  runUntil(*Loop, [&] { return First.m_Callbacks > 0; });
  CHECK_EQUAL(1, Second.m_Callbacks);
  CHECK(Second.m_Failure == ErrorCode::ResourceExhausted);
  CHECK(First.m_Failure == ErrorCode::Timeout);
  CHECK_EQUAL(0u, Client->queuedCalls());
  CHECK_EQUAL(0u, Client->openConnections());
  CHECK_EQUAL(1u, Client->counters().m_Timeouts);
  CHECK_EQUAL(1u, Client->counters().m_NoConnection);
}

// Guards against a call to a host that drops packets, which would keep its
// connection until the system gives up, and would count as sent.
TEST(HttpClient, ADeadlineEndsACallThatConnects) {
  auto Loop = EventLoop::create();
  asio::ip::tcp::acceptor Full(Loop->context());
  Full.open(asio::ip::tcp::v4());
  Full.bind({asio::ip::address_v4::loopback(), 0});
  Full.listen(0);
  std::list<asio::ip::tcp::socket> Fillers;
  for (int N = 0; N < 4; ++N)
    Fillers.emplace_back(Loop->context())
        .async_connect(Full.local_endpoint(), [](const error_code &) {});
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer Given;
  Client->call("127.0.0.1:" + std::to_string(Full.local_endpoint().port()),
               Order, 50ms, storeTo(Given));
  runUntil(*Loop, [&] { return Given.m_Callbacks > 0; });
  CHECK(Given.m_Failure == ErrorCode::ConnectFailed);
  CHECK_EQUAL(0u, Client->openConnections());
  CHECK_EQUAL(1u, Client->counters().m_Lost);
}

// Guards against deadlines that are lost or end a call twice because others
// fall on the same time.
TEST(HttpClient, EndsEachOfManyCallsWithTheSameDeadlineOnce) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [](ScriptedServer::Socket &, int) {});
  auto Client = HttpClient::create(*Loop, "test", {150, 150});
  std::vector<Answer> All(200);
  std::size_t Ended = 0;
  for (Answer &A : All)
    Client->call(Server.address(), Order, 60ms,
                 [&, Store = storeTo(A)](Result<HttpReply> Reply) {
                   ++Ended;
                   Store(std::move(Reply));
                 });
  CHECK_EQUAL(0u, Ended);
  runUntil(*Loop, [&] { return Ended >= All.size(); });
  for (const Answer &A : All) {
    CHECK_EQUAL(1, A.m_Callbacks);
    // By the stage of the call: sent, waiting or connecting.
    CHECK(A.m_Failure == ErrorCode::Timeout ||
          A.m_Failure == ErrorCode::ResourceExhausted ||
          A.m_Failure == ErrorCode::ConnectFailed);
  }
  CHECK_EQUAL(0u, Client->openConnections());
}

// Guards against calls on connections that the peer has closed meanwhile: they
// would be lost though the peer never had them.
TEST(HttpClient, DropsAnIdleConnectionThatThePeerCloses) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int Number) {
    reply(S, std::to_string(Number));
    Loop->after(5ms, [&S] { S.close(); });
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer First;
  Answer Second;
  Client->call(Server.address(), Order, 5s, storeTo(First));
  Loop->after(40ms, [&] {
    Client->call(Server.address(), Order, 5s, storeTo(Second));
  });
  runUntil(*Loop, [&] { return Second.m_Callbacks > 0; });
  STRCMP_EQUAL("1", First.m_Body.c_str());
  STRCMP_EQUAL("2", Second.m_Body.c_str());
  CHECK_EQUAL(2u, Client->counters().m_Connections);
  CHECK_EQUAL(0u, Client->counters().m_Lost);
}

// Guards against a lost call after a server that answers and exits: the close
// arrives with the reply, and the next call starts before the loop reports it.
TEST(HttpClient, DoesNotReuseAConnectionThatIsClosedWithTheReply) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [](ScriptedServer::Socket &S, int Number) {
    reply(S, std::to_string(Number));
    S.close();
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer First;
  Answer Second;
  Client->call(Server.address(), Order, 5s, storeTo(First));
  Client->call(Server.address(), Order, 5s, storeTo(Second));
  runUntil(*Loop, [&] { return Second.m_Callbacks > 0; });
  STRCMP_EQUAL("1", First.m_Body.c_str());
  STRCMP_EQUAL("2", Second.m_Body.c_str());
  CHECK_EQUAL(0u, Client->counters().m_Lost);
}

// Guards against a reply whose end is the end of the stream, which a client
// that only counts bytes would wait for or call lost.
TEST(HttpClient, TakesTheEndOfTheStreamForTheEndOfAReplyWithoutLength) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [](ScriptedServer::Socket &S, int) {
    asio::write(S, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nall")));
    S.close();
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer Given;
  Client->call(Server.address(), Order, 5s, storeTo(Given));
  runUntil(*Loop, [&] { return Given.m_Callbacks > 0; });
  STRCMP_EQUAL("all", Given.m_Body.c_str());
  CHECK_EQUAL(0u, Client->openConnections());
}

// Guards against a reply that is taken for complete, or for a failure, because
// the network cut it within a line of its header or within its body.
TEST(HttpClient, ReadsAReplyThatComesInSeveralSegments) {
  auto Loop = EventLoop::create();
  const std::string Large(100 * 1024, 'x');
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int Number) {
    if (Number > 1)
      return reply(S, Large);
    const char *Parts[] = {"HTTP/1.1 20", "0 OK\r\nContent-Le",
                           "ngth: 6\r\n\r\nabc", "def"};
    Duration Delay{};
    for (const char *Part : Parts)
      Loop->after(Delay += 5ms, [&S, Text = std::string(Part)] {
        asio::write(S, asio::buffer(Text));
      });
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer First;
  Answer Second;
  Client->call(Server.address(), Order, 5s, storeTo(First));
  Client->call(Server.address(), Order, 5s, storeTo(Second));
  runUntil(*Loop, [&] { return Second.m_Callbacks > 0; });
  STRCMP_EQUAL("abcdef", First.m_Body.c_str());
  CHECK(Second.m_Body == Large);
  CHECK_EQUAL(1u, Client->counters().m_Connections);
}

// Guards against a stray reply that is taken for the answer of the next call.
TEST(HttpClient, DropsAnIdleConnectionWithUnsolicitedData) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int Number) {
    reply(S, std::to_string(Number));
    if (Number == 1)
      Loop->after(5ms, [&S] { reply(S, "stray"); });
    if (Number == 2)
      reply(S, "stray");
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  std::array<Answer, 3> Given;
  Client->call(Server.address(), Order, 5s, storeTo(Given[0]));
  Loop->after(40ms, [&] {
    Client->call(Server.address(), Order, 5s, storeTo(Given[1]));
    Client->call(Server.address(), Order, 5s, storeTo(Given[2]));
  });
  runUntil(*Loop, [&] { return Given[2].m_Callbacks > 0; });
  STRCMP_EQUAL("1", Given[0].m_Body.c_str());
  STRCMP_EQUAL("2", Given[1].m_Body.c_str());
  STRCMP_EQUAL("3", Given[2].m_Body.c_str());
  CHECK_EQUAL(3u, Client->counters().m_Connections);
}

// Guards against a client that loses a call, or touches what is gone, when it
// is destroyed before the answer.
TEST(HttpClient, ACallEndsOnceAlsoAfterItsClientIsDestroyed) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int) {
    Loop->after(20ms, [&S] { reply(S, "late"); });
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer Given;
  Client->call(Server.address(), Order, 5s, storeTo(Given));
  Loop->after(5ms, [&] { Client.reset(); });
  runUntil(*Loop, [&] { return Given.m_Callbacks > 0; });
  STRCMP_EQUAL("late", Given.m_Body.c_str());
  CHECK_EQUAL(1, Given.m_Callbacks);
}

// A peer sent a reply that no call had asked for and reset the connection, and
// the next call began before the loop had seen either. Guards against an error
// of that call's request that is reported after its end: the process died.
TEST(HttpClient, ACallOnAConnectionThatWasResetEndsOnce) {
  auto Loop = EventLoop::create();
  ScriptedServer::Socket *Peer = nullptr;
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int) {
    Peer = &S;
    reply(S, "first");
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  std::array<Answer, 2> Given;
  bool IsOver = false;
  Client->call(Server.address(), Order, 5s, storeTo(Given[0]));
  Loop->after(40ms, [&] {
    reply(*Peer, "unasked");
    Peer->set_option(asio::socket_base::linger(true, 0));
    Peer->close();
    asio::post(Loop->context(), [&] {
      Client->call(Server.address(), Order, 5s, storeTo(Given[1]));
      Loop->after(20ms, [&] { IsOver = true; });
    });
  });
  runUntil(*Loop, [&] { return IsOver; });
  STRCMP_EQUAL("first", Given[0].m_Body.c_str());
  CHECK_EQUAL(1, Given[1].m_Callbacks);
}

// Guards against a reply that can never arrive because it takes longer than the
// timeout of its call: over 10 Mbit/s a configuration of 1 MB took 1.2 s, and
// each call for it ended after 0.8 s.
TEST(HttpClient, AReplyThatAdvancesIsNotGivenUp) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int) {
    const std::string Part(20000, 'x');
    asio::write(S, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 100000"
                                "\r\n\r\n" +
                                Part));
    for (int N = 1; N < 5; ++N)
      Loop->after(200ms * N,
                  [&S, Part] { asio::write(S, asio::buffer(Part)); });
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer Given;
  Client->call(Server.address(), Order, 500ms, storeTo(Given),
               CallLimit::Progress);
  runUntil(*Loop, [&] { return Given.m_Callbacks > 0; });
  CHECK_EQUAL(100000u, Given.m_Body.size());
}

// Guards against a call that never ends because its reply began and stopped.
TEST(HttpClient, AReplyThatStopsIsGivenUp) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [](ScriptedServer::Socket &S, int) {
    asio::write(S, asio::buffer(std::string(
                       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")));
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer Given;
  Client->call(Server.address(), Order, 50ms, storeTo(Given),
               CallLimit::Progress);
  runUntil(*Loop, [&] { return Given.m_Callbacks > 0; });
  CHECK(Given.m_Failure == ErrorCode::Timeout);
  CHECK_EQUAL(0u, Client->openConnections());
}

// Guards against an answer to a caller who has gone because a reply of the
// store went on arriving.
TEST(HttpClient, ATimeoutOfTheWholeCallIsNotExtended) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int) {
    asio::write(S, asio::buffer(std::string(
                       "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n")));
    for (int N = 1; N < 30; ++N)
      Loop->after(20ms * N, [&S] {
        error_code Ignored;
        asio::write(S, asio::buffer(std::string("0123456789")), Ignored);
      });
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer Given;
  Client->call(Server.address(), Order, 200ms, storeTo(Given));
  runUntil(*Loop, [&] { return Given.m_Callbacks > 0; });
  CHECK(Given.m_Failure == ErrorCode::Timeout);
}

// A stopped process or a suspended machine goes on after the deadline of a call
// that connects; its socket is handled before its timer. Guards against an
// order that is sent then, seconds after it was decided.
TEST(HttpClient, ACallIsNotSentAfterItsDeadline) {
  auto Loop = EventLoop::create();
  int Requests = 0;
  ScriptedServer Server(*Loop,
                        [&](ScriptedServer::Socket &, int) { ++Requests; });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer Given;
  Client->call(Server.address(), Order, 30ms, storeTo(Given));
  passTime(*Loop, 50ms);
  bool IsOver = false;
  runUntil(*Loop, [&] {
    if (Given.m_Callbacks > 0)
      Loop->after(20ms, [&] { IsOver = true; });
    return IsOver;
  });
  CHECK(Given.m_Failure == ErrorCode::ConnectFailed);
  CHECK_EQUAL(0, Requests);
}

// The same for a call that waits for a connection, and for the calls after it.
TEST(HttpClient, AQueuedCallIsNotSentAfterItsDeadline) {
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int Number) {
    error_code Ignored;
    asio::write(S,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                             std::to_string(Number)),
                Ignored);
    if (Number == 1)
      passTime(*Loop, 200ms);
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  std::array<Answer, 3> Given;
  Client->call(Server.address(), Order, 5s, storeTo(Given[0]));
  Client->call(Server.address(), Order, 150ms, storeTo(Given[1]));
  Client->call(Server.address(), Order, 5s, storeTo(Given[2]));
  runUntil(*Loop, [&] {
    return Given[1].m_Callbacks > 0 && Given[2].m_Callbacks > 0;
  });
  STRCMP_EQUAL("1", Given[0].m_Body.c_str());
  CHECK(Given[1].m_Failure == ErrorCode::ResourceExhausted);
  STRCMP_EQUAL("2", Given[2].m_Body.c_str());
  CHECK_EQUAL(1, Given[1].m_Callbacks);
}

TEST_GROUP(CallDeadline){};

// Guards against a peer that holds a connection forever by sending a byte now
// and then.
TEST(CallDeadline, HasAnUpperLimit) {
  TimePoint Start{1000s};
  CallDeadline Deadline(Start, 800ms);
  CHECK(Deadline.at() == Start + 800ms);
  CHECK(Deadline.onProgress(Start + 100ms));
  CHECK(Deadline.at() == Start + 100ms + CallDeadline::StallTimeout);
  for (Duration After = 1s; After < 30s; After += 500ms)
    Deadline.onProgress(Start + After);
  CHECK(Deadline.at() == Start + CallDeadline::MaxCallTime);
}

// Guards against a long poll that is ended early by the first bytes of a reply.
TEST(CallDeadline, ProgressNeverShortensIt) {
  TimePoint Start{1000s};
  CallDeadline Deadline(Start, 5s);
  CHECK_FALSE(Deadline.onProgress(Start + 1s));
  CHECK(Deadline.at() == Start + 5s);
}
