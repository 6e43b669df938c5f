//===- ClaimOwnerTable.cpp - The owner's rows in the table ----------------===//
//
// One operation at a time: the owner row or a batch of claims. An operation
// whose reply is lost is repeated with its token until the platform decides, so
// that nothing is built on an undecided write.
//
//===----------------------------------------------------------------------===//

#include "claims/ClaimOwner.h"
#include "claims/Wire.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

/// Batches without a waiting claim come this many gaps apart.
constexpr int LazyGapFactor = 5;

/// True if the platform has certainly not seen the call.
bool isUnsent(ErrorCode Code) {
  return Code == ErrorCode::ConnectFailed || Code == ErrorCode::Unavailable ||
         Code == ErrorCode::OverBudget;
}

} // namespace

void ClaimOwner::pump(TimePoint Now) {
  if (m_Operation != Operation::None) {
    if (!m_Awaiting && Now >= m_RetryAt)
      send(Now);
    return;
  }
  if (Now < m_RetryAt)
    return;
  if (m_State == State::Joining)
    return begin(Operation::ReadOwners, Now);
  if (m_FailingSince && !m_Book.hasDirty())
    return begin(Operation::Probe, Now);
  if (std::optional<OwnerRow> Row = nextOwnerRow(Now))
    return beginOwnerWrite(*Row, Now);
  if (isBatchDue(Now))
    beginBatch(Now);
}

void ClaimOwner::begin(Operation Op, TimePoint Now) {
  m_Operation = Op;
  m_MaybeSent = false;
  send(Now);
}

void ClaimOwner::send(TimePoint Now) {
  m_Awaiting = true;
  m_StartedAt = Now;
  if (m_Operation == Operation::WriteOwner || m_Operation == Operation::Batch) {
    ++m_Transactions;
    return m_Out.add(RunTransaction{m_Transaction, m_Priority});
  }
  ReadRows Read{{ownerRowKey(m_Settings.m_Self)}};
  for (const PeerProgress &Peer : m_Peers)
    Read.m_Keys.push_back(ownerRowKey(Peer.m_Peer));
  m_Out.add(std::move(Read));
}

std::string ClaimOwner::nextToken() {
  return "owner/" + m_Settings.m_Self.m_Text + "/" +
         std::to_string(m_Settings.m_Nonce) + "/" +
         std::to_string(++m_LastToken);
}

void ClaimOwner::beginOwnerWrite(const OwnerRow &Row, TimePoint Now) {
  m_NextRow = Row;
  std::string Key = ownerRowKey(m_Settings.m_Self);
  m_Transaction = {
      nextToken(), {{Key, m_RowRevision}}, {{Key, encodeOwnerRow(Row), false}}};
  m_Priority = CallPriority::Safety;
  begin(Operation::WriteOwner, Now);
}

bool ClaimOwner::isBatchDue(TimePoint Now) const {
  if (!m_Book.hasDirty())
    return false;
  Duration Gap = m_Settings.m_BatchGap;
  if (!m_Book.hasUrgent())
    Gap *= LazyGapFactor;
  return Now >= m_LastBatch + Gap;
}

void ClaimOwner::beginBatch(TimePoint Now) {
  m_Priority =
      m_Book.hasUrgent() ? CallPriority::Claim : CallPriority::Background;
  m_Transaction = {nextToken(), {}, {}};
  // A later incarnation changes the row, and this one's writes fail.
  m_Transaction.m_Checks.push_back(
      {ownerRowKey(m_Settings.m_Self), m_RowRevision});
  m_Items = m_Book.takeBatch(m_Transaction);
  m_LastBatch = Now;
  begin(Operation::Batch, Now);
}

std::optional<OwnerRow> ClaimOwner::nextOwnerRow(TimePoint Now) const {
  // Each of these rows says that all grants up to it are in the table.
  bool AllSynced = m_Book.unsynced() == 0;
  bool MayWrite = m_State == State::Serving || m_State == State::Draining;
  if (!MayWrite || !AllSynced || m_FailingSince)
    return std::nullopt;
  OwnerRow Row = m_Row;
  Row.m_SyncedUpTo = 0;
  Row.m_Mode = OwnerMode::TableOnly;
  if (m_State == State::Draining) {
    bool Done = m_PendingKeys.empty() && !m_Book.hasDirty();
    return Done ? std::optional(Row) : std::nullopt;
  }
  if (isRetentionOver(Now) && !m_Peers.empty()) {
    Row.m_Mode = OwnerMode::MemoryAllowed;
    bool Current = m_MemoryAllowed && m_PeerStart < m_RowRevision;
    return Current ? std::nullopt : std::optional(Row);
  }
  bool Current = m_Row.m_Mode == OwnerMode::TableOnly;
  return Current ? std::nullopt : std::optional(Row);
}

bool ClaimOwner::isRetentionOver(TimePoint Now) const {
  return m_Joined && Now - m_JoinedAt >= m_Settings.retention();
}

bool ClaimOwner::isDown(TimePoint Now) const {
  return m_FailingSince && Now - *m_FailingSince >= m_Settings.m_DownGrace;
}

/// Notes what an attempt says about the platform; true if it has to be
/// repeated.
bool ClaimOwner::isFailure(bool Failed, bool MaybeSent, TimePoint Now) {
  m_Awaiting = false;
  if (!Failed) {
    m_FailingSince.reset();
    return false;
  }
  m_MaybeSent |= MaybeSent;
  if (!m_FailingSince)
    m_FailingSince = m_StartedAt;
  m_RetryAt = Now + m_Settings.m_PlatformRetry;
  return true;
}

void ClaimOwner::onRead(const Result<RowSet> &Done, TimePoint Now) {
  if (isFailure(Done.has_error(), false, Now)) {
    if (m_Operation == Operation::Abandoned)
      m_Operation = Operation::None;
    return;
  }
  if (std::exchange(m_Operation, Operation::None) != Operation::ReadOwners)
    return pump(Now);
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
  // The obligation to recover stays until all is in the table, also if this
  // incarnation ends before.
  bool HasMemory = Old.m_Mode == OwnerMode::MemoryAllowed;
  if (HasMemory && Old.m_SyncedUpTo == 0)
    Old.m_SyncedUpTo = m_RowRevision;
  ++Old.m_Incarnation;
  Old.m_Nonce = m_Settings.m_Nonce;
  beginOwnerWrite(Old, Now);
}

void ClaimOwner::onTransacted(const Result<CommitResult> &Done, TimePoint Now) {
  bool MaybeSent = Done.has_error() && !isUnsent(Done.error().m_Code);
  if (isFailure(Done.has_error(), MaybeSent, Now)) {
    // An owner row that was certainly not written holds up nothing.
    bool Unsent = m_Operation == Operation::WriteOwner && !m_MaybeSent;
    if (Unsent || m_Operation == Operation::Abandoned)
      m_Operation = Operation::None;
    return progressPending(Now);
  }
  Operation Finished = std::exchange(m_Operation, Operation::None);
  if (Finished == Operation::WriteOwner)
    onOwnerWritten(Done.value(), Now);
  else if (Finished == Operation::Batch)
    onBatch(Done.value());
  progressPending(Now);
  pump(Now);
}

void ClaimOwner::onOwnerWritten(const CommitResult &Done, TimePoint Now) {
  if (Done.isCommitted())
    return onOwnerRow(Done.m_Revision, Now);
  for (const Row &R : Done.m_Conflicts)
    if (R.m_Value == encodeOwnerRow(m_NextRow))
      return onOwnerRow(R.m_Revision, Now);
  depose();
}

void ClaimOwner::onOwnerRow(Revision At, TimePoint Now) {
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
  m_Witness.establish(At);
  m_State =
      m_Row.m_Mode == OwnerMode::TableOnly ? State::Serving : State::Recovering;
  talkToPeers(Now);
}

void ClaimOwner::onBatch(const CommitResult &Done) {
  std::vector<BatchItem> Items = std::exchange(m_Items, {});
  if (Done.isCommitted()) {
    m_RowsWritten += m_Transaction.m_Writes.size();
    for (const BatchItem &Item : Items)
      apply(Item.m_Key, m_Book.onCommitted(Item, Done.m_Revision));
    return sendForgets();
  }
  std::unordered_map<std::string, const Row *> Conflicts;
  for (const Row &R : Done.m_Conflicts)
    Conflicts[R.m_Key] = &R;
  if (Conflicts.count(ownerRowKey(m_Settings.m_Self)) != 0)
    return depose();
  for (const BatchItem &Item : Items) {
    auto Found = Conflicts.find(claimRowKey(Item.m_Key));
    const Row *InTheWay = Found == Conflicts.end() ? nullptr : Found->second;
    apply(Item.m_Key, m_Book.onRefused(Item, InTheWay));
  }
  sendForgets();
  // The rest of the batch is not to wait for the next one's time.
  m_LastBatch = TimePoint{};
}

void ClaimOwner::apply(const RequestId &Key, RowDecision Decision) {
  if (!Decision.m_ForgetToken.empty())
    m_Forgets[Decision.m_ForgetAt].push_back(Decision.m_ForgetToken.m_Text);
  if (!Decision.m_Pending)
    return;
  const ClaimEntry &Entry = *m_Book.find(Key);
  bool Granted = Decision.m_Outcome == RowOutcome::Granted;
  respond(Decision.m_Pending->m_Waiters,
          Granted ? grantOf(Entry) : refusalOf(Entry));
}

void ClaimOwner::sendForgets() {
  for (auto &Line : std::exchange(m_Forgets, {}))
    forget(Line.first, std::move(Line.second));
}

/// Another process has joined under this address. Everything granted here is in
/// the table or with a witness, so this process may start over like a new one.
/// It does so once it gets a claim, or two processes would take the row from
/// each other for ever.
void ClaimOwner::depose() {
  for (const RequestId &Key : std::exchange(m_PendingKeys, {})) {
    ClaimEntry *Entry = m_Book.find(Key);
    if (Entry && Entry->m_Pending)
      respond(Entry->m_Pending->m_Waiters,
              denial(Reason::ClaimOwnerRecovering));
  }
  m_Book.clear();
  m_Witness.suspend();
  m_WitnessCalls.clear();
  m_Items.clear();
  m_Operation = m_Awaiting ? Operation::Abandoned : Operation::None;
  for (PeerProgress &Peer : m_Peers) {
    EntryId Name = std::move(Peer.m_Peer);
    Peer = PeerProgress();
    Peer.m_Peer = std::move(Name);
  }
  bool Drains = m_State == State::Draining || m_State == State::Drained;
  m_State = Drains ? State::Drained : State::Deposed;
  m_Joined = false;
  m_MemoryAllowed = false;
}

} // namespace pollenspool::claims
