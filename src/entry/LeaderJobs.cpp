//===- LeaderJobs.cpp - Rows of jobs that the leader reads and removes ----===//

#include "base/Log.h"
#include "entry/Leader.h"
#include "jobs/TaskPages.h"

namespace pollenspool {

namespace {

/// How long one call of the live jobs' change feed may wait.
constexpr Duration FeedWait = std::chrono::milliseconds(1000);
/// How long the final state of a job is kept after callers can no longer query
/// it.
constexpr std::chrono::seconds RemovalMargin{60};
/// Interval between two removals of old final states.
constexpr Duration RemovalInterval = std::chrono::seconds(10);
constexpr std::size_t MaxRemovalsPerTransaction = 90;

/// Decodes a state row if it refers to pages.
std::optional<JobProgress> decodePagedState(const std::string &Value) {
  if (Value.find("\"page_size\"") == std::string::npos)
    return std::nullopt;
  auto Progress = decodeProgress(Value);
  return Progress && Progress.value().isPaged()
             ? std::optional(std::move(Progress.value()))
             : std::nullopt;
}

} // namespace

Duration Leader::finalStateRetention(const EntrySettings &Settings) {
  return Settings.m_StateRetention + RemovalMargin;
}

void Leader::readJobStates() {
  m_StateReadsLeft = jobPartitions().size();
  for (const std::string &Part : jobPartitions())
    readJobStates({JobStatesTable, {}, Part});
}

void Leader::readJobStates(const RowAddress &From) {
  readWithRetry(From, MaxPageRows, [this](RowPage &Page) {
    for (StoredRow &Row : Page.m_Rows) {
      if (auto P = decodePagedState(Row.m_Value)) {
        const JobId Id(Row.m_At.m_Key);
        const RowAddress Prefix = pagePrefix(Id, P->m_PageGeneration);
        ++m_StateReadsLeft;
        readPages(Id, Prefix, Prefix);
      }
      m_StatesAtStart[Row.m_At.m_Key] = Row;
    }
    if (Page.m_HasMore && !Page.m_Rows.empty()) {
      RowAddress Next = Page.m_Rows.back().m_At;
      Next.m_Key += '\0';
      readJobStates(Next);
    } else {
      --m_StateReadsLeft;
      onStatesRead();
    }
  });
}

void Leader::readPages(const JobId &Id, const RowAddress &Prefix,
                       const RowAddress &From) {
  readWithRetry(From, MaxPageRows, [this, Id, Prefix](RowPage &Page) {
    // Rows of other jobs may follow.
    bool IsLast = !Page.m_HasMore || Page.m_Rows.empty();
    for (StoredRow &Row : Page.m_Rows) {
      if (hasPrefix(Row.m_At, Prefix))
        m_PagesAtStart[Id.m_Text].push_back(Row);
      else
        IsLast = true;
    }
    if (!IsLast) {
      RowAddress Next = Page.m_Rows.back().m_At;
      Next.m_Key += '\0';
      return readPages(Id, Prefix, Next);
    }
    --m_StateReadsLeft;
    onStatesRead();
  });
}

bool Leader::addPages(const JobSpec &Job, JobProgress &Progress) {
  const RowAddress Prefix = pagePrefix(Job.m_Id, Progress.m_PageGeneration);
  auto Node = m_PagesAtStart.extract(Job.m_Id.m_Text);
  if (Node.empty())
    return true;
  for (const StoredRow &Row : Node.mapped()) {
    const auto Number = pageNumber(Row.m_At, Prefix);
    Result<void> Added =
        Number ? addPage(Progress, Job, *Number, Row.m_Value)
               : makeError(ErrorCode::InvalidMessage, "add page of tasks");
    if (Added)
      continue;
    logEvent(Event::JobUnreadable, {{"job", Job.m_Id.m_Text},
                                    {"page", Row.m_At.m_Key},
                                    {"error", Added.error().describe()}});
    return false;
  }
  return true;
}

void Leader::onStatesRead() {
  if (!areStatesRead())
    return;
  for (const StoredRow &Row : std::exchange(m_LiveRowsAtStart, {}))
    onLiveJobRow(Row);
  finishLoadingJobs();
}

void Leader::followJobs() {
  TableMirror::Listener RowListener;
  RowListener.m_OnRow = [this](const StoredRow &Row) {
    if (!areStatesRead())
      m_LiveRowsAtStart.push_back(Row);
    else
      onLiveJobRow(Row);
  };
  RowListener.m_OnAnswer = [this] {
    finishLoadingJobs();
    scheduleTick();
  };
  m_LiveJobs = TableMirror::create(m_Loop, m_Ports.m_Store, LiveJobsTable,
                                   jobPartitions(), CatchUp::ReadChanges,
                                   FeedWait, std::move(RowListener));
  m_LiveJobs->start();
}

void Leader::finishLoadingJobs() {
  if (m_JobsLoaded || !areStatesRead() || !m_LiveJobs->isSynced())
    return;
  m_JobsLoaded = true;
  // Jobs with a final state had ended before this term.
  for (const auto &[Id, Row] : m_StatesAtStart)
    if (auto P = decodeProgress(Row.m_Value);
        P && isFinal(P.value().m_State) && P.value().m_CancelledBy.empty()) {
      m_EndedAt[Id] = P.value().m_ChangedAt;
      if (P.value().m_HasPages)
        m_EndedWithPages.insert(Id);
      m_Scheduler->onEarlierEnd(JobId(Id), P.value().m_Organisation);
    }
  m_StatesAtStart.clear();
  logEvent(Event::TermJobsLoaded,
           {{"term", std::to_string(m_Leadership.term())},
            {"jobs", std::to_string(m_Scheduler->jobs().all().size())},
            {"ended_jobs", std::to_string(m_EndedAt.size())},
            {"took_ms", std::to_string((m_Loop.now() - m_StartedAt) /
                                       std::chrono::milliseconds(1))}});
}

void Leader::onLiveJobRow(const StoredRow &Row) {
  if (m_Marks->onLiveRow(Row, m_Loop.now()))
    return;
  JobId Id(Row.m_At.m_Key);
  if (Row.m_IsDeleted) {
    m_EndedAt[Id.m_Text] = wallNow();
    m_Scheduler->onJobEnded(Id);
    return;
  }
  auto Job = decodeJob(Row.m_Value);
  if (!Job) {
    logEvent(Event::JobUnreadable,
             {{"job", Id.m_Text}, {"error", Job.error().describe()}});
    return;
  }
  // The ID may have been used before.
  m_EndedAt.erase(Id.m_Text);
  JobProgress Progress;
  RowVersion StateVersion = Row.m_Version;
  if (auto It = m_StatesAtStart.find(Id.m_Text); It != m_StatesAtStart.end()) {
    auto Read = decodeProgress(It->second.m_Value);
    if (!Read) {
      logEvent(Event::JobUnreadable,
               {{"job", Id.m_Text}, {"error", Read.error().describe()}});
      return;
    }
    Progress = std::move(Read.value());
    if (!addPages(Job.value(), Progress))
      return;
    StateVersion = It->second.m_Version;
  }
  m_Scheduler->onJob(std::move(Job.value()), std::move(Progress), Row.m_Version,
                     StateVersion, m_Loop.now(), wallNow());
}

void Leader::removeOldStates() {
  TimePoint Now = m_Loop.now();
  if (Now < m_NextRemovalAt)
    return;
  m_NextRemovalAt = Now + RemovalInterval;
  for (const JobId &Id : m_Scheduler->jobs().takeRemovedWithPages())
    m_EndedWithPages.insert(Id.m_Text);
  if (!m_EndedWithPages.empty())
    removePages(JobId(*m_EndedWithPages.begin()));
  auto Before =
      wallNow() - std::chrono::duration_cast<std::chrono::milliseconds>(
                      finalStateRetention(m_Settings));
  RowTransaction Txn;
  for (auto It = m_EndedAt.begin();
       It != m_EndedAt.end() &&
       Txn.m_Deletes.size() < MaxRemovalsPerTransaction;) {
    if (It->second >= Before || m_EndedWithPages.count(It->first) != 0) {
      ++It;
      continue;
    }
    Txn.m_Deletes.push_back(jobStateAddress(JobId(It->first)));
    m_Scheduler->forgetEnded(JobId(It->first));
    It = m_EndedAt.erase(It);
  }
  if (Txn.m_Deletes.empty())
    return;
  m_Ports.m_Store.commit(Txn, PlatformCallTimeout,
                         [](Result<CommitOutcome> Outcome) {
                           // The next leader finds and removes rows that
                           // remain.
                           if (!Outcome)
                             logEvent(Event::RecordFailed,
                                      {{"error", Outcome.error().describe()}});
                         });
}

void Leader::removePages(const JobId &Id) {
  if (std::exchange(m_PageRemovalPending, true))
    return;
  const RowAddress Prefix = pagePrefix(Id);
  readWithRetry(
      Prefix, MaxRemovalsPerTransaction, [this, Id, Prefix](RowPage &Page) {
        RowTransaction Txn;
        // Only the leader of this term may still write pages of the job.
        Txn.m_Conditions.push_back(m_Leadership.termCondition());
        for (const StoredRow &Row : Page.m_Rows)
          if (hasPrefix(Row.m_At, Prefix))
            Txn.m_Deletes.push_back(Row.m_At);
        if (Txn.m_Deletes.empty()) {
          m_PageRemovalPending = false;
          m_EndedWithPages.erase(Id.m_Text);
          return;
        }
        m_Ports.m_Store.commit(
            Txn, PlatformCallTimeout,
            whileLeading([this, Id](const Result<CommitOutcome> &Outcome) {
              m_PageRemovalPending = false;
              if (Outcome && Outcome.value().m_Committed)
                return removePages(Id);
              // Tried again after RemovalInterval.
              logEvent(Event::RecordFailed,
                       {{"pages_of", Id.m_Text},
                        {"error", Outcome ? "the term has ended"
                                          : Outcome.error().describe()}});
            }));
      });
}

void Leader::removeMarks() {
  if (!m_JobsLoaded)
    return;
  auto Txn = m_Marks->next(m_Loop.now());
  if (!Txn)
    return;
  m_Ports.m_Store.commit(
      *Txn, PlatformCallTimeout,
      whileLeading([this](const Result<CommitOutcome> &Outcome) {
        if (!Outcome)
          logEvent(Event::RecordFailed,
                   {{"cancellation_marks", std::to_string(m_Marks->size())},
                    {"error", Outcome.error().describe()}});
        m_Marks->onResult(Outcome, m_Loop.now());
      }));
}

} // namespace pollenspool
