//===- ClaimPlaces.cpp - Decides keys of owners that are down -------------===//

#include "claims/ClaimPlaces.h"
#include "claims/Wire.h"
#include <algorithm>

namespace pollenspool::claims {

void ClaimPlaces::onClaim(RequestHandle Handle, const EntryId &Asker,
                          const ClaimRequest &R, TimePoint Now) {
  const EntryId &Name = m_Owners.ownerOf(RequestId(R.m_Key));
  bool Mine = R.m_ListHash == m_Owners.listHash() &&
              m_Owners.successorOf(Name) == m_Settings.m_Self;
  if (!Mine || m_Drains)
    return m_Out.add(Respond{Handle, denial(Reason::ClaimOwnerRecovering)});
  Place &P = m_Places[Name];
  if (P.m_Owner && P.m_Owner->isServing())
    return P.m_Owner->onClaim(Handle, Asker, R, Now);
  TimePoint End = Now + std::chrono::milliseconds(R.m_TimeoutMs);
  P.m_Waiting.push_back({Handle, Asker, R, End});
  bool Idle = !P.m_Owner || P.m_Owner->isDeposed();
  if (Idle && P.m_Probe == 0)
    P.m_Probe = m_Out.call(Name, ForgetRequest{m_Settings.m_Self.m_Text, {}});
}

ClaimOwner *ClaimPlaces::find(const EntryId &Name) {
  auto It = m_Places.find(Name);
  return It == m_Places.end() ? nullptr : It->second.m_Owner.get();
}

bool ClaimPlaces::onReply(CallId Call, const Reply *R, TimePoint Now) {
  for (auto &Line : m_Places) {
    Place &P = Line.second;
    if (P.m_Probe == Call) {
      P.m_Probe = 0;
      P.m_Settings = m_Settings;
      P.m_Settings.m_Self = Line.first;
      onProbed(P, R != nullptr, Now);
      return true;
    }
    if (P.m_Owner && P.m_Owner->onReply(Call, R, Now))
      return true;
  }
  return false;
}

void ClaimPlaces::onProbed(Place &P, bool Answered, TimePoint Now) {
  if (Answered || m_Drains || P.m_Waiting.empty())
    return refuse(P, Reason::ClaimOwnerUnreachable);
  if (P.m_Owner)
    return P.m_Owner->rejoin(Now);
  P.m_Owner = ClaimOwner::standIn(P.m_Settings, m_Owners, m_Witness, m_Out);
  P.m_Owner->start(Now);
}

void ClaimPlaces::tick(TimePoint Now) {
  for (auto &Line : m_Places)
    if (Line.second.m_Owner)
      Line.second.m_Owner->tick(Now);
}

void ClaimPlaces::progress(TimePoint Now) {
  for (auto &Line : m_Places)
    progress(Line.second, Now);
}

void ClaimPlaces::progress(Place &P, TimePoint Now) {
  if (P.m_Owner && P.m_Owner->isServing()) {
    for (WaitingClaim &W : std::exchange(P.m_Waiting, {}))
      P.m_Owner->onClaim(W.m_Handle, W.m_Asker, W.m_Request, Now);
    return;
  }
  auto IsOver = [&](const WaitingClaim &W) {
    if (Now < W.m_End)
      return false;
    m_Out.add(Respond{W.m_Handle, denial(Reason::ClaimOwnerRecovering)});
    return true;
  };
  P.m_Waiting.erase(
      std::remove_if(P.m_Waiting.begin(), P.m_Waiting.end(), IsOver),
      P.m_Waiting.end());
  if (!P.m_Owner || P.m_Probe != 0)
    return;
  // The owner may be back by the time that the platform is, or have replaced
  // this one, which does not learn of it without writing.
  if (P.m_Owner->isStarting() && P.m_Waiting.empty())
    P.m_Owner->abandon();
  if (P.m_Owner->isDeposed())
    refuse(P, Reason::ClaimOwnerRecovering);
}

void ClaimPlaces::refuse(Place &P, Reason Why) {
  for (WaitingClaim &W : std::exchange(P.m_Waiting, {}))
    m_Out.add(Respond{W.m_Handle, denial(Why)});
}

void ClaimPlaces::drain(TimePoint Now) {
  m_Drains = true;
  for (auto &Line : m_Places) {
    refuse(Line.second, Reason::ClaimOwnerRecovering);
    if (Line.second.m_Owner && !Line.second.m_Owner->isDeposed())
      Line.second.m_Owner->drain(Now);
  }
}

bool ClaimPlaces::isDrained() const {
  return std::all_of(m_Places.begin(), m_Places.end(), [](const auto &Line) {
    const ClaimOwner *Owner = Line.second.m_Owner.get();
    return !Owner || Owner->isDeposed() ||
           (Owner->isDrained() && !Owner->book().hasDirty());
  });
}

} // namespace pollenspool::claims
