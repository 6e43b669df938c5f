//===- RetryBudget.cpp - Retries as a share of first tries ----------------===//

#include "retry/RetryBudget.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr double MaxEarnedTokens = 100;
constexpr double ReserveTokensPerSecond = 1;

} // namespace

void RetryBudget::onFirstTry() {
  m_EarnedTokens =
      std::min(m_EarnedTokens + m_TokensPerFirstTry, MaxEarnedTokens);
}

bool RetryBudget::take(TimePoint Now) {
  std::chrono::duration<double> Idle = Now - m_LastRefill;
  m_LastRefill = Now;
  m_ReserveTokens =
      std::min(m_ReserveTokens + Idle.count() * ReserveTokensPerSecond,
               MaxReserveTokens);
  double &Source = m_EarnedTokens >= 1 ? m_EarnedTokens : m_ReserveTokens;
  if (Source < 1)
    return false;
  Source -= 1;
  return true;
}

} // namespace pollenspool
