//===- TicketTable.cpp - Open requests and their indexes ------------------===//

#include "dispatch/TicketTable.h"
#include <algorithm>

// Inlined, so that no library has to be linked.
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenspool {

namespace {

std::uint64_t hashOf(const RequestId &Id) {
  return XXH3_64bits(Id.m_Text.data(), Id.m_Text.size());
}

} // namespace

TryHistory &TicketRecord::history() {
  if (!m_History)
    m_History = std::make_unique<TryHistory>();
  return *m_History;
}

TicketRecord &TicketTable::add(const RequestInfo &Info) {
  TicketRecord &Record = m_Records[++m_Last];
  Record.m_Ticket = m_Last;
  Record.m_Id = Info.m_Id;
  Record.m_Deadline = Info.m_Deadline;
  Record.m_Attempt = Info.m_Attempt;
  Record.m_Class = Info.m_Class;
  Record.m_Repeatable = Info.m_Repeatable;
  Record.m_HasIdempotencyKey = Info.m_HasIdempotencyKey;
  Record.m_Forwarded = Info.m_Forwarded;
  m_ByDeadline.insert(Record.queueKey());
  m_ById.insert({hashOf(Record.m_Id), m_Last});
  return Record;
}

TicketRecord *TicketTable::find(Ticket Id) {
  auto It = m_Records.find(Id);
  return It == m_Records.end() ? nullptr : &It->second;
}

void TicketTable::remove(Ticket Id) {
  auto It = m_Records.find(Id);
  if (It == m_Records.end())
    return;
  m_ByDeadline.erase(It->second.queueKey());
  m_ById.erase({hashOf(It->second.m_Id), Id});
  m_Records.erase(It);
}

std::vector<Ticket> TicketTable::withId(const RequestId &Id) const {
  std::vector<Ticket> Found;
  std::uint64_t Hash = hashOf(Id);
  for (auto It = m_ById.lower_bound({Hash, 0});
       It != m_ById.end() && It->m_Hash == Hash; ++It)
    if (m_Records.at(It->m_Ticket).m_Id == Id)
      Found.push_back(It->m_Ticket);
  return Found;
}

std::vector<Ticket> TicketTable::waiting() const {
  std::vector<Ticket> Found;
  for (const auto &Entry : m_Records)
    if (Entry.second.isWaiting())
      Found.push_back(Entry.first);
  std::sort(Found.begin(), Found.end());
  return Found;
}

std::optional<QueueKey> TicketTable::earliest() const {
  if (m_ByDeadline.empty())
    return std::nullopt;
  return *m_ByDeadline.begin();
}

} // namespace pollenspool
