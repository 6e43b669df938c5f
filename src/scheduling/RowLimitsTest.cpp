//===- RowLimitsTest.cpp - Progress within the limits of the store --------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// The limits of the platform's store.
constexpr std::size_t MaxRowBytes = 65536;
constexpr std::size_t MaxTransactionEntries = 100;
constexpr std::size_t MaxTransactionBytes = 1'000'000;

const Error Refused = makeError(ErrorCode::InvalidArgument, "commit");

/// The size of \p Txn with its values in base64.
std::size_t encodedSize(const RowTransaction &Txn) {
  std::size_t Size = 0;
  for (const RowPut &P : Txn.m_Puts)
    Size += P.m_Value.size() * 4 / 3 + P.m_At.m_Key.size() + 100;
  return Size + 100 * (Txn.m_Conditions.size() + Txn.m_Deletes.size());
}

bool isWithinLimits(const RowTransaction &Txn) {
  for (const RowPut &P : Txn.m_Puts)
    if (P.m_Value.size() > MaxRowBytes)
      return false;
  return Txn.entries() <= MaxTransactionEntries &&
         encodedSize(Txn) <= MaxTransactionBytes;
}

/// Applies the transactions that are due within \p Time, and refuses those
/// beyond the limits. Returns how many it has refused.
std::size_t writeFor(SchedulerFixture &W, Duration Time) {
  static RowVersion Version = 1000;
  std::size_t Refusals = 0;
  for (const TimePoint End = W.m_Now + Time; W.m_Now < End; W.advance(10ms))
    while (auto Next = W.m_Writer->next(W.m_Now, W.wall())) {
      CommitOutcome Outcome;
      Outcome.m_Committed = true;
      Outcome.m_Version = ++Version;
      const bool IsAccepted = isWithinLimits(Next->m_Txn);
      Refusals += !IsAccepted;
      W.m_Writer->onResult(Next->m_Number,
                           IsAccepted ? Result<CommitOutcome>(Outcome)
                                      : Result<CommitOutcome>(Refused),
                           W.m_Now);
    }
  return Refusals;
}

bool isRecorded(SchedulerFixture &W, const std::string &Id) {
  const LiveJob &Job = W.job(Id);
  return !Job.m_Dirty && Job.m_RecordedChangeNumber == Job.m_ChangeNumber;
}

/// Counts a crash under each task of the job.
void crashAll(SchedulerFixture &W, const std::string &Id, std::uint32_t Tasks,
              std::uint32_t Run) {
  for (std::uint32_t I = 0; I < Tasks; ++I)
    W.m_Core->jobs().markCrashed(
        W.job(Id), {JobId(Id), 0, 0, I},
        {Run, Run == 1 && I % 2 == 0, I % 3 == 0, I % 5 == 0});
}

} // namespace

TEST_GROUP(RowLimits){};

// 33 rows of up to 64 KB were put into one transaction, which the store refused
// again and again.
TEST(RowLimits, ATransactionStaysWithinItsBytes) {
  SchedulerFixture W;
  for (int N = 0; N < 33; ++N) {
    const std::string Id = "job" + std::to_string(N);
    W.addJob(Id, {W.step(1200)});
    crashAll(W, Id, 1200, 1);
  }
  CHECK_EQUAL(0u, writeFor(W, 5s));
  for (int N = 0; N < 33; ++N)
    CHECK(isRecorded(W, "job" + std::to_string(N)));
}

// The store refused the row of one job, and all jobs of its partition waited
// for that transaction, which was sent again and again.
TEST(RowLimits, ARefusedRowDoesNotKeepOthersBack) {
  SchedulerFixture W;
  std::vector<std::string> Ids;
  for (int N = 0; Ids.size() < 40; ++N)
    if (const std::string Id = "job" + std::to_string(N);
        &jobPartition(JobId(Id)) == &jobPartitions().front())
      Ids.push_back(Id);
  for (const std::string &Id : Ids) {
    W.addJob(Id, {W.step(2)});
    W.m_Core->jobs().markDone(W.job(Id), {JobId(Id), 0, 0, 0});
  }
  const RowAddress Bad = jobStateAddress(JobId(Ids[3]));
  std::size_t Refusals = 0;
  for (int Tries = 0; Tries < 200; ++Tries) {
    W.advance(10ms);
    while (auto Next = W.m_Writer->next(W.m_Now, W.wall())) {
      CommitOutcome Outcome;
      Outcome.m_Committed = true;
      Outcome.m_Version = 2000;
      bool IsRefused = false;
      for (const RowPut &P : Next->m_Txn.m_Puts)
        IsRefused |= P.m_At == Bad;
      Refusals += IsRefused;
      W.m_Writer->onResult(Next->m_Number,
                           IsRefused ? Result<CommitOutcome>(Refused)
                                     : Result<CommitOutcome>(Outcome),
                           W.m_Now);
    }
  }
  CHECK(Refusals > 0);
  for (const std::string &Id : Ids)
    if (Id != Ids[3])
      CHECK(!W.job(Id).m_Dirty);
}

// Callers were not told of a job whose progress the store refuses, and it was
// written again without end.
TEST(RowLimits, AJobWhoseProgressIsRefusedFails) {
  SchedulerFixture W;
  W.addJob("j", {W.step(2)});
  W.m_Core->jobs().markDone(W.job("j"), {JobId("j"), 0, 0, 0});
  std::size_t Refusals = 0;
  JobProgress Last;
  for (int Tries = 0; Tries < 3000 && !isFinal(Last.m_State); ++Tries) {
    W.advance(10ms);
    while (auto Next = W.m_Writer->next(W.m_Now, W.wall())) {
      Last = decodeProgress(Next->m_Txn.m_Puts.at(0).m_Value).value();
      if (isFinal(Last.m_State))
        break;
      ++Refusals;
      W.m_Writer->onResult(Next->m_Number, Refused, W.m_Now);
    }
  }
  CHECK(Last.m_State == JobState::Failed && Last.m_IsUnrecordable);
  CHECK(Refusals > 2 && Refusals < 20);
  CHECK_EQUAL(Refusals, W.m_Writer->counters().m_Refused);
}
