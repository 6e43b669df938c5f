//===- Pacing.h - How fast tasks that fill may work -------------*- C++ -*-===//
//
// Tasks that fill a server's leftover cores disturb the serving tasks beside
// them, by amounts that change within seconds. They are slowed down while a
// serving task's tail is over its target, and let go again step by step.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_PACING_H
#define POLLENSPOOL_SCHEDULING_PACING_H

#include "scheduling/ServerRegistry.h"
#include <vector>

namespace pollenspool {

/// The pace that the filling runs of \p S should get now, by its latest report;
/// notes it as given. \p T is the term of the orders.
std::vector<PaceOrder> adjustPaces(ServerState &S, Term T, TimePoint Now);

/// The pace assumed of a filling run that an earlier leader started: below
/// full, so that it is given anew.
inline constexpr std::uint32_t UnknownPace = 50;

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_PACING_H
