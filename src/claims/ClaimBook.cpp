//===- ClaimBook.cpp - The keys that an owner holds -----------------------===//

#include "claims/ClaimBook.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

constexpr std::size_t MaxBatchRows = 128;
constexpr std::size_t MaxBatchBytes = 256 * 1024;
/// An entry whose row is being written is looked at again after this time.
constexpr Duration ExpiryRetry = std::chrono::seconds(1);

bool contains(const std::vector<ClaimToken> &Tokens, const ClaimToken &Token) {
  return std::find(Tokens.begin(), Tokens.end(), Token) != Tokens.end();
}

std::string rowValueOf(const ClaimEntry &Entry) {
  ClaimRow Row;
  Row.m_Token = Entry.m_Token;
  Row.m_Completed = Entry.m_Phase == ClaimPhase::Completed;
  if (Row.m_Completed && Entry.m_Answer)
    Row.m_Answer = *Entry.m_Answer;
  return encodeClaimRow(Row);
}

} // namespace

ClaimEntry *ClaimBook::find(const RequestId &Key) {
  auto It = m_Entries.find(Key);
  return It == m_Entries.end() ? nullptr : &It->second;
}

ClaimEntry &ClaimBook::add(const RequestId &Key, const ClaimToken &Token,
                           ClaimPhase Phase, TimePoint Now) {
  ClaimEntry &Entry = m_Entries[Key];
  Entry.m_Token = Token;
  Entry.m_Phase = Phase;
  renew(Key, Entry, Now);
  return Entry;
}

void ClaimBook::renew(const RequestId &Key, ClaimEntry &Entry, TimePoint Now) {
  Entry.m_ExpiresAt = Now + m_Retention;
  m_Expiries.push_back({Entry.m_ExpiresAt, Key});
}

void ClaimBook::markDirty(const RequestId &Key, ClaimEntry &Entry,
                          bool Urgent) {
  Entry.m_Dirty = true;
  if (Entry.m_Queued || Entry.m_InBatch)
    return;
  Entry.m_Queued = true;
  (Urgent ? m_Urgent : m_Lazy).push_back(Key);
}

void ClaimBook::setUnsynced(ClaimEntry &Entry, bool Unsynced) {
  if (Entry.m_Unsynced == Unsynced)
    return;
  Entry.m_Unsynced = Unsynced;
  m_Unsynced += Unsynced ? 1 : std::size_t(-1);
}

std::vector<BatchItem> ClaimBook::takeBatch(Transaction &Txn) {
  std::vector<BatchItem> Items;
  std::size_t Bytes = 0;
  for (auto *Queue : {&m_Urgent, &m_Lazy}) {
    while (!Queue->empty() && Items.size() < MaxBatchRows &&
           Bytes < MaxBatchBytes) {
      RequestId Key = std::move(Queue->front());
      Queue->pop_front();
      ClaimEntry *Entry = find(Key);
      if (!Entry || !Entry->m_Queued)
        continue;
      Entry->m_Queued = false;
      Entry->m_InBatch = true;
      std::string RowKey = claimRowKey(Key);
      bool Deletes = Entry->m_Phase == ClaimPhase::Released;
      Txn.m_Checks.push_back({RowKey, Entry->m_RowRevision});
      // Deleting a row that was never seen is only a check that it is absent.
      if (Deletes && Entry->m_RowRevision != 0)
        Txn.m_Writes.push_back({RowKey, {}, true});
      if (!Deletes)
        Txn.m_Writes.push_back({RowKey, rowValueOf(*Entry), false});
      Bytes += Deletes ? 0 : Txn.m_Writes.back().m_Value.size();
      Items.push_back(
          {std::move(Key), Entry->m_Token, Entry->m_Version, Deletes});
    }
  }
  return Items;
}

void ClaimBook::forgetWitness(ClaimEntry &Entry, RowDecision &Decision) {
  if (!Entry.m_Unsynced)
    return;
  Decision.m_ForgetAt = Entry.m_Witness;
  Decision.m_ForgetToken = Entry.m_Token;
  setUnsynced(Entry, false);
}

/// The row holds the entry's token: the claim is as good as committed.
void ClaimBook::settle(ClaimEntry &Entry, RowDecision &Decision) {
  forgetWitness(Entry, Decision);
  Entry.m_Imported = false;
  if (Entry.m_Phase != ClaimPhase::Pending)
    return;
  Entry.m_Phase = ClaimPhase::Granted;
  Decision.m_Outcome = RowOutcome::Granted;
  Decision.m_Pending = std::move(Entry.m_Pending);
}

RowDecision ClaimBook::onCommitted(const BatchItem &Item, Revision At) {
  RowDecision Decision;
  ClaimEntry *Entry = find(Item.m_Key);
  if (!Entry)
    return Decision;
  Entry->m_InBatch = false;
  Entry->m_RowRevision = Item.m_Deletes ? 0 : At;
  if (!Item.m_Deletes && Item.m_Token == Entry->m_Token &&
      Entry->m_Phase != ClaimPhase::Released)
    settle(*Entry, Decision);
  if (Item.m_Version != Entry->m_Version) {
    requeue(Item.m_Key, *Entry);
    return Decision;
  }
  Entry->m_Dirty = false;
  Entry->m_Former.clear();
  if (Entry->m_Phase == ClaimPhase::Released) {
    forgetWitness(*Entry, Decision);
    erase(Item.m_Key);
  }
  return Decision;
}

RowDecision ClaimBook::onRefused(const BatchItem &Item, const Row *Found) {
  ClaimEntry *Entry = find(Item.m_Key);
  if (!Entry)
    return {};
  Entry->m_InBatch = false;
  if (Found)
    return resolve(Item.m_Key, *Entry, *Found);
  requeue(Item.m_Key, *Entry);
  return {};
}

RowDecision ClaimBook::resolve(const RequestId &Key, ClaimEntry &Entry,
                               const Row &Found) {
  Entry.m_RowRevision = Found.m_Deleted ? 0 : Found.m_Revision;
  if (Entry.m_RowRevision == 0) {
    requeue(Key, Entry);
    return {};
  }
  Result<ClaimRow> Decoded = decodeClaimRow(Found.m_Value);
  // A row that cannot be read is somebody's claim all the same.
  ClaimRow Claim = Decoded ? Decoded.value() : ClaimRow();
  if (!Claim.m_Token.empty() && Claim.m_Token == Entry.m_Token)
    return meetOwnRow(Key, Entry, Claim);
  bool Released = contains(Entry.m_Former, Claim.m_Token);
  // A vouching owner knows of every claim within the lifetime, so that a row
  // in the way of its grant from memory belongs to an older claim.
  bool Outranks = Entry.m_Unsynced && !Entry.m_Imported &&
                  Entry.m_Phase != ClaimPhase::Released;
  if (Released || Outranks) {
    requeue(Key, Entry);
    return {};
  }
  bool Contested = Entry.m_Imported && Entry.m_Phase != ClaimPhase::Released &&
                   !Claim.m_Completed;
  if (!Contested)
    return adopt(Entry, Claim);
  // One of the two claims was released, and it cannot be told which: nobody's
  // token frees the key any more.
  Entry.m_Token = ClaimToken();
  ++Entry.m_Version;
  requeue(Key, Entry);
  return {};
}

RowDecision ClaimBook::meetOwnRow(const RequestId &Key, ClaimEntry &Entry,
                                  const ClaimRow &Found) {
  if (Found.m_Completed && Entry.m_Phase == ClaimPhase::Pending)
    return adopt(Entry, Found);
  RowDecision Decision;
  if (Found.m_Completed) {
    Entry.m_Phase = ClaimPhase::Completed;
    Entry.m_Answer = Found.m_Answer ? std::make_unique<Answer>(*Found.m_Answer)
                                    : std::move(Entry.m_Answer);
  }
  settle(Entry, Decision);
  bool RowIsCurrent = Entry.m_Phase == ClaimPhase::Granted || Found.m_Completed;
  if (RowIsCurrent)
    Entry.m_Dirty = false;
  else
    requeue(Key, Entry);
  return Decision;
}

RowDecision ClaimBook::adopt(ClaimEntry &Entry, const ClaimRow &Found) {
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
  Entry.m_Former.clear();
  return Decision;
}

void ClaimBook::requeue(const RequestId &Key, ClaimEntry &Entry) {
  markDirty(Key, Entry, Entry.m_Phase == ClaimPhase::Pending);
}

void ClaimBook::erase(const RequestId &Key) {
  auto It = m_Entries.find(Key);
  setUnsynced(It->second, false);
  m_Entries.erase(It);
}

void ClaimBook::expire(TimePoint Now) {
  while (!m_Expiries.empty() && m_Expiries.front().m_At <= Now) {
    Expiry Oldest = std::move(m_Expiries.front());
    m_Expiries.pop_front();
    ClaimEntry *Entry = find(Oldest.m_Key);
    // A renewed or new entry has a later line of its own.
    if (!Entry || Entry->m_ExpiresAt > Now)
      continue;
    if (Entry->m_InBatch || Entry->m_Pending)
      m_Expiries.push_back({Now + ExpiryRetry, Oldest.m_Key});
    else
      erase(Oldest.m_Key);
  }
}

void ClaimBook::drop(const RequestId &Key) { erase(Key); }

void ClaimBook::clear() {
  m_Entries.clear();
  m_Urgent.clear();
  m_Lazy.clear();
  m_Expiries.clear();
  m_Unsynced = 0;
}

} // namespace pollenspool::claims
