//===- ClaimRequesterTest.cpp - Tests of requesting claims ----------------===//

#include "claims/ClaimRequester.h"
#include "claims/testing/TestEntries.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

TEST_GROUP(ClaimRequester) {
  ClaimSettings m_Settings;
  Ownership m_Owners{threeEntries()};
  WitnessStore m_Witness{10s, TimePoint(1h)};
  Outbox m_Out;
  ClaimAnswer m_Grant;

  void setup() override {
    m_Settings.m_Self = EntryId("10.0.0.1");
    m_Witness.startRecording(1);
    m_Grant.m_Incarnation = 1;
  }

  /// Returns the decision on a grant that arrives \p Wait after the claim was
  /// sent.
  ClaimReply replyAfter(std::chrono::milliseconds Wait) {
    ClaimRequester Requester(m_Settings, m_Owners, m_Witness, m_Out);
    RequestId Key("swap");
    while (m_Owners.ownerOf(Key) != EntryId("10.0.0.0"))
      Key.m_Text += "-1";
    Requester.claim(Key, 900ms, TimePoint(1h));
    CallId Call = std::get<CallPeer>(m_Out.take().front()).m_Call;
    Reply Answer = m_Grant;
    Requester.onReply(Call, &Answer, TimePoint(1h) + Wait);
    return std::get<ReportDecision>(m_Out.take().front()).m_Reply;
  }
};

TEST(ClaimRequester, UsesGrantBeforeDeadline) {
  CHECK(replyAfter(899ms).m_Verdict == ClaimVerdict::Granted);
}

TEST(ClaimRequester, RejectsGrantAfterDeadline) {
  CHECK(replyAfter(900ms).m_Reason == Reason::ClaimUnavailable);
}

TEST(ClaimRequester, RejectsGrantThatItMayNotWitness) {
  m_Grant.m_RequesterWitnesses = true;
  CHECK(replyAfter(1ms).m_Verdict == ClaimVerdict::Granted);
  m_Witness.fence(EntryId("10.0.0.0"), 2);
  CHECK(replyAfter(1ms).m_Reason == Reason::ClaimOwnerRecovering);
}
