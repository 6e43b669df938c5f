//===- ClaimOwnerTable.cpp - The owner's platform operations --------------===//
// One operation at a time is under way: a read or write of owner rows, or a
// batch of claims. An operation whose reply was lost is repeated with the same
// transaction token until the platform decides it, so that no later write
// depends on an undecided one.
//===----------------------------------------------------------------------===//

#include "claims/ClaimOwner.h"
#include "claims/Wire.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

/// Interval between batches in which no claim waits for its row, as a multiple
/// of m_MinBatchInterval.
constexpr int LowPriorityIntervalFactor = 5;

/// True if the platform has certainly not received the call.
bool isUnsent(ErrorCode Code) {
  return Code == ErrorCode::ConnectFailed || Code == ErrorCode::Unavailable ||
         Code == ErrorCode::RateLimited;
}

} // namespace

void ClaimOwner::startNextOperation(TimePoint Now) {
  if (m_Operation != Operation::None) {
    if (!m_IsAwaitingReply && Now >= m_RetryAt)
      sendOperation(Now);
    return;
  }
  if (Now < m_RetryAt)
    return;
  if (m_State == State::Joining)
    return beginOperation(Operation::ReadOwners, Now);
  if (m_FailingSince && !m_Registry.hasDirty())
    return beginOperation(Operation::Probe, Now);
  if (std::optional<OwnerRow> Row = nextOwnerRow(Now))
    return beginOwnerWrite(*Row, Now);
  if (isBatchDue(Now))
    beginBatch(Now);
}

void ClaimOwner::beginOperation(Operation Op, TimePoint Now) {
  m_Operation = Op;
  m_MaybeSent = false;
  sendOperation(Now);
}

void ClaimOwner::sendOperation(TimePoint Now) {
  m_IsAwaitingReply = true;
  m_AttemptStartedAt = Now;
  if (m_Operation == Operation::WriteOwner || m_Operation == Operation::Batch) {
    ++m_Transactions;
    return m_Out.add(RunTransaction{m_Transaction, m_Priority});
  }
  ReadRows Read{{ownerRowKey(m_Settings.m_Self)}};
  for (const PeerProgress &Peer : m_Peers)
    Read.m_Keys.push_back(ownerRowKey(Peer.m_Peer));
  m_Out.add(std::move(Read));
}

std::string ClaimOwner::nextTransactionToken() {
  return "owner/" + m_Settings.m_Self.m_Text + "/" +
         std::to_string(m_Settings.m_Nonce) + "/" +
         std::to_string(++m_LastTransactionNumber);
}

void ClaimOwner::beginOwnerWrite(const OwnerRow &Row, TimePoint Now) {
  m_NextRow = Row;
  std::string Key = ownerRowKey(m_Settings.m_Self);
  m_Transaction = {nextTransactionToken(),
                   {{Key, m_RowRevision}},
                   {{Key, encodeOwnerRow(Row), false}}};
  m_Priority = CallPriority::Safety;
  beginOperation(Operation::WriteOwner, Now);
}

bool ClaimOwner::isBatchDue(TimePoint Now) const {
  if (!m_Registry.hasDirty())
    return false;
  Duration Interval = m_Settings.m_MinBatchInterval;
  if (!m_Registry.hasHighPriority())
    Interval *= LowPriorityIntervalFactor;
  return Now >= m_LastBatchAt + Interval;
}

void ClaimOwner::beginBatch(TimePoint Now) {
  m_Priority = m_Registry.hasHighPriority() ? CallPriority::Claim
                                            : CallPriority::Background;
  m_Transaction = {nextTransactionToken(), {}, {}};
  // A later incarnation writes the owner row, so that this check makes all
  // later batches of this incarnation fail.
  m_Transaction.m_Checks.push_back(
      {ownerRowKey(m_Settings.m_Self), m_RowRevision});
  m_BatchItems = m_Registry.takeBatch(m_Transaction);
  m_LastBatchAt = Now;
  beginOperation(Operation::Batch, Now);
}

std::optional<OwnerRow> ClaimOwner::nextOwnerRow(TimePoint Now) const {
  // An owner row written here states that all grants up to its revision are in
  // the table.
  bool AllSynced = m_Registry.unsynced() == 0;
  bool MayWrite = m_State == State::Serving || m_State == State::Draining;
  if (!MayWrite || !AllSynced || m_FailingSince)
    return std::nullopt;
  OwnerRow Row = m_Row;
  Row.m_SyncedUpTo = 0;
  Row.m_Mode = OwnerMode::TableOnly;
  if (m_State == State::Draining) {
    bool Done = m_PendingKeys.empty() && !m_Registry.hasDirty();
    return Done ? std::optional(Row) : std::nullopt;
  }
  if (hasRetentionPassed(Now) && !m_Peers.empty()) {
    Row.m_Mode = OwnerMode::MemoryAllowed;
    bool Current = m_MemoryAllowed && m_LatestPeerStart < m_RowRevision;
    return Current ? std::nullopt : std::optional(Row);
  }
  bool Current = m_Row.m_Mode == OwnerMode::TableOnly;
  return Current ? std::nullopt : std::optional(Row);
}

bool ClaimOwner::hasRetentionPassed(TimePoint Now) const {
  return m_Joined && Now - m_JoinedAt >= m_Settings.retention();
}

bool ClaimOwner::isPlatformDown(TimePoint Now) const {
  return m_FailingSince &&
         Now - *m_FailingSince >= m_Settings.m_PlatformDownTimeout;
}

/// Updates the platform state after an attempt of the current operation. True
/// if the attempt has to be repeated.
bool ClaimOwner::recordAttempt(bool Failed, bool MaybeSent, TimePoint Now) {
  m_IsAwaitingReply = false;
  if (!Failed) {
    m_FailingSince.reset();
    return false;
  }
  m_MaybeSent |= MaybeSent;
  if (!m_FailingSince)
    m_FailingSince = m_AttemptStartedAt;
  m_RetryAt = Now + m_Settings.m_PlatformRetryDelay;
  return true;
}

void ClaimOwner::onRead(const Result<RowSet> &Done, TimePoint Now) {
  if (recordAttempt(Done.has_error(), false, Now)) {
    if (m_Operation == Operation::Abandoned)
      m_Operation = Operation::None;
    return;
  }
  if (std::exchange(m_Operation, Operation::None) != Operation::ReadOwners)
    return startNextOperation(Now);
  OwnerRow Old;
  m_RowRevision = 0;
  for (const Row &R : Done.value().m_Rows) {
    Result<OwnerRow> Found = decodeOwnerRow(R.m_Value);
    if (!Found)
      continue;
    for (const PeerProgress &Peer : m_Peers)
      if (R.m_Key == ownerRowKey(Peer.m_Peer))
        m_Witness.fence(Peer.m_Peer, Found.value().m_Incarnation);
    if (R.m_Key != ownerRowKey(m_Settings.m_Self))
      continue;
    Old = Found.value();
    m_RowRevision = R.m_Revision;
  }
  // Recovery remains necessary until all grants are in the table, even if this
  // incarnation ends first, so that m_SyncedUpTo is carried over to the new
  // row.
  bool HasMemory = Old.m_Mode == OwnerMode::MemoryAllowed;
  if (HasMemory && Old.m_SyncedUpTo == 0)
    Old.m_SyncedUpTo = m_RowRevision;
  ++Old.m_Incarnation;
  Old.m_Nonce = m_Settings.m_Nonce;
  beginOwnerWrite(Old, Now);
}

void ClaimOwner::onTransacted(const Result<CommitResult> &Done, TimePoint Now) {
  bool MaybeSent = Done.has_error() && !isUnsent(Done.error().m_Code);
  if (recordAttempt(Done.has_error(), MaybeSent, Now)) {
    // An owner row that was certainly not written need not be repeated and must
    // not block other operations.
    bool Unsent = m_Operation == Operation::WriteOwner && !m_MaybeSent;
    if (Unsent || m_Operation == Operation::Abandoned)
      m_Operation = Operation::None;
    return processPendingClaims(Now);
  }
  Operation Finished = std::exchange(m_Operation, Operation::None);
  if (Finished == Operation::WriteOwner)
    onOwnerWritten(Done.value(), Now);
  else if (Finished == Operation::Batch)
    onBatch(Done.value());
  processPendingClaims(Now);
  startNextOperation(Now);
}

void ClaimOwner::onOwnerWritten(const CommitResult &Done, TimePoint Now) {
  if (Done.isCommitted())
    return onOwnerRowInTable(Done.m_Revision, Now);
  for (const Row &R : Done.m_Conflicts)
    if (R.m_Value == encodeOwnerRow(m_NextRow))
      return onOwnerRowInTable(R.m_Revision, Now);
  markSuperseded();
}

void ClaimOwner::onOwnerRowInTable(Revision At, TimePoint Now) {
  m_Row = m_NextRow;
  m_RowRevision = At;
  if (m_State == State::Draining) {
    m_State = State::Drained;
    return;
  }
  if (m_State != State::Joining) {
    m_MemoryAllowed = m_Row.m_Mode == OwnerMode::MemoryAllowed;
    return;
  }
  m_Joined = true;
  m_JoinedAt = Now;
  m_Witness.startRecording(At);
  m_State =
      m_Row.m_Mode == OwnerMode::TableOnly ? State::Serving : State::Recovering;
  sendPeerCalls(Now);
}

void ClaimOwner::onBatch(const CommitResult &Done) {
  std::vector<BatchItem> Items = std::exchange(m_BatchItems, {});
  if (Done.isCommitted()) {
    m_RowsWritten += m_Transaction.m_Writes.size();
    for (const BatchItem &Item : Items)
      applyDecision(Item.m_Key, m_Registry.onCommitted(Item, Done.m_Revision));
    return sendForgetRequests();
  }
  std::unordered_map<std::string, const Row *> Conflicts;
  for (const Row &R : Done.m_Conflicts)
    Conflicts[R.m_Key] = &R;
  if (Conflicts.count(ownerRowKey(m_Settings.m_Self)) != 0)
    return markSuperseded();
  for (const BatchItem &Item : Items) {
    auto Found = Conflicts.find(claimRowKey(Item.m_Key));
    const Row *ConflictingRow =
        Found == Conflicts.end() ? nullptr : Found->second;
    applyDecision(Item.m_Key, m_Registry.onRefused(Item, ConflictingRow));
  }
  sendForgetRequests();
  // The remaining rows of the batch are written without the minimum interval
  // between batches.
  m_LastBatchAt = TimePoint{};
}

void ClaimOwner::applyDecision(const RequestId &Key, RowDecision Decision) {
  if (!Decision.m_ForgetToken.empty())
    m_TokensToForget[Decision.m_ForgetWitness].push_back(
        Decision.m_ForgetToken.m_Text);
  if (!Decision.m_Pending)
    return;
  const HeldClaim &Entry = *m_Registry.find(Key);
  bool Granted = Decision.m_Outcome == RowOutcome::Granted;
  respond(Decision.m_Pending->m_Waiters,
          Granted ? grantAnswer(Entry) : refusalAnswer(Entry));
}

void ClaimOwner::sendForgetRequests() {
  for (auto &Line : std::exchange(m_TokensToForget, {}))
    sendForgetRequest(Line.first, std::move(Line.second));
}

/// Another process has joined under this address. All grants of this process
/// are in the table or recorded by a witness, so that it may join again like a
/// new process. It does so only when it receives a claim; otherwise two
/// processes would supersede each other endlessly.
void ClaimOwner::markSuperseded() {
  for (const RequestId &Key : std::exchange(m_PendingKeys, {})) {
    HeldClaim *Entry = m_Registry.find(Key);
    if (Entry && Entry->m_Pending)
      respond(Entry->m_Pending->m_Waiters,
              denial(Reason::ClaimOwnerRecovering));
  }
  m_Registry.clear();
  m_Witness.stopRecording();
  m_WitnessCalls.clear();
  m_BatchItems.clear();
  m_Operation = m_IsAwaitingReply ? Operation::Abandoned : Operation::None;
  for (PeerProgress &Peer : m_Peers) {
    EntryId Name = std::move(Peer.m_Peer);
    Peer = PeerProgress();
    Peer.m_Peer = std::move(Name);
  }
  bool WasDraining = m_State == State::Draining || m_State == State::Drained;
  m_State = WasDraining ? State::Drained : State::Superseded;
  m_Joined = false;
  m_MemoryAllowed = false;
}

} // namespace pollenspool::claims
