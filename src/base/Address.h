//===- Address.h - IPv4 addresses with ports --------------------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_ADDRESS_H
#define POLLENSPOOL_BASE_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>

namespace pollenspool {

/// An IPv4 address in dotted decimal notation and a port.
struct Address {
  std::string m_Host;
  std::uint16_t m_Port = 0;
};

/// Parses "ip:port"; returns std::nullopt if \p Text has another form. Host
/// names are rejected, since settings name peers by IP address only. Thread
/// safe.
std::optional<Address> parseAddress(const std::string &Text);

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_ADDRESS_H
