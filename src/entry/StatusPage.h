//===- StatusPage.h - The operators' status page ----------------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_STATUSPAGE_H
#define POLLENSPOOL_ENTRY_STATUSPAGE_H

#include "entry/Entry.h"
#include <string>

namespace pollenspool {

/// Returns the leader, queues, pools and waves as JSON. An instance that does
/// not lead returns no queues, pools and waves, but the address of the leader's
/// status page. To be called on the event loop's thread.
std::string renderOverview(const Entry &Service, TimePoint Now);

/// Returns a job with its steps and the reason why it waits as JSON. The state
/// and steps are missing if the job has ended or is unknown. Returns an empty
/// string if this instance does not lead. To be called on the event loop's
/// thread.
std::string renderJob(const Entry &Service, const JobId &Id, TimePoint Now);

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_STATUSPAGE_H
