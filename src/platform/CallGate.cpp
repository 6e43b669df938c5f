//===- CallGate.cpp - Budget and circuit breaker of platform calls --------===//

#include "platform/CallGate.h"
#include <algorithm>

namespace pollenspool {

namespace {

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

CallGate::CallGate(const CallGateSettings &Settings)
    : m_Settings(Settings), m_Random(Settings.m_Seed),
      m_Backoff(Settings.m_FirstBackoff) {}

Admission CallGate::admit(CallPriority Priority, TimePoint Now) {
  refill(Now);
  if (m_State != BreakerState::Closed && !mayProbe(Now))
    return {Verdict::Open, m_Period};
  if (!takeToken(Priority))
    return {Verdict::OverBudget, m_Period};
  if (m_State != BreakerState::Closed) {
    enter(BreakerState::Probing);
    m_NextProbe = Now + m_Settings.m_ProbeTimeout;
  }
  return {Verdict::Allowed, m_Period};
}

void CallGate::onResult(const Admission &Admitted, bool Ok, TimePoint Now) {
  // A call from before the breaker opened says nothing about the probe.
  if (Admitted.m_Period != m_Period || m_State == BreakerState::Open)
    return;
  if (Ok) {
    m_Failures = 0;
    m_Backoff = m_Settings.m_FirstBackoff;
    if (m_State == BreakerState::Probing)
      enter(BreakerState::Closed);
    return;
  }
  ++m_Failures;
  if (m_State == BreakerState::Probing ||
      m_Failures >= m_Settings.m_FailuresToOpen)
    open(Now);
}

void CallGate::refill(TimePoint Now) {
  double Burst = seconds(m_Settings.m_BurstTime);
  // A gate starts full, so that a fresh process is not throttled.
  double Elapsed = m_Started ? seconds(Now - m_LastRefill) : 2 * Burst;
  m_Started = true;
  m_LastRefill = Now;
  double Overflow = 0;
  double Shared = 1;
  for (std::size_t I = 0; I < CallPriorityCount; ++I) {
    double Rate = m_Settings.m_CallsPerSecond * m_Settings.m_Shares[I];
    // A bucket below one token would lock out a small share.
    double Capacity = std::max(1.0, Rate * Burst);
    double Tokens = m_Tokens[I] + Rate * Elapsed;
    Overflow += std::max(0.0, Tokens - Capacity);
    m_Tokens[I] = std::min(Tokens, Capacity);
    Shared -= m_Settings.m_Shares[I];
  }
  double Common = std::max(0.0, Shared) * m_Settings.m_CallsPerSecond * Elapsed;
  double Most = m_Settings.m_CallsPerSecond * Burst;
  m_CommonTokens = std::min(m_CommonTokens + Common + Overflow, Most);
}

bool CallGate::takeToken(CallPriority Priority) {
  double &Own = m_Tokens[static_cast<std::size_t>(Priority)];
  double &Source = Own >= 1 ? Own : m_CommonTokens;
  if (Source < 1)
    return false;
  Source -= 1;
  return true;
}

bool CallGate::mayProbe(TimePoint Now) const { return Now >= m_NextProbe; }

void CallGate::open(TimePoint Now) {
  enter(BreakerState::Open);
  m_Failures = 0;
  // Jitter keeps many entry instances from probing at the same moment.
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  auto Wait = std::chrono::duration<double, std::micro>(
      static_cast<double>(m_Backoff.count()) * Jitter(m_Random));
  m_NextProbe = Now + std::chrono::duration_cast<Duration>(Wait);
  m_Backoff = std::min<Duration>(2 * m_Backoff, m_Settings.m_LongestBackoff);
}

void CallGate::enter(BreakerState State) {
  m_State = State;
  ++m_Period;
}

} // namespace pollenspool
