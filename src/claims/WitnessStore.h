//===- WitnessStore.h - Grants from memory of other owners ------*- C++ -*-===//
//
// Keeps what peers have granted without the table, so that a restarted owner
// can learn what its predecessor granted. Deterministic.
//
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

/// Not thread safe. Invariant: once an incarnation of an owner has asked, no
/// grant of an earlier one is recorded.
class WitnessStore {
public:
  /// \p Retention is how long a record is kept.
  WitnessStore(Duration Retention, TimePoint Now);

  /// Notes the latest known incarnation of \p Owner.
  void fence(const EntryId &Owner, std::uint64_t Incarnation);

  /// From now on grants are recorded. \p StartRevision is that of the row that
  /// this process wrote when it joined; fence() was called before for all
  /// owners of its group, from rows read since the process started.
  void establish(Revision StartRevision);
  /// Stops recording until establish() is called again.
  void suspend() { m_StartRevision = 0; }
  bool isEstablished() const { return m_StartRevision != 0; }
  Revision startRevision() const { return m_StartRevision; }

  /// Records a grant of \p Owner. False if that must not be counted on: not
  /// established, or a later incarnation of the owner is known.
  bool record(const EntryId &Owner, std::uint64_t Incarnation,
              const std::string &Key, const std::string &Token, TimePoint Now);

  /// Answers a restarted owner, one page.
  RecoverAnswer recover(const RecoverRequest &R, TimePoint Now);

  /// Drops records that are in the table now.
  void forget(const EntryId &Owner, const std::vector<std::string> &Tokens);

  /// Drops what is older than the retention.
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
    /// Key by token.
    std::map<std::string, std::string> m_Keys;
  };

  Duration m_Retention;
  TimePoint m_Since;
  Revision m_StartRevision = 0;
  std::unordered_map<EntryId, OwnerRecords> m_Owners;
  std::deque<Expiry> m_Expiries;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_WITNESSSTORE_H
