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

  /// Formats the address as "IP:PORT". Thread safe.
  std::string text() const;
  /// Parses "IP:PORT"; host names are not accepted. Thread safe.
  static Expected<Address> parse(const std::string &Text);
};

/// Creates a TCP socket that is bound to \p Where but does not listen:
/// connections are refused while the port stays reserved.
Expected<int> bindSocket(const Address &Where);

/// Creates a listening TCP socket at \p Where. Fails if another process listens
/// there.
Expected<int> listenSocket(const Address &Where);

/// Creates a TCP socket and starts to connect it to \p Where. The socket
/// becomes writable when the connection is made or has failed.
Expected<int> connectSocket(const Address &Where);

/// Returns the local address that \p Socket is bound to.
Address localAddress(int Socket);

} // namespace standin

#endif // STANDIN_COMMON_ADDRESS_H
