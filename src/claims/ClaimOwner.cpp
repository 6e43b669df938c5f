//===- ClaimOwner.cpp - Decides the claims of the keys it owns ------------===//
// Handling of claims, completions and releases. The platform operations of the
// owner are in ClaimOwnerTable.cpp, its calls to witnesses in
// ClaimOwnerWitnesses.cpp.
//===----------------------------------------------------------------------===//

#include "claims/ClaimOwner.h"
#include "claims/Wire.h"
#include <algorithm>

namespace pollenspool::claims {

ClaimOwner::ClaimOwner(const ClaimSettings &Settings, const Ownership &Owners,
                       WitnessStore &Witness, Outbox &Out)
    : m_Settings(Settings), m_Owners(Owners), m_Witness(Witness), m_Out(Out),
      m_Registry(Settings.retention()) {
  for (EntryId &Peer : Owners.witnessesOf(Settings.m_Self)) {
    m_Peers.emplace_back();
    m_Peers.back().m_Peer = std::move(Peer);
  }
}

void ClaimOwner::onClaim(RequestHandle Handle, const EntryId &Requester,
                         const ClaimRequest &R, TimePoint Now) {
  RequestId Key(R.m_Key);
  bool IsOwner = R.m_ListHash == m_Owners.listHash() &&
                 m_Owners.ownerOf(Key) == m_Settings.m_Self;
  // Peers send claims to the process that is reachable under the owner's
  // address, so a superseded process that receives one has to own the keys and
  // joins again.
  if (m_State == State::Superseded)
    m_State = State::Joining;
  if (m_State != State::Serving || !IsOwner || R.m_Token.empty()) {
    respond({Handle}, denial(Reason::ClaimOwnerRecovering));
    return startNextOperation(Now);
  }
  if (HeldClaim *Entry = m_Registry.find(Key)) {
    onClaimOfHeldKey(Handle, Requester, R, *Entry, Now);
  } else {
    HeldClaim &New =
        m_Registry.add(Key, ClaimToken(R.m_Token), ClaimPhase::Pending, Now);
    addPending(Handle, Requester, R, New, Now);
  }
  processPendingClaims(Now);
  startNextOperation(Now);
}

void ClaimOwner::onClaimOfHeldKey(RequestHandle Handle,
                                  const EntryId &Requester,
                                  const ClaimRequest &R, HeldClaim &Entry,
                                  TimePoint Now) {
  ClaimToken Token(R.m_Token);
  if (Entry.m_Token != Token) {
    if (Entry.m_Phase != ClaimPhase::Released)
      return respond({Handle}, refusalAnswer(Entry));
    replaceReleasedClaim(RequestId(R.m_Key), Entry, Token, Now);
    return addPending(Handle, Requester, R, Entry, Now);
  }
  if (Entry.m_Phase == ClaimPhase::Pending)
    return Entry.m_Pending->m_Waiters.push_back(Handle);
  if (Entry.m_Phase == ClaimPhase::Granted) {
    // This reply may arrive before the first one and must name the same
    // witness.
    ClaimAnswer Grant = grantAnswer(Entry);
    Grant.m_RequesterWitnesses =
        Entry.m_Unsynced && Entry.m_Witness == Requester;
    return respond({Handle}, Grant);
  }
  // The requester has abandoned or completed the claim; this is a delayed
  // duplicate.
  respond({Handle}, denial(Reason::ClaimInProgress));
}

void ClaimOwner::replaceReleasedClaim(const RequestId &Key, HeldClaim &Entry,
                                      const ClaimToken &Token, TimePoint Now) {
  if (Entry.m_Unsynced)
    sendForgetRequest(Entry.m_Witness, {Entry.m_Token.m_Text});
  m_Registry.setUnsynced(Entry, false);
  Entry.m_ReleasedTokens.push_back(Entry.m_Token);
  Entry.m_Token = Token;
  Entry.m_Phase = ClaimPhase::Pending;
  Entry.m_Imported = false;
  Entry.m_Inherited = false;
  ++Entry.m_Version;
  m_Registry.extendExpiry(Key, Entry, Now);
}

void ClaimOwner::addPending(RequestHandle Handle, const EntryId &Requester,
                            const ClaimRequest &R, HeldClaim &Entry,
                            TimePoint Now) {
  RequestId Key(R.m_Key);
  Entry.m_Pending = std::make_unique<PendingClaim>();
  Entry.m_Pending->m_Waiters = {Handle};
  Entry.m_Pending->m_Requester = Requester;
  Entry.m_Pending->m_RequesterCanWitness = R.m_CanWitness;
  Entry.m_Pending->m_Deadline = Now + std::chrono::milliseconds(R.m_TimeoutMs);
  m_Registry.markDirty(Key, Entry, true);
  m_PendingKeys.push_back(std::move(Key));
}

void ClaimOwner::processPendingClaims(TimePoint Now) {
  std::vector<RequestId> Keys = std::exchange(m_PendingKeys, {});
  for (RequestId &Key : Keys) {
    HeldClaim *Entry = m_Registry.find(Key);
    if (!Entry || !Entry->m_Pending)
      continue;
    if (Now >= Entry->m_Pending->m_Deadline)
      deny(Key, *Entry, Reason::ClaimUnavailable);
    else if (isPlatformDown(Now) && mayGrantFromMemory())
      askNextWitness(Key, *Entry);
    else if (isPlatformDown(Now))
      deny(Key, *Entry, Reason::ClaimUnavailable);
    Entry = m_Registry.find(Key);
    if (Entry && Entry->m_Pending)
      m_PendingKeys.push_back(std::move(Key));
  }
}

bool ClaimOwner::mayGrantFromMemory() const {
  // While the owner row is being written, its new revision is unknown. A
  // successor would treat all grants up to that revision as synced, which may
  // include grants made now.
  return m_State == State::Serving && m_MemoryAllowed &&
         m_Operation != Operation::WriteOwner;
}

void ClaimOwner::askNextWitness(const RequestId &Key, HeldClaim &Entry) {
  PendingClaim &Pending = *Entry.m_Pending;
  if (Pending.m_WitnessCall != 0)
    return;
  if (Pending.m_RequesterCanWitness && isWitnessPeer(Pending.m_Requester))
    return grantFromMemory(Key, Entry, Pending.m_Requester, true);
  if (Pending.m_WitnessesAsked == m_Peers.size())
    return deny(Key, Entry, Reason::ClaimUnavailable);
  // Spreads the load: the first peer asked depends on the key.
  std::size_t First = std::hash<RequestId>()(Key) % m_Peers.size();
  std::size_t Next = (First + Pending.m_WitnessesAsked) % m_Peers.size();
  ++Pending.m_WitnessesAsked;
  const EntryId &Peer = m_Peers[Next].m_Peer;
  WitnessRequest Ask{m_Settings.m_Self.m_Text, m_Row.m_Incarnation,
                     m_Owners.listHash(), Key.m_Text, Entry.m_Token.m_Text};
  Pending.m_WitnessCall = m_Out.call(Peer, std::move(Ask));
  m_WitnessCalls[Pending.m_WitnessCall] = {Key, Entry.m_Token, Peer};
}

void ClaimOwner::onWitnessReply(const WitnessCall &Asked, CallId Call,
                                bool Accepted, TimePoint Now) {
  HeldClaim *Entry = m_Registry.find(Asked.m_Key);
  bool IsCurrent = Entry && Entry->m_Pending &&
                   Entry->m_Token == Asked.m_Token &&
                   Entry->m_Pending->m_WitnessCall == Call;
  if (!IsCurrent) {
    bool IsInUse =
        Entry && Entry->m_Unsynced && Entry->m_Witness == Asked.m_Peer;
    if (Accepted && !IsInUse)
      sendForgetRequest(Asked.m_Peer, {Asked.m_Token.m_Text});
    return;
  }
  Entry->m_Pending->m_WitnessCall = 0;
  if (Accepted && mayGrantFromMemory())
    grantFromMemory(Asked.m_Key, *Entry, Asked.m_Peer, false);
  else
    processPendingClaims(Now);
}

void ClaimOwner::grantFromMemory(const RequestId &Key, HeldClaim &Entry,
                                 const EntryId &Witness,
                                 bool RequesterWitnesses) {
  std::unique_ptr<PendingClaim> Pending = std::move(Entry.m_Pending);
  Entry.m_Phase = ClaimPhase::Granted;
  Entry.m_Witness = Witness;
  m_Registry.setUnsynced(Entry, true);
  m_Registry.markDirty(Key, Entry, false);
  ClaimAnswer Answer = grantAnswer(Entry);
  Answer.m_RequesterWitnesses = RequesterWitnesses;
  respond(Pending->m_Waiters, Answer);
}

void ClaimOwner::deny(const RequestId &Key, HeldClaim &Entry, Reason Why) {
  std::unique_ptr<PendingClaim> Pending = std::move(Entry.m_Pending);
  respond(Pending->m_Waiters, denial(Why));
  // The requester does not run a denied request, so that the key can be claimed
  // again.
  Entry.m_Phase = ClaimPhase::Released;
  ++Entry.m_Version;
  bool MayBeInTable = Entry.m_InBatch || Entry.m_RowRevision != 0 ||
                      !Entry.m_ReleasedTokens.empty();
  if (MayBeInTable)
    m_Registry.markDirty(Key, Entry, false);
  else
    m_Registry.remove(Key);
}

bool ClaimOwner::canAcceptNotifications() const {
  return m_State == State::Serving || m_State == State::Draining ||
         m_State == State::Drained;
}

bool ClaimOwner::onComplete(const CompleteRequest &R, TimePoint Now) {
  // A pending claim may still be denied because of its table row; the requester
  // has to send the notification again.
  HeldClaim *Known = m_Registry.find(RequestId(R.m_Key));
  if (!canAcceptNotifications() || (Known && Known->m_Pending))
    return false;
  HeldClaim *Entry = findGranted(R.m_Key, R.m_Token, Now);
  if (!Entry)
    return true;
  Entry->m_Phase = ClaimPhase::Completed;
  if (R.m_HasAnswer)
    Entry->m_Answer = std::make_unique<Answer>(fromWire(R.m_Answer));
  recordChange(RequestId(R.m_Key), *Entry, Now);
  return true;
}

bool ClaimOwner::onRelease(const ReleaseRequest &R, TimePoint Now) {
  RequestId Key(R.m_Key);
  HeldClaim *Known = m_Registry.find(Key);
  if (!canAcceptNotifications())
    return false;
  if (Known && Known->m_Pending) {
    bool Same = Known->m_Token.m_Text == R.m_Token;
    if (Same)
      deny(Key, *Known, Reason::ClaimInProgress);
    startNextOperation(Now);
    return Same;
  }
  HeldClaim *Entry = findGranted(R.m_Key, R.m_Token, Now);
  if (!Entry)
    return true;
  Entry->m_Phase = ClaimPhase::Released;
  recordChange(Key, *Entry, Now);
  return true;
}

/// Returns the granted claim of that token, null if there is none. A key that
/// is not held may have been granted by an earlier incarnation, so that it is
/// added as granted; writing its row then shows whether the table holds that
/// token.
HeldClaim *ClaimOwner::findGranted(const std::string &KeyText,
                                   const std::string &TokenText,
                                   TimePoint Now) {
  if (TokenText.empty())
    return nullptr;
  RequestId Key(KeyText);
  ClaimToken Token(TokenText);
  HeldClaim *Entry = m_Registry.find(Key);
  if (!Entry)
    Entry = &m_Registry.add(Key, Token, ClaimPhase::Granted, Now);
  bool Matches =
      Entry->m_Token == Token && Entry->m_Phase == ClaimPhase::Granted;
  return Matches ? Entry : nullptr;
}

void ClaimOwner::recordChange(const RequestId &Key, HeldClaim &Entry,
                              TimePoint Now) {
  ++Entry.m_Version;
  m_Registry.markDirty(Key, Entry, false);
  startNextOperation(Now);
}

ClaimAnswer ClaimOwner::grantAnswer(const HeldClaim &Entry) const {
  ClaimAnswer Answer;
  Answer.m_Verdict = static_cast<std::uint8_t>(ClaimVerdict::Granted);
  Answer.m_FromMemory = Entry.m_Unsynced;
  Answer.m_Incarnation = m_Row.m_Incarnation;
  return Answer;
}

ClaimAnswer ClaimOwner::refusalAnswer(const HeldClaim &Entry) {
  if (Entry.m_Phase == ClaimPhase::Completed && Entry.m_Answer) {
    ClaimAnswer Answer;
    Answer.m_Verdict = static_cast<std::uint8_t>(ClaimVerdict::Recorded);
    Answer.m_Answer = toWire(*Entry.m_Answer);
    return Answer;
  }
  bool Elsewhere = Entry.m_Inherited || Entry.m_Phase == ClaimPhase::Completed;
  return denial(Elsewhere ? Reason::ClaimedElsewhere : Reason::ClaimInProgress);
}

void ClaimOwner::respond(const std::vector<RequestHandle> &Waiters,
                         const ClaimAnswer &Answer) {
  for (RequestHandle Handle : Waiters)
    m_Out.add(Respond{Handle, Answer});
}

void ClaimOwner::sendForgetRequest(const EntryId &Witness,
                                   std::vector<std::string> Tokens) {
  if (!Witness.empty())
    m_Out.call(Witness,
               ForgetRequest{m_Settings.m_Self.m_Text, std::move(Tokens)});
}

void ClaimOwner::tick(TimePoint Now) {
  m_Registry.expire(Now);
  bool IsNotResponding =
      m_IsAwaitingReply &&
      Now - m_AttemptStartedAt >= m_Settings.m_PlatformDownTimeout;
  if (IsNotResponding && !m_FailingSince)
    m_FailingSince = m_AttemptStartedAt;
  processPendingClaims(Now);
  sendPeerCalls(Now);
  checkRecovery(Now);
  startNextOperation(Now);
}

void ClaimOwner::drain(TimePoint Now) {
  // An owner that does not serve yet must not write an owner row that says that
  // all grants are in the table.
  if (!canAcceptNotifications())
    m_State = State::Drained;
  else if (m_State == State::Serving)
    m_State = State::Draining;
  startNextOperation(Now);
}

} // namespace pollenspool::claims
