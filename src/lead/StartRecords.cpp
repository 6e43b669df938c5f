//===- StartRecords.cpp - Whether starts are recorded first ---------------===//

#include "lead/StartRecords.h"
#include "base/JsonText.h"
#include "base/Log.h"
#include "base/ReadJson.h"

namespace pollenspool {

using Json = nlohmann::json;

namespace {

/// Latency of a write above which starts do not wait for records. A job has
/// some 600 ms to spare.
constexpr Duration SlowWriteLatency = std::chrono::milliseconds(150);
/// Latency below which the store counts as fast. A write usually takes 10 ms.
constexpr Duration FastWriteLatency = std::chrono::milliseconds(50);
/// How long the store must have been fast before starts are recorded again.
constexpr Duration FastTime = std::chrono::seconds(2);
constexpr Duration RetryDelay = std::chrono::milliseconds(100);

} // namespace

std::string encodeStartRecords(const StartRecordsRow &Row) {
  return jsonText(Json{{"term", Row.m_Term},
                       {"records", Row.m_Records},
                       {"since", Row.m_Since}});
}

Result<StartRecordsRow> decodeStartRecords(const std::string &Text) {
  return readJson<StartRecordsRow>(
      "decode start records", {}, Text, [](const Json &J) {
        return StartRecordsRow{J.at("term"), J.at("records"), J.at("since")};
      });
}

void StartRecords::apply(const StoredRow &Row) {
  m_Stored = {};
  m_StoredVersion = Row.m_Version;
  m_IsUncertain = false;
  if (Row.m_Version == 0)
    return;
  auto Read = decodeStartRecords(Row.m_Value);
  if (Read)
    m_Stored = Read.value();
  else
    logEvent(Event::RecordUnreadable,
             {{"row", Row.m_At.m_Key}, {"error", Read.error().describe()}});
}

void StartRecords::onRead(const std::optional<StoredRow> &Row) {
  m_IsRead = true;
  if (Row)
    apply(*Row);
  // Nobody started anything before the first term. A row of an older term was
  // not continued by the leader in between, which may have recorded nothing.
  if (m_Term == 1)
    m_RecordedSince = 0;
  else if (m_Stored.m_Records && m_Stored.m_Term + 1 == m_Term)
    m_RecordedSince = m_Stored.m_Since;
  else
    m_RecordedSince = m_TermCondition.m_Version;
}

std::optional<RowTransaction>
StartRecords::next(Duration WriteLatency, RowVersion Known, TimePoint Now) {
  if (WriteLatency >= FastWriteLatency)
    m_FastSince.reset();
  else if (!m_FastSince)
    m_FastSince = Now;
  if (m_IsWritePending || Now < m_NextWriteAt)
    return std::nullopt;
  bool IsOwn = m_Stored.m_Term == m_Term;
  bool WantsRecords = m_MustRecord
                          ? WriteLatency < SlowWriteLatency
                          : m_FastSince && Now >= *m_FastSince + FastTime;
  if (!m_IsUncertain && IsOwn && m_Stored.m_Records == WantsRecords) {
    m_MustRecord = WantsRecords;
    return std::nullopt;
  }
  m_Written = {m_Term, WantsRecords, 0};
  if (WantsRecords)
    m_Written.m_Since = IsOwn ? Known : m_RecordedSince;
  // From here on the stored row is uncertain, so that starts are recorded.
  m_MustRecord = true;
  m_IsWritePending = true;
  RowTransaction Txn;
  RowAddress At{StartRecordsTable, StartRecordsKey, LeaderPartition};
  Txn.m_Conditions.push_back(m_TermCondition);
  Txn.m_Conditions.push_back({At, m_StoredVersion});
  Txn.m_Puts.push_back({At, encodeStartRecords(m_Written)});
  return Txn;
}

void StartRecords::onResult(const Result<CommitOutcome> &Outcome,
                            TimePoint Now) {
  m_IsWritePending = false;
  if (Outcome && Outcome.value().m_Committed) {
    m_Stored = m_Written;
    m_IsUncertain = false;
    m_StoredVersion = Outcome.value().m_Version;
    m_MustRecord = m_Stored.m_Records;
    logEvent(Event::StartRecordsChanged,
             {{"term", std::to_string(m_Term)},
              {"records", m_Stored.m_Records ? "yes" : "no"},
              {"since", std::to_string(m_Stored.m_Since)}});
    return;
  }
  m_NextWriteAt = Now + RetryDelay;
  if (!Outcome) {
    m_IsUncertain = true;
    logEvent(Event::RecordFailed,
             {{"row", StartRecordsKey}, {"error", Outcome.error().describe()}});
    return;
  }
  // An earlier write whose answer was lost may have taken effect.
  for (const StoredRow &Row : Outcome.value().m_Conflicts)
    if (Row.m_At.m_Key == StartRecordsKey)
      apply(Row);
}

} // namespace pollenspool
