//===- ClaimOwner.h - Decides the claims of the keys it owns ----*- C++ -*-===//
//
// Grants each key at most once within the claim lifetime. A grant stands in the
// table before it is given; while the platform is down it stands in this
// process and in one witness instead. See docs/design/claims.md for the rules
// and why they suffice. Deterministic: events and the time in, actions out.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_CLAIMOWNER_H
#define POLLENSPOOL_CLAIMS_CLAIMOWNER_H

#include "claims/ClaimBook.h"
#include "claims/ClaimOutbox.h"
#include "claims/Ownership.h"
#include "claims/WitnessStore.h"

namespace pollenspool::claims {

/// Not thread safe.
class ClaimOwner {
public:
  /// Precondition: the references outlive the owner.
  ClaimOwner(const ClaimSettings &Settings, const Ownership &Owners,
             WitnessStore &Witness, Outbox &Out);

  /// Begins to join; call once.
  void start(TimePoint Now) { pump(Now); }

  void onClaim(RequestHandle Handle, const EntryId &Asker,
               const ClaimRequest &R, TimePoint Now);
  /// False if the message has to come again.
  bool onComplete(const CompleteRequest &R, TimePoint Now);
  bool onRelease(const ReleaseRequest &R, TimePoint Now);
  void onPeerStarted(const StartedNotice &R, TimePoint Now);

  /// Takes the reply to a call, null if it failed. False if it was not a call
  /// of this owner.
  bool onReply(CallId Call, const Reply *R, TimePoint Now);
  void onTransacted(const Result<CommitResult> &Done, TimePoint Now);
  void onRead(const Result<RowSet> &Done, TimePoint Now);
  void tick(TimePoint Now);

  /// Refuses new claims from now on and writes everything to the table.
  void drain(TimePoint Now);
  bool isDrained() const { return m_State == State::Drained; }

  /// True once claims are decided rather than refused.
  bool isServing() const { return m_State == State::Serving; }
  /// True if a grant from memory would be sound now.
  bool mayVouch() const;
  const ClaimBook &book() const { return m_Book; }
  std::uint64_t rowsWritten() const { return m_RowsWritten; }
  std::uint64_t transactions() const { return m_Transactions; }

private:
  enum class State : std::uint8_t {
    /// Reads the owner rows and writes its own.
    Joining,
    /// Asks the witnesses what earlier incarnations granted from memory.
    Recovering,
    Serving,
    Draining,
    Drained,
    /// Another process has joined under this address.
    Deposed,
  };
  enum class Operation : std::uint8_t {
    None,
    ReadOwners,
    WriteOwner,
    Batch,
    /// Finds out whether the platform is back.
    Probe,
    /// Of an incarnation that was deposed; its result does not matter.
    Abandoned,
  };

  /// How far the exchange with one peer of the group has come.
  struct PeerProgress {
    EntryId m_Peer;
    bool m_Announced = false;
    bool m_Recovered = false;
    bool m_Covers = false;
    std::string m_AfterToken;
    CallId m_Call = 0;
    bool m_CallIsRecovery = false;
    TimePoint m_NextTry{};
  };
  struct WitnessCall {
    RequestId m_Key;
    ClaimToken m_Token;
    EntryId m_Peer;
  };

  // Claims.
  void onKnownKey(RequestHandle Handle, const EntryId &Asker,
                  const ClaimRequest &R, ClaimEntry &Entry, TimePoint Now);
  void claimAgain(const RequestId &Key, ClaimEntry &Entry,
                  const ClaimToken &Token, TimePoint Now);
  void addPending(RequestHandle Handle, const EntryId &Asker,
                  const ClaimRequest &R, ClaimEntry &Entry, TimePoint Now);
  void progressPending(TimePoint Now);
  void grantFromMemory(const RequestId &Key, ClaimEntry &Entry,
                       const EntryId &Witness, bool AskerWitnesses);
  void seekWitness(const RequestId &Key, ClaimEntry &Entry);
  void onWitnessReply(const WitnessCall &Asked, CallId Call, bool Accepted,
                      TimePoint Now);
  void deny(const RequestId &Key, ClaimEntry &Entry, Reason Why);
  bool canTakeNotes() const;
  ClaimEntry *findGranted(const std::string &KeyText,
                          const std::string &TokenText, TimePoint Now);
  void noteChange(const RequestId &Key, ClaimEntry &Entry, TimePoint Now);
  void forget(const EntryId &Witness, std::vector<std::string> Tokens);
  /// What the holder of the entry's token gets.
  ClaimAnswer grantOf(const ClaimEntry &Entry) const;
  /// What everybody else gets. Precondition: the entry is not free.
  static ClaimAnswer refusalOf(const ClaimEntry &Entry);
  void respond(const std::vector<RequestHandle> &Waiters,
               const ClaimAnswer &Answer);

  // The platform.
  void pump(TimePoint Now);
  void begin(Operation Op, TimePoint Now);
  void send(TimePoint Now);
  void beginOwnerWrite(const OwnerRow &Row, TimePoint Now);
  void beginBatch(TimePoint Now);
  bool isBatchDue(TimePoint Now) const;
  std::optional<OwnerRow> nextOwnerRow(TimePoint Now) const;
  bool isFailure(bool Failed, bool MaybeSent, TimePoint Now);
  bool isDown(TimePoint Now) const;
  void onOwnerWritten(const CommitResult &Done, TimePoint Now);
  void onOwnerRow(Revision At, TimePoint Now);
  void onBatch(const CommitResult &Done);
  void apply(const RequestId &Key, RowDecision Decision);
  void sendForgets();
  void depose();
  std::string nextToken();

  // The group.
  void talkToPeers(TimePoint Now);
  void onPeerReply(PeerProgress &Peer, const Reply *R, TimePoint Now);
  void onRecovered(PeerProgress &Peer, const RecoverAnswer &R, TimePoint Now);
  void import(const WireRecord &Record, const EntryId &Witness, TimePoint Now);
  void checkRecovery(TimePoint Now);
  bool isGroupPeer(const EntryId &Peer) const;
  bool isRetentionOver(TimePoint Now) const;

  const ClaimSettings &m_Settings;
  const Ownership &m_Owners;
  WitnessStore &m_Witness;
  Outbox &m_Out;
  ClaimBook m_Book;
  State m_State = State::Joining;

  // The owner row as last written by this incarnation.
  OwnerRow m_Row;
  Revision m_RowRevision = 0;
  /// The row that is being written.
  OwnerRow m_NextRow;
  TimePoint m_JoinedAt{};
  bool m_Joined = false;
  /// The row allows this incarnation to grant from memory.
  bool m_MemoryAllowed = false;
  /// The latest start of a peer of the group.
  Revision m_PeerStart = 0;

  Operation m_Operation = Operation::None;
  bool m_Awaiting = false;
  /// An attempt of the operation may have taken effect.
  bool m_MaybeSent = false;
  Transaction m_Transaction;
  CallPriority m_Priority = CallPriority::Claim;
  std::vector<BatchItem> m_Items;
  TimePoint m_StartedAt{};
  TimePoint m_RetryAt{};
  TimePoint m_LastBatch{};
  std::optional<TimePoint> m_FailingSince;
  std::uint64_t m_LastToken = 0;
  std::uint64_t m_Transactions = 0;
  std::uint64_t m_RowsWritten = 0;

  std::vector<PeerProgress> m_Peers;
  std::unordered_map<CallId, WitnessCall> m_WitnessCalls;
  std::vector<RequestId> m_PendingKeys;
  /// Tokens that are in the table now, by witness.
  std::unordered_map<EntryId, std::vector<std::string>> m_Forgets;
};

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_CLAIMOWNER_H
