//===- PlatformCalls.cpp - Call handlers of the simulated platform --------===//

#include "common/Knobs.h"
#include "platform/PlatformServer.h"
#include <charconv>

namespace standin {

namespace {

const KnobEntry<PlatformKnobs> KnobTable[] = {
    {"outage", &PlatformKnobs::m_Outage, nullptr, nullptr},
    {"delay_ms", nullptr, &PlatformKnobs::m_Delay, nullptr},
    {"lose_replies", nullptr, nullptr, &PlatformKnobs::m_RepliesToLose},
    {"fail_next", nullptr, nullptr, &PlatformKnobs::m_CallsToFail},
    {"list_lag_ms", nullptr, &PlatformKnobs::m_ListAge, nullptr},
    {"reboot_ms", nullptr, &PlatformKnobs::m_GoneTime, nullptr},
    {"leaving_ms", nullptr, &PlatformKnobs::m_LeavingTime, nullptr},
};

constexpr std::string_view ObjectPrefix = "/v1/objects/";
constexpr std::string_view RebootPrefix = "/v1/instances/";
constexpr std::string_view RebootSuffix = "/reboot";
constexpr std::string_view StatePrefix = "/instances/";
constexpr std::string_view StateSuffix = "/state";

Json parseBody(const HttpMessage &Request) {
  return Json::parse(Request.m_Body.empty() ? "{}" : Request.m_Body);
}

/// Returns the part of the path between \p Prefix, which the path must have,
/// and \p Suffix; empty if the path doesn't end in \p Suffix or has nothing
/// between them.
std::string pathBetween(const HttpMessage &Request, std::string_view Prefix,
                        std::string_view Suffix) {
  const std::string_view Path = Request.path();
  if (Path.size() <= Prefix.size() + Suffix.size() ||
      Path.substr(Path.size() - Suffix.size()) != Suffix)
    return {};
  return std::string(
      Path.substr(Prefix.size(), Path.size() - Prefix.size() - Suffix.size()));
}

Json rowJson(const TableRow &Row) {
  if (Row.m_Deleted)
    return {
        {"key", Row.m_Key}, {"revision", Row.m_Revision}, {"deleted", true}};
  return {
      {"key", Row.m_Key}, {"value", Row.m_Value}, {"revision", Row.m_Revision}};
}

Json rowsJson(const std::vector<TableRow> &Rows) {
  Json List = Json::array();
  for (const TableRow &Row : Rows)
    List.push_back(rowJson(Row));
  return List;
}

TableTransaction parseTransaction(const Json &Body) {
  TableTransaction Parsed;
  Parsed.m_Token = Body.value("token", "");
  for (const Json &Check : Body.value("checks", Json::array()))
    Parsed.m_Checks.push_back(
        {Check.at("key"), Check.at("revision").get<Revision>()});
  for (const Json &Write : Body.value("writes", Json::array())) {
    const bool Delete = Write.value("delete", false);
    const std::string Value =
        Delete ? "" : Write.at("value").get<std::string>();
    Parsed.m_Writes.push_back({Write.at("key"), Value, Delete});
  }
  return Parsed;
}

Json instanceJson(const Instance &Listed) {
  Json Entry = {{"id", Listed.m_Id},
                {"kind", Listed.m_Kind},
                {"data_centre", Listed.m_DataCentre},
                {"rack", Listed.m_Rack},
                {"address", Listed.m_Address},
                {"state", instanceStateName(Listed.m_State)},
                {"epoch", Listed.m_Epoch}};
  if (!Listed.m_Control.empty())
    Entry["control"] = Listed.m_Control;
  return Entry;
}

Expected<Instance> parseInstance(const Json &Entry) {
  Instance Parsed;
  Parsed.m_Id = Entry.at("id");
  Parsed.m_Kind = Entry.value("kind", "backend");
  Parsed.m_DataCentre = Entry.at("data_centre");
  Parsed.m_Rack = Entry.value("rack", "");
  Parsed.m_Address = Entry.at("address");
  Parsed.m_Control = Entry.value("control", "");
  Parsed.m_Epoch = Entry.value("epoch", std::uint64_t{1});
  const std::optional<InstanceState> State =
      parseInstanceState(Entry.value("state", "live"));
  if (!State)
    return Failure{"instance " + Parsed.m_Id + ": no such state"};
  Parsed.m_State = *State;
  return Parsed;
}

HttpMessage okReply(const Json &Body) { return jsonReply(200, Body.dump()); }

} // namespace

HttpMessage PlatformServer::transact(const HttpMessage &Request) {
  ++m_Counts.m_Transactions;
  const TableTransaction Transaction = parseTransaction(parseBody(Request));
  const TableOutcome Outcome = m_Table.transact(Transaction);
  if (Outcome.m_Revision == 0) {
    ++m_Counts.m_Conflicts;
    return jsonReply(409,
                     Json{{"conflicts", rowsJson(Outcome.m_Conflicts)}}.dump());
  }
  m_Counts.m_Writes += Transaction.m_Writes.size();
  return okReply({{"revision", Outcome.m_Revision}});
}

HttpMessage PlatformServer::rowsReply(const std::vector<TableRow> &Rows) const {
  return okReply({{"revision", m_Table.revision()}, {"rows", rowsJson(Rows)}});
}

HttpMessage PlatformServer::read(const HttpMessage &Request) {
  ++m_Counts.m_Reads;
  const Json Body = parseBody(Request);
  return rowsReply(
      m_Table.read(Body.at("keys").get<std::vector<std::string>>()));
}

HttpMessage PlatformServer::scan(const HttpMessage &Request) {
  ++m_Counts.m_Reads;
  const std::vector<std::string> Prefixes = Request.queryValues("prefix");
  return rowsReply(m_Table.scan(Prefixes.empty() ? "" : Prefixes.front()));
}

HttpMessage PlatformServer::changes(const HttpMessage &Request) {
  ++m_Counts.m_Reads;
  const std::vector<std::string> SinceValues = Request.queryValues("since");
  const std::string SinceText = SinceValues.empty() ? "" : SinceValues.front();
  Revision Since = 0;
  const char *const End = SinceText.data() + SinceText.size();
  const auto Parsed = std::from_chars(SinceText.data(), End, Since);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return jsonReply(400, errorJson("since: not a revision"));
  std::vector<std::string> Prefixes = Request.queryValues("prefix");
  if (Prefixes.empty())
    Prefixes.emplace_back();
  return rowsReply(m_Table.changes(Since, Prefixes));
}

HttpMessage PlatformServer::putObject(const HttpMessage &Request) {
  ++m_Counts.m_ObjectWrites;
  const std::string ObjectName(Request.path().substr(ObjectPrefix.size()));
  const bool IsNew = m_Objects.emplace(ObjectName, Request.m_Body).second;
  return jsonReply(IsNew ? 201 : 200, "{}");
}

HttpMessage PlatformServer::getObject(const HttpMessage &Request) {
  ++m_Counts.m_ObjectReads;
  const auto Found =
      m_Objects.find(std::string(Request.path().substr(ObjectPrefix.size())));
  if (Found == m_Objects.end())
    return jsonReply(404, errorJson("no such object"));
  HttpMessage Reply;
  Reply.m_Status = 200;
  Reply.m_Body = Found->second;
  Reply.addHeader("Content-Type", "application/octet-stream");
  return Reply;
}

HttpMessage PlatformServer::listInstances(const HttpMessage &) {
  ++m_Counts.m_ListReads;
  const InstanceList List = m_Fleet.listAt(wallTime() - m_Knobs.m_ListAge);
  Json Instances = Json::array();
  for (const Instance &Listed : List.m_Instances)
    Instances.push_back(instanceJson(Listed));
  return okReply({{"revision", List.m_Revision}, {"instances", Instances}});
}

HttpMessage PlatformServer::requestReboot(const HttpMessage &Request) {
  const std::string Id = pathBetween(Request, RebootPrefix, RebootSuffix);
  if (Id.empty() || m_Fleet.find(Id) == nullptr)
    return jsonReply(404, errorJson("no such instance"));
  const std::string Token = parseBody(Request).value("token", "");
  if (m_Fleet.beginReboot(Id, Token)) {
    ++m_Counts.m_Reboots;
    startLeaving(Id);
  }
  return jsonReply(202, "{}");
}

HttpMessage PlatformServer::setKnobs(const HttpMessage &Request) {
  const Json Body = parseBody(Request);
  PlatformKnobs Knobs = m_Knobs;
  for (const auto &[Name, Value] : Body.items()) {
    if (applyKnob(KnobTable, Knobs, Name, Value))
      continue;
    if (Name == "no_return")
      Knobs.m_StayGone = Value.get<std::set<std::string>>();
    else
      return jsonReply(400, errorJson("no such knob: " + Name));
  }
  m_Knobs = std::move(Knobs);
  return okReply(Json::object());
}

Expected<void> PlatformServer::addInstances(const Json &List) {
  const Json &Entries = List.is_object() ? List.at("instances") : List;
  std::vector<Instance> Parsed;
  for (const Json &Entry : Entries) {
    BOOST_OUTCOME_TRY(Added, parseInstance(Entry));
    Parsed.push_back(std::move(Added));
  }
  for (Instance &Added : Parsed)
    m_Fleet.put(std::move(Added), wallTime());
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

HttpMessage PlatformServer::postInstances(const HttpMessage &Request) {
  const Expected<void> Added = addInstances(parseBody(Request));
  if (!Added)
    return jsonReply(400, errorJson(Added.error().m_Text));
  return okReply(Json::object());
}

HttpMessage PlatformServer::postState(const HttpMessage &Request) {
  const std::string Id = pathBetween(Request, StatePrefix, StateSuffix);
  const std::optional<InstanceState> State =
      parseInstanceState(parseBody(Request).at("state"));
  if (!State)
    return jsonReply(400, errorJson("no such state"));
  if (Id.empty() || !m_Fleet.setState(Id, *State, wallTime()))
    return jsonReply(404, errorJson("no such instance"));
  return okReply(Json::object());
}

HttpMessage PlatformServer::listChanges(const HttpMessage &) {
  Json Changes = Json::array();
  for (const InstanceChange &Change : m_Fleet.history()) {
    Json Entry = instanceJson(Change.m_Instance);
    Entry["time_ms"] = Change.m_Time.count();
    Entry["revision"] = Change.m_Revision;
    Changes.push_back(std::move(Entry));
  }
  return okReply({{"now_ms", wallTime().count()}, {"changes", Changes}});
}

HttpMessage PlatformServer::stats(const HttpMessage &) {
  return okReply({{"calls", m_Counts.m_Calls},
                  {"reads", m_Counts.m_Reads},
                  {"writes", m_Counts.m_Writes},
                  {"transactions", m_Counts.m_Transactions},
                  {"conflicts", m_Counts.m_Conflicts},
                  {"list_reads", m_Counts.m_ListReads},
                  {"object_reads", m_Counts.m_ObjectReads},
                  {"object_writes", m_Counts.m_ObjectWrites},
                  {"reboots", m_Counts.m_Reboots},
                  {"failed", m_Counts.m_Failed},
                  {"lost_replies", m_Counts.m_LostReplies}});
}

} // namespace standin
