//===- JobStore.cpp - Submission and cancellation of jobs -----------------===//

#include "jobs/JobStore.h"
#include "base/Log.h"
#include "organisations/Authorization.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Time limit of one store call. The store answers within 4 ms, or within 60
/// times that when it is slow.
constexpr Duration StoreCallTimeout = std::chrono::milliseconds(700);
constexpr Duration RetryDelay = std::chrono::milliseconds(120);
/// Shortest timeout of a store call.
constexpr Duration MinCallTimeout = std::chrono::milliseconds(1);
/// Capacity of the cache of final states; an entry takes about 100 bytes.
constexpr std::size_t MaxCachedFinalStates = 20000;

/// Whether the store guarantees that a commit with this error was not applied.
bool isCertainlyNotApplied(ErrorCode Code) {
  return Code == ErrorCode::Unavailable || Code == ErrorCode::RateLimited ||
         Code == ErrorCode::ConnectFailed ||
         Code == ErrorCode::ResourceExhausted;
}

} // namespace

struct JobStore::Submission {
  JobId m_Id;
  OrganisationName m_Caller;
  RowTransaction m_Txn;
  TimePoint m_Deadline;
  /// An attempt failed without telling whether it was applied.
  bool m_MayBeStored = false;
  std::function<void(SubmitResult)> m_Callback;
};

struct JobStore::Cancellation {
  JobId m_Id;
  OrganisationName m_Caller;
  /// Owner of the job, once its state row has been read.
  OrganisationName m_Owner;
  TimePoint m_Deadline;
  std::function<void(CancelResult)> m_Callback;
};

std::shared_ptr<JobStore> JobStore::create(EventLoop &Loop,
                                           MetadataStore &Store) {
  return std::shared_ptr<JobStore>(new JobStore(Loop, Store));
}

void JobStore::submit(JobSpec Job, Duration TimeLimit,
                      std::function<void(SubmitResult)> Callback) {
  auto S = std::make_shared<Submission>();
  S->m_Id = Job.m_Id;
  S->m_Caller = Job.m_Organisation;
  Job.m_AcceptedAt = wallNow();
  JobProgress InitialProgress;
  InitialProgress.m_ChangedAt = Job.m_AcceptedAt;
  InitialProgress.m_Organisation = Job.m_Organisation;
  RowAddress StateAddress = jobStateAddress(Job.m_Id);
  S->m_Txn.m_Conditions.push_back({StateAddress, 0});
  S->m_Txn.m_Puts.push_back({StateAddress, encodeProgress(InitialProgress)});
  S->m_Txn.m_Puts.push_back({liveJobAddress(Job.m_Id), encodeJob(Job)});
  S->m_Deadline = m_Loop.now() + TimeLimit;
  S->m_Callback = std::move(Callback);
  trySubmit(S);
}

void JobStore::trySubmit(const std::shared_ptr<Submission> &S) {
  Duration Remaining = S->m_Deadline - m_Loop.now();
  if (Remaining <= Duration(0)) {
    ++(S->m_MayBeStored ? m_Counters.m_OutcomeUnknown : m_Counters.m_NotStored);
    return S->m_Callback(S->m_MayBeStored ? SubmitResult::OutcomeUnknown
                                          : SubmitResult::NotStored);
  }
  m_Store.commit(S->m_Txn, std::min(Remaining, StoreCallTimeout),
                 [Self = shared_from_this(), S](Result<CommitOutcome> Outcome) {
                   Self->onSubmitted(S, Outcome);
                 });
}

bool JobStore::isOfOtherOrganisation(const Submission &S,
                                     const CommitOutcome &Outcome) {
  for (const StoredRow &Row : Outcome.m_Conflicts)
    if (auto Stored = decodeProgress(Row.m_Value))
      return !mayAccessJob(S.m_Caller, Stored.value().m_Organisation);
  return false;
}

void JobStore::onSubmitted(const std::shared_ptr<Submission> &S,
                           const Result<CommitOutcome> &Outcome) {
  if (!Outcome) {
    S->m_MayBeStored |= !isCertainlyNotApplied(Outcome.error().m_Code);
    m_Loop.after(RetryDelay,
                 [Self = shared_from_this(), S] { Self->trySubmit(S); });
    return;
  }
  if (isOfOtherOrganisation(*S, Outcome.value()))
    return S->m_Callback(SubmitResult::OtherOrganisation);
  ++(Outcome.value().m_Committed ? m_Counters.m_Accepted
                                 : m_Counters.m_Duplicates);
  S->m_Callback(SubmitResult::Accepted);
}

void JobStore::readStateRow(
    const JobId &Id, Duration Timeout,
    std::function<void(Result<std::optional<StoredRow>>)> Callback) {
  m_Store.read(jobStateAddress(Id), 1, Timeout,
               [Id, Callback = std::move(Callback)](Result<RowPage> Page) {
                 if (!Page)
                   return Callback(Page.error());
                 std::optional<StoredRow> Row;
                 if (!Page.value().m_Rows.empty() &&
                     Page.value().m_Rows.front().m_At.m_Key == Id.m_Text)
                   Row = Page.value().m_Rows.front();
                 Callback(std::move(Row));
               });
}

void JobStore::status(
    const JobId &Id, Duration TimeLimit,
    std::function<void(Result<std::optional<JobStatus>>)> Callback) {
  ++m_Counters.m_StateReads;
  auto Cached = m_FinalStatuses.find(Id.m_Text);
  if (Cached != m_FinalStatuses.end()) {
    ++m_Counters.m_StateCacheHits;
    return Callback(std::optional<JobStatus>(Cached->second));
  }
  TimePoint Deadline = m_Loop.now() + TimeLimit;
  readStateRow(
      Id, std::min(TimeLimit, StoreCallTimeout),
      [Self = shared_from_this(), Id, Deadline, Callback = std::move(Callback)](
          Result<std::optional<StoredRow>> Row) mutable {
        if (!Row) {
          // Retry if there is time for another call after the delay.
          Duration Remaining = Deadline - Self->m_Loop.now() - RetryDelay;
          if (Remaining <= RetryDelay)
            return Callback(Row.error());
          Self->m_Loop.after(
              RetryDelay,
              [Self, Id, Remaining, Callback = std::move(Callback)]() mutable {
                Self->status(Id, Remaining, std::move(Callback));
              });
          return;
        }
        if (!Row.value())
          return Callback(std::optional<JobStatus>());
        auto Progress = decodeProgress(Row.value()->m_Value);
        if (!Progress) {
          logEvent(
              Event::JobUnreadable,
              {{"job", Id.m_Text}, {"error", Progress.error().describe()}});
          return Callback(Progress.error());
        }
        JobStatus Status{Progress.value().m_State,
                         Progress.value().m_HasCrashedServers,
                         Progress.value().m_Organisation};
        Self->cacheFinalStatus(Id, Status);
        Callback(std::optional<JobStatus>(Status));
      });
}

void JobStore::cacheFinalStatus(const JobId &Id, const JobStatus &Status) {
  if (!isFinal(Status.m_State))
    return;
  if (m_FinalStatuses.size() >= MaxCachedFinalStates)
    m_FinalStatuses.clear();
  m_FinalStatuses[Id.m_Text] = Status;
}

void JobStore::cancel(const JobId &Id, const OrganisationName &Caller,
                      Duration TimeLimit,
                      std::function<void(CancelResult)> Callback) {
  auto C = std::make_shared<Cancellation>();
  C->m_Id = Id;
  C->m_Caller = Caller;
  C->m_Deadline = m_Loop.now() + TimeLimit;
  C->m_Callback = std::move(Callback);
  readForCancel(C);
}

Duration JobStore::remainingTime(const Cancellation &C) const {
  return std::clamp(C.m_Deadline - m_Loop.now(), MinCallTimeout,
                    StoreCallTimeout);
}

void JobStore::readForCancel(const std::shared_ptr<Cancellation> &C) {
  readStateRow(
      C->m_Id, remainingTime(*C),
      [Self = shared_from_this(), C](Result<std::optional<StoredRow>> Row) {
        if (!Row)
          return Self->retryCancel(C);
        if (!Row.value())
          return Self->finishCancel(C, CancelResult::Unknown);
        Self->tryCancel(C, *Row.value());
      });
}

void JobStore::retryCancel(const std::shared_ptr<Cancellation> &C) {
  if (m_Loop.now() + RetryDelay >= C->m_Deadline)
    return finishCancel(C, CancelResult::Failed);
  m_Loop.after(RetryDelay,
               [Self = shared_from_this(), C] { Self->readForCancel(C); });
}

void JobStore::tryCancel(const std::shared_ptr<Cancellation> &C,
                         const StoredRow &Row) {
  auto Progress = decodeProgress(Row.m_Value);
  if (!Progress) {
    logEvent(Event::JobUnreadable,
             {{"job", C->m_Id.m_Text}, {"error", Progress.error().describe()}});
    return finishCancel(C, CancelResult::Failed);
  }
  C->m_Owner = Progress.value().m_Organisation;
  if (!mayAccessJob(C->m_Caller, C->m_Owner))
    return finishCancel(C, CancelResult::OtherOrganisation);
  if (isFinal(Progress.value().m_State))
    return finishCancel(C, Progress.value().m_State == JobState::Cancelled
                               ? CancelResult::Cancelled
                               : CancelResult::AlreadyFinished);
  JobProgress CancelledProgress;
  CancelledProgress.m_State = JobState::Cancelled;
  CancelledProgress.m_ChangedAt = wallNow();
  CancelledProgress.m_Organisation = Progress.value().m_Organisation;
  RowAddress StateAddress = jobStateAddress(C->m_Id);
  RowTransaction Txn;
  Txn.m_Conditions.push_back({StateAddress, Row.m_Version});
  Txn.m_Puts.push_back({StateAddress, encodeProgress(CancelledProgress)});
  Txn.m_Deletes.push_back(liveJobAddress(C->m_Id));
  m_Store.commit(Txn, remainingTime(*C),
                 [Self = shared_from_this(), C](Result<CommitOutcome> Outcome) {
                   if (Outcome && Outcome.value().m_Committed)
                     return Self->finishCancel(C, CancelResult::Cancelled);
                   // A conflict returns the current row, so the next attempt
                   // needs no read. After a failed call the row is read again.
                   if (Outcome)
                     for (const StoredRow &Current :
                          Outcome.value().m_Conflicts)
                       if (Current.m_Version != 0)
                         return Self->tryCancel(C, Current);
                   Self->retryCancel(C);
                 });
}

void JobStore::finishCancel(const std::shared_ptr<Cancellation> &C,
                            CancelResult R) {
  if (R == CancelResult::Cancelled) {
    ++m_Counters.m_Cancelled;
    cacheFinalStatus(C->m_Id, {JobState::Cancelled, false, C->m_Owner});
  }
  C->m_Callback(R);
}

} // namespace pollenspool
