//===- RetryBudget.cpp - Retries as a share of first tries ----------------===//

#include "retry/RetryBudget.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr double MaxEarned = 100;
constexpr double ReservePerSecond = 1;

} // namespace

void RetryBudget::onFirstTry() {
  m_Earned = std::min(m_Earned + m_Share, MaxEarned);
}

bool RetryBudget::take(TimePoint Now) {
  std::chrono::duration<double> Idle = Now - m_LastRefill;
  m_LastRefill = Now;
  m_Reserve = std::min(m_Reserve + Idle.count() * ReservePerSecond, MaxReserve);
  double &Source = m_Earned >= 1 ? m_Earned : m_Reserve;
  if (Source < 1)
    return false;
  Source -= 1;
  return true;
}

} // namespace pollenspool
