//===- ClaimOwner.h - Decides the claims of the keys it owns ----*- C++ -*-===//
// Grants each key at most once within the claim lifetime. A grant is committed
// to the table before it is sent. While the platform is down, this process and
// one witness record it instead. The rules and the argument for their
// correctness are in docs/design/claims.md. Deterministic: events and the time
// are inputs, actions are outputs.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMOWNER_H
#define POLLENSPOOL_CLAIMS_CLAIMOWNER_H

#include "claims/ClaimOutbox.h"
#include "claims/ClaimRegistry.h"
#include "claims/Ownership.h"
#include "claims/WitnessStore.h"

namespace pollenspool::claims {

/// Not thread safe.
class ClaimOwner {
public:
  /// Precondition: the references outlive the owner.
  ClaimOwner(const ClaimSettings &Settings, const Ownership &Owners,
             WitnessStore &Witness, Outbox &Out);

  /// Starts joining. To be called once.
  void start(TimePoint Now) { startNextOperation(Now); }

  void onClaim(RequestHandle Handle, const EntryId &Requester,
               const ClaimRequest &R, TimePoint Now);
  /// Handle notifications of requesters. False if the requester has to send the
  /// notification again.
  bool onComplete(const CompleteRequest &R, TimePoint Now);
  bool onRelease(const ReleaseRequest &R, TimePoint Now);
  /// Handles the notice that a peer has started and lost its records.
  void onPeerStarted(const StartedNotice &R, TimePoint Now);

  /// Handles the reply to a call; \p R is null if the call failed. False if
  /// this owner did not make the call.
  bool onReply(CallId Call, const Reply *R, TimePoint Now);
  /// Handle the results of RunTransaction and ReadRows.
  void onTransacted(const Result<CommitResult> &Done, TimePoint Now);
  void onRead(const Result<RowSet> &Done, TimePoint Now);
  void tick(TimePoint Now);

  /// Denies new claims from now on and writes all pending rows to the table.
  void drain(TimePoint Now);
  /// True once draining has finished.
  bool isDrained() const { return m_State == State::Drained; }

  /// True while claims are decided; in all other states every claim is denied.
  bool isServing() const { return m_State == State::Serving; }
  /// True if a grant from memory would be safe now.
  bool mayGrantFromMemory() const;
  const ClaimRegistry &registry() const { return m_Registry; }
  std::uint64_t rowsWritten() const { return m_RowsWritten; }
  std::uint64_t transactions() const { return m_Transactions; }

private:
  enum class State : std::uint8_t {
    /// Reads the owner rows of the witness group and writes its own.
    Joining,
    /// Asks the witnesses for the grants from memory of earlier incarnations.
    Recovering,
    Serving,
    Draining,
    Drained,
    /// Another process has joined under this address.
    Superseded,
  };
  enum class Operation : std::uint8_t {
    None,
    ReadOwners,
    WriteOwner,
    Batch,
    /// Finds out whether the platform responds again.
    Probe,
    /// Started by an incarnation that was superseded; the result is ignored.
    Abandoned,
  };

  /// Progress of the start notice to, and the recovery from, one peer of the
  /// witness group.
  struct PeerProgress {
    EntryId m_Peer;
    bool m_Announced = false;
    bool m_Recovered = false;
    bool m_HasCompleteRecords = false;
    std::string m_AfterToken;
    CallId m_Call = 0;
    bool m_CallIsRecovery = false;
    TimePoint m_NextAttempt{};
  };
  struct WitnessCall {
    RequestId m_Key;
    ClaimToken m_Token;
    EntryId m_Peer;
  };

  // Claims.
  void onClaimOfHeldKey(RequestHandle Handle, const EntryId &Requester,
                        const ClaimRequest &R, HeldClaim &Entry, TimePoint Now);
  void replaceReleasedClaim(const RequestId &Key, HeldClaim &Entry,
                            const ClaimToken &Token, TimePoint Now);
  void addPending(RequestHandle Handle, const EntryId &Requester,
                  const ClaimRequest &R, HeldClaim &Entry, TimePoint Now);
  void processPendingClaims(TimePoint Now);
  void grantFromMemory(const RequestId &Key, HeldClaim &Entry,
                       const EntryId &Witness, bool RequesterWitnesses);
  void askNextWitness(const RequestId &Key, HeldClaim &Entry);
  void onWitnessReply(const WitnessCall &Asked, CallId Call, bool Accepted,
                      TimePoint Now);
  void deny(const RequestId &Key, HeldClaim &Entry, Reason Why);
  bool canAcceptNotifications() const;
  HeldClaim *findGranted(const std::string &KeyText,
                         const std::string &TokenText, TimePoint Now);
  void recordChange(const RequestId &Key, HeldClaim &Entry, TimePoint Now);
  void sendForgetRequest(const EntryId &Witness,
                         std::vector<std::string> Tokens);
  /// The answer to the holder of the claim's token.
  ClaimAnswer grantAnswer(const HeldClaim &Entry) const;
  /// The answer to all other requesters. Precondition: the key is not free.
  static ClaimAnswer refusalAnswer(const HeldClaim &Entry);
  void respond(const std::vector<RequestHandle> &Waiters,
               const ClaimAnswer &Answer);

  // Platform operations.
  void startNextOperation(TimePoint Now);
  void beginOperation(Operation Op, TimePoint Now);
  void sendOperation(TimePoint Now);
  void beginOwnerWrite(const OwnerRow &Row, TimePoint Now);
  void beginBatch(TimePoint Now);
  bool isBatchDue(TimePoint Now) const;
  std::optional<OwnerRow> nextOwnerRow(TimePoint Now) const;
  bool recordAttempt(bool Failed, bool MaybeSent, TimePoint Now);
  bool isPlatformDown(TimePoint Now) const;
  void onOwnerWritten(const CommitResult &Done, TimePoint Now);
  void onOwnerRowInTable(Revision At, TimePoint Now);
  void onBatch(const CommitResult &Done);
  void applyDecision(const RequestId &Key, RowDecision Decision);
  void sendForgetRequests();
  void markSuperseded();
  std::string nextTransactionToken();

  // Witness group.
  void sendPeerCalls(TimePoint Now);
  void onPeerReply(PeerProgress &Peer, const Reply *R, TimePoint Now);
  void onRecovered(PeerProgress &Peer, const RecoverAnswer &R, TimePoint Now);
  void import(const WireRecord &Record, const EntryId &Witness, TimePoint Now);
  void checkRecovery(TimePoint Now);
  bool isWitnessPeer(const EntryId &Peer) const;
  bool hasRetentionPassed(TimePoint Now) const;

  const ClaimSettings &m_Settings;
  const Ownership &m_Owners;
  WitnessStore &m_Witness;
  Outbox &m_Out;
  ClaimRegistry m_Registry;
  State m_State = State::Joining;

  // The owner row as last written by this incarnation.
  OwnerRow m_Row;
  Revision m_RowRevision = 0;
  /// The owner row that is being written.
  OwnerRow m_NextRow;
  TimePoint m_JoinedAt{};
  bool m_Joined = false;
  /// The owner row allows this incarnation to grant from memory.
  bool m_MemoryAllowed = false;
  /// The latest table revision at which a peer of the witness group started.
  Revision m_LatestPeerStart = 0;

  Operation m_Operation = Operation::None;
  bool m_IsAwaitingReply = false;
  /// An attempt of the operation may have taken effect.
  bool m_MaybeSent = false;
  Transaction m_Transaction;
  CallPriority m_Priority = CallPriority::Claim;
  std::vector<BatchItem> m_BatchItems;
  TimePoint m_AttemptStartedAt{};
  TimePoint m_RetryAt{};
  TimePoint m_LastBatchAt{};
  std::optional<TimePoint> m_FailingSince;
  std::uint64_t m_LastTransactionNumber = 0;
  std::uint64_t m_Transactions = 0;
  std::uint64_t m_RowsWritten = 0;

  std::vector<PeerProgress> m_Peers;
  std::unordered_map<CallId, WitnessCall> m_WitnessCalls;
  std::vector<RequestId> m_PendingKeys;
  /// Tokens of grants that are in the table now, by the witness that recorded
  /// them.
  std::unordered_map<EntryId, std::vector<std::string>> m_TokensToForget;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMOWNER_H
