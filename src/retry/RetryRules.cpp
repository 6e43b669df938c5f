//===- RetryRules.cpp - Results that allow a retry ------------------------===//

#include "retry/RetryRules.h"

namespace pollenspool {

bool mayRetry(TryResult Result, bool Repeatable) {
  switch (Result) {
  case TryResult::Answered:
    return false;
  case TryResult::NotRun:
    return true;
  case TryResult::AnsweredWithError:
  case TryResult::Unknown:
    return Repeatable;
  }
  return false;
}

} // namespace pollenspool
