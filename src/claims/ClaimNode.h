//===- ClaimNode.h - The claim core of one entry instance -------*- C++ -*-===//
// Combines the owner, witness and requester of one entry instance behind one
// set of events. Messages of the entry instance to itself are delivered without
// I/O. Deterministic.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMNODE_H
#define POLLENSPOOL_CLAIMS_CLAIMNODE_H

#include "claims/ClaimOwner.h"
#include "claims/ClaimRequester.h"

namespace pollenspool::claims {

/// Not thread safe. The time passed must not decrease. After each event,
/// takeActions() returns the actions to execute.
class ClaimNode {
public:
  /// Precondition: the entries of \p Settings include its own entry instance.
  ClaimNode(ClaimSettings Settings, TimePoint Now);
  ClaimNode(const ClaimNode &) = delete;
  ClaimNode &operator=(const ClaimNode &) = delete;

  /// Make, complete and release claims as ClaimRequester does.
  ClaimToken claim(const RequestId &Key, std::chrono::milliseconds Timeout,
                   TimePoint Now);
  void complete(const RequestId &Key, const ClaimToken &Token,
                const Answer &Recorded, TimePoint Now);
  void release(const RequestId &Key, const ClaimToken &Token, TimePoint Now);

  /// Handles a request of a peer. A Respond with \p Id follows, immediately or
  /// after later events.
  void onRequest(std::uint64_t Id, const EntryId &From, const Request &R,
                 TimePoint Now);
  /// Handles the reply to a CallPeer; \p R is null if the call failed. Repeated
  /// replies are ignored.
  void onReply(CallId Call, const Reply *R, TimePoint Now);
  void onTransacted(const Result<CommitResult> &Done, TimePoint Now);
  void onRead(const Result<RowSet> &Done, TimePoint Now);
  void tick(TimePoint Now);
  /// Denies new claims from now on and writes all pending rows to the table.
  void drain(TimePoint Now);

  std::vector<Action> takeActions();

  /// True once the owner row in the table states that all grants are in the
  /// table.
  bool isDrained() const { return m_Owner.isDrained(); }
  const ClaimOwner &owner() const { return m_Owner; }
  std::size_t pendingNotifications() const {
    return m_Requester.pendingNotifications();
  }
  ClaimStats stats() const;

private:
  void handleRequest(RequestHandle Handle, const EntryId &From,
                     const Request &R, TimePoint Now);
  Ack onWitness(const WitnessRequest &R, TimePoint Now);
  void deliverLocally(TimePoint Now);

  ClaimSettings m_Settings;
  Ownership m_Owners;
  Outbox m_Out;
  WitnessStore m_Witness;
  ClaimOwner m_Owner;
  ClaimRequester m_Requester;
  std::vector<Action> m_ReadyActions;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMNODE_H
