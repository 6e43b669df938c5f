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
