//===- RunSpeed.h - How fast runs get on, and on which server ---*- C++ -*-===//
//
// Judged by the progress that servers report against the callers' estimates. A
// single run may be longer than estimated; when most runs of one server get on
// at a fraction of the estimate, the server is at fault.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_RUNSPEED_H
#define POLLENSPOOL_SCHEDULING_RUNSPEED_H

#include "scheduling/ServerBook.h"

namespace pollenspool {

/// Takes a server's report of \p Run in, which arrived at \p Now.
void noteProgress(ActiveRun &Run, const RunReport &Report, TimePoint Now);

/// Whether \p Run gets on at a small fraction of its estimate, or not at all;
/// nothing while it is too early to say, or if there is no estimate. \p Now is
/// when its server last reported.
std::optional<bool> isSlow(const ActiveRun &Run, TimePoint Now);

/// Whether the runs of \p S show that it is slow or stands still.
bool isSlow(const ServerState &S, TimePoint Now);

/// Whether \p Run, begun again on a sound server, would end much earlier.
bool isWorthMoving(const ActiveRun &Run, TimePoint Now);

/// Whether \p Run, which ended at \p Now, took no longer than runs on a sound
/// server may.
bool endedInTime(const ActiveRun &Run, TimePoint Now);

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_RUNSPEED_H
