//===- ClaimOwnerWitnesses.cpp - The owner and its witness group ----------===//
// After joining, the owner notifies the peers of its witness group of its
// start. If its owner row allows grants from memory, it also asks them for the
// grants that they recorded for earlier incarnations.
//===----------------------------------------------------------------------===//

#include "claims/ClaimOwner.h"
#include <algorithm>

namespace pollenspool::claims {

void ClaimOwner::sendPeerCalls(TimePoint Now) {
  if (!m_Joined)
    return;
  for (PeerProgress &Peer : m_Peers) {
    bool NeedsRecovery = m_State == State::Recovering && !Peer.m_Recovered;
    if (Peer.m_Call != 0 || Now < Peer.m_NextAttempt)
      continue;
    if (NeedsRecovery)
      Peer.m_Call = m_Out.call(
          Peer.m_Peer,
          RecoverRequest{m_Settings.m_Self.m_Text, m_Row.m_Incarnation,
                         m_Owners.listHash(), Peer.m_AfterToken});
    else if (!Peer.m_Announced)
      Peer.m_Call =
          m_Out.call(Peer.m_Peer, StartedNotice{m_Witness.startRevision()});
    Peer.m_CallIsRecovery = NeedsRecovery;
  }
}

bool ClaimOwner::onReply(CallId Call, const Reply *R, TimePoint Now) {
  auto Asked = m_WitnessCalls.find(Call);
  if (Asked != m_WitnessCalls.end()) {
    WitnessCall Witness = std::move(Asked->second);
    m_WitnessCalls.erase(Asked);
    const Ack *Answer = R ? std::get_if<Ack>(R) : nullptr;
    onWitnessReply(Witness, Call, Answer && Answer->m_Accepted, Now);
    return true;
  }
  for (PeerProgress &Peer : m_Peers) {
    if (Peer.m_Call != Call)
      continue;
    onPeerReply(Peer, R, Now);
    return true;
  }
  return false;
}

void ClaimOwner::onPeerReply(PeerProgress &Peer, const Reply *R,
                             TimePoint Now) {
  Peer.m_Call = 0;
  const Ack *Acknowledgement = R ? std::get_if<Ack>(R) : nullptr;
  const RecoverAnswer *Found = R ? std::get_if<RecoverAnswer>(R) : nullptr;
  if (!Peer.m_CallIsRecovery && Acknowledgement)
    Peer.m_Announced = true;
  else if (Peer.m_CallIsRecovery && Found && Found->m_Accepted)
    onRecovered(Peer, *Found, Now);
  else if (Found && Found->m_LatestIncarnation > m_Row.m_Incarnation)
    return markSuperseded();
  else
    Peer.m_NextAttempt = Now + m_Settings.m_PeerTimeout;
  sendPeerCalls(Now);
  checkRecovery(Now);
}

void ClaimOwner::onRecovered(PeerProgress &Peer, const RecoverAnswer &R,
                             TimePoint Now) {
  if (m_State != State::Recovering)
    return;
  for (const WireRecord &Record : R.m_Records)
    import(Record, Peer.m_Peer, Now);
  if (R.m_More && !R.m_Records.empty()) {
    Peer.m_AfterToken = R.m_Records.back().m_Token;
    return;
  }
  Peer.m_Recovered = true;
  // The records of this peer are complete if it started before the revision up
  // to which all grants are in the table, or if it has kept its records for the
  // whole retention, so that lost records have expired.
  bool StartedBefore =
      R.m_StartRevision != 0 && R.m_StartRevision < m_Row.m_SyncedUpTo;
  bool KeptAll =
      std::chrono::milliseconds(R.m_UptimeMs) >= m_Settings.retention();
  Peer.m_HasCompleteRecords = StartedBefore || KeptAll;
}

void ClaimOwner::import(const WireRecord &Record, const EntryId &Witness,
                        TimePoint Now) {
  RequestId Key(Record.m_Key);
  ClaimToken Token(Record.m_Token);
  HeldClaim *Known = m_Registry.find(Key);
  if (Known && Known->m_Token != Token) {
    // Two records of one key have different tokens: one of the claims was
    // released, but it is unknown which. An empty token prevents both holders
    // from releasing the key.
    Known->m_Token = ClaimToken();
    ++Known->m_Version;
  }
  if (Known)
    return;
  HeldClaim &Entry = m_Registry.add(Key, Token, ClaimPhase::Granted, Now);
  Entry.m_Imported = true;
  Entry.m_Inherited = true;
  Entry.m_Witness = Witness;
  m_Registry.setUnsynced(Entry, true);
  m_Registry.markDirty(Key, Entry, false);
}

void ClaimOwner::checkRecovery(TimePoint Now) {
  if (m_State != State::Recovering)
    return;
  bool Complete =
      std::all_of(m_Peers.begin(), m_Peers.end(), [](const PeerProgress &Peer) {
        return Peer.m_Recovered && Peer.m_HasCompleteRecords;
      });
  // After the retention, all grants of earlier incarnations have expired.
  if ((Complete && !m_Peers.empty()) || hasRetentionPassed(Now))
    m_State = State::Serving;
}

void ClaimOwner::onPeerStarted(const StartedNotice &R, TimePoint Now) {
  m_LatestPeerStart = std::max<Revision>(m_LatestPeerStart, R.m_StartRevision);
  startNextOperation(Now);
}

bool ClaimOwner::isWitnessPeer(const EntryId &Peer) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(),
                     [&](const PeerProgress &P) { return P.m_Peer == Peer; });
}

} // namespace pollenspool::claims
