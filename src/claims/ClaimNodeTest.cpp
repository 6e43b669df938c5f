//===- ClaimNodeTest.cpp - Tests of the claim protocol --------------------===//

#include "claims/ClaimNode.h"
#include "claims/testing/ClaimSimulation.h"
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

/// A simulation of three entry instances, two of them in one data centre.
struct ClaimNodeFixture {
  ClaimSettings m_Settings = testSettings();
  ClaimSimulation m_Simulation{1, testSettings()};
  std::map<ClaimToken, ClaimReply> m_Replies;

  ClaimNodeFixture() {
    m_Simulation.m_OnDecision = [this](ProcessId, const ClaimToken &Token,
                                       const ClaimReply &Reply) {
      m_Replies[Token] = Reply;
    };
    for (std::size_t I = 0; I < 3; ++I)
      m_Simulation.start(I);
    m_Simulation.runFor(1s);
  }

  /// Returns a key owned by \p Entry; different numbers give different keys.
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
    m_Simulation.post(m_Simulation.current(Entry), 0ms,
                      [&](ClaimNode &Node, TimePoint Now) {
                        Token = Node.claim(Key, 900ms, Now);
                      });
    m_Simulation.runFor(1s);
    return m_Replies[Token];
  }

  void complete(std::size_t Entry, const RequestId &Key,
                const ClaimToken &Token, const std::string &Body) {
    m_Simulation.post(m_Simulation.current(Entry), 0ms,
                      [&](ClaimNode &Node, TimePoint Now) {
                        Node.complete(Key, Token, Answer{200, {}, Body}, Now);
                      });
    m_Simulation.runFor(1s);
  }

  void release(std::size_t Entry, const RequestId &Key,
               const ClaimToken &Token) {
    m_Simulation.post(
        m_Simulation.current(Entry), 0ms,
        [&](ClaimNode &Node, TimePoint Now) { Node.release(Key, Token, Now); });
    m_Simulation.runFor(1s);
  }

  void setOutage(bool Outage) {
    for (std::size_t I = 0; I < 3; ++I)
      m_Simulation.setPlatformCut(I, Outage);
  }

  /// Lets entry 0 grant a key from memory during a platform outage, then kills
  /// the processes of \p Entries. The platform stays disconnected.
  RequestId grantFromMemoryAndKill(std::initializer_list<std::size_t> Entries) {
    waitUntilMemoryGrantsAllowed();
    setOutage(true);
    RequestId Key = keyOf(0);
    CHECK(claim(0, Key).m_Verdict == ClaimVerdict::Granted);
    for (std::size_t Entry : Entries)
      m_Simulation.kill(m_Simulation.current(Entry));
    return Key;
  }

  /// Notifies the owner \p Entry that a peer has started at the current table
  /// revision.
  void notifyOfRestartedPeer(std::size_t Entry) {
    Revision Start = m_Simulation.table().counts().m_Committed;
    m_Simulation.post(m_Simulation.current(Entry), 0ms,
                      [Start](ClaimNode &Node, TimePoint Now) {
                        Node.onRequest(0, EntryId("10.0.0.1"),
                                       StartedNotice{Start}, Now);
                      });
    m_Simulation.runFor(100ms);
  }

  /// Runs until all owners may grant from memory.
  void waitUntilMemoryGrantsAllowed() { m_Simulation.runFor(Retention + 1s); }

  const ClaimNode &node(std::size_t Entry) {
    return m_Simulation.node(m_Simulation.current(Entry));
  }

  void restart(std::size_t Entry) {
    m_Simulation.kill(m_Simulation.current(Entry));
    m_Simulation.start(Entry);
    m_Simulation.runFor(1s);
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

TEST_GROUP(ClaimNode) { ClaimNodeFixture m_Fixture; };

TEST(ClaimNode, NewKeyTakesOneMessageAndOneTransaction) {
  std::uint64_t Messages = m_Fixture.m_Simulation.messages();
  std::uint64_t Committed = m_Fixture.m_Simulation.table().counts().m_Committed;
  checkGranted(m_Fixture.claim(1, m_Fixture.keyOf(0)));
  LONGS_EQUAL(1, m_Fixture.m_Simulation.messages() - Messages);
  LONGS_EQUAL(1,
              m_Fixture.m_Simulation.table().counts().m_Committed - Committed);
}

TEST(ClaimNode, SimultaneousClaimsShareTransactions) {
  std::uint64_t Committed = m_Fixture.m_Simulation.table().counts().m_Committed;
  m_Fixture.m_Simulation.post(m_Fixture.m_Simulation.current(1), 0ms,
                              [&](ClaimNode &Node, TimePoint Now) {
                                for (int I = 0; I < 200; ++I)
                                  Node.claim(m_Fixture.keyOf(0, I), 900ms, Now);
                              });
  m_Fixture.m_Simulation.runFor(1s);
  LONGS_EQUAL(200, m_Fixture.node(1).stats().m_Granted);
  // The first claim is written immediately, the others in batches of at most
  // 128.
  LONGS_EQUAL(3,
              m_Fixture.m_Simulation.table().counts().m_Committed - Committed);
}

TEST(ClaimNode, RepeatOfACompletedKeyGetsTheRecordedAnswer) {
  RequestId Key = m_Fixture.keyOf(0);
  ClaimReply First = m_Fixture.claim(1, Key);
  checkDenied(Reason::ClaimInProgress, m_Fixture.claim(2, Key));
  m_Fixture.complete(1, Key, First.m_Token, "done");
  ClaimReply Repeat = m_Fixture.claim(2, Key);
  CHECK(Repeat.m_Verdict == ClaimVerdict::Recorded);
  STRCMP_EQUAL("done", Repeat.m_Answer.m_Body.c_str());
  m_Fixture.restart(0);
  STRCMP_EQUAL("done", m_Fixture.claim(2, Key).m_Answer.m_Body.c_str());
}

TEST(ClaimNode, LargeAnswerIsNotRecorded) {
  RequestId Key = m_Fixture.keyOf(0);
  ClaimReply First = m_Fixture.claim(1, Key);
  m_Fixture.complete(1, Key, First.m_Token, std::string(17 * 1024, 'x'));
  checkDenied(Reason::ClaimedElsewhere, m_Fixture.claim(2, Key));
}

TEST(ClaimNode, OnlyTheHolderCanRelease) {
  RequestId Key = m_Fixture.keyOf(0);
  ClaimReply First = m_Fixture.claim(1, Key);
  m_Fixture.release(2, Key, ClaimToken("another"));
  checkDenied(Reason::ClaimInProgress, m_Fixture.claim(2, Key));
  m_Fixture.release(1, Key, First.m_Token);
  checkGranted(m_Fixture.claim(2, Key));
}

TEST(ClaimNode, ClaimIsDeniedWhileOwnerIsUnreachable) {
  m_Fixture.m_Simulation.setLinkCut(0, 1, true);
  checkDenied(Reason::ClaimOwnerUnreachable,
              m_Fixture.claim(1, m_Fixture.keyOf(0)));
  m_Fixture.m_Simulation.setLinkCut(0, 1, false);
  checkGranted(m_Fixture.claim(1, m_Fixture.keyOf(0)));
}

TEST(ClaimNode, NoGrantFromMemoryWithinRetentionAfterJoining) {
  m_Fixture.setOutage(true);
  checkDenied(Reason::ClaimUnavailable, m_Fixture.claim(0, m_Fixture.keyOf(0)));
}

TEST(ClaimNode, GrantFromMemoryIsWitnessedAndWrittenLater) {
  m_Fixture.waitUntilMemoryGrantsAllowed();
  m_Fixture.setOutage(true);
  RequestId Key = m_Fixture.keyOf(0);
  checkGranted(m_Fixture.claim(0, Key));
  checkDenied(Reason::ClaimInProgress, m_Fixture.claim(1, Key));
  LONGS_EQUAL(1, m_Fixture.node(1).stats().m_Witnessed);
  m_Fixture.setOutage(false);
  m_Fixture.m_Simulation.runFor(2s);
  CHECK(m_Fixture.m_Simulation.table().peek(claimRowKey(Key)).has_value());
  LONGS_EQUAL(0, m_Fixture.node(0).stats().m_Unsynced);
  LONGS_EQUAL(0, m_Fixture.node(1).stats().m_Witnessed);
}

TEST(ClaimNode, NoGrantFromMemoryWithoutAWitness) {
  m_Fixture.waitUntilMemoryGrantsAllowed();
  m_Fixture.setOutage(true);
  m_Fixture.m_Simulation.setLinkCut(0, 1, true);
  checkDenied(Reason::ClaimUnavailable, m_Fixture.claim(0, m_Fixture.keyOf(0)));
}

TEST(ClaimNode, KilledOwnerServesWithinOneSecondOfRestart) {
  m_Fixture.waitUntilMemoryGrantsAllowed();
  RequestId Key = m_Fixture.keyOf(0);
  checkGranted(m_Fixture.claim(1, Key));
  m_Fixture.restart(0);
  checkDenied(Reason::ClaimedElsewhere, m_Fixture.claim(2, Key));
  checkGranted(m_Fixture.claim(1, m_Fixture.keyOf(0, 1)));
}

TEST(ClaimNode, RestartedWitnessCountsOnceOwnersRenewedTheirRows) {
  m_Fixture.waitUntilMemoryGrantsAllowed();
  m_Fixture.restart(1);
  m_Fixture.restart(0);
  checkGranted(m_Fixture.claim(2, m_Fixture.keyOf(0)));
}

TEST(ClaimNode, SuccessorRecoversGrantsFromMemory) {
  RequestId Key = m_Fixture.grantFromMemoryAndKill({0});
  m_Fixture.setOutage(false);
  m_Fixture.m_Simulation.start(0);
  m_Fixture.m_Simulation.runFor(1s);
  checkDenied(Reason::ClaimedElsewhere, m_Fixture.claim(1, Key));
  checkGranted(m_Fixture.claim(1, m_Fixture.keyOf(0, 1)));
}

TEST(ClaimNode, SuccessorWaitsForRetentionIfWitnessIsLost) {
  RequestId Key = m_Fixture.grantFromMemoryAndKill({0, 1});
  m_Fixture.setOutage(false);
  m_Fixture.m_Simulation.start(0);
  m_Fixture.m_Simulation.start(1);
  m_Fixture.m_Simulation.runFor(1s);
  checkDenied(Reason::ClaimOwnerRecovering, m_Fixture.claim(2, Key));
  m_Fixture.m_Simulation.runFor(Retention);
  checkGranted(m_Fixture.claim(2, m_Fixture.keyOf(0, 1)));
}

TEST(ClaimNode, WitnessThatHasNotJoinedDoesNotEndRecovery) {
  RequestId Key = m_Fixture.grantFromMemoryAndKill({0, 1});
  m_Fixture.m_Simulation.setPlatformCut(0, false);
  m_Fixture.m_Simulation.start(1);
  m_Fixture.m_Simulation.start(0);
  m_Fixture.m_Simulation.runFor(1s);
  checkDenied(Reason::ClaimOwnerRecovering, m_Fixture.claim(2, Key));
}

TEST(ClaimNode, SupersededProcessDecidesNoClaims) {
  ProcessId Old = m_Fixture.m_Simulation.current(0);
  m_Fixture.m_Simulation.pause(Old);
  m_Fixture.m_Simulation.start(0);
  m_Fixture.m_Simulation.runFor(1s);
  RequestId Key = m_Fixture.keyOf(0);
  checkGranted(m_Fixture.claim(1, Key));
  m_Fixture.m_Simulation.resume(Old);
  ClaimToken Token;
  m_Fixture.m_Simulation.post(Old, 0ms, [&](ClaimNode &Node, TimePoint Now) {
    Token = Node.claim(Key, 900ms, Now);
  });
  m_Fixture.m_Simulation.runFor(1s);
  checkDenied(Reason::ClaimOwnerRecovering, m_Fixture.m_Replies[Token]);
}

TEST(ClaimNode, DrainedOwnerNeedsNoRecovery) {
  m_Fixture.waitUntilMemoryGrantsAllowed();
  m_Fixture.m_Simulation.post(
      m_Fixture.m_Simulation.current(0), 0ms,
      [](ClaimNode &Node, TimePoint Now) { Node.drain(Now); });
  m_Fixture.m_Simulation.runFor(1s);
  CHECK(m_Fixture.node(0).isDrained());
  // The witness of the owner is lost, and the successor must serve without
  // recovery.
  m_Fixture.m_Simulation.kill(m_Fixture.m_Simulation.current(1));
  m_Fixture.restart(0);
  checkGranted(m_Fixture.claim(2, m_Fixture.keyOf(0)));
}

TEST(ClaimNode, SecondSuccessorStillRecoversGrants) {
  RequestId Key = m_Fixture.grantFromMemoryAndKill({0});
  m_Fixture.setOutage(false);
  // The first successor joins but cannot reach the witness; the second one
  // still has to recover.
  m_Fixture.m_Simulation.setLinkCut(0, 1, true);
  m_Fixture.restart(0);
  m_Fixture.m_Simulation.setLinkCut(0, 1, false);
  m_Fixture.restart(0);
  checkDenied(Reason::ClaimedElsewhere, m_Fixture.claim(2, Key));
}

TEST(ClaimNode, DuplicatedRequestsDoNotBypassTheWitness) {
  m_Fixture.waitUntilMemoryGrantsAllowed();
  m_Fixture.setOutage(true);
  m_Fixture.m_Simulation.m_Faults.m_Duplicate = 1;
  m_Fixture.m_Simulation.m_Faults.m_MaxDelay = 200ms;
  checkGranted(m_Fixture.claim(1, m_Fixture.keyOf(0)));
  m_Fixture.m_Simulation.post(m_Fixture.m_Simulation.current(1), 0ms,
                              [&](ClaimNode &Node, TimePoint Now) {
                                for (int I = 1; I < 60; ++I)
                                  Node.claim(m_Fixture.keyOf(0, I), 900ms, Now);
                              });
  m_Fixture.m_Simulation.runFor(1s);
  ClaimStats Stats = m_Fixture.node(1).stats();
  LONGS_EQUAL(60, Stats.m_GrantedFromMemory);
  LONGS_EQUAL(60, Stats.m_Witnessed);
}

TEST(ClaimNode, DeniedClaimWithCommittedRowFreesItsKey) {
  RequestId Key = m_Fixture.keyOf(0);
  m_Fixture.m_Simulation.m_Faults.m_LoseCommit = 1;
  checkDenied(Reason::ClaimUnavailable, m_Fixture.claim(1, Key));
  CHECK(m_Fixture.m_Simulation.table().peek(claimRowKey(Key)).has_value());
  m_Fixture.m_Simulation.m_Faults.m_LoseCommit = 0;
  m_Fixture.m_Simulation.runFor(3s);
  checkGranted(m_Fixture.claim(1, Key));
}

TEST(ClaimNode, NoGrantFromMemoryWhileOwnerRowIsUndecided) {
  m_Fixture.waitUntilMemoryGrantsAllowed();
  m_Fixture.m_Simulation.m_Faults.m_LoseCommit = 1;
  m_Fixture.notifyOfRestartedPeer(0);
  m_Fixture.setOutage(true);
  checkDenied(Reason::ClaimUnavailable, m_Fixture.claim(1, m_Fixture.keyOf(0)));
  m_Fixture.m_Simulation.m_Faults.m_LoseCommit = 0;
  m_Fixture.setOutage(false);
  m_Fixture.m_Simulation.runFor(3s);
  checkGranted(m_Fixture.claim(1, m_Fixture.keyOf(0)));
}

TEST(ClaimNode, OwnerRowIsRenewedOnlyAfterAllGrantsAreInTheTable) {
  m_Fixture.waitUntilMemoryGrantsAllowed();
  m_Fixture.setOutage(true);
  RequestId First = m_Fixture.keyOf(0);
  RequestId Second = m_Fixture.keyOf(0, 1);
  checkGranted(m_Fixture.claim(1, First));
  checkGranted(m_Fixture.claim(1, Second));
  m_Fixture.notifyOfRestartedPeer(0);
  m_Fixture.setOutage(false);
  m_Fixture.m_Simulation.runFor(3s);
  FakePlatform &Table = m_Fixture.m_Simulation.table();
  Revision Renewed = Table.peek("owner/10.0.0.0")->m_Revision;
  CHECK(Renewed > Table.peek(claimRowKey(First))->m_Revision);
  CHECK(Renewed > Table.peek(claimRowKey(Second))->m_Revision);
}

TEST(ClaimNode, RequestsWithAnotherEntryListAreRejected) {
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
