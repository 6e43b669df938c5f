//===- CutOffSuccessorTest.cpp - Tests of a later leader that is cut off --===//
//
// A leader that took over without reaching all servers waits for the runs of
// earlier leaders. If it loses the store, too, the next leader may reach those
// servers and record the ends of their runs.
//
//===----------------------------------------------------------------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// How long a leader waits for runs of earlier ones.
constexpr Duration WaitForUnknownRuns = 13700ms;

/// A leader of term 2 that reaches "s2" and not "s1". The start of the one task
/// was recorded by the leader before.
struct CutOffSuccessor : SchedulerFixture {
  TimePoint m_BegunAt;
  TimePoint m_ConfirmedAt;

  CutOffSuccessor() : SchedulerFixture(2), m_BegunAt(m_Now) {
    registerServer("s1");
    addServer("s2");
    list(InstanceCondition::Up);
    JobProgress Progress;
    Progress.m_State = JobState::Running;
    Progress.m_StartedSteps = {{0, 0}};
    addJob("j", {step(1)}, Progress);
  }
  std::size_t starts() const { return m_Orders.m_Starts.size(); }
  /// Lets the time pass until \p After the beginning of the term. The term is
  /// confirmed meanwhile if \p IsConfirmed is set.
  void passUntil(Duration After, bool IsConfirmed) {
    for (; m_Now < m_BegunAt + After; advance(50ms)) {
      if (m_Core->servers().find(ServerId("s1"))->m_PollPending)
        failPoll("s1");
      tickAs(IsConfirmed);
    }
    tickAs(IsConfirmed);
  }
  void tickAs(bool IsConfirmed) {
    if (IsConfirmed)
      m_ConfirmedAt = m_Now;
    Authority Granted;
    Granted.m_IsTermConfirmed = IsConfirmed;
    Granted.m_UncontestedAt = m_ConfirmedAt;
    m_Core->tick(m_Now, wall(), Granted);
  }
  /// The platform lists the instance of "s1" in \p Condition.
  void list(InstanceCondition Condition) {
    InstanceListing L;
    L.m_Id = InstanceId("on-s1");
    L.m_Pool = PoolName("desk");
    L.m_Condition = Condition;
    if (Condition == InstanceCondition::Up)
      L.m_Server = ServerId("s1");
    advance(10ms);
    m_Core->onInstances({L}, m_Now, m_Now);
  }
};

} // namespace

TEST_GROUP(CutOffSuccessor){};

// A leader that lost the store 1 s before its wait for earlier runs was over
// started tasks whose ends the next leader had recorded meanwhile.
TEST(CutOffSuccessor, TheWaitForUnknownRunsEndsOnlyWithAConfirmedTerm) {
  CutOffSuccessor W;
  W.passUntil(WaitForUnknownRuns - 1s, true);
  W.passUntil(WaitForUnknownRuns + 1s, false);
  CHECK_EQUAL(0u, W.starts());
  W.tickAs(true);
  CHECK_EQUAL(1u, W.starts());
}

// The same if the next leader had moved the server, whose runs had all ended.
TEST(CutOffSuccessor, AServerThatWasMovedMeanwhileIsStillWaitedFor) {
  CutOffSuccessor W;
  W.passUntil(2s, true);
  W.list(InstanceCondition::Moving);
  W.passUntil(4s, false);
  CHECK_EQUAL(0u, W.starts());
  W.tickAs(true);
  CHECK_EQUAL(1u, W.starts());
}

// Guards against waiting without the store for a server that had been moved
// before it was lost, and for servers that have all answered.
TEST(CutOffSuccessor, WhatWasKnownBeforeTheCutHolds) {
  CutOffSuccessor Moved;
  Moved.list(InstanceCondition::Moving);
  Moved.m_ConfirmedAt = Moved.m_Now;
  Moved.tickAs(false);
  CHECK_EQUAL(1u, Moved.starts());
  CutOffSuccessor Answered;
  Answered.m_ConfirmedAt = Answered.m_Now;
  Answered.tickAs(false);
  CHECK_EQUAL(0u, Answered.starts());
  Answered.answerPoll("s1");
  Answered.tickAs(false);
  CHECK_EQUAL(1u, Answered.starts());
}

// A task whose server had not answered until its lease expired was started
// without the store, after the next leader had recorded its end.
TEST(CutOffSuccessor, ATaskWithAnExpiredLeaseStartsOnlyUnderAConfirmedTerm) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {SchedulerFixture::step(1)});
  W.tick();
  W.answerStart(0);
  for (int N = 0; N < 120; ++N) {
    W.tick();
    if (W.m_Core->servers().find(ServerId("s1"))->m_PollPending)
      W.failPoll("s1");
    W.advance(50ms);
  }
  CHECK(W.job("j").task(W.run("j", 0, 0, 1).m_Task)->m_Runs.empty());
  W.addServer("s2");
  Authority CutOff;
  CutOff.m_IsTermConfirmed = false;
  CutOff.m_UncontestedAt = W.m_Now;
  W.advance(10ms);
  W.m_Core->tick(W.m_Now, W.wall(), CutOff);
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
}
