//===- Daemon.h - One entry instance ----------------------------*- C++ -*-===//
//
// Wires the slices together: caller server, gateway, peers, platform, operator
// server. Holds no decision of its own.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DAEMON_DAEMON_H
#define POLLENSPOOL_DAEMON_DAEMON_H

#include "base/Error.h"
#include "settings/Settings.h"
#include <memory>

namespace pollenspool {

/// One entry instance. Used by one thread.
class Daemon {
public:
  /// Binds all addresses and starts the threads that do not serve callers.
  /// Errors: InvalidSettings, Unavailable if an address is in use.
  static Result<std::unique_ptr<Daemon>> create(const Settings &S);
  ~Daemon();

  /// Serves callers from now on.
  void start();

  /// Graceful shutdown: takes no new work, finishes what is in flight, tells
  /// peers. Blocks until done.
  void drainAndStop();

private:
  struct Parts;
  explicit Daemon(std::unique_ptr<Parts> Wired);

  std::unique_ptr<Parts> m_Parts;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DAEMON_DAEMON_H
