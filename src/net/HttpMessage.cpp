//===- HttpMessage.cpp - HTTP requests and replies ------------------------===//

#include "net/HttpMessage.h"
#include <algorithm>
#include <cctype>

namespace pollenspool {

namespace {

bool isSameName(std::string_view Left, std::string_view Right) {
  auto EqualIgnoringCase = [](char A, char B) {
    return std::tolower(static_cast<unsigned char>(A)) ==
           std::tolower(static_cast<unsigned char>(B));
  };
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    EqualIgnoringCase);
}

/// Whether a request has to state its length even if it has no body.
bool alwaysHasLength(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "OPTIONS";
}

void appendHeader(std::string &Out, std::string_view Name,
                  std::string_view Value) {
  Out.append(Name).append(": ").append(Value).append("\r\n");
}

} // namespace

std::string_view findHeader(const HttpHeaders &Headers, std::string_view Name) {
  for (const auto &[Key, Value] : Headers)
    if (isSameName(Key, Name))
      return Value;
  return {};
}

std::string serializeRequest(const HttpRequest &Request,
                             std::string_view Peer) {
  constexpr std::size_t UsualHeaderBytes = 256;
  std::string_view OwnHost = findHeader(Request.m_Headers, "Host");
  std::string Out;
  Out.reserve(UsualHeaderBytes + Request.m_Body.size());
  Out.append(Request.m_Method).append(" ").append(Request.m_Target);
  Out.append(" HTTP/1.1\r\n");
  appendHeader(Out, "Host", OwnHost.empty() ? Peer : OwnHost);
  for (const auto &[Name, Value] : Request.m_Headers)
    if (!isSameName(Name, "Host") && !isSameName(Name, "Content-Length"))
      appendHeader(Out, Name, Value);
  if (!Request.m_Body.empty() || alwaysHasLength(Request.m_Method))
    appendHeader(Out, "Content-Length", std::to_string(Request.m_Body.size()));
  return Out.append("\r\n").append(Request.m_Body);
}

} // namespace pollenspool
