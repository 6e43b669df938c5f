//===- StartRecordsTest.cpp - Tests of StartRecords -----------------------===//

#include "lead/StartRecords.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr RowVersion TermVersion = 100;
constexpr Duration Fast = 10ms, Slow = 300ms;

StoredRow rowOf(const StartRecordsRow &Row, RowVersion Version) {
  return {{StartRecordsTable, StartRecordsKey, LeaderPartition},
          encodeStartRecords(Row),
          Version,
          false};
}

RowCondition termCondition() {
  return {{LeaderTable, TermKey, LeaderPartition}, TermVersion};
}

/// One leader's records and the row in the store.
struct RecordsFixture {
  explicit RecordsFixture(Term T) : m_Records(T, termCondition()) {}

  std::optional<RowTransaction> next(Duration Latency) {
    return m_Records.next(Latency, m_Known, m_Now);
  }
  StartRecordsRow commit(const RowTransaction &Txn) {
    CommitOutcome Outcome;
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_Version;
    m_Records.onResult(Outcome, m_Now);
    return decodeStartRecords(Txn.m_Puts.front().m_Value).value();
  }

  StartRecords m_Records;
  TimePoint m_Now{100s};
  RowVersion m_Version = 200;
  RowVersion m_Known = 150;
};

} // namespace

TEST_GROUP(StartRecords){};

TEST(StartRecords, ContinuesTheRecordsOfThePreviousTerm) {
  RecordsFixture F(5);
  F.m_Records.onRead(rowOf({4, true, 30}, 60));
  CHECK_EQUAL(30u, F.m_Records.recordedSince());
  auto Txn = F.next(Fast);
  CHECK(Txn.has_value());
  CHECK_EQUAL(2u, Txn->m_Conditions.size());
  StartRecordsRow Row = F.commit(*Txn);
  CHECK_EQUAL(5u, Row.m_Term);
  CHECK(Row.m_Records);
  CHECK_EQUAL(30u, Row.m_Since);
  CHECK_FALSE(F.next(Fast).has_value());
}

// A leader of an older version writes no such row. It has started steps without
// a record.
TEST(StartRecords, DoesNotRelyOnRecordsAcrossALeaderThatWroteNone) {
  for (const StartRecordsRow &Row :
       {StartRecordsRow{3, true, 30}, StartRecordsRow{4, false, 0}}) {
    RecordsFixture F(5);
    F.m_Records.onRead(rowOf(Row, 60));
    CHECK_EQUAL(TermVersion, F.m_Records.recordedSince());
    CHECK_EQUAL(TermVersion, F.commit(*F.next(Fast)).m_Since);
  }
  RecordsFixture NoRow(5);
  NoRow.m_Records.onRead({});
  CHECK_EQUAL(TermVersion, NoRow.m_Records.recordedSince());
}

// With a store 50 times slower a record takes half a second, as long as the
// callers' allowance for waiting.
TEST(StartRecords, StopsRecordingWhileTheStoreIsSlowOnlyOnceTheRowSaysSo) {
  RecordsFixture F(5);
  F.m_Records.onRead(rowOf({4, true, 30}, 60));
  F.commit(*F.next(Fast));
  auto Off = F.next(Slow);
  CHECK(Off.has_value());
  CHECK(F.m_Records.mustRecord());
  CHECK_FALSE(F.commit(*Off).m_Records);
  CHECK_FALSE(F.m_Records.mustRecord());
  CHECK_FALSE(F.next(Fast).has_value());
  F.m_Now += 1s;
  CHECK_FALSE(F.next(Fast).has_value());
  CHECK_FALSE(F.m_Records.mustRecord());
  F.m_Now += 1s;
  F.m_Known = 400;
  auto On = F.next(Fast);
  CHECK(On.has_value());
  CHECK(F.m_Records.mustRecord());
  CHECK_EQUAL(400u, F.commit(*On).m_Since);
}

TEST(StartRecords, RecordsWhileItIsUnknownWhatTheRowSays) {
  RecordsFixture F(5);
  F.m_Records.onRead(rowOf({4, true, 30}, 60));
  F.commit(*F.next(Fast));
  F.commit(*F.next(Slow));
  F.m_Now += 1s;
  F.next(Fast);
  F.m_Now += 3s;
  // The row may say that starts are recorded, now or seconds later.
  CHECK(F.next(Fast).has_value());
  F.m_Records.onResult(makeError(ErrorCode::Timeout, "commit"), F.m_Now);
  F.m_Now += 1s;
  auto Again = F.next(Slow);
  CHECK(Again.has_value());
  CHECK(F.m_Records.mustRecord());
  CommitOutcome Conflict;
  Conflict.m_Conflicts.push_back(rowOf({5, true, 150}, 777));
  F.m_Records.onResult(Conflict, F.m_Now);
  CHECK(F.m_Records.mustRecord());
  F.m_Now += 1s;
  auto Off = F.next(Slow);
  CHECK(Off.has_value());
  CHECK_EQUAL(777u, Off->m_Conditions[1].m_Version);
  F.commit(*Off);
  CHECK_FALSE(F.m_Records.mustRecord());
}
