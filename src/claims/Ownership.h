//===- Ownership.h - Which entry instance owns a key ------------*- C++ -*-===//
// Rendezvous hashing over the static list of entry instances. A key that starts
// with the name of a data centre and a colon is owned by an entry instance of
// that data centre, so that it can be claimed there while the data centre is
// disconnected from the others.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_OWNERSHIP_H
#define POLLENSPOOL_CLAIMS_OWNERSHIP_H

#include "claims/ClaimTypes.h"

namespace pollenspool {

/// Immutable; thread safe.
class Ownership {
public:
  /// Precondition: \p Entries is not empty.
  explicit Ownership(std::vector<EntryInstance> Entries);

  /// Returns the owner of \p Key; the same on all entry instances with this
  /// list.
  const EntryId &ownerOf(const RequestId &Key) const;

  /// Returns the peers that witness grants of \p Owner (its witness group): the
  /// other entry instances of its data centre, or all others if it is the only
  /// one there.
  std::vector<EntryId> witnessesOf(const EntryId &Owner) const;

  /// Hash of the list; independent of the order of its lines.
  std::uint64_t listHash() const { return m_ListHash; }

private:
  struct Line {
    EntryInstance m_Entry;
    std::uint64_t m_Seed = 0;
  };

  bool isScoped(const RequestId &Key, const DataCentreName &Name) const;

  std::vector<Line> m_Lines;
  std::uint64_t m_ListHash = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CLAIMS_OWNERSHIP_H
