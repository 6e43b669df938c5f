//===- CallLimiter.cpp - Rate limiter and circuit breaker -----------------===//

#include "platform/CallLimiter.h"
#include <algorithm>

namespace pollenspool {

namespace {

double seconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

CallLimiter::CallLimiter(const CallLimiterSettings &Settings)
    : m_Settings(Settings), m_Random(Settings.m_Seed),
      m_Backoff(Settings.m_InitialBackoff) {}

CallPermit CallLimiter::admit(CallPriority Priority, TimePoint Now) {
  refill(Now);
  if (m_State != BreakerState::Closed && !mayProbe(Now))
    return {AdmitDecision::BreakerOpen, m_Generation};
  if (!takeToken(Priority))
    return {AdmitDecision::RateLimited, m_Generation};
  if (m_State != BreakerState::Closed) {
    transitionTo(BreakerState::Probing);
    m_NextProbe = Now + m_Settings.m_ProbeTimeout;
  }
  return {AdmitDecision::Allowed, m_Generation};
}

void CallLimiter::onResult(const CallPermit &Permit, bool Ok, TimePoint Now) {
  // The result of a call that was admitted before the breaker opened says
  // nothing about the platform's current state, so it must not end the probe.
  if (Permit.m_Generation != m_Generation || m_State == BreakerState::Open)
    return;
  if (Ok) {
    m_Failures = 0;
    m_Backoff = m_Settings.m_InitialBackoff;
    if (m_State == BreakerState::Probing)
      transitionTo(BreakerState::Closed);
    return;
  }
  ++m_Failures;
  if (m_State == BreakerState::Probing ||
      m_Failures >= m_Settings.m_FailuresToOpen)
    open(Now);
}

void CallLimiter::refill(TimePoint Now) {
  double Burst = seconds(m_Settings.m_BurstTime);
  // The buckets start full, so that a process is not throttled at its start.
  double Elapsed = m_IsInitialized ? seconds(Now - m_LastRefill) : 2 * Burst;
  m_IsInitialized = true;
  m_LastRefill = Now;
  double Overflow = 0;
  double Shared = 1;
  for (std::size_t I = 0; I < CallPriorityCount; ++I) {
    double Rate = m_Settings.m_CallsPerSecond * m_Settings.m_Shares[I];
    // With a capacity below one token, a priority with a small share would
    // never get a token of its own.
    double Capacity = std::max(1.0, Rate * Burst);
    double Tokens = m_Tokens[I] + Rate * Elapsed;
    Overflow += std::max(0.0, Tokens - Capacity);
    m_Tokens[I] = std::min(Tokens, Capacity);
    Shared -= m_Settings.m_Shares[I];
  }
  double Common = std::max(0.0, Shared) * m_Settings.m_CallsPerSecond * Elapsed;
  double CommonCapacity = m_Settings.m_CallsPerSecond * Burst;
  m_CommonTokens = std::min(m_CommonTokens + Common + Overflow, CommonCapacity);
}

bool CallLimiter::takeToken(CallPriority Priority) {
  double &Own = m_Tokens[static_cast<std::size_t>(Priority)];
  double &Source = Own >= 1 ? Own : m_CommonTokens;
  if (Source < 1)
    return false;
  Source -= 1;
  return true;
}

bool CallLimiter::mayProbe(TimePoint Now) const { return Now >= m_NextProbe; }

void CallLimiter::open(TimePoint Now) {
  transitionTo(BreakerState::Open);
  m_Failures = 0;
  // Jitter prevents many entry instances from probing at the same moment.
  std::uniform_real_distribution<double> Jitter(0.5, 1.0);
  auto Wait = std::chrono::duration<double, std::micro>(
      static_cast<double>(m_Backoff.count()) * Jitter(m_Random));
  m_NextProbe = Now + std::chrono::duration_cast<Duration>(Wait);
  m_Backoff = std::min<Duration>(2 * m_Backoff, m_Settings.m_MaxBackoff);
}

void CallLimiter::transitionTo(BreakerState State) {
  m_State = State;
  ++m_Generation;
}

} // namespace pollenspool
