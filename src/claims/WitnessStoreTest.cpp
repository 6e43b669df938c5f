//===- WitnessStoreTest.cpp - Tests of the witness store ------------------===//

#include "claims/WitnessStore.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace pollenspool::claims;
using namespace std::chrono_literals;

TEST_GROUP(WitnessStore) {
  WitnessStore m_Store{10s, TimePoint(1h)};
  EntryId m_Owner{"10.0.0.1"};

  RecoverAnswer recoverPage(std::uint64_t Incarnation,
                            const std::string &After = "") {
    return m_Store.recover({m_Owner.m_Text, Incarnation, 0, After},
                           TimePoint(1h));
  }
};

TEST(WitnessStore, RecordsOnlyAfterJoiningAndForLatestIncarnation) {
  CHECK_FALSE(m_Store.record(m_Owner, 1, "k", "t", TimePoint(1h)));
  m_Store.startRecording(5);
  CHECK(m_Store.record(m_Owner, 1, "k", "t", TimePoint(1h)));
  LONGS_EQUAL(1, recoverPage(2).m_Records.size());
  CHECK_FALSE(m_Store.record(m_Owner, 1, "k2", "t2", TimePoint(1h)));
  CHECK_FALSE(recoverPage(1).m_Accepted);
}

TEST(WitnessStore, ReturnsAllRecordsInPagesAndExpiresThem) {
  m_Store.startRecording(5);
  for (int I = 0; I < 2500; ++I)
    m_Store.record(m_Owner, 1, "k", std::to_string(I), TimePoint(1h));
  std::size_t Count = 0;
  std::string After;
  bool More = true;
  while (More) {
    RecoverAnswer Page = recoverPage(2, After);
    Count += Page.m_Records.size();
    More = Page.m_More;
    After = Page.m_Records.back().m_Token;
  }
  LONGS_EQUAL(2500, Count);
  m_Store.expire(TimePoint(1h) + 10s);
  LONGS_EQUAL(0, m_Store.size());
}
