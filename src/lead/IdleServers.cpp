//===- IdleServers.cpp - Unreachable servers without runs -----------------===//

#include "lead/IdleServers.h"
#include "base/JsonText.h"
#include "base/Log.h"
#include "base/ReadJson.h"

namespace pollenspool {

using Json = nlohmann::json;

namespace {

/// Least time between two writes of the row.
constexpr Duration WriteInterval = std::chrono::milliseconds(100);

} // namespace

std::string encodeIdleServers(const IdleServersRow &Row) {
  Json Servers = Json::array();
  for (const ServerId &Id : Row.m_Servers)
    Servers.push_back(Id.m_Text);
  return jsonText(Json{{"term", Row.m_Term}, {"servers", Servers}});
}

Result<IdleServersRow> decodeIdleServers(const std::string &Text) {
  return readJson<IdleServersRow>(
      "decode idle servers", {}, Text, [](const Json &J) {
        IdleServersRow Row;
        Row.m_Term = J.at("term");
        for (const Json &Id : J.at("servers"))
          Row.m_Servers.insert(ServerId(Id.get<std::string>()));
        return Row;
      });
}

void IdleServers::apply(const StoredRow &Row) {
  m_Stored = {};
  m_StoredVersion = Row.m_Version;
  m_IsUncertain = false;
  if (Row.m_Version == 0)
    return;
  auto Read = decodeIdleServers(Row.m_Value);
  if (Read)
    m_Stored = std::move(Read.value());
  else
    logEvent(Event::RecordUnreadable,
             {{"row", Row.m_At.m_Key}, {"error", Read.error().describe()}});
}

void IdleServers::onRead(const std::optional<StoredRow> &Row) {
  m_IsRead = true;
  if (Row)
    apply(*Row);
  // The leaders in between may have used servers that an older row names.
  if (m_Stored.m_Term + 1 == m_Term)
    m_Inherited = m_Stored.m_Servers;
  if (!m_Inherited.empty())
    logEvent(Event::IdleServersChanged,
             {{"term", std::to_string(m_Term)},
              {"inherited", std::to_string(m_Inherited.size())}});
}

std::optional<RowTransaction> IdleServers::next(std::set<ServerId> Wanted,
                                                TimePoint Now) {
  if (!m_IsRead || m_IsWritePending || Now < m_NextWriteAt)
    return std::nullopt;
  // The next leader does not use a row of an earlier term.
  const bool IsCurrent = m_Stored.m_Term == m_Term
                             ? m_Stored.m_Servers == Wanted
                             : Wanted.empty() && m_Held.empty();
  if (IsCurrent && !m_IsUncertain)
    return std::nullopt;
  m_Written = {m_Term, std::move(Wanted)};
  m_Held.insert(m_Written.m_Servers.begin(), m_Written.m_Servers.end());
  m_IsWritePending = true;
  RowTransaction Txn;
  RowAddress At{IdleServersTable, IdleServersKey, LeaderPartition};
  Txn.m_Conditions.push_back(m_TermCondition);
  Txn.m_Conditions.push_back({At, m_StoredVersion});
  Txn.m_Puts.push_back({At, encodeIdleServers(m_Written)});
  return Txn;
}

void IdleServers::onResult(const Result<CommitOutcome> &Outcome,
                           TimePoint Now) {
  m_IsWritePending = false;
  m_NextWriteAt = Now + WriteInterval;
  if (!Outcome) {
    m_IsUncertain = true;
    logEvent(Event::RecordFailed,
             {{"row", IdleServersKey}, {"error", Outcome.error().describe()}});
    return;
  }
  if (Outcome.value().m_Committed) {
    m_Stored = m_Written;
    m_StoredVersion = Outcome.value().m_Version;
    m_IsUncertain = false;
    m_Held = m_Stored.m_Servers;
    logEvent(Event::IdleServersChanged,
             {{"term", std::to_string(m_Term)},
              {"servers", std::to_string(m_Held.size())}});
    return;
  }
  // An earlier write whose answer was lost has taken effect. Those that depend
  // on the version before it no longer can. The row of a later leader says
  // nothing of the servers that this one has named.
  for (const StoredRow &Row : Outcome.value().m_Conflicts)
    if (Row.m_At.m_Key == IdleServersKey && Row.m_Version != m_StoredVersion) {
      apply(Row);
      if (m_Stored.m_Term == m_Term)
        m_Held = m_Stored.m_Servers;
    }
}

} // namespace pollenspool
