//===- Address.cpp - IPv4 addresses and sockets ---------------------------===//

#include "common/Address.h"
#include <arpa/inet.h>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

namespace {

constexpr int ListenBacklog = 1024;

sockaddr_in socketAddress(const Address &Where) {
  sockaddr_in SocketAddress{};
  SocketAddress.sin_family = AF_INET;
  SocketAddress.sin_port = htons(Where.m_Port);
  inet_pton(AF_INET, Where.m_Ip.c_str(), &SocketAddress.sin_addr);
  return SocketAddress;
}

Expected<int> newSocket() {
  const int Fd =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return systemError("socket");
  return Fd;
}

Failure closeWithError(int Fd, const std::string &Step) {
  Failure Text = systemError(Step);
  ::close(Fd);
  return Text;
}

} // namespace

std::string Address::text() const {
  return m_Ip + ":" + std::to_string(m_Port);
}

Expected<Address> Address::parse(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return Failure{"address '" + Text + "': no port number"};
  Address Parsed;
  Parsed.m_Ip = Text.substr(0, Colon);
  in_addr BinaryAddress{};
  if (inet_pton(AF_INET, Parsed.m_Ip.c_str(), &BinaryAddress) != 1)
    return Failure{"address '" + Text + "': not an IPv4 address"};
  const char *Begin = Text.data() + Colon + 1;
  const char *End = Text.data() + Text.size();
  const auto ParseResult = std::from_chars(Begin, End, Parsed.m_Port);
  if (ParseResult.ec != std::errc() || ParseResult.ptr != End)
    return Failure{"address '" + Text + "': invalid port number"};
  return Parsed;
}

Expected<int> bindSocket(const Address &Where) {
  BOOST_OUTCOME_TRY(Fd, newSocket());
  const int On = 1;
  ::setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in SocketAddress = socketAddress(Where);
  if (::bind(Fd, reinterpret_cast<const sockaddr *>(&SocketAddress),
             sizeof(SocketAddress)) < 0)
    return closeWithError(Fd, "bind " + Where.text());
  return Fd;
}

Expected<int> listenSocket(const Address &Where) {
  BOOST_OUTCOME_TRY(Fd, bindSocket(Where));
  if (::listen(Fd, ListenBacklog) < 0)
    return closeWithError(Fd, "listen " + Where.text());
  return Fd;
}

Expected<int> connectSocket(const Address &Where) {
  BOOST_OUTCOME_TRY(Fd, newSocket());
  const int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  const sockaddr_in SocketAddress = socketAddress(Where);
  const int ConnectResult =
      ::connect(Fd, reinterpret_cast<const sockaddr *>(&SocketAddress),
                sizeof(SocketAddress));
  if (ConnectResult < 0 && errno != EINPROGRESS)
    return closeWithError(Fd, "connect " + Where.text());
  return Fd;
}

Address localAddress(int Socket) {
  sockaddr_in SocketAddress{};
  socklen_t Size = sizeof(SocketAddress);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&SocketAddress), &Size);
  char Ip[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &SocketAddress.sin_addr, Ip, sizeof(Ip));
  return Address{Ip, ntohs(SocketAddress.sin_port)};
}

} // namespace standin
