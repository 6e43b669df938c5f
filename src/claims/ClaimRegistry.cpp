//===- ClaimRegistry.cpp - The claims that an owner holds -----------------===//

#include "claims/ClaimRegistry.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

constexpr std::size_t MaxBatchRows = 128;
constexpr std::size_t MaxBatchBytes = 256 * 1024;
/// Delay before the expiry of a claim is checked again if it is pending or its
/// row is being written.
constexpr Duration ExpiryRetryDelay = std::chrono::seconds(1);

bool contains(const std::vector<ClaimToken> &Tokens, const ClaimToken &Token) {
  return std::find(Tokens.begin(), Tokens.end(), Token) != Tokens.end();
}

std::string rowValueOf(const HeldClaim &Entry) {
  ClaimRow Row;
  Row.m_Token = Entry.m_Token;
  Row.m_Completed = Entry.m_Phase == ClaimPhase::Completed;
  if (Row.m_Completed && Entry.m_Answer)
    Row.m_Answer = *Entry.m_Answer;
  return encodeClaimRow(Row);
}

} // namespace

HeldClaim *ClaimRegistry::find(const RequestId &Key) {
  auto It = m_Claims.find(Key);
  return It == m_Claims.end() ? nullptr : &It->second;
}

HeldClaim &ClaimRegistry::add(const RequestId &Key, const ClaimToken &Token,
                              ClaimPhase Phase, TimePoint Now) {
  HeldClaim &Entry = m_Claims[Key];
  Entry.m_Token = Token;
  Entry.m_Phase = Phase;
  extendExpiry(Key, Entry, Now);
  return Entry;
}

void ClaimRegistry::extendExpiry(const RequestId &Key, HeldClaim &Entry,
                                 TimePoint Now) {
  Entry.m_ExpiresAt = Now + m_Retention;
  m_Expiries.push_back({Entry.m_ExpiresAt, Key});
}

void ClaimRegistry::markDirty(const RequestId &Key, HeldClaim &Entry,
                              bool HighPriority) {
  Entry.m_Dirty = true;
  if (Entry.m_Queued || Entry.m_InBatch)
    return;
  Entry.m_Queued = true;
  (HighPriority ? m_HighPriority : m_LowPriority).push_back(Key);
}

void ClaimRegistry::setUnsynced(HeldClaim &Entry, bool Unsynced) {
  if (Entry.m_Unsynced == Unsynced)
    return;
  Entry.m_Unsynced = Unsynced;
  m_Unsynced += Unsynced ? 1 : std::size_t(-1);
}

std::vector<BatchItem> ClaimRegistry::takeBatch(Transaction &Txn) {
  std::vector<BatchItem> Items;
  std::size_t Bytes = 0;
  for (auto *Queue : {&m_HighPriority, &m_LowPriority}) {
    while (!Queue->empty() && Items.size() < MaxBatchRows &&
           Bytes < MaxBatchBytes) {
      RequestId Key = std::move(Queue->front());
      Queue->pop_front();
      HeldClaim *Entry = find(Key);
      if (!Entry || !Entry->m_Queued)
        continue;
      Entry->m_Queued = false;
      Entry->m_InBatch = true;
      std::string RowKey = claimRowKey(Key);
      bool IsDeletion = Entry->m_Phase == ClaimPhase::Released;
      Txn.m_Checks.push_back({RowKey, Entry->m_RowRevision});
      // To delete a row that was never seen, the transaction only checks that
      // the row does not exist.
      if (IsDeletion && Entry->m_RowRevision != 0)
        Txn.m_Writes.push_back({RowKey, {}, true});
      if (!IsDeletion)
        Txn.m_Writes.push_back({RowKey, rowValueOf(*Entry), false});
      Bytes += IsDeletion ? 0 : Txn.m_Writes.back().m_Value.size();
      Items.push_back(
          {std::move(Key), Entry->m_Token, Entry->m_Version, IsDeletion});
    }
  }
  return Items;
}

void ClaimRegistry::markSynced(HeldClaim &Entry, RowDecision &Decision) {
  if (!Entry.m_Unsynced)
    return;
  Decision.m_ForgetWitness = Entry.m_Witness;
  Decision.m_ForgetToken = Entry.m_Token;
  setUnsynced(Entry, false);
}

/// Called when the row holds the token of the claim: a pending claim is
/// granted, a grant from memory is synced.
void ClaimRegistry::onTokenInTable(HeldClaim &Entry, RowDecision &Decision) {
  markSynced(Entry, Decision);
  Entry.m_Imported = false;
  if (Entry.m_Phase != ClaimPhase::Pending)
    return;
  Entry.m_Phase = ClaimPhase::Granted;
  Decision.m_Outcome = RowOutcome::Granted;
  Decision.m_Pending = std::move(Entry.m_Pending);
}

RowDecision ClaimRegistry::onCommitted(const BatchItem &Item, Revision At) {
  RowDecision Decision;
  HeldClaim *Entry = find(Item.m_Key);
  if (!Entry)
    return Decision;
  Entry->m_InBatch = false;
  Entry->m_RowRevision = Item.m_IsDeletion ? 0 : At;
  if (!Item.m_IsDeletion && Item.m_Token == Entry->m_Token &&
      Entry->m_Phase != ClaimPhase::Released)
    onTokenInTable(*Entry, Decision);
  if (Item.m_Version != Entry->m_Version) {
    requeue(Item.m_Key, *Entry);
    return Decision;
  }
  Entry->m_Dirty = false;
  Entry->m_ReleasedTokens.clear();
  if (Entry->m_Phase == ClaimPhase::Released) {
    markSynced(*Entry, Decision);
    erase(Item.m_Key);
  }
  return Decision;
}

RowDecision ClaimRegistry::onRefused(const BatchItem &Item, const Row *Found) {
  HeldClaim *Entry = find(Item.m_Key);
  if (!Entry)
    return {};
  Entry->m_InBatch = false;
  if (Found)
    return resolveConflict(Item.m_Key, *Entry, *Found);
  requeue(Item.m_Key, *Entry);
  return {};
}

RowDecision ClaimRegistry::resolveConflict(const RequestId &Key,
                                           HeldClaim &Entry, const Row &Found) {
  Entry.m_RowRevision = Found.m_Deleted ? 0 : Found.m_Revision;
  if (Entry.m_RowRevision == 0) {
    requeue(Key, Entry);
    return {};
  }
  Result<ClaimRow> Decoded = decodeClaimRow(Found.m_Value);
  // A row that cannot be decoded still holds the key; its token is unknown.
  ClaimRow Claim = Decoded ? Decoded.value() : ClaimRow();
  if (!Claim.m_Token.empty() && Claim.m_Token == Entry.m_Token)
    return resolveOwnRow(Key, Entry, Claim);
  bool Released = contains(Entry.m_ReleasedTokens, Claim.m_Token);
  // An owner that may grant from memory knows every claim within the lifetime.
  // A row that conflicts with such a grant therefore belongs to an older claim
  // and is overwritten.
  bool HasPrecedence = Entry.m_Unsynced && !Entry.m_Imported &&
                       Entry.m_Phase != ClaimPhase::Released;
  if (Released || HasPrecedence) {
    requeue(Key, Entry);
    return {};
  }
  bool IsContested = Entry.m_Imported &&
                     Entry.m_Phase != ClaimPhase::Released &&
                     !Claim.m_Completed;
  if (!IsContested)
    return replaceByRow(Entry, Claim);
  // One of the two claims was released, but it is unknown which. An empty token
  // prevents both holders from releasing the key.
  Entry.m_Token = ClaimToken();
  ++Entry.m_Version;
  requeue(Key, Entry);
  return {};
}

RowDecision ClaimRegistry::resolveOwnRow(const RequestId &Key, HeldClaim &Entry,
                                         const ClaimRow &Found) {
  if (Found.m_Completed && Entry.m_Phase == ClaimPhase::Pending)
    return replaceByRow(Entry, Found);
  RowDecision Decision;
  if (Found.m_Completed) {
    Entry.m_Phase = ClaimPhase::Completed;
    Entry.m_Answer = Found.m_Answer ? std::make_unique<Answer>(*Found.m_Answer)
                                    : std::move(Entry.m_Answer);
  }
  onTokenInTable(Entry, Decision);
  bool RowIsCurrent = Entry.m_Phase == ClaimPhase::Granted || Found.m_Completed;
  if (RowIsCurrent)
    Entry.m_Dirty = false;
  else
    requeue(Key, Entry);
  return Decision;
}

RowDecision ClaimRegistry::replaceByRow(HeldClaim &Entry,
                                        const ClaimRow &Found) {
  RowDecision Decision;
  if (Entry.m_Phase == ClaimPhase::Pending) {
    Decision.m_Outcome = RowOutcome::Lost;
    Decision.m_Pending = std::move(Entry.m_Pending);
  }
  setUnsynced(Entry, false);
  Entry.m_Token = Found.m_Token;
  Entry.m_Phase =
      Found.m_Completed ? ClaimPhase::Completed : ClaimPhase::Granted;
  Entry.m_Answer =
      Found.m_Answer ? std::make_unique<Answer>(*Found.m_Answer) : nullptr;
  Entry.m_Imported = false;
  Entry.m_Inherited = true;
  Entry.m_Dirty = false;
  Entry.m_ReleasedTokens.clear();
  return Decision;
}

void ClaimRegistry::requeue(const RequestId &Key, HeldClaim &Entry) {
  markDirty(Key, Entry, Entry.m_Phase == ClaimPhase::Pending);
}

void ClaimRegistry::erase(const RequestId &Key) {
  auto It = m_Claims.find(Key);
  setUnsynced(It->second, false);
  m_Claims.erase(It);
}

void ClaimRegistry::expire(TimePoint Now) {
  while (!m_Expiries.empty() && m_Expiries.front().m_At <= Now) {
    Expiry Oldest = std::move(m_Expiries.front());
    m_Expiries.pop_front();
    HeldClaim *Entry = find(Oldest.m_Key);
    // An extended or re-added claim has a later entry in m_Expiries.
    if (!Entry || Entry->m_ExpiresAt > Now)
      continue;
    if (Entry->m_InBatch || Entry->m_Pending)
      m_Expiries.push_back({Now + ExpiryRetryDelay, Oldest.m_Key});
    else
      erase(Oldest.m_Key);
  }
}

void ClaimRegistry::remove(const RequestId &Key) { erase(Key); }

void ClaimRegistry::clear() {
  m_Claims.clear();
  m_HighPriority.clear();
  m_LowPriority.clear();
  m_Expiries.clear();
  m_Unsynced = 0;
}

} // namespace pollenspool::claims
