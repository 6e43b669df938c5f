//===- SubmissionBatcherTest.cpp - Tests of shared transactions -----------===//

#include "jobs/SubmissionBatcher.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// Finds job IDs of one partition.
std::vector<JobId> idsOfOnePartition(std::size_t Count) {
  std::vector<JobId> Ids;
  for (int N = 0; Ids.size() < Count; ++N) {
    JobId Id("job-" + std::to_string(N));
    if (jobStateAddress(Id).m_Partition == jobPartitions().front())
      Ids.push_back(Id);
  }
  return Ids;
}

JobSpec jobWith(const JobId &Id, const char *Organisation = "") {
  JobSpec Job;
  Job.m_Id = Id;
  Job.m_Organisation = OrganisationName(Organisation);
  Job.m_Steps.emplace_back();
  return Job;
}

StoredRow storedState(const JobId &Id, const char *Organisation) {
  JobProgress P;
  P.m_Organisation = OrganisationName(Organisation);
  return {jobStateAddress(Id), encodeProgress(P), 7, false};
}

CommitOutcome committed() {
  CommitOutcome Outcome;
  Outcome.m_Committed = true;
  return Outcome;
}

const Error Silent = makeError(ErrorCode::Timeout, "commit");
const Error Refused = makeError(ErrorCode::Unavailable, "commit");

} // namespace

TEST_GROUP(SubmissionBatcher) {
  SubmissionBatcher m_Batcher;
  TimePoint m_Now{};
  std::vector<JobId> m_Ids = idsOfOnePartition(40);

  /// Adds the first \p Count jobs and returns the first batch.
  SubmissionBatcher::Batch addAndTake(std::size_t Count) {
    for (std::size_t N = 0; N < Count; ++N)
      m_Batcher.add(jobWith(m_Ids[N]));
    auto Batches = m_Batcher.takeBatches(m_Now);
    CHECK_EQUAL(1u, Batches.size());
    return Batches.front();
  }
};

// A partition of a store 57 times slower applies six transactions per second,
// which was also the number of jobs that it accepted.
TEST(SubmissionBatcher, WaitingSubmissionsShareATransaction) {
  auto First = addAndTake(1);
  for (std::size_t N = 1; N < 40; ++N)
    m_Batcher.add(jobWith(m_Ids[N]));
  CHECK(m_Batcher.takeBatches(m_Now).empty());
  CHECK_EQUAL(1u,
              m_Batcher.onResult(First.m_Number, committed(), m_Now).size());
  auto Second = m_Batcher.takeBatches(m_Now);
  CHECK_EQUAL(1u, Second.size());
  CHECK(Second[0].m_Txn.entries() <= 100);
  CHECK_EQUAL(33u, Second[0].m_Txn.m_Conditions.size());
  CHECK_EQUAL(
      33u, m_Batcher.onResult(Second[0].m_Number, committed(), m_Now).size());
  CHECK_EQUAL(6u, m_Batcher.takeBatches(m_Now)[0].m_Txn.m_Conditions.size());
}

// One job that was stored already must not fail the others of its transaction.
TEST(SubmissionBatcher, AConflictOfOneMemberLeavesTheOthers) {
  auto Batch = addAndTake(3);
  CommitOutcome Conflict;
  Conflict.m_Conflicts = {storedState(m_Ids[1], ""),
                          {jobStateAddress(m_Ids[0]), "", 0, true}};
  auto Decided = m_Batcher.onResult(Batch.m_Number, Conflict, m_Now);
  CHECK_EQUAL(1u, Decided.size());
  CHECK_EQUAL(2u, Decided[0].m_Submission);
  CHECK(Decided[0].m_Result == SubmitResult::Accepted);
  CHECK(Decided[0].m_IsDuplicate);
  auto Rest = m_Batcher.takeBatches(m_Now);
  CHECK_EQUAL(1u, Rest.size());
  CHECK_EQUAL(2u, Rest[0].m_Txn.m_Conditions.size());
  CHECK_EQUAL(2u,
              m_Batcher.onResult(Rest[0].m_Number, committed(), m_Now).size());
}

TEST(SubmissionBatcher, AJobOfAnotherOrganisationIsNotAccepted) {
  m_Batcher.add(jobWith(m_Ids[0], "own"));
  auto Batch = m_Batcher.takeBatches(m_Now);
  CommitOutcome Conflict;
  Conflict.m_Conflicts = {storedState(m_Ids[0], "other")};
  auto Decided = m_Batcher.onResult(Batch[0].m_Number, Conflict, m_Now);
  CHECK(Decided.at(0).m_Result == SubmitResult::OtherOrganisation);
}

// Two requests with the same ID in one transaction make it invalid.
TEST(SubmissionBatcher, ARowOccursOnceInATransaction) {
  m_Batcher.add(jobWith(m_Ids[0]));
  m_Batcher.add(jobWith(m_Ids[0]));
  auto Batches = m_Batcher.takeBatches(m_Now);
  CHECK_EQUAL(1u, Batches[0].m_Txn.m_Conditions.size());
}

// A caller must not be told that its job has not run if an unanswered
// transaction may still store it.
TEST(SubmissionBatcher, OnlyUnansweredSubmissionsAreUnknown) {
  auto Batch = addAndTake(1);
  CHECK(m_Batcher.giveUp(99) == SubmitResult::NotStored);
  CHECK(m_Batcher.onResult(Batch.m_Number, Refused, m_Now).empty());
  CHECK(m_Batcher.takeBatches(m_Now).empty());
  CHECK(m_Batcher.giveUp(1) == SubmitResult::NotStored);
  Batch = addAndTake(2);
  CHECK(m_Batcher.onResult(Batch.m_Number, Silent, m_Now).empty());
  m_Now += SubmissionBatcher::RetryDelay;
  Batch = m_Batcher.takeBatches(m_Now)[0];
  CHECK(m_Batcher.onResult(Batch.m_Number, Refused, m_Now).empty());
  CHECK(m_Batcher.giveUp(2) == SubmitResult::OutcomeUnknown);
  m_Now += SubmissionBatcher::RetryDelay;
  Batch = m_Batcher.takeBatches(m_Now)[0];
  CHECK(m_Batcher.giveUp(3) == SubmitResult::OutcomeUnknown);
  CHECK(m_Batcher.onResult(Batch.m_Number, committed(), m_Now).empty());
}

// A job that the store rejects, for example since its row is too large, must
// not fail the jobs that share its transaction.
TEST(SubmissionBatcher, MembersOfARejectedTransactionAreSentAlone) {
  auto Batch = addAndTake(3);
  m_Batcher.onResult(Batch.m_Number,
                     makeError(ErrorCode::InvalidArgument, "commit"), m_Now);
  for (std::size_t N = 0; N < 3; ++N) {
    m_Now += SubmissionBatcher::RetryDelay;
    Batch = m_Batcher.takeBatches(m_Now).at(0);
    CHECK_EQUAL(1u, Batch.m_Txn.m_Conditions.size());
    CHECK_EQUAL(1u,
                m_Batcher.onResult(Batch.m_Number, committed(), m_Now).size());
  }
}

// A repeated request that had not been sent was answered with "not stored"
// while the first one was about to store the job.
TEST(SubmissionBatcher, ARepeatedRequestIsUnknownWhileTheFirstIsInFlight) {
  addAndTake(1);
  m_Batcher.add(jobWith(m_Ids[0]));
  CHECK(m_Batcher.takeBatches(m_Now).empty());
  CHECK(m_Batcher.giveUp(2) == SubmitResult::OutcomeUnknown);
}
