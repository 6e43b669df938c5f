//===- ClaimPlaces.h - Decides keys of owners that are down -----*- C++ -*-===//
//
// The successor's side: for each owner that it stands in for, a ClaimOwner with
// that owner's row. Deterministic. See docs/design/claims.md.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMPLACES_H
#define POLLENSPOOL_CLAIMS_CLAIMPLACES_H

#include "claims/ClaimOwner.h"
#include <map>

namespace pollenspool::claims {

/// Not thread safe. Invariant: a place is taken only after its owner did not
/// answer this entry instance.
class ClaimPlaces {
public:
  /// Precondition: the references outlive the places.
  ClaimPlaces(const ClaimSettings &Settings, const Ownership &Owners,
              WitnessStore &Witness, Outbox &Out)
      : m_Settings(Settings), m_Owners(Owners), m_Witness(Witness), m_Out(Out) {
  }

  /// A claim for a key of another owner.
  void onClaim(RequestHandle Handle, const EntryId &Asker,
               const ClaimRequest &R, TimePoint Now);
  /// The owner that stands in for \p Name; null if none ever did.
  ClaimOwner *find(const EntryId &Name);
  /// False if it was not a call of a place.
  bool onReply(CallId Call, const Reply *R, TimePoint Now);
  void tick(TimePoint Now);
  /// Answers claims that waited for their place. Call after each event.
  void progress(TimePoint Now);
  void drain(TimePoint Now);
  /// True if nothing is left to write.
  bool isDrained() const;

private:
  struct WaitingClaim {
    RequestHandle m_Handle;
    EntryId m_Asker;
    ClaimRequest m_Request;
    TimePoint m_End;
  };
  struct Place {
    ClaimSettings m_Settings;
    std::unique_ptr<ClaimOwner> m_Owner;
    std::vector<WaitingClaim> m_Waiting;
    /// Asks the owner whether it is there.
    CallId m_Probe = 0;
  };

  void onProbed(Place &P, bool Answered, TimePoint Now);
  void progress(Place &P, TimePoint Now);
  void refuse(Place &P, Reason Why);

  const ClaimSettings &m_Settings;
  const Ownership &m_Owners;
  WitnessStore &m_Witness;
  Outbox &m_Out;
  bool m_Drains = false;
  /// Never erased: a platform call of a place may be under way.
  std::map<EntryId, Place> m_Places;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMPLACES_H
