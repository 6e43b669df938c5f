//===- MetadataStore.h - The store that outlives every instance -*- C++ -*-===//
//
// The interface of the platform's table store. platform/HttpStore implements
// it; tests use a hand-written fake.
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

/// Rises with each transaction of the whole store. 0: the row is absent.
using RowVersion = std::uint64_t;

/// Where a row lies. Transactions of one part are carried out one after
/// another, those of different parts beside each other.
struct RowAddress {
  std::string m_Table;
  std::string m_Key;
  std::string m_Part{};
};

inline bool operator==(const RowAddress &A, const RowAddress &B) {
  return A.m_Table == B.m_Table && A.m_Key == B.m_Key && A.m_Part == B.m_Part;
}

struct StoredRow {
  RowAddress m_At;
  std::string m_Value;
  RowVersion m_Version = 0;
  bool m_Removed = false;
};

/// The version that a row must have for a transaction to be applied.
struct RowCondition {
  RowAddress m_At;
  RowVersion m_Version = 0;
};

struct RowPut {
  RowAddress m_At;
  std::string m_Value;
};

/// Applied as a whole or not at all.
struct RowTransaction {
  std::vector<RowCondition> m_Conditions;
  std::vector<RowPut> m_Puts;
  std::vector<RowAddress> m_Removes;

  std::size_t entries() const {
    return m_Conditions.size() + m_Puts.size() + m_Removes.size();
  }
};

/// A transaction that the store has decided on.
struct CommitOutcome {
  bool m_Committed = false;
  /// The version that the written rows now have, if committed.
  RowVersion m_Version = 0;
  /// The store's clock; 0: not told.
  std::chrono::milliseconds m_StoreTime{0};
  /// If not committed: the rows of the conditions as they stand.
  std::vector<StoredRow> m_Conflicts;
};

/// Rows as of one moment.
struct RowPage {
  std::vector<StoredRow> m_Rows;
  bool m_HasMore = false;
  RowVersion m_Version = 0;
  /// The store's clock; 0: not told.
  std::chrono::milliseconds m_StoreTime{0};
};

/// Calls of the store. Each calls its continuation once, never before the call
/// returns, on the event loop's thread.
///
/// Errors: Unavailable and OverBudget mean that nothing was done, as does
/// ConnectFailed. After Timeout or ConnectionLost a transaction may have been
/// applied, or may still be applied seconds later if its conditions hold then.
/// NotFound from follow() means that the history is gone.
class MetadataStore {
public:
  virtual ~MetadataStore() = default;

  virtual void commit(const RowTransaction &Txn, Duration Timeout,
                      std::function<void(Result<CommitOutcome>)> Then) = 0;
  /// Reads the rows of one part from the key of \p From (inclusive) on in
  /// ascending order, one page.
  virtual void read(const RowAddress &From, std::size_t Limit, Duration Timeout,
                    std::function<void(Result<RowPage>)> Then) = 0;
  /// Waits up to \p Wait for changes after \p After in all parts of \p Table.
  virtual void follow(const std::string &Table, RowVersion After, Duration Wait,
                      std::function<void(Result<RowPage>)> Then) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_STORE_METADATASTORE_H
