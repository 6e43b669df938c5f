//===- RecurringJobTest.cpp - Tests of jobs with several occurrences ------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A later leader whose clock says that the second occurrence of job "j" is due
/// in 2 s. Each occurrence has two tasks.
struct SlowClockFixture : SchedulerFixture {
  SlowClockFixture() : SchedulerFixture(2) {
    addServer("s1");
    m_Core->onInstances({}, m_Now, m_Now);
  }

  void addRecurringJob(JobProgress Progress = {}) {
    JobSpec Job;
    Job.m_Id = JobId("j");
    Job.m_Queue = QueueName("asks");
    Job.m_Pool = PoolName("desk");
    Job.m_Steps = {step(2)};
    Job.m_Occurrences = 3;
    Job.m_FirstDue = wall() - 8s;
    Job.m_Interval = 10s;
    Job.m_AcceptedAt = wall() - 9s;
    // The first occurrence has ended.
    Progress.m_State = JobState::Running;
    Progress.m_Done[{0, 0}] = {true, true};
    m_Core->onJob(std::move(Job), std::move(Progress), 1, 1, m_Now, wall());
  }
  static RunId runOfSecond(std::uint32_t Index) {
    return {{JobId("j"), 1, 0, Index}, 1};
  }
  bool hasStarted(const TaskId &Task) const {
    for (const StartOrder &Order : m_Orders.m_Starts)
      if (Order.m_Run.m_Task == Task)
        return true;
    return false;
  }
  /// Polls the server, which the next answerPoll() answers.
  void poll() {
    advance(1s);
    m_Core->markSuspected(ServerId("s1"), m_Now);
    tick();
  }
  /// Lets the second occurrence become due and starts its tasks.
  void startSecondOccurrence() {
    advance(5s);
    poll();
    answerPoll("s1");
    tick();
    record();
    poll();
    answerPoll("s1");
    tick();
  }
};

} // namespace

TEST_GROUP(RecurringJob){};

// A leader with a slower clock wrote the state row of a job. The row lost the
// ends of an occurrence that was not due by that clock, and the next leader ran
// these tasks again.
TEST(RecurringJob, ARecordKeepsTheEndsOfAnOccurrenceThatIsNotDueYet) {
  SlowClockFixture W;
  JobProgress Progress;
  Progress.m_Done[{1, 0}] = {true, false};
  W.addRecurringJob(Progress);
  JobProgress Written = W.m_Core->jobs().progressOf(W.job("j"), W.wall());
  CHECK_EQUAL(1u, Written.m_Done.count({1, 0}));
}

// A leader with a slower clock acknowledged the end of a task of an occurrence
// that was not due by that clock, did not record it, and ran the task again.
TEST(RecurringJob, AnEndOfAnOccurrenceThatIsNotDueYetIsRecorded) {
  SlowClockFixture W;
  W.addRecurringJob();
  W.poll();
  W.answerPoll("s1", {}, {{1, W.runOfSecond(0), EndKind::Done, ""}});
  ServerState &S = *W.m_Core->servers().find(ServerId("s1"));
  CHECK_EQUAL(0u, S.m_LastRecordedEnd);
  W.record();
  CHECK_EQUAL(1u, S.m_LastRecordedEnd);
  W.startSecondOccurrence();
  CHECK_FALSE(W.hasStarted(W.runOfSecond(0).m_Task));
  CHECK(W.hasStarted(W.runOfSecond(1).m_Task));
}

// A leader with a slower clock stopped the runs of an occurrence that was not
// due by that clock, and their work was lost.
TEST(RecurringJob, ARunOfAnOccurrenceThatIsNotDueYetIsAdopted) {
  SlowClockFixture W;
  W.addRecurringJob();
  W.poll();
  W.answerPoll("s1", {{W.runOfSecond(0), "", 40, 0}});
  CHECK_EQUAL(0u, W.m_Orders.m_Stops.size());
  CHECK_EQUAL(1u, W.m_Core->servers().find(ServerId("s1"))->m_Runs.size());
  CHECK_EQUAL(1u, W.job("j").task(W.runOfSecond(0).m_Task)->m_Runs.size());
}

// A conflicting row of an earlier leader told of the end of a task. A leader
// with a slower clock did not merge it, and ran the task again.
TEST(RecurringJob, StoredEndsOfAnOccurrenceThatIsNotDueYetAreMerged) {
  SlowClockFixture W;
  W.addRecurringJob();
  JobProgress Stored;
  Stored.m_Done[{1, 0}] = {true, false};
  W.m_Core->mergeStoredProgress(W.job("j"), Stored);
  W.startSecondOccurrence();
  CHECK_FALSE(W.hasStarted(W.runOfSecond(0).m_Task));
  CHECK(W.hasStarted(W.runOfSecond(1).m_Task));
}

// A server that names an occurrence which the job does not have.
TEST(RecurringJob, AnOccurrenceBeyondTheLastOneIsIgnored) {
  SlowClockFixture W;
  W.addRecurringJob();
  W.poll();
  W.answerPoll("s1", {}, {{1, {{JobId("j"), 9, 0, 0}, 1}, EndKind::Done, ""}});
  CHECK_EQUAL(1u, W.job("j").m_Occurrences.size());
}
