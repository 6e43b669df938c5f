//===- Address.h - IP addresses with ports ----------------------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_ADDRESS_H
#define POLLENSPOOL_BASE_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>

namespace pollenspool {

/// An IPv4 address in dotted form and a port.
struct Address {
  std::string m_Host;
  std::uint16_t m_Port = 0;
};

/// Reads "ip:port"; nothing if \p Text is anything else. Names are refused,
/// since peers are IP numbers from settings. Thread safe.
std::optional<Address> parseAddress(const std::string &Text);

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_ADDRESS_H
