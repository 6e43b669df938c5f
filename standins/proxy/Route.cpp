//===- Route.cpp - One listening address of the proxy ---------------------===//

#include "proxy/Route.h"

namespace standin {

Expected<std::unique_ptr<Route>>
Route::create(EventLoop &Loop, const Address &Listen, const Address &Target) {
  std::unique_ptr<Route> Created(new Route(Loop, Target));
  Route *const Raw = Created.get();
  BOOST_OUTCOME_TRY(Opened, Listener::create(Loop, Listen, [Raw](int Socket) {
                      Raw->addLink(Socket);
                    }));
  Created->m_Listener = std::move(Opened);
  return Created;
}

void Route::addLink(int Socket) {
  ++m_Accepted;
  if (m_Faults.m_ResetNew) {
    TcpStream::adopt(m_Loop, Socket)->reset();
    return;
  }
  const std::shared_ptr<Link> Added =
      Link::create(m_Loop, Socket, m_Target, m_Faults,
                   [this](Link *Closed) { m_Links.erase(Closed); });
  m_Links.emplace(Added.get(), Added);
}

void Route::setFaults(const Faults &Changed) {
  const Faults Old = m_Faults;
  m_Faults = Changed;
  m_Listener->setOpen(!Changed.m_Refuse && !Changed.m_Cut);
  std::vector<std::shared_ptr<Link>> Links;
  for (const auto &Entry : m_Links)
    Links.push_back(Entry.second);
  for (const std::shared_ptr<Link> &Changing : Links) {
    if (Changed.m_Cut)
      Changing->reset();
    else
      Changing->onFaultsChanged(Old);
  }
}

} // namespace standin
