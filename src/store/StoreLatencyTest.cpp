//===- StoreLatencyTest.cpp - Tests of the latency estimate ---------------===//

#include "store/StoreLatency.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

TEST_GROUP(StoreLatency) {
  StoreLatency m_Latency;
  TimePoint m_Now{1h};
};

// Calls to a store 57 times slower were given up after 0.7 s and repeated, so
// that it had more to do and answered none in time.
TEST(StoreLatency, TimeoutFollowsASlowStore) {
  CHECK(m_Latency.callTimeout(700ms, 2500ms, m_Now) == 700ms);
  m_Latency.onAnswer(10ms, m_Now);
  CHECK(m_Latency.callTimeout(700ms, 2500ms, m_Now) == 700ms);
  m_Latency.onAnswer(400ms, m_Now);
  CHECK(m_Latency.isSlow(m_Now));
  CHECK(m_Latency.callTimeout(700ms, 2500ms, m_Now) == 1600ms);
  CHECK(m_Latency.callTimeout(700ms, 1000ms, m_Now) == 1000ms);
}

TEST(StoreLatency, OldAnswersAreForgotten) {
  m_Latency.onAnswer(400ms, m_Now);
  m_Now += 1500ms;
  m_Latency.onAnswer(10ms, m_Now);
  CHECK(m_Latency.expected(m_Now) == 400ms);
  m_Now += 1s;
  m_Latency.onAnswer(10ms, m_Now);
  CHECK(m_Latency.expected(m_Now) == 10ms);
  m_Now += 2s;
  CHECK(m_Latency.expected(m_Now) == 0ms);
}

// A store that became slower than the timeout at once was never waited for.
TEST(StoreLatency, TimeoutGrowsWhileNoCallIsAnswered) {
  m_Latency.onTimeout(700ms, m_Now);
  CHECK(m_Latency.callTimeout(700ms, 2500ms, m_Now) == 1400ms);
  m_Latency.onTimeout(1400ms, m_Now);
  CHECK(m_Latency.callTimeout(700ms, 2500ms, m_Now) == 2500ms);
  // Only some answers are lost.
  m_Latency.onAnswer(10ms, m_Now);
  CHECK(m_Latency.callTimeout(700ms, 2500ms, m_Now) == 700ms);
}
