//===- Transact.h - Transactions that survive a lost reply ------*- C++ -*-===//

#ifndef POLLENSPOOL_PLATFORM_TRANSACT_H
#define POLLENSPOOL_PLATFORM_TRANSACT_H

#include "platform/Platform.h"

namespace pollenspool {

/// True if the call that failed with \p Fault may have taken effect. Thread
/// safe.
bool mayHaveTakenEffect(const Error &Fault);

/// Sends \p Txn again, a few times, while its fate is unknown; its token makes
/// that harmless. Errors: as Platform::transact; after Timeout and
/// ConnectionLost the transaction may still have taken effect. Precondition:
/// the token is not empty. Thread safe; blocks for as many time-outs.
Result<CommitResult> transactSurely(Platform &Service, const Transaction &Txn,
                                    CallPriority Priority);

} // namespace pollenspool

#endif // POLLENSPOOL_PLATFORM_TRANSACT_H
