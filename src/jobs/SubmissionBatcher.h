//===- SubmissionBatcher.h - Submissions that share commits -----*- C++ -*-===//

#ifndef POLLENSPOOL_JOBS_SUBMISSIONBATCHER_H
#define POLLENSPOOL_JOBS_SUBMISSIONBATCHER_H

#include "jobs/JobRows.h"
#include <deque>
#include <map>
#include <memory>

namespace pollenspool {

/// Outcome of a submission.
enum class SubmitResult : std::uint8_t {
  /// The job is stored, by this request or an earlier one with the same ID.
  Accepted,
  /// The job is certainly not stored.
  NotStored,
  /// The store did not report the outcome: the job may be stored already, or
  /// may still be stored later.
  OutcomeUnknown,
  /// A job with this ID belongs to another organisation; this one is not
  /// stored.
  OtherOrganisation,
  /// The caller's organisation cancelled the ID before a job with it was
  /// stored. The job is certainly not stored, and never will be.
  Cancelled,
  /// The row of the job would be larger than the store accepts.
  TooLarge,
  /// The store would not have answered in time, so nothing was sent to it. The
  /// job is certainly not stored.
  StoreSlow,
};

/// Number of a submission, unique within one batcher.
using SubmissionNumber = std::uint64_t;

/// Group commit: the submissions of a partition that wait while a transaction
/// is in flight there share the next one. A partition of a slow store applies a
/// few transactions per second, but each may hold many jobs. Does no I/O. Not
/// thread safe.
class SubmissionBatcher {
public:
  /// A transaction to commit.
  struct Batch {
    std::uint64_t m_Number = 0;
    RowTransaction m_Txn;
  };
  /// A submission whose outcome is known.
  struct Decision {
    SubmissionNumber m_Submission = 0;
    SubmitResult m_Result = SubmitResult::NotStored;
    /// Whether the job had been stored before.
    bool m_IsDuplicate = false;
  };

  SubmissionNumber add(const JobSpec &Job);
  /// The transactions that are due. At most one is in flight in a partition.
  std::vector<Batch> takeBatches(TimePoint Now);
  /// Handles the result of the batch \p Number, which takeBatches() returned.
  /// Submissions without a decision are sent again, after RetryDelay if the
  /// call failed.
  std::vector<Decision> onResult(std::uint64_t Number,
                                 const Result<CommitOutcome> &Outcome,
                                 TimePoint Now);
  /// Whether a transaction is in flight in the partition of \p Id, so that a
  /// submission has to wait for it.
  bool isCommitting(const JobId &Id) const;
  /// Ends a submission without a decision. Returns NotStored or OutcomeUnknown.
  SubmitResult giveUp(SubmissionNumber Number);

  /// Delay before a submission is sent again after a failed call.
  static constexpr Duration RetryDelay = std::chrono::milliseconds(120);

private:
  struct Submission {
    SubmissionNumber m_Number = 0;
    OrganisationName m_Caller;
    RowPut m_State;
    RowPut m_Live;
    /// Version of the cancellation mark of another organisation that the job
    /// replaces; 0 if there is none.
    RowVersion m_ReplacedMark = 0;
    TimePoint m_NotBefore{};
    /// The store may have stored the job already, or may still do so, by the
    /// call in flight or by an earlier one.
    bool m_MayBeStored = false;
    /// An earlier call failed without telling whether it was applied.
    bool m_WasUnanswered = false;
    /// The store has rejected a transaction that it shared, perhaps because of
    /// another member, so it gets one of its own.
    bool m_IsSentAlone = false;
    /// Its caller has been answered.
    bool m_IsAbandoned = false;

    std::size_t bytes() const {
      return m_State.m_Value.size() + m_Live.m_Value.size();
    }
  };
  using SubmissionPtr = std::shared_ptr<Submission>;
  struct Partition {
    std::deque<SubmissionPtr> m_Waiting;
    bool m_IsCommitting = false;
  };
  struct InFlight {
    std::string m_Partition;
    std::vector<SubmissionPtr> m_Members;
  };

  std::vector<SubmissionPtr> takeMembers(Partition &P, TimePoint Now);
  /// Decides a member of a transaction that had a conflict. Returns whether the
  /// conflict was its own. A mark of another organisation decides nothing; the
  /// member then replaces it.
  static bool decideConflict(Submission &S, const CommitOutcome &Outcome,
                             std::vector<Decision> &Out);
  std::map<std::string, Partition> m_Partitions;
  std::map<std::uint64_t, InFlight> m_InFlight;
  /// Submissions without a decision.
  std::map<SubmissionNumber, SubmissionPtr> m_Open;
  SubmissionNumber m_LastSubmission = 0;
  std::uint64_t m_LastBatch = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_SUBMISSIONBATCHER_H
