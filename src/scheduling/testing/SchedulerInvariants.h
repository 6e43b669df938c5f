//===- SchedulerInvariants.h - Consistency of a scheduler's state -*- C++ -*-=//

#ifndef POLLENSPOOL_SCHEDULING_TESTING_SCHEDULERINVARIANTS_H
#define POLLENSPOOL_SCHEDULING_TESTING_SCHEDULERINVARIANTS_H

#include "scheduling/Scheduler.h"
#include <string>

namespace pollenspool {

/// Describes the first inconsistency in the state of \p Core; empty if there is
/// none. May be called between any two events. Checks that
/// - a released task that is neither done nor running is in its job's ready
///   list or has a planned start, and no task is in more than one place;
/// - a job with ready tasks is in one placement queue, or will be added to one;
/// - a planned start that waits for a record has been asked for;
/// - the free resources and runs of each server agree with its runs, the
///   planned starts and the tasks;
/// - a server is kept for suspected tasks only while it has one or is to get
///   one.
/// Not thread safe.
std::string findInconsistency(Scheduler &Core);

/// Describes the tasks of \p Job that are not done, for error messages.
std::string describeTasks(const LiveJob &Job);

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_TESTING_SCHEDULERINVARIANTS_H
