//===- ProgressWriter.h - Records the progress of jobs ----------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H
#define POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H

#include "scheduling/Scheduler.h"
#include "store/MetadataStore.h"
#include <optional>

namespace pollenspool {

/// Turns jobs whose state row is behind into transactions, one at a time. Each
/// transaction depends on the term's row and on the version of every row that
/// it replaces, so one that the store applies late changes nothing. One thread.
class ProgressWriter {
public:
  /// \p TermRow is this term's row, which a later leader replaces. \p Core
  /// must outlive the writer.
  static std::unique_ptr<ProgressWriter> create(Scheduler &Core,
                                                RowCondition TermRow);

  /// The next transaction, if one is due and none is under way.
  std::optional<RowTransaction> next(TimePoint Now,
                                     std::chrono::milliseconds Wall);
  /// What came of the transaction that next() gave.
  void onResult(const Result<CommitOutcome> &Outcome, TimePoint Now);

  /// Whether the store has shown that a later term has begun.
  bool isDeposed() const { return m_Deposed; }

private:
  ProgressWriter(Scheduler &Core, RowCondition TermRow)
      : m_Core(Core), m_TermRow(std::move(TermRow)) {}
  void onCommitted(RowVersion Version, TimePoint Now);
  void onConflicts(const std::vector<StoredRow> &Rows, TimePoint Now);

  struct Pending {
    JobId m_Job;
    JobState m_State;
  };

  Scheduler &m_Core;
  RowCondition m_TermRow;
  std::vector<Pending> m_Batch;
  bool m_UnderWay = false;
  bool m_Deposed = false;
  /// The changes that are recorded once this round's jobs are written.
  std::uint64_t m_RoundChange = 0;
  std::size_t m_RoundLeft = 0;
  TimePoint m_NotBefore{};
  TimePoint m_LastWrite{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_PROGRESSWRITER_H
