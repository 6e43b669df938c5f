//===- Route.cpp - One listening address of the proxy ---------------------===//

#include "proxy/Route.h"

namespace standin {

Expected<std::unique_ptr<Route>>
Route::create(EventLoop &Loop, const Address &Listen, const Address &Target) {
  std::unique_ptr<Route> Created(new Route(Loop, Target));
  Route *const Raw = Created.get();
  BOOST_OUTCOME_TRY(Opened, Listener::create(Loop, Listen, [Raw](int Socket) {
                      Raw->addConnection(Socket);
                    }));
  Created->m_Listener = std::move(Opened);
  return Created;
}

void Route::addConnection(int Socket) {
  ++m_Accepted;
  if (m_Faults.m_ResetNew) {
    TcpStream::adopt(m_Loop, Socket)->reset();
    return;
  }
  const std::shared_ptr<ProxiedConnection> Added = ProxiedConnection::create(
      m_Loop, Socket, m_Target, m_Faults,
      [this](ProxiedConnection *Closed) { m_Connections.erase(Closed); });
  m_Connections.emplace(Added.get(), Added);
}

void Route::setFaults(const Faults &Changed) {
  const Faults Old = m_Faults;
  m_Faults = Changed;
  m_Listener->setOpen(!Changed.m_RefuseNew && !Changed.m_ResetAll);
  std::vector<std::shared_ptr<ProxiedConnection>> Connections;
  for (const auto &Entry : m_Connections)
    Connections.push_back(Entry.second);
  for (const std::shared_ptr<ProxiedConnection> &Changing : Connections) {
    if (Changed.m_ResetAll)
      Changing->reset();
    else
      Changing->onFaultsChanged(Old);
  }
}

} // namespace standin
