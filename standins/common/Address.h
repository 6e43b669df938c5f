//===- Address.h - IPv4 addresses and sockets -------------------*- C++ -*-===//
//
// Addresses in the form "127.0.0.1:8080" and the sockets made from them. All
// sockets are non-blocking and closed on exec.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_COMMON_ADDRESS_H
#define STANDIN_COMMON_ADDRESS_H

#include "common/Expected.h"
#include <cstdint>
#include <string>

namespace standin {

/// An IPv4 address and a port.
struct Address {
  std::string m_Ip;
  std::uint16_t m_Port = 0;

  /// "IP:PORT". Thread safe.
  std::string text() const;
  /// Parses "IP:PORT". Thread safe.
  static Expected<Address> parse(const std::string &Text);
};

/// A TCP socket bound to \p Where but not listening, so that connecting to it
/// is refused while the port stays taken.
Expected<int> bindSocket(const Address &Where);

/// A listening TCP socket at \p Where. Fails if another process listens there.
Expected<int> listenSocket(const Address &Where);

/// A TCP socket that is being connected to \p Where.
Expected<int> connectSocket(const Address &Where);

/// The address that \p Socket is bound to.
Address localAddress(int Socket);

} // namespace standin

#endif // STANDIN_COMMON_ADDRESS_H
