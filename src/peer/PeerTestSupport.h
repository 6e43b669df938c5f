//===- PeerTestSupport.h - Helpers of the transport's tests -----*- C++ -*-===//
//
// A latch that blocks handlers, an asynchronous call, and plain sockets that
// act as misbehaving peers.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_PEERTESTSUPPORT_H
#define POLLENSPOOL_PEER_PEERTESTSUPPORT_H

#include "peer/PeerTransport.h"
#include "peer/Socket.h"
#include <condition_variable>
#include <future>
#include <mutex>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>

namespace pollenspool {

/// Waits until \p Holds is true. Throws after 60 s, which is far above any
/// delay of a passing test.
template <typename Condition> void waitUntil(Condition Holds) {
  auto End = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > End)
      throw std::runtime_error("condition has not held within 60 s");
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

/// Blocks its waiters until it is opened. It is never closed again.
class HandlerLatch {
public:
  void wait() {
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Opened.wait(Lock, [this] { return m_Open; });
  }
  void open() {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Open = true;
    m_Opened.notify_all();
  }

private:
  std::mutex m_Mutex;
  std::condition_variable m_Opened;
  bool m_Open = false;
};

/// An asynchronous call and its future answer.
class AsyncAnswer {
public:
  AsyncAnswer(PeerTransport &From, const EntryId &To, std::string_view Path,
              std::string Body, std::chrono::milliseconds Timeout) {
    auto Answer = std::make_shared<std::promise<Result<std::string>>>();
    m_Answer = Answer->get_future();
    From.callAsync(To, Path, std::move(Body), Timeout,
                   [Answer](Result<std::string> Value) {
                     Answer->set_value(std::move(Value));
                   });
  }
  Result<std::string> get() { return m_Answer.get(); }
  bool isDone() const {
    return m_Answer.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  }

private:
  std::shared_future<Result<std::string>> m_Answer;
};

/// Waits until a counter is above \p Least and no longer changes.
template <typename Counter>
void waitUntilStable(Counter Read, std::uint64_t Least) {
  constexpr int RequiredEqualReads = 100;
  std::uint64_t Last = 0;
  int EqualReads = 0;
  waitUntil([&] {
    std::uint64_t Value = Read();
    EqualReads = Value == Last ? EqualReads + 1 : 0;
    Last = Value;
    return Value > Least && EqualReads >= RequiredEqualReads;
  });
}

inline void waitReadable(int Socket) {
  pollfd Wait{Socket, POLLIN, 0};
  if (::poll(&Wait, 1, 60000) != 1)
    throw std::runtime_error("nothing to read within 60 s");
}

inline void sendAll(int Socket, const std::string &Bytes) {
  if (::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(Bytes.size()))
    throw std::runtime_error("cannot send");
}

/// Reads until the other end closes. Throws if nothing arrives within 60 s.
inline bool readToEnd(int Socket) {
  char Buffer[4096];
  do
    waitReadable(Socket);
  while (::recv(Socket, Buffer, sizeof(Buffer), 0) > 0);
  return true;
}

/// A plain TCP listener, which acts as a server without an HTTP/2 library.
class RawListener {
public:
  RawListener() : m_Listener(listenOn("127.0.0.1:0").value()) {}
  std::string address() const { return boundAddress(m_Listener); }
  /// Accepts a connection and reads at least \p Bytes of a request.
  void acceptAndRead(std::size_t Bytes) {
    waitReadable(m_Listener.get());
    m_Connection = acceptFrom(m_Listener).value();
    // The preface, the SETTINGS frame and the WINDOW_UPDATE frame precede the
    // request.
    constexpr std::size_t PrefaceBytes = 24 + 9 + 18 + 13;
    while (m_Received.size() < PrefaceBytes + Bytes)
      readSome();
  }
  /// Fills the backlog, so that later connection attempts do not complete.
  void stopAccepting() {
    ::listen(m_Listener.get(), 0);
    m_Filler = startConnect(address()).value();
    waitReadable(m_Listener.get());
  }
  /// Reads once and appends the bytes to received().
  void readSome() {
    char Buffer[65536];
    waitReadable(m_Connection.get());
    ssize_t Count = ::recv(m_Connection.get(), Buffer, sizeof(Buffer), 0);
    if (Count <= 0)
      throw std::runtime_error("connection closed by the client");
    m_Received.append(Buffer, static_cast<std::size_t>(Count));
  }
  const std::string &received() const { return m_Received; }
  void send(const std::string &Bytes) { sendAll(m_Connection.get(), Bytes); }
  bool readUntilClosed() { return readToEnd(m_Connection.get()); }
  void closeConnection() { m_Connection.reset(); }

private:
  FileDescriptor m_Listener;
  FileDescriptor m_Connection;
  FileDescriptor m_Filler;
  std::string m_Received;
};

/// A plain TCP client.
class RawClient {
public:
  explicit RawClient(const std::string &Address)
      : m_Socket(startConnect(Address).value()) {
    pollfd Wait{m_Socket.get(), POLLOUT, 0};
    ::poll(&Wait, 1, 60000);
  }
  void send(const std::string &Bytes) { sendAll(m_Socket.get(), Bytes); }
  bool readUntilClosed() { return readToEnd(m_Socket.get()); }

private:
  FileDescriptor m_Socket;
};

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_PEERTESTSUPPORT_H
