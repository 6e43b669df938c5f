//===- TableMirrorTest.cpp - Tests of TableMirror -------------------------===//

#include "store/TableMirror.h"
#include "net/EventLoop.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A store whose calls are answered by the test.
class ManualStore : public MetadataStore {
public:
  using RowsCallback = std::function<void(Result<RowPage>)>;
  std::vector<RowsCallback> m_Reads;
  std::vector<RowsCallback> m_Follows;
  /// How long each call of m_Follows may wait for a change.
  std::vector<Duration> m_Waits;
  std::function<void()> m_OnFollow = [] {};

  void commit(const RowTransaction &, Duration,
              std::function<void(Result<CommitOutcome>)>) override {}
  void read(const RowAddress &, std::size_t, Duration,
            RowsCallback Callback) override {
    m_Reads.push_back(std::move(Callback));
  }
  void follow(const std::string &, RowVersion, Duration Wait, Duration,
              RowsCallback Callback) override {
    m_Waits.push_back(Wait);
    m_Follows.push_back(std::move(Callback));
    m_OnFollow();
  }
};

StoredRow row(const std::string &Key, const std::string &Value,
              RowVersion Version, bool Removed = false) {
  return {{"t", Key, ""}, Value, Version, Removed};
}

} // namespace

TEST_GROUP(TableMirror) {
  std::unique_ptr<EventLoop> m_Loop = EventLoop::create();
  ManualStore m_Store;
  std::vector<std::string> m_Seen;
  std::shared_ptr<TableMirror> m_Mirror;

  void setup() override {
    TableMirror::Listener RowListener;
    RowListener.m_OnRow = [this](const StoredRow &Row) {
      m_Seen.push_back(Row.m_At.m_Key +
                       (Row.m_IsDeleted ? " gone" : "=" + Row.m_Value));
    };
    m_Mirror = TableMirror::create(*m_Loop, m_Store, "t", {""},
                                   CatchUp::ReadChanges, 400ms, RowListener);
    m_Mirror->start();
    RowPage First;
    First.m_Version = 10;
    m_Store.m_Reads.at(0)(First);
  }
  void teardown() override { m_Mirror->stop(); }
};

// Guards against reporting outdated versions of a row. Ten versions of a
// configuration of 1,800 queues, written within three seconds, were reported
// one by one, and the leader decoded each.
TEST(TableMirror, ReportsOnlyTheLastOfSeveralChangesOfARow) {
  RowPage Changes;
  Changes.m_Rows = {row("a", "1", 11), row("b", "1", 12), row("a", "2", 13),
                    row("a", "3", 14)};
  Changes.m_Version = 14;
  m_Store.m_Follows.at(0)(Changes);
  CHECK_EQUAL(2u, m_Seen.size());
  STRCMP_EQUAL("b=1", m_Seen[0].c_str());
  STRCMP_EQUAL("a=3", m_Seen[1].c_str());
}

TEST(TableMirror, ReportsARowThatWasAddedAndDeletedAsDeleted) {
  RowPage Changes;
  Changes.m_Rows = {row("a", "1", 11), row("a", "", 12, true)};
  Changes.m_Version = 12;
  m_Store.m_Follows.at(0)(Changes);
  CHECK_EQUAL(1u, m_Seen.size());
  STRCMP_EQUAL("a gone", m_Seen[0].c_str());
}

TEST(TableMirror, ReadsTheTableAgainAfterTheFeedHistoryIsGone) {
  RowPage Changes;
  Changes.m_Rows = {row("a", "1", 11), row("b", "1", 12)};
  Changes.m_Version = 12;
  m_Store.m_Follows.at(0)(Changes);
  m_Seen.clear();
  m_Store.m_Follows.at(1)(makeError(ErrorCode::NotFound, "follow"));
  RowPage Now;
  Now.m_Rows = {row("b", "2", 20)};
  Now.m_Version = 30;
  m_Store.m_Reads.at(1)(Now);
  CHECK_EQUAL(2u, m_Seen.size());
  STRCMP_EQUAL("b=2", m_Seen[0].c_str());
  STRCMP_EQUAL("a gone", m_Seen[1].c_str());
}

// An outage of 3 s lasted 1.4 s longer for callers: the call that was under way
// when the store came back waited for a change, on a dead connection.
// A leader declared that it had recorded the starts of all jobs newer than
// version(), while it had started newer ones from the first pages of a read.
TEST(TableMirror, TellsTheNewestRowThatItHasReported) {
  CHECK_EQUAL(10u, m_Mirror->newestReported());
  m_Store.m_Follows.at(0)(makeError(ErrorCode::NotFound, "follow"));
  RowPage Page;
  Page.m_Version = 30;
  Page.m_HasMore = true;
  Page.m_Rows = {row("a", "1", 25)};
  m_Store.m_Reads.at(1)(Page);
  CHECK_EQUAL(1u, m_Seen.size());
  CHECK_EQUAL(10u, m_Mirror->version());
  CHECK_EQUAL(25u, m_Mirror->newestReported());
}

TEST(TableMirror, DoesNotWaitForAChangeUntilTheStoreAnswersAgain) {
  CHECK(m_Store.m_Waits.at(0) == 400ms);
  m_Store.m_OnFollow = [this] { m_Loop->stop(); };
  m_Store.m_Follows.at(0)(makeError(ErrorCode::Timeout, "follow"));
  m_Loop->run();
  CHECK(m_Store.m_Waits.at(1) == 0ms);
  RowPage NoChange;
  NoChange.m_Version = 10;
  m_Store.m_Follows.at(1)(NoChange);
  CHECK(m_Store.m_Waits.at(2) == 400ms);
}

// A leader of a thousand servers read its jobs for seconds and then started
// some that had been cancelled meanwhile.
TEST(TableMirror, IsAsOldAsTheBeginningOfTheReadUntilTheFeedHasAnswered) {
  TimePoint AfterRead = m_Loop->now();
  CHECK(m_Mirror->currentAt() <= AfterRead);
  RowPage NoChange;
  NoChange.m_Version = 10;
  m_Store.m_Follows.at(0)(NoChange);
  CHECK(m_Mirror->currentAt() <= m_Loop->now());
  m_Store.m_Follows.at(1)(NoChange);
  CHECK(m_Mirror->currentAt() >= AfterRead);
}

TEST(TableMirror, AnAnswerThatTheStoreMayHaveCutDoesNotMakeItCurrent) {
  TimePoint AfterRead = m_Loop->now();
  RowPage Cut;
  for (RowVersion V = 11; V < 511; ++V)
    Cut.m_Rows.push_back(row("k" + std::to_string(V), "1", V));
  Cut.m_Version = 510;
  m_Store.m_Follows.at(0)(Cut);
  m_Store.m_Follows.at(1)(Cut);
  CHECK(m_Mirror->currentAt() <= AfterRead);
  RowPage Large;
  Large.m_Rows = {row("large", std::string(900000, 'x'), 600)};
  Large.m_Version = 600;
  m_Store.m_Follows.at(2)(Large);
  CHECK(m_Mirror->currentAt() <= AfterRead);
}

// Guards against too low counts of waiting jobs: the time up to which the jobs
// are known must not be later than the oldest part of the read.
TEST(TableMirror, KnowsTheStoreTimeUpToWhichItIsComplete) {
  CHECK_EQUAL(0, m_Mirror->currentStoreTime().count());
  CHECK_FALSE(m_Mirror->latestStoreTime(m_Loop->now()).has_value());
  RowPage NoChange;
  NoChange.m_StoreTime = 5000ms;
  m_Store.m_Follows.at(0)(NoChange);
  CHECK_EQUAL(5000, m_Mirror->currentStoreTime().count());
  RowPage Cut;
  Cut.m_HasMore = true;
  Cut.m_StoreTime = 6000ms;
  m_Store.m_Follows.at(1)(Cut);
  CHECK_EQUAL(5000, m_Mirror->currentStoreTime().count());
  TimePoint Then = m_Mirror->lastAnswerRequestedAt();
  CHECK_EQUAL(8000, m_Mirror->latestStoreTime(Then + 2s)->count());
  m_Store.m_Follows.at(2)(makeError(ErrorCode::NotFound, "follow"));
  RowPage First, Last;
  First.m_HasMore = true;
  First.m_Rows = {row("a", "1", 700)};
  First.m_StoreTime = 7000ms;
  Last.m_StoreTime = 9000ms;
  m_Store.m_Reads.at(1)(First);
  CHECK_EQUAL(5000, m_Mirror->currentStoreTime().count());
  m_Store.m_Reads.at(2)(Last);
  CHECK_EQUAL(7000, m_Mirror->currentStoreTime().count());
}
