//===- Pacing.h - Pacing of best-effort tasks -------------------*- C++ -*-===//
//
// Best-effort tasks use the cores that a server has left over. They raise the
// tail latency of the serving tasks beside them, by amounts that change within
// seconds. Their pace is reduced while the tail latency of a serving task
// exceeds its target, and restored in steps afterwards.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_PACING_H
#define POLLENSPOOL_SCHEDULING_PACING_H

#include "scheduling/ServerRegistry.h"
#include <vector>

namespace pollenspool {

/// Computes the pace of the best-effort runs of \p S from its latest report.
/// Returns an order for each run whose pace has to be sent, and records these
/// paces in \p S. \p T is the term of the orders.
std::vector<PaceOrder> adjustPaces(ServerState &S, Term T, TimePoint Now);

/// The pace in percent assumed for a best-effort run that an earlier leader
/// started. It is below full pace, so that the pace is set again.
inline constexpr std::uint32_t UnknownPace = 50;

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_PACING_H
