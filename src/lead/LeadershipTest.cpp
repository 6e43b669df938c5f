//===- LeadershipTest.cpp - Tests of the election and of relief -----------===//

#include "lead/Leadership.h"
#include "lead/DelayMonitor.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// Two instances and the rows of the lead, which both see at once.
struct Pair {
  explicit Pair(double LeaderStrength = 0.24, double OtherStrength = 1)
      : m_Leader("weak", options(LeaderStrength)),
        m_Other("strong", options(OtherStrength)) {}

  static LeadershipOptions options(double Strength) {
    LeadershipOptions Options;
    Options.m_Strength = Strength;
    return Options;
  }

  /// Applies \p Txn as the store would. Returns its outcome.
  CommitOutcome commit(const RowTransaction &Txn) {
    CommitOutcome Outcome;
    for (const RowCondition &C : Txn.m_Conditions)
      if (m_Versions[C.m_At.m_Key] != C.m_Version)
        return Outcome;
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_Version;
    for (const RowPut &Put : Txn.m_Puts) {
      m_Versions[Put.m_At.m_Key] = m_Version;
      m_Rows.push_back({Put.m_At, Put.m_Value, m_Version, false});
    }
    return Outcome;
  }

  /// Shows both instances what the store holds now.
  void showRows() {
    for (; m_Shown < m_Rows.size(); ++m_Shown)
      for (Leadership *L : {&m_Leader, &m_Other})
        L->onRow(m_Rows[m_Shown], m_Now);
    for (Leadership *L : {&m_Leader, &m_Other})
      L->onStoreAnswer(TimePoint{}, m_Now, m_Version, m_Now);
  }

  bool takeOver(Leadership &Who) {
    auto Txn = Who.tryTakeOver(m_Now);
    if (!Txn)
      return false;
    Who.onTakeOverResult(commit(*Txn), m_Now, m_Now);
    showRows();
    return Who.isLeading();
  }

  void renewBehind() {
    RenewalRow Row;
    Row.m_IsBehind = true;
    commit(m_Leader.renew(Row, m_Now));
    showRows();
  }

  Leadership m_Leader;
  Leadership m_Other;
  TimePoint m_Now{10s};
  RowVersion m_Version = 0;
  std::map<std::string, RowVersion> m_Versions;
  std::vector<StoredRow> m_Rows;
  std::size_t m_Shown = 0;
};

} // namespace

TEST_GROUP(Leadership){};

// Found by quiet-1 of the grown Sangha site with an instance of 0.12 of a core
// and a link of 10 Mbit/s leading 350 servers: it fell seconds behind and kept
// the lead.
TEST(Leadership, AStrongerInstanceRelievesALeaderThatFallsBehind) {
  Pair P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.renewBehind();
  auto Offer = P.m_Other.offerRelief(P.m_Now);
  CHECK(Offer.has_value());
  CHECK(P.commit(*Offer).m_Committed);
  P.showRows();
  CHECK(P.m_Leader.isRelieved());
  P.commit(P.m_Leader.release(P.m_Now));
  P.showRows();
  CHECK_FALSE(P.m_Leader.tryTakeOver(P.m_Now).has_value());
  CHECK(P.takeOver(P.m_Other));
}

TEST(Leadership, ALeaderThatKeepsUpIsNotRelieved) {
  Pair P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.commit(P.m_Leader.renew({}, P.m_Now));
  P.showRows();
  CHECK_FALSE(P.m_Other.offerRelief(P.m_Now).has_value());
}

TEST(Leadership, AnInstanceThatIsNoStrongerDoesNotOffer) {
  Pair P(0.5, 0.5);
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.renewBehind();
  CHECK_FALSE(P.m_Other.offerRelief(P.m_Now).has_value());
}

TEST(Leadership, AnOfferForAnEarlierTermRelievesNobody) {
  Pair P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.renewBehind();
  auto Offer = P.m_Other.offerRelief(P.m_Now);
  CHECK(Offer.has_value());
  P.commit(P.m_Leader.release(P.m_Now));
  P.showRows();
  P.m_Now += 10s;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  CHECK_FALSE(P.commit(*Offer).m_Committed);
  P.showRows();
  CHECK_FALSE(P.m_Leader.isRelieved());
}

TEST(Leadership, AnInstanceOffersOnceForATerm) {
  Pair P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.renewBehind();
  CHECK(P.m_Other.offerRelief(P.m_Now).has_value());
  CHECK_FALSE(P.m_Other.offerRelief(P.m_Now).has_value());
}

TEST_GROUP(DelayMonitor) {
  DelayMonitor m_Watch;
  TimePoint m_Now{100s};

  void timers(Duration Late, Duration For) {
    for (TimePoint End = m_Now + For; m_Now < End;) {
      m_Now += 20ms + Late;
      m_Watch.note(Late, m_Now);
    }
  }
};

TEST(DelayMonitor, SeesALoopThatIsLateForSeconds) {
  timers(2ms, 5s);
  CHECK_FALSE(m_Watch.isBehind(m_Now));
  timers(400ms, 5s);
  CHECK(m_Watch.isBehind(m_Now));
}

TEST(DelayMonitor, ForgetsASinglePauseOfTheMachine) {
  timers(2ms, 5s);
  m_Now += 8s;
  m_Watch.note(8s, m_Now);
  for (int I = 0; I < 250; ++I) {
    timers(2ms, 20ms);
    CHECK_FALSE(m_Watch.isBehind(m_Now));
  }
}
