//===- Address.cpp - IPv4 addresses with ports ----------------------------===//

#include "base/Address.h"
#include <arpa/inet.h>
#include <charconv>

namespace pollenspool {

std::optional<Address> parseAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  Address Out;
  Out.m_Host = Text.substr(0, Colon);
  in_addr Binary{};
  if (inet_pton(AF_INET, Out.m_Host.c_str(), &Binary) != 1)
    return std::nullopt;
  const char *End = Text.data() + Text.size();
  auto [Stop, Fault] =
      std::from_chars(Text.data() + Colon + 1, End, Out.m_Port);
  if (Fault != std::errc() || Stop != End)
    return std::nullopt;
  return Out;
}

} // namespace pollenspool
