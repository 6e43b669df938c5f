//===- ClaimRow.cpp - Table rows of claims and their owners ---------------===//

#include "claims/ClaimRow.h"
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char *ClaimRowPrefix = "claim/";
constexpr const char *OwnerRowPrefix = "owner/";
constexpr const char *HexDigits = "0123456789abcdef";
constexpr std::size_t HexBase = 16;

bool isPlain(unsigned char C) { return C > ' ' && C < 0x7f && C != '%'; }

std::string percentEncoded(const std::string &Text) {
  std::string Out;
  for (unsigned char C : Text) {
    if (isPlain(C)) {
      Out += static_cast<char>(C);
      continue;
    }
    Out += '%';
    Out += HexDigits[C / HexBase];
    Out += HexDigits[C % HexBase];
  }
  return Out;
}

/// Headers and bodies may hold any bytes, which JSON strings cannot, so that
/// they are stored as hexadecimal digits.
std::string hex(const std::string &Bytes) {
  std::string Out;
  Out.reserve(2 * Bytes.size());
  for (unsigned char C : Bytes) {
    Out += HexDigits[C / HexBase];
    Out += HexDigits[C % HexBase];
  }
  return Out;
}

unsigned digit(char C) {
  if (C >= '0' && C <= '9')
    return static_cast<unsigned>(C - '0');
  if (C >= 'a' && C <= 'f')
    return static_cast<unsigned>(C - 'a' + 10);
  throw std::invalid_argument("not a hexadecimal digit");
}

std::string unhex(const std::string &Text) {
  if (Text.size() % 2 != 0)
    throw std::invalid_argument("odd number of hexadecimal digits");
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); I += 2)
    Out += static_cast<char>(digit(Text[I]) * HexBase + digit(Text[I + 1]));
  return Out;
}

Json jsonOf(const Answer &A) {
  Json Headers = Json::array();
  for (const Header &H : A.m_Headers)
    Headers.push_back({hex(H.m_Name), hex(H.m_Value)});
  return {
      {"status", A.m_Status}, {"headers", Headers}, {"body", hex(A.m_Body)}};
}

Answer answerFrom(const Json &Value) {
  Answer A;
  A.m_Status = Value.at("status").get<int>();
  for (const Json &Line : Value.at("headers"))
    A.m_Headers.push_back({unhex(Line.at(0).get<std::string>()),
                           unhex(Line.at(1).get<std::string>())});
  A.m_Body = unhex(Value.at("body").get<std::string>());
  return A;
}

template <typename T, typename Decoder>
Result<T> decode(const std::string &Value, const char *Step, Decoder Decode) {
  try {
    return Decode(Json::parse(Value));
  } catch (const std::exception &Bad) {
    return makeError(ErrorCode::InvalidMessage, Step, {}, Bad.what());
  }
}

} // namespace

std::string claimRowKey(const RequestId &Key) {
  return ClaimRowPrefix + percentEncoded(Key.m_Text);
}

std::string ownerRowKey(const EntryId &Owner) {
  return OwnerRowPrefix + percentEncoded(Owner.m_Text);
}

std::string encodeClaimRow(const ClaimRow &Row) {
  Json Value = {{"token", Row.m_Token.m_Text}, {"completed", Row.m_Completed}};
  if (Row.m_Answer)
    Value["answer"] = jsonOf(*Row.m_Answer);
  return Value.dump();
}

Result<ClaimRow> decodeClaimRow(const std::string &Value) {
  return decode<ClaimRow>(Value, "read claim row", [](const Json &J) {
    ClaimRow Row;
    Row.m_Token = ClaimToken(J.at("token").get<std::string>());
    Row.m_Completed = J.at("completed").get<bool>();
    if (J.contains("answer"))
      Row.m_Answer = answerFrom(J.at("answer"));
    return Row;
  });
}

std::string encodeOwnerRow(const OwnerRow &Row) {
  return Json{{"incarnation", Row.m_Incarnation},
              {"nonce", Row.m_Nonce},
              {"memory", Row.m_Mode == OwnerMode::MemoryAllowed},
              {"synced_up_to", Row.m_SyncedUpTo}}
      .dump();
}

Result<OwnerRow> decodeOwnerRow(const std::string &Value) {
  return decode<OwnerRow>(Value, "read owner row", [](const Json &J) {
    OwnerRow Row;
    Row.m_Incarnation = J.at("incarnation").get<std::uint64_t>();
    Row.m_Nonce = J.at("nonce").get<std::uint64_t>();
    Row.m_Mode = J.at("memory").get<bool>() ? OwnerMode::MemoryAllowed
                                            : OwnerMode::TableOnly;
    Row.m_SyncedUpTo = J.at("synced_up_to").get<Revision>();
    return Row;
  });
}

bool isRecordable(const Answer &A) {
  std::size_t Bytes = A.m_Body.size();
  for (const Header &H : A.m_Headers)
    Bytes += H.m_Name.size() + H.m_Value.size();
  return Bytes <= MaxRecordedBytes;
}

} // namespace pollenspool
