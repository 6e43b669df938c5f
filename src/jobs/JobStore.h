//===- JobStore.h - Submission and cancellation of jobs ---------*- C++ -*-===//

#ifndef POLLENSPOOL_JOBS_JOBSTORE_H
#define POLLENSPOOL_JOBS_JOBSTORE_H

#include "jobs/CancellationMarks.h"
#include "jobs/SubmissionBatcher.h"
#include "net/EventLoop.h"
#include "store/MetadataStore.h"
#include "store/StoreLatency.h"
#include <memory>
#include <optional>
#include <unordered_map>

namespace pollenspool {

/// Outcome of a cancellation.
enum class CancelResult : std::uint8_t {
  /// The job is cancelled, by this request or an earlier one.
  Cancelled,
  /// The job has completed or failed before.
  AlreadyFinished,
  /// There is no job with this ID, and a submission of the caller's
  /// organisation that the store carries out late will not make one.
  Unknown,
  /// There is no job with this ID, and the organisation has cancelled so many
  /// such IDs that this one was not marked. Nothing was done.
  TooManyMarks,
  /// The job belongs to another organisation.
  OtherOrganisation,
  /// The job's state row could not be read, decoded or replaced; the job may
  /// still be cancelled later if the store applies a commit late.
  Failed
};

/// Totals since the start of the process.
struct JobStoreCounters {
  std::uint64_t m_Accepted = 0;
  /// Submissions of a job that was stored already.
  std::uint64_t m_Duplicates = 0;
  /// \see SubmitResult::NotStored.
  std::uint64_t m_NotStored = 0;
  /// \see SubmitResult::OutcomeUnknown.
  std::uint64_t m_OutcomeUnknown = 0;
  /// \see SubmitResult::StoreSlow.
  std::uint64_t m_StoreSlow = 0;
  /// Transactions with submissions; each may hold several.
  std::uint64_t m_SubmissionBatches = 0;
  std::uint64_t m_Cancelled = 0;
  /// Cancellation marks written.
  std::uint64_t m_CancellationMarks = 0;
  /// \see CancelResult::TooManyMarks.
  std::uint64_t m_MarksRefused = 0;
  std::uint64_t m_StateReads = 0;
  std::uint64_t m_StateCacheHits = 0;
};

/// What callers can learn of a job.
struct JobStatus {
  JobState m_State = JobState::Queued;
  /// Whether a failed job was given up because one of its tasks crashed the
  /// servers that started it.
  bool m_HasCrashedServers = false;
  /// \see JobSpec::m_Organisation.
  OrganisationName m_Organisation{};
  /// \see JobProgress::m_IsUnrecordable.
  bool m_IsUnrecordable = false;
};

/// Submits and cancels jobs, and looks up their state. It only uses the
/// metadata store, so every entry instance gives the same answers, whichever
/// instance is the leader. Every continuation is called exactly once. Not
/// thread safe: use it on the thread of the event loop only.
class JobStore : public std::enable_shared_from_this<JobStore> {
public:
  /// \p Loop and \p Store must outlive the returned object.
  static std::shared_ptr<JobStore> create(EventLoop &Loop,
                                          MetadataStore &Store);

  /// Stores \p Job unless a job with its ID is stored already, and sets its
  /// m_AcceptedAt. Retries failed store calls for up to \p TimeLimit, or for
  /// less if the store is not known to be slow. Submissions of one partition
  /// may share a transaction.
  void submit(JobSpec Job, Duration TimeLimit,
              std::function<void(SubmitResult)> Callback);
  /// Cancels the job for \p Caller unless it is in a final state. If there is
  /// no job, marks the ID as cancelled, so that a submission that is under way
  /// has no effect. Retries failed store calls for up to \p TimeLimit; a call
  /// that is under way then may end later.
  void cancel(const JobId &Id, const OrganisationName &Caller,
              Duration TimeLimit, std::function<void(CancelResult)> Callback);
  /// Reads the job's status; std::nullopt if there is no such job, also for an
  /// ID that is marked as cancelled. Retries
  /// failed store calls for up to \p TimeLimit. Errors: those of
  /// MetadataStore::read(), and InvalidMessage if the row cannot be decoded.
  void status(const JobId &Id, Duration TimeLimit,
              std::function<void(Result<std::optional<JobStatus>>)> Callback);

  const JobStoreCounters &counters() const { return m_Counters; }
  /// How long the store has taken lately.
  const StoreLatency &latency() const { return m_Latency; }

private:
  JobStore(EventLoop &Loop, MetadataStore &Store)
      : m_Loop(Loop), m_Store(Store) {}
  struct Cancellation;
  /// A submission whose caller waits for the result.
  struct Waiter {
    TimePoint m_Deadline;
    std::function<void(SubmitResult)> m_Callback;
  };
  /// Commits the submissions that are due.
  void commitSubmissions();
  void onSubmitted(std::uint64_t Batch, const Result<CommitOutcome> &Outcome,
                   TimePoint Sent);
  /// Ends a submission whose time limit has passed.
  void checkDeadline(SubmissionNumber Number);
  void finishSubmission(SubmissionNumber Number, SubmitResult R);
  void onCallEnded(bool IsAnswered, TimePoint Sent);
  /// Timeout of the next call of a cancellation, which keeps its deadline.
  Duration remainingTime(const Cancellation &C) const;
  void readForCancel(const std::shared_ptr<Cancellation> &C);
  /// Cancels the job of \p Row, or marks the ID if that is a mark or the row
  /// does not exist (version 0).
  void tryCancel(const std::shared_ptr<Cancellation> &C, const StoredRow &Row);
  void markCancelled(const std::shared_ptr<Cancellation> &C,
                     RowVersion Replaced, JobProgress Mark);
  /// Commits \p Txn, which ends the cancellation with \p R unless a condition
  /// fails.
  void commitCancel(const std::shared_ptr<Cancellation> &C,
                    const RowTransaction &Txn, CancelResult R);
  void retryCancel(const std::shared_ptr<Cancellation> &C);
  void finishCancel(const std::shared_ptr<Cancellation> &C, CancelResult R);
  void
  readStateRow(const JobId &Id, Duration Timeout,
               std::function<void(Result<std::optional<StoredRow>>)> Callback);
  void cacheFinalStatus(const JobId &Id, const JobStatus &Status);

  EventLoop &m_Loop;
  MetadataStore &m_Store;
  JobStoreCounters m_Counters;
  StoreLatency m_Latency;
  SubmissionBatcher m_Batcher;
  MarkBudget m_MarkBudget;
  std::map<SubmissionNumber, Waiter> m_Waiters;
  /// Cached final states by job ID. A final state never changes, so it has to
  /// be read only once.
  std::unordered_map<std::string, JobStatus> m_FinalStatuses;
};

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_JOBSTORE_H
