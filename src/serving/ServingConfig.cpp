//===- ServingConfig.cpp - Configuration of queues and pools --------------===//

#include "serving/ServingConfig.h"

namespace pollenspool {

std::string ServingConfig::routeKey(std::string_view Host,
                                    std::string_view Prefix) {
  std::string Key(Host);
  Key += ' ';
  Key += Prefix;
  return Key;
}

std::shared_ptr<const ServingConfig>
ServingConfig::create(std::uint64_t Version, std::vector<QueuePolicy> Queues,
                      std::vector<PoolPolicy> Pools,
                      std::vector<OrganisationPolicy> Organisations) {
  std::shared_ptr<ServingConfig> Config(new ServingConfig());
  Config->m_Version = Version;
  Config->m_Queues = std::move(Queues);
  Config->m_Pools = std::move(Pools);
  Config->m_Organisations = std::move(Organisations);
  for (std::size_t I = 0; I < Config->m_Queues.size(); ++I) {
    QueuePolicy &Q = Config->m_Queues[I];
    Q.m_ConfigVersion = Version;
    Config->m_IndexByName.emplace(Q.m_Name.m_Text, I);
    Config->m_IndexByRoute.emplace(routeKey(Q.m_Host, Q.m_PathPrefix), I);
    Config->m_PrefixLengths.insert(Q.m_PathPrefix.size());
  }
  for (std::size_t I = 0; I < Config->m_Organisations.size(); ++I) {
    const OrganisationPolicy &O = Config->m_Organisations[I];
    Config->m_IndexByOrganisation.emplace(O.m_Name.m_Text, I);
    for (const std::string &Key : O.m_ApiKeys)
      Config->m_IndexByKey.emplace(Key, I);
  }
  return Config;
}

const QueuePolicy *ServingConfig::route(std::string_view Host,
                                        std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  for (std::size_t Length : m_PrefixLengths) {
    if (Length > Path.size())
      continue;
    auto It = m_IndexByRoute.find(routeKey(Host, Path.substr(0, Length)));
    if (It != m_IndexByRoute.end())
      return &m_Queues[It->second];
  }
  return nullptr;
}

const QueuePolicy *ServingConfig::queue(const QueueName &Name) const {
  auto It = m_IndexByName.find(Name.m_Text);
  return It == m_IndexByName.end() ? nullptr : &m_Queues[It->second];
}

const PoolPolicy *ServingConfig::pool(const PoolName &Name) const {
  for (const PoolPolicy &P : m_Pools)
    if (P.m_Name == Name)
      return &P;
  return nullptr;
}

const OrganisationPolicy *
ServingConfig::organisation(const OrganisationName &Name) const {
  auto It = m_IndexByOrganisation.find(Name.m_Text);
  return It == m_IndexByOrganisation.end() ? nullptr
                                           : &m_Organisations[It->second];
}

const OrganisationPolicy *
ServingConfig::organisationOfKey(std::string_view ApiKey) const {
  auto It = m_IndexByKey.find(std::string(ApiKey));
  return It == m_IndexByKey.end() ? nullptr : &m_Organisations[It->second];
}

} // namespace pollenspool
