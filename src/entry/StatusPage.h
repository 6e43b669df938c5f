//===- StatusPage.h - What operators are shown of jobs ----------*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_STATUSPAGE_H
#define POLLENSPOOL_ENTRY_STATUSPAGE_H

#include "entry/Entry.h"
#include <string>

namespace pollenspool {

/// Queues, pools, waves and who leads, as JSON. An instance that does not lead
/// shows the leader's operators' address instead of pools and waves. To be
/// called on the event loop's thread.
std::string renderOverview(const Entry &Service, TimePoint Now);

/// A job that is not over, with its steps and why it waits, as JSON; empty if
/// this instance does not lead. To be called on the event loop's thread.
std::string renderJob(const Entry &Service, const JobId &Id, TimePoint Now);

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_STATUSPAGE_H
