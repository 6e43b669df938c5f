//===- WitnessStore.h - Grants recorded for other owners --------*- C++ -*-===//
// Records grants that peers have made from memory, without the table, so that a
// restarted owner can recover the grants of its earlier incarnations.
// Deterministic.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_WITNESSSTORE_H
#define POLLENSPOOL_CLAIMS_WITNESSSTORE_H

#include "claims/ClaimTypes.h"
#include "claims/Messages.h"
#include "platform/Platform.h"
#include <deque>
#include <map>
#include <unordered_map>

namespace pollenspool::claims {

/// Not thread safe. Invariant: once an incarnation of an owner has asked for
/// recovery, no grant of an earlier incarnation is recorded.
class WitnessStore {
public:
  /// \p Retention is how long a record is kept.
  WitnessStore(Duration Retention, TimePoint Now);

  /// Sets the minimum incarnation of \p Owner whose grants are recorded; a
  /// lower value than the current one has no effect.
  void fence(const EntryId &Owner, std::uint64_t Incarnation);

  /// Starts recording grants. \p StartRevision is the revision of the owner row
  /// that this process wrote when it joined. Precondition: fence() was called
  /// for all owners of the witness group, with incarnations from rows read
  /// after the process started.
  void startRecording(Revision StartRevision);
  /// Stops recording until startRecording() is called again.
  void stopRecording() { m_StartRevision = 0; }
  bool isRecording() const { return m_StartRevision != 0; }
  Revision startRevision() const { return m_StartRevision; }

  /// Records a grant of \p Owner. False if the owner must not rely on the
  /// record: this store is not recording, or a later incarnation of the owner
  /// is known.
  bool record(const EntryId &Owner, std::uint64_t Incarnation,
              const std::string &Key, const std::string &Token, TimePoint Now);

  /// Answers a restarted owner with one page of its records.
  RecoverAnswer recover(const RecoverRequest &R, TimePoint Now);

  /// Deletes the records of grants that are in the table now.
  void forget(const EntryId &Owner, const std::vector<std::string> &Tokens);

  /// Deletes records older than the retention.
  void expire(TimePoint Now);

  std::size_t size() const;

private:
  struct Expiry {
    TimePoint m_At;
    EntryId m_Owner;
    std::string m_Token;
  };
  struct OwnerRecords {
    std::uint64_t m_Fence = 0;
    /// The claimed key by claim token.
    std::map<std::string, std::string> m_Keys;
  };

  Duration m_Retention;
  TimePoint m_StartedAt;
  Revision m_StartRevision = 0;
  std::unordered_map<EntryId, OwnerRecords> m_Owners;
  std::deque<Expiry> m_Expiries;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_WITNESSSTORE_H
