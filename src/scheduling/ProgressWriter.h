//===- ProgressWriter.h - Records the progress of jobs ----------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H
#define POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H

#include "scheduling/Scheduler.h"
#include "store/MetadataStore.h"
#include <optional>

namespace pollenspool {

/// Turns jobs whose state row is behind into transactions, one at a time. Each
/// transaction depends on the version of every row that it replaces, so one
/// that the store applies late changes nothing. It does not depend on the term:
/// that a task is done stays true whoever leads. One thread.
///
/// Usually a transaction spans all parts of the store. After a failure each
/// part gets its own for a while, so that a part that is down holds up no
/// other.
class ProgressWriter {
public:
  /// \p Core must outlive the writer.
  static std::unique_ptr<ProgressWriter> create(Scheduler &Core);

  /// The next transaction, if one is due and none is under way.
  std::optional<RowTransaction> next(TimePoint Now,
                                     std::chrono::milliseconds Wall);
  /// What came of the transaction that next() gave.
  void onResult(const Result<CommitOutcome> &Outcome, TimePoint Now);

private:
  explicit ProgressWriter(Scheduler &Core) : m_Core(Core) {}
  std::vector<JobId> take(TimePoint Now);
  bool isUrgent() const;
  void onCommitted(RowVersion Version, TimePoint Now);
  void onFailed(const Error &Why, TimePoint Now);
  void onConflicts(const std::vector<StoredRow> &Rows);

  struct Pending {
    JobId m_Job;
    JobState m_State;
    std::uint64_t m_Change;
  };
  /// A part of the store that failed lately.
  struct Backoff {
    std::uint32_t m_Failures = 0;
    TimePoint m_Until{};
  };

  Scheduler &m_Core;
  std::vector<Pending> m_Batch;
  bool m_UnderWay = false;
  /// Until then each transaction is of one part.
  TimePoint m_ApartUntil{};
  std::map<std::string, Backoff> m_Parts;
  TimePoint m_LastWrite{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H
