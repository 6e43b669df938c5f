//===- ClaimNode.cpp - The claim core of one entry instance ---------------===//

#include "claims/ClaimNode.h"

namespace pollenspool::claims {

ClaimNode::ClaimNode(ClaimSettings Settings, TimePoint Now)
    : m_Settings(std::move(Settings)), m_Owners(m_Settings.m_Entries),
      m_Witness(m_Settings.retention(), Now),
      m_Owner(m_Settings, m_Owners, m_Witness, m_Out),
      m_Requester(m_Settings, m_Owners, m_Witness, m_Out) {
  m_Owner.start(Now);
  deliverLocally(Now);
}

ClaimToken ClaimNode::claim(const RequestId &Key,
                            std::chrono::milliseconds Timeout, TimePoint Now) {
  ClaimToken Token = m_Requester.claim(Key, Timeout, Now);
  deliverLocally(Now);
  return Token;
}

void ClaimNode::complete(const RequestId &Key, const ClaimToken &Token,
                         const Answer &Recorded, TimePoint Now) {
  m_Requester.complete(Key, Token, Recorded, Now);
  deliverLocally(Now);
}

void ClaimNode::release(const RequestId &Key, const ClaimToken &Token,
                        TimePoint Now) {
  m_Requester.release(Key, Token, Now);
  deliverLocally(Now);
}

void ClaimNode::onRequest(std::uint64_t Id, const EntryId &From,
                          const Request &R, TimePoint Now) {
  handleRequest({Id, false}, From, R, Now);
  deliverLocally(Now);
}

void ClaimNode::onReply(CallId Call, const Reply *R, TimePoint Now) {
  if (!m_Owner.onReply(Call, R, Now))
    m_Requester.onReply(Call, R, Now);
  deliverLocally(Now);
}

void ClaimNode::onTransacted(const Result<CommitResult> &Done, TimePoint Now) {
  m_Owner.onTransacted(Done, Now);
  deliverLocally(Now);
}

void ClaimNode::onRead(const Result<RowSet> &Done, TimePoint Now) {
  m_Owner.onRead(Done, Now);
  deliverLocally(Now);
}

void ClaimNode::tick(TimePoint Now) {
  m_Witness.expire(Now);
  m_Owner.tick(Now);
  m_Requester.tick(Now);
  deliverLocally(Now);
}

void ClaimNode::drain(TimePoint Now) {
  m_Owner.drain(Now);
  deliverLocally(Now);
}

std::vector<Action> ClaimNode::takeActions() {
  return std::exchange(m_ReadyActions, {});
}

ClaimStats ClaimNode::stats() const {
  ClaimStats Stats = m_Requester.stats();
  Stats.m_Transactions = m_Owner.transactions();
  Stats.m_RowsWritten = m_Owner.rowsWritten();
  Stats.m_Held = m_Owner.registry().size();
  Stats.m_Unsynced = m_Owner.registry().unsynced();
  Stats.m_Witnessed = m_Witness.size();
  Stats.m_MayGrantFromMemory = m_Owner.mayGrantFromMemory();
  return Stats;
}

Ack ClaimNode::onWitness(const WitnessRequest &R, TimePoint Now) {
  bool Accepted = R.m_ListHash == m_Owners.listHash() &&
                  m_Witness.record(EntryId(R.m_Owner), R.m_Incarnation, R.m_Key,
                                   R.m_Token, Now);
  return Ack{Accepted};
}

void ClaimNode::handleRequest(RequestHandle Handle, const EntryId &From,
                              const Request &R, TimePoint Now) {
  if (const auto *Claim = std::get_if<ClaimRequest>(&R))
    return m_Owner.onClaim(Handle, From, *Claim, Now);
  Reply Answer = Ack{true};
  if (const auto *Witness = std::get_if<WitnessRequest>(&R))
    Answer = onWitness(*Witness, Now);
  else if (const auto *Recover = std::get_if<RecoverRequest>(&R))
    Answer = Recover->m_ListHash == m_Owners.listHash()
                 ? m_Witness.recover(*Recover, Now)
                 : RecoverAnswer();
  else if (const auto *Complete = std::get_if<CompleteRequest>(&R))
    Answer = Ack{m_Owner.onComplete(*Complete, Now)};
  else if (const auto *Release = std::get_if<ReleaseRequest>(&R))
    Answer = Ack{m_Owner.onRelease(*Release, Now)};
  else if (const auto *Forget = std::get_if<ForgetRequest>(&R))
    m_Witness.forget(EntryId(Forget->m_Owner), Forget->m_Tokens);
  else if (const auto *Started = std::get_if<StartedNotice>(&R))
    m_Owner.onPeerStarted(*Started, Now);
  m_Out.add(Respond{Handle, std::move(Answer)});
}

/// Handles the calls of this entry instance to itself until none is left.
void ClaimNode::deliverLocally(TimePoint Now) {
  for (std::vector<Action> New = m_Out.take(); !New.empty();
       New = m_Out.take()) {
    for (Action &A : New) {
      auto *Call = std::get_if<CallPeer>(&A);
      auto *Response = std::get_if<Respond>(&A);
      if (Call && Call->m_Peer == m_Settings.m_Self)
        handleRequest({Call->m_Call, true}, m_Settings.m_Self, Call->m_Request,
                      Now);
      else if (Response && Response->m_Handle.m_IsLocal)
        m_Requester.onReply(Response->m_Handle.m_Id, &Response->m_Reply, Now);
      else
        m_ReadyActions.push_back(std::move(A));
    }
  }
}

} // namespace pollenspool::claims
