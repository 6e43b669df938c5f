//===- ClaimNodeTest.cpp - Tests of the rules of claims -------------------===//

#include "claims/ClaimNode.h"
#include "claims/testing/ClaimWorld.h"
#include "claims/testing/TestEntries.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Retention = 12s;

ClaimSettings testSettings() {
  ClaimSettings Settings;
  Settings.m_Entries = threeEntries();
  Settings.m_ClaimLifetime = Retention - 2s;
  Settings.m_Margin = 2s;
  return Settings;
}

/// A world of three entry instances, two of them in one data centre.
struct TestWorld {
  ClaimSettings m_Settings = testSettings();
  ClaimWorld m_World{1, testSettings()};
  std::map<ClaimToken, ClaimReply> m_Replies;

  TestWorld() {
    m_World.m_OnDecide = [this](ProcessId, const ClaimToken &Token,
                                const ClaimReply &Reply) {
      m_Replies[Token] = Reply;
    };
    for (std::size_t I = 0; I < 3; ++I)
      m_World.start(I);
    m_World.runFor(1s);
  }

  /// A key that belongs to \p Entry; others with other numbers.
  RequestId keyOf(std::size_t Entry, int Number = 0) const {
    Ownership Owners(m_Settings.m_Entries);
    for (int I = 1000 * Number;; ++I) {
      RequestId Key("swap-" + std::to_string(I));
      if (Owners.ownerOf(Key) == m_Settings.m_Entries[Entry].m_Id)
        return Key;
    }
  }

  ClaimReply claim(std::size_t Entry, const RequestId &Key) {
    ClaimToken Token;
    m_World.post(m_World.current(Entry), 0ms,
                 [&](ClaimNode &Node, TimePoint Now) {
                   Token = Node.claim(Key, 900ms, Now);
                 });
    m_World.runFor(1s);
    return m_Replies[Token];
  }

  void complete(std::size_t Entry, const RequestId &Key,
                const ClaimToken &Token, const std::string &Body) {
    m_World.post(m_World.current(Entry), 0ms,
                 [&](ClaimNode &Node, TimePoint Now) {
                   Node.complete(Key, Token, Answer{200, {}, Body}, Now);
                 });
    m_World.runFor(1s);
  }

  void release(std::size_t Entry, const RequestId &Key,
               const ClaimToken &Token) {
    m_World.post(
        m_World.current(Entry), 0ms,
        [&](ClaimNode &Node, TimePoint Now) { Node.release(Key, Token, Now); });
    m_World.runFor(1s);
  }

  void setOutage(bool Outage) {
    for (std::size_t I = 0; I < 3; ++I)
      m_World.setPlatformCut(I, Outage);
  }

  /// A key of entry 0 that only memories hold, and ends the processes of \p
  /// Entries. The platform stays cut off.
  RequestId grantFromMemoryAndKill(std::initializer_list<std::size_t> Entries) {
    letThemVouch();
    setOutage(true);
    RequestId Key = keyOf(0);
    CHECK(claim(0, Key).m_Verdict == ClaimVerdict::Granted);
    for (std::size_t Entry : Entries)
      m_World.kill(m_World.current(Entry));
    return Key;
  }

  /// Tells an owner of a peer that has started just now.
  void hearOfRestartedPeer(std::size_t Entry) {
    Revision Start = m_World.table().counts().m_Committed;
    m_World.post(
        m_World.current(Entry), 0ms, [Start](ClaimNode &Node, TimePoint Now) {
          Node.onRequest(0, EntryId("10.0.0.1"), StartedNotice{Start}, Now);
        });
    m_World.runFor(100ms);
  }

  /// Runs until all owners may grant from memory.
  void letThemVouch() { m_World.runFor(Retention + 1s); }

  const ClaimNode &node(std::size_t Entry) {
    return m_World.node(m_World.current(Entry));
  }

  void restart(std::size_t Entry) {
    m_World.kill(m_World.current(Entry));
    m_World.start(Entry);
    m_World.runFor(1s);
  }
};

void checkDenied(Reason Expected, const ClaimReply &Reply) {
  CHECK(Reply.m_Verdict == ClaimVerdict::Denied);
  STRCMP_EQUAL(std::string(reasonName(Expected)).c_str(),
               std::string(reasonName(Reply.m_Reason)).c_str());
}

void checkGranted(const ClaimReply &Reply) {
  STRCMP_EQUAL("none", std::string(reasonName(Reply.m_Reason)).c_str());
  CHECK(Reply.m_Verdict == ClaimVerdict::Granted);
}

} // namespace

TEST_GROUP(ClaimNode) { TestWorld m_Test; };

TEST(ClaimNode, FreshKeyCostsOneMessageAndOneTransaction) {
  std::uint64_t Messages = m_Test.m_World.messages();
  std::uint64_t Committed = m_Test.m_World.table().counts().m_Committed;
  checkGranted(m_Test.claim(1, m_Test.keyOf(0)));
  LONGS_EQUAL(1, m_Test.m_World.messages() - Messages);
  LONGS_EQUAL(1, m_Test.m_World.table().counts().m_Committed - Committed);
}

TEST(ClaimNode, ClaimsOfOneMomentShareTransactions) {
  std::uint64_t Committed = m_Test.m_World.table().counts().m_Committed;
  m_Test.m_World.post(m_Test.m_World.current(1), 0ms,
                      [&](ClaimNode &Node, TimePoint Now) {
                        for (int I = 0; I < 200; ++I)
                          Node.claim(m_Test.keyOf(0, I), 900ms, Now);
                      });
  m_Test.m_World.runFor(1s);
  LONGS_EQUAL(200, m_Test.node(1).stats().m_Granted);
  // The first goes at once, the others in batches of 128.
  LONGS_EQUAL(3, m_Test.m_World.table().counts().m_Committed - Committed);
}

TEST(ClaimNode, RepeatsOfACompletedKeyGetItsAnswer) {
  RequestId Key = m_Test.keyOf(0);
  ClaimReply First = m_Test.claim(1, Key);
  checkDenied(Reason::ClaimInProgress, m_Test.claim(2, Key));
  m_Test.complete(1, Key, First.m_Token, "done");
  ClaimReply Repeat = m_Test.claim(2, Key);
  CHECK(Repeat.m_Verdict == ClaimVerdict::Recorded);
  STRCMP_EQUAL("done", Repeat.m_Answer.m_Body.c_str());
  m_Test.restart(0);
  STRCMP_EQUAL("done", m_Test.claim(2, Key).m_Answer.m_Body.c_str());
}

TEST(ClaimNode, LargeAnswersAreCompletedWithoutRecord) {
  RequestId Key = m_Test.keyOf(0);
  ClaimReply First = m_Test.claim(1, Key);
  m_Test.complete(1, Key, First.m_Token, std::string(17 * 1024, 'x'));
  checkDenied(Reason::ClaimedElsewhere, m_Test.claim(2, Key));
}

TEST(ClaimNode, OnlyTheHolderReleases) {
  RequestId Key = m_Test.keyOf(0);
  ClaimReply First = m_Test.claim(1, Key);
  m_Test.release(2, Key, ClaimToken("another"));
  checkDenied(Reason::ClaimInProgress, m_Test.claim(2, Key));
  m_Test.release(1, Key, First.m_Token);
  checkGranted(m_Test.claim(2, Key));
}

TEST(ClaimNode, UnreachableOwnerIsNotBypassed) {
  m_Test.m_World.setCut(0, 1, true);
  checkDenied(Reason::ClaimOwnerUnreachable, m_Test.claim(1, m_Test.keyOf(0)));
  m_Test.m_World.setCut(0, 1, false);
  checkGranted(m_Test.claim(1, m_Test.keyOf(0)));
}

TEST(ClaimNode, DoesNotVouchForWhatItsPredecessorMayHaveGranted) {
  m_Test.setOutage(true);
  checkDenied(Reason::ClaimUnavailable, m_Test.claim(0, m_Test.keyOf(0)));
}

TEST(ClaimNode, VouchesWithAWitnessAndWritesBack) {
  m_Test.letThemVouch();
  m_Test.setOutage(true);
  RequestId Key = m_Test.keyOf(0);
  checkGranted(m_Test.claim(0, Key));
  checkDenied(Reason::ClaimInProgress, m_Test.claim(1, Key));
  LONGS_EQUAL(1, m_Test.node(1).stats().m_Witnessed);
  m_Test.setOutage(false);
  m_Test.m_World.runFor(2s);
  CHECK(m_Test.m_World.table().peek(claimRowKey(Key)).has_value());
  LONGS_EQUAL(0, m_Test.node(0).stats().m_Unsynced);
  LONGS_EQUAL(0, m_Test.node(1).stats().m_Witnessed);
}

TEST(ClaimNode, DoesNotVouchWithoutAWitness) {
  m_Test.letThemVouch();
  m_Test.setOutage(true);
  m_Test.m_World.setCut(0, 1, true);
  checkDenied(Reason::ClaimUnavailable, m_Test.claim(0, m_Test.keyOf(0)));
}

TEST(ClaimNode, KilledOwnerServesAgainWithinASecond) {
  m_Test.letThemVouch();
  RequestId Key = m_Test.keyOf(0);
  checkGranted(m_Test.claim(1, Key));
  m_Test.restart(0);
  checkDenied(Reason::ClaimedElsewhere, m_Test.claim(2, Key));
  checkGranted(m_Test.claim(1, m_Test.keyOf(0, 1)));
}

TEST(ClaimNode, RestartedWitnessIsTrustedOnceOwnersKnow) {
  m_Test.letThemVouch();
  m_Test.restart(1);
  m_Test.restart(0);
  checkGranted(m_Test.claim(2, m_Test.keyOf(0)));
}

TEST(ClaimNode, SuccessorLearnsGrantsFromMemory) {
  RequestId Key = m_Test.grantFromMemoryAndKill({0});
  m_Test.setOutage(false);
  m_Test.m_World.start(0);
  m_Test.m_World.runFor(1s);
  checkDenied(Reason::ClaimedElsewhere, m_Test.claim(1, Key));
  checkGranted(m_Test.claim(1, m_Test.keyOf(0, 1)));
}

TEST(ClaimNode, WithoutTheWitnessASuccessorWaitsForTheLifetime) {
  RequestId Key = m_Test.grantFromMemoryAndKill({0, 1});
  m_Test.setOutage(false);
  m_Test.m_World.start(0);
  m_Test.m_World.start(1);
  m_Test.m_World.runFor(1s);
  checkDenied(Reason::ClaimOwnerRecovering, m_Test.claim(2, Key));
  m_Test.m_World.runFor(Retention);
  checkGranted(m_Test.claim(2, m_Test.keyOf(0, 1)));
}

TEST(ClaimNode, WitnessThatHasNotJoinedProvesNothing) {
  RequestId Key = m_Test.grantFromMemoryAndKill({0, 1});
  m_Test.m_World.setPlatformCut(0, false);
  m_Test.m_World.start(1);
  m_Test.m_World.start(0);
  m_Test.m_World.runFor(1s);
  checkDenied(Reason::ClaimOwnerRecovering, m_Test.claim(2, Key));
}

TEST(ClaimNode, ReplacedProcessDecidesNothingMore) {
  ProcessId Old = m_Test.m_World.current(0);
  m_Test.m_World.pause(Old);
  m_Test.m_World.start(0);
  m_Test.m_World.runFor(1s);
  RequestId Key = m_Test.keyOf(0);
  checkGranted(m_Test.claim(1, Key));
  m_Test.m_World.resume(Old);
  ClaimToken Token;
  m_Test.m_World.post(Old, 0ms, [&](ClaimNode &Node, TimePoint Now) {
    Token = Node.claim(Key, 900ms, Now);
  });
  m_Test.m_World.runFor(1s);
  checkDenied(Reason::ClaimOwnerRecovering, m_Test.m_Replies[Token]);
}

TEST(ClaimNode, DrainedOwnerLeavesNothingToAskFor) {
  m_Test.letThemVouch();
  m_Test.m_World.post(m_Test.m_World.current(0), 0ms,
                      [](ClaimNode &Node, TimePoint Now) { Node.drain(Now); });
  m_Test.m_World.runFor(1s);
  CHECK(m_Test.node(0).isDrained());
  // Its witness is gone, and still there is nothing to wait for.
  m_Test.m_World.kill(m_Test.m_World.current(1));
  m_Test.restart(0);
  checkGranted(m_Test.claim(2, m_Test.keyOf(0)));
}

TEST(ClaimNode, SuccessorRemembersWhatItHadToRecoverWhenItDiesToo) {
  RequestId Key = m_Test.grantFromMemoryAndKill({0});
  m_Test.setOutage(false);
  // The first successor joins and cannot ask; the second one has to.
  m_Test.m_World.setCut(0, 1, true);
  m_Test.restart(0);
  m_Test.m_World.setCut(0, 1, false);
  m_Test.restart(0);
  checkDenied(Reason::ClaimedElsewhere, m_Test.claim(2, Key));
}

TEST(ClaimNode, DoubledRequestsDoNotBypassTheWitness) {
  m_Test.letThemVouch();
  m_Test.setOutage(true);
  m_Test.m_World.m_Faults.m_Duplicate = 1;
  m_Test.m_World.m_Faults.m_MaxDelay = 200ms;
  checkGranted(m_Test.claim(1, m_Test.keyOf(0)));
  m_Test.m_World.post(m_Test.m_World.current(1), 0ms,
                      [&](ClaimNode &Node, TimePoint Now) {
                        for (int I = 1; I < 60; ++I)
                          Node.claim(m_Test.keyOf(0, I), 900ms, Now);
                      });
  m_Test.m_World.runFor(1s);
  ClaimStats Stats = m_Test.node(1).stats();
  LONGS_EQUAL(60, Stats.m_GrantedFromMemory);
  LONGS_EQUAL(60, Stats.m_Witnessed);
}

TEST(ClaimNode, DeniedClaimWhoseWriteTookEffectFreesItsKey) {
  RequestId Key = m_Test.keyOf(0);
  m_Test.m_World.m_Faults.m_LoseCommit = 1;
  checkDenied(Reason::ClaimUnavailable, m_Test.claim(1, Key));
  CHECK(m_Test.m_World.table().peek(claimRowKey(Key)).has_value());
  m_Test.m_World.m_Faults.m_LoseCommit = 0;
  m_Test.m_World.runFor(3s);
  checkGranted(m_Test.claim(1, Key));
}

TEST(ClaimNode, DoesNotVouchWhileItsRowIsUndecided) {
  m_Test.letThemVouch();
  m_Test.m_World.m_Faults.m_LoseCommit = 1;
  m_Test.hearOfRestartedPeer(0);
  m_Test.setOutage(true);
  checkDenied(Reason::ClaimUnavailable, m_Test.claim(1, m_Test.keyOf(0)));
  m_Test.m_World.m_Faults.m_LoseCommit = 0;
  m_Test.setOutage(false);
  m_Test.m_World.runFor(3s);
  checkGranted(m_Test.claim(1, m_Test.keyOf(0)));
}

TEST(ClaimNode, RowIsRenewedOnlyAfterAllIsInTheTable) {
  m_Test.letThemVouch();
  m_Test.setOutage(true);
  RequestId First = m_Test.keyOf(0);
  RequestId Second = m_Test.keyOf(0, 1);
  checkGranted(m_Test.claim(1, First));
  checkGranted(m_Test.claim(1, Second));
  m_Test.hearOfRestartedPeer(0);
  m_Test.setOutage(false);
  m_Test.m_World.runFor(3s);
  FakePlatform &Table = m_Test.m_World.table();
  Revision Renewed = Table.peek("owner/10.0.0.0")->m_Revision;
  CHECK(Renewed > Table.peek(claimRowKey(First))->m_Revision);
  CHECK(Renewed > Table.peek(claimRowKey(Second))->m_Revision);
}

TEST(ClaimNode, OtherListsOfEntriesAreRefused) {
  ClaimNode Node(
      [] {
        ClaimSettings Settings = testSettings();
        Settings.m_Self = Settings.m_Entries[0].m_Id;
        return Settings;
      }(),
      TimePoint(1h));
  Node.onRequest(7, EntryId("10.0.0.1"),
                 WitnessRequest{"10.0.0.1", 1, 99, "k", "t"}, TimePoint(1h));
  for (const Action &A : Node.takeActions())
    if (const auto *Response = std::get_if<Respond>(&A))
      CHECK_FALSE(std::get<Ack>(Response->m_Reply).m_Accepted);
}
