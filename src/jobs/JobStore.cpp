//===- JobStore.cpp - Submission and cancellation of jobs -----------------===//

#include "jobs/JobStore.h"
#include "base/Log.h"
#include "organisations/Authorization.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Time limit of one call to a store that is not known to be slow. It usually
/// answers within 10 ms.
constexpr Duration StoreCallTimeout = std::chrono::milliseconds(700);
/// Time limit of one call to a slow store.
constexpr Duration MaxStoreCallTimeout = std::chrono::milliseconds(2500);
/// Time limit of a submission while the store is not known to be slow. Callers
/// get an answer sooner by retrying at another entry instance.
constexpr Duration UsualSubmitTime = std::chrono::milliseconds(1500);
constexpr Duration RetryDelay = std::chrono::milliseconds(120);
/// Shortest timeout of a store call.
constexpr Duration MinCallTimeout = std::chrono::milliseconds(1);
/// Capacity of the cache of final states; an entry takes about 100 bytes.
constexpr std::size_t MaxCachedFinalStates = 20000;

/// Bytes of a job's row beside its texts and steps, of a step beside its texts,
/// and of a number of a preceding step; at most.
constexpr std::size_t MaxRowFrame = 2000;
constexpr std::size_t MaxStepFrame = 300;
constexpr std::size_t MaxNumberSize = 11;
/// Bytes that one byte of a text takes at most.
constexpr std::size_t MaxEscapeSize = 6;

/// Whether the row of \p Job is larger than the store accepts. Encodes only
/// jobs that may be.
bool exceedsRow(const JobSpec &Job) {
  std::size_t Texts = Job.m_Text.size() + Job.m_Queue.m_Text.size() +
                      Job.m_Pool.m_Text.size() +
                      Job.m_Organisation.m_Text.size();
  std::size_t Bytes = MaxRowFrame + Job.m_Steps.size() * MaxStepFrame;
  for (const StepSpec &S : Job.m_Steps) {
    Texts += S.m_RequiredLabel.size() + S.m_DataRack.size() + S.m_Image.size();
    Bytes += S.m_After.size() * MaxNumberSize;
  }
  return Bytes + Texts * MaxEscapeSize > StoreLimits().m_RowBytes &&
         encodeJob(Job).size() > StoreLimits().m_RowBytes;
}

} // namespace

struct JobStore::Cancellation {
  JobId m_Id;
  OrganisationName m_Caller;
  /// Owner of the job, once its state row has been read.
  OrganisationName m_Owner;
  TimePoint m_Deadline;
  /// Whether the mark of the ID has been taken from the budget.
  bool m_HasBudget = false;
  std::function<void(CancelResult)> m_Callback;
};

std::shared_ptr<JobStore> JobStore::create(EventLoop &Loop,
                                           MetadataStore &Store) {
  return std::shared_ptr<JobStore>(new JobStore(Loop, Store));
}

void JobStore::submit(JobSpec Job, Duration TimeLimit,
                      std::function<void(SubmitResult)> Callback) {
  TimePoint Now = m_Loop.now();
  const int CallsToWaitFor = m_Batcher.isCommitting(Job.m_Id) ? 2 : 1;
  if (m_Latency.expected(Now) * CallsToWaitFor >= TimeLimit) {
    ++m_Counters.m_StoreSlow;
    return Callback(SubmitResult::StoreSlow);
  }
  Job.m_AcceptedAt = wallNow();
  if (exceedsRow(Job))
    return Callback(SubmitResult::TooLarge);
  SubmissionNumber Number = m_Batcher.add(Job);
  m_Waiters[Number] = {Now + TimeLimit, std::move(Callback)};
  m_Loop.after(
      std::min(TimeLimit, UsualSubmitTime),
      [Self = shared_from_this(), Number] { Self->checkDeadline(Number); });
  commitSubmissions();
}

void JobStore::commitSubmissions() {
  TimePoint Now = m_Loop.now();
  for (const SubmissionBatcher::Batch &B : m_Batcher.takeBatches(Now)) {
    ++m_Counters.m_SubmissionBatches;
    m_Store.commit(
        B.m_Txn,
        m_Latency.callTimeout(StoreCallTimeout, MaxStoreCallTimeout, Now),
        [Self = shared_from_this(), Number = B.m_Number,
         Sent = Now](Result<CommitOutcome> Outcome) {
          Self->onSubmitted(Number, Outcome, Sent);
        });
  }
}

void JobStore::onSubmitted(std::uint64_t Batch,
                           const Result<CommitOutcome> &Outcome,
                           TimePoint Sent) {
  onCallEnded(Outcome.has_value(), Sent);
  if (!Outcome && Outcome.error().m_Code == ErrorCode::Timeout)
    m_Latency.onTimeout(m_Loop.now() - Sent, m_Loop.now());
  for (const SubmissionBatcher::Decision &D :
       m_Batcher.onResult(Batch, Outcome, m_Loop.now())) {
    if (D.m_Result == SubmitResult::Accepted)
      ++(D.m_IsDuplicate ? m_Counters.m_Duplicates : m_Counters.m_Accepted);
    finishSubmission(D.m_Submission, D.m_Result);
  }
  commitSubmissions();
  if (!Outcome || !Outcome.value().m_Committed)
    m_Loop.after(SubmissionBatcher::RetryDelay,
                 [Self = shared_from_this()] { Self->commitSubmissions(); });
}

void JobStore::checkDeadline(SubmissionNumber Number) {
  auto It = m_Waiters.find(Number);
  if (It == m_Waiters.end())
    return;
  TimePoint Now = m_Loop.now();
  if (Now < It->second.m_Deadline && m_Latency.isSlow(Now))
    return m_Loop.after(
        It->second.m_Deadline - Now,
        [Self = shared_from_this(), Number] { Self->checkDeadline(Number); });
  SubmitResult R = m_Batcher.giveUp(Number);
  ++(R == SubmitResult::OutcomeUnknown ? m_Counters.m_OutcomeUnknown
                                       : m_Counters.m_NotStored);
  finishSubmission(Number, R);
}

void JobStore::finishSubmission(SubmissionNumber Number, SubmitResult R) {
  auto Node = m_Waiters.extract(Number);
  if (!Node.empty())
    Node.mapped().m_Callback(R);
}

void JobStore::onCallEnded(bool IsAnswered, TimePoint Sent) {
  if (IsAnswered)
    m_Latency.onAnswer(m_Loop.now() - Sent, m_Loop.now());
}

void JobStore::readStateRow(
    const JobId &Id, Duration Timeout,
    std::function<void(Result<std::optional<StoredRow>>)> Callback) {
  m_Store.read(jobStateAddress(Id), 1, Timeout,
               [Self = shared_from_this(), Sent = m_Loop.now(), Id,
                Callback = std::move(Callback)](Result<RowPage> Page) {
                 Self->onCallEnded(Page.has_value(), Sent);
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
      Id,
      std::min(TimeLimit,
               m_Latency.callTimeout(StoreCallTimeout, MaxStoreCallTimeout,
                                     m_Loop.now())),
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
        if (!Progress.value().m_CancelledBy.empty())
          return Callback(std::optional<JobStatus>());
        JobStatus Status{
            Progress.value().m_State, Progress.value().m_HasCrashedServers,
            Progress.value().m_Organisation, Progress.value().m_IsUnrecordable};
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
  TimePoint Now = m_Loop.now();
  return std::clamp(
      C.m_Deadline - Now, MinCallTimeout,
      m_Latency.callTimeout(StoreCallTimeout, MaxStoreCallTimeout, Now));
}

void JobStore::readForCancel(const std::shared_ptr<Cancellation> &C) {
  readStateRow(
      C->m_Id, remainingTime(*C),
      [Self = shared_from_this(), C](Result<std::optional<StoredRow>> Row) {
        if (!Row)
          return Self->retryCancel(C);
        Self->tryCancel(C, Row.value().value_or(StoredRow()));
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
  if (Row.m_Version == 0)
    return markCancelled(C, 0, {});
  auto Progress = decodeProgress(Row.m_Value);
  if (!Progress) {
    logEvent(Event::JobUnreadable,
             {{"job", C->m_Id.m_Text}, {"error", Progress.error().describe()}});
    return finishCancel(C, CancelResult::Failed);
  }
  if (!Progress.value().m_CancelledBy.empty())
    return markCancelled(C, Row.m_Version, std::move(Progress.value()));
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
  CancelledProgress.m_HasPages = Progress.value().isPaged();
  RowAddress StateAddress = jobStateAddress(C->m_Id);
  RowTransaction Txn;
  Txn.m_Conditions.push_back({StateAddress, Row.m_Version});
  Txn.m_Puts.push_back({StateAddress, encodeProgress(CancelledProgress)});
  Txn.m_Deletes.push_back(liveJobAddress(C->m_Id));
  commitCancel(C, Txn, CancelResult::Cancelled);
}

void JobStore::markCancelled(const std::shared_ptr<Cancellation> &C,
                             RowVersion Replaced, JobProgress Mark) {
  if (Mark.m_CancelledBy.count(C->m_Caller) != 0)
    return finishCancel(C, CancelResult::Unknown);
  if (!C->m_HasBudget && !m_MarkBudget.take(C->m_Caller, m_Loop.now()))
    return finishCancel(C, CancelResult::TooManyMarks);
  C->m_HasBudget = true;
  Mark.m_State = JobState::Cancelled;
  Mark.m_ChangedAt = wallNow();
  Mark.m_CancelledBy.insert(C->m_Caller);
  RowAddress StateAddress = jobStateAddress(C->m_Id);
  RowTransaction Txn;
  Txn.m_Conditions.push_back({StateAddress, Replaced});
  Txn.m_Puts.push_back({StateAddress, encodeProgress(Mark)});
  Txn.m_Puts.push_back({liveJobAddress(C->m_Id), CancellationMarkValue});
  commitCancel(C, Txn, CancelResult::Unknown);
}

void JobStore::commitCancel(const std::shared_ptr<Cancellation> &C,
                            const RowTransaction &Txn, CancelResult R) {
  m_Store.commit(
      Txn, remainingTime(*C),
      [Self = shared_from_this(), C, R](Result<CommitOutcome> Outcome) {
        if (Outcome && Outcome.value().m_Committed) {
          Self->m_Counters.m_CancellationMarks += R == CancelResult::Unknown;
          return Self->finishCancel(C, R);
        }
        // A conflict returns the current row, so the next attempt needs no
        // read. After a failed call the row is read again.
        if (Outcome)
          for (const StoredRow &Current : Outcome.value().m_Conflicts)
            if (Current.m_Version != 0)
              return Self->tryCancel(C, Current);
        Self->retryCancel(C);
      });
}

void JobStore::finishCancel(const std::shared_ptr<Cancellation> &C,
                            CancelResult R) {
  if (R == CancelResult::Cancelled) {
    ++m_Counters.m_Cancelled;
    cacheFinalStatus(C->m_Id, {JobState::Cancelled, false, C->m_Owner, false});
  }
  m_Counters.m_MarksRefused += R == CancelResult::TooManyMarks;
  C->m_Callback(R);
}

} // namespace pollenspool
