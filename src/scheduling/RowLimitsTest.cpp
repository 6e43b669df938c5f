//===- RowLimitsTest.cpp - Progress within the limits of the store --------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>
#include <map>
#include <random>

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

/// The rows that a writer has written, and what a new leader reads from them.
class WrittenRows {
public:
  explicit WrittenRows(SchedulerFixture &W) : m_World(W) {}

  /// Carries out at most \p Count due transactions within 5 s.
  void write(std::size_t Count) {
    for (const TimePoint End = m_World.m_Now + 5s; m_World.m_Now < End;
         m_World.advance(10ms))
      while (Count > 0) {
        auto Next = m_World.m_Writer->next(m_World.m_Now, m_World.wall());
        if (!Next)
          break;
        --Count;
        CHECK(isWithinLimits(Next->m_Txn));
        for (const RowPut &P : Next->m_Txn.m_Puts)
          m_Rows[{P.m_At.m_Table, P.m_At.m_Key}] = P.m_Value;
        for (const RowAddress &At : Next->m_Txn.m_Deletes)
          m_Rows.erase({At.m_Table, At.m_Key});
        CommitOutcome Outcome;
        Outcome.m_Committed = true;
        Outcome.m_Version = ++m_Version;
        m_World.m_Writer->onResult(Next->m_Number, Outcome, m_World.m_Now);
      }
  }
  JobProgress read(const JobSpec &Job) const {
    auto State = m_Rows.find({JobStatesTable, Job.m_Id.m_Text});
    JobProgress P = State == m_Rows.end()
                        ? JobProgress()
                        : decodeProgress(State->second).value();
    const RowAddress Prefix = pagePrefix(Job.m_Id, P.m_PageGeneration);
    for (const auto &[Where, Value] : m_Rows)
      if (RowAddress At{Where.first, Where.second, {}};
          P.isPaged() && At.m_Table == JobPagesTable && hasPrefix(At, Prefix))
        CHECK(
            addPage(P, Job, pageNumber(At, Prefix).value(), Value).has_value());
    return P;
  }

private:
  SchedulerFixture &m_World;
  std::map<std::pair<std::string, std::string>, std::string> m_Rows;
  RowVersion m_Version = 5000;
};

bool isSameRun(const CrashedRun &A, const CrashedRun &B) {
  return A.m_Number == B.m_Number && A.m_WasAtWork == B.m_WasAtWork &&
         A.m_WasRecent == B.m_WasRecent && A.m_WasAlone == B.m_WasAlone;
}

/// Fails the test unless both have the same history of each task of the job
/// "j".
void checkSameTasks(SchedulerFixture &A, SchedulerFixture &B) {
  for (const auto &[Number, O] : A.job("j").m_Occurrences)
    for (std::uint32_t N = 0; N < O.m_Steps.size(); ++N)
      for (std::uint32_t I = 0; I < O.m_Steps[N].m_Tasks.size(); ++I) {
        const TaskState &X = O.m_Steps[N].m_Tasks[I];
        const TaskState *Y = B.job("j").task({JobId("j"), Number, N, I});
        CHECK(Y && X.m_Done == Y->m_Done);
        if (X.m_Done)
          continue;
        CHECK(X.m_FailedRuns == Y->m_FailedRuns);
        CHECK_EQUAL(X.m_Crashes != nullptr, Y->m_Crashes != nullptr);
        if (!X.m_Crashes)
          continue;
        CHECK(std::equal(X.m_Crashes->m_Runs.begin(), X.m_Crashes->m_Runs.end(),
                         Y->m_Crashes->m_Runs.begin(),
                         Y->m_Crashes->m_Runs.end(), isSameRun));
        CHECK_EQUAL(X.m_Crashes->m_Start.has_value(),
                    Y->m_Crashes->m_Start.has_value());
      }
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

// A server crashed with 2,100 tasks of a job. The row that lists the crashes
// was larger than the store accepts, and the job never ran again.
TEST(RowLimits, AJobWithThousandsOfCrashedTasksIsRecorded) {
  SchedulerFixture W;
  W.addJob("j", {W.step(2100)});
  crashAll(W, "j", 2100, 1);
  writeFor(W, 2s);
  CHECK(isRecorded(W, "j"));
}

// The steps of all occurrences were kept in one row, and a scheduled job
// stopped for good after its first thousand occurrences.
TEST(RowLimits, AJobOfThousandsOfOccurrencesIsRecorded) {
  SchedulerFixture W;
  JobSpec Job;
  Job.m_Id = JobId("j");
  Job.m_Queue = QueueName("asks");
  Job.m_Pool = PoolName("desk");
  Job.m_Rules = W.m_AcceptedRules;
  Job.m_Steps = {W.step(1), W.step(1, {0}), W.step(1, {1})};
  Job.m_Occurrences = 2500;
  Job.m_FirstDue = W.wall();
  Job.m_Interval = 1ms;
  Job.m_AcceptedAt = W.wall();
  W.m_Core->onJob(Job, {}, 1, 1, W.m_Now, W.wall());
  W.m_Core->jobs().releaseThrough(W.job("j"), 2499);
  for (std::uint32_t K = 0; K < 2499; ++K) {
    for (std::uint32_t Step = 0; Step < 3; ++Step)
      W.job("j").m_ChangeNumber +=
          W.m_Core->jobs().markDone(W.job("j"), {Job.m_Id, K, Step, 0});
    if (K % 100 == 0)
      writeFor(W, 100ms);
  }
  writeFor(W, 2s);
  CHECK(isRecorded(W, "j"));
}

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

// The largest job that is accepted, with each of its tasks done, failed,
// crashed or suspect. Its progress was 2 MB in one row. A new leader has to
// read what was written.
TEST(RowLimits, TheLargestJobFitsWhateverHappensToItsTasks) {
  constexpr std::uint32_t Tasks = 20000;
  SchedulerFixture W;
  QueueRules Rules = *W.m_AcceptedRules;
  Rules.m_Attempts = 10;
  W.setRules(Rules);
  W.addJob("j", {W.step(Tasks)});
  LiveJob &Job = W.job("j");
  JobRegistry &Jobs = W.m_Core->jobs();
  std::mt19937 Random(1);
  for (std::uint32_t I = 0; I < Tasks; ++I) {
    const TaskId Id{Job.m_Spec.m_Id, 0, 0, I};
    for (std::uint32_t Run = 1; Run <= 9; ++Run)
      if (Random() % 3 != 0)
        Job.m_ChangeNumber += Jobs.markFailed(Job, Id, 1000 * Run + I % 7);
    for (std::uint32_t Run = 1; Run <= 3; ++Run)
      Jobs.markCrashed(Job, Id,
                       {20000 + Run * 1000 + I % 11, false, I % 2 == 0, false});
    Jobs.requestSuspectStart(
        Job, *Job.task(Id),
        {30000 + I % 13, std::string(100, 's') + std::to_string(I), 17});
    if (Random() % 4 == 0)
      Job.m_ChangeNumber += Jobs.markDone(Job, Id);
  }
  CHECK(!isFinal(Job.m_State));
  WrittenRows Rows(W);
  Rows.write(1000);
  CHECK(isRecorded(W, "j"));
  SchedulerFixture Next(2);
  Next.setRules(Rules);
  Next.addJob("j", {Next.step(Tasks)}, Rows.read(Job.m_Spec));
  checkSameTasks(W, Next);
  // What was read need not be written again.
  Next.m_Core->jobs().markDirty(Next.job("j"));
  auto Again = Next.m_Writer->next(Next.m_Now + 1s, Next.wall());
  CHECK(Again.has_value());
  CHECK_EQUAL(1u, Again->m_Txn.m_Puts.size());
}

// A leader that is killed between two transactions of a job must leave rows
// that lack nothing that was recorded before.
TEST(RowLimits, NothingIsLostBetweenTwoTransactionsOfAJob) {
  constexpr std::uint32_t Tasks = 9000;
  SchedulerFixture W;
  W.addJob("j", {W.step(Tasks)});
  LiveJob &Job = W.job("j");
  WrittenRows Rows(W);
  std::uint32_t Done = 0;
  auto MarkDone = [&] {
    for (std::uint32_t I = Done; I < Done + 900; ++I)
      Job.m_ChangeNumber +=
          W.m_Core->jobs().markDone(Job, {Job.m_Spec.m_Id, 0, 0, I});
    Done += 900;
  };
  MarkDone();
  Rows.write(10);
  CHECK(isRecorded(W, "j"));
  std::uint32_t Recorded = Done;
  for (int Round = 0; Round < 6; ++Round) {
    crashAll(W, "j", Tasks, static_cast<std::uint32_t>(Round % 3 + 1));
    MarkDone();
    for (int Transaction = 0; Transaction < 40; ++Transaction) {
      const JobProgress Read = Rows.read(Job.m_Spec);
      SchedulerFixture Next(2);
      Next.addJob("j", {Next.step(Tasks)}, Read);
      std::uint32_t Known = 0;
      for (const TaskState &T : Next.job("j").step(0, 0)->m_Tasks)
        Known += T.m_Done;
      CHECK(Known >= Recorded);
      if (isRecorded(W, "j"))
        break;
      Rows.write(1);
    }
    CHECK(isRecorded(W, "j"));
    Recorded = Done;
  }
  CHECK(Job.m_Pages && Job.m_Pages->m_IsInUse);
}

// Guards against a former leader that writes the tasks, as far as it knows
// them, over a row that refers to pages.
TEST(RowLimits, AFormerLeaderDoesNotReplacePages) {
  SchedulerFixture W;
  W.addJob("j", {W.step(2)});
  W.m_Core->jobs().markDone(W.job("j"), {JobId("j"), 0, 0, 0});
  W.advance(1s);
  auto First = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(First.has_value());
  JobProgress Paged;
  Paged.m_State = JobState::Running;
  Paged.m_PageSize = 64;
  Paged.m_PageGeneration = 200;
  CommitOutcome Conflict;
  Conflict.m_Conflicts.push_back(
      {jobStateAddress(JobId("j")), encodeProgress(Paged), 77, false});
  W.m_Writer->onResult(First->m_Number, Conflict, W.m_Now);
  W.advance(1s);
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  CHECK(Next.has_value());
  CHECK(Next->m_Txn.m_Conditions.back().m_At == W.termCondition().m_At);
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
