//===- PlatformJson.cpp - JSON messages of the platform's calls -----------===//

#include "platform/PlatformJson.h"
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

using Json = nlohmann::json;

Result<std::string> dump(const Json &Value, const char *Step) {
  try {
    return Value.dump();
  } catch (const Json::exception &Bad) {
    return makeError(ErrorCode::InvalidArgument, Step, {}, Bad.what());
  }
}

/// Runs \p Decode on the parsed body; each JSON error becomes InvalidMessage.
template <typename T, typename Decoder>
Result<T> decode(const std::string &Body, const char *Step, Decoder Decode) {
  try {
    return Decode(Json::parse(Body));
  } catch (const Json::exception &Bad) {
    return makeError(ErrorCode::InvalidMessage, Step, {}, Bad.what());
  }
}

Row rowFrom(const Json &Value) {
  Row R;
  R.m_Key = Value.at("key").get<std::string>();
  R.m_Value = Value.value("value", std::string());
  R.m_Revision = Value.at("revision").get<Revision>();
  R.m_Deleted = Value.value("deleted", false);
  return R;
}

std::vector<Row> rowsFrom(const Json &Values) {
  std::vector<Row> Rows;
  for (const Json &Value : Values)
    Rows.push_back(rowFrom(Value));
  return Rows;
}

InstanceKind kindFrom(const std::string &Name) {
  return Name == "entry" ? InstanceKind::Entry : InstanceKind::Backend;
}

/// An unknown state is treated as leaving: the instance gets no new requests,
/// but is not considered gone.
InstanceState stateFrom(const std::string &Name) {
  if (Name == "live")
    return InstanceState::Live;
  return Name == "gone" ? InstanceState::Gone : InstanceState::Leaving;
}

ListedInstance instanceFrom(const Json &Value) {
  ListedInstance I;
  I.m_Id = InstanceId(Value.at("id").get<std::string>());
  I.m_Kind = kindFrom(Value.at("kind").get<std::string>());
  I.m_DataCentre = DataCentreName(Value.at("data_centre").get<std::string>());
  I.m_Rack = RackName(Value.value("rack", std::string()));
  I.m_Address = Value.at("address").get<std::string>();
  I.m_State = stateFrom(Value.at("state").get<std::string>());
  I.m_Epoch = Value.at("epoch").get<std::uint64_t>();
  return I;
}

} // namespace

Result<std::string> encodeTransaction(const Transaction &Txn) {
  Json Body;
  if (!Txn.m_Token.empty())
    Body["token"] = Txn.m_Token;
  Body["checks"] = Json::array();
  for (const RowCheck &Check : Txn.m_Checks)
    Body["checks"].push_back(
        {{"key", Check.m_Key}, {"revision", Check.m_Revision}});
  Body["writes"] = Json::array();
  for (const RowWrite &Write : Txn.m_Writes) {
    Json Line = {{"key", Write.m_Key}};
    if (Write.m_Delete)
      Line["delete"] = true;
    else
      Line["value"] = Write.m_Value;
    Body["writes"].push_back(std::move(Line));
  }
  return dump(Body, "encode transaction");
}

Result<std::string> encodeRead(const std::vector<std::string> &Keys) {
  return dump(Json{{"keys", Keys}}, "encode read");
}

std::string encodeReboot(const std::string &Token) {
  return Json{{"token", Token}}.dump();
}

Result<CommitResult> decodeCommit(const std::string &Body) {
  return decode<CommitResult>(Body, "read commit", [](const Json &Value) {
    CommitResult R;
    R.m_Revision = Value.at("revision").get<Revision>();
    return R;
  });
}

Result<CommitResult> decodeConflicts(const std::string &Body) {
  return decode<CommitResult>(Body, "read conflicts", [](const Json &Value) {
    CommitResult R;
    R.m_Conflicts = rowsFrom(Value.at("conflicts"));
    return R;
  });
}

Result<RowSet> decodeRows(const std::string &Body) {
  return decode<RowSet>(Body, "read rows", [](const Json &Value) {
    RowSet R;
    R.m_Revision = Value.at("revision").get<Revision>();
    R.m_Rows = rowsFrom(Value.at("rows"));
    return R;
  });
}

Result<std::vector<ListedInstance>> decodeInstances(const std::string &Body) {
  return decode<std::vector<ListedInstance>>(
      Body, "read instances", [](const Json &Value) {
        std::vector<ListedInstance> List;
        for (const Json &Line : Value.at("instances"))
          List.push_back(instanceFrom(Line));
        return List;
      });
}

} // namespace pollenspool
