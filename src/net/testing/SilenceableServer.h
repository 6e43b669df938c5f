//===- SilenceableServer.h - Server whose connections fall silent -*- C++ -*-=//

#ifndef POLLENSPOOL_NET_TESTING_SILENCEABLESERVER_H
#define POLLENSPOOL_NET_TESTING_SILENCEABLESERVER_H

#include "net/testing/ScriptedServer.h"
#include <algorithm>
#include <vector>

namespace pollenspool::testing {

/// Answers each request with the number of its connection. Connections can be
/// silenced: they stay open, and what arrives on them is not answered any more,
/// as if a device on the way had forgotten them.
class SilenceableServer {
public:
  explicit SilenceableServer(EventLoop &Loop)
      : m_Loop(Loop), m_Acceptor(Loop.context(),
                                 {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }
  /// Answers requests once \p Count of them wait, so that the client needs as
  /// many connections.
  void answerTogether(std::size_t Count) { m_Together = Count; }
  void silenceOpenConnections() {
    for (auto It = m_Connections.begin(); &*It != &m_Connections.back(); ++It)
      It->m_IsSilent = true;
  }
  std::size_t accepted() const { return m_Connections.size() - 1; }
  /// Connections that the client has not closed.
  std::size_t open() const { return accepted() - m_Closed; }

private:
  struct Connection {
    boost::asio::ip::tcp::socket m_Socket;
    std::size_t m_Number;
    bool m_IsSilent = false;
  };

  void accept() {
    m_Connections.push_back(
        {boost::asio::ip::tcp::socket(m_Loop.context()), m_Connections.size()});
    Connection &Next = m_Connections.back();
    m_Acceptor.async_accept(
        Next.m_Socket, [this, &Next](const boost::system::error_code &Failed) {
          if (Failed)
            return;
          read(Next);
          accept();
        });
  }

  void read(Connection &C) {
    C.m_Socket.async_read_some(
        boost::asio::buffer(m_Buffer),
        [this, &C](const boost::system::error_code &Failed, std::size_t) {
          if (Failed) {
            ++m_Closed;
            m_Waiting.erase(std::remove(m_Waiting.begin(), m_Waiting.end(), &C),
                            m_Waiting.end());
            return;
          }
          if (!C.m_IsSilent)
            m_Waiting.push_back(&C);
          if (m_Waiting.size() >= m_Together)
            for (Connection *Waiting : std::exchange(m_Waiting, {}))
              reply(Waiting->m_Socket, std::to_string(Waiting->m_Number));
          read(C);
        });
  }

  EventLoop &m_Loop;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  /// The last one waits for a connection. Elements keep their addresses.
  std::list<Connection> m_Connections;
  std::vector<Connection *> m_Waiting;
  std::array<char, 4096> m_Buffer{};
  std::size_t m_Together = 1;
  std::size_t m_Closed = 0;
};

/// Handles events until \p IsDone, at most for some seconds. Unlike runUntil()
/// it may be used again with the same loop.
inline void handleEventsUntil(EventLoop &Loop,
                              const std::function<bool()> &IsDone) {
  const TimePoint End = Loop.now() + std::chrono::seconds(10);
  Loop.context().restart();
  while (!IsDone() && Loop.now() < End)
    Loop.context().run_one_for(std::chrono::milliseconds(10));
}

} // namespace pollenspool::testing

#endif // POLLENSPOOL_NET_TESTING_SILENCEABLESERVER_H
