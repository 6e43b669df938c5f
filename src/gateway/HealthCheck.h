//===- HealthCheck.h - Asks a backend server whether it can work -*- C++ -*-==//

#ifndef POLLENSPOOL_GATEWAY_HEALTHCHECK_H
#define POLLENSPOOL_GATEWAY_HEALTHCHECK_H

#include <chrono>
#include <string>

namespace pollenspool {

/// True if GET /health at the ip:port \p Where answers 200 within \p Timeout.
/// Thread safe; blocks.
bool passesHealthCheck(const std::string &Where,
                       std::chrono::milliseconds Timeout);

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_HEALTHCHECK_H
