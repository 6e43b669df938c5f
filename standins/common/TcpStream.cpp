//===- TcpStream.cpp - A buffered, non-blocking TCP connection ------------===//

#include "common/TcpStream.h"
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

namespace {
constexpr std::size_t ReadBytes = 65536;
} // namespace

TcpStream::TcpStream(EventLoop &Loop, int Fd, bool Connecting)
    : m_Loop(Loop), m_Fd(Fd), m_Connecting(Connecting) {}

TcpStream::~TcpStream() { close(); }

std::shared_ptr<TcpStream> TcpStream::adopt(EventLoop &Loop, int Fd) {
  const int On = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  std::shared_ptr<TcpStream> Stream(new TcpStream(Loop, Fd, false));
  Stream->startWatching();
  return Stream;
}

Expected<std::shared_ptr<TcpStream>> TcpStream::connect(EventLoop &Loop,
                                                        const Address &Where) {
  BOOST_OUTCOME_TRY(Fd, connectSocket(Where));
  std::shared_ptr<TcpStream> Stream(new TcpStream(Loop, Fd, true));
  Stream->startWatching();
  return Stream;
}

void TcpStream::startWatching() {
  m_Events = m_Connecting ? EPOLLOUT : EPOLLIN;
  m_Watch = m_Loop.watch(
      m_Fd, m_Events, [Weak = weak_from_this()](std::uint32_t Events) {
        if (const std::shared_ptr<TcpStream> Self = Weak.lock())
          Self->onReady(Events);
      });
}

void TcpStream::setHandlers(Handlers NewHandlers) {
  m_Handlers = std::move(NewHandlers);
}

void TcpStream::send(std::string_view Bytes) {
  if (!isOpen())
    return;
  m_Output.append(Bytes);
  if (!m_Connecting)
    writeBytes();
}

void TcpStream::closeAfterSending() {
  if (!isOpen())
    return;
  m_CloseWhenWritten = true;
  m_SelfUntilClosed = shared_from_this();
  if (!m_Connecting)
    afterWriting();
}

void TcpStream::endAfterSending() {
  m_EndWhenWritten = true;
  if (isOpen() && !m_Connecting)
    afterWriting();
}

void TcpStream::close() {
  if (!isOpen())
    return;
  m_Loop.unwatch(m_Watch, m_Fd);
  ::close(m_Fd);
  m_Fd = -1;
  // This may release the last reference, so it must be the last access to the
  // object.
  const std::shared_ptr<TcpStream> SelfReference = std::move(m_SelfUntilClosed);
}

void TcpStream::reset() {
  if (!isOpen())
    return;
  linger ResetOnClose{};
  ResetOnClose.l_onoff = 1;
  ResetOnClose.l_linger = 0;
  ::setsockopt(m_Fd, SOL_SOCKET, SO_LINGER, &ResetOnClose,
               sizeof(ResetOnClose));
  close();
}

void TcpStream::setPaused(bool Paused) {
  m_Paused = Paused;
  updateEvents();
}

void TcpStream::onReady(std::uint32_t Events) {
  const std::shared_ptr<TcpStream> Self = shared_from_this();
  if (m_Connecting) {
    finishConnecting();
    return;
  }
  if ((Events & EPOLLIN) != 0 && !m_Paused)
    readBytes();
  if (isOpen() && (Events & EPOLLOUT) != 0)
    writeBytes();
  // While the stream is not reading, no read reports an error or hang-up. The
  // stream fails here because epoll would otherwise report the event
  // continuously.
  if (isOpen() && (Events & (EPOLLERR | EPOLLHUP)) != 0 &&
      (m_Paused || m_ReadEnded))
    fail(ECONNRESET);
}

void TcpStream::finishConnecting() {
  int ErrorNumber = 0;
  socklen_t Size = sizeof(ErrorNumber);
  ::getsockopt(m_Fd, SOL_SOCKET, SO_ERROR, &ErrorNumber, &Size);
  if (ErrorNumber != 0) {
    fail(ErrorNumber);
    return;
  }
  m_Connecting = false;
  updateEvents();
  if (m_Handlers.m_OnConnected)
    m_Handlers.m_OnConnected();
  if (isOpen())
    writeBytes();
}

void TcpStream::readBytes() {
  static thread_local std::array<char, ReadBytes> Buffer;
  const ssize_t Count = ::recv(m_Fd, Buffer.data(), Buffer.size(), 0);
  if (Count > 0) {
    // A handler may replace the handlers while it runs, so a copy is called.
    const auto OnData = m_Handlers.m_OnData;
    if (OnData)
      OnData(std::string_view(Buffer.data(), static_cast<std::size_t>(Count)));
    return;
  }
  if (Count == 0) {
    m_ReadEnded = true;
    updateEvents();
    const auto OnEnd = m_Handlers.m_OnEnd;
    if (OnEnd)
      OnEnd();
    return;
  }
  if (errno != EAGAIN && errno != EINTR)
    fail(errno);
}

void TcpStream::writeBytes() {
  while (m_Written < m_Output.size()) {
    const ssize_t Count = ::send(m_Fd, m_Output.data() + m_Written,
                                 m_Output.size() - m_Written, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      break;
    if (Count < 0) {
      fail(errno);
      return;
    }
    m_Written += static_cast<std::size_t>(Count);
  }
  afterWriting();
}

void TcpStream::afterWriting() {
  if (queuedBytes() != 0) {
    updateEvents();
    return;
  }
  m_Output.clear();
  m_Written = 0;
  if (m_CloseWhenWritten) {
    close();
    return;
  }
  if (m_EndWhenWritten)
    ::shutdown(m_Fd, SHUT_WR);
  updateEvents();
  const auto OnDrained = m_Handlers.m_OnDrained;
  if (OnDrained)
    OnDrained();
}

void TcpStream::fail(int ErrorNumber) {
  close();
  const auto OnError = m_Handlers.m_OnError;
  if (OnError)
    OnError(ErrorNumber);
}

void TcpStream::updateEvents() {
  if (!isOpen() || m_Connecting)
    return;
  std::uint32_t NewEvents = 0;
  if (!m_Paused && !m_ReadEnded && !m_CloseWhenWritten)
    NewEvents |= EPOLLIN;
  if (queuedBytes() != 0)
    NewEvents |= EPOLLOUT;
  if (NewEvents != m_Events)
    m_Loop.rearm(m_Watch, m_Fd, NewEvents);
  m_Events = NewEvents;
}

} // namespace standin
