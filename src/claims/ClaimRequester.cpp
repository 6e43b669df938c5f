//===- ClaimRequester.cpp - Requests claims from owners -------------------===//

#include "claims/ClaimRequester.h"
#include "claims/ClaimRow.h"
#include "claims/Wire.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

/// Limit of notifications to unreachable owners; the oldest are dropped first.
constexpr std::size_t MaxPendingNotifications = 4096;

} // namespace

ClaimToken ClaimRequester::claim(const RequestId &Key,
                                 std::chrono::milliseconds Timeout,
                                 TimePoint Now) {
  ClaimToken Token(m_Settings.m_Self.m_Text + "/" +
                   std::to_string(m_Settings.m_Nonce) + "/" +
                   std::to_string(++m_LastToken));
  ClaimRequest R{Key.m_Text, Token.m_Text, m_Owners.listHash(),
                 static_cast<std::uint32_t>(Timeout.count()),
                 m_Witness.isRecording()};
  CallId Call = m_Out.call(m_Owners.ownerOf(Key), std::move(R));
  m_Claims[Call] = {Token, Key, Now + Timeout};
  return Token;
}

void ClaimRequester::complete(const RequestId &Key, const ClaimToken &Token,
                              const Answer &Recorded, TimePoint Now) {
  CompleteRequest R{Key.m_Text, Token.m_Text, isRecordable(Recorded), {}};
  if (R.m_HasAnswer)
    R.m_Answer = toWire(Recorded);
  addNotification(Key, std::move(R), Now);
}

void ClaimRequester::release(const RequestId &Key, const ClaimToken &Token,
                             TimePoint Now) {
  addNotification(Key, ReleaseRequest{Key.m_Text, Token.m_Text}, Now);
}

void ClaimRequester::addNotification(const RequestId &Key, Request R,
                                     TimePoint Now) {
  if (m_Notifications.size() == MaxPendingNotifications)
    m_Notifications.erase(m_Notifications.begin());
  m_Notifications.push_back({m_Owners.ownerOf(Key), std::move(R), 0, Now,
                             Now + m_Settings.retention()});
  sendNotification(m_Notifications.back());
}

void ClaimRequester::sendNotification(Notification &N) {
  N.m_Call = m_Out.call(N.m_Owner, N.m_Request);
}

bool ClaimRequester::onReply(CallId Call, const Reply *R, TimePoint Now) {
  auto Open = m_Claims.find(Call);
  if (Open != m_Claims.end()) {
    OpenClaim Claim = std::move(Open->second);
    m_Claims.erase(Open);
    const ClaimAnswer *Answer = R ? std::get_if<ClaimAnswer>(R) : nullptr;
    if (Answer)
      onAnswer(Claim, *Answer, Now);
    else
      abandonClaim(Claim, Reason::ClaimOwnerUnreachable, Now);
    return true;
  }
  for (auto It = m_Notifications.begin(); It != m_Notifications.end(); ++It) {
    if (It->m_Call != Call)
      continue;
    const Ack *Acknowledgement = R ? std::get_if<Ack>(R) : nullptr;
    It->m_Call = 0;
    It->m_NextAttempt = Now + m_Settings.m_PeerTimeout;
    if (Acknowledgement && Acknowledgement->m_Accepted)
      m_Notifications.erase(It);
    return true;
  }
  return false;
}

void ClaimRequester::onAnswer(const OpenClaim &Claim, const ClaimAnswer &Answer,
                              TimePoint Now) {
  ClaimReply Decision;
  Decision.m_Verdict = verdictOf(Answer);
  Decision.m_Reason = reasonOf(Answer);
  bool Granted = Decision.m_Verdict == ClaimVerdict::Granted;
  // This process may have been suspended. The owner counts the lifetime from
  // the time of the grant, so that a grant after the deadline must not be used.
  if (Granted && Now >= Claim.m_Deadline)
    return abandonClaim(Claim, Reason::ClaimUnavailable, Now);
  if (Granted && !ensureWitnessed(Claim, Answer, Now))
    return abandonClaim(Claim, Reason::ClaimOwnerRecovering, Now);
  if (Decision.m_Verdict == ClaimVerdict::Recorded)
    Decision.m_Answer = fromWire(Answer.m_Answer);
  m_Stats.m_GrantedFromMemory += Granted && Answer.m_FromMemory ? 1 : 0;
  reportDecision(Claim, std::move(Decision));
}

/// Records the grant if this entry instance is its witness. The grant is valid
/// from that moment on, so that the owner needs no acknowledgement. False if
/// the grant must not be used.
bool ClaimRequester::ensureWitnessed(const OpenClaim &Claim,
                                     const ClaimAnswer &Answer, TimePoint Now) {
  return !Answer.m_RequesterWitnesses ||
         m_Witness.record(m_Owners.ownerOf(Claim.m_Key), Answer.m_Incarnation,
                          Claim.m_Key.m_Text, Claim.m_Token.m_Text, Now);
}

void ClaimRequester::abandonClaim(const OpenClaim &Claim, Reason Why,
                                  TimePoint Now) {
  ClaimReply Decision;
  Decision.m_Reason = Why;
  reportDecision(Claim, std::move(Decision));
  // The owner may have granted the claim; no request was started for it here.
  release(Claim.m_Key, Claim.m_Token, Now);
}

void ClaimRequester::reportDecision(const OpenClaim &Claim,
                                    ClaimReply Decision) {
  if (Decision.m_Verdict == ClaimVerdict::Granted) {
    Decision.m_Token = Claim.m_Token;
    ++m_Stats.m_Granted;
  } else if (Decision.m_Verdict == ClaimVerdict::Recorded) {
    ++m_Stats.m_Recorded;
  } else {
    ++m_Stats.m_Denied[static_cast<std::size_t>(Decision.m_Reason)];
  }
  m_Out.add(ReportDecision{Claim.m_Token, std::move(Decision)});
}

void ClaimRequester::tick(TimePoint Now) {
  for (auto It = m_Claims.begin(); It != m_Claims.end();) {
    if (Now < It->second.m_Deadline) {
      ++It;
      continue;
    }
    OpenClaim Claim = std::move(It->second);
    It = m_Claims.erase(It);
    bool IsOwnKey = m_Owners.ownerOf(Claim.m_Key) == m_Settings.m_Self;
    abandonClaim(Claim,
                 IsOwnKey ? Reason::ClaimUnavailable
                          : Reason::ClaimOwnerUnreachable,
                 Now);
  }
  auto IsExpired = [&](const Notification &N) { return N.m_ExpiresAt <= Now; };
  m_Notifications.erase(
      std::remove_if(m_Notifications.begin(), m_Notifications.end(), IsExpired),
      m_Notifications.end());
  for (Notification &N : m_Notifications)
    if (N.m_Call == 0 && N.m_NextAttempt <= Now)
      sendNotification(N);
}

} // namespace pollenspool::claims
