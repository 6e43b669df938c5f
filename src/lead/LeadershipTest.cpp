//===- LeadershipTest.cpp - Tests of Leadership and DelayMonitor ----------===//

#include "lead/Leadership.h"
#include "lead/DelayMonitor.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// Two instances and the rows of LeaderTable.
struct LeadershipFixture {
  explicit LeadershipFixture(double LeaderStrength = 0.24,
                             double OtherStrength = 1)
      : m_Leader("weak", options(LeaderStrength)),
        m_Other("strong", options(OtherStrength)) {}

  static LeadershipOptions options(double Strength) {
    LeadershipOptions Options;
    Options.m_RelativeCapacity = Strength;
    return Options;
  }

  /// Applies \p Txn as the store does and returns its outcome.
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

  /// Reports all new rows to both instances.
  void showRows() {
    for (; m_Shown < m_Rows.size(); ++m_Shown)
      for (Leadership *L : {&m_Leader, &m_Other})
        L->onRow(m_Rows[m_Shown], m_Now);
    for (Leadership *L : {&m_Leader, &m_Other})
      L->onFeedAnswer(TimePoint{}, m_Now, m_Version, m_Now);
  }

  bool takeOver(Leadership &Who) {
    auto Txn = Who.tryTakeOver(m_Now);
    if (!Txn)
      return false;
    Who.onTakeOverResult(commit(*Txn), m_Now, m_Now);
    showRows();
    return Who.isLeading();
  }

  void renewOverloaded() {
    RenewalRow Row;
    Row.m_IsOverloaded = true;
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

// Guards against an overloaded leader that keeps its term. Seen with an
// instance of 0.12 of a core and a link of 10 Mbit/s that led 350 servers: it
// fell seconds behind its work.
TEST(Leadership, HigherCapacityInstanceReplacesAnOverloadedLeader) {
  LeadershipFixture P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.renewOverloaded();
  auto Offer = P.m_Other.offerHandover(P.m_Now);
  CHECK(Offer.has_value());
  CHECK(P.commit(*Offer).m_Committed);
  P.showRows();
  CHECK(P.m_Leader.isHandoverOffered());
  P.commit(P.m_Leader.release(P.m_Now));
  P.showRows();
  CHECK_FALSE(P.m_Leader.tryTakeOver(P.m_Now).has_value());
  CHECK(P.takeOver(P.m_Other));
}

TEST(Leadership, NoHandoverIsOfferedToALeaderThatIsNotOverloaded) {
  LeadershipFixture P(0.6);
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.commit(P.m_Leader.renew({}, P.m_Now));
  P.showRows();
  CHECK_FALSE(P.m_Other.offerHandover(P.m_Now).has_value());
  P.m_Now += 10s;
  CHECK_FALSE(P.m_Other.offerHandover(P.m_Now).has_value());
}

// An instance of 0.12 of a core took over 1,100 servers while stronger ones
// were alive, and led until it was overloaded.
TEST(Leadership, AMuchStrongerInstanceReplacesAWeakLeaderBeforeItIsOverloaded) {
  LeadershipFixture P(0.24);
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.commit(P.m_Leader.renew({}, P.m_Now));
  P.showRows();
  CHECK_FALSE(P.m_Other.offerHandover(P.m_Now).has_value());
  P.m_Now += 1200ms;
  CHECK(P.m_Other.offerHandover(P.m_Now).has_value());
}

// In a rolling restart of all instances the leader is stopped once. A successor
// that has not been restarted yet is stopped as well, some seconds later.
TEST(Leadership, AnInstanceThatWasJustRestartedTakesOverBeforeOneThatWasNot) {
  LeadershipOptions Restarted, Old;
  Restarted.m_MaxAgeDelay = Old.m_MaxAgeDelay = 120ms;
  Restarted.m_StartedAt = TimePoint(95s);
  Old.m_StartedAt = TimePoint(10s);
  Leadership A("restarted", Restarted), B("old", Old);
  TimePoint Now(100s);
  CHECK(A.electionDelay(Now) + 40ms < B.electionDelay(Now));
  CHECK(A.electionDelay(Now + 1h) == B.electionDelay(Now + 1h));
}

namespace {

constexpr std::chrono::milliseconds MaxCountAge{4750};

RenewalRow counted(std::uint32_t Jobs, std::chrono::milliseconds AsOf) {
  RenewalRow Row;
  Row.m_Loads.m_Queues[QueueName("q")].m_WaitingJobs = Jobs;
  Row.m_Loads.m_AsOf = AsOf;
  return Row;
}

} // namespace

// Guards against too low counts of waiting jobs after a change of the leader:
// the next leader had not read the jobs and counted none.
TEST(Leadership, RepeatedCountsKeepTheirAge) {
  LeadershipFixture P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.commit(P.m_Leader.renew(counted(188, 90s), P.m_Now));
  P.showRows();
  P.commit(P.m_Leader.release(P.m_Now));
  P.showRows();
  CHECK(P.takeOver(P.m_Other));
  RenewalRow Repeated;
  Repeated.m_Loads = P.m_Other.renewal().m_Loads;
  P.commit(P.m_Other.renew(Repeated, P.m_Now));
  P.showRows();
  for (const Leadership *L : {&P.m_Leader, &P.m_Other}) {
    auto Count = L->waitingJobs(QueueName("q"), 94s, MaxCountAge);
    CHECK(Count && Count.value() == 188);
    CHECK(L->waitingJobs(QueueName("q"), 95s, MaxCountAge).has_error());
  }
}

// Guards against too low counts of waiting jobs from an instance that has just
// started, or has just reached the store again: it took the last renewal of a
// stopped leader for a new one.
TEST(Leadership, CountsOfAStoppedLeaderAreNotNewToAnInstanceThatReadsThemLate) {
  LeadershipFixture P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.commit(P.m_Leader.renew(counted(0, 90s), P.m_Now));
  P.m_Now += 6s;
  P.showRows();
  auto Count = P.m_Other.waitingJobs(QueueName("q"), 96s, MaxCountAge);
  CHECK(Count.has_error());
  CHECK(Count.error().m_Code == ErrorCode::Unavailable);
}

TEST(Leadership, CountsOfUnknownAgeAreRefused) {
  LeadershipFixture P;
  CHECK(
      P.m_Other.waitingJobs(QueueName("q"), 90s, MaxCountAge).error().m_Code ==
      ErrorCode::NotFound);
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.commit(P.m_Leader.renew(counted(3, 0s), P.m_Now));
  P.showRows();
  CHECK(P.m_Other.waitingJobs(QueueName("q"), 90s, MaxCountAge).has_error());
  P.commit(P.m_Leader.renew(counted(3, 90s), P.m_Now));
  P.showRows();
  CHECK(P.m_Other.waitingJobs(QueueName("q"), 90s, MaxCountAge).has_value());
  CHECK(P.m_Other.waitingJobs(QueueName("q"), std::nullopt, MaxCountAge)
            .has_error());
}

// The clock of a store that was set up anew starts at 0.
TEST(Leadership, CountsFromBeforeAResetOfTheStoreClockAreRefused) {
  LeadershipFixture P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.commit(P.m_Leader.renew(counted(3, 90s), P.m_Now));
  P.showRows();
  CHECK(P.m_Other.waitingJobs(QueueName("q"), 1s, MaxCountAge).has_error());
  P.commit(P.m_Leader.renew(counted(4, 1s), P.m_Now));
  P.showRows();
  CHECK_EQUAL(4u,
              P.m_Other.waitingJobs(QueueName("q"), 1s, MaxCountAge).value());
}

TEST(Leadership, InstanceOfEqualCapacityOffersNoHandover) {
  LeadershipFixture P(0.5, 0.5);
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.renewOverloaded();
  CHECK_FALSE(P.m_Other.offerHandover(P.m_Now).has_value());
}

TEST(Leadership, HandoverOfferForAnEarlierTermIsIgnored) {
  LeadershipFixture P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.renewOverloaded();
  auto Offer = P.m_Other.offerHandover(P.m_Now);
  CHECK(Offer.has_value());
  P.commit(P.m_Leader.release(P.m_Now));
  P.showRows();
  P.m_Now += 10s;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  CHECK_FALSE(P.commit(*Offer).m_Committed);
  P.showRows();
  CHECK_FALSE(P.m_Leader.isHandoverOffered());
}

TEST(Leadership, InstanceOffersAHandoverOncePerTerm) {
  LeadershipFixture P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.renewOverloaded();
  CHECK(P.m_Other.offerHandover(P.m_Now).has_value());
  CHECK_FALSE(P.m_Other.offerHandover(P.m_Now).has_value());
}

// A renewal each 250 ms kept the leader's partition of a store that takes 400
// ms for one busy, until the term expired.
TEST(Leadership, RenewalsWaitForTheAnswerOfASlowStore) {
  LeadershipFixture P;
  P.showRows();
  CHECK(P.takeOver(P.m_Leader));
  P.m_Now += 250ms;
  CHECK(P.m_Leader.isRenewalDue(P.m_Now));
  P.m_Leader.renew({}, P.m_Now);
  TimePoint Sent = P.m_Now;
  P.m_Now += 300ms;
  CHECK_FALSE(P.m_Leader.isRenewalDue(P.m_Now));
  P.m_Leader.onRenewResult(makeError(ErrorCode::RateLimited, "renew"), Sent);
  CHECK(P.m_Leader.isRenewalDue(P.m_Now));
  P.m_Leader.renew({}, P.m_Now);
  // The answer may have been lost.
  P.m_Now += 350ms;
  CHECK(P.m_Leader.isRenewalDue(P.m_Now));
}

TEST_GROUP(DelayMonitor) {
  DelayMonitor m_Monitor;
  TimePoint m_Now{100s};

  void timers(Duration Late, Duration For) {
    for (TimePoint End = m_Now + For; m_Now < End;) {
      m_Now += 20ms + Late;
      m_Monitor.addSample(Late, m_Now);
    }
  }
};

TEST(DelayMonitor, DetectsTimersThatAreLateForSeconds) {
  timers(2ms, 5s);
  CHECK_FALSE(m_Monitor.isOverloaded(m_Now));
  timers(400ms, 5s);
  CHECK(m_Monitor.isOverloaded(m_Now));
}

TEST(DelayMonitor, ToleratesASinglePauseOfTheMachine) {
  timers(2ms, 5s);
  m_Now += 8s;
  m_Monitor.addSample(8s, m_Now);
  for (int I = 0; I < 250; ++I) {
    timers(2ms, 20ms);
    CHECK_FALSE(m_Monitor.isOverloaded(m_Now));
  }
}
