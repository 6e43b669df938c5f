//===- Balancer.h - Picks an entry instance for each attempt ----*- C++ -*-===//

#ifndef STANDIN_LOAD_BALANCER_H
#define STANDIN_LOAD_BALANCER_H

#include "common/HttpConnection.h"
#include <optional>
#include <random>
#include <vector>

namespace standin {

/// Polls the health of the entries, and keeps connections to them. Not thread
/// safe.
class Balancer {
public:
  struct Settings {
    std::vector<Address> m_Entries;
    std::string m_HealthPath = "/healthz";
    bool m_KeepsConnections = true;
    std::uint64_t m_Seed = 1;
  };

  Balancer(EventLoop &Loop, Settings Given);
  Balancer(const Balancer &) = delete;
  Balancer &operator=(const Balancer &) = delete;

  void startPolling();
  bool isAnyHealthy() const;
  /// A random healthy entry that is not among \p Excluded.
  std::optional<std::size_t> pick(const std::vector<std::size_t> &Excluded);
  /// Sends to an entry over a kept or a new connection.
  void call(std::size_t Index, const HttpMessage &Request, Milliseconds Timeout,
            HttpConnection::OnResult Done);

private:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;

  struct Kept {
    ConnectionPtr m_Connection;
    SteadyClock::time_point m_Since;
  };

  struct Entry {
    Address m_Where;
    bool m_Healthy = false;
    std::vector<Kept> m_Idle;
  };

  void poll(std::size_t Index);
  ConnectionPtr connectionTo(Entry &Used);

  EventLoop &m_Loop;
  Settings m_Settings;
  std::vector<Entry> m_Entries;
  std::mt19937_64 m_Random;
};

} // namespace standin

#endif // STANDIN_LOAD_BALANCER_H
