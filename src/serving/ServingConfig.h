//===- ServingConfig.h - Queues and pools in force --------------*- C++ -*-===//

#ifndef POLLENSPOOL_SERVING_SERVINGCONFIG_H
#define POLLENSPOOL_SERVING_SERVINGCONFIG_H

#include "jobs/JobSpec.h"
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace pollenspool {

/// Costs and lifetime of asking the placement adviser of a queue.
struct AdvicePolicy {
  std::chrono::milliseconds m_PerCall{0};
  std::chrono::milliseconds m_PerServer{0};
  std::chrono::milliseconds m_Valid{0};
};

/// A queue and how its jobs are treated.
struct QueuePolicy {
  QueueName m_Name;
  std::string m_Host;
  std::string m_PathPrefix;
  PoolName m_Pool;
  /// 0 comes first and may preempt others.
  std::uint32_t m_Priority = 0;
  /// Failed runs of one task after which its job fails.
  std::uint32_t m_Attempts = 1;
  /// The objective of a job: its longest chain of work times this, and
  /// m_Slack more.
  double m_Stretch = 1.0;
  std::chrono::milliseconds m_Slack{0};
  std::optional<AdvicePolicy> m_Advice;
};

struct PoolPolicy {
  PoolName m_Name;
  /// Its instances are switched off and cost nothing.
  bool m_Spare = false;
  /// Its backend servers refuse what does not fit; others would start it.
  bool m_GuardsCapacity = true;
};

/// One version of the operators' configuration, which may have thousands of
/// queues. Immutable; all members are thread safe.
class ServingConfig {
public:
  static std::shared_ptr<const ServingConfig>
  create(std::uint64_t Version, std::vector<QueuePolicy> Queues,
         std::vector<PoolPolicy> Pools);

  std::uint64_t version() const { return m_Version; }
  const std::vector<QueuePolicy> &queues() const { return m_Queues; }
  const std::vector<PoolPolicy> &pools() const { return m_Pools; }

  /// The queue of \p Host whose prefix is the longest that \p Path begins with;
  /// null if there is none.
  const QueuePolicy *route(std::string_view Host, std::string_view Path) const;
  /// The queue of that name, or null.
  const QueuePolicy *queue(const QueueName &Name) const;
  /// The pool of that name, or null.
  const PoolPolicy *pool(const PoolName &Name) const;

private:
  ServingConfig() = default;
  static std::string routeKey(std::string_view Host, std::string_view Prefix);

  std::uint64_t m_Version = 0;
  std::vector<QueuePolicy> m_Queues;
  std::vector<PoolPolicy> m_Pools;
  /// Places in m_Queues.
  std::unordered_map<std::string, std::size_t> m_ByName;
  std::unordered_map<std::string, std::size_t> m_ByRoute;
  /// Lengths of all prefixes, longest first.
  std::set<std::size_t, std::greater<>> m_PrefixLengths;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SERVING_SERVINGCONFIG_H
