//===- ClaimOwnerGroup.cpp - The owner and its witnesses ------------------===//
//
// After joining, the owner tells the peers of its group that it has started,
// and asks them for earlier grants if its row says that there may be some.
//
//===----------------------------------------------------------------------===//

#include "claims/ClaimOwner.h"
#include <algorithm>

namespace pollenspool::claims {

void ClaimOwner::talkToPeers(TimePoint Now) {
  if (!m_Joined)
    return;
  for (PeerProgress &Peer : m_Peers) {
    bool Asks = m_State == State::Recovering && !Peer.m_Recovered;
    if (Peer.m_Call != 0 || Now < Peer.m_NextTry)
      continue;
    if (Asks)
      Peer.m_Call = m_Out.call(
          Peer.m_Peer,
          RecoverRequest{m_Settings.m_Self.m_Text, m_Row.m_Incarnation,
                         m_Owners.listHash(), Peer.m_AfterToken});
    else if (!Peer.m_Announced)
      Peer.m_Call =
          m_Out.call(Peer.m_Peer, StartedNotice{m_Witness.startRevision()});
    Peer.m_CallIsRecovery = Asks;
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
  const Ack *Noted = R ? std::get_if<Ack>(R) : nullptr;
  const RecoverAnswer *Found = R ? std::get_if<RecoverAnswer>(R) : nullptr;
  if (!Peer.m_CallIsRecovery && Noted)
    Peer.m_Announced = true;
  else if (Peer.m_CallIsRecovery && Found && Found->m_Accepted)
    onRecovered(Peer, *Found, Now);
  else if (Found && Found->m_LatestIncarnation > m_Row.m_Incarnation)
    return depose();
  else
    Peer.m_NextTry = Now + m_Settings.m_PeerTimeout;
  talkToPeers(Now);
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
  // The peer holds every grant that it witnessed since all were in the table,
  // or what it has lost is too old to matter.
  bool StartedBefore =
      R.m_StartRevision != 0 && R.m_StartRevision < m_Row.m_SyncedUpTo;
  bool KeptAll =
      std::chrono::milliseconds(R.m_UptimeMs) >= m_Settings.retention();
  Peer.m_Covers = StartedBefore || KeptAll;
}

void ClaimOwner::import(const WireRecord &Record, const EntryId &Witness,
                        TimePoint Now) {
  RequestId Key(Record.m_Key);
  ClaimToken Token(Record.m_Token);
  ClaimEntry *Known = m_Book.find(Key);
  if (Known && Known->m_Token != Token) {
    // Two records of one key: one was released, and nobody knows which.
    Known->m_Token = ClaimToken();
    ++Known->m_Version;
  }
  if (Known)
    return;
  ClaimEntry &Entry = m_Book.add(Key, Token, ClaimPhase::Granted, Now);
  Entry.m_Imported = true;
  Entry.m_Inherited = true;
  Entry.m_Witness = Witness;
  m_Book.setUnsynced(Entry, true);
  m_Book.markDirty(Key, Entry, false);
}

void ClaimOwner::checkRecovery(TimePoint Now) {
  if (m_State != State::Recovering)
    return;
  bool Complete =
      std::all_of(m_Peers.begin(), m_Peers.end(), [](const PeerProgress &Peer) {
        return Peer.m_Recovered && Peer.m_Covers;
      });
  // After the retention no earlier grant can matter any more.
  if ((Complete && !m_Peers.empty()) || isRetentionOver(Now))
    m_State = State::Serving;
}

void ClaimOwner::onPeerStarted(const StartedNotice &R, TimePoint Now) {
  m_PeerStart = std::max<Revision>(m_PeerStart, R.m_StartRevision);
  pump(Now);
}

bool ClaimOwner::isGroupPeer(const EntryId &Peer) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(),
                     [&](const PeerProgress &P) { return P.m_Peer == Peer; });
}

} // namespace pollenspool::claims
