//===- HealthCheck.cpp - Health check of a backend server -----------------===//

#include "gateway/HealthCheck.h"
#include "base/Address.h"
#include <httplib.h>

namespace pollenspool {

bool passesHealthCheck(const std::string &InstanceAddress,
                       std::chrono::milliseconds Timeout) {
  auto Peer = parseAddress(InstanceAddress);
  if (!Peer)
    return false;
  httplib::Client Client(Peer->m_Host, Peer->m_Port);
  Client.set_connection_timeout(Timeout);
  Client.set_read_timeout(Timeout);
  auto Reply = Client.Get("/health");
  return Reply && Reply->status == 200;
}

} // namespace pollenspool
