//===- ServingConfig.cpp - Queues and pools in force ----------------------===//

#include "serving/ServingConfig.h"

namespace pollenspool {

const QueuePolicy *ServingConfig::route(std::string_view Host,
                                        std::string_view Path) const {
  Host = Host.substr(0, Host.find(':'));
  const QueuePolicy *Best = nullptr;
  for (const QueuePolicy &Q : m_Queues) {
    if (Q.m_Host != Host ||
        Path.substr(0, Q.m_PathPrefix.size()) != Q.m_PathPrefix)
      continue;
    if (!Best || Q.m_PathPrefix.size() > Best->m_PathPrefix.size())
      Best = &Q;
  }
  return Best;
}

const QueuePolicy *ServingConfig::queue(const QueueName &Name) const {
  for (const QueuePolicy &Q : m_Queues)
    if (Q.m_Name == Name)
      return &Q;
  return nullptr;
}

const PoolPolicy *ServingConfig::pool(const PoolName &Name) const {
  for (const PoolPolicy &P : m_Pools)
    if (P.m_Name == Name)
      return &P;
  return nullptr;
}

} // namespace pollenspool
