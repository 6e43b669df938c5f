//===- Transact.cpp - Retries after a lost reply --------------------------===//

#include "platform/Transact.h"

namespace pollenspool {

namespace {

/// Bounds the total time to this number of call time-outs.
constexpr int MaxTries = 4;

} // namespace

bool mayHaveTakenEffect(const Error &Fault) {
  return Fault.m_Code == ErrorCode::Timeout ||
         Fault.m_Code == ErrorCode::ConnectionLost;
}

Result<CommitResult> transactWithRetries(Platform &Service,
                                         const Transaction &Txn,
                                         CallPriority Priority) {
  Result<CommitResult> Done = Service.transact(Txn, Priority);
  for (int Try = 1; Try < MaxTries; ++Try) {
    if (Done || !mayHaveTakenEffect(Done.error()))
      break;
    Done = Service.transact(Txn, Priority);
  }
  return Done;
}

} // namespace pollenspool
