//===- ClaimRegistryTest.cpp - Tests of the claim registry ----------------===//

#include "claims/ClaimRegistry.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

TEST_GROUP(ClaimRegistry) {
  ClaimRegistry m_Registry{10s};
  RequestId m_Key{"k"};

  HeldClaim &addImported() {
    HeldClaim &Entry = m_Registry.add(m_Key, ClaimToken("t"),
                                      ClaimPhase::Granted, TimePoint(1h));
    Entry.m_Imported = true;
    m_Registry.setUnsynced(Entry, true);
    m_Registry.markDirty(m_Key, Entry, false);
    return Entry;
  }

  void refuseBatch(const ClaimRow &Found) {
    Transaction Txn;
    std::vector<BatchItem> Items = m_Registry.takeBatch(Txn);
    Row R{claimRowKey(m_Key), encodeClaimRow(Found), 7, false};
    m_Registry.onRefused(Items.front(), &R);
  }
};

TEST(ClaimRegistry, ContestedKeyHasNoHolder) {
  HeldClaim &Entry = addImported();
  refuseBatch({ClaimToken("other"), false, std::nullopt});
  CHECK(Entry.m_Phase == ClaimPhase::Granted);
  CHECK(Entry.m_Token.empty());
  CHECK(m_Registry.hasDirty());
}

TEST(ClaimRegistry, CompletedRowResolvesConflict) {
  HeldClaim &Entry = addImported();
  refuseBatch({ClaimToken("other"), true, Answer{200, {}, "done"}});
  CHECK(Entry.m_Phase == ClaimPhase::Completed);
  STRCMP_EQUAL("done", Entry.m_Answer->m_Body.c_str());
  LONGS_EQUAL(0, m_Registry.unsynced());
}

TEST(ClaimRegistry, OwnRowAfterLostReplyIsAGrant) {
  HeldClaim &Entry = m_Registry.add(m_Key, ClaimToken("t"), ClaimPhase::Pending,
                                    TimePoint(1h));
  Entry.m_Pending = std::make_unique<PendingClaim>();
  m_Registry.markDirty(m_Key, Entry, true);
  refuseBatch({ClaimToken("t"), false, std::nullopt});
  CHECK(Entry.m_Phase == ClaimPhase::Granted);
  CHECK_FALSE(m_Registry.hasDirty());
}
