//===- JobStoreTest.cpp - Tests of JobStore -------------------------------===//

#include "jobs/JobStore.h"
#include <CppUTest/TestHarness.h>
#include <optional>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A store that keeps the timeouts of the calls; the test answers them.
class SlowStore : public MetadataStore {
public:
  std::vector<Duration> m_Timeouts;
  std::function<void(Result<RowPage>)> m_Read;
  std::function<void(Result<CommitOutcome>)> m_Commit;

  void commit(const RowTransaction &, Duration Timeout,
              std::function<void(Result<CommitOutcome>)> Callback) override {
    m_Timeouts.push_back(Timeout);
    m_Commit = std::move(Callback);
  }
  void read(const RowAddress &, std::size_t, Duration Timeout,
            std::function<void(Result<RowPage>)> Callback) override {
    m_Timeouts.push_back(Timeout);
    m_Read = std::move(Callback);
  }
  void follow(const std::string &, RowVersion, Duration, Duration,
              std::function<void(Result<RowPage>)>) override {}
};

} // namespace

TEST_GROUP(JobStore){};

// A cancellation with 200 ms left made calls of 700 ms, and its caller had gone
// when the answer came.
TEST(JobStore, CallsOfACancellationEndByItsDeadline) {
  auto Loop = EventLoop::create();
  SlowStore Store;
  auto Jobs = JobStore::create(*Loop, Store);
  std::optional<CancelResult> Answer;
  Jobs->cancel(JobId("j"), {}, 200ms, [&](CancelResult R) { Answer = R; });
  RowPage Page;
  Page.m_Rows.push_back(
      {jobStateAddress(JobId("j")), encodeProgress({}), 7, false});
  Store.m_Read(Page);
  CHECK_EQUAL(2u, Store.m_Timeouts.size());
  for (Duration Timeout : Store.m_Timeouts)
    CHECK(Timeout <= 200ms);
  CommitOutcome Committed;
  Committed.m_Committed = true;
  Store.m_Commit(Committed);
  CHECK(Answer == CancelResult::Cancelled);
}

// A caller could cancel a job of another organisation, or was told that its own
// job was accepted while another organisation's job had the ID.
TEST(JobStore, JobsOfOtherOrganisationsAreNotTouched) {
  auto Loop = EventLoop::create();
  SlowStore Store;
  auto Jobs = JobStore::create(*Loop, Store);
  JobProgress Foreign;
  Foreign.m_Organisation = OrganisationName("other");
  StoredRow Row{jobStateAddress(JobId("j")), encodeProgress(Foreign), 7, false};
  std::optional<CancelResult> Cancelled;
  Jobs->cancel(JobId("j"), OrganisationName("own"), 200ms,
               [&](CancelResult R) { Cancelled = R; });
  RowPage Page;
  Page.m_Rows.push_back(Row);
  Store.m_Read(Page);
  CHECK(Cancelled == CancelResult::OtherOrganisation);
  CHECK_EQUAL(1u, Store.m_Timeouts.size());
  JobSpec Job;
  Job.m_Id = JobId("j");
  Job.m_Organisation = OrganisationName("own");
  std::optional<SubmitResult> Submitted;
  Jobs->submit(Job, 200ms, [&](SubmitResult R) { Submitted = R; });
  CommitOutcome Conflict;
  Conflict.m_Conflicts.push_back(Row);
  Store.m_Commit(Conflict);
  CHECK(Submitted == SubmitResult::OtherOrganisation);
}

// A state row with a state that this build does not know was decoded, and the
// caller was given text from beyond the table of names.
TEST(JobStore, AStateRowWithAnUnknownStateIsUnreadable) {
  CHECK(decodeProgress(R"({"state":4,"changed":0})").has_value());
  CHECK_FALSE(decodeProgress(R"({"state":5,"changed":0})").has_value());
  CHECK_FALSE(decodeProgress(R"({"state":-1,"changed":0})").has_value());
}

// Callers saw that a job had failed, and not that it had crashed servers.
TEST(JobStore, StatusTellsWhetherTheJobHasCrashedServers) {
  for (bool HasCrashed : {false, true}) {
    auto Loop = EventLoop::create();
    SlowStore Store;
    auto Jobs = JobStore::create(*Loop, Store);
    std::vector<bool> Answers;
    auto Ask = [&] {
      Jobs->status(JobId("j"), 200ms,
                   [&](Result<std::optional<JobStatus>> Status) {
                     CHECK(Status.value()->m_State == JobState::Failed);
                     Answers.push_back(Status.value()->m_HasCrashedServers);
                   });
    };
    Ask();
    JobProgress Failed;
    Failed.m_State = JobState::Failed;
    Failed.m_HasCrashedServers = HasCrashed;
    RowPage Page;
    Page.m_Rows.push_back(
        {jobStateAddress(JobId("j")), encodeProgress(Failed), 7, false});
    Store.m_Read(Page);
    Ask();
    CHECK_EQUAL(1u, Store.m_Timeouts.size());
    CHECK(Answers == std::vector<bool>({HasCrashed, HasCrashed}));
  }
}
