//===- ProgressWriter.h - Records the progress of jobs ----------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H
#define POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H

#include "scheduling/JobPages.h"
#include "scheduling/Scheduler.h"
#include "store/MetadataStore.h"
#include "store/StoreLatency.h"
#include <optional>

namespace pollenspool {

/// Writes the progress of jobs whose state row is out of date. Each transaction
/// depends on the version of every row that it replaces, so that a transaction
/// that the store applies late has no effect. A transaction that records starts
/// also depends on the term, so that the next leader knows all records of this
/// one when it begins. Others do not, because a completed task stays completed
/// under every leader. Not thread safe.
///
/// Usually a transaction spans all partitions of the store. After a failure
/// each partition gets its own transactions for a while, so that an unavailable
/// partition does not delay the others. The same holds while the store is slow.
/// Several partitions are written at the same time then.
///
/// A transaction that the store refuses for good, because a row is too large or
/// malformed, is divided until each job has one of its own. Only the job whose
/// transaction is refused then waits; after some more refusals it fails.
///
/// A job whose state row would become too large has its tasks in pages, \see
/// TaskPages.h. Its transactions hold no other job and depend on the term, so
/// that all pages are by the leader of one term at a time. Each of them writes
/// the state row too, so that none can be carried out after a later one.
class ProgressWriter {
public:
  /// Totals of one writer.
  struct Counters {
    /// Transactions that the store refused for good.
    std::uint64_t m_Refused = 0;
    /// Jobs that failed because their progress was refused.
    std::uint64_t m_JobsGivenUp = 0;
    /// Jobs whose tasks have been moved to pages.
    std::uint64_t m_JobsPaged = 0;
    /// Pages written.
    std::uint64_t m_PagesWritten = 0;
  };

  /// \p Core must outlive the writer. \p TermCondition holds while the
  /// scheduler's term is in effect. \p PageSize: tasks of a page in jobs that
  /// this writer divides into pages.
  static std::unique_ptr<ProgressWriter>
  create(Scheduler &Core, RowCondition TermCondition,
         const StoreLimits &Limits = {},
         std::uint32_t PageSize = DefaultPageSize);

  /// A transaction to commit.
  struct Commit {
    std::uint64_t m_Number = 0;
    RowTransaction m_Txn;
    Duration m_Timeout{0};
  };
  /// The next transaction, if one is due. One is pending at a time, or several
  /// of one partition each.
  std::optional<Commit> next(TimePoint Now, std::chrono::milliseconds Wall);
  /// Handles the result of the transaction \p Number that next() returned.
  void onResult(std::uint64_t Number, const Result<CommitOutcome> &Outcome,
                TimePoint Now);
  /// Another call of the store was answered after \p Took.
  void onStoreAnswer(Duration Took, TimePoint Now) {
    m_Latency.onAnswer(Took, Now);
  }
  /// How long the oldest pending transaction has taken; if none is pending, how
  /// long the last one took. At least what the store has taken lately.
  Duration latency(TimePoint Now) const;
  /// Describes for operators what the next record of \p Job waits for.
  std::string describeWait(const LiveJob &Job, TimePoint Now) const;
  const Counters &counters() const { return m_Counters; }

private:
  ProgressWriter(Scheduler &Core, RowCondition TermCondition,
                 const StoreLimits &Limits, std::uint32_t PageSize)
      : m_Core(Core), m_TermCondition(std::move(TermCondition)),
        m_Limits(Limits), m_PageSize(PageSize) {}
  /// One of jobPartitions().
  using Partition = const std::string *;
  struct Pending;
  using Batch = std::vector<Pending>;
  /// How long the oldest pending transaction has taken; 0 if there is none.
  Duration pendingFor(TimePoint Now) const;
  std::vector<LiveJob *> takeBatch(TimePoint Now);
  /// Whether a job of \p P has to wait for a pending transaction or for
  /// the delay after a failed one.
  bool mustWait(Partition P, TimePoint Now) const;
  /// Whether transactions are slow enough to commit several at a time, of one
  /// partition each. One transaction of several partitions takes twice as long
  /// and delays the submissions in all of them. Starts are not recorded then:
  /// such a transaction would also hold up the renewals of the term.
  /// \see StartRecords.
  bool isStoreSlow(TimePoint Now) const;
  /// Whether all that the row of \p Job lacks is a start.
  static bool onlyWantsStart(const LiveJob &Job);
  /// A transaction that is being put together.
  struct Draft;
  /// Adds the rows of \p Job to \p Out. Returns false if they do not fit.
  bool addToBatch(LiveJob &Job, std::chrono::milliseconds Wall, Draft &Out);
  /// Makes \p Out, which must be empty, a transaction of pages of \p Job.
  void addPages(LiveJob &Job, std::chrono::milliseconds Wall, Draft &Out) const;
  /// Adds the changed pages of \p Tasks as far as they fit. Returns whether all
  /// did.
  bool addChangedPages(const LiveJob &Job, const PagedTasks &Tasks,
                       Draft &Out) const;
  /// Adds the deletions of pages that need no row any more, as far as they fit.
  void addDeletedPages(const LiveJob &Job, const PagedTasks &Tasks,
                       Draft &Out) const;
  /// Entries that pages may take of a transaction.
  std::size_t pagesPerTransaction() const;
  /// The largest state row that holds tasks.
  std::size_t maxRowWithTasks() const;
  /// Whether the job has more tasks than a page, so that a row may become too
  /// small for them.
  bool mayNeedPages(const JobSpec &Job) const;
  /// Whether the job has a transaction to itself.
  static bool isWrittenAlone(const LiveJob &Job) {
    return Job.m_IsRecordedAlone || Job.m_Pages != nullptr;
  }
  /// Makes the jobs of the failed transaction due for the next one.
  void markBatchDirty(const Batch &Jobs);
  void onCommitted(const Batch &Jobs, RowVersion Version, TimePoint Now);
  void onFailed(const Batch &Jobs, const Error &Why, TimePoint Now);
  /// The store has refused the transaction, and would do so again.
  void onRefused(const Batch &Jobs, const Error &Why, TimePoint Now);
  static void markPagesWritten(LiveJob &Job, const Pending &P);
  void onConflicts(const std::vector<StoredRow> &Rows, TimePoint Now);
  /// Lets the jobs of \p P wait after a failed write.
  void delay(Partition P, TimePoint Now);

  /// The recorded change of one job in the pending transaction.
  struct Pending {
    JobId m_Job;
    Partition m_Partition;
    JobState m_State;
    std::uint64_t m_ChangeNumber;
    bool m_IsRunning;
    std::set<std::pair<std::uint32_t, std::uint32_t>> m_StartedSteps;
    /// Whether starts may wait for something in the row other than the record
    /// of their step.
    bool m_MayHoldStarts;
    /// The pages written, with their pageHash(); 0 for one that is deleted.
    std::map<std::uint32_t, std::uint64_t> m_Pages = {};
    /// Whether further pages have to be written until the change is recorded.
    bool m_IsPartial = false;
    /// Whether the state row refers to the pages.
    bool m_UsesPages = false;
    /// The state row, for LiveJob::m_RecordedRow; empty if not needed there.
    std::string m_Row = {};
  };
  struct Draft {
    JobRegistry::StartedSteps m_Steps;
    RowTransaction m_Txn = {};
    Batch m_Jobs = {};
    std::size_t m_ValueBytes = 0;
    bool m_DependsOnTerm = false;
    /// Whether no other job may be added.
    bool m_IsFull = false;
  };
  /// Retry state of a partition whose last transaction failed.
  struct Backoff {
    std::uint32_t m_Failures = 0;
    TimePoint m_RetryAt{};
  };

  Scheduler &m_Core;
  RowCondition m_TermCondition;
  StoreLimits m_Limits;
  std::uint32_t m_PageSize;
  Counters m_Counters;
  /// Jobs of a refused transaction that have not had one of their own yet.
  std::size_t m_JobsToDivide = 0;
  /// A transaction whose result is not known yet.
  struct PendingCommit {
    Batch m_Jobs;
    TimePoint m_SentAt{};
  };
  std::map<std::uint64_t, PendingCommit> m_Commits;
  std::uint64_t m_LastCommit = 0;
  /// Partitions with a pending transaction.
  std::set<Partition> m_PendingPartitions;
  StoreLatency m_Latency;
  /// No transaction is sent before this time, after one of several partitions
  /// has failed.
  TimePoint m_RetryAt{};
  /// Until then each transaction contains a single partition.
  TimePoint m_SplitUntil{};
  std::map<Partition, Backoff> m_Backoffs;
  TimePoint m_LastWrite{};
  Duration m_LastLatency{0};
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H
