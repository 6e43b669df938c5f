//===- SilentConnectionsTest.cpp - Tests of connections that fall silent --===//

#include "net/testing/SilenceableServer.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;
using namespace pollenspool::testing;

namespace {

/// A client with idle connections to a server.
struct IdleConnections {
  std::unique_ptr<EventLoop> m_Loop = EventLoop::create();
  SilenceableServer m_Server{*m_Loop};
  std::unique_ptr<HttpClient> m_Client;

  explicit IdleConnections(std::size_t Count)
      : m_Client(HttpClient::create(*m_Loop, "test", {Count, Count})) {
    m_Server.answerTogether(Count);
    std::vector<Answer> All(Count);
    for (Answer &A : All)
      call(A, 10s);
    handleEventsUntil(*m_Loop, [&] {
      return std::all_of(All.begin(), All.end(),
                         [](const Answer &A) { return A.m_Callbacks == 1; });
    });
    m_Server.answerTogether(1);
  }

  void call(Answer &To, Duration Timeout) {
    m_Client->call(m_Server.address(), Order, Timeout, storeTo(To));
  }
  /// Makes a call and waits for its end.
  Answer callAndWait(Duration Timeout) {
    Answer A;
    call(A, Timeout);
    handleEventsUntil(*m_Loop, [&] { return A.m_Callbacks == 1; });
    return A;
  }
};

} // namespace

TEST_GROUP(SilentConnections){};

// Guards against leases that lapse because each idle connection to a server is
// found to be silent by a timeout of its own (AVAIL), and against the same for
// the store, to which a client has up to 64 of them.
TEST(SilentConnections, OneTimeoutIsEnoughForAllIdleConnections) {
  for (std::size_t Count : {2U, 6U, 64U}) {
    IdleConnections W(Count);
    CHECK_EQUAL(Count, W.m_Client->openConnections());
    W.m_Server.silenceOpenConnections();
    CHECK(W.callAndWait(50ms).m_Failure == ErrorCode::Timeout);
    CHECK_EQUAL(0U, W.m_Client->openConnections());
    CHECK_EQUAL(Count - 1, W.m_Client->counters().m_Unproven);
    Answer Second = W.callAndWait(10s);
    CHECK_FALSE(Second.m_Failure.has_value());
    CHECK_EQUAL(Count + 1, W.m_Server.accepted());
  }
}

// Guards against descriptors that stay open on the side of the peer.
TEST(SilentConnections, ThePeerSeesTheIdleConnectionsClosed) {
  IdleConnections W(4);
  W.m_Server.silenceOpenConnections();
  W.callAndWait(20ms);
  handleEventsUntil(*W.m_Loop, [&] { return W.m_Server.open() == 0; });
  CHECK_EQUAL(0U, W.m_Server.open());
}

// Guards against a server that is only slow to answer one call and loses the
// connections that work.
TEST(SilentConnections, AConnectionWithALaterReplyIsKept) {
  auto Loop = EventLoop::create();
  // The first request of all is never answered.
  ScriptedServer Server(*Loop, [](ScriptedServer::Socket &S, int Number) {
    if (Number > 1)
      reply(S, "ok");
  });
  auto Client = HttpClient::create(*Loop, "test", {2, 2});
  Answer Slow;
  Client->call(Server.address(), Order, 100ms, storeTo(Slow));
  handleEventsUntil(*Loop, [&] { return Server.requests() == 1; });
  Answer Quick;
  Client->call(Server.address(), Order, 10s, storeTo(Quick));
  handleEventsUntil(*Loop, [&] { return Slow.m_Callbacks == 1; });
  CHECK_EQUAL(1, Quick.m_Callbacks);
  CHECK(Slow.m_Failure == ErrorCode::Timeout);
  CHECK_EQUAL(1U, Client->openConnections());
  CHECK_EQUAL(0U, Client->counters().m_Unproven);
}

// Guards against orders that count as unanswered because another one to their
// server has timed out.
TEST(SilentConnections, CallsUnderWayGoOn) {
  auto Loop = EventLoop::create();
  ScriptedServer::Socket *Second = nullptr;
  ScriptedServer Server(*Loop, [&](ScriptedServer::Socket &S, int Number) {
    if (Number == 2)
      Second = &S;
  });
  auto Client = HttpClient::create(*Loop, "test", {2, 2});
  Answer Short;
  Answer Long;
  Client->call(Server.address(), Order, 30ms, storeTo(Short));
  Client->call(Server.address(), Order, 10s, storeTo(Long));
  handleEventsUntil(*Loop, [&] { return Short.m_Callbacks == 1 && Second; });
  CHECK_EQUAL(0, Long.m_Callbacks);
  reply(*Second, "late");
  handleEventsUntil(*Loop, [&] { return Long.m_Callbacks == 1; });
  STRCMP_EQUAL("late", Long.m_Body.c_str());
}

// Guards against calls that follow one another into a second silence.
TEST(SilentConnections, EachSilenceCostsOneTimeout) {
  IdleConnections W(3);
  for (int N = 0; N < 3; ++N) {
    W.m_Server.silenceOpenConnections();
    CHECK(W.callAndWait(30ms).m_Failure == ErrorCode::Timeout);
    CHECK_FALSE(W.callAndWait(10s).m_Failure.has_value());
  }
  CHECK_EQUAL(3U, W.m_Client->counters().m_Timeouts);
}
