//===- PeerFailureTest.cpp - Peers that break off or misbehave ------------===//
//
// Raw peers send frames by hand, so that each test fixes what the peer said
// before it went away.
//
//===----------------------------------------------------------------------===//

#include "peer/PeerTestSupport.h"
#include "peer/PeerTransport.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr auto Patience = 20000ms;

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

/// Status 200 and the call's number, as HPACK literals.
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

} // namespace

TEST_GROUP(PeerFailure) {
  RawListener m_Peer;
  EntryId m_Target;
  std::unique_ptr<PeerTransport> m_Client;

  void setup() override {
    PeerSettings Settings;
    Settings.m_Self = EntryId("client");
    Settings.m_Listen = "127.0.0.1:0";
    Settings.m_ConnectTimeout = 2000ms;
    Settings.m_MaxMessageBytes = std::size_t{64} << 20;
    m_Client = PeerTransport::create(Settings, {}).value();
    m_Target = EntryId(m_Peer.address());
  }

  void teardown() override { m_Client.reset(); }

  AsyncAnswer start(std::string Body) {
    return {*m_Client, m_Target, "/echo", std::move(Body), Patience};
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

TEST(PeerFailure, HalfAnAnswerIsConnectionLost) {
  AsyncAnswer Answer = start("");
  m_Peer.acceptAndRead(1);
  std::string Frames = settings() + answerFrames("1");
  m_Peer.send(Frames.substr(0, Frames.size() - 1));
  m_Peer.closeConnection();
  checkCode(ErrorCode::ConnectionLost, Answer);
}

TEST(PeerFailure, CallBehindABlockedWriteWasNotProcessed) {
  AsyncAnswer Long = start(std::string(std::size_t{48} << 20, 'x'));
  m_Peer.acceptAndRead(1);
  // Windows as large as they can be: only the socket's buffers hold back.
  m_Peer.send(
      frame(SettingsFrame, NoFlags, 0, number(4, 2) + number(0x7fffffff, 4)) +
      frame(WindowFrame, NoFlags, 0, number(0x7fff0000, 4)));
  waitUntilStable([&] { return m_Client->traffic().m_WireBytesOut; },
                  std::uint64_t{1} << 18);
  AsyncAnswer Behind = start("behind");
  AsyncAnswer Expired(*m_Client, m_Target, "/echo", "", 20ms);
  checkCode(ErrorCode::ConnectFailed, Expired);
  m_Peer.closeConnection();
  checkCode(ErrorCode::ConnectionLost, Long);
  checkCode(ErrorCode::ConnectFailed, Behind);
}
