//===- ControlServer.h - HTTP control of the backends -----------*- C++ -*-===//
//
// Serves POST /control, GET /runs and GET /stats of docs/BACKENDS.md: changes
// the behaviour of instances and reports their runs and counters. Runs on one
// event loop; not thread safe.
//
//===----------------------------------------------------------------------===//

#ifndef STANDIN_BACKEND_CONTROLSERVER_H
#define STANDIN_BACKEND_CONTROLSERVER_H

#include "backend/BackendInstance.h"

namespace standin {

class ControlServer {
public:
  using Instances = std::vector<std::unique_ptr<BackendInstance>>;

  /// \p Loop, \p Controlled and \p Log must outlive the server. Fails if
  /// the address can't be listened on.
  static Expected<std::unique_ptr<ControlServer>>
  create(EventLoop &Loop, const Address &ListenAddress, Instances &Controlled,
         const RunLog &Log);

  const Address &address() const { return m_Http->address(); }

private:
  ControlServer(Instances &Controlled, const RunLog &Log)
      : m_Instances(Controlled), m_Log(Log) {}
  HttpMessage answer(const HttpMessage &Request);
  HttpMessage setKnobs(const HttpMessage &Request);
  HttpMessage listRuns(const HttpMessage &Request) const;
  HttpMessage stats() const;

  Instances &m_Instances;
  const RunLog &m_Log;
  std::unique_ptr<HttpServer> m_Http;
};

} // namespace standin

#endif // STANDIN_BACKEND_CONTROLSERVER_H
