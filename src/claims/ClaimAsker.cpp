//===- ClaimAsker.cpp - Asks the owners of keys for claims ----------------===//

#include "claims/ClaimAsker.h"
#include "claims/ClaimRow.h"
#include "claims/Wire.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

/// Notes for owners that cannot be reached; the oldest go first.
constexpr std::size_t MaxNotes = 4096;

} // namespace

ClaimToken ClaimAsker::claim(const RequestId &Key,
                             std::chrono::milliseconds Timeout, TimePoint Now) {
  OpenClaim Claim;
  Claim.m_Key = Key;
  Claim.m_End = Now + Timeout;
  Claim.m_Name = nextToken();
  Claim.m_Token = Claim.m_Name;
  ClaimToken Name = Claim.m_Name;
  send(std::move(Claim), Now);
  return Name;
}

ClaimToken ClaimAsker::nextToken() {
  return ClaimToken(m_Settings.m_Self.m_Text + "/" +
                    std::to_string(m_Settings.m_Nonce) + "/" +
                    std::to_string(++m_LastToken));
}

void ClaimAsker::send(OpenClaim Claim, TimePoint Now) {
  Claim.m_SentTo = routeTo(m_Owners.ownerOf(Claim.m_Key));
  auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Claim.m_End - Now);
  ClaimRequest R{Claim.m_Key.m_Text, Claim.m_Token.m_Text, m_Owners.listHash(),
                 static_cast<std::uint32_t>(Left.count()),
                 m_Witness.isEstablished()};
  CallId Call = m_Out.call(Claim.m_SentTo, std::move(R));
  m_Claims[Call] = std::move(Claim);
}

/// The successor is asked with a new token: the owner may have granted the old
/// one, which is released.
void ClaimAsker::onUnanswered(OpenClaim Claim, TimePoint Now) {
  const EntryId &Owner = m_Owners.ownerOf(Claim.m_Key);
  if (Claim.m_SentTo == Owner)
    divert(Owner, Now);
  bool TriesAgain = Claim.m_SentTo == Owner && routeTo(Owner) != Owner;
  if (!TriesAgain || Now >= Claim.m_End)
    return giveUp(Claim, Reason::ClaimOwnerUnreachable, Now);
  ClaimToken Old = std::exchange(Claim.m_Token, nextToken());
  RequestId Key = Claim.m_Key;
  send(std::move(Claim), Now);
  release(Key, Old, Now);
}

EntryId ClaimAsker::routeTo(const EntryId &Owner) const {
  auto It = m_Suspects.find(Owner);
  bool Diverted = It != m_Suspects.end() && It->second.m_Diverted;
  EntryId Successor = Diverted ? m_Owners.successorOf(Owner) : EntryId();
  return Successor.empty() ? Owner : Successor;
}

void ClaimAsker::divert(const EntryId &Owner, TimePoint Now) {
  if (Owner == m_Settings.m_Self)
    return;
  Suspect &S = m_Suspects[Owner];
  S.m_Diverted = true;
  S.m_NextTry = Now + m_Settings.m_PeerTimeout;
}

bool ClaimAsker::onProbed(CallId Call, bool Answered, TimePoint Now) {
  for (auto It = m_Suspects.begin(); It != m_Suspects.end(); ++It) {
    if (It->second.m_Probe != Call)
      continue;
    It->second.m_Probe = 0;
    if (Answered)
      m_Suspects.erase(It);
    else
      divert(It->first, Now);
    return true;
  }
  return false;
}

void ClaimAsker::probeSuspects(TimePoint Now) {
  for (auto &Line : m_Suspects)
    if (Line.second.m_Probe == 0 && Line.second.m_NextTry <= Now)
      Line.second.m_Probe =
          m_Out.call(Line.first, ForgetRequest{m_Settings.m_Self.m_Text, {}});
}

void ClaimAsker::complete(const RequestId &Key, const ClaimToken &Token,
                          const Answer &Recorded, TimePoint Now) {
  CompleteRequest R{Key.m_Text, Token.m_Text, isRecordable(Recorded), {}};
  if (R.m_HasAnswer)
    R.m_Answer = toWire(Recorded);
  addNote(Key, std::move(R), Now);
}

void ClaimAsker::release(const RequestId &Key, const ClaimToken &Token,
                         TimePoint Now) {
  addNote(Key, ReleaseRequest{Key.m_Text, Token.m_Text}, Now);
}

void ClaimAsker::addNote(const RequestId &Key, Request R, TimePoint Now) {
  if (m_Notes.size() == MaxNotes)
    m_Notes.erase(m_Notes.begin());
  m_Notes.push_back({m_Owners.ownerOf(Key), EntryId(), std::move(R), 0, Now,
                     Now + m_Settings.retention()});
  sendNote(m_Notes.back());
}

void ClaimAsker::sendNote(Note &N) {
  N.m_SentTo = routeTo(N.m_Owner);
  N.m_Call = m_Out.call(N.m_SentTo, N.m_Request);
}

bool ClaimAsker::onReply(CallId Call, const Reply *R, TimePoint Now) {
  auto Open = m_Claims.find(Call);
  if (Open != m_Claims.end()) {
    OpenClaim Claim = std::move(Open->second);
    m_Claims.erase(Open);
    const ClaimAnswer *Answer = R ? std::get_if<ClaimAnswer>(R) : nullptr;
    if (Answer)
      onAnswer(Claim, *Answer, Now);
    else
      onUnanswered(std::move(Claim), Now);
    return true;
  }
  for (auto It = m_Notes.begin(); It != m_Notes.end(); ++It) {
    if (It->m_Call != Call)
      continue;
    const Ack *Taken = R ? std::get_if<Ack>(R) : nullptr;
    It->m_Call = 0;
    It->m_NextTry = Now + m_Settings.m_PeerTimeout;
    if (!R && It->m_SentTo == It->m_Owner)
      divert(It->m_Owner, Now);
    if (Taken && Taken->m_Accepted)
      m_Notes.erase(It);
    return true;
  }
  return onProbed(Call, R != nullptr, Now);
}

void ClaimAsker::onAnswer(const OpenClaim &Claim, const ClaimAnswer &Answer,
                          TimePoint Now) {
  ClaimReply Decision;
  Decision.m_Verdict = verdictOf(Answer);
  Decision.m_Reason = reasonOf(Answer);
  // The successor can reach the owner.
  if (Decision.m_Reason == Reason::ClaimOwnerUnreachable)
    m_Suspects.erase(m_Owners.ownerOf(Claim.m_Key));
  bool Granted = Decision.m_Verdict == ClaimVerdict::Granted;
  // This process may have been paused; the owner counts the lifetime from the
  // time of the grant.
  if (Granted && Now >= Claim.m_End)
    return giveUp(Claim, Reason::ClaimUnavailable, Now);
  if (Granted && !isRecorded(Claim, Answer, Now))
    return giveUp(Claim, Reason::ClaimOwnerRecovering, Now);
  if (Decision.m_Verdict == ClaimVerdict::Recorded)
    Decision.m_Answer = fromWire(Answer.m_Answer);
  m_Stats.m_GrantedFromMemory += Granted && Answer.m_FromMemory ? 1 : 0;
  decide(Claim, std::move(Decision));
}

/// A grant that this entry instance has to witness counts from the moment of
/// its own record on, so that it needs no further message.
bool ClaimAsker::isRecorded(const OpenClaim &Claim, const ClaimAnswer &Answer,
                            TimePoint Now) {
  return !Answer.m_AskerWitnesses ||
         m_Witness.record(m_Owners.ownerOf(Claim.m_Key), Answer.m_Incarnation,
                          Claim.m_Key.m_Text, Claim.m_Token.m_Text, Now);
}

void ClaimAsker::giveUp(const OpenClaim &Claim, Reason Why, TimePoint Now) {
  ClaimReply Decision;
  Decision.m_Reason = Why;
  decide(Claim, std::move(Decision));
  // The owner may have granted it; nothing was started here.
  release(Claim.m_Key, Claim.m_Token, Now);
}

void ClaimAsker::decide(const OpenClaim &Claim, ClaimReply Decision) {
  if (Decision.m_Verdict == ClaimVerdict::Granted) {
    Decision.m_Token = Claim.m_Token;
    ++m_Stats.m_Granted;
  } else if (Decision.m_Verdict == ClaimVerdict::Recorded) {
    ++m_Stats.m_Recorded;
  } else {
    ++m_Stats.m_Denied[static_cast<std::size_t>(Decision.m_Reason)];
  }
  m_Out.add(Decide{Claim.m_Name, std::move(Decision)});
}

void ClaimAsker::tick(TimePoint Now) {
  for (auto It = m_Claims.begin(); It != m_Claims.end();) {
    if (Now < It->second.m_End) {
      ++It;
      continue;
    }
    OpenClaim Claim = std::move(It->second);
    It = m_Claims.erase(It);
    const EntryId &Owner = m_Owners.ownerOf(Claim.m_Key);
    bool Own = Owner == m_Settings.m_Self;
    // It may be slow or gone; a probe tells.
    if (!Own)
      m_Suspects[Owner];
    giveUp(Claim,
           Own ? Reason::ClaimUnavailable : Reason::ClaimOwnerUnreachable, Now);
  }
  probeSuspects(Now);
  auto Old = [&](const Note &N) { return N.m_ExpiresAt <= Now; };
  m_Notes.erase(std::remove_if(m_Notes.begin(), m_Notes.end(), Old),
                m_Notes.end());
  for (Note &N : m_Notes)
    if (N.m_Call == 0 && N.m_NextTry <= Now)
      sendNote(N);
}

} // namespace pollenspool::claims
