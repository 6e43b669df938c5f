//===- Socket.h - Non-blocking TCP sockets ----------------------*- C++ -*-===//
//
// Owned file descriptors and the socket calls that the peer transport needs.
// Addresses are IP addresses with a port; host names are not resolved.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_SOCKET_H
#define POLLENSPOOL_PEER_SOCKET_H

#include "base/Error.h"
#include <string>

namespace pollenspool {

/// Owns one descriptor. Not thread safe.
class FileDescriptor {
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int Value) : m_Value(Value) {}
  FileDescriptor(FileDescriptor &&Other) noexcept : m_Value(Other.release()) {}
  FileDescriptor &operator=(FileDescriptor &&Other) noexcept;
  ~FileDescriptor() { reset(); }

  int get() const { return m_Value; }
  bool isOpen() const { return m_Value >= 0; }
  void reset();

private:
  int release();

  int m_Value = -1;
};

/// Returns a non-blocking listener on "ip:port". Errors: InvalidSettings if
/// \p Address is malformed, Unavailable if it cannot be used. Thread safe.
Result<FileDescriptor> listenOn(const std::string &Address);

/// Starts a connect to "ip:port". The socket becomes writable when the connect
/// completes or fails; see connectError(). Errors: InvalidArgument if
/// \p Address is malformed, ConnectFailed. Thread safe.
Result<FileDescriptor> startConnect(const std::string &Address);

/// Accepts one pending connection; the result is not open if there is none.
/// Errors: Unavailable if descriptors or memory run out. Thread safe.
Result<FileDescriptor> acceptFrom(const FileDescriptor &Listener);

/// Returns the "ip:port" that a socket is bound to; empty on failure.
std::string boundAddress(const FileDescriptor &Socket);

/// Returns the errno value that a connect ended with; 0 for success.
int connectError(const FileDescriptor &Socket);

/// Returns the system's message for an errno value. Thread safe.
std::string systemMessage(int ErrorNumber);

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_SOCKET_H
