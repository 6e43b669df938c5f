//===- HealthCheck.cpp - Asks a backend server whether it can work --------===//

#include "gateway/HealthCheck.h"
#include "base/Address.h"
#include <httplib.h>

namespace pollenspool {

bool passesHealthCheck(const std::string &Where,
                       std::chrono::milliseconds Timeout) {
  auto Peer = parseAddress(Where);
  if (!Peer)
    return false;
  httplib::Client Client(Peer->m_Host, Peer->m_Port);
  Client.set_connection_timeout(Timeout);
  Client.set_read_timeout(Timeout);
  auto Reply = Client.Get("/health");
  return Reply && Reply->status == 200;
}

} // namespace pollenspool
