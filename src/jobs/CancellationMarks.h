//===- CancellationMarks.h - Cancelled IDs without a job --------*- C++ -*-===//
//
// A submission without an answer may still be stored seconds later. A caller
// that cancels its ID meanwhile is told that there is no such job, and must not
// find it running afterwards. So a cancellation that finds no job writes a
// mark: a final state row, on whose absence the submission depends. A row in
// the table of live jobs lets the leader know of it and remove both in time.
//
// A mark binds the organisations whose callers wrote it. A submission of
// another one replaces it.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_JOBS_CANCELLATIONMARKS_H
#define POLLENSPOOL_JOBS_CANCELLATIONMARKS_H

#include "base/Time.h"
#include "jobs/JobRows.h"
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace pollenspool {

/// Limits the marks that callers may have written, so that cancellations of
/// random IDs do not fill the store. Not thread safe.
class MarkBudget {
public:
  /// Takes one mark of \p Caller from the budget at \p Now. Returns false if
  /// none is left.
  bool take(const OrganisationName &Caller, TimePoint Now);

private:
  /// Marks that may be written, as of m_At.
  struct Allowance {
    double m_Marks;
    TimePoint m_At;
  };
  static bool take(Allowance &A, double PerSecond, double Most, TimePoint Now);
  std::map<OrganisationName, Allowance> m_ByCaller;
  std::optional<Allowance> m_Total;
};

/// The marks that the leader knows, in the order in which it learnt of them.
/// Removes each one after a while. Does no I/O. Not thread safe.
class CancellationMarks {
public:
  /// Marks are kept for \p Retention after the leader has learnt of them,
  /// longer than the store may take for a late write.
  static std::unique_ptr<CancellationMarks> create(Duration Retention);

  /// Handles a row of LiveJobsTable. Returns whether it belongs to a mark; if
  /// not, its job has replaced the mark of the ID.
  bool onLiveRow(const StoredRow &Row, TimePoint Now);
  /// The next transaction that removes marks, if any are due and none is
  /// pending.
  std::optional<RowTransaction> next(TimePoint Now);
  /// Handles the result of that transaction. The removals are repeated after a
  /// while if it failed.
  void onResult(const Result<CommitOutcome> &Outcome, TimePoint Now);
  std::size_t size() const { return m_Versions.size(); }

private:
  explicit CancellationMarks(Duration Retention) : m_Retention(Retention) {}
  struct Due {
    std::string m_Id;
    RowVersion m_Version;
    TimePoint m_RemoveAt;
  };
  /// Whether the mark has neither been removed nor replaced.
  bool isCurrent(const Due &D) const;

  Duration m_Retention;
  /// Versions of the marks by ID.
  std::unordered_map<std::string, RowVersion> m_Versions;
  std::deque<Due> m_Due;
  /// Those in the pending transaction.
  std::vector<Due> m_Pending;
};

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_CANCELLATIONMARKS_H
