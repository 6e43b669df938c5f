//===- Daemon.h - An entry instance -----------------------------*- C++ -*-===//
//
// Connects the components of an entry instance: caller server, gateway, peers,
// platform and operator server. It makes no decisions itself.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DAEMON_DAEMON_H
#define POLLENSPOOL_DAEMON_DAEMON_H

#include "base/Error.h"
#include "settings/Settings.h"
#include <memory>

namespace pollenspool {

/// One entry instance. Not thread safe.
class Daemon {
public:
  /// Binds all addresses and starts to serve peers and operators.
  /// Errors: InvalidSettings, Unavailable if an address is in use.
  static Result<std::unique_ptr<Daemon>> create(const Settings &S);
  ~Daemon();

  /// Starts document adoption, heartbeats, polls of the platform and the
  /// service to callers.
  void start();

  /// Shuts down gracefully: announces the drain to peers, refuses new requests
  /// and finishes those in flight. Blocks until all are finished.
  void drainAndStop();

private:
  struct Impl;
  explicit Daemon(std::unique_ptr<Impl> Implementation);

  std::unique_ptr<Impl> m_Impl;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DAEMON_DAEMON_H
