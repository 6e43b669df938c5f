//===- StallDetection.h - Whether runs get on -------------------------*- C++
//-*-===//
//
// Judged by the progress that servers report. Callers' estimates do not serve
// for it: they are off by up to twenty times.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_STALLDETECTION_H
#define POLLENSPOOL_SCHEDULING_STALLDETECTION_H

#include "scheduling/ServerRegistry.h"

namespace pollenspool {

/// Takes a server's report of \p Run in, which arrived at \p Now.
void noteProgress(ActiveRun &Run, const RunReport &Report, TimePoint Now);

/// Whether \p Run stands still, by its own pace so far. \p Now is when its
/// server last reported. A lasting run never does.
bool standsStill(const ActiveRun &Run, TimePoint Now);

/// Whether most runs of \p S that end by themselves stand still.
bool standsStill(const ServerState &S, TimePoint Now);

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_STALLDETECTION_H
