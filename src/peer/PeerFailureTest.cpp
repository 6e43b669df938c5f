//===- PeerFailureTest.cpp - Tests of failing and misbehaving peers -------===//
//
// The peer is a plain socket that sends hand-written HTTP/2 frames, so that
// each test determines exactly what the client receives before the connection
// closes.
//
//===----------------------------------------------------------------------===//

#include "peer/PeerTestSupport.h"
#include "peer/PeerTransport.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr auto CallTimeout = 20000ms;

enum FrameType : char {
  DataFrame = 0,
  HeadersFrame = 1,
  ResetFrame = 3,
  SettingsFrame = 4,
  GoAwayFrame = 7,
  WindowFrame = 8
};

constexpr char NoFlags = 0;
constexpr char EndStream = 1;
constexpr char EndHeaders = 4;

std::string number(std::uint32_t Value, int Bytes) {
  std::string Text;
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Text += static_cast<char>((Value >> Shift) & 0xff);
  return Text;
}

std::string frame(FrameType Type, char Flags, std::uint32_t Stream,
                  const std::string &Payload) {
  return number(static_cast<std::uint32_t>(Payload.size()), 3) +
         static_cast<char>(Type) + Flags + number(Stream, 4) + Payload;
}

/// An answer with status 200 and \p CallNumber, encoded as HPACK literals.
std::string answerFrames(const std::string &CallNumber) {
  std::string Name = "pollenspool-call";
  std::string Headers = "\x88";
  Headers += '\0';
  Headers += static_cast<char>(Name.size()) + Name;
  Headers += static_cast<char>(CallNumber.size()) + CallNumber;
  return frame(HeadersFrame, EndHeaders, 1, Headers) +
         frame(DataFrame, EndStream, 1, "body");
}

std::string settings() { return frame(SettingsFrame, NoFlags, 0, ""); }

std::uint32_t readNumber(const std::string &Text, std::size_t At, int Bytes) {
  std::uint32_t Value = 0;
  for (int I = 0; I < Bytes; ++I)
    Value = Value << 8 | static_cast<unsigned char>(Text[At + I]);
  return Value;
}

/// Returns the stream IDs of the requests that follow the connection preface.
std::vector<std::uint32_t> requestStreams(const std::string &Received) {
  constexpr std::size_t PrefaceBytes = 24;
  constexpr std::size_t FrameHeaderBytes = 9;
  std::vector<std::uint32_t> Streams;
  for (std::size_t At = PrefaceBytes; At + FrameHeaderBytes <= Received.size();
       At += FrameHeaderBytes + readNumber(Received, At, 3))
    if (Received[At + 3] == HeadersFrame)
      Streams.push_back(readNumber(Received, At + 5, 4));
  return Streams;
}

} // namespace

TEST_GROUP(PeerFailure) {
  RawListener m_Peer;
  EntryId m_Target;
  std::unique_ptr<PeerTransport> m_Client;

  void setup() override { startClient(2000ms); }

  void startClient(std::chrono::milliseconds ConnectTimeout) {
    PeerSettings Settings;
    Settings.m_Self = EntryId("client");
    Settings.m_Listen = "127.0.0.1:0";
    Settings.m_ConnectTimeout = ConnectTimeout;
    Settings.m_MaxMessageBytes = std::size_t{64} << 20;
    m_Client = PeerTransport::create(Settings, {}).value();
    m_Target = EntryId(m_Peer.address());
  }

  void teardown() override { m_Client.reset(); }

  /// Starts a call that fills the socket buffers, since the peer does not read.
  AsyncAnswer startBlocked() {
    AsyncAnswer Long = start(std::string(std::size_t{48} << 20, 'x'));
    m_Peer.acceptAndRead(1);
    // The largest HTTP/2 windows, so that only the socket buffers limit writes.
    m_Peer.send(
        frame(SettingsFrame, NoFlags, 0, number(4, 2) + number(0x7fffffff, 4)) +
        frame(WindowFrame, NoFlags, 0, number(0x7fff0000, 4)));
    waitUntilStable([&] { return m_Client->traffic().m_WireBytesOut; },
                    std::uint64_t{1} << 18);
    return Long;
  }

  AsyncAnswer start(std::string Body) {
    return {*m_Client, m_Target, "/echo", std::move(Body), CallTimeout};
  }

  void checkCode(ErrorCode Expected, AsyncAnswer & Answer) {
    Result<std::string> Value = Answer.get();
    CHECK_FALSE(Value.has_value());
    STRCMP_EQUAL(std::string(errorMessage(Expected)).c_str(),
                 std::string(errorMessage(Value.error().m_Code)).c_str());
  }
};

TEST(PeerFailure, AnswerWithTheCallsNumberIsTaken) {
  AsyncAnswer Answer = start("");
  m_Peer.acceptAndRead(1);
  m_Peer.send(settings() + answerFrames("1"));
  STRCMP_EQUAL("body", Answer.get().value().c_str());
}

TEST(PeerFailure, AnswerWithAnotherNumberClosesTheConnection) {
  AsyncAnswer Answer = start("");
  m_Peer.acceptAndRead(1);
  m_Peer.send(settings() + answerFrames("2"));
  checkCode(ErrorCode::ConnectionLost, Answer);
  LONGS_EQUAL(1, m_Client->traffic().m_MismatchedAnswers);
  CHECK(m_Peer.readUntilClosed());
}

TEST(PeerFailure, StreamAboveTheGoAwayWasNotProcessed) {
  AsyncAnswer Answer = start("");
  m_Peer.acceptAndRead(1);
  m_Peer.send(settings() +
              frame(GoAwayFrame, NoFlags, 0, number(0, 4) + number(0, 4)));
  m_Peer.closeConnection();
  checkCode(ErrorCode::Refused, Answer);
}

TEST(PeerFailure, StreamBelowTheGoAwayMayHaveBeenProcessed) {
  AsyncAnswer Answer = start("");
  m_Peer.acceptAndRead(1);
  m_Peer.send(settings() +
              frame(GoAwayFrame, NoFlags, 0, number(1, 4) + number(0, 4)));
  m_Peer.closeConnection();
  checkCode(ErrorCode::ConnectionLost, Answer);
}

TEST(PeerFailure, RefusedStreamWasNotProcessed) {
  AsyncAnswer Answer = start("");
  m_Peer.acceptAndRead(1);
  m_Peer.send(settings() + frame(ResetFrame, NoFlags, 1, number(7, 4)));
  checkCode(ErrorCode::Refused, Answer);
}

TEST(PeerFailure, OtherResetMayHaveBeenProcessed) {
  AsyncAnswer Answer = start("");
  m_Peer.acceptAndRead(1);
  m_Peer.send(settings() + frame(ResetFrame, NoFlags, 1, number(8, 4)));
  checkCode(ErrorCode::Internal, Answer);
}

TEST(PeerFailure, TruncatedAnswerIsConnectionLost) {
  AsyncAnswer Answer = start("");
  m_Peer.acceptAndRead(1);
  std::string Frames = settings() + answerFrames("1");
  m_Peer.send(Frames.substr(0, Frames.size() - 1));
  m_Peer.closeConnection();
  checkCode(ErrorCode::ConnectionLost, Answer);
}

TEST(PeerFailure, CallBehindABlockedWriteWasNotProcessed) {
  AsyncAnswer Long = startBlocked();
  AsyncAnswer Behind = start("behind");
  waitUntil([&] { return m_Client->traffic().m_Paths[0].m_MessagesOut == 2; });
  m_Peer.closeConnection();
  checkCode(ErrorCode::ConnectionLost, Long);
  checkCode(ErrorCode::ConnectFailed, Behind);
}

TEST(PeerFailure, ConnectThatHangsIsConnectFailed) {
  startClient(50ms);
  m_Peer.stopAccepting();
  AsyncAnswer Answer = start("");
  checkCode(ErrorCode::ConnectFailed, Answer);
  STRCMP_CONTAINS("connect timed out", Answer.get().error().m_Detail.c_str());
}

TEST(PeerFailure, StopEndsCallsThatWaitToConnect) {
  startClient(CallTimeout);
  m_Peer.stopAccepting();
  AsyncAnswer Answer = start("");
  waitUntil([&] { return !m_Client->traffic().m_Paths.empty(); });
  m_Client->stop();
  checkCode(ErrorCode::ShuttingDown, Answer);
}

TEST(PeerFailure, TimedOutUnsentCallIsNeverSent) {
  AsyncAnswer Long = startBlocked();
  AsyncAnswer TimedOut(*m_Client, m_Target, "/echo", "", 20ms);
  checkCode(ErrorCode::ConnectFailed, TimedOut);
  AsyncAnswer Next = start("next");
  while (requestStreams(m_Peer.received()).size() < 2)
    m_Peer.readSome();
  // Stream 3 belonged to the call that timed out.
  LONGS_EQUAL(1, requestStreams(m_Peer.received())[0]);
  LONGS_EQUAL(5, requestStreams(m_Peer.received())[1]);
}
