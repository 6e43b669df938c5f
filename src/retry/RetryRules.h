//===- RetryRules.h - Which tries may be repeated ---------------*- C++ -*-===//
//
// Only what is not run, or does no harm when run again, is tried again.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_RETRY_RETRYRULES_H
#define POLLENSPOOL_RETRY_RETRYRULES_H

#include "request/Request.h"

namespace pollenspool {

/// True if a try that came to \p Result may be followed by another one. Thread
/// safe.
bool mayRetry(TryResult Result, bool Repeatable);

} // namespace pollenspool

#endif // POLLENSPOOL_RETRY_RETRYRULES_H
