//===- Transact.h - Retries after a lost reply ------------------*- C++ -*-===//

#ifndef POLLENSPOOL_PLATFORM_TRANSACT_H
#define POLLENSPOOL_PLATFORM_TRANSACT_H

#include "platform/Platform.h"

namespace pollenspool {

/// Returns true if the call that failed with \p Fault may have taken effect.
/// Thread safe.
bool mayHaveTakenEffect(const Error &Fault);

/// Sends \p Txn and repeats it, up to four tries in all, while its outcome is
/// unknown. The token prevents a second commit. Errors: those of
/// Platform::transact; after Timeout and ConnectionLost the transaction may
/// still have taken effect. Precondition: the token is not empty. Thread safe.
/// Blocks for at most four call time-outs.
Result<CommitResult> transactWithRetries(Platform &Service,
                                         const Transaction &Txn,
                                         CallPriority Priority);

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_TRANSACT_H
