//===- MetadataStore.h - Interface of the platform's tables -----*- C++ -*-===//
//
// The store is durable: its rows survive every entry instance.
// platform/HttpStore implements the interface; tests use hand-written fakes.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_STORE_METADATASTORE_H
#define POLLENSPOOL_STORE_METADATASTORE_H

#include "base/Error.h"
#include "base/Time.h"
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace pollenspool {

/// Number of the transaction that last wrote a row; it increases across the
/// whole store. 0 if the row does not exist.
using RowVersion = std::uint64_t;

/// Address of a row. Transactions of one partition run one after another, those
/// of different partitions run concurrently.
struct RowAddress {
  std::string m_Table;
  std::string m_Key;
  std::string m_Partition{};
};

inline bool operator==(const RowAddress &A, const RowAddress &B) {
  return A.m_Table == B.m_Table && A.m_Key == B.m_Key &&
         A.m_Partition == B.m_Partition;
}

/// A row as read, or a change of a row.
struct StoredRow {
  RowAddress m_At;
  std::string m_Value;
  RowVersion m_Version = 0;
  /// Whether the change deleted the row.
  bool m_IsDeleted = false;
};

/// Precondition of a transaction: the version that a row must have.
struct RowCondition {
  RowAddress m_At;
  RowVersion m_Version = 0;
};

/// A row to write.
struct RowPut {
  RowAddress m_At;
  std::string m_Value;
};

/// Conditions and writes that are applied atomically.
struct RowTransaction {
  std::vector<RowCondition> m_Conditions;
  std::vector<RowPut> m_Puts;
  std::vector<RowAddress> m_Deletes;

  /// Number of conditions, writes and deletions.
  std::size_t entries() const {
    return m_Conditions.size() + m_Puts.size() + m_Deletes.size();
  }
};

/// What the store accepts.
struct StoreLimits {
  /// Bytes of one value.
  std::size_t m_RowBytes = 65536;
  /// Conditions, writes and deletions of one transaction.
  std::size_t m_TransactionEntries = 100;
  /// Bytes of the values in one transaction. Its call has 1 MB at most, and
  /// values take a third more there.
  std::size_t m_ValueBytes = 500'000;
};

/// The store's decision on a transaction.
struct CommitOutcome {
  bool m_Committed = false;
  /// New version of the written rows, if committed.
  RowVersion m_Version = 0;
  /// Time of the store's steady clock; 0 if the answer has none.
  std::chrono::milliseconds m_StoreTime{0};
  /// If not committed, the current rows of the conditions.
  std::vector<StoredRow> m_Conflicts;
};

/// One page of rows, read at one version of the store.
struct RowPage {
  std::vector<StoredRow> m_Rows;
  bool m_HasMore = false;
  /// The store's version that the page reflects.
  RowVersion m_Version = 0;
  /// Time of the store's steady clock; 0 if the answer has none.
  std::chrono::milliseconds m_StoreTime{0};
  /// From the call until its reply began to arrive.
  Duration m_BeganAfter{0};
};

/// Asynchronous calls to the store. Each calls its continuation exactly once,
/// never before the call returns, on the event loop's thread.
///
/// A call that has not been answered after its timeout is given up. The reply
/// of follow(), and of read() with a limit of several rows, may take longer
/// while it advances, \see CallDeadline.
///
/// Errors: after Unavailable, RateLimited, ConnectFailed and ResourceExhausted
/// nothing was done. After Timeout, ConnectionLost or InvalidMessage a
/// transaction may have been applied, or may still be applied seconds later if
/// its conditions hold then. NotFound from follow() means that the store no
/// longer has the changes after that version.
class MetadataStore {
public:
  virtual ~MetadataStore() = default;

  virtual void commit(const RowTransaction &Txn, Duration Timeout,
                      std::function<void(Result<CommitOutcome>)> Callback) = 0;
  /// Reads one page of at most \p Limit rows of one partition in ascending
  /// order of their keys, from the key of \p From (inclusive) on.
  virtual void read(const RowAddress &From, std::size_t Limit, Duration Timeout,
                    std::function<void(Result<RowPage>)> Callback) = 0;
  /// Long poll of the change feed: waits up to \p Wait for changes after
  /// version \p After in all partitions of \p Table. \p Timeout includes
  /// \p Wait.
  virtual void follow(const std::string &Table, RowVersion After, Duration Wait,
                      Duration Timeout,
                      std::function<void(Result<RowPage>)> Callback) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_METADATASTORE_H
