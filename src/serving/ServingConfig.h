//===- ServingConfig.h - Configuration of queues and pools ------*- C++ -*-===//

#ifndef POLLENSPOOL_SERVING_SERVINGCONFIG_H
#define POLLENSPOOL_SERVING_SERVINGCONFIG_H

#include "jobs/JobSpec.h"
#include <memory>
#include <set>
#include <string_view>
#include <unordered_map>

namespace pollenspool {

/// A queue: the route of its requests and the rules for scheduling its jobs.
struct QueuePolicy : QueueRules {
  QueueName m_Name;
  std::string m_Host;
  std::string m_PathPrefix;
  /// Callers need no API key. Jobs of such a queue belong to no organisation.
  bool m_IsOpen = false;
};

/// An organisation whose callers share API keys, a weight and a cap.
struct OrganisationPolicy {
  OrganisationName m_Name;
  /// Secrets: they must not appear in logs, metrics, status pages or rows.
  std::vector<std::string> m_ApiKeys;
  /// 0 is the highest priority. Decoded, but queues alone decide priorities.
  std::uint32_t m_Priority = 0;
  /// Share of the room when there is not enough for all organisations, in jobs
  /// per second; 0: the organisation is not limited to a share.
  double m_Weight = 0;
  /// What the organisation may have running on all servers together. An amount
  /// of 0 is unlimited.
  Resources m_Cap;
};

/// A pool of instances.
struct PoolPolicy {
  PoolName m_Name;
  /// The pool's instances are switched off and cost nothing.
  bool m_Spare = false;
  /// The pool's backend servers refuse a task that exceeds their free capacity.
  /// Servers of other pools would start it.
  bool m_RejectsOverload = true;
};

/// One version of the operators' configuration of queues and pools. It may have
/// thousands of queues. Immutable; all members are thread safe.
class ServingConfig {
public:
  /// The rules of all queues get \p Version.
  static std::shared_ptr<const ServingConfig>
  create(std::uint64_t Version, std::vector<QueuePolicy> Queues,
         std::vector<PoolPolicy> Pools,
         std::vector<OrganisationPolicy> Organisations = {});

  std::uint64_t version() const { return m_Version; }
  const std::vector<QueuePolicy> &queues() const { return m_Queues; }
  const std::vector<PoolPolicy> &pools() const { return m_Pools; }
  /// Empty if the deployment has no organisations. No key is required then.
  const std::vector<OrganisationPolicy> &organisations() const {
    return m_Organisations;
  }

  /// Of the queues of \p Host, the one with the longest prefix of \p Path; null
  /// if no queue matches. A port in \p Host is ignored.
  const QueuePolicy *route(std::string_view Host, std::string_view Path) const;
  /// The queue of that name, or null.
  const QueuePolicy *queue(const QueueName &Name) const;
  /// The pool of that name, or null.
  const PoolPolicy *pool(const PoolName &Name) const;
  /// The organisation of that name, or null.
  const OrganisationPolicy *organisation(const OrganisationName &Name) const;
  /// The organisation that \p ApiKey belongs to; null if the key is not valid.
  const OrganisationPolicy *organisationOfKey(std::string_view ApiKey) const;

private:
  ServingConfig() = default;
  static std::string routeKey(std::string_view Host, std::string_view Prefix);

  std::uint64_t m_Version = 0;
  std::vector<QueuePolicy> m_Queues;
  std::vector<PoolPolicy> m_Pools;
  std::vector<OrganisationPolicy> m_Organisations;
  /// Indices in m_Queues.
  std::unordered_map<std::string, std::size_t> m_IndexByName;
  std::unordered_map<std::string, std::size_t> m_IndexByRoute;
  /// Indices in m_Organisations.
  std::unordered_map<std::string, std::size_t> m_IndexByOrganisation;
  std::unordered_map<std::string, std::size_t> m_IndexByKey;
  /// Lengths of all path prefixes, longest first.
  std::set<std::size_t, std::greater<>> m_PrefixLengths;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SERVING_SERVINGCONFIG_H
