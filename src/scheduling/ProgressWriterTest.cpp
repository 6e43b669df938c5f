//===- ProgressWriterTest.cpp - Tests of recording progress ---------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// Adds \p Count jobs of one task each, whose tasks are done but not yet
/// recorded.
void finishJobs(SchedulerFixture &W, std::size_t Count) {
  W.addServer("s1", static_cast<int>(Count));
  for (std::size_t N = 0; N < Count; ++N)
    W.addJob("job" + std::to_string(N), {W.step(1)});
  W.tick();
  std::vector<EndReport> Ends;
  for (std::size_t N = 0; N < Count; ++N) {
    W.answerStart(N);
    Ends.push_back({N + 1, W.m_Orders.m_Starts[N].m_Run, EndKind::Done, ""});
  }
  W.tick();
  W.answerPoll("s1", {}, Ends);
}

std::set<std::string> partitionsOf(const RowTransaction &Txn) {
  std::set<std::string> Partitions;
  for (const RowPut &P : Txn.m_Puts)
    Partitions.insert(P.m_At.m_Partition);
  return Partitions;
}

const Error Down = makeError(ErrorCode::Unavailable, "commit");

CommitOutcome committed(RowVersion Version) {
  CommitOutcome Outcome;
  Outcome.m_Committed = true;
  Outcome.m_Version = Version;
  return Outcome;
}

} // namespace

TEST_GROUP(ProgressWriter){};

TEST(ProgressWriter, RecordsManyJobsInOneTransaction) {
  SchedulerFixture W;
  finishJobs(W, 20);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(Next.has_value());
  CHECK_EQUAL(20u, Next->m_Txn.m_Puts.size());
  CHECK_EQUAL(20u, Next->m_Txn.m_Deletes.size());
  W.m_Writer->onResult(Next->m_Number, committed(500), W.m_Now);
  CHECK_EQUAL(0u, W.m_Core->jobs().all().size());
}

// A third of the store's partitions are unavailable for seconds. In the failure
// that this guards against, no job was reported as completed until all
// partitions were available again.
TEST(ProgressWriter, UnavailablePartitionDoesNotDelayOthers) {
  SchedulerFixture W;
  finishJobs(W, 20);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  const std::string FailedPartition =
      Next->m_Txn.m_Puts.front().m_At.m_Partition;
  W.m_Writer->onResult(Next->m_Number, Down, W.m_Now);
  for (int Tries = 0; Tries < 200; ++Tries) {
    W.advance(10ms);
    Next = W.m_Writer->next(W.m_Now, W.wall());
    if (!Next)
      continue;
    bool Fails = partitionsOf(Next->m_Txn).count(FailedPartition) != 0;
    if (Fails)
      W.m_Writer->onResult(Next->m_Number, Down, W.m_Now);
    else
      W.m_Writer->onResult(Next->m_Number, committed(500), W.m_Now);
  }
  CHECK(!W.m_Core->jobs().all().empty());
  for (const auto &[Id, Job] : W.m_Core->jobs().all())
    STRCMP_EQUAL(FailedPartition.c_str(),
                 jobStateAddress(Id).m_Partition.c_str());
}

TEST(ProgressWriter, ConflictWithAFinalStateEndsTheJob) {
  SchedulerFixture W;
  finishJobs(W, 1);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  JobProgress Cancelled;
  Cancelled.m_State = JobState::Cancelled;
  CommitOutcome Conflict;
  Conflict.m_Conflicts.push_back(
      {jobStateAddress(JobId("job0")), encodeProgress(Cancelled), 77, false});
  W.m_Writer->onResult(Next->m_Number, Conflict, W.m_Now);
  CHECK_EQUAL(0u, W.m_Core->jobs().all().size());
}

// A leader that was replaced took the record of a start by the next leader for
// its own, and started the task beside that leader's run.
TEST(ProgressWriter, TheRecordOfALaterLeaderPermitsNoStart) {
  for (bool IsReplaced : {true, false}) {
    SchedulerFixture W;
    W.m_Core->setRecordsStarts(true);
    W.addServer("s1");
    W.addJob("j", {W.step(1)});
    W.tick();
    auto Next = W.m_Writer->next(W.m_Now, W.wall());
    JobProgress Stored;
    Stored.m_State = JobState::Running;
    Stored.m_StartedSteps = {{0, 0}};
    CommitOutcome Conflict;
    if (IsReplaced)
      Conflict.m_Conflicts.push_back({W.termCondition().m_At, {}, 101, false});
    Conflict.m_Conflicts.push_back(
        {jobStateAddress(JobId("j")), encodeProgress(Stored), 77, false});
    W.m_Writer->onResult(Next->m_Number, Conflict, W.m_Now);
    W.tick();
    CHECK_EQUAL(IsReplaced ? 0u : 1u, W.m_Orders.m_Starts.size());
  }
}

// The store returns the rows of all conditions of a rejected write, the term
// row among them. A leader that took that for a later term merged nothing, so
// that its jobs never ended once the answer to a write was lost.
TEST(ProgressWriter, AnUnchangedTermRowAmongTheConflictsEndsNoTerm) {
  SchedulerFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  JobProgress Stored;
  Stored.m_State = JobState::Running;
  Stored.m_StartedSteps = {{0, 0}};
  CommitOutcome Conflict;
  const RowCondition Term = W.termCondition();
  Conflict.m_Conflicts.push_back({Term.m_At, {}, Term.m_Version, false});
  Conflict.m_Conflicts.push_back(
      {jobStateAddress(JobId("j")), encodeProgress(Stored), 77, false});
  W.m_Writer->onResult(Next->m_Number, Conflict, W.m_Now);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// Guards against a job that the leader forgets although it has not ended,
// because the row in the store's answer was damaged.
TEST(ProgressWriter, ConflictWithAnUnreadableRowKeepsTheJob) {
  SchedulerFixture W;
  finishJobs(W, 1);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  const RowVersion Known = Next->m_Txn.m_Conditions[0].m_Version;
  CommitOutcome Conflict;
  Conflict.m_Conflicts.push_back(
      {jobStateAddress(JobId("job0")), "", 77, false});
  W.m_Writer->onResult(Next->m_Number, Conflict, W.m_Now);
  CHECK_EQUAL(1u, W.m_Core->jobs().all().size());
  CHECK_FALSE(W.m_Writer->next(W.m_Now, W.wall()).has_value());
  W.advance(100ms);
  Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(Next.has_value());
  CHECK_EQUAL(Known, Next->m_Txn.m_Conditions[0].m_Version);
}

TEST(ProgressWriter, RetriesAfterALostAnswer) {
  SchedulerFixture W;
  finishJobs(W, 1);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  W.m_Writer->onResult(Next->m_Number, makeError(ErrorCode::Timeout, "commit"),
                       W.m_Now);
  CHECK_FALSE(W.m_Writer->next(W.m_Now, W.wall()).has_value());
  W.advance(100ms);
  CHECK(W.m_Writer->next(W.m_Now, W.wall()).has_value());
}

// The first try after a failure of several partitions was sent at once, at a
// moment when the store refused calls.
TEST(ProgressWriter, WaitsAfterAFailureOfSeveralPartitions) {
  SchedulerFixture W;
  finishJobs(W, 20);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(partitionsOf(Next->m_Txn).size() > 1);
  W.m_Writer->onResult(Next->m_Number, Down, W.m_Now);
  W.advance(90ms);
  CHECK_FALSE(W.m_Writer->next(W.m_Now, W.wall()).has_value());
  W.advance(10ms);
  CHECK(W.m_Writer->next(W.m_Now, W.wall()).has_value());
}

// A store that took half a second for each transaction recorded 33 jobs at a
// time, while each transaction held up the submissions of all partitions.
TEST(ProgressWriter, PartitionsOfASlowStoreAreWrittenAtTheSameTime) {
  SchedulerFixture W;
  finishJobs(W, 20);
  auto First = W.m_Writer->next(W.m_Now, W.wall());
  W.advance(400ms);
  W.m_Writer->onResult(First->m_Number, committed(500), W.m_Now);
  for (std::size_t N = 20; N < 40; ++N)
    W.addJob("job" + std::to_string(N), {W.step(1)});
  for (auto &[Id, Job] : W.m_Core->jobs().all())
    W.m_Core->jobs().markDirty(*Job);
  std::set<std::string> Partitions;
  std::size_t Commits = 0;
  while (auto Next = W.m_Writer->next(W.m_Now, W.wall())) {
    ++Commits;
    CHECK_EQUAL(1u, partitionsOf(Next->m_Txn).size());
    Partitions.merge(partitionsOf(Next->m_Txn));
    CHECK(Next->m_Timeout > 800ms);
  }
  CHECK(Commits > 10);
  CHECK_EQUAL(Commits, Partitions.size());
}

// Recorded starts depend on the term's row, so that dozens of them at a time
// held up the renewals of the term until the leader had lost it.
TEST(ProgressWriter, NoStartIsRecordedWhileTheStoreIsSlow) {
  SchedulerFixture W;
  finishJobs(W, 1);
  W.m_Core->setRecordsStarts(true);
  auto First = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(First.has_value());
  W.addServer("s2", 4);
  W.addJob("waiting", {W.step(1)});
  W.tick();
  W.advance(200ms);
  W.tick();
  while (auto Next = W.m_Writer->next(W.m_Now, W.wall()))
    for (const RowCondition &C : Next->m_Txn.m_Conditions)
      CHECK_FALSE(C.m_At == W.termCondition().m_At);
  W.m_Writer->onResult(First->m_Number, committed(500), W.m_Now);
  W.advance(3s);
  W.tick();
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(Next.has_value());
  CHECK(Next->m_Txn.m_Conditions.back().m_At == W.termCondition().m_At);
}

// A start that waited for its record while the store was slow was forgotten
// once another change of the job had been recorded, so the job never went on.
TEST(ProgressWriter, AStartIsRecordedAfterTheStoreWasSlow) {
  SchedulerFixture W;
  finishJobs(W, 1);
  W.m_Core->setRecordsStarts(true);
  auto First = W.m_Writer->next(W.m_Now, W.wall());
  W.addServer("s2", 4);
  W.addJob("waiting", {W.step(1)});
  W.tick();
  LiveJob &Job = W.job("waiting");
  CHECK(Job.m_WantsStart);
  ++Job.m_ChangeNumber;
  W.advance(200ms);
  auto Slow = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(Slow.has_value());
  CHECK(Job.m_WantsStart && Job.m_Dirty);
  W.m_Writer->onResult(Slow->m_Number, committed(501), W.m_Now);
  W.m_Writer->onResult(First->m_Number, committed(502), W.m_Now);
  W.advance(3s);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(Next.has_value());
  CHECK(Next->m_Txn.m_Conditions.back().m_At == W.termCondition().m_At);
}

// With a third of the partitions unavailable, the others were written one after
// the other for as long as the outage lasted, which recorded too few jobs.
TEST(ProgressWriter, PartitionsAreWrittenAtTheSameTimeAfterAFailure) {
  SchedulerFixture W;
  finishJobs(W, 20);
  auto First = W.m_Writer->next(W.m_Now, W.wall());
  W.m_Writer->onResult(First->m_Number, Down, W.m_Now);
  W.advance(100ms);
  std::size_t Commits = 0;
  while (auto Next = W.m_Writer->next(W.m_Now, W.wall())) {
    ++Commits;
    CHECK_EQUAL(1u, partitionsOf(Next->m_Txn).size());
  }
  CHECK(Commits > 10);
}
