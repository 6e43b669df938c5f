//===- PacingTest.cpp - Tests of pacing best-effort tasks -----------------===//

#include "scheduling/Pacing.h"
#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

const RunId Serving{{JobId("web"), 0, 0, 0}, 1};
const RunId BestEffort{{JobId("batch"), 0, 0, 0}, 1};

/// A serving run with a tail latency target of 100 ms beside a best-effort run.
ServerState server(double TailLatencyMs) {
  ServerState S;
  ActiveRun Web, Batch;
  Web.m_Phase = Batch.m_Phase = RunPhase::Running;
  Web.m_TailLatencyTarget = 100;
  Web.m_LoadMeasurement = TailLatencyMs;
  Batch.m_IsBestEffort = true;
  S.m_Runs[Serving] = Web;
  S.m_Runs[BestEffort] = Batch;
  return S;
}

} // namespace

TEST_GROUP(Pacing) { TimePoint m_Now{100s}; };

TEST(Pacing, KeepsThePaceWhileTailLatencyIsLow) {
  ServerState S = server(50);
  CHECK_EQUAL(0u, adjustPaces(S, 7, m_Now).size());
}

// Tail latency stays above its target whatever the pace. Best-effort
// runs have to be suspended well before the four seconds for which the target
// may be exceeded.
TEST(Pacing, PaceReachesZeroWithinThreeSecondsOfHighTailLatency) {
  ServerState S = server(150);
  for (TimePoint End = m_Now + 3s; m_Now < End; m_Now += 100ms)
    for (const PaceOrder &Order : adjustPaces(S, 7, m_Now)) {
      CHECK(Order.m_Run == BestEffort);
      CHECK_EQUAL(7u, Order.m_Term);
    }
  CHECK_EQUAL(0u, S.m_Runs[BestEffort].m_Pace);
}

TEST(Pacing, PaceOfZeroIsOrderedAgainWhileTailLatencyIsHigh) {
  ServerState S = server(150);
  S.m_Runs[BestEffort].m_Pace = 0;
  CHECK_EQUAL(1u, adjustPaces(S, 7, m_Now).size());
  CHECK_EQUAL(0u, adjustPaces(S, 7, m_Now + 100ms).size());
  CHECK_EQUAL(1u, adjustPaces(S, 7, m_Now + 700ms).size());
}

TEST(Pacing, PaceIsRestoredInSteps) {
  ServerState S = server(20);
  S.m_Runs[BestEffort].m_Pace = 0;
  std::uint32_t Last = 0;
  for (TimePoint End = m_Now + 10s; m_Now < End; m_Now += 100ms)
    for (const PaceOrder &Order : adjustPaces(S, 7, m_Now)) {
      CHECK(Order.m_Percent > Last && Order.m_Percent <= Last + 15);
      Last = Order.m_Percent;
    }
  CHECK_EQUAL(100u, Last);
}

TEST(Pacing, PaceIsKeptBetweenTheThresholds) {
  ServerState S = server(80);
  S.m_Runs[BestEffort].m_Pace = 40;
  CHECK_EQUAL(0u, adjustPaces(S, 7, m_Now).size());
}

TEST(Pacing, SchedulerAdjustsPacesAfterAPoll) {
  SchedulerFixture W;
  W.addServer("s1", 4);
  StepSpec Web = W.step(1), Batch = W.step(1);
  Web.m_IsLongRunning = true;
  Web.m_TailLatencyTarget = 100ms;
  Batch.m_IsBestEffort = true;
  W.addJob("web", {Web});
  W.tick();
  W.answerStart(0);
  W.addJob("batch", {Batch});
  W.tick();
  W.answerStart(1);
  W.tick();
  W.advance(1s);
  W.answerPoll("s1", {{Serving, "", 100, 180}, {BestEffort, "", 10, 900}});
  CHECK_EQUAL(1u, W.m_Orders.m_Paces.size());
  CHECK(W.m_Orders.m_Paces[0].m_Run == BestEffort);
  CHECK_EQUAL(50u, W.m_Orders.m_Paces[0].m_Percent);
}
