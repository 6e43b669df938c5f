//===- HealthCheck.h - Health check of a backend server ---------*- C++ -*-===//

#ifndef POLLENSPOOL_GATEWAY_HEALTHCHECK_H
#define POLLENSPOOL_GATEWAY_HEALTHCHECK_H

#include <chrono>
#include <string>

namespace pollenspool {

/// Returns true if GET /health at \p InstanceAddress (ip:port) returns status
/// 200. \p Timeout limits the connect and each read. Thread safe; blocks.
bool passesHealthCheck(const std::string &InstanceAddress,
                       std::chrono::milliseconds Timeout);

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_HEALTHCHECK_H
