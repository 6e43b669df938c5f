//===- HttpReplyLimitsTest.cpp - Tests of HttpClient with hostile peers ---===//

#include "net/testing/ScriptedServer.h"
#include <CppUTest/TestHarness.h>
#include <memory>

using namespace pollenspool;
using namespace std::chrono_literals;
using namespace pollenspool::testing;
namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Sends \p Start and then \p Part again and again until the peer closes or
/// \p MaxBytes are sent.
class Flood {
public:
  Flood(ScriptedServer::Socket &To, const std::string &Start, std::string Part,
        std::size_t MaxBytes)
      : m_To(To), m_Part(std::move(Part)), m_MaxBytes(MaxBytes) {
    asio::write(m_To, asio::buffer(Start));
    sendPart();
  }

  std::size_t sent() const { return m_Sent; }

private:
  void sendPart() {
    asio::async_write(m_To, asio::buffer(m_Part),
                      [this](const error_code &Failed, std::size_t Bytes) {
                        m_Sent += Bytes;
                        if (!Failed && m_Sent < m_MaxBytes)
                          sendPart();
                      });
  }

  ScriptedServer::Socket &m_To;
  std::string m_Part;
  std::size_t m_MaxBytes;
  std::size_t m_Sent = 0;
};

/// How a peer sends without end.
struct EndlessReply {
  const char *m_What;
  std::string m_Start;
  std::string m_Part;
};

const std::string Chunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// More than any limit and more than sockets buffer.
constexpr std::size_t FloodBytes = 128u << 20;
/// More than a client may read of one reply and than sockets buffer.
constexpr std::size_t MaxSentBytes = 48u << 20;

std::string repeated(const std::string &Text) {
  std::string Out;
  while (Out.size() < 64 * 1024)
    Out += Text;
  return Out;
}

std::vector<EndlessReply> endlessReplies() {
  return {
      {"trailers", Chunked + "2\r\n{}\r\n0\r\n", repeated("X-More: 0123\r\n")},
      {"one trailer", Chunked + "2\r\n{}\r\n0\r\nX-More: ", repeated("x")},
      {"chunk extension", Chunked + "2;more=", repeated("x")},
      {"chunk extension after a chunk",
       Chunked + "2\r\n{}\r\n2;more=", repeated("x")},
      {"chunk extensions", Chunked,
       repeated("1;more=" + std::string(2000, 'x') + "\r\n \r\n")},
      {"chunks of one byte", Chunked, repeated("1\r\n \r\n")},
      {"header", "HTTP/1.1 200 OK\r\n", repeated("X-More: 0123\r\n")},
      {"one header", "HTTP/1.1 200 OK\r\nX-More: ", repeated("x")},
      {"status line", "HTTP/1.1 200 ", repeated("x")},
      {"body", "HTTP/1.1 200 OK\r\n\r\n", repeated("x")},
  };
}

} // namespace

TEST_GROUP(HttpReplyLimits){};

// Guards against a peer that takes the memory of the process, or all of its
// time, by a reply of which one part has no end (issue 52).
TEST(HttpReplyLimits, AReplyWithoutEndIsGivenUp) {
  std::string Faults;
  for (const EndlessReply &Case : endlessReplies()) {
    auto Loop = EventLoop::create();
    std::unique_ptr<Flood> Sender;
    ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int) {
      Sender =
          std::make_unique<Flood>(S, Case.m_Start, Case.m_Part, FloodBytes);
    });
    auto Client = HttpClient::create(*Loop, "test", {1, 1});
    Answer Given;
    Client->call(Server.address(), Order, 5s, storeTo(Given),
                 CallLimit::Progress);
    runUntil(*Loop, [&] { return Given.m_Callbacks > 0; });
    if (Given.m_Failure != ErrorCode::InvalidMessage)
      Faults += std::string(Case.m_What) + ": another end; ";
    if (Sender->sent() >= MaxSentBytes)
      Faults += std::string(Case.m_What) + ": too much was read; ";
    if (Client->openConnections() != 0)
      Faults += std::string(Case.m_What) + ": the connection is open; ";
  }
  STRCMP_EQUAL("", Faults.c_str());
}

// Guards against a body whose parts are lost or change their order because its
// length was not announced.
TEST(HttpReplyLimits, ReadsALargeBodyInChunks) {
  std::string Body;
  for (int N = 0; Body.size() < 200 * 1024; ++N)
    Body += std::to_string(N) + ' ';
  std::string Sent = Chunked;
  constexpr std::size_t ChunkSize = 0x5ffb;
  for (std::size_t At = 0; At < Body.size(); At += ChunkSize) {
    std::string Chunk = Body.substr(At, ChunkSize);
    std::array<char, 16> Size{};
    std::snprintf(Size.data(), Size.size(), "%zx\r\n", Chunk.size());
    Sent += Size.data() + Chunk + "\r\n";
  }
  Sent += "0\r\nX-Trailer: 1\r\n\r\n";
  auto Loop = EventLoop::create();
  std::unique_ptr<Flood> Sender;
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int) {
    Sender = std::make_unique<Flood>(S, Sent.substr(0, 1), Sent.substr(1), 1);
  });
  auto Client = HttpClient::create(*Loop, "test", {1, 1});
  Answer Given;
  Client->call(Server.address(), Order, 5s, storeTo(Given));
  runUntil(*Loop, [&] { return Given.m_Callbacks > 0; });
  CHECK(Given.m_Body == Body);
  CHECK_EQUAL(1u, Client->openConnections());
}

// Guards against many large replies that together take the memory of the
// process though none is too long, against a small reply that is given up
// because of them, and against a count that keeps what has ended.
TEST(HttpReplyLimits, TheRepliesThatArriveHaveALimitTogether) {
  constexpr std::size_t Part = 64 * 1024;
  constexpr int LargeReplies = 8;
  constexpr int Allowed = 3;
  auto Loop = EventLoop::create();
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int Number) {
    if (Number == LargeReplies + 1)
      return reply(S, "small");
    // Its last byte never comes.
    asio::write(S, asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                std::to_string(Part + 1) + "\r\n\r\n" +
                                std::string(Part, 'x')));
  });
  ConnectionLimits Limits{LargeReplies + 1, LargeReplies + 1};
  Limits.m_ArrivingBytes = Allowed * Part + Part / 2;
  auto Client = HttpClient::create(*Loop, "test", Limits);
  int Rejected = 0;
  int TimedOut = 0;
  Answer Small;
  auto CallLarge = [&](const std::function<void()> &Then) {
    Client->call(
        Server.address(), Order, 1s, [&, Then](const Result<HttpReply> &Reply) {
          Rejected += Reply.error().m_Code == ErrorCode::InvalidMessage;
          TimedOut += Reply.error().m_Code == ErrorCode::Timeout;
          Then();
        });
  };
  auto OnFirstEnd = [&] {
    if (Rejected == LargeReplies - Allowed && Small.m_Callbacks == 0)
      Client->call(Server.address(), Order, 1s, storeTo(Small));
    if (TimedOut == Allowed)
      for (int N = 0; N < Allowed; ++N)
        CallLarge([] {});
  };
  for (int N = 0; N < LargeReplies; ++N)
    CallLarge(OnFirstEnd);
  runUntil(*Loop, [&] { return TimedOut == 2 * Allowed; });
  CHECK_EQUAL(LargeReplies - Allowed, Rejected);
  CHECK_EQUAL(2 * Allowed, TimedOut);
  STRCMP_EQUAL("small", Small.m_Body.c_str());
}
