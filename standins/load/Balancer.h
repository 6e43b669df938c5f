//===- Balancer.h - Chooses an entry instance per attempt -------*- C++ -*-===//

#ifndef STANDIN_LOAD_BALANCER_H
#define STANDIN_LOAD_BALANCER_H

#include "common/HttpConnection.h"
#include <optional>
#include <random>
#include <vector>

namespace standin {

/// Load balancer of the test clients: polls the health of the entry instances
/// and sends requests to healthy ones over pooled connections. Not thread safe.
class Balancer {
public:
  struct Settings {
    std::vector<Address> m_Entries;
    std::string m_HealthPath = "/healthz";
    bool m_UsesKeepAlive = true;
    std::uint64_t m_Seed = 1;
  };

  Balancer(EventLoop &Loop, Settings InitialSettings);
  Balancer(const Balancer &) = delete;
  Balancer &operator=(const Balancer &) = delete;

  /// Starts the periodic health checks. Call it once.
  void startPolling();
  bool isAnyHealthy() const;
  /// Index of a random healthy entry that is not in \p Excluded, or
  /// std::nullopt if there is none.
  std::optional<std::size_t> pick(const std::vector<std::size_t> &Excluded);
  /// Sends \p Request to an entry over an idle or a new connection. Marks the
  /// entry as unhealthy if the connection cannot be made.
  void call(std::size_t Index, const HttpMessage &Request, Milliseconds Timeout,
            HttpConnection::OnResult Done);

private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  struct IdleConnection {
    ConnectionPtr m_Connection;
    SteadyClock::time_point m_IdleSince;
  };

  struct Entry {
    Address m_Address;
    bool m_IsHealthy = false;
    std::vector<IdleConnection> m_Idle;
  };

  void poll(std::size_t Index);
  ConnectionPtr acquireConnection(Entry &Target);

  EventLoop &m_Loop;
  Settings m_Settings;
  std::vector<Entry> m_Entries;
  std::mt19937_64 m_Random;
};

} // namespace standin

#endif // STANDIN_LOAD_BALANCER_H
