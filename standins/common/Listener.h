//===- Listener.h - Listening socket that can be closed ---------*- C++ -*-===//

#ifndef STANDIN_COMMON_LISTENER_H
#define STANDIN_COMMON_LISTENER_H

#include "common/Address.h"
#include "common/EventLoop.h"

namespace standin {

/// Accepts connections while open. While it is closed, the kernel refuses
/// connections, and a second socket that is bound but never listens keeps the
/// port reserved. Not thread safe.
class Listener {
public:
  /// Binds \p Where and starts to listen. \p OnAccept takes ownership of each
  /// connected socket.
  static Expected<std::unique_ptr<Listener>>
  create(EventLoop &Loop, const Address &Where,
         std::function<void(int Socket)> OnAccept);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  const Address &address() const { return m_Address; }
  /// Opens or closes the listening socket. A failure to open it is ignored.
  void setOpen(bool Open);

private:
  Listener(EventLoop &Loop, std::function<void(int Socket)> OnAccept)
      : m_Loop(Loop), m_OnAccept(std::move(OnAccept)) {}
  Expected<void> open();
  void close();
  void acceptReady();

  EventLoop &m_Loop;
  std::function<void(int Socket)> m_OnAccept;
  Address m_Address;
  int m_Reservation = -1;
  int m_Socket = -1;
  EventLoop::WatchId m_Watch = 0;
};

} // namespace standin

#endif // STANDIN_COMMON_LISTENER_H
