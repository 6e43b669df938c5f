//===- PeerTransportTest.cpp - Tests of calls and their errors ------------===//

#include "peer/PeerTransport.h"
#include "peer/PeerTestSupport.h"
#include <CppUTest/TestHarness.h>
#include <atomic>
#include <thread>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr auto CallTimeout = 20000ms;

Result<std::string> echo(const PeerCall &Call) {
  return Call.m_From.m_Text + " " + Call.m_Body;
}

} // namespace

TEST_GROUP(PeerTransport) {
  HandlerLatch m_HandlerLatch;
  std::atomic<int> m_Runs{0};
  std::unique_ptr<PeerTransport> m_Server;
  std::unique_ptr<PeerTransport> m_Client;
  EntryId m_Target;

  PeerSettings settings(const char *Name) {
    PeerSettings Settings;
    Settings.m_Self = EntryId(Name);
    Settings.m_Listen = "127.0.0.1:0";
    Settings.m_ConnectTimeout = 2000ms;
    Settings.m_Timing.m_MaxBackoff = 50ms;
    return Settings;
  }

  void start(PeerSettings ServerSettings) {
    PeerHandler Held = [this](const PeerCall &Call) -> Result<std::string> {
      ++m_Runs;
      m_HandlerLatch.wait();
      return Call.m_Body;
    };
    PeerHandler Failing = [](const PeerCall &) -> Result<std::string> {
      return makeError(ErrorCode::Conflict, "claim", "", "held by\nanother");
    };
    PeerHandler Long = [](const PeerCall &) -> Result<std::string> {
      return std::string(3 << 20, 'x');
    };
    m_Server = PeerTransport::create(ServerSettings, {{"/echo", echo},
                                                      {"/held", Held},
                                                      {"/long", Long},
                                                      {"/fails", Failing}})
                   .value();
    m_Client = PeerTransport::create(settings("client"), {}).value();
    m_Target = EntryId(m_Server->listenAddress());
  }

  void setup() override { start(settings("server")); }

  void teardown() override {
    m_HandlerLatch.open();
    m_Client.reset();
    m_Server.reset();
  }

  ErrorCode codeOf(const Result<std::string> &Answer) {
    CHECK_FALSE(Answer.has_value());
    return Answer.error().m_Code;
  }

  void checkCode(ErrorCode Expected, const Result<std::string> &Answer) {
    STRCMP_EQUAL(std::string(errorMessage(Expected)).c_str(),
                 std::string(errorMessage(codeOf(Answer))).c_str());
  }

  /// Starts a call and waits until its handler runs.
  AsyncAnswer startHeld(std::string Body,
                        std::chrono::milliseconds Timeout = CallTimeout) {
    int Before = m_Runs;
    AsyncAnswer Answer(*m_Client, m_Target, "/held", std::move(Body), Timeout);
    waitUntil([&] { return m_Runs > Before; });
    return Answer;
  }

  /// Repeats a call until the transport has reconnected after a failure.
  Result<std::string> callWhenBack(const char *Path, const char *Body) {
    Result<std::string> Answer =
        m_Client->call(m_Target, Path, Body, CallTimeout);
    waitUntil([&] {
      if (!Answer.has_value())
        Answer = m_Client->call(m_Target, Path, Body, CallTimeout);
      return Answer.has_value();
    });
    return Answer;
  }
};

TEST(PeerTransport, EchoNamesTheCaller) {
  Result<std::string> Answer =
      m_Client->call(m_Target, "/echo", "hi", CallTimeout);
  STRCMP_EQUAL("client hi", Answer.value().c_str());
  Answer = m_Client->call(m_Target, "/echo", "", CallTimeout);
  STRCMP_EQUAL("client ", Answer.value().c_str());
}

TEST(PeerTransport, ConcurrentCallsGetTheirOwnAnswers) {
  constexpr int Threads = 16;
  constexpr int CallsPerThread = 63;
  std::atomic<int> Right{0};
  // Body sizes from a few bytes to several frames.
  auto BodyOf = [](int T, int I) {
    return std::to_string(T * CallsPerThread + I) +
           std::string((I % 7) * 9000, 'b');
  };
  std::vector<std::thread> Callers;
  for (int T = 0; T < Threads; ++T)
    Callers.emplace_back([&, T] {
      std::vector<AsyncAnswer> Answers;
      for (int I = 0; I < CallsPerThread; ++I)
        Answers.emplace_back(*m_Client, m_Target, "/echo", BodyOf(T, I),
                             CallTimeout);
      for (int I = 0; I < CallsPerThread; ++I) {
        Result<std::string> Answer = Answers[I].get();
        if (Answer && Answer.value() == "client " + BodyOf(T, I))
          ++Right;
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  LONGS_EQUAL(Threads * CallsPerThread, Right);
}

TEST(PeerTransport, RefusedConnectIsConnectFailed) {
  m_Server.reset();
  checkCode(ErrorCode::ConnectFailed,
            m_Client->call(m_Target, "/echo", "", CallTimeout));
  CHECK(m_Client->traffic().m_ConnectFailures > 0);
}

TEST(PeerTransport, BadAddressIsInvalidArgument) {
  checkCode(ErrorCode::InvalidArgument,
            m_Client->call(EntryId("howrah:1"), "/echo", "", CallTimeout));
}

TEST(PeerTransport, UnknownPathIsNotFound) {
  checkCode(ErrorCode::NotFound,
            m_Client->call(m_Target, "/no", "", CallTimeout));
}

TEST(PeerTransport, HandlerErrorKeepsCodeStepAndDetail) {
  Result<std::string> Answer =
      m_Client->call(m_Target, "/fails", "", CallTimeout);
  checkCode(ErrorCode::Conflict, Answer);
  STRCMP_EQUAL("claim", Answer.error().m_Step.c_str());
  STRCMP_EQUAL("held by\nanother", Answer.error().m_Detail.c_str());
  STRCMP_EQUAL(m_Target.m_Text.c_str(), Answer.error().m_Peer.c_str());
}

TEST(PeerTransport, PeerClosingMidCallIsConnectionLost) {
  RawListener Closing;
  AsyncAnswer Answer(*m_Client, EntryId(Closing.address()), "/echo", "b",
                     CallTimeout);
  Closing.acceptAndRead(1);
  Closing.closeConnection();
  checkCode(ErrorCode::ConnectionLost, Answer.get());
}

TEST(PeerTransport, TimeoutDropsTheLateAnswerOnly) {
  AsyncAnswer Late = startHeld("late", 50ms);
  checkCode(ErrorCode::Timeout, Late.get());
  // The server has received the reset before the handler returns.
  waitUntil([&] { return m_Server->inFlight() == 0; });
  m_HandlerLatch.open();
  waitUntil([&] { return m_Server->traffic().m_LateAnswers == 1; });
  STRCMP_EQUAL(
      "next",
      m_Client->call(m_Target, "/held", "next", CallTimeout).value().c_str());
}

TEST(PeerTransport, TimeoutBeforeTheConnectionOpensIsNotRun) {
  checkCode(ErrorCode::ConnectFailed,
            m_Client->call(m_Target, "/echo", "", 0ms));
}

TEST(PeerTransport, DrainFinishesCallsInFlightAndRefusesNewOnes) {
  AsyncAnswer Running = startHeld("kept");
  m_Server->drain();
  LONGS_EQUAL(1, m_Server->inFlight());
  // Refused if the client has not received the GOAWAY yet, else ConnectFailed.
  ErrorCode Code = codeOf(m_Client->call(m_Target, "/echo", "", CallTimeout));
  CHECK(Code == ErrorCode::Refused || Code == ErrorCode::ConnectFailed);
  auto NewClient = PeerTransport::create(settings("newcomer"), {}).value();
  checkCode(ErrorCode::Refused,
            NewClient->call(m_Target, "/echo", "", CallTimeout));
  m_HandlerLatch.open();
  STRCMP_EQUAL("kept", Running.get().value().c_str());
  waitUntil([&] { return m_Server->inFlight() == 0; });
}

TEST(PeerTransport, DrainingTransportStillCalls) {
  m_Client->drain();
  CHECK(m_Client->call(m_Target, "/echo", "", CallTimeout).has_value());
}

TEST(PeerTransport, FullQueueRefusesAndNothingRuns) {
  m_Client.reset();
  m_Server.reset();
  PeerSettings Small = settings("server");
  Small.m_Workers = 1;
  Small.m_MaxPendingCalls = 1;
  start(Small);
  AsyncAnswer Running = startHeld("running");
  AsyncAnswer Waiting(*m_Client, m_Target, "/held", "waiting", CallTimeout);
  waitUntil([&] { return m_Server->inFlight() == 2; });
  checkCode(ErrorCode::Refused,
            m_Client->call(m_Target, "/held", "", CallTimeout));
  LONGS_EQUAL(1, m_Server->traffic().m_RefusedCalls);
  m_HandlerLatch.open();
  STRCMP_EQUAL("running", Running.get().value().c_str());
  STRCMP_EQUAL("waiting", Waiting.get().value().c_str());
  LONGS_EQUAL(2, m_Runs);
}

TEST(PeerTransport, TimedOutQueuedCallNeverRuns) {
  m_Client.reset();
  m_Server.reset();
  PeerSettings Small = settings("server");
  Small.m_Workers = 1;
  start(Small);
  AsyncAnswer Running = startHeld("running");
  AsyncAnswer TimedOut(*m_Client, m_Target, "/held", "given up", 50ms);
  checkCode(ErrorCode::Timeout, TimedOut.get());
  waitUntil([&] { return m_Server->inFlight() == 1; });
  m_HandlerLatch.open();
  CHECK(Running.get().has_value());
  CHECK(m_Client->call(m_Target, "/held", "next", CallTimeout).has_value());
  LONGS_EQUAL(2, m_Runs);
}

TEST(PeerTransport, OversizedMessagesAreRefusedBothWays) {
  m_Client.reset();
  m_Server.reset();
  PeerSettings Small = settings("server");
  Small.m_MaxMessageBytes = 1000;
  start(Small);
  auto Received =
      m_Client->call(m_Target, "/echo", std::string(5000, 'a'), CallTimeout);
  checkCode(ErrorCode::Refused, Received);
  STRCMP_CONTAINS("1000 bytes", Received.error().m_Detail.c_str());
  checkCode(ErrorCode::InvalidMessage,
            m_Client->call(m_Target, "/long", "", CallTimeout));
  checkCode(ErrorCode::InvalidArgument,
            m_Client->call(m_Target, "/echo", std::string(5 << 20, 'a'),
                           CallTimeout));
  CHECK(m_Client->call(m_Target, "/echo", "", CallTimeout).has_value());
}

TEST(PeerTransport, InvalidPrefaceClosesOnlyItsConnection) {
  AsyncAnswer Running = startHeld("kept");
  RawClient Garbage(m_Target.m_Text);
  Garbage.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  CHECK(Garbage.readUntilClosed());
  m_HandlerLatch.open();
  STRCMP_EQUAL("kept", Running.get().value().c_str());
  LONGS_EQUAL(1, m_Server->traffic().m_ProtocolErrors);
}

TEST(PeerTransport, UnresponsivePeerIsClosedByPing) {
  m_Client.reset();
  PeerSettings Quick = settings("client");
  Quick.m_Timing.m_BusyPingInterval = 50ms;
  Quick.m_Timing.m_PingTimeout = 50ms;
  m_Client = PeerTransport::create(Quick, {}).value();
  RawListener Unresponsive;
  AsyncAnswer Answer(*m_Client, EntryId(Unresponsive.address()), "/echo", "",
                     CallTimeout);
  Unresponsive.acceptAndRead(1);
  checkCode(ErrorCode::ConnectionLost, Answer.get());
  LONGS_EQUAL(1, m_Client->traffic().m_DeadPeers);
}

TEST(PeerTransport, ReconnectsToARestartedPeer) {
  CHECK(m_Client->call(m_Target, "/echo", "", CallTimeout).has_value());
  PeerSettings Again = settings("server");
  Again.m_Listen = m_Server->listenAddress();
  m_Server.reset();
  m_Server = PeerTransport::create(Again, {{"/echo", echo}}).value();
  STRCMP_EQUAL("client back", callWhenBack("/echo", "back").value().c_str());
}

TEST(PeerTransport, StopEndsEveryCall) {
  AsyncAnswer Running = startHeld("running");
  std::thread Opener([&] {
    waitUntil([&] { return Running.isDone(); });
    m_HandlerLatch.open();
  });
  m_Client->stop();
  checkCode(ErrorCode::ConnectionLost, Running.get());
  checkCode(ErrorCode::ShuttingDown,
            m_Client->call(m_Target, "/echo", "", CallTimeout));
  Opener.join();
}

TEST(PeerTransport, CountsTrafficByPathGroup) {
  CHECK(m_Client->call(m_Target, "/echo", "12345", CallTimeout).has_value());
  PeerTraffic Traffic = m_Server->traffic();
  LONGS_EQUAL(1, Traffic.m_Paths.size());
  const PathTraffic &Echo = Traffic.m_Paths.front();
  STRCMP_EQUAL("echo", Echo.m_Group.c_str());
  LONGS_EQUAL(1, Echo.m_MessagesIn);
  LONGS_EQUAL(1, Echo.m_MessagesOut);
  CHECK(Echo.m_BytesIn > 5);
  CHECK(Traffic.m_WireBytesIn > Echo.m_BytesIn);
}

TEST(PeerTransport, TakenAddressFailsToStart) {
  PeerSettings Taken = settings("second");
  Taken.m_Listen = m_Server->listenAddress();
  Result<std::unique_ptr<PeerTransport>> Second =
      PeerTransport::create(Taken, {});
  CHECK_FALSE(Second.has_value());
  CHECK(Second.error().m_Code == ErrorCode::Unavailable);
}
