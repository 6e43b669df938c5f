//===- QueueRulesTest.cpp - Tests of the rules of removed queues ----------===//
//
// The rules of a queue have to outlive its route: jobs that were accepted by it
// still run, also under a leader that never had the queue in its configuration.
//
//===----------------------------------------------------------------------===//

#include "lead/Leadership.h"
#include "scheduling/QueueRecords.h"
#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

const QueueName Asks("asks");

/// A leader whose configuration has never had the queue. Jobs that are added
/// were accepted with earlierRules().
struct LaterLeader : SchedulerFixture {
  /// \p Version: that of the leader's configuration.
  explicit LaterLeader(std::uint64_t Version) : SchedulerFixture(2) {
    SchedulerOptions Options;
    Options.m_Term = 2;
    Options.m_TermVersion = 100;
    m_Core = Scheduler::create(Options, m_Orders, m_Now);
    m_Writer = ProgressWriter::create(*m_Core, termCondition());
    m_Core->onInstances({}, m_Now, m_Now);
    m_Core->onConfig(
        ServingConfig::create(Version, {}, {{PoolName("desk"), false, true}}));
    m_AcceptedRules = earlierRules();
  }
  /// Accepted with four attempts, priority 2 and 500 ms of slack.
  static QueueRules earlierRules(std::uint64_t Version = 3) {
    QueueRules Rules;
    Rules.m_ConfigVersion = Version;
    Rules.m_Pool = PoolName("desk");
    Rules.m_Attempts = 4;
    Rules.m_Priority = 2;
    Rules.m_DurationFactor = 2.0;
    Rules.m_Slack = 500ms;
    return Rules;
  }
  /// Lets the task of "j" fail \p Times times.
  void failRuns(std::uint32_t Times) {
    for (std::uint32_t N = 1; N <= Times; ++N) {
      tick();
      const RunId Run = m_Orders.m_Starts.back().m_Run;
      answerPoll("s1", {}, {{++m_LastEnd, Run, EndKind::Failed, ""}});
      advance(5s);
      tick();
      answerPoll("s1", {}, {});
    }
  }

private:
  std::uint64_t m_LastEnd = 0;
};

/// The committed content of the queue's row, or nothing if none was due.
std::optional<QueueRules> storedRules(QueueRecords &Records, TimePoint Now) {
  auto Txn = Records.next(Now);
  if (!Txn || Txn->m_Puts.empty())
    return std::nullopt;
  CommitOutcome Outcome;
  Outcome.m_Committed = true;
  Outcome.m_Version = 2000;
  Records.onResult(Outcome);
  return decodeQueueRules(Txn->m_Puts.at(0).m_Value).value().m_Rules;
}

StoredRow rowOf(const QueueRules &Rules, RowVersion Version = 500) {
  return {queueRulesAddress(Asks), encodeQueueRules({Asks, Rules}), Version,
          false};
}

std::unique_ptr<QueueRecords> recordsOf(SchedulerFixture &W) {
  return QueueRecords::create(W.m_Core->queues(),
                              SchedulerFixture::termCondition());
}

} // namespace

TEST_GROUP(QueueRules){};

// A queue's route was removed and the instances restarted. The next leader gave
// each task one attempt, so that a job failed with its first failed run.
TEST(QueueRules, ANewLeaderWithoutTheQueueKeepsTheNumberOfAttempts) {
  LaterLeader W(4);
  W.addServer("s1");
  W.addJob("j", {SchedulerFixture::step(1)});
  W.failRuns(3);
  CHECK(W.job("j").m_State == JobState::Running);
  CHECK_EQUAL(4u, W.m_Orders.m_Starts.size());
  W.failRuns(1);
  CHECK(W.job("j").m_State == JobState::Failed);
  CHECK_EQUAL(4u, W.m_Orders.m_Starts.size());
}

// Without a priority such jobs went before all others. Without factor and slack
// they were late from the beginning.
TEST(QueueRules, ANewLeaderWithoutTheQueueKeepsPriorityAndObjective) {
  LaterLeader W(4);
  W.addJob("j", {SchedulerFixture::step(1)});
  CHECK_EQUAL(2u, W.job("j").m_Priority);
  CHECK(W.job("j").m_AcceptedAt + 2500ms == W.job("j").m_Objective);
}

// Starts without a ticket are rejected, and were repeated with each decision.
TEST(QueueRules, ANewLeaderWithoutTheQueueStillAsksItsAdviser) {
  LaterLeader W(4);
  W.m_AcceptedRules->m_Advice = AdvicePolicy{10ms, 0ms, 2000ms};
  W.addServer("s1");
  W.addJob("j", {SchedulerFixture::step(1)});
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, W.m_Orders.m_Advice.size());
}

// The same leader stays. Pool and adviser were lost with the route.
TEST(QueueRules, ARemovedQueueKeepsItsPoolAndAdviser) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addServer("a1", 4, "annex");
  W.moveQueue("annex");
  W.setAdvicePolicy({10ms, 0ms, 2000ms});
  W.addJob("j", {SchedulerFixture::step(1)});
  W.removeQueue();
  STRCMP_EQUAL("annex", W.job("j").pool().m_Text.c_str());
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, W.m_Orders.m_Advice.size());
}

// Another instance accepts a job of a queue that was just added. The leader
// learns of the job first, and took it for one of an unknown queue.
TEST(QueueRules, ALeaderWithAnOlderConfigurationUsesTheRulesOfTheJob) {
  LaterLeader W(4);
  W.m_AcceptedRules = LaterLeader::earlierRules(5);
  W.addJob("j", {SchedulerFixture::step(1)});
  CHECK_EQUAL(4u, W.job("j").m_Attempts);
  CHECK_EQUAL(2u, W.job("j").m_Priority);
}

// The leader knows an older version of the queue than the instance that
// accepted the job.
TEST(QueueRules, TheNewestKnownVersionOfAQueueHoldsForAllItsJobs) {
  SchedulerFixture W;
  W.addJob("first", {SchedulerFixture::step(1)});
  W.m_AcceptedRules->m_ConfigVersion = 9;
  W.m_AcceptedRules->m_Attempts = 5;
  W.addJob("second", {SchedulerFixture::step(1)});
  CHECK_EQUAL(5u, W.job("first").m_Attempts);
  CHECK_EQUAL(5u, W.job("second").m_Attempts);
}

// An operator's change also holds for the jobs that wait.
TEST(QueueRules, AChangeOfTheQueueHoldsForAcceptedJobs) {
  SchedulerFixture W;
  W.addJob("j", {SchedulerFixture::step(1)});
  QueueRules Changed = *W.m_AcceptedRules;
  Changed.m_Attempts = 7;
  W.setRules(Changed);
  CHECK_EQUAL(7u, W.job("j").m_Attempts);
  W.removeQueue();
  CHECK_EQUAL(7u, W.job("j").m_Attempts);
}

// A late row of an instance that lags must not bring back older rules.
TEST(QueueRules, AJobAcceptedWithOlderRulesDoesNotChangeThoseInForce) {
  SchedulerFixture W;
  W.addJob("j", {SchedulerFixture::step(1)});
  QueueRules Old = *W.m_AcceptedRules, Changed = Old;
  Changed.m_Attempts = 7;
  W.setRules(Changed);
  W.m_AcceptedRules = Old;
  W.addJob("late", {SchedulerFixture::step(1)});
  W.removeQueue();
  CHECK_EQUAL(7u, W.job("j").m_Attempts);
  CHECK_EQUAL(7u, W.job("late").m_Attempts);
}

// The queue was changed, then removed, then the leader was lost. The rows of
// its jobs hold rules that were out of force before.
TEST(QueueRules, ANewLeaderLearnsTheRulesThatWereLastInForce) {
  SchedulerFixture W;
  auto Records = recordsOf(W);
  W.addJob("j", {SchedulerFixture::step(1)});
  QueueRules Changed = *W.m_AcceptedRules;
  Changed.m_Attempts = 7;
  Changed.m_Pool = PoolName("annex");
  const auto RulesOfTheRow = W.m_AcceptedRules;
  W.setRules(Changed);
  auto Stored = storedRules(*Records, W.m_Now);
  CHECK(Stored.has_value());

  LaterLeader Next(9);
  recordsOf(Next)->onRead(rowOf(*Stored));
  Next.m_AcceptedRules = RulesOfTheRow;
  Next.addJob("j", {SchedulerFixture::step(1)});
  CHECK_EQUAL(7u, Next.job("j").m_Attempts);
  STRCMP_EQUAL("annex", Next.job("j").pool().m_Text.c_str());
}

// Each write has a price, and most queues never change under their jobs.
TEST(QueueRules, AQueueThatOnlyGoesNeedsNoRow) {
  SchedulerFixture W;
  auto Records = recordsOf(W);
  W.addJob("j", {SchedulerFixture::step(1)});
  W.setRules(*W.m_AcceptedRules);
  W.removeQueue();
  CHECK(!Records->next(W.m_Now));
}

// A queue that is changed back must not get the rules of the stored row.
TEST(QueueRules, ARowWithOtherRulesIsReplaced) {
  SchedulerFixture W;
  auto Records = recordsOf(W);
  W.addJob("j", {SchedulerFixture::step(1)});
  const QueueRules First = *W.m_AcceptedRules;
  QueueRules Changed = First;
  Changed.m_Attempts = 7;
  W.setRules(Changed);
  CHECK_EQUAL(7u, storedRules(*Records, W.m_Now)->m_Attempts);
  W.setRules(First);
  W.advance(200ms);
  auto Stored = storedRules(*Records, W.m_Now);
  CHECK_EQUAL(First.m_Attempts, Stored->m_Attempts);
  CHECK_EQUAL(3u, Stored->m_ConfigVersion);
  W.advance(200ms);
  CHECK(!Records->next(W.m_Now));
}

// Rows of an earlier version hold no rules, and only the configuration tells
// them.
TEST(QueueRules, TheRulesOfJobsOfAnEarlierVersionAreStored) {
  SchedulerFixture W;
  auto Records = recordsOf(W);
  W.m_AcceptedRules.reset();
  W.addJob("j", {SchedulerFixture::step(1)});
  CHECK_EQUAL(2u, W.job("j").m_Attempts);
  CHECK_EQUAL(2u, storedRules(*Records, W.m_Now)->m_Attempts);
}

// One failed run is no cause to give up a job whose rules nobody knows any
// more, and it must not go before jobs that an operator has ranked.
TEST(QueueRules, AJobOfAnUnknownQueueOfAnEarlierVersionHasAttempts) {
  LaterLeader W(4);
  W.m_AcceptedRules.reset();
  W.addServer("s1");
  W.addJob("j", {SchedulerFixture::step(1)});
  STRCMP_EQUAL("desk", W.job("j").pool().m_Text.c_str());
  W.failRuns(2);
  CHECK(W.job("j").m_State == JobState::Running);
  CHECK(W.job("j").m_Priority > 1000);
}

// A write must not take effect after the term, nor replace a row unseen.
TEST(QueueRules, AWriteDependsOnTheTermAndOnTheRowThatItReplaces) {
  SchedulerFixture W;
  auto Records = recordsOf(W);
  W.addJob("j", {SchedulerFixture::step(1)});
  QueueRules Changed = *W.m_AcceptedRules;
  Changed.m_Attempts = 7;
  Records->onRead(rowOf(*W.m_AcceptedRules, 77));
  W.setRules(Changed);
  auto Txn = Records->next(W.m_Now);
  CHECK(Txn.has_value());
  CHECK_EQUAL(2u, Txn->m_Conditions.size());
  CHECK_EQUAL(77u, Txn->m_Conditions[0].m_Version);
  STRCMP_EQUAL(SchedulerFixture::termCondition().m_At.m_Key.c_str(),
               Txn->m_Conditions[1].m_At.m_Key.c_str());
}

// The reply to a write may be lost although it has taken effect.
TEST(QueueRules, AWriteWhoseReplyWasLostIsNotRepeatedForEver) {
  SchedulerFixture W;
  auto Records = recordsOf(W);
  W.addJob("j", {SchedulerFixture::step(1)});
  QueueRules Changed = *W.m_AcceptedRules;
  Changed.m_Attempts = 7;
  W.setRules(Changed);
  auto First = Records->next(W.m_Now);
  CHECK(First.has_value());
  Records->onResult(makeError(ErrorCode::Timeout, "commit"));
  W.advance(200ms);
  CHECK(Records->next(W.m_Now).has_value());
  CommitOutcome Conflict;
  Conflict.m_Conflicts = {
      {queueRulesAddress(Asks), First->m_Puts[0].m_Value, 600, false}};
  Records->onResult(Conflict);
  W.advance(200ms);
  CHECK(!Records->next(W.m_Now));
}

// A row that cannot be decoded must neither stop the term nor stay.
TEST(QueueRules, AnUnreadableRowIsReplaced) {
  SchedulerFixture W;
  auto Records = recordsOf(W);
  const StoredRow Bad{queueRulesAddress(Asks), "{\"queue\":1", 77, false};
  CHECK(!Records->onRead(Bad));
  W.m_AcceptedRules.reset();
  W.addJob("j", {SchedulerFixture::step(1)});
  CHECK(Records->next(W.m_Now).has_value());
  CommitOutcome Conflict;
  Conflict.m_Conflicts = {Bad};
  Records->onResult(Conflict);
  W.advance(200ms);
  auto Txn = Records->next(W.m_Now);
  CHECK(Txn.has_value());
  CHECK_EQUAL(77u, Txn->m_Conditions[0].m_Version);
}

// Thousands of queues come and go.
TEST(QueueRules, TheRowOfAQueueWithoutJobsIsRemoved) {
  SchedulerFixture W;
  auto Records = recordsOf(W);
  Records->onRead(rowOf(LaterLeader::earlierRules(), 77));
  CHECK(!Records->next(W.m_Now));
  W.advance(61s);
  auto Txn = Records->next(W.m_Now);
  CHECK(Txn.has_value());
  CHECK_EQUAL(1u, Txn->m_Deletes.size());
  CommitOutcome Outcome;
  Outcome.m_Committed = true;
  Records->onResult(Outcome);
  W.advance(200ms);
  CHECK(!Records->next(W.m_Now));
  CHECK(W.m_Core->queues().all().empty());
}

// Guards against fields that change places.
TEST(QueueRules, AllFieldsAreReadAsTheyWereWritten) {
  QueueRules Rules = LaterLeader::earlierRules();
  Rules.m_DurationFactor = 1.3;
  Rules.m_Advice = AdvicePolicy{1ms, 2ms, 3ms};
  QueueRulesRow Read =
      decodeQueueRules(encodeQueueRules({Asks, Rules})).value();
  STRCMP_EQUAL("asks", Read.m_Queue.m_Text.c_str());
  CHECK(haveSameEffect(Rules, Read.m_Rules));
  CHECK_EQUAL(3u, Read.m_Rules.m_ConfigVersion);
  JobSpec Job;
  Job.m_Id = JobId("j");
  Job.m_Rules = Rules;
  Job = decodeJob(encodeJob(Job)).value();
  CHECK(Job.m_Rules && haveSameEffect(Rules, *Job.m_Rules));
  Rules.m_Advice->m_TicketLifetime = 4ms;
  CHECK(!haveSameEffect(Rules, Read.m_Rules));
}
