//===- FleetRows.cpp - Table rows of budgets, moves and waves -------------===//

#include "fleet/FleetRows.h"
#include <array>
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::array<std::string_view, 4> MoveStates = {"waiting", "draining",
                                                        "done", "cancelled"};
constexpr std::array<std::string_view, 5> WaveStates = {
    "running", "paused", "cancelling", "done", "cancelled"};
constexpr std::array<std::string_view, 4> SetKinds = {"pool", "rack",
                                                      "data_centre", "all"};
constexpr std::array<std::string_view, 3> Rules = {"none", "rack",
                                                   "data_centre"};
constexpr std::array<std::string_view, 4> Phases = {"draining", "rebooting",
                                                    "done", "failed"};

template <typename Enum, std::size_t N>
std::string_view nameOf(const std::array<std::string_view, N> &Names,
                        Enum Value) {
  return Names[static_cast<std::size_t>(Value)];
}

/// Returns the enumerator with that name. Throws an nlohmann exception for an
/// unknown name, so that decodeWith() reports it like any other invalid field.
template <typename Enum, std::size_t N>
Enum valueOf(const std::array<std::string_view, N> &Names, const Json &Text) {
  auto Wanted = Text.get<std::string>();
  for (std::size_t I = 0; I < N; ++I)
    if (Names[I] == Wanted)
      return static_cast<Enum>(I);
  throw Json::other_error::create(501, "unknown name " + Wanted, &Text);
}

template <typename Row, typename Reader>
Result<Row> decodeWith(const std::string &Value, const char *Step,
                       Reader Read) {
  try {
    Row Decoded;
    Read(Json::parse(Value), Decoded);
    return Decoded;
  } catch (const nlohmann::json::exception &Exception) {
    return makeError(ErrorCode::InvalidMessage, Step, {}, Exception.what());
  }
}

template <typename Id> Id idAt(const Json &Object, const char *Key) {
  return Id(Object.at(Key).get<std::string>());
}

Json namesOf(const std::vector<InstanceId> &Ids) {
  Json Names = Json::array();
  for (const InstanceId &Id : Ids)
    Names.push_back(Id.m_Text);
  return Names;
}

std::vector<InstanceId> instancesAt(const Json &Object, const char *Key) {
  std::vector<InstanceId> Ids;
  for (const Json &Name : Object.at(Key))
    Ids.emplace_back(Name.get<std::string>());
  return Ids;
}

} // namespace

std::string budgetRowKey(const PoolName &Pool) {
  return PoolRowPrefix + Pool.m_Text + "/budget";
}

std::string moveRowKey(const InstanceId &Instance) {
  return MoveRowPrefix + Instance.m_Text;
}

std::string waveRowKey(const WaveId &Wave) {
  return WaveRowPrefix + Wave.m_Text;
}

std::string waveBatchRowKey(const WaveId &Wave) {
  return WaveBatchRowPrefix + Wave.m_Text;
}

std::string waveMemberRowKey(const WaveId &Wave, const InstanceId &Instance) {
  return WaveMemberRowPrefix + Wave.m_Text + "/" + Instance.m_Text;
}

std::string holderOf(const MoveId &Move) { return "move/" + Move.m_Text; }

std::string holderOf(const WaveId &Wave) { return "wave/" + Wave.m_Text; }

std::string_view moveStateName(MoveState State) {
  return nameOf(MoveStates, State);
}

std::string_view waveStateName(WaveState State) {
  return nameOf(WaveStates, State);
}

std::string_view waveSetKindName(WaveSetKind Kind) {
  return nameOf(SetKinds, Kind);
}

std::string_view domainRuleName(DomainRule Rule) { return nameOf(Rules, Rule); }

std::string_view memberPhaseName(MemberPhase Phase) {
  return nameOf(Phases, Phase);
}

std::string encodeRow(const BudgetRow &Row) {
  Json Units = Json::array();
  for (const BudgetUnit &U : Row.m_Units)
    Units.push_back(
        {{"instance", U.m_Instance.m_Text}, {"holder", U.m_Holder}});
  return Json{{"pool", Row.m_Pool.m_Text}, {"units", Units}}.dump();
}

std::string encodeRow(const MoveRow &Row) {
  return Json{{"id", Row.m_Id.m_Text},
              {"instance", Row.m_Instance.m_Text},
              {"source", Row.m_Source.m_Text},
              {"target", Row.m_Target.m_Text},
              {"state", moveStateName(Row.m_State)},
              {"operator", Row.m_Operator},
              {"reason", Row.m_Reason}}
      .dump();
}

std::string encodeRow(const WaveRow &Row) {
  Json Failed = Json::array();
  for (const FailedMember &F : Row.m_Failed)
    Failed.push_back(
        {{"instance", F.m_Instance.m_Text}, {"reason", F.m_Reason}});
  return Json{{"id", Row.m_Id.m_Text},
              {"set", waveSetKindName(Row.m_Set.m_Kind)},
              {"set_name", Row.m_Set.m_Name},
              {"max_batch", Row.m_MaxBatch},
              {"rule", domainRuleName(Row.m_Rule)},
              {"state", waveStateName(Row.m_State)},
              {"members", namesOf(Row.m_Members)},
              {"operator", Row.m_Operator},
              {"done", Row.m_Done},
              {"failed", Failed}}
      .dump();
}

std::string encodeRow(const WaveMemberRow &Row) {
  return Json{{"wave", Row.m_Wave.m_Text},
              {"instance", Row.m_Instance.m_Text},
              {"phase", memberPhaseName(Row.m_Phase)},
              {"list_epoch", Row.m_ListEpoch},
              {"reboot_token", Row.m_RebootToken},
              {"reason", Row.m_Reason}}
      .dump();
}

std::string encodeRow(const WaveBatchRow &Row) {
  return Json{{"wave", Row.m_Wave.m_Text}, {"held", namesOf(Row.m_Held)}}
      .dump();
}

std::string encodeRow(const RunnerRow &Row) {
  return Json{{"holder", Row.m_Holder.m_Text}, {"beat", Row.m_RenewalCount}}
      .dump();
}

Result<BudgetRow> decodeBudgetRow(const std::string &Value) {
  auto Read = [](const Json &In, BudgetRow &Row) {
    Row.m_Pool = idAt<PoolName>(In, "pool");
    for (const Json &U : In.at("units"))
      Row.m_Units.push_back(
          {idAt<InstanceId>(U, "instance"), U.at("holder").get<std::string>()});
  };
  return decodeWith<BudgetRow>(Value, "read budget row", Read);
}

Result<MoveRow> decodeMoveRow(const std::string &Value) {
  auto Read = [](const Json &In, MoveRow &Row) {
    Row.m_Id = idAt<MoveId>(In, "id");
    Row.m_Instance = idAt<InstanceId>(In, "instance");
    Row.m_Source = idAt<PoolName>(In, "source");
    Row.m_Target = idAt<PoolName>(In, "target");
    Row.m_State = valueOf<MoveState>(MoveStates, In.at("state"));
    Row.m_Operator = In.at("operator").get<std::string>();
    Row.m_Reason = In.at("reason").get<std::string>();
  };
  return decodeWith<MoveRow>(Value, "read move row", Read);
}

Result<WaveRow> decodeWaveRow(const std::string &Value) {
  auto Read = [](const Json &In, WaveRow &Row) {
    Row.m_Id = idAt<WaveId>(In, "id");
    Row.m_Set.m_Kind = valueOf<WaveSetKind>(SetKinds, In.at("set"));
    Row.m_Set.m_Name = In.at("set_name").get<std::string>();
    Row.m_MaxBatch = In.at("max_batch").get<std::uint32_t>();
    Row.m_Rule = valueOf<DomainRule>(Rules, In.at("rule"));
    Row.m_State = valueOf<WaveState>(WaveStates, In.at("state"));
    Row.m_Members = instancesAt(In, "members");
    Row.m_Operator = In.at("operator").get<std::string>();
    Row.m_Done = In.at("done").get<std::uint32_t>();
    for (const Json &F : In.at("failed"))
      Row.m_Failed.push_back(
          {idAt<InstanceId>(F, "instance"), F.at("reason").get<std::string>()});
  };
  return decodeWith<WaveRow>(Value, "read wave row", Read);
}

Result<WaveMemberRow> decodeWaveMemberRow(const std::string &Value) {
  auto Read = [](const Json &In, WaveMemberRow &Row) {
    Row.m_Wave = idAt<WaveId>(In, "wave");
    Row.m_Instance = idAt<InstanceId>(In, "instance");
    Row.m_Phase = valueOf<MemberPhase>(Phases, In.at("phase"));
    Row.m_ListEpoch = In.at("list_epoch").get<std::uint64_t>();
    Row.m_RebootToken = In.at("reboot_token").get<std::string>();
    Row.m_Reason = In.at("reason").get<std::string>();
  };
  return decodeWith<WaveMemberRow>(Value, "read wave member row", Read);
}

Result<WaveBatchRow> decodeWaveBatchRow(const std::string &Value) {
  auto Read = [](const Json &In, WaveBatchRow &Row) {
    Row.m_Wave = idAt<WaveId>(In, "wave");
    Row.m_Held = instancesAt(In, "held");
  };
  return decodeWith<WaveBatchRow>(Value, "read wave batch row", Read);
}

Result<RunnerRow> decodeRunnerRow(const std::string &Value) {
  auto Read = [](const Json &In, RunnerRow &Row) {
    Row.m_Holder = idAt<EntryId>(In, "holder");
    Row.m_RenewalCount = In.at("beat").get<std::uint64_t>();
  };
  return decodeWith<RunnerRow>(Value, "read runner row", Read);
}

} // namespace pollenspool
