//===- IdleServersTest.cpp - Tests of IdleServers -------------------------===//

#include "lead/IdleServers.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr RowVersion TermVersion = 100;

StoredRow rowOf(const IdleServersRow &Row, RowVersion Version) {
  return {{IdleServersTable, IdleServersKey, LeaderPartition},
          encodeIdleServers(Row),
          Version,
          false};
}

const std::set<ServerId> None;
const std::set<ServerId> A{ServerId("a")};
const std::set<ServerId> AB{ServerId("a"), ServerId("b")};

/// The list of one leader, and the results of its writes.
struct IdleFixture {
  explicit IdleFixture(Term T)
      : m_List(T, {{LeaderTable, TermKey, LeaderPartition}, TermVersion}) {}

  std::optional<RowTransaction> next(const std::set<ServerId> &Wanted) {
    m_Now += 1s;
    return m_List.next(Wanted, m_Now);
  }
  void commit() {
    CommitOutcome Outcome;
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_Version;
    m_List.onResult(Outcome, m_Now);
  }
  void loseAnswer() {
    m_List.onResult(makeError(ErrorCode::Timeout, "commit"), m_Now);
  }
  void conflict(const StoredRow &Row) {
    CommitOutcome Outcome;
    Outcome.m_Conflicts = {Row};
    m_List.onResult(Outcome, m_Now);
  }

  IdleServers m_List;
  TimePoint m_Now{100s};
  RowVersion m_Version = 200;
};

} // namespace

TEST_GROUP(IdleServers){};

// Guards against a list of which the leaders in between knew nothing.
TEST(IdleServers, OnlyTheListOfThePreviousTermIsInherited) {
  IdleFixture Next(5), Later(6), First(1);
  Next.m_List.onRead(rowOf({4, AB}, 60));
  CHECK(Next.m_List.inherited() == AB);
  CHECK(Next.m_List.held() == None);
  Later.m_List.onRead(rowOf({4, AB}, 60));
  CHECK(Later.m_List.inherited() == None);
  First.m_List.onRead(std::nullopt);
  CHECK(First.m_List.inherited() == None);
}

// Guards against a row of another build or written by hand.
TEST(IdleServers, AnUnreadableRowIsReplaced) {
  IdleFixture F(5);
  StoredRow Bad = rowOf({4, A}, 60);
  Bad.m_Value = R"({"term":4})";
  F.m_List.onRead(Bad);
  CHECK(F.m_List.inherited() == None);
  auto Txn = F.next(A);
  CHECK(Txn.has_value());
  CHECK_EQUAL(60u, Txn->m_Conditions[1].m_Version);
}

// Guards against a write that takes effect in a later term, or after a later
// write.
TEST(IdleServers, AWriteDependsOnTheTermAndOnTheRowThatItReplaces) {
  IdleFixture F(5);
  CHECK(!F.next(A).has_value());
  F.m_List.onRead(rowOf({4, None}, 60));
  CHECK(!F.next(None).has_value());
  auto Txn = F.next(A);
  CHECK(Txn.has_value());
  CHECK(Txn->m_Conditions[0].m_At.m_Key == TermKey);
  CHECK_EQUAL(TermVersion, Txn->m_Conditions[0].m_Version);
  CHECK(Txn->m_Conditions[1].m_At.m_Key == IdleServersKey);
  CHECK_EQUAL(60u, Txn->m_Conditions[1].m_Version);
  CHECK(!F.next(A).has_value());
  F.commit();
  CHECK(!F.next(A).has_value());
  IdleServersRow Row = decodeIdleServers(Txn->m_Puts[0].m_Value).value();
  CHECK_EQUAL(5u, Row.m_Term);
  CHECK(Row.m_Servers == A);
}

// Guards against a start on a server that the next leader takes for idle.
TEST(IdleServers, AServerIsHeldUntilAWriteWithoutItIsCommitted) {
  IdleFixture F(5);
  F.m_List.onRead(std::nullopt);
  CHECK(F.next(A).has_value());
  CHECK(F.m_List.held() == A);
  F.loseAnswer();
  CHECK(F.m_List.held() == A);
  // The lost write may still take effect.
  CHECK(F.next(None).has_value());
  CHECK(F.m_List.held() == A);
  F.loseAnswer();
  CHECK(F.m_List.held() == A);
  CHECK(F.next(None).has_value());
  F.commit();
  CHECK(F.m_List.held() == None);
}

// Guards against holding, or not holding, servers after the answer of a write
// was lost.
TEST(IdleServers, AConflictShowsWhichWriteTookEffect) {
  IdleFixture F(5);
  F.m_List.onRead(std::nullopt);
  CHECK(F.next(A).has_value());
  F.loseAnswer();
  CHECK(F.next(AB).has_value());
  CHECK(F.m_List.held() == AB);
  F.conflict(rowOf({5, A}, 300));
  CHECK(F.m_List.held() == A);
  auto Txn = F.next(AB);
  CHECK(Txn.has_value());
  CHECK_EQUAL(300u, Txn->m_Conditions[1].m_Version);
}

// Guards against a leader of a past term that uses servers on which the next
// leader, which has written the row since, does not expect any runs.
TEST(IdleServers, TheRowOfALaterLeaderFreesNoServer) {
  IdleFixture F(5);
  F.m_List.onRead(std::nullopt);
  CHECK(F.next(AB).has_value());
  F.commit();
  CHECK(F.next(None).has_value());
  F.conflict(rowOf({6, A}, 300));
  CHECK(F.m_List.held() == AB);
}

// Guards against servers that stay without tasks for the rest of the term: they
// answered again after a write that named them was rejected with a damaged row.
TEST(IdleServers, AServerOfARejectedWriteIsFreedByTheNextOne) {
  IdleFixture F(5);
  F.m_List.onRead(std::nullopt);
  CHECK(F.next(A).has_value());
  StoredRow Damaged = rowOf({5, A}, 300);
  Damaged.m_Value.clear();
  F.conflict(Damaged);
  CHECK(F.m_List.held() == A);
  auto Txn = F.next(None);
  CHECK(Txn.has_value());
  CHECK_EQUAL(300u, Txn->m_Conditions[1].m_Version);
  F.commit();
  CHECK(F.m_List.held() == None);
}
