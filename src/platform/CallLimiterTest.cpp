//===- CallLimiterTest.cpp - Tests of the rate limiter and the breaker ----===//

#include "platform/CallLimiter.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

TEST_GROUP(CallLimiter) {
  CallLimiterSettings m_Settings;
  TimePoint m_Now{1h};

  void setup() override {
    m_Settings.m_CallsPerSecond = 100;
    m_Settings.m_BurstTime = 1s;
    m_Settings.m_FailuresToOpen = 3;
  }

  int admitAll(CallLimiter & Limiter, CallPriority Priority) {
    int Count = 0;
    while (Limiter.admit(Priority, m_Now).isAllowed())
      ++Count;
    return Count;
  }

  void fail(CallLimiter & Limiter, int Times) {
    for (int I = 0; I < Times; ++I)
      Limiter.onResult(Limiter.admit(CallPriority::Claim, m_Now), false, m_Now);
  }
};

TEST(CallLimiter, BackgroundCallsDoNotUseReservedShares) {
  CallLimiter Limiter(m_Settings);
  admitAll(Limiter, CallPriority::Background);
  CHECK(Limiter.admit(CallPriority::Background, m_Now).m_Decision ==
        AdmitDecision::RateLimited);
  LONGS_EQUAL(50, admitAll(Limiter, CallPriority::Claim));
  LONGS_EQUAL(20, admitAll(Limiter, CallPriority::Safety));
  m_Now += 1s;
  admitAll(Limiter, CallPriority::Claim);
  LONGS_EQUAL(10, admitAll(Limiter, CallPriority::Background));
}

TEST(CallLimiter, RateIsLimitedOverTime) {
  CallLimiter Limiter(m_Settings);
  admitAll(Limiter, CallPriority::Claim);
  int Count = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    m_Now += 10ms;
    Count += admitAll(Limiter, CallPriority::Claim);
  }
  // The upper bound is 100 calls per second for 10 s and the initial fill of
  // the common bucket, 100 calls.
  CHECK(Count >= 450);
  CHECK(Count <= 1100);
}

TEST(CallLimiter, OpensAfterConsecutiveFailures) {
  CallLimiter Limiter(m_Settings);
  fail(Limiter, 2);
  Limiter.onResult(Limiter.admit(CallPriority::Claim, m_Now), true, m_Now);
  fail(Limiter, 2);
  CHECK_FALSE(Limiter.isOpen());
  fail(Limiter, 1);
  CHECK(Limiter.admit(CallPriority::Claim, m_Now).m_Decision ==
        AdmitDecision::BreakerOpen);
}

TEST(CallLimiter, LetsOneProbeThrough) {
  CallLimiter Limiter(m_Settings);
  fail(Limiter, 3);
  m_Now += m_Settings.m_InitialBackoff;
  CallPermit Probe = Limiter.admit(CallPriority::Claim, m_Now);
  CHECK(Probe.isAllowed());
  CHECK(Limiter.admit(CallPriority::Claim, m_Now).m_Decision ==
        AdmitDecision::BreakerOpen);
  Limiter.onResult(Probe, true, m_Now);
  CHECK_FALSE(Limiter.isOpen());
}

TEST(CallLimiter, BackoffGrowsWithFailedProbes) {
  CallLimiter Limiter(m_Settings);
  fail(Limiter, 3);
  m_Now += m_Settings.m_InitialBackoff;
  fail(Limiter, 1);
  m_Now += m_Settings.m_InitialBackoff / 2;
  CHECK_FALSE(Limiter.admit(CallPriority::Claim, m_Now).isAllowed());
  m_Now += 2 * m_Settings.m_InitialBackoff;
  CHECK(Limiter.admit(CallPriority::Claim, m_Now).isAllowed());
}

TEST(CallLimiter, ResultFromBeforeOpeningDoesNotCloseBreaker) {
  CallLimiter Limiter(m_Settings);
  CallPermit Old = Limiter.admit(CallPriority::Claim, m_Now);
  fail(Limiter, 3);
  m_Now += m_Settings.m_InitialBackoff;
  CHECK(Limiter.admit(CallPriority::Claim, m_Now).isAllowed());
  Limiter.onResult(Old, true, m_Now);
  CHECK(Limiter.isOpen());
}

TEST(CallLimiter, ProbeWithoutResultIsReplaced) {
  CallLimiter Limiter(m_Settings);
  fail(Limiter, 3);
  m_Now += m_Settings.m_InitialBackoff;
  CHECK(Limiter.admit(CallPriority::Claim, m_Now).isAllowed());
  m_Now += m_Settings.m_ProbeTimeout;
  CHECK(Limiter.admit(CallPriority::Claim, m_Now).isAllowed());
}
