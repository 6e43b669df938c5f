//===- InstanceRow.cpp - The table row of one instance --------------------===//

#include "fleet/InstanceRow.h"
#include <array>
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

constexpr std::array<std::string_view, 3> StateNames = {"serving", "draining",
                                                        "away"};

} // namespace

std::string_view servingStateName(ServingState State) {
  return StateNames[static_cast<std::size_t>(State)];
}

std::string instanceRowKey(const InstanceId &Id) {
  return InstanceRowPrefix + Id.m_Text;
}

std::string encodeInstanceRow(const InstanceRow &Row) {
  nlohmann::ordered_json Json;
  Json["id"] = Row.m_Id.m_Text;
  Json["pool"] = Row.m_Pool.m_Text;
  Json["state"] = servingStateName(Row.m_State);
  Json["epoch"] = Row.m_Epoch;
  Json["holder"] = Row.m_Holder;
  return Json.dump();
}

Result<InstanceRow> decodeInstanceRow(const std::string &Value) {
  auto Json = nlohmann::json::parse(Value, nullptr, false);
  auto Fail = [](const char *What) {
    return makeError(ErrorCode::InvalidMessage, "read instance row", {}, What);
  };
  if (!Json.is_object())
    return Fail("the value is not a JSON object");
  InstanceRow Row;
  try {
    Row.m_Id = InstanceId(Json.at("id").get<std::string>());
    Row.m_Pool = PoolName(Json.at("pool").get<std::string>());
    Row.m_Epoch = Json.at("epoch").get<std::uint64_t>();
    Row.m_Holder = Json.at("holder").get<std::string>();
    auto State = Json.at("state").get<std::string>();
    for (std::size_t I = 0; I < StateNames.size(); ++I) {
      if (StateNames[I] != State)
        continue;
      Row.m_State = static_cast<ServingState>(I);
      return Row;
    }
  } catch (const nlohmann::json::exception &Exception) {
    return Fail(Exception.what());
  }
  return Fail("the state is unknown");
}

} // namespace pollenspool
