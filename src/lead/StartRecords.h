//===- StartRecords.h - Whether starts are recorded first -------*- C++ -*-===//

#ifndef POLLENSPOOL_LEAD_STARTRECORDS_H
#define POLLENSPOOL_LEAD_STARTRECORDS_H

#include "base/Error.h"
#include "lead/Leadership.h"

namespace pollenspool {

/// Table, partition and key of the row that tells the next leader whether this
/// one records starts. It has a table of its own, so that it does not appear in
/// the change feed of LeaderTable.
inline constexpr char StartRecordsTable[] = "starts";
inline constexpr char StartRecordsKey[] = "records";

/// Value of that row.
struct StartRecordsRow {
  /// The term of the leader that wrote the row.
  Term m_Term = 0;
  /// Whether a start is recorded in the job's state row before it is ordered.
  bool m_Records = false;
  /// Starts have been recorded, under this and earlier terms, for jobs accepted
  /// after this version of the store.
  RowVersion m_Since = 0;
};

/// Values of the row as JSON. Thread safe. Decoding fails with InvalidMessage.
std::string encodeStartRecords(const StartRecordsRow &Row);
Result<StartRecordsRow> decodeStartRecords(const std::string &Text);

/// Decides for one term whether starts are recorded before they are ordered.
///
/// A leader that takes over has to find the runs of the earlier one. It may
/// start steps without a record at once, while it waits up to 11 s for servers
/// that do not answer before it starts the others. Recording costs a start one
/// write of the store, which is too long while the store is slow: the leader
/// then says so in its row first, and starts without records after that.
///
/// Does no I/O: the caller reads the row, commits the returned transactions and
/// reports their results. Not thread safe.
class StartRecords {
public:
  /// \p TermCondition holds while \p T is in effect, which began at its
  /// version.
  StartRecords(Term T, RowCondition TermCondition)
      : m_Term(T), m_TermCondition(std::move(TermCondition)) {}

  /// The row as read after the term had begun; nothing if it does not exist.
  void onRead(const std::optional<StoredRow> &Row);
  bool isRead() const { return m_IsRead; }
  /// Starts of earlier leaders were recorded for jobs accepted after this
  /// version. Requires isRead().
  RowVersion recordedSince() const { return m_RecordedSince; }
  /// Whether a start has to be recorded before it is ordered.
  bool mustRecord() const { return m_MustRecord; }

  /// Returns the transaction that is due. \p WriteLatency is how long the
  /// latest write of job states took or has been pending, and \p Known a
  /// version that no job known to the leader is newer than. Requires isRead().
  std::optional<RowTransaction> next(Duration WriteLatency, RowVersion Known,
                                     TimePoint Now);
  void onResult(const Result<CommitOutcome> &Outcome, TimePoint Now);

private:
  void apply(const StoredRow &Row);

  Term m_Term;
  RowCondition m_TermCondition;
  bool m_IsRead = false;
  RowVersion m_RecordedSince = 0;
  bool m_MustRecord = true;
  /// The row as last read or written, and its version.
  StartRecordsRow m_Stored;
  RowVersion m_StoredVersion = 0;
  /// The value of the pending write.
  StartRecordsRow m_Written;
  bool m_IsWritePending = false;
  /// A write has failed without telling whether it was applied, so that the row
  /// may differ from m_Stored, now or later.
  bool m_IsUncertain = false;
  TimePoint m_NextWriteAt{};
  /// Since when the store has been fast enough to record starts.
  std::optional<TimePoint> m_FastSince;
};

} // namespace pollenspool

#endif // POLLENSPOOL_LEAD_STARTRECORDS_H
