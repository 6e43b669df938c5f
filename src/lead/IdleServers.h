//===- IdleServers.h - Unreachable servers without runs ---------*- C++ -*-===//

#ifndef POLLENSPOOL_LEAD_IDLESERVERS_H
#define POLLENSPOOL_LEAD_IDLESERVERS_H

#include "lead/Leadership.h"
#include <set>

namespace pollenspool {

/// Table and key of the row that names unreachable servers without runs. Its
/// partition is LeaderPartition. The row is apart from the renewals, because
/// the store may apply a renewal after a later one.
inline constexpr char IdleServersTable[] = "idle";
inline constexpr char IdleServersKey[] = "servers";

/// Value of that row.
struct IdleServersRow {
  /// The term of the leader that wrote the row.
  Term m_Term = 0;
  std::set<ServerId> m_Servers;
};

/// Values of the row as JSON. Thread safe. Decoding fails with InvalidMessage.
std::string encodeIdleServers(const IdleServersRow &Row);
Result<IdleServersRow> decodeIdleServers(const std::string &Text);

/// Publishes for the next leader which unreachable servers have no runs, so
/// that it need not wait for them.
///
/// The leader starts nothing on the servers in held() until a write without
/// them is known to be committed. Each write depends on the term and on the
/// version of the row that it replaces: once the next term has begun the row
/// cannot change, and a write without an answer can no longer take effect after
/// a later one has.
///
/// Does no I/O: the caller reads the row, commits the returned transactions and
/// reports their results. Not thread safe.
class IdleServers {
public:
  /// \p TermCondition holds while \p T is in effect.
  IdleServers(Term T, RowCondition TermCondition)
      : m_Term(T), m_TermCondition(std::move(TermCondition)) {}

  /// The row as read after the term had begun; nothing if it does not exist.
  void onRead(const std::optional<StoredRow> &Row);
  /// Servers on which no earlier leader has runs or can start any. Empty before
  /// onRead(), and if the leader of the previous term wrote no row.
  const std::set<ServerId> &inherited() const { return m_Inherited; }
  /// Servers that the row names, or may name, for this term.
  const std::set<ServerId> &held() const { return m_Held; }

  /// Returns the transaction that is due for the row to name \p Wanted. From
  /// then on held() includes these servers.
  std::optional<RowTransaction> next(std::set<ServerId> Wanted, TimePoint Now);
  void onResult(const Result<CommitOutcome> &Outcome, TimePoint Now);

private:
  void apply(const StoredRow &Row);

  Term m_Term;
  RowCondition m_TermCondition;
  bool m_IsRead = false;
  std::set<ServerId> m_Inherited;
  std::set<ServerId> m_Held;
  /// The row as last read or written, and its version.
  IdleServersRow m_Stored;
  RowVersion m_StoredVersion = 0;
  /// The value of the pending write.
  IdleServersRow m_Written;
  bool m_IsWritePending = false;
  /// A write has failed without telling whether it was applied, now or later.
  bool m_IsUncertain = false;
  TimePoint m_NextWriteAt{};
};

} // namespace pollenspool

#endif // POLLENSPOOL_LEAD_IDLESERVERS_H
