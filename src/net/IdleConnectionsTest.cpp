//===- IdleConnectionsTest.cpp - Tests of connections left behind ---------===//

#include "net/testing/SilenceableServer.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;
using namespace pollenspool::testing;
namespace asio = boost::asio;

namespace {

ConnectionLimits limits(std::size_t PerPeer, Duration IdleTime) {
  ConnectionLimits Limits{PerPeer, PerPeer};
  Limits.m_IdleTime = IdleTime;
  return Limits;
}

} // namespace

TEST_GROUP(IdleConnections){};

// Guards against servers whose connections are used up by leaders that are lost
// for good, and by former leaders (LOST): each kept idle connections for ever.
TEST(IdleConnections, AreClosedAfterTheirTimeLimit) {
  auto Loop = EventLoop::create();
  SilenceableServer Server(*Loop);
  Server.answerTogether(4);
  auto Client = HttpClient::create(*Loop, "test", limits(4, 30ms));
  std::vector<Answer> All(4);
  for (Answer &A : All)
    Client->call(Server.address(), Order, 10s, storeTo(A));
  handleEventsUntil(*Loop, [&] { return Server.accepted() == 4; });
  handleEventsUntil(*Loop, [&] { return Client->openConnections() == 0; });
  CHECK_EQUAL(0U, Client->openConnections());
  CHECK_EQUAL(4U, Client->counters().m_Expired);
  handleEventsUntil(*Loop, [&] { return Server.open() == 0; });
  CHECK_EQUAL(0U, Server.open());
}

// Guards against a poll that a server holds being cut off, and against a timer
// that is not set again.
TEST(IdleConnections, ConnectionsInUseDoNotCountAsIdle) {
  auto Loop = EventLoop::create();
  SilenceableServer Server(*Loop);
  auto Client = HttpClient::create(*Loop, "test", limits(1, 20ms));
  for (std::size_t Calls = 1; Calls <= 3; ++Calls) {
    Server.answerTogether(2);
    Answer Held;
    Client->call(Server.address(), Order, 60ms, storeTo(Held));
    handleEventsUntil(*Loop, [&] { return Held.m_Callbacks == 1; });
    CHECK(Held.m_Failure == ErrorCode::Timeout);
    handleEventsUntil(*Loop, [&] { return Server.open() == 0; });
    CHECK_EQUAL(Calls - 1, Client->counters().m_Expired);
    Server.answerTogether(1);
    Answer Quick;
    Client->call(Server.address(), Order, 10s, storeTo(Quick));
    handleEventsUntil(*Loop, [&] { return Client->openConnections() == 0; });
    CHECK_FALSE(Quick.m_Failure.has_value());
    CHECK_EQUAL(Calls, Client->counters().m_Expired);
  }
}

// Guards against a server that has reached its limit of connections looking
// like one that has crashed.
TEST(IdleConnections, RefusedConnectionsAreCounted) {
  auto Loop = EventLoop::create();
  asio::ip::tcp::acceptor Acceptor(Loop->context(),
                                   {asio::ip::address_v4::loopback(), 0});
  asio::ip::tcp::socket Accepted(Loop->context());
  Acceptor.async_accept(Accepted, [&](const boost::system::error_code &) {
    Accepted.set_option(asio::socket_base::linger(true, 0));
    Accepted.close();
  });
  auto Client = HttpClient::create(*Loop, "test", limits(1, 10s));
  Answer Given;
  Client->call("127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port()),
               Order, 10s, storeTo(Given));
  handleEventsUntil(*Loop, [&] { return Given.m_Callbacks == 1; });
  CHECK(Given.m_Failure.has_value());
  CHECK_EQUAL(1U, Client->counters().m_Refused);
}
