//===- HttpClientTest.cpp - Tests of HttpClient ---------------------------===//

#include "net/HttpClient.h"
#include "net/EventLoop.h"
#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

using namespace pollenspool;
using namespace std::chrono_literals;
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
