//===- Route.h - One listening address of the proxy -------------*- C++ -*-===//

#ifndef STANDIN_PROXY_ROUTE_H
#define STANDIN_PROXY_ROUTE_H

#include "common/Listener.h"
#include "proxy/ProxiedConnection.h"
#include <unordered_map>
#include <vector>

namespace standin {

/// Accepts connections at one address and connects each to the target. Not
/// thread safe.
class Route {
public:
  /// \p Loop must outlive the route. Fails if \p Listen can't be listened on.
  static Expected<std::unique_ptr<Route>>
  create(EventLoop &Loop, const Address &Listen, const Address &Target);
  Route(const Route &) = delete;
  Route &operator=(const Route &) = delete;

  const Address &address() const { return m_Listener->address(); }
  const Address &target() const { return m_Target; }
  const Faults &faults() const { return m_Faults; }
  std::size_t connectionCount() const { return m_Connections.size(); }
  /// Number of connections accepted since the start.
  std::uint64_t acceptedCount() const { return m_Accepted; }
  /// Applies \p Changed, also to open connections.
  void setFaults(const Faults &Changed);

private:
  Route(EventLoop &Loop, const Address &Target)
      : m_Loop(Loop), m_Target(Target) {}
  void addConnection(int Socket);

  EventLoop &m_Loop;
  Address m_Target;
  Faults m_Faults;
  std::unique_ptr<Listener> m_Listener;
  std::uint64_t m_Accepted = 0;
  std::unordered_map<ProxiedConnection *, std::shared_ptr<ProxiedConnection>>
      m_Connections;
};

} // namespace standin

#endif // STANDIN_PROXY_ROUTE_H
