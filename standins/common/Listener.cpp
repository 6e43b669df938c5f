//===- Listener.cpp - Listening socket that can be closed -----------------===//

#include "common/Listener.h"
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

Expected<std::unique_ptr<Listener>>
Listener::create(EventLoop &Loop, const Address &Where,
                 std::function<void(int Socket)> OnAccept) {
  std::unique_ptr<Listener> Created(new Listener(Loop, std::move(OnAccept)));
  BOOST_OUTCOME_TRY(Reservation, bindSocket(Where));
  Created->m_Reservation = Reservation;
  Created->m_Address = localAddress(Reservation);
  BOOST_OUTCOME_TRYV(Created->open());
  return Created;
}

Listener::~Listener() {
  close();
  if (m_Reservation >= 0)
    ::close(m_Reservation);
}

void Listener::setOpen(bool Open) {
  if (!Open)
    close();
  else if (m_Socket < 0)
    static_cast<void>(open());
}

Expected<void> Listener::open() {
  BOOST_OUTCOME_TRY(Socket, listenSocket(m_Address));
  m_Socket = Socket;
  m_Watch =
      m_Loop.watch(m_Socket, EPOLLIN, [this](std::uint32_t) { acceptReady(); });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void Listener::close() {
  if (m_Socket < 0)
    return;
  m_Loop.unwatch(m_Watch, m_Socket);
  ::close(m_Socket);
  m_Socket = -1;
}

void Listener::acceptReady() {
  // The callback may close the listener, so the socket is checked each time.
  while (m_Socket >= 0) {
    const int Fd =
        ::accept4(m_Socket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    m_OnAccept(Fd);
  }
}

} // namespace standin
