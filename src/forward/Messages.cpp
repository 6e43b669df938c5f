//===- Messages.cpp - Messages of forwarded requests ----------------------===//

#include "forward/Messages.h"
#include "base/Pack.h"

namespace pollenspool {

namespace {

struct WireHeader {
  std::string m_Name;
  std::string m_Value;
  MSGPACK_DEFINE(m_Name, m_Value)
};

struct WireRequest {
  std::string m_Id;
  std::string m_Service;
  std::string m_Team;
  std::uint8_t m_Class = 0;
  bool m_Repeatable = false;
  bool m_HasIdempotencyKey = false;
  std::uint32_t m_Attempt = 0;
  std::int64_t m_RemainingUs = 0;
  std::string m_Method;
  std::string m_Target;
  std::vector<WireHeader> m_Headers;
  std::string m_Body;
  MSGPACK_DEFINE(m_Id, m_Service, m_Team, m_Class, m_Repeatable,
                 m_HasIdempotencyKey, m_Attempt, m_RemainingUs, m_Method,
                 m_Target, m_Headers, m_Body)
};

struct WireOutcome {
  std::uint8_t m_Kind = 0;
  std::uint8_t m_Reason = 0;
  std::int32_t m_Status = 0;
  std::vector<WireHeader> m_Headers;
  std::string m_Body;
  std::int64_t m_RetryAfterMs = 0;
  std::string m_Instance;
  MSGPACK_DEFINE(m_Kind, m_Reason, m_Status, m_Headers, m_Body, m_RetryAfterMs,
                 m_Instance)
};

std::vector<WireHeader> toWire(const std::vector<Header> &All) {
  std::vector<WireHeader> Out;
  for (const Header &H : All)
    Out.push_back(WireHeader{H.m_Name, H.m_Value});
  return Out;
}

std::vector<Header> fromWire(std::vector<WireHeader> &&All) {
  std::vector<Header> Out;
  for (WireHeader &H : All)
    Out.push_back(Header{std::move(H.m_Name), std::move(H.m_Value)});
  return Out;
}

} // namespace

std::string encodeRequest(const CallerRequest &Request, Duration Remaining) {
  const RequestInfo &Info = Request.m_Info;
  WireRequest Wire;
  Wire.m_Id = Info.m_Id.m_Text;
  Wire.m_Service = Info.m_Service.m_Text;
  Wire.m_Team = Info.m_Team.m_Text;
  Wire.m_Class = static_cast<std::uint8_t>(Info.m_Class);
  Wire.m_Repeatable = Info.m_Repeatable;
  Wire.m_HasIdempotencyKey = Info.m_HasIdempotencyKey;
  Wire.m_Attempt = Info.m_Attempt;
  Wire.m_RemainingUs = Remaining.count();
  Wire.m_Method = Request.m_Method;
  Wire.m_Target = Request.m_Target;
  Wire.m_Headers = toWire(Request.m_Headers);
  Wire.m_Body = Request.m_Body;
  return encodeMsgpack(Wire);
}

Result<CallerRequest> decodeRequest(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(
      Wire, decodeMsgpack<WireRequest>(Bytes, "read forwarded request"));
  if (Wire.m_Class >= UrgencyClassCount)
    return makeError(ErrorCode::InvalidMessage, "read forwarded request", {},
                     "unknown class");
  CallerRequest Out;
  Out.m_Info.m_Id = RequestId(std::move(Wire.m_Id));
  Out.m_Info.m_Service = ServiceName(std::move(Wire.m_Service));
  Out.m_Info.m_Team = TeamName(std::move(Wire.m_Team));
  Out.m_Info.m_Class = static_cast<UrgencyClass>(Wire.m_Class);
  Out.m_Info.m_Repeatable = Wire.m_Repeatable;
  Out.m_Info.m_HasIdempotencyKey = Wire.m_HasIdempotencyKey;
  Out.m_Info.m_Attempt = Wire.m_Attempt;
  Out.m_Info.m_Forwarded = true;
  Out.m_Method = std::move(Wire.m_Method);
  Out.m_Target = std::move(Wire.m_Target);
  Out.m_Headers = fromWire(std::move(Wire.m_Headers));
  Out.m_Body = std::move(Wire.m_Body);
  Out.m_Timeout = std::chrono::ceil<std::chrono::milliseconds>(
      Duration(std::max<std::int64_t>(Wire.m_RemainingUs, 1)));
  Out.m_ClassGiven = true;
  return Out;
}

std::string encodeOutcome(const Outcome &Final) {
  WireOutcome Wire;
  Wire.m_Kind = static_cast<std::uint8_t>(Final.m_Kind);
  Wire.m_Reason = static_cast<std::uint8_t>(Final.m_Reason);
  Wire.m_Status = Final.m_Answer.m_Status;
  Wire.m_Headers = toWire(Final.m_Answer.m_Headers);
  Wire.m_Body = Final.m_Answer.m_Body;
  Wire.m_RetryAfterMs = Final.m_RetryAfter.count();
  Wire.m_Instance = Final.m_Instance.m_Text;
  return encodeMsgpack(Wire);
}

Result<Outcome> decodeOutcome(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(
      Wire, decodeMsgpack<WireOutcome>(Bytes, "read forwarded outcome"));
  if (Wire.m_Kind > static_cast<std::uint8_t>(OutcomeKind::Unknown) ||
      Wire.m_Reason >= ReasonCount)
    return makeError(ErrorCode::InvalidMessage, "read forwarded outcome", {},
                     "unknown kind or reason");
  Outcome Final;
  Final.m_Kind = static_cast<OutcomeKind>(Wire.m_Kind);
  Final.m_Reason = static_cast<Reason>(Wire.m_Reason);
  Final.m_Answer.m_Status = Wire.m_Status;
  Final.m_Answer.m_Headers = fromWire(std::move(Wire.m_Headers));
  Final.m_Answer.m_Body = std::move(Wire.m_Body);
  Final.m_RetryAfter = std::chrono::milliseconds(Wire.m_RetryAfterMs);
  Final.m_Instance = InstanceId(std::move(Wire.m_Instance));
  return Final;
}

std::string encodeIds(const std::vector<RequestId> &Ids) {
  std::vector<std::string> Wire;
  for (const RequestId &Id : Ids)
    Wire.push_back(Id.m_Text);
  return encodeMsgpack(Wire);
}

Result<std::vector<RequestId>> decodeIds(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Wire, decodeMsgpack<std::vector<std::string>>(
                              Bytes, "read cancelled IDs"));
  std::vector<RequestId> Ids;
  for (std::string &Id : Wire)
    Ids.emplace_back(std::move(Id));
  return Ids;
}

} // namespace pollenspool
