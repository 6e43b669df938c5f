//===- FaultServer.h - The proxy's control over HTTP ------------*- C++ -*-===//

#ifndef STANDIN_PROXY_FAULTSERVER_H
#define STANDIN_PROXY_FAULTSERVER_H

#include "common/HttpServer.h"
#include "common/Program.h"
#include "proxy/Route.h"

namespace standin {

/// POST /faults and GET /routes of docs/PROXY.md. Not thread safe.
class FaultServer {
public:
  using Routes = std::vector<std::unique_ptr<Route>>;

  /// \p Controlled must outlive the server.
  static Expected<std::unique_ptr<FaultServer>>
  create(EventLoop &Loop, const Address &Where, Routes &Controlled);

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
