//===- QueueChangeTest.cpp - Tests of queues that change under their jobs -===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// The progress of a job whose first step may have been started.
JobProgress startedProgress() {
  JobProgress P;
  P.m_State = JobState::Running;
  P.m_StartedSteps = {{0, 0}};
  return P;
}

/// The progress of the job of the next transaction, if there is one.
std::optional<JobProgress> nextRecord(SchedulerFixture &W) {
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  if (!Next)
    return std::nullopt;
  JobProgress P = decodeProgress(Next->m_Txn.m_Puts.at(0).m_Value).value();
  CommitOutcome Outcome;
  Outcome.m_Committed = true;
  Outcome.m_Version = 2000 + Next->m_Number;
  W.m_Writer->onResult(Next->m_Number, Outcome, W.m_Now);
  return P;
}

} // namespace

TEST_GROUP(QueueChange){};

// A queue was moved to another pool and back. The next leader did not look for
// runs in that pool and started a task a second time.
TEST(QueueChange, ANewLeaderWaitsForEachPoolInWhichTheQueueHadRuns) {
  SchedulerFixture W(2);
  W.addServer("s1");
  W.registerServer("a1", 4, "annex");
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  JobProgress P = startedProgress();
  P.m_OtherPools = {PoolName("annex")};
  W.addJob("j", {SchedulerFixture::step(1)}, P);
  W.tick();
  W.failPoll("a1");
  W.advance(1s);
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.answerPoll("a1", {{SchedulerFixture::run("j", 0, 0, 1), "", 0, 0}});
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, W.job("j").task({JobId("j"), 0, 0, 0})->m_Runs.size());
}

TEST(QueueChange, ANewLeaderDoesNotWaitForPoolsThatTheQueueNeverHad) {
  SchedulerFixture W(2);
  W.addServer("s1");
  W.registerServer("a1", 4, "annex");
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  W.addJob("j", {SchedulerFixture::step(1)}, startedProgress());
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// Without this record the next leader can't know of the pool.
TEST(QueueChange, AStartInAnotherPoolWaitsUntilThePoolIsRecorded) {
  SchedulerFixture W;
  W.addServer("a1", 4, "annex");
  // Starts in the pool of the job need no record in this mode.
  W.m_Core->setRecordsStarts(false);
  W.addJob("j", {SchedulerFixture::step(1)});
  W.moveQueue("annex");
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  W.advance(100ms);
  auto P = nextRecord(W);
  CHECK(P.has_value());
  CHECK(P->m_OtherPools == std::set<PoolName>{PoolName("annex")});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// The record of the pool must not take effect after the term has ended.
TEST(QueueChange, TheRecordOfAPoolDependsOnTheTerm) {
  SchedulerFixture W;
  W.addServer("a1", 4, "annex");
  W.addJob("j", {SchedulerFixture::step(1)}, startedProgress());
  W.moveQueue("annex");
  W.tick();
  W.advance(100ms);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(Next.has_value());
  const auto &Conditions = Next->m_Txn.m_Conditions;
  CHECK(std::any_of(
      Conditions.begin(), Conditions.end(), [](const RowCondition &C) {
        return C.m_At.m_Table == SchedulerFixture::termCondition().m_At.m_Table;
      }));
}

// The next leader has to learn of the pools of all earlier leaders.
TEST(QueueChange, TheRecordKeepsPoolsOfEarlierLeaders) {
  SchedulerFixture W(2);
  W.addServer("s1");
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  JobProgress P;
  P.m_OtherPools = {PoolName("annex")};
  W.addJob("j", {SchedulerFixture::step(1)}, P);
  W.m_Core->setRecordsStarts(true);
  W.tick();
  W.advance(100ms);
  auto Record = nextRecord(W);
  CHECK(Record.has_value());
  CHECK(Record->m_OtherPools == P.m_OtherPools);
}

// Rows of earlier versions lack the member.
TEST(QueueChange, ARowWithoutOtherPoolsIsRead) {
  auto P = decodeProgress(R"({"state":1,"changed":5,"started":[[0,0]]})");
  CHECK(P.has_value());
  CHECK(P.value().m_OtherPools.empty());
}
