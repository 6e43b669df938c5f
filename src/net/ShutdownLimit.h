//===- ShutdownLimit.h - Time limit of a process's shutdown -----*- C++ -*-===//

#ifndef POLLENSPOOL_NET_SHUTDOWNLIMIT_H
#define POLLENSPOOL_NET_SHUTDOWNLIMIT_H

#include "base/Time.h"
#include <optional>

namespace pollenspool {

/// Ends the process \p Limit after its first SIGTERM or SIGINT with
/// \p ExitStatus, whatever its threads are doing then; no destructor runs. The
/// process uses ITIMER_REAL for nothing else, and \p Limit is positive.
///
/// To be called after the handlers of the two signals are installed, which are
/// called as before, for example after EventLoop::onSignal(). A later call
/// changes the limit of a shutdown that has not been requested yet. Not thread
/// safe.
void limitShutdown(Duration Limit, int ExitStatus);

/// When the process received its first SIGTERM or SIGINT after
/// limitShutdown(), on the clock of EventLoop::now(); nothing before that. An
/// event loop that is late handles the signal later than this. Thread safe.
std::optional<TimePoint> shutdownRequestedAt();

} // namespace pollenspool

#endif // POLLENSPOOL_NET_SHUTDOWNLIMIT_H
