//===- ClaimPlacesTest.cpp - Keys of owners that are down -----------------===//

#include "claims/testing/ClaimWorld.h"
#include "claims/testing/TestEntries.h"
// CppUTest replaces operator new, so its headers come after all others.
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

namespace {

ClaimSettings settings() {
  ClaimSettings S;
  S.m_Entries = threeEntries();
  S.m_ClaimLifetime = 10s;
  S.m_Margin = 2s;
  return S;
}

} // namespace

TEST_GROUP(ClaimPlaces) {
  ClaimWorld m_World{1, settings()};
  Ownership m_Owners{threeEntries()};
  ClaimReply m_Last;
  std::size_t m_Decided = 0;

  void setup() override {
    m_World.m_OnDecide = [this](ProcessId, const ClaimToken &,
                                const ClaimReply &Reply) {
      m_Last = Reply;
      ++m_Decided;
    };
    for (std::size_t I = 0; I < m_World.size(); ++I)
      m_World.start(I);
    m_World.runFor(1s);
  }

  RequestId keyOf(const char *Owner, int Number = 0) {
    for (int I = 0;; ++I) {
      RequestId Key("key-" + std::to_string(I));
      if (m_Owners.ownerOf(Key) == EntryId(Owner) && Number-- == 0)
        return Key;
    }
  }

  ClaimReply ask(std::size_t Entry, const RequestId &Key) {
    std::size_t Before = m_Decided;
    m_World.post(
        m_World.current(Entry), 0ms,
        [Key](ClaimNode &Node, TimePoint Now) { Node.claim(Key, 3s, Now); });
    m_World.runFor(4s);
    CHECK_EQUAL(Before + 1, m_Decided);
    return m_Last;
  }
};

TEST(ClaimPlaces, AnOwnersWitnessDecidesWhileItIsDown) {
  RequestId Key = keyOf("10.0.0.0");
  m_World.kill(m_World.current(0));
  // Asker and successor wait for a silent owner one after the other.
  ask(2, keyOf("10.0.0.0", 5));
  CHECK_TRUE(ask(2, Key).m_Verdict == ClaimVerdict::Granted);
  CHECK_TRUE(ask(1, Key).m_Verdict == ClaimVerdict::Denied);
}

TEST(ClaimPlaces, WhatTheOwnerGrantedIsRefused) {
  RequestId Key = keyOf("10.0.0.0");
  CHECK_TRUE(ask(2, Key).m_Verdict == ClaimVerdict::Granted);
  m_World.kill(m_World.current(0));
  CHECK_TRUE(ask(2, Key).m_Verdict == ClaimVerdict::Denied);
}

TEST(ClaimPlaces, WhatTheSuccessorGrantedIsRefusedByTheOwner) {
  RequestId Key = keyOf("10.0.0.0");
  m_World.kill(m_World.current(0));
  // Asker and successor wait for a silent owner one after the other.
  ask(2, keyOf("10.0.0.0", 5));
  CHECK_TRUE(ask(2, Key).m_Verdict == ClaimVerdict::Granted);
  m_World.start(0);
  m_World.runFor(3s);
  CHECK_TRUE(ask(2, Key).m_Verdict == ClaimVerdict::Denied);
  CHECK_TRUE(ask(2, keyOf("10.0.0.0", 1)).m_Verdict == ClaimVerdict::Granted);
  CHECK_TRUE(m_World.node(m_World.current(0)).owner().isServing());
}

TEST(ClaimPlaces, ASuccessorThatReachesTheOwnerDoesNotTakeItsPlace) {
  m_World.setCut(0, 2, true);
  ClaimReply Reply = ask(2, keyOf("10.0.0.0"));
  CHECK_TRUE(Reply.m_Reason == Reason::ClaimOwnerUnreachable);
  CHECK_TRUE(m_World.node(m_World.current(0)).owner().isServing());
}

TEST(ClaimPlaces, NothingIsGrantedWithoutThePlatform) {
  m_World.runFor(20s);
  m_World.kill(m_World.current(0));
  for (std::size_t I = 0; I < m_World.size(); ++I)
    m_World.setPlatformCut(I, true);
  CHECK_TRUE(ask(2, keyOf("10.0.0.0")).m_Verdict == ClaimVerdict::Denied);
}
