//===- RetryBudget.h - Retries as a share of first tries --------*- C++ -*-===//
//
// A token bucket: each first try adds a fraction of a token and each retry
// takes one token. A small reserve that refills over time allows retries of
// services with few requests.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_RETRY_RETRYBUDGET_H
#define POLLENSPOOL_RETRY_RETRYBUDGET_H

#include "base/Time.h"

namespace pollenspool {

/// Not thread safe.
class RetryBudget {
public:
  /// Sets the tokens that each first try adds. Precondition: \p Share is not
  /// negative.
  void setShare(double Share) { m_TokensPerFirstTry = Share; }

  void onFirstTry();

  /// Takes one token for a retry. Returns false if there is none.
  bool take(TimePoint Now);

private:
  double m_TokensPerFirstTry = 0;
  double m_EarnedTokens = 0;
  double m_ReserveTokens = MaxReserveTokens;
  TimePoint m_LastRefill;

  static constexpr double MaxReserveTokens = 3;
};

} // namespace pollenspool

#endif // POLLENSPOOL_RETRY_RETRYBUDGET_H
