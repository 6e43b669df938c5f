//===- StallDetection.h - Detection of stalled runs -------------*- C++ -*-===//
//
// Stalls are detected from the progress that servers report. Callers' estimates
// of task durations are unsuitable, since they are off by a factor of up to 20.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_STALLDETECTION_H
#define POLLENSPOOL_SCHEDULING_STALLDETECTION_H

#include "scheduling/ServerRegistry.h"

namespace pollenspool {

/// Records a server's report of \p Run that arrived at \p Now.
void recordProgress(ActiveRun &Run, const RunReport &Report, TimePoint Now);

/// Whether \p Run is stalled, compared to its own speed so far. \p Now is the
/// time of its server's last report. Long-running runs are never stalled.
bool isStalled(const ActiveRun &Run, TimePoint Now);

/// Whether most of the runs of \p S that end by themselves are stalled.
bool isStalled(const ServerState &S, TimePoint Now);

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_STALLDETECTION_H
