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
  ClaimToken Token(m_Settings.m_Self.m_Text + "/" +
                   std::to_string(m_Settings.m_Nonce) + "/" +
                   std::to_string(++m_LastToken));
  ClaimRequest R{Key.m_Text, Token.m_Text, m_Owners.listHash(),
                 static_cast<std::uint32_t>(Timeout.count()),
                 m_Witness.isEstablished()};
  CallId Call = m_Out.call(m_Owners.ownerOf(Key), std::move(R));
  m_Claims[Call] = {Token, Key, Now + Timeout};
  return Token;
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
  m_Notes.push_back({m_Owners.ownerOf(Key), std::move(R), 0, Now,
                     Now + m_Settings.retention()});
  sendNote(m_Notes.back());
}

void ClaimAsker::sendNote(Note &N) {
  N.m_Call = m_Out.call(N.m_Owner, N.m_Request);
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
      giveUp(Claim, Reason::ClaimOwnerUnreachable, Now);
    return true;
  }
  for (auto It = m_Notes.begin(); It != m_Notes.end(); ++It) {
    if (It->m_Call != Call)
      continue;
    const Ack *Taken = R ? std::get_if<Ack>(R) : nullptr;
    It->m_Call = 0;
    It->m_NextTry = Now + m_Settings.m_PeerTimeout;
    if (Taken && Taken->m_Accepted)
      m_Notes.erase(It);
    return true;
  }
  return false;
}

void ClaimAsker::onAnswer(const OpenClaim &Claim, const ClaimAnswer &Answer,
                          TimePoint Now) {
  ClaimReply Decision;
  Decision.m_Verdict = verdictOf(Answer);
  Decision.m_Reason = reasonOf(Answer);
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
  m_Out.add(Decide{Claim.m_Token, std::move(Decision)});
}

void ClaimAsker::tick(TimePoint Now) {
  for (auto It = m_Claims.begin(); It != m_Claims.end();) {
    if (Now < It->second.m_End) {
      ++It;
      continue;
    }
    OpenClaim Claim = std::move(It->second);
    It = m_Claims.erase(It);
    bool Own = m_Owners.ownerOf(Claim.m_Key) == m_Settings.m_Self;
    giveUp(Claim,
           Own ? Reason::ClaimUnavailable : Reason::ClaimOwnerUnreachable, Now);
  }
  auto Old = [&](const Note &N) { return N.m_ExpiresAt <= Now; };
  m_Notes.erase(std::remove_if(m_Notes.begin(), m_Notes.end(), Old),
                m_Notes.end());
  for (Note &N : m_Notes)
    if (N.m_Call == 0 && N.m_NextTry <= Now)
      sendNote(N);
}

} // namespace pollenspool::claims
