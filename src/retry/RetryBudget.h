//===- RetryBudget.h - Retries as a share of first tries --------*- C++ -*-===//
//
// A token bucket: first tries pay in a share of a token, a retry takes one. A
// small income over time lets rare requests be retried as well.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_RETRY_RETRYBUDGET_H
#define POLLENSPOOL_RETRY_RETRYBUDGET_H

#include "base/Time.h"

namespace pollenspool {

/// Not thread safe.
class RetryBudget {
public:
  /// Precondition: \p Share is not negative.
  void setShare(double Share) { m_Share = Share; }

  void onFirstTry();

  /// Takes a token for one retry; false if there is none.
  bool take(TimePoint Now);

private:
  double m_Share = 0;
  double m_Earned = 0;
  double m_Reserve = MaxReserve;
  TimePoint m_LastRefill;

  static constexpr double MaxReserve = 3;
};

} // namespace pollenspool

#endif // POLLENSPOOL_RETRY_RETRYBUDGET_H
