//===- RetryRules.h - Results that allow a retry ----------------*- C++ -*-===//
//
// A request is retried only if the last try did not run or if the request is
// safe to repeat.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_RETRY_RETRYRULES_H
#define POLLENSPOOL_RETRY_RETRYRULES_H

#include "request/Request.h"

namespace pollenspool {

/// True if a try that ended with \p Result may be followed by another try.
/// \p Repeatable: running the request twice does no harm. Thread safe.
bool mayRetry(TryResult Result, bool Repeatable);

} // namespace pollenspool

#endif // POLLENSPOOL_RETRY_RETRYRULES_H
