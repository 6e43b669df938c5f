//===- CancelBeforeSubmissionTest.cpp - Cancelling an ID without a job ----===//

#include "jobs/JobStore.h"
#include <CppUTest/TestHarness.h>
#include <deque>
#include <optional>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A store in memory that answers when the test says so. It can lose the
/// answers of transactions and carry these out later.
class LateStore : public MetadataStore {
public:
  std::map<std::pair<std::string, std::string>, StoredRow> m_Rows;
  /// Whether transactions are kept in m_Late instead of being carried out.
  bool m_IsLate = false;
  std::vector<RowTransaction> m_Late;
  std::size_t m_Commits = 0;

  void commit(const RowTransaction &Txn, Duration,
              std::function<void(Result<CommitOutcome>)> Callback) override {
    ++m_Commits;
    if (m_IsLate) {
      m_Late.push_back(Txn);
      m_Answers.push_back(
          [Callback] { Callback(makeError(ErrorCode::Timeout, "commit")); });
      return;
    }
    m_Answers.push_back([this, Txn, Callback] { Callback(apply(Txn)); });
  }
  void read(const RowAddress &From, std::size_t, Duration,
            std::function<void(Result<RowPage>)> Callback) override {
    m_Answers.push_back([this, From, Callback] {
      RowPage Page;
      auto It = m_Rows.find({From.m_Table, From.m_Key});
      if (It != m_Rows.end())
        Page.m_Rows.push_back(It->second);
      Callback(std::move(Page));
    });
  }
  void follow(const std::string &, RowVersion, Duration, Duration,
              std::function<void(Result<RowPage>)>) override {}

  CommitOutcome apply(const RowTransaction &Txn) {
    CommitOutcome Outcome;
    bool Holds = true;
    for (const RowCondition &C : Txn.m_Conditions) {
      StoredRow Row{C.m_At, {}, 0, true};
      if (auto It = m_Rows.find({C.m_At.m_Table, C.m_At.m_Key});
          It != m_Rows.end())
        Row = It->second;
      Holds &= Row.m_Version == C.m_Version;
      Outcome.m_Conflicts.push_back(Row);
    }
    if (!Holds)
      return Outcome;
    Outcome.m_Conflicts.clear();
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_Version;
    for (const RowPut &P : Txn.m_Puts)
      m_Rows[{P.m_At.m_Table, P.m_At.m_Key}] = {P.m_At, P.m_Value, m_Version,
                                                false};
    for (const RowAddress &At : Txn.m_Deletes)
      m_Rows.erase({At.m_Table, At.m_Key});
    return Outcome;
  }
  /// Answers all calls, also those that are made meanwhile.
  void answerAll() {
    while (!m_Answers.empty()) {
      auto Answer = std::move(m_Answers.front());
      m_Answers.pop_front();
      Answer();
    }
  }

private:
  RowVersion m_Version = 10;
  std::deque<std::function<void()>> m_Answers;
};

JobSpec jobOf(const char *Organisation, const char *Id = "j") {
  JobSpec Job;
  Job.m_Id = JobId(Id);
  Job.m_Organisation = OrganisationName(Organisation);
  Job.m_Steps.emplace_back();
  return Job;
}

} // namespace

TEST_GROUP(CancelBeforeSubmission) {
  std::unique_ptr<EventLoop> m_Loop = EventLoop::create();
  LateStore m_Store;
  /// Two instances.
  std::shared_ptr<JobStore> m_First = JobStore::create(*m_Loop, m_Store);
  std::shared_ptr<JobStore> m_Second = JobStore::create(*m_Loop, m_Store);

  CancelResult cancel(const char *Organisation = "", const char *Id = "j") {
    std::optional<CancelResult> Answer;
    m_Second->cancel(JobId(Id), OrganisationName(Organisation), 1ms,
                     [&](CancelResult R) { Answer = R; });
    m_Store.answerAll();
    CHECK(Answer.has_value());
    return *Answer;
  }
  /// Submits the job at the first instance. Empty if it has no answer yet.
  std::optional<SubmitResult> submit(const JobSpec &Job) {
    auto Answer = std::make_shared<std::optional<SubmitResult>>();
    m_First->submit(Job, 200ms, [Answer](SubmitResult R) { *Answer = R; });
    m_Store.answerAll();
    return *Answer;
  }
  bool isKnown(const char *Id = "j") {
    std::optional<bool> Known;
    m_Second->status(JobId(Id), 1ms,
                     [&](Result<std::optional<JobStatus>> Status) {
                       Known = Status && Status.value().has_value();
                     });
    m_Store.answerAll();
    return Known.value_or(false);
  }
};

// A submission had no answer, its job was cancelled with "no such job", and the
// store carried the submission out afterwards: the job ran on for good.
TEST(CancelBeforeSubmission, ALateSubmissionOfACancelledIdIsNotStored) {
  m_Store.m_IsLate = true;
  CHECK(!submit(jobOf("")));
  m_Store.m_IsLate = false;
  CHECK(cancel() == CancelResult::Unknown);
  CHECK_EQUAL(1u, m_Store.m_Late.size());
  CHECK_FALSE(m_Store.apply(m_Store.m_Late.front()).m_Committed);
  CHECK_FALSE(isKnown());
}

// The answer to the mark is lost too, and the caller asks again.
TEST(CancelBeforeSubmission, ACancellationWithoutAnAnswerHolds) {
  m_Store.m_IsLate = true;
  CHECK(!submit(jobOf("")));
  CHECK(cancel() == CancelResult::Failed);
  m_Store.m_IsLate = false;
  // The mark is carried out late, before the submission is.
  CHECK(m_Store.apply(m_Store.m_Late.back()).m_Committed);
  CHECK_FALSE(m_Store.apply(m_Store.m_Late.front()).m_Committed);
  CHECK(cancel() == CancelResult::Unknown);
  CHECK_FALSE(isKnown());
}

// Guards against a mark that is carried out late and hits a job that was stored
// meanwhile.
TEST(CancelBeforeSubmission, ALateMarkDoesNotReplaceAJob) {
  m_Store.m_IsLate = true;
  CHECK(cancel() == CancelResult::Failed);
  m_Store.m_IsLate = false;
  CHECK(submit(jobOf("")) == SubmitResult::Accepted);
  CHECK_FALSE(m_Store.apply(m_Store.m_Late.front()).m_Committed);
  CHECK(isKnown());
}

// A caller would be told that a job was accepted that never runs, and the other
// jobs of its transaction would be refused with it.
TEST(CancelBeforeSubmission, ASubmissionOfACancelledIdIsRefusedAlone) {
  std::vector<std::string> Ids;
  for (int N = 0; Ids.size() < 3; ++N)
    if (const std::string Id = "job" + std::to_string(N);
        &jobPartition(JobId(Id)) == &jobPartitions().front())
      Ids.push_back(Id);
  CHECK(cancel("", Ids[1].c_str()) == CancelResult::Unknown);
  std::map<std::string, SubmitResult> Answers;
  for (const std::string &Id : Ids)
    m_First->submit(jobOf("", Id.c_str()), 200ms,
                    [&, Id](SubmitResult R) { Answers[Id] = R; });
  m_Store.answerAll();
  CHECK(Answers.at(Ids[0]) == SubmitResult::Accepted);
  CHECK(Answers.at(Ids[1]) == SubmitResult::Cancelled);
  CHECK(Answers.at(Ids[2]) == SubmitResult::Accepted);
  CHECK_FALSE(isKnown(Ids[1].c_str()));
}

// Guards against an organisation that cancels in advance what another one will
// submit, and against one that lifts the cancellation of another.
TEST(CancelBeforeSubmission, AMarkBindsOnlyTheOrganisationsThatWroteIt) {
  m_Store.m_IsLate = true;
  CHECK(!submit(jobOf("a")));
  m_Store.m_IsLate = false;
  CHECK(cancel("a") == CancelResult::Unknown);
  CHECK(cancel("b") == CancelResult::Unknown);
  CHECK(submit(jobOf("a")) == SubmitResult::Cancelled);
  CHECK(submit(jobOf("b")) == SubmitResult::Cancelled);
  CHECK(submit(jobOf("c")) == SubmitResult::Accepted);
  CHECK_FALSE(m_Store.apply(m_Store.m_Late.front()).m_Committed);
  CHECK(submit(jobOf("a")) == SubmitResult::OtherOrganisation);
  CHECK(isKnown());
}

// The answer to a submission that replaces a mark is lost, and its caller
// cancels it.
TEST(CancelBeforeSubmission, ALateSubmissionThatReplacesAMarkIsNotStored) {
  CHECK(cancel("a") == CancelResult::Unknown);
  std::optional<SubmitResult> Answer;
  m_First->submit(jobOf("b"), 200ms, [&](SubmitResult R) { Answer = R; });
  m_Store.m_IsLate = true;
  m_Store.answerAll();
  m_Store.m_IsLate = false;
  CHECK(cancel("b") == CancelResult::Unknown);
  for (const RowTransaction &Late : m_Store.m_Late)
    CHECK_FALSE(m_Store.apply(Late).m_Committed);
  CHECK_FALSE(isKnown());
}

TEST(CancelBeforeSubmission, ARepeatedCancellationWritesOneMark) {
  for (int N = 0; N < 3; ++N)
    CHECK(cancel() == CancelResult::Unknown);
  CHECK_EQUAL(1u, m_Store.m_Commits);
}

// Cancellations of random IDs filled the store, and those of one organisation
// used up what all have.
TEST(CancelBeforeSubmission, TheMarksOfAnOrganisationAreLimited) {
  std::size_t Marked = 0;
  for (int N = 0; N < 1000; ++N)
    Marked += cancel("a", std::to_string(N).c_str()) == CancelResult::Unknown;
  CHECK(Marked >= 200 && Marked < 300);
  CHECK(cancel("b", "last") == CancelResult::Unknown);
  // A job is cancelled in any case.
  CHECK(submit(jobOf("a", "job")) == SubmitResult::Accepted);
  CHECK(cancel("a", "job") == CancelResult::Cancelled);
}

TEST_GROUP(CancellationMarks) {
  std::unique_ptr<CancellationMarks> m_Marks = CancellationMarks::create(180s);
  TimePoint m_Now{std::chrono::hours(1)};

  static StoredRow mark(const std::string &Id, RowVersion Version) {
    return {liveJobAddress(JobId(Id)), CancellationMarkValue, Version, false};
  }
  static StoredRow deletion(const std::string &Id) {
    return {liveJobAddress(JobId(Id)), {}, 99, true};
  }
};

// Marks would stay in the store for good. Removing them must not look like the
// end of a job, whose state is removed later under any version.
TEST(CancellationMarks, AreRemovedAfterAWhile) {
  CHECK(m_Marks->onLiveRow(mark("j", 7), m_Now));
  m_Now += 179s;
  CHECK_FALSE(m_Marks->next(m_Now).has_value());
  m_Now += 1s;
  auto Txn = m_Marks->next(m_Now);
  CHECK(Txn.has_value());
  CHECK_EQUAL(7u, Txn->m_Conditions.at(0).m_Version);
  CHECK_EQUAL(2u, Txn->m_Deletes.size());
  CHECK_FALSE(m_Marks->next(m_Now).has_value());
  m_Marks->onResult(makeError(ErrorCode::Timeout, "commit"), m_Now);
  CHECK_FALSE(m_Marks->next(m_Now).has_value());
  m_Now += 1s;
  CHECK(m_Marks->next(m_Now).has_value());
  CommitOutcome Committed;
  Committed.m_Committed = true;
  m_Marks->onResult(Committed, m_Now);
  CHECK(m_Marks->onLiveRow(deletion("j"), m_Now));
  CHECK_EQUAL(0u, m_Marks->size());
  CHECK_FALSE(m_Marks->onLiveRow(deletion("j"), m_Now));
}

// Guards against the removal of a job, or of the state of a job, that has the
// ID of an earlier mark.
TEST(CancellationMarks, AJobThatReplacesAMarkIsNotRemoved) {
  m_Marks->onLiveRow(mark("j", 7), m_Now);
  m_Marks->onLiveRow(mark("k", 8), m_Now);
  CHECK_FALSE(
      m_Marks->onLiveRow({liveJobAddress(JobId("j")), "{}", 9, false}, m_Now));
  m_Now += 180s;
  auto Txn = m_Marks->next(m_Now);
  CHECK(Txn.has_value());
  CHECK_EQUAL(1u, Txn->m_Conditions.size());
  // A job replaces the other mark just before its removal.
  CommitOutcome Conflict;
  Conflict.m_Conflicts.push_back(
      {jobStateAddress(JobId("k")), "{}", 10, false});
  m_Marks->onResult(Conflict, m_Now);
  CHECK_FALSE(m_Marks->next(m_Now + 10s).has_value());
}

// Guards against a transaction with more entries than the store accepts.
TEST(CancellationMarks, ManyAreRemovedInSeveralTransactions) {
  for (int N = 0; N < 100; ++N)
    m_Marks->onLiveRow(mark("m" + std::to_string(N), 7), m_Now);
  m_Now += 180s;
  std::size_t Removed = 0;
  CommitOutcome Committed;
  Committed.m_Committed = true;
  while (auto Txn = m_Marks->next(m_Now)) {
    CHECK(Txn->entries() <= 100);
    Removed += Txn->m_Conditions.size();
    m_Marks->onResult(Committed, m_Now);
  }
  CHECK_EQUAL(100u, Removed);
}
