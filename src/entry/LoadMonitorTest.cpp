//===- LoadMonitorTest.cpp - Tests of LoadMonitor -------------------------===//

#include "entry/LoadMonitor.h"
#include "net/ProcessorTime.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};
/// Processor time that the process used before the first window.
constexpr Duration UsedBefore = seconds(7);

SchedulerCounters counters(std::uint64_t Times) {
  SchedulerCounters C;
  C.m_Passes = 1 * Times;
  C.m_JobsExamined = 2 * Times;
  C.m_ServersExamined = 3 * Times;
  C.m_Starts = 4 * Times;
  C.m_Polls = 5 * Times;
  return C;
}

} // namespace

TEST_GROUP(LoadMonitor) { LoadMonitor m_Monitor{0.5, UsedBefore, Start}; };

TEST(LoadMonitor, WindowLastsForASecond) {
  CHECK_FALSE(m_Monitor.update(UsedBefore, {}, Start + milliseconds(999)));
  CHECK_TRUE(m_Monitor.update(UsedBefore, {}, Start + milliseconds(1000)));
  CHECK_FALSE(m_Monitor.update(UsedBefore, {}, Start + milliseconds(1999)));
  CHECK_TRUE(m_Monitor.update(UsedBefore, {}, Start + milliseconds(2000)));
}

TEST(LoadMonitor, ShareIsRelativeToTheQuota) {
  auto W =
      m_Monitor.update(UsedBefore + milliseconds(250), {}, Start + seconds(1));
  DOUBLES_EQUAL(0.5, W->m_ShareUsed, 1e-9);
  DOUBLES_EQUAL(0.5, m_Monitor.shareUsed(), 1e-9);
  CHECK_FALSE(W->isSaturated());
}

TEST(LoadMonitor, WithoutAQuotaNothingIsSaturated) {
  LoadMonitor Unlimited(0, UsedBefore, Start);
  auto W = Unlimited.update(UsedBefore + seconds(1), {}, Start + seconds(1));
  DOUBLES_EQUAL(0, W->m_ShareUsed, 1e-9);
  CHECK_FALSE(W->isSaturated());
}

TEST(LoadMonitor, ShareOfALongWindowIsAMean) {
  // A process without processor time left does not run at the end of a second.
  auto W = m_Monitor.update(UsedBefore + milliseconds(500), {},
                            Start + milliseconds(1250));
  DOUBLES_EQUAL(0.8, W->m_ShareUsed, 1e-9);
  CHECK_TRUE(Duration(milliseconds(1250)) == W->m_Length);
}

TEST(LoadMonitor, SaturatedAboveNineTenths) {
  auto W =
      m_Monitor.update(UsedBefore + milliseconds(440), {}, Start + seconds(1));
  CHECK_FALSE(W->isSaturated());
  W = m_Monitor.update(UsedBefore + milliseconds(440 + 460), {},
                       Start + seconds(2));
  CHECK_TRUE(W->isSaturated());
  W = m_Monitor.update(UsedBefore + milliseconds(440 + 460 + 100), {},
                       Start + seconds(3));
  CHECK_FALSE(W->isSaturated());
}

TEST(LoadMonitor, CountsWhatHappenedInTheWindow) {
  m_Monitor.addDecisions(milliseconds(3));
  m_Monitor.update(UsedBefore, counters(10), Start + seconds(1));
  m_Monitor.addDecisions(milliseconds(4));
  m_Monitor.addDecisions(milliseconds(5));
  auto W = m_Monitor.update(UsedBefore, counters(17), Start + seconds(2));
  CHECK_TRUE(Duration(milliseconds(9)) == W->m_DecisionTime);
  LONGS_EQUAL(2, W->m_Decisions);
  LONGS_EQUAL(7, W->m_Passes);
  LONGS_EQUAL(14, W->m_JobsExamined);
  LONGS_EQUAL(21, W->m_ServersExamined);
  LONGS_EQUAL(28, W->m_Starts);
  LONGS_EQUAL(35, W->m_Polls);
}

TEST(LoadMonitor, CountersOfANewSchedulerBeginAtZero) {
  m_Monitor.update(UsedBefore, counters(1000), Start + seconds(1));
  m_Monitor.onNewScheduler();
  auto W = m_Monitor.update(UsedBefore, counters(3), Start + seconds(2));
  LONGS_EQUAL(3, W->m_Passes);
  LONGS_EQUAL(12, W->m_Starts);
}

TEST(LoadMonitor, DecisionTimesFallIntoBuckets) {
  m_Monitor.addDecisions(std::chrono::microseconds(200));
  m_Monitor.addDecisions(std::chrono::microseconds(201));
  m_Monitor.addDecisions(seconds(2));
  const DecisionTimes &T = m_Monitor.decisionTimes();
  LONGS_EQUAL(1, T.m_Counts.front());
  LONGS_EQUAL(1, T.m_Counts[1]);
  LONGS_EQUAL(1, T.m_Counts.back());
  LONGS_EQUAL(3, T.m_Count);
  CHECK_TRUE(Duration(std::chrono::microseconds(2000401)) == T.m_Sum);
}

TEST(LoadMonitor, ProcessorTimeGrowsWithWork) {
  ProcessorTimer Timer;
  while (Timer.elapsed() < milliseconds(2)) {
  }
  CHECK_TRUE(processorTime() >= milliseconds(2));
}
