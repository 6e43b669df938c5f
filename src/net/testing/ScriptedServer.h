//===- ScriptedServer.h - Server for tests of HttpClient --------*- C++ -*-===//

#ifndef POLLENSPOOL_NET_TESTING_SCRIPTEDSERVER_H
#define POLLENSPOOL_NET_TESTING_SCRIPTEDSERVER_H

#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <list>
#include <optional>

namespace pollenspool::testing {

/// A server that answers each request with what its script does to the socket.
class ScriptedServer {
public:
  using Socket = boost::asio::ip::tcp::socket;
  /// Receives the socket and the number of requests so far, this one included.
  using Script = std::function<void(Socket &, int)>;

  ScriptedServer(EventLoop &Loop, Script OnRequest)
      : m_Loop(Loop), m_OnRequest(std::move(OnRequest)),
        m_Acceptor(Loop.context(),
                   {boost::asio::ip::address_v4::loopback(), 0}) {
    accept();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_Acceptor.local_endpoint().port());
  }

  /// Requests that have arrived.
  int requests() const { return m_Requests; }

private:
  void accept() {
    m_Sockets.emplace_back(m_Loop.context());
    m_Acceptor.async_accept(m_Sockets.back(),
                            [this](const boost::system::error_code &Failed) {
                              if (Failed)
                                return;
                              read(m_Sockets.back());
                              accept();
                            });
  }

  void read(Socket &S) {
    S.async_read_some(
        boost::asio::buffer(m_Buffer),
        [this, &S](const boost::system::error_code &Failed, std::size_t) {
          if (Failed)
            return;
          m_OnRequest(S, ++m_Requests);
          if (S.is_open())
            read(S);
        });
  }

  EventLoop &m_Loop;
  Script m_OnRequest;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  /// The last one waits for a connection.
  std::list<Socket> m_Sockets;
  std::array<char, 4096> m_Buffer{};
  int m_Requests = 0;
};

inline void reply(boost::asio::ip::tcp::socket &S, const std::string &Body) {
  boost::asio::write(
      S, boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body));
}

/// What a call gave: the body of its reply, or a failure.
struct Answer {
  std::string m_Body;
  std::optional<ErrorCode> m_Failure;
  int m_Callbacks = 0;
};

inline const HttpRequest Order{"POST", "/order", {}, "{}"};

inline HttpClient::ReplyCallback storeTo(Answer &A) {
  return [&A](Result<HttpReply> Reply) {
    ++A.m_Callbacks;
    if (Reply)
      A.m_Body = Reply.value().m_Body;
    else
      A.m_Failure = Reply.error().m_Code;
  };
}

/// Runs the loop until \p IsDone, at most for some seconds.
inline void runUntil(EventLoop &Loop, const std::function<bool()> &IsDone) {
  Loop.after(std::chrono::seconds(10), [&Loop] { Loop.stop(); });
  Loop.every(std::chrono::milliseconds(1), [&Loop, IsDone] {
    if (IsDone())
      Loop.stop();
  });
  Loop.run();
}

} // namespace pollenspool::testing

#endif // POLLENSPOOL_NET_TESTING_SCRIPTEDSERVER_H
