//===- FaultServer.h - HTTP control of the proxy's faults -------*- C++ -*-===//

#ifndef STANDIN_PROXY_FAULTSERVER_H
#define STANDIN_PROXY_FAULTSERVER_H

#include "common/HttpServer.h"
#include "common/Program.h"
#include "proxy/Route.h"

namespace standin {

/// Serves POST /faults, which sets the faults of routes, and GET /routes, which
/// lists the routes with their faults and counters (docs/PROXY.md). Not thread
/// safe.
class FaultServer {
public:
  using Routes = std::vector<std::unique_ptr<Route>>;

  /// \p Loop and \p Controlled must outlive the server. Fails if the address
  /// can't be listened on.
  static Expected<std::unique_ptr<FaultServer>>
  create(EventLoop &Loop, const Address &ListenAddress, Routes &Controlled);

  const Address &address() const { return m_Http->address(); }

private:
  explicit FaultServer(Routes &Controlled) : m_Routes(Controlled) {}
  HttpMessage answer(const HttpMessage &Request);
  HttpMessage setFaults(const Json &Body);
  HttpMessage listRoutes() const;

  Routes &m_Routes;
  std::unique_ptr<HttpServer> m_Http;
};

} // namespace standin

#endif // STANDIN_PROXY_FAULTSERVER_H
