//===- ClaimNode.h - The claim core of one entry instance -------*- C++ -*-===//
//
// Owner, witness and asker of one entry instance behind one set of events.
// Messages to itself are delivered inside. Deterministic.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMNODE_H
#define POLLENSPOOL_CLAIMS_CLAIMNODE_H

#include "claims/ClaimAsker.h"
#include "claims/ClaimOwner.h"

namespace pollenspool::claims {

/// Not thread safe. Time must not go back. After each event takeActions()
/// gives what is to be done.
class ClaimNode {
public:
  /// Precondition: \p Settings lists itself among its entries.
  ClaimNode(ClaimSettings Settings, TimePoint Now);
  ClaimNode(const ClaimNode &) = delete;
  ClaimNode &operator=(const ClaimNode &) = delete;

  ClaimToken claim(const RequestId &Key, std::chrono::milliseconds Timeout,
                   TimePoint Now);
  void complete(const RequestId &Key, const ClaimToken &Token,
                const Answer &Recorded, TimePoint Now);
  void release(const RequestId &Key, const ClaimToken &Token, TimePoint Now);

  /// A peer's request; a Respond with \p Id follows, now or later.
  void onRequest(std::uint64_t Id, const EntryId &From, const Request &R,
                 TimePoint Now);
  /// The reply to a CallPeer, null if it failed. Repeats are ignored.
  void onReply(CallId Call, const Reply *R, TimePoint Now);
  void onTransacted(const Result<CommitResult> &Done, TimePoint Now);
  void onRead(const Result<RowSet> &Done, TimePoint Now);
  void tick(TimePoint Now);
  void drain(TimePoint Now);

  std::vector<Action> takeActions();

  /// True once the table says that nothing is missing in it.
  bool isDrained() const { return m_Owner.isDrained(); }
  const ClaimOwner &owner() const { return m_Owner; }
  std::size_t unsentNotes() const { return m_Asker.unsentNotes(); }
  ClaimStats stats() const;

private:
  void handle(RequestHandle Handle, const EntryId &From, const Request &R,
              TimePoint Now);
  Ack onWitness(const WitnessRequest &R, TimePoint Now);
  void deliverLocally(TimePoint Now);

  ClaimSettings m_Settings;
  Ownership m_Owners;
  Outbox m_Out;
  WitnessStore m_Witness;
  ClaimOwner m_Owner;
  ClaimAsker m_Asker;
  std::vector<Action> m_Ready;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMNODE_H
