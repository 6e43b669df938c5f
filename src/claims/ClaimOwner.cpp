//===- ClaimOwner.cpp - Decides the claims of the keys it owns ------------===//
//
// The claims themselves; ClaimOwnerTable.cpp talks to the platform and
// ClaimOwnerGroup.cpp to the witnesses.
//
//===----------------------------------------------------------------------===//

#include "claims/ClaimOwner.h"
#include "claims/Wire.h"
#include <algorithm>

namespace pollenspool::claims {

ClaimOwner::ClaimOwner(const ClaimSettings &Settings, const Ownership &Owners,
                       WitnessStore &Witness, Outbox &Out)
    : m_Settings(Settings), m_Owners(Owners), m_Witness(Witness), m_Out(Out),
      m_Book(Settings.retention()) {
  for (EntryId &Peer : Owners.witnessesOf(Settings.m_Self)) {
    m_Peers.emplace_back();
    m_Peers.back().m_Peer = std::move(Peer);
  }
}

void ClaimOwner::onClaim(RequestHandle Handle, const EntryId &Asker,
                         const ClaimRequest &R, TimePoint Now) {
  RequestId Key(R.m_Key);
  bool Mine = R.m_ListHash == m_Owners.listHash() &&
              m_Owners.ownerOf(Key) == m_Settings.m_Self;
  // Whoever gets claims is the one to own the keys.
  if (m_State == State::Deposed)
    m_State = State::Joining;
  if (m_State != State::Serving || !Mine || R.m_Token.empty()) {
    respond({Handle}, denial(Reason::ClaimOwnerRecovering));
    return pump(Now);
  }
  if (ClaimEntry *Entry = m_Book.find(Key)) {
    onKnownKey(Handle, Asker, R, *Entry, Now);
  } else {
    ClaimEntry &New =
        m_Book.add(Key, ClaimToken(R.m_Token), ClaimPhase::Pending, Now);
    addPending(Handle, Asker, R, New, Now);
  }
  progressPending(Now);
  pump(Now);
}

void ClaimOwner::onKnownKey(RequestHandle Handle, const EntryId &Asker,
                            const ClaimRequest &R, ClaimEntry &Entry,
                            TimePoint Now) {
  ClaimToken Token(R.m_Token);
  if (Entry.m_Token != Token) {
    if (Entry.m_Phase != ClaimPhase::Released)
      return respond({Handle}, refusalOf(Entry));
    claimAgain(RequestId(R.m_Key), Entry, Token, Now);
    return addPending(Handle, Asker, R, Entry, Now);
  }
  if (Entry.m_Phase == ClaimPhase::Pending)
    return Entry.m_Pending->m_Waiters.push_back(Handle);
  if (Entry.m_Phase == ClaimPhase::Granted) {
    // This reply may overtake the first one.
    ClaimAnswer Grant = grantOf(Entry);
    Grant.m_AskerWitnesses = Entry.m_Unsynced && Entry.m_Witness == Asker;
    return respond({Handle}, Grant);
  }
  // The asker has given the claim up or completed it: a late copy.
  respond({Handle}, denial(Reason::ClaimInProgress));
}

void ClaimOwner::claimAgain(const RequestId &Key, ClaimEntry &Entry,
                            const ClaimToken &Token, TimePoint Now) {
  if (Entry.m_Unsynced)
    forget(Entry.m_Witness, {Entry.m_Token.m_Text});
  m_Book.setUnsynced(Entry, false);
  Entry.m_Former.push_back(Entry.m_Token);
  Entry.m_Token = Token;
  Entry.m_Phase = ClaimPhase::Pending;
  Entry.m_Imported = false;
  Entry.m_Inherited = false;
  ++Entry.m_Version;
  m_Book.renew(Key, Entry, Now);
}

void ClaimOwner::addPending(RequestHandle Handle, const EntryId &Asker,
                            const ClaimRequest &R, ClaimEntry &Entry,
                            TimePoint Now) {
  RequestId Key(R.m_Key);
  Entry.m_Pending = std::make_unique<PendingClaim>();
  Entry.m_Pending->m_Waiters = {Handle};
  Entry.m_Pending->m_Asker = Asker;
  Entry.m_Pending->m_AskerCanWitness = R.m_CanWitness;
  Entry.m_Pending->m_Deadline = Now + std::chrono::milliseconds(R.m_TimeoutMs);
  m_Book.markDirty(Key, Entry, true);
  m_PendingKeys.push_back(std::move(Key));
}

void ClaimOwner::progressPending(TimePoint Now) {
  std::vector<RequestId> Keys = std::exchange(m_PendingKeys, {});
  for (RequestId &Key : Keys) {
    ClaimEntry *Entry = m_Book.find(Key);
    if (!Entry || !Entry->m_Pending)
      continue;
    if (Now >= Entry->m_Pending->m_Deadline)
      deny(Key, *Entry, Reason::ClaimUnavailable);
    else if (isDown(Now) && mayVouch())
      seekWitness(Key, *Entry);
    else if (isDown(Now))
      deny(Key, *Entry, Reason::ClaimUnavailable);
    Entry = m_Book.find(Key);
    if (Entry && Entry->m_Pending)
      m_PendingKeys.push_back(std::move(Key));
  }
}

bool ClaimOwner::mayVouch() const {
  // While its row is being written, this incarnation cannot know from which
  // revision on a successor will count its grants as synced.
  return m_State == State::Serving && m_MemoryAllowed &&
         m_Operation != Operation::WriteOwner;
}

void ClaimOwner::seekWitness(const RequestId &Key, ClaimEntry &Entry) {
  PendingClaim &Pending = *Entry.m_Pending;
  if (Pending.m_WitnessCall != 0)
    return;
  if (Pending.m_AskerCanWitness && isGroupPeer(Pending.m_Asker))
    return grantFromMemory(Key, Entry, Pending.m_Asker, true);
  if (Pending.m_WitnessesAsked == m_Peers.size())
    return deny(Key, Entry, Reason::ClaimUnavailable);
  // Different keys begin with different peers.
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
  ClaimEntry *Entry = m_Book.find(Asked.m_Key);
  bool Wanted = Entry && Entry->m_Pending && Entry->m_Token == Asked.m_Token &&
                Entry->m_Pending->m_WitnessCall == Call;
  if (!Wanted) {
    bool Counts =
        Entry && Entry->m_Unsynced && Entry->m_Witness == Asked.m_Peer;
    if (Accepted && !Counts)
      forget(Asked.m_Peer, {Asked.m_Token.m_Text});
    return;
  }
  Entry->m_Pending->m_WitnessCall = 0;
  if (Accepted && mayVouch())
    grantFromMemory(Asked.m_Key, *Entry, Asked.m_Peer, false);
  else
    progressPending(Now);
}

void ClaimOwner::grantFromMemory(const RequestId &Key, ClaimEntry &Entry,
                                 const EntryId &Witness, bool AskerWitnesses) {
  std::unique_ptr<PendingClaim> Pending = std::move(Entry.m_Pending);
  Entry.m_Phase = ClaimPhase::Granted;
  Entry.m_Witness = Witness;
  m_Book.setUnsynced(Entry, true);
  m_Book.markDirty(Key, Entry, false);
  ClaimAnswer Answer = grantOf(Entry);
  Answer.m_AskerWitnesses = AskerWitnesses;
  respond(Pending->m_Waiters, Answer);
}

void ClaimOwner::deny(const RequestId &Key, ClaimEntry &Entry, Reason Why) {
  std::unique_ptr<PendingClaim> Pending = std::move(Entry.m_Pending);
  respond(Pending->m_Waiters, denial(Why));
  // The asker will not run it, so that the key is free again.
  Entry.m_Phase = ClaimPhase::Released;
  ++Entry.m_Version;
  bool MayBeInTable =
      Entry.m_InBatch || Entry.m_RowRevision != 0 || !Entry.m_Former.empty();
  if (MayBeInTable)
    m_Book.markDirty(Key, Entry, false);
  else
    m_Book.drop(Key);
}

bool ClaimOwner::canTakeNotes() const {
  return m_State == State::Serving || m_State == State::Draining ||
         m_State == State::Drained;
}

bool ClaimOwner::onComplete(const CompleteRequest &R, TimePoint Now) {
  // The table may still say that a pending claim comes too late.
  ClaimEntry *Known = m_Book.find(RequestId(R.m_Key));
  if (!canTakeNotes() || (Known && Known->m_Pending))
    return false;
  ClaimEntry *Entry = findGranted(R.m_Key, R.m_Token, Now);
  if (!Entry)
    return true;
  Entry->m_Phase = ClaimPhase::Completed;
  if (R.m_HasAnswer)
    Entry->m_Answer = std::make_unique<Answer>(fromWire(R.m_Answer));
  noteChange(RequestId(R.m_Key), *Entry, Now);
  return true;
}

bool ClaimOwner::onRelease(const ReleaseRequest &R, TimePoint Now) {
  RequestId Key(R.m_Key);
  ClaimEntry *Known = m_Book.find(Key);
  if (!canTakeNotes())
    return false;
  if (Known && Known->m_Pending) {
    bool Same = Known->m_Token.m_Text == R.m_Token;
    if (Same)
      deny(Key, *Known, Reason::ClaimInProgress);
    pump(Now);
    return Same;
  }
  ClaimEntry *Entry = findGranted(R.m_Key, R.m_Token, Now);
  if (!Entry)
    return true;
  Entry->m_Phase = ClaimPhase::Released;
  noteChange(Key, *Entry, Now);
  return true;
}

/// The granted entry of that token. A key that is not held may have been
/// granted by an earlier incarnation: the row will tell whether it was.
ClaimEntry *ClaimOwner::findGranted(const std::string &KeyText,
                                    const std::string &TokenText,
                                    TimePoint Now) {
  if (TokenText.empty())
    return nullptr;
  RequestId Key(KeyText);
  ClaimToken Token(TokenText);
  ClaimEntry *Entry = m_Book.find(Key);
  if (!Entry)
    Entry = &m_Book.add(Key, Token, ClaimPhase::Granted, Now);
  bool Matches =
      Entry->m_Token == Token && Entry->m_Phase == ClaimPhase::Granted;
  return Matches ? Entry : nullptr;
}

void ClaimOwner::noteChange(const RequestId &Key, ClaimEntry &Entry,
                            TimePoint Now) {
  ++Entry.m_Version;
  m_Book.markDirty(Key, Entry, false);
  pump(Now);
}

ClaimAnswer ClaimOwner::grantOf(const ClaimEntry &Entry) const {
  ClaimAnswer Answer;
  Answer.m_Verdict = static_cast<std::uint8_t>(ClaimVerdict::Granted);
  Answer.m_FromMemory = Entry.m_Unsynced;
  Answer.m_Incarnation = m_Row.m_Incarnation;
  return Answer;
}

ClaimAnswer ClaimOwner::refusalOf(const ClaimEntry &Entry) {
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

void ClaimOwner::forget(const EntryId &Witness,
                        std::vector<std::string> Tokens) {
  if (!Witness.empty())
    m_Out.call(Witness,
               ForgetRequest{m_Settings.m_Self.m_Text, std::move(Tokens)});
}

void ClaimOwner::tick(TimePoint Now) {
  m_Book.expire(Now);
  bool Silent = m_Awaiting && Now - m_StartedAt >= m_Settings.m_DownGrace;
  if (Silent && !m_FailingSince)
    m_FailingSince = m_StartedAt;
  progressPending(Now);
  talkToPeers(Now);
  checkRecovery(Now);
  pump(Now);
}

void ClaimOwner::drain(TimePoint Now) {
  // Before it serves, it must not say that all is in the table.
  if (!canTakeNotes())
    m_State = State::Drained;
  else if (m_State == State::Serving)
    m_State = State::Draining;
  pump(Now);
}

} // namespace pollenspool::claims
