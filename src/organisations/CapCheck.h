//===- CapCheck.h - Jobs that can never run under a cap ---------*- C++ -*-===//

#ifndef POLLENSPOOL_ORGANISATIONS_CAPCHECK_H
#define POLLENSPOOL_ORGANISATIONS_CAPCHECK_H

#include "jobs/JobSpec.h"

namespace pollenspool {

/// Whether each task of \p Job, and each gang as a whole, fits in \p Cap. An
/// amount of 0 in \p Cap is unlimited. Thread safe.
bool canRunUnderCap(const JobSpec &Job, const Resources &Cap);

} // namespace pollenspool

#endif // POLLENSPOOL_ORGANISATIONS_CAPCHECK_H
