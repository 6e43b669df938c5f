//===- ClaimBook.h - The keys that an owner holds ---------------*- C++ -*-===//
//
// Each key's claim, what the table is known to hold for it, and the queue of
// rows to write. Deterministic; the owner around it decides who is granted.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMBOOK_H
#define POLLENSPOOL_CLAIMS_CLAIMBOOK_H

#include "claims/ClaimOutbox.h"
#include "claims/ClaimRow.h"
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>

namespace pollenspool::claims {

enum class ClaimPhase : std::uint8_t {
  /// Asked for, not granted.
  Pending,
  /// Granted; may be running.
  Granted,
  /// Ran.
  Completed,
  /// Given back or never granted; free for the next claim.
  Released,
};

/// What an entry needs only while nobody was granted.
struct PendingClaim {
  std::vector<RequestHandle> m_Waiters;
  EntryId m_Asker;
  bool m_AskerCanWitness = false;
  TimePoint m_Deadline;
  /// Witnesses asked so far, and the call to the current one.
  std::size_t m_WitnessesAsked = 0;
  CallId m_WitnessCall = 0;
};

struct ClaimEntry {
  ClaimToken m_Token;
  ClaimPhase m_Phase = ClaimPhase::Pending;
  /// The row does not hold this state yet.
  bool m_Dirty = false;
  bool m_Queued = false;
  bool m_InBatch = false;
  /// Granted from memory and not in the table.
  bool m_Unsynced = false;
  /// Learned from a witness, so that the table knows better.
  bool m_Imported = false;
  /// Granted by an earlier incarnation of the owner.
  bool m_Inherited = false;
  /// Rises when what the row should hold changes.
  std::uint32_t m_Version = 0;
  /// The row's revision as far as known; 0 if it was never seen.
  Revision m_RowRevision = 0;
  TimePoint m_ExpiresAt;
  /// Who recorded the grant from memory.
  EntryId m_Witness;
  std::unique_ptr<Answer> m_Answer;
  std::unique_ptr<PendingClaim> m_Pending;
  /// Released tokens that the row may still hold.
  std::vector<ClaimToken> m_Former;
};

/// A row write that is under way.
struct BatchItem {
  RequestId m_Key;
  ClaimToken m_Token;
  std::uint32_t m_Version = 0;
  bool m_Deletes = false;
};

/// What a row's fate means for its claim.
enum class RowOutcome : std::uint8_t {
  /// Nothing to tell anyone.
  None,
  /// A pending claim is granted.
  Granted,
  /// A pending claim loses to what the entry now holds.
  Lost,
};

struct RowDecision {
  RowOutcome m_Outcome = RowOutcome::None;
  /// The pending claim that was decided.
  std::unique_ptr<PendingClaim> m_Pending;
  /// Set if a grant from memory is in the table now.
  EntryId m_ForgetAt;
  ClaimToken m_ForgetToken;
};

/// Not thread safe. References to entries are valid until the next expire(),
/// clear() or settled row.
class ClaimBook {
public:
  explicit ClaimBook(Duration Retention) : m_Retention(Retention) {}

  ClaimEntry *find(const RequestId &Key);
  /// Adds an entry that expires after the retention. Precondition: absent.
  ClaimEntry &add(const RequestId &Key, const ClaimToken &Token,
                  ClaimPhase Phase, TimePoint Now);
  /// Marks the row for writing; \p Urgent ones go first.
  void markDirty(const RequestId &Key, ClaimEntry &Entry, bool Urgent);
  /// Keeps the entry for the whole retention from now on.
  void renew(const RequestId &Key, ClaimEntry &Entry, TimePoint Now);
  void setUnsynced(ClaimEntry &Entry, bool Unsynced);
  /// Forgets a key. Precondition: it is present, not in a batch, and the table
  /// holds nothing of it.
  void drop(const RequestId &Key);

  bool hasUrgent() const { return !m_Urgent.empty(); }
  bool hasDirty() const { return !m_Urgent.empty() || !m_Lazy.empty(); }

  /// Moves the next rows into \p Txn. Precondition: no batch is under way.
  std::vector<BatchItem> takeBatch(Transaction &Txn);
  /// The batch took effect at \p At.
  RowDecision onCommitted(const BatchItem &Item, Revision At);
  /// The batch did not take effect. \p Found is the row if it was in the way.
  RowDecision onRefused(const BatchItem &Item, const Row *Found);

  /// Drops entries whose claims cannot be repeated any more.
  void expire(TimePoint Now);
  void clear();

  std::size_t size() const { return m_Entries.size(); }
  std::size_t unsynced() const { return m_Unsynced; }

private:
  struct Expiry {
    TimePoint m_At;
    RequestId m_Key;
  };

  RowDecision resolve(const RequestId &Key, ClaimEntry &Entry,
                      const Row &Found);
  RowDecision meetOwnRow(const RequestId &Key, ClaimEntry &Entry,
                         const ClaimRow &Found);
  RowDecision adopt(ClaimEntry &Entry, const ClaimRow &Found);
  void requeue(const RequestId &Key, ClaimEntry &Entry);
  void settle(ClaimEntry &Entry, RowDecision &Decision);
  void forgetWitness(ClaimEntry &Entry, RowDecision &Decision);
  void erase(const RequestId &Key);

  Duration m_Retention;
  std::unordered_map<RequestId, ClaimEntry> m_Entries;
  std::deque<RequestId> m_Urgent;
  std::deque<RequestId> m_Lazy;
  std::deque<Expiry> m_Expiries;
  std::size_t m_Unsynced = 0;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMBOOK_H
