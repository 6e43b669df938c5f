//===- TcpStream.h - A buffered, non-blocking TCP connection ----*- C++ -*-===//
//
// Streams are owned through shared_ptr. A handler may close the stream that
// calls it. Not thread safe.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_COMMON_TCPSTREAM_H
#define STANDIN_COMMON_TCPSTREAM_H

#include "common/Address.h"
#include "common/EventLoop.h"
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace standin {

class TcpStream : public std::enable_shared_from_this<TcpStream> {
public:
  struct Handlers {
    std::function<void()> m_OnConnected;
    std::function<void(std::string_view Bytes)> m_OnData;
    /// The peer closed its sending direction. The stream can still be written.
    std::function<void()> m_OnEnd;
    /// All queued bytes have been handed to the kernel.
    std::function<void()> m_OnDrained;
    /// The stream failed with the errno value \p ErrorNumber and was closed.
    std::function<void(int ErrorNumber)> m_OnError;
  };

  /// Takes ownership of a connected socket.
  static std::shared_ptr<TcpStream> adopt(EventLoop &Loop, int Fd);
  /// Starts to connect. Either m_OnConnected or m_OnError is called later.
  static Expected<std::shared_ptr<TcpStream>> connect(EventLoop &Loop,
                                                      const Address &Where);
  ~TcpStream();
  TcpStream(const TcpStream &) = delete;
  TcpStream &operator=(const TcpStream &) = delete;

  void setHandlers(Handlers NewHandlers);
  /// Queues \p Bytes for sending. Does nothing if the stream is closed.
  void send(std::string_view Bytes);
  /// Closes the stream when all queued bytes are written. Stops reading.
  void closeAfterSending();
  /// Shuts down the sending direction when all queued bytes are written.
  void endAfterSending();
  /// Closes immediately without calling a handler.
  void close();
  /// Like close(), but sends a TCP reset to the peer.
  void reset();
  /// Stops or resumes reading.
  void setPaused(bool Paused);
  bool isOpen() const { return m_Fd >= 0; }
  std::size_t queuedBytes() const { return m_Output.size() - m_Written; }

private:
  TcpStream(EventLoop &Loop, int Fd, bool Connecting);
  void startWatching();
  void onReady(std::uint32_t Events);
  void finishConnecting();
  void readBytes();
  void writeBytes();
  void afterWriting();
  void fail(int ErrorNumber);
  void updateEvents();

  EventLoop &m_Loop;
  int m_Fd;
  bool m_Connecting;
  bool m_Paused = false;
  bool m_ReadEnded = false;
  bool m_CloseWhenWritten = false;
  bool m_EndWhenWritten = false;
  std::uint32_t m_Events = 0;
  EventLoop::WatchId m_Watch = 0;
  Handlers m_Handlers;
  std::string m_Output;
  /// Keeps the stream alive after closeAfterSending() until the queued bytes
  /// are written.
  std::shared_ptr<TcpStream> m_SelfUntilClosed;
  std::size_t m_Written = 0;
};

} // namespace standin

#endif // STANDIN_COMMON_TCPSTREAM_H
