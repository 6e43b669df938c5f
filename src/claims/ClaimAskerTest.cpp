//===- ClaimAskerTest.cpp - Tests of asking for claims
//---------------------===//

#include "claims/ClaimAsker.h"
#include "claims/testing/TestEntries.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

TEST_GROUP(ClaimAsker) {
  ClaimSettings m_Settings;
  Ownership m_Owners{threeEntries()};
  WitnessStore m_Witness{10s, TimePoint(1h)};
  Outbox m_Out;
  ClaimAnswer m_Grant;

  void setup() override {
    m_Settings.m_Self = EntryId("10.0.0.1");
    m_Witness.establish(1);
    m_Grant.m_Incarnation = 1;
  }

  /// What the asker makes of the grant if it comes after \p Wait.
  ClaimReply replyAfter(std::chrono::milliseconds Wait) {
    ClaimAsker Asker(m_Settings, m_Owners, m_Witness, m_Out);
    RequestId Key("swap");
    while (m_Owners.ownerOf(Key) != EntryId("10.0.0.0"))
      Key.m_Text += "-1";
    Asker.claim(Key, 900ms, TimePoint(1h));
    CallId Call = std::get<CallPeer>(m_Out.take().front()).m_Call;
    Reply Answer = m_Grant;
    Asker.onReply(Call, &Answer, TimePoint(1h) + Wait);
    return std::get<Decide>(m_Out.take().front()).m_Reply;
  }
};

TEST(ClaimAsker, UsesAGrantInTime) {
  CHECK(replyAfter(899ms).m_Verdict == ClaimVerdict::Granted);
}

TEST(ClaimAsker, DropsAGrantThatWasHeldUp) {
  CHECK(replyAfter(900ms).m_Reason == Reason::ClaimUnavailable);
}

TEST(ClaimAsker, DropsAGrantThatItMayNotWitness) {
  m_Grant.m_AskerWitnesses = true;
  CHECK(replyAfter(1ms).m_Verdict == ClaimVerdict::Granted);
  m_Witness.fence(EntryId("10.0.0.0"), 2);
  CHECK(replyAfter(1ms).m_Reason == Reason::ClaimOwnerRecovering);
}
