//===- CallGateTest.cpp - Tests of the budget and the breaker -------------===//

#include "platform/CallGate.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

TEST_GROUP(CallGate) {
  CallGateSettings m_Settings;
  TimePoint m_Now{1h};

  void setup() override {
    m_Settings.m_CallsPerSecond = 100;
    m_Settings.m_BurstTime = 1s;
    m_Settings.m_FailuresToOpen = 3;
  }

  int admitAll(CallGate & Gate, CallPriority Priority) {
    int Count = 0;
    while (Gate.admit(Priority, m_Now).isAllowed())
      ++Count;
    return Count;
  }

  void fail(CallGate & Gate, int Times) {
    for (int I = 0; I < Times; ++I)
      Gate.onResult(Gate.admit(CallPriority::Claim, m_Now), false, m_Now);
  }
};

TEST(CallGate, BackgroundLeavesEachShare) {
  CallGate Gate(m_Settings);
  admitAll(Gate, CallPriority::Background);
  CHECK(Gate.admit(CallPriority::Background, m_Now).m_Verdict ==
        Verdict::OverBudget);
  LONGS_EQUAL(50, admitAll(Gate, CallPriority::Claim));
  LONGS_EQUAL(20, admitAll(Gate, CallPriority::Safety));
  m_Now += 1s;
  admitAll(Gate, CallPriority::Claim);
  LONGS_EQUAL(10, admitAll(Gate, CallPriority::Background));
}

TEST(CallGate, RateHoldsOverTime) {
  CallGate Gate(m_Settings);
  admitAll(Gate, CallPriority::Claim);
  int Count = 0;
  for (int Step = 0; Step < 1000; ++Step) {
    m_Now += 10ms;
    Count += admitAll(Gate, CallPriority::Claim);
  }
  // 10 s at 100 calls a second and the common bucket's initial fill.
  CHECK(Count >= 450);
  CHECK(Count <= 1100);
}

TEST(CallGate, OpensAfterConsecutiveFailures) {
  CallGate Gate(m_Settings);
  fail(Gate, 2);
  Gate.onResult(Gate.admit(CallPriority::Claim, m_Now), true, m_Now);
  fail(Gate, 2);
  CHECK_FALSE(Gate.isOpen());
  fail(Gate, 1);
  CHECK(Gate.admit(CallPriority::Claim, m_Now).m_Verdict == Verdict::Open);
}

TEST(CallGate, LetsOneProbeThrough) {
  CallGate Gate(m_Settings);
  fail(Gate, 3);
  m_Now += m_Settings.m_FirstBackoff;
  Admission Probe = Gate.admit(CallPriority::Claim, m_Now);
  CHECK(Probe.isAllowed());
  CHECK(Gate.admit(CallPriority::Claim, m_Now).m_Verdict == Verdict::Open);
  Gate.onResult(Probe, true, m_Now);
  CHECK_FALSE(Gate.isOpen());
}

TEST(CallGate, BackoffGrowsWithFailedProbes) {
  CallGate Gate(m_Settings);
  fail(Gate, 3);
  m_Now += m_Settings.m_FirstBackoff;
  fail(Gate, 1);
  m_Now += m_Settings.m_FirstBackoff / 2;
  CHECK_FALSE(Gate.admit(CallPriority::Claim, m_Now).isAllowed());
  m_Now += 2 * m_Settings.m_FirstBackoff;
  CHECK(Gate.admit(CallPriority::Claim, m_Now).isAllowed());
}

TEST(CallGate, LateResultDoesNotClose) {
  CallGate Gate(m_Settings);
  Admission Old = Gate.admit(CallPriority::Claim, m_Now);
  fail(Gate, 3);
  m_Now += m_Settings.m_FirstBackoff;
  CHECK(Gate.admit(CallPriority::Claim, m_Now).isAllowed());
  Gate.onResult(Old, true, m_Now);
  CHECK(Gate.isOpen());
}

TEST(CallGate, LostProbeIsReplaced) {
  CallGate Gate(m_Settings);
  fail(Gate, 3);
  m_Now += m_Settings.m_FirstBackoff;
  CHECK(Gate.admit(CallPriority::Claim, m_Now).isAllowed());
  m_Now += m_Settings.m_ProbeTimeout;
  CHECK(Gate.admit(CallPriority::Claim, m_Now).isAllowed());
}
