//===- WitnessStore.cpp - Grants recorded for other owners ----------------===//

#include "claims/WitnessStore.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

/// Maximum number of records in one answer; limits messages to a few hundred
/// kilobytes.
constexpr std::size_t MaxRecordsPerPage = 1000;

} // namespace

WitnessStore::WitnessStore(Duration Retention, TimePoint Now)
    : m_Retention(Retention), m_StartedAt(Now) {}

void WitnessStore::fence(const EntryId &Owner, std::uint64_t Incarnation) {
  std::uint64_t &Fence = m_Owners[Owner].m_Fence;
  Fence = std::max(Fence, Incarnation);
}

void WitnessStore::startRecording(Revision StartRevision) {
  m_StartRevision = StartRevision;
}

bool WitnessStore::record(const EntryId &Owner, std::uint64_t Incarnation,
                          const std::string &Key, const std::string &Token,
                          TimePoint Now) {
  OwnerRecords &Records = m_Owners[Owner];
  if (!isRecording() || Incarnation < Records.m_Fence)
    return false;
  Records.m_Keys[Token] = Key;
  m_Expiries.push_back({Now + m_Retention, Owner, Token});
  return true;
}

RecoverAnswer WitnessStore::recover(const RecoverRequest &R, TimePoint Now) {
  RecoverAnswer Answer;
  OwnerRecords &Records = m_Owners[EntryId(R.m_Owner)];
  Records.m_Fence = std::max(Records.m_Fence, R.m_Incarnation);
  Answer.m_LatestIncarnation = Records.m_Fence;
  if (R.m_Incarnation < Records.m_Fence)
    return Answer;
  Answer.m_Accepted = true;
  Answer.m_StartRevision = m_StartRevision;
  auto Uptime =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - m_StartedAt);
  Answer.m_UptimeMs = static_cast<std::uint64_t>(Uptime.count());
  auto It = Records.m_Keys.upper_bound(R.m_AfterToken);
  for (; It != Records.m_Keys.end(); ++It) {
    Answer.m_More = Answer.m_Records.size() == MaxRecordsPerPage;
    if (Answer.m_More)
      break;
    Answer.m_Records.push_back({It->second, It->first});
  }
  return Answer;
}

void WitnessStore::forget(const EntryId &Owner,
                          const std::vector<std::string> &Tokens) {
  auto &Keys = m_Owners[Owner].m_Keys;
  for (const std::string &Token : Tokens)
    Keys.erase(Token);
}

void WitnessStore::expire(TimePoint Now) {
  while (!m_Expiries.empty() && m_Expiries.front().m_At <= Now) {
    const Expiry &Oldest = m_Expiries.front();
    m_Owners[Oldest.m_Owner].m_Keys.erase(Oldest.m_Token);
    m_Expiries.pop_front();
  }
}

std::size_t WitnessStore::size() const {
  std::size_t Count = 0;
  for (const auto &Owner : m_Owners)
    Count += Owner.second.m_Keys.size();
  return Count;
}

} // namespace pollenspool::claims
