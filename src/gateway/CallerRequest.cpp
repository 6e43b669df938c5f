//===- CallerRequest.cpp - A caller's HTTP request ------------------------===//

#include "gateway/CallerRequest.h"
#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <strings.h>

namespace pollenspool {

namespace {

constexpr std::uint32_t MaxTimeoutMs = 600000;
constexpr std::uint32_t MaxAttempt = 1000000;
constexpr std::size_t MaxIdempotencyKeyBytes = 128;

constexpr std::array<const char *, 14> HopByHopNames = {
    "connection",  "keep-alive",  "proxy-authenticate",
    "te",          "trailer",     "transfer-encoding",
    "upgrade",     "host",        "proxy-authorization",
    "remote_addr", "remote_port", "content-length",
    "local_addr",  "local_port"};

std::optional<std::uint32_t> readNumber(const std::string &Text,
                                        std::uint32_t Max) {
  std::uint32_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Fault] = std::from_chars(Text.data(), End, Value);
  if (Fault != std::errc() || Stop != End || Value > Max)
    return std::nullopt;
  return Value;
}

Error badHeader(const char *HeaderName, const char *Expected) {
  return makeError(ErrorCode::InvalidArgument, "read request headers", {},
                   std::string(HeaderName) + ": expected " + Expected);
}

bool isVisible(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](unsigned char C) { return C > ' ' && C < 127; });
}

Result<void> readIdempotencyKey(const RawRequest &Raw, CallerRequest &Out) {
  const std::string *Key = findHeader(Raw.m_Headers, headers::IdempotencyKey);
  if (!Key)
    return success();
  if (Key->empty() || Key->size() > MaxIdempotencyKeyBytes || !isVisible(*Key))
    return badHeader(headers::IdempotencyKey,
                     "1 to 128 visible ASCII characters");
  Out.m_Info.m_Id = RequestId(*Key);
  Out.m_Info.m_HasIdempotencyKey = true;
  return success();
}

Result<void> readAttempt(const RawRequest &Raw, CallerRequest &Out) {
  const std::string *Text = findHeader(Raw.m_Headers, headers::Attempt);
  if (!Text)
    return success();
  auto Value = readNumber(*Text, MaxAttempt);
  if (!Value || *Value == 0)
    return badHeader(headers::Attempt, "a whole number from 1");
  Out.m_Info.m_Attempt = *Value;
  return success();
}

Result<void> readTimeout(const RawRequest &Raw, CallerRequest &Out) {
  const std::string *Text = findHeader(Raw.m_Headers, headers::TimeoutMs);
  if (!Text)
    return success();
  auto Value = readNumber(*Text, MaxTimeoutMs);
  if (!Value || *Value == 0)
    return badHeader(headers::TimeoutMs, "1 to 600000");
  Out.m_Timeout = std::chrono::milliseconds(*Value);
  return success();
}

Result<void> readClass(const RawRequest &Raw, CallerRequest &Out) {
  const std::string *Text = findHeader(Raw.m_Headers, headers::Class);
  if (!Text)
    return success();
  for (std::size_t I = 0; I < UrgencyClassCount; ++I) {
    auto Class = static_cast<UrgencyClass>(I);
    if (urgencyClassName(Class) != *Text)
      continue;
    Out.m_Info.m_Class = Class;
    Out.m_ClassGiven = true;
    return success();
  }
  return badHeader(headers::Class, "urgent, normal or nightly");
}

Result<void> readRepeatable(const RawRequest &Raw, CallerRequest &Out) {
  const std::string *Text = findHeader(Raw.m_Headers, headers::Repeatable);
  if (!Text) {
    Out.m_Info.m_Repeatable = Raw.m_Method == "GET" || Raw.m_Method == "HEAD" ||
                              Raw.m_Method == "OPTIONS";
    return success();
  }
  if (*Text != "true" && *Text != "false")
    return badHeader(headers::Repeatable, "true or false");
  Out.m_Info.m_Repeatable = *Text == "true";
  return success();
}

Result<void> readTeam(const RawRequest &Raw, CallerRequest &Out) {
  if (const std::string *Text = findHeader(Raw.m_Headers, headers::Team))
    Out.m_Info.m_Team = TeamName(*Text);
  return success();
}

using HeaderReader = Result<void> (*)(const RawRequest &, CallerRequest &);
constexpr std::array<HeaderReader, 6> HeaderReaders = {
    readIdempotencyKey, readAttempt,    readTimeout,
    readClass,          readRepeatable, readTeam};

} // namespace

bool sameHeader(const std::string &A, const std::string &B) {
  return strcasecmp(A.c_str(), B.c_str()) == 0;
}

bool isHopByHop(const std::string &HeaderName) {
  return std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                     [&](const char *Known) {
                       return strcasecmp(HeaderName.c_str(), Known) == 0;
                     });
}

const std::string *findHeader(const std::vector<Header> &All,
                              const std::string &HeaderName) {
  for (const Header &H : All)
    if (sameHeader(H.m_Name, HeaderName))
      return &H.m_Value;
  return nullptr;
}

Result<CallerRequest> readCallerRequest(RawRequest Raw, RequestId GeneratedId) {
  CallerRequest Out;
  Out.m_Info.m_Id = std::move(GeneratedId);
  for (HeaderReader Read : HeaderReaders) {
    BOOST_OUTCOME_TRYV(Read(Raw, Out));
  }
  Out.m_Info.m_Service = ServiceName(std::move(Raw.m_Service));
  Out.m_Method = std::move(Raw.m_Method);
  Out.m_Target = Raw.m_Target.empty() ? "/" : std::move(Raw.m_Target);
  for (Header &H : Raw.m_Headers)
    if (!isHopByHop(H.m_Name))
      Out.m_Headers.push_back(std::move(H));
  Out.m_Body = std::move(Raw.m_Body);
  return Out;
}

} // namespace pollenspool
