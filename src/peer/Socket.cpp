//===- Socket.cpp - Non-blocking TCP sockets ------------------------------===//

#include "peer/Socket.h"
#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>
#include <utility>

namespace pollenspool {

namespace {

constexpr int ListenBacklog = 512;

struct SocketAddress {
  sockaddr_storage m_Storage{};
  socklen_t m_Length = 0;

  const sockaddr *get() const {
    return reinterpret_cast<const sockaddr *>(&m_Storage);
  }
};

std::optional<std::uint16_t> parsePort(const std::string &Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Failure] = std::from_chars(Text.data(), End, Port);
  if (Failure != std::errc() || Stop != End || Text.empty())
    return std::nullopt;
  return Port;
}

std::string stripBrackets(const std::string &Host) {
  bool IsBracketed =
      Host.size() > 2 && Host.front() == '[' && Host.back() == ']';
  return IsBracketed ? Host.substr(1, Host.size() - 2) : Host;
}

std::optional<SocketAddress> parseAddress(const std::string &Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::optional<std::uint16_t> Port = parsePort(Text.substr(Colon + 1));
  if (!Port)
    return std::nullopt;
  std::string Host = stripBrackets(Text.substr(0, Colon));
  SocketAddress Address;
  auto *V4 = reinterpret_cast<sockaddr_in *>(&Address.m_Storage);
  if (inet_pton(AF_INET, Host.c_str(), &V4->sin_addr) == 1) {
    V4->sin_family = AF_INET;
    V4->sin_port = htons(*Port);
    Address.m_Length = sizeof(sockaddr_in);
    return Address;
  }
  auto *V6 = reinterpret_cast<sockaddr_in6 *>(&Address.m_Storage);
  if (inet_pton(AF_INET6, Host.c_str(), &V6->sin6_addr) == 1) {
    V6->sin6_family = AF_INET6;
    V6->sin6_port = htons(*Port);
    Address.m_Length = sizeof(sockaddr_in6);
    return Address;
  }
  return std::nullopt;
}

FileDescriptor openSocket(int Family) {
  return FileDescriptor(
      ::socket(Family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// Calls are short and wait for their answers; Nagle's algorithm would delay
// them.
void disableNagle(int Socket) {
  int On = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

FileDescriptor &FileDescriptor::operator=(FileDescriptor &&Other) noexcept {
  if (this != &Other) {
    reset();
    m_Value = Other.release();
  }
  return *this;
}

void FileDescriptor::reset() {
  if (m_Value >= 0)
    ::close(m_Value);
  m_Value = -1;
}

int FileDescriptor::release() { return std::exchange(m_Value, -1); }

std::string systemMessage(int ErrorNumber) {
  return std::system_category().message(ErrorNumber);
}

Result<FileDescriptor> listenOn(const std::string &Address) {
  constexpr const char *Step = "listen for peers";
  std::optional<SocketAddress> Where = parseAddress(Address);
  if (!Where)
    return makeError(ErrorCode::InvalidSettings, Step, Address,
                     "not an ip:port");
  FileDescriptor Socket = openSocket(Where->m_Storage.ss_family);
  if (!Socket.isOpen())
    return makeError(ErrorCode::Unavailable, Step, Address,
                     systemMessage(errno));
  int On = 1;
  ::setsockopt(Socket.get(), SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (::bind(Socket.get(), Where->get(), Where->m_Length) != 0 ||
      ::listen(Socket.get(), ListenBacklog) != 0)
    return makeError(ErrorCode::Unavailable, Step, Address,
                     systemMessage(errno));
  return Socket;
}

Result<FileDescriptor> startConnect(const std::string &Address) {
  constexpr const char *Step = "connect to peer";
  std::optional<SocketAddress> Where = parseAddress(Address);
  if (!Where)
    return makeError(ErrorCode::InvalidArgument, Step, Address,
                     "not an ip:port");
  FileDescriptor Socket = openSocket(Where->m_Storage.ss_family);
  if (!Socket.isOpen())
    return makeError(ErrorCode::ConnectFailed, Step, Address,
                     systemMessage(errno));
  disableNagle(Socket.get());
  if (::connect(Socket.get(), Where->get(), Where->m_Length) != 0 &&
      errno != EINPROGRESS)
    return makeError(ErrorCode::ConnectFailed, Step, Address,
                     systemMessage(errno));
  return Socket;
}

Result<FileDescriptor> acceptFrom(const FileDescriptor &Listener) {
  FileDescriptor Socket(::accept4(Listener.get(), nullptr, nullptr,
                                  SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (Socket.isOpen()) {
    disableNagle(Socket.get());
    return Socket;
  }
  if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS)
    return makeError(ErrorCode::Unavailable, "accept peer", {},
                     systemMessage(errno));
  return Socket;
}

std::string boundAddress(const FileDescriptor &Socket) {
  SocketAddress Address;
  Address.m_Length = sizeof(Address.m_Storage);
  auto *Generic = reinterpret_cast<sockaddr *>(&Address.m_Storage);
  if (::getsockname(Socket.get(), Generic, &Address.m_Length) != 0)
    return {};
  char Text[INET6_ADDRSTRLEN] = {};
  if (Generic->sa_family == AF_INET6) {
    const auto *V6 = reinterpret_cast<const sockaddr_in6 *>(Generic);
    inet_ntop(AF_INET6, &V6->sin6_addr, Text, sizeof(Text));
    return "[" + std::string(Text) +
           "]:" + std::to_string(ntohs(V6->sin6_port));
  }
  const auto *V4 = reinterpret_cast<const sockaddr_in *>(Generic);
  inet_ntop(AF_INET, &V4->sin_addr, Text, sizeof(Text));
  return std::string(Text) + ":" + std::to_string(ntohs(V4->sin_port));
}

int connectError(const FileDescriptor &Socket) {
  int Failure = 0;
  socklen_t Length = sizeof(Failure);
  if (::getsockopt(Socket.get(), SOL_SOCKET, SO_ERROR, &Failure, &Length) != 0)
    return errno;
  return Failure;
}

} // namespace pollenspool
