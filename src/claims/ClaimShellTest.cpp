//===- ClaimShellTest.cpp - Tests of the claim shell ----------------------===//

#include "claims/ClaimShell.h"
#include "claims/ClaimRow.h"
#include "platform/testing/FakePlatform.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

struct NoPeers : PeerSender {
  void callAsync(const EntryId &Peer, const std::string &, std::string,
                 std::chrono::milliseconds, PeerCallback Callback) override {
    Callback(makeError(ErrorCode::ConnectFailed, "call", Peer.m_Text));
  }
};

ClaimSettings alone() {
  ClaimSettings Settings;
  Settings.m_Self = EntryId("127.0.0.1:1");
  Settings.m_Entries = {{Settings.m_Self, DataCentreName("howrah")}};
  Settings.m_Nonce = 5;
  return Settings;
}

} // namespace

TEST_GROUP(ClaimShell) {
  FakePlatform m_Table;
  NoPeers m_Peers;
  std::unique_ptr<ClaimShell> m_Shell;
  RequestId m_Key{"swap-1"};

  void setup() override {
    m_Shell = std::move(ClaimShell::create(alone(), m_Table, m_Peers).value());
  }
  void teardown() override { m_Shell.reset(); }
};

TEST(ClaimShell, GrantsAKeyOnce) {
  CHECK(m_Shell->claim(m_Key, 5s).m_Verdict == ClaimVerdict::Granted);
  ClaimReply Second = m_Shell->claim(m_Key, 5s);
  CHECK(Second.m_Verdict == ClaimVerdict::Denied);
  CHECK(Second.m_Reason != Reason::None);
  LONGS_EQUAL(1, m_Shell->stats().m_Granted);
}

TEST(ClaimShell, LostReplyStillGrants) {
  m_Table.loseReplies(1);
  CHECK(m_Shell->claim(m_Key, 5s).m_Verdict == ClaimVerdict::Granted);
}

TEST(ClaimShell, RepeatsTheRecordedAnswer) {
  ClaimReply First = m_Shell->claim(m_Key, 5s);
  m_Shell->complete(m_Key, First.m_Token, Answer{200, {}, "done"});
  ClaimReply Second = m_Shell->claim(m_Key, 5s);
  CHECK(Second.m_Verdict == ClaimVerdict::Recorded);
  STRCMP_EQUAL("done", Second.m_Answer.m_Body.c_str());
}

TEST(ClaimShell, RefusesWithoutPlatformWhenItCannotVouch) {
  m_Table.setOutage(true);
  ClaimReply Reply = m_Shell->claim(m_Key, 5s);
  CHECK(Reply.m_Verdict == ClaimVerdict::Denied);
}
