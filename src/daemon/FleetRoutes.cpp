//===- FleetRoutes.cpp - Handlers of calls for moves and waves ------------===//

#include "daemon/DaemonImpl.h"
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::uint32_t DefaultBatch = 4;

/// A posted JSON object. Members that are absent or of another type get
/// defaults.
class JsonBody {
public:
  explicit JsonBody(const std::string &Body)
      : m_Json(nlohmann::json::parse(Body, nullptr, false)) {}

  std::string text(const char *Key) const {
    if (!m_Json.is_object() || !m_Json.contains(Key) ||
        !m_Json[Key].is_string())
      return {};
    return m_Json[Key].get<std::string>();
  }

  std::uint32_t count(const char *Key, std::uint32_t Default) const {
    if (!m_Json.is_object() || !m_Json.contains(Key) ||
        !m_Json[Key].is_number_unsigned())
      return Default;
    return m_Json[Key].get<std::uint32_t>();
  }

private:
  nlohmann::json m_Json;
};

AdminReply idReply(const std::string &Id) {
  Json Out;
  Out["id"] = Id;
  return AdminReply{200, Out.dump(), "application/json"};
}

AdminReply replyOf(const Result<void> &Done, const std::string &Id) {
  return Done ? idReply(Id) : adminError(Done.error());
}

Result<WaveSet> readWaveSet(const JsonBody &Order) {
  for (WaveSetKind Kind : {WaveSetKind::Pool, WaveSetKind::Rack,
                           WaveSetKind::DataCentre, WaveSetKind::All})
    if (waveSetKindName(Kind) == Order.text("set"))
      return WaveSet{Kind, Order.text("name")};
  return makeError(ErrorCode::InvalidArgument, "read wave order", {},
                   "set: expected pool, rack, data_centre or all");
}

Result<DomainRule> readRule(const JsonBody &Order) {
  std::string Text = Order.text("rule");
  if (Text.empty())
    return DomainRule::None;
  for (DomainRule Rule :
       {DomainRule::None, DomainRule::Rack, DomainRule::DataCentre})
    if (domainRuleName(Rule) == Text)
      return Rule;
  return makeError(ErrorCode::InvalidArgument, "read wave order", {},
                   "rule: expected none, rack or data_centre");
}

Json moveJson(const MoveStatus &Move) {
  Json Out;
  Out["id"] = Move.m_Move.m_Id.m_Text;
  Out["instance"] = Move.m_Move.m_Instance.m_Text;
  Out["from"] = Move.m_Move.m_Source.m_Text;
  Out["to"] = Move.m_Move.m_Target.m_Text;
  Out["state"] = moveStateName(Move.m_Move.m_State);
  Out["waits"] = Move.m_PendingReason;
  return Out;
}

Json waveJson(const WaveStatus &Wave) {
  Json Out;
  Out["id"] = Wave.m_Id.m_Text;
  Out["state"] = waveStateName(Wave.m_State);
  Out["pending"] = Wave.m_Pending;
  Out["draining"] = Wave.m_Draining;
  Out["rebooting"] = Wave.m_Rebooting;
  Out["done"] = Wave.m_Done;
  Out["failed"] = Wave.m_Failed;
  Out["waits"] = Wave.m_PendingReason;
  return Out;
}

} // namespace

AdminReply Daemon::Impl::startMove(const AdminCall &Call) {
  JsonBody In(Call.m_Body);
  MoveOrder Order;
  Order.m_Id = MoveId(nextToken());
  Order.m_Source = PoolName(In.text("from"));
  Order.m_Target = PoolName(In.text("to"));
  Order.m_Instance = InstanceId(In.text("instance"));
  Order.m_Count = In.count("count", 1);
  Order.m_Operator = In.text("author");
  return replyOf(m_Fleet->startMove(Order), Order.m_Id.m_Text);
}

AdminReply Daemon::Impl::cancelMove(const AdminCall &Call) {
  JsonBody In(Call.m_Body);
  std::string Instance = In.text("instance");
  return replyOf(
      m_Fleet->cancelMove(InstanceId(Instance), "by " + In.text("author")),
      Instance);
}

AdminReply Daemon::Impl::startWave(const AdminCall &Call) {
  JsonBody In(Call.m_Body);
  auto Set = readWaveSet(In);
  if (!Set)
    return adminError(Set.error());
  auto Rule = readRule(In);
  if (!Rule)
    return adminError(Rule.error());
  WaveOrder Order;
  Order.m_Id = WaveId(In.text("id").empty() ? nextToken() : In.text("id"));
  Order.m_Set = Set.value();
  Order.m_MaxBatch = In.count("batch", DefaultBatch);
  Order.m_Rule = Rule.value();
  Order.m_Operator = In.text("author");
  return replyOf(m_Fleet->startWave(Order), Order.m_Id.m_Text);
}

AdminReply Daemon::Impl::pauseWave(const AdminCall &Call) {
  std::string Id = JsonBody(Call.m_Body).text("id");
  return replyOf(m_Fleet->pauseWave(WaveId(Id)), Id);
}

AdminReply Daemon::Impl::resumeWave(const AdminCall &Call) {
  std::string Id = JsonBody(Call.m_Body).text("id");
  return replyOf(m_Fleet->resumeWave(WaveId(Id)), Id);
}

AdminReply Daemon::Impl::cancelWave(const AdminCall &Call) {
  std::string Id = JsonBody(Call.m_Body).text("id");
  return replyOf(m_Fleet->cancelWave(WaveId(Id)), Id);
}

AdminReply Daemon::Impl::serveFleet(const AdminCall &) {
  FleetStatus Status = m_Fleet->status();
  Json Out;
  Out["runner"] = Status.m_Runner.m_Text;
  Out["is_runner"] = Status.m_IsRunner;
  Out["waiting_drains"] = Status.m_PendingDrains;
  Out["moves"] = Json::array();
  for (const MoveStatus &Move : Status.m_Moves)
    Out["moves"].push_back(moveJson(Move));
  Out["waves"] = Json::array();
  for (const WaveStatus &Wave : Status.m_Waves)
    Out["waves"].push_back(waveJson(Wave));
  return AdminReply{200, Out.dump(), "application/json"};
}

AdminReply Daemon::Impl::explain(const AdminCall &Call) {
  std::string Id = JsonBody(Call.m_Body).text("instance");
  Json Out;
  Out["instance"] = Id;
  Out["explanation"] = m_Fleet->explain(InstanceId(Id));
  return AdminReply{200, Out.dump(), "application/json"};
}

} // namespace pollenspool
