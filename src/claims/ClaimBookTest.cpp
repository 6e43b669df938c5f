//===- ClaimBookTest.cpp - Tests of the book of claims
//---------------------===//

#include "claims/ClaimBook.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

TEST_GROUP(ClaimBook) {
  ClaimBook m_Book{10s};
  RequestId m_Key{"k"};

  ClaimEntry &addImported() {
    ClaimEntry &Entry =
        m_Book.add(m_Key, ClaimToken("t"), ClaimPhase::Granted, TimePoint(1h));
    Entry.m_Imported = true;
    m_Book.setUnsynced(Entry, true);
    m_Book.markDirty(m_Key, Entry, false);
    return Entry;
  }

  void meet(const ClaimRow &Found) {
    Transaction Txn;
    std::vector<BatchItem> Items = m_Book.takeBatch(Txn);
    Row R{claimRowKey(m_Key), encodeClaimRow(Found), 7, false};
    m_Book.onRefused(Items.front(), &R);
  }
};

TEST(ClaimBook, ContestedKeyIsNobodys) {
  ClaimEntry &Entry = addImported();
  meet({ClaimToken("other"), false, std::nullopt});
  CHECK(Entry.m_Phase == ClaimPhase::Granted);
  CHECK(Entry.m_Token.empty());
  CHECK(m_Book.hasDirty());
}

TEST(ClaimBook, CompletedRowSettlesAContest) {
  ClaimEntry &Entry = addImported();
  meet({ClaimToken("other"), true, Answer{200, {}, "done"}});
  CHECK(Entry.m_Phase == ClaimPhase::Completed);
  STRCMP_EQUAL("done", Entry.m_Answer->m_Body.c_str());
  LONGS_EQUAL(0, m_Book.unsynced());
}

TEST(ClaimBook, OwnRowOfALostReplyIsAGrant) {
  ClaimEntry &Entry =
      m_Book.add(m_Key, ClaimToken("t"), ClaimPhase::Pending, TimePoint(1h));
  Entry.m_Pending = std::make_unique<PendingClaim>();
  m_Book.markDirty(m_Key, Entry, true);
  meet({ClaimToken("t"), false, std::nullopt});
  CHECK(Entry.m_Phase == ClaimPhase::Granted);
  CHECK_FALSE(m_Book.hasDirty());
}
