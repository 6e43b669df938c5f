//===- QueueRecords.h - Rows with the rules of queues -----------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_QUEUERECORDS_H
#define POLLENSPOOL_SCHEDULING_QUEUERECORDS_H

#include "base/Error.h"
#include "scheduling/QueueRegistry.h"

namespace pollenspool {

/// Table of the rows of queues. Its partition is LeaderPartition, its keys are
/// hashes of the queues' names.
inline constexpr char QueueRulesTable[] = "queues";

/// Value of such a row.
struct QueueRulesRow {
  QueueName m_Queue;
  QueueRules m_Rules;
};

/// Values of the rows as JSON. Thread safe. Decoding fails with InvalidMessage.
std::string encodeQueueRules(const QueueRulesRow &Row);
Result<QueueRulesRow> decodeQueueRules(const std::string &Text);

/// The address of the row of \p Queue. Thread safe.
RowAddress queueRulesAddress(const QueueName &Queue);

/// Keeps the rules of a queue in the store when they change while it has live
/// jobs, so that a leader that begins after the queue was removed knows them.
/// The row of an accepted job holds the rules with which it was accepted, so
/// that most queues need no row.
///
/// Each write depends on the term and on the version of the row that it
/// replaces. Rows of queues without jobs are removed after a while.
///
/// Does no I/O: the caller reads the rows once the term has begun, before it
/// adds jobs, commits the returned transactions and reports their results. Not
/// thread safe.
class QueueRecords {
public:
  /// \p Queues must outlive the object. \p TermCondition holds while the term
  /// is in effect.
  static std::unique_ptr<QueueRecords> create(QueueRegistry &Queues,
                                              RowCondition TermCondition);

  /// A row as read after the term had begun. Returns whether it could be
  /// decoded.
  bool onRead(const StoredRow &Row);
  /// Returns the transaction that is due. One is pending at a time.
  std::optional<RowTransaction> next(TimePoint Now);
  void onResult(const Result<CommitOutcome> &Outcome);

private:
  QueueRecords(QueueRegistry &Queues, RowCondition TermCondition)
      : m_Queues(Queues), m_TermCondition(std::move(TermCondition)) {}
  /// A row that the pending transaction writes, or removes if it has no rules.
  struct Change {
    QueueName m_Queue;
    std::optional<QueueRules> m_Rules;
  };
  /// The change that the row of \p Q needs, if any.
  static std::optional<Change> changeFor(const LiveQueue &Q, TimePoint Now);
  void onCommitted(RowVersion Version);
  /// Takes over the current content of a row that has another version than the
  /// pending transaction requires.
  void onConflict(const StoredRow &Row);

  QueueRegistry &m_Queues;
  RowCondition m_TermCondition;
  std::vector<Change> m_Pending;
  TimePoint m_NextSearchAt{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_QUEUERECORDS_H
