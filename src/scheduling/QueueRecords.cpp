//===- QueueRecords.cpp - Rows with the rules of queues -------------------===//

#include "scheduling/QueueRecords.h"
#include "base/Log.h"
#include "lead/Leadership.h"
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace pollenspool {

namespace {

/// Each row takes an entry and a condition; the store accepts 100 entries.
constexpr std::size_t MaxRowsPerTransaction = 45;
/// Interval between two searches for rows to write, also after a failed write.
constexpr Duration SearchInterval = std::chrono::milliseconds(100);
/// How long the rules of a queue without jobs are kept. An instance that has
/// not seen the queue's removal yet may accept another job.
constexpr Duration UnusedLifetime = std::chrono::seconds(60);

} // namespace

std::string encodeQueueRules(const QueueRulesRow &Row) {
  JsonWriter Text;
  Text.beginObject().add("queue", Row.m_Queue.m_Text);
  writeQueueRules(Text.key("rules"), Row.m_Rules);
  return Text.endObject().take();
}

Result<QueueRulesRow> decodeQueueRules(const std::string &Text) {
  return readCompactJson<QueueRulesRow>(
      "decode queue rules", {}, Text, [](const auto &J) {
        return QueueRulesRow{QueueName(as<std::string>(J.at("queue"))),
                             queueRulesFrom(J.at("rules"))};
      });
}

RowAddress queueRulesAddress(const QueueName &Queue) {
  const std::string &Text = Queue.m_Text;
  return {QueueRulesTable, std::to_string(XXH64(Text.data(), Text.size(), 0)),
          LeaderPartition};
}

std::unique_ptr<QueueRecords> QueueRecords::create(QueueRegistry &Queues,
                                                   RowCondition TermCondition) {
  return std::unique_ptr<QueueRecords>(
      new QueueRecords(Queues, std::move(TermCondition)));
}

bool QueueRecords::onRead(const StoredRow &Row) {
  auto Read = decodeQueueRules(Row.m_Value);
  if (Read)
    m_Queues.onStored(Read.value().m_Queue, Read.value().m_Rules,
                      Row.m_Version);
  else
    logEvent(Event::RecordUnreadable,
             {{"row", std::string(QueueRulesTable) + "/" + Row.m_At.m_Key},
              {"error", Read.error().describe()}});
  return Read.has_value();
}

std::optional<QueueRecords::Change> QueueRecords::changeFor(const LiveQueue &Q,
                                                            TimePoint Now) {
  if (Q.needsRow())
    return Change{Q.m_Name, Q.m_Rules};
  if (Q.m_Stored && Q.hasBeenUnusedFor(UnusedLifetime, Now))
    return Change{Q.m_Name, std::nullopt};
  return std::nullopt;
}

std::optional<RowTransaction> QueueRecords::next(TimePoint Now) {
  if (!m_Pending.empty() || Now < m_NextSearchAt)
    return std::nullopt;
  m_NextSearchAt = Now + SearchInterval;
  m_Queues.removeUnused(UnusedLifetime, Now);
  RowTransaction Txn;
  for (const auto &[Name, Q] : m_Queues.all()) {
    auto Needed = changeFor(Q, Now);
    if (!Needed)
      continue;
    RowAddress At = queueRulesAddress(Name);
    Txn.m_Conditions.push_back({At, Q.m_StoredVersion});
    if (Needed->m_Rules)
      Txn.m_Puts.push_back({At, encodeQueueRules({Name, *Needed->m_Rules})});
    else
      Txn.m_Deletes.push_back(At);
    m_Pending.push_back(std::move(*Needed));
    if (m_Pending.size() == MaxRowsPerTransaction)
      break;
  }
  if (m_Pending.empty())
    return std::nullopt;
  Txn.m_Conditions.push_back(m_TermCondition);
  return Txn;
}

void QueueRecords::onResult(const Result<CommitOutcome> &Outcome) {
  if (!Outcome)
    logEvent(Event::RecordFailed,
             {{"row", QueueRulesTable}, {"error", Outcome.error().describe()}});
  else if (Outcome.value().m_Committed)
    onCommitted(Outcome.value().m_Version);
  else
    // An earlier write whose answer was lost has taken effect.
    for (const StoredRow &Row : Outcome.value().m_Conflicts)
      onConflict(Row);
  m_Pending.clear();
}

void QueueRecords::onCommitted(RowVersion Version) {
  for (const Change &C : m_Pending) {
    if (!C.m_Rules) {
      m_Queues.onNotStored(C.m_Queue);
      continue;
    }
    m_Queues.onStored(C.m_Queue, *C.m_Rules, Version);
    logEvent(Event::QueueRulesStored,
             {{"queue", C.m_Queue.m_Text},
              {"rules_of_version", std::to_string(C.m_Rules->m_ConfigVersion)},
              {"pool", C.m_Rules->m_Pool.m_Text},
              {"attempts", std::to_string(C.m_Rules->m_Attempts)}});
  }
}

void QueueRecords::onConflict(const StoredRow &Row) {
  if (Row.m_At.m_Table != QueueRulesTable ||
      (Row.m_Version != 0 && onRead(Row)))
    return;
  for (const Change &C : m_Pending)
    if (queueRulesAddress(C.m_Queue).m_Key == Row.m_At.m_Key)
      m_Queues.onNotStored(C.m_Queue, Row.m_Version);
}

} // namespace pollenspool
