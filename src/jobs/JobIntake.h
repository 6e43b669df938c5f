//===- JobIntake.h - Takes callers' jobs in, on any instance ----*- C++ -*-===//

#ifndef POLLENSPOOL_JOBS_JOBINTAKE_H
#define POLLENSPOOL_JOBS_JOBINTAKE_H

#include "jobs/JobRows.h"
#include "net/EventLoop.h"
#include "store/MetadataStore.h"
#include <memory>
#include <optional>
#include <unordered_map>

namespace pollenspool {

/// What came of handing a job in.
enum class SubmitResult : std::uint8_t {
  /// Stored, now or by an earlier request with the same ID.
  Accepted,
  /// Certainly not stored.
  NotStored,
  /// The store did not say; the job may be stored, now or later.
  Unsure,
};

enum class CancelResult : std::uint8_t {
  Cancelled,
  AlreadyOver,
  Unknown,
  Failed
};

struct JobIntakeCounters {
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Repeated = 0;
  std::uint64_t m_NotStored = 0;
  std::uint64_t m_Unsure = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_StateReads = 0;
  std::uint64_t m_StateCacheHits = 0;
};

/// Stores jobs and answers for them from the store, so that every instance
/// gives the same answer whoever leads. Continuations are called once. One
/// thread: the event loop's.
class JobIntake : public std::enable_shared_from_this<JobIntake> {
public:
  /// \p Loop and \p Store must outlive the intake.
  static std::shared_ptr<JobIntake> create(EventLoop &Loop,
                                           MetadataStore &Store);

  /// Stores \p Job unless its ID is known. Tries until \p Patience is over.
  void submit(JobSpec Job, Duration Patience,
              std::function<void(SubmitResult)> Then);
  void cancel(const JobId &Id, Duration Patience,
              std::function<void(CancelResult)> Then);
  /// The job's state; nothing if there is no such job. Errors as the store's.
  void state(const JobId &Id, Duration Patience,
             std::function<void(Result<std::optional<JobState>>)> Then);

  const JobIntakeCounters &counters() const { return m_Counters; }

private:
  JobIntake(EventLoop &Loop, MetadataStore &Store)
      : m_Loop(Loop), m_Store(Store) {}
  struct Submission;
  struct Cancellation;
  void trySubmit(const std::shared_ptr<Submission> &S);
  void onSubmitted(const std::shared_ptr<Submission> &S,
                   const Result<CommitOutcome> &Outcome);
  void readForCancel(const std::shared_ptr<Cancellation> &C);
  void tryCancel(const std::shared_ptr<Cancellation> &C, const StoredRow &Row);
  void retryCancel(const std::shared_ptr<Cancellation> &C);
  void finishCancel(const std::shared_ptr<Cancellation> &C, CancelResult R);
  void readRow(const JobId &Id, Duration Timeout,
               std::function<void(Result<std::optional<StoredRow>>)> Then);
  void remember(const JobId &Id, JobState State);

  EventLoop &m_Loop;
  MetadataStore &m_Store;
  JobIntakeCounters m_Counters;
  /// Last states never change, so they are asked for once.
  std::unordered_map<std::string, JobState> m_Final;
};

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_JOBINTAKE_H
