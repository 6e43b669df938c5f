//===- Socket.h - Non-blocking TCP sockets ----------------------*- C++ -*-===//
//
// Owned file descriptors and the few socket calls that the peer transport
// needs. Addresses are IP numbers with a port; names are not resolved.
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

/// Listens on "ip:port" without blocking. Errors: InvalidSettings, Unavailable.
/// Thread safe.
Result<FileDescriptor> listenOn(const std::string &Address);

/// Starts to connect to "ip:port"; the socket becomes writable when it is done.
/// Errors: InvalidArgument for the address, ConnectFailed. Thread safe.
Result<FileDescriptor> startConnect(const std::string &Address);

/// Takes one waiting connection; not open if there is none. Errors: Unavailable
/// when descriptors run out. Thread safe.
Result<FileDescriptor> acceptFrom(const FileDescriptor &Listener);

/// The "ip:port" that a socket is bound to; empty if it cannot be told.
std::string boundAddress(const FileDescriptor &Socket);

/// The error that a connect ended with; 0 for success.
int connectError(const FileDescriptor &Socket);

/// The system's text for an errno value. Thread safe.
std::string systemMessage(int ErrorNumber);

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_SOCKET_H
