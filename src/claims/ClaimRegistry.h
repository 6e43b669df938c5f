//===- ClaimRegistry.h - The claims that an owner holds ---------*- C++ -*-===//
// The claims of the keys of one owner, the last known state of their table
// rows, and the queues of rows to write. Deterministic. Which claims are
// granted is decided by ClaimOwner.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMREGISTRY_H
#define POLLENSPOOL_CLAIMS_CLAIMREGISTRY_H

#include "claims/ClaimOutbox.h"
#include "claims/ClaimRow.h"
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace pollenspool::claims {

enum class ClaimPhase : std::uint8_t {
  /// Requested, not granted yet.
  Pending,
  /// Granted; the request may be running.
  Granted,
  /// The request has run.
  Completed,
  /// Released, or denied without a grant; the key can be claimed again.
  Released,
};

/// State that a claim needs only until it is granted or denied.
struct PendingClaim {
  std::vector<RequestHandle> m_Waiters;
  EntryId m_Requester;
  bool m_RequesterCanWitness = false;
  TimePoint m_Deadline;
  /// Number of witnesses asked so far, and the call to the current one.
  std::size_t m_WitnessesAsked = 0;
  CallId m_WitnessCall = 0;
};

/// The entry of one key in the registry.
struct HeldClaim {
  ClaimToken m_Token;
  ClaimPhase m_Phase = ClaimPhase::Pending;
  /// The table row does not hold this state yet.
  bool m_Dirty = false;
  bool m_Queued = false;
  bool m_InBatch = false;
  /// Granted from memory and not in the table.
  bool m_Unsynced = false;
  /// Recovered from a witness. The table row, if there is one, takes
  /// precedence.
  bool m_Imported = false;
  /// Granted by an earlier incarnation of the owner.
  bool m_Inherited = false;
  /// Incremented when the content that the row should have changes.
  std::uint32_t m_Version = 0;
  /// The last known revision of the row; 0 if no row is known.
  Revision m_RowRevision = 0;
  TimePoint m_ExpiresAt;
  /// The peer that recorded the grant from memory.
  EntryId m_Witness;
  std::unique_ptr<Answer> m_Answer;
  std::unique_ptr<PendingClaim> m_Pending;
  /// Tokens of released claims that the row may still hold.
  std::vector<ClaimToken> m_ReleasedTokens;
};

/// A row write in the batch that is under way.
struct BatchItem {
  RequestId m_Key;
  ClaimToken m_Token;
  std::uint32_t m_Version = 0;
  bool m_IsDeletion = false;
};

/// What the result of a row write means for the claim.
enum class RowOutcome : std::uint8_t {
  /// No waiting request has to be answered.
  None,
  /// A pending claim is granted.
  Granted,
  /// A pending claim is denied because another claim holds the key.
  Lost,
};

struct RowDecision {
  RowOutcome m_Outcome = RowOutcome::None;
  /// The pending claim that was granted or denied.
  std::unique_ptr<PendingClaim> m_Pending;
  /// Set if a grant from memory is in the table now: the witness whose record
  /// can be deleted, and the token of the record.
  EntryId m_ForgetWitness;
  ClaimToken m_ForgetToken;
};

/// Not thread safe. References to held claims are valid until the next call of
/// expire(), clear(), remove() or onCommitted().
class ClaimRegistry {
public:
  explicit ClaimRegistry(Duration Retention) : m_Retention(Retention) {}

  HeldClaim *find(const RequestId &Key);
  /// Adds a claim that expires after the retention. Precondition: the key is
  /// not held.
  HeldClaim &add(const RequestId &Key, const ClaimToken &Token,
                 ClaimPhase Phase, TimePoint Now);
  /// Queues the row for writing. Rows of \p HighPriority are written before all
  /// others.
  void markDirty(const RequestId &Key, HeldClaim &Entry, bool HighPriority);
  /// Restarts the retention of the claim at \p Now.
  void extendExpiry(const RequestId &Key, HeldClaim &Entry, TimePoint Now);
  void setUnsynced(HeldClaim &Entry, bool Unsynced);
  /// Removes a key. Precondition: it is held, not in a batch, and has no row in
  /// the table.
  void remove(const RequestId &Key);

  bool hasHighPriority() const { return !m_HighPriority.empty(); }
  bool hasDirty() const {
    return !m_HighPriority.empty() || !m_LowPriority.empty();
  }

  /// Moves the next rows into \p Txn. Precondition: no batch is under way.
  std::vector<BatchItem> takeBatch(Transaction &Txn);
  /// Handles a batch that was committed at revision \p At.
  RowDecision onCommitted(const BatchItem &Item, Revision At);
  /// Handles a batch that was not committed. \p Found is the row that caused a
  /// conflict, null if this item's row caused none.
  RowDecision onRefused(const BatchItem &Item, const Row *Found);

  /// Removes claims whose retention has passed.
  void expire(TimePoint Now);
  void clear();

  std::size_t size() const { return m_Claims.size(); }
  std::size_t unsynced() const { return m_Unsynced; }

private:
  struct Expiry {
    TimePoint m_At;
    RequestId m_Key;
  };

  RowDecision resolveConflict(const RequestId &Key, HeldClaim &Entry,
                              const Row &Found);
  RowDecision resolveOwnRow(const RequestId &Key, HeldClaim &Entry,
                            const ClaimRow &Found);
  RowDecision replaceByRow(HeldClaim &Entry, const ClaimRow &Found);
  void requeue(const RequestId &Key, HeldClaim &Entry);
  void onTokenInTable(HeldClaim &Entry, RowDecision &Decision);
  void markSynced(HeldClaim &Entry, RowDecision &Decision);
  void erase(const RequestId &Key);

  Duration m_Retention;
  std::unordered_map<RequestId, HeldClaim> m_Claims;
  std::deque<RequestId> m_HighPriority;
  std::deque<RequestId> m_LowPriority;
  std::deque<Expiry> m_Expiries;
  std::size_t m_Unsynced = 0;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMREGISTRY_H
