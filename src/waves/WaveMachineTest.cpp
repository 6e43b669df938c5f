//===- WaveMachineTest.cpp - Tests of maintenance waves -------------------===//

#include "fleet/testing/FleetFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const InstanceId First("i1000");
const WaveId Wave("w");

/// A fleet of which the pool "desk" is to be maintained.
struct WaveFleet {
  FleetWorld m_World;

  explicit WaveFleet(const WorldSettings &Settings = smallFleet())
      : m_World(Settings) {
    m_World.runFor(seconds(3));
  }
  void start(const WaveOrder &Order = deskWave(4)) {
    m_World.order(0, startWave(m_World.controller(0).view(), Order));
  }
  const WaveRow *row() { return m_World.freshView().findWave(Wave); }
  bool hasEnded() {
    const WaveRow *Row = row();
    return Row && !Row->isActive();
  }
  bool endsWithin(Duration Limit) {
    return m_World.runUntil([this] { return hasEnded(); }, Limit);
  }
  void checkHeld() {
    STRCMP_EQUAL("", m_World.oracle().violation().c_str());
    CHECK(m_World.oracle().notServing().empty());
  }
};

} // namespace

TEST_GROUP(WaveMachine){};

TEST(WaveMachine, RebootsEachMemberOnce) {
  WaveFleet Fleet;
  Fleet.start();
  CHECK(Fleet.endsWithin(minutes(5)));
  UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
  UNSIGNED_LONGS_EQUAL(4, Fleet.m_World.rebootCount());
  Fleet.checkHeld();
}

TEST(WaveMachine, EndsWhereverItsRunnerStops) {
  for (StopPoint Point :
       {StopPoint::BeforeSend, StopPoint::AfterEffect, StopPoint::AfterReply})
    for (std::uint32_t Nth = 1; Nth <= 13; ++Nth)
      for (Duration Pause : {Duration(0), Duration(seconds(40))}) {
        WaveFleet Fleet;
        Fleet.m_World.planStop(Nth, Point, Pause);
        Fleet.start();
        CHECK(Fleet.endsWithin(minutes(10)));
        CHECK(Fleet.m_World.transactionCount() >= 13);
        UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
        UNSIGNED_LONGS_EQUAL(4, Fleet.m_World.rebootCount());
        Fleet.m_World.runFor(minutes(1));
        Fleet.checkHeld();
      }
}

TEST(WaveMachine, EndsWithAFailedMemberThatKeepsItsUnit) {
  WorldSettings Settings = smallFleet();
  Settings.m_Pools[0].m_Promised = 2;
  Settings.m_Pools[0].m_AvailabilityBudget = 2;
  WaveFleet Fleet(Settings);
  Fleet.m_World.setNeverReturns(First, true);
  Fleet.start();
  CHECK(Fleet.endsWithin(minutes(15)));
  UNSIGNED_LONGS_EQUAL(3, Fleet.row()->m_Done);
  UNSIGNED_LONGS_EQUAL(1, Fleet.row()->m_Failed.size());
  STRCMP_EQUAL("", Fleet.m_World.oracle().violation().c_str());
  PoolLoad Load = Fleet.m_World.freshView().load(PoolName("desk"));
  UNSIGNED_LONGS_EQUAL(1, Load.m_Held);
  // It serves again when it recovers after all.
  Fleet.m_World.healInstances();
  Fleet.m_World.runFor(minutes(5));
  Fleet.checkHeld();
}

TEST(WaveMachine, FailsAMemberThatComesBackSick) {
  WaveFleet Fleet;
  Fleet.m_World.setReturnsSick(First, true);
  Fleet.start();
  // Its unit is the pool's only one, so the others are given up in the end.
  CHECK(Fleet.endsWithin(minutes(15)));
  STRCMP_EQUAL("came back and fails its health checks",
               Fleet.row()->m_Failed[0].m_Reason.c_str());
  UNSIGNED_LONGS_EQUAL(1, Fleet.m_World.rebootCount());
}

TEST(WaveMachine, PausesByItselfWhileTheBudgetIsLost) {
  WorldSettings Settings = smallFleet();
  Settings.m_Pools[0].m_Promised = 1;
  WaveFleet Fleet(Settings);
  Fleet.m_World.loseInstance(InstanceId("i1003"), minutes(3));
  Fleet.m_World.runFor(seconds(5));
  Fleet.start();
  Fleet.m_World.runFor(minutes(2));
  UNSIGNED_LONGS_EQUAL(0, Fleet.m_World.rebootCount());
  FleetStatus Status = Fleet.m_World.controller(0).status();
  CHECK_FALSE(Status.m_Waves[0].m_Waits.empty());
  CHECK(Fleet.endsWithin(minutes(10)));
  UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
  Fleet.checkHeld();
}

TEST(WaveMachine, WaitsForAnOutageToEnd) {
  WaveFleet Fleet;
  Fleet.start();
  Fleet.m_World.runFor(seconds(10));
  Fleet.m_World.setOutage(true);
  Fleet.m_World.runFor(minutes(8));
  Fleet.m_World.setOutage(false);
  CHECK(Fleet.endsWithin(minutes(5)));
  UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
  Fleet.checkHeld();
}

TEST(WaveMachine, CancelLeavesNothingBehind) {
  for (Duration After : {seconds(1), seconds(3), seconds(10), seconds(25)}) {
    WaveFleet Fleet;
    Fleet.start();
    Fleet.m_World.runFor(After);
    Fleet.m_World.order(0, cancelWave(Fleet.m_World.freshView(), Wave));
    CHECK(Fleet.endsWithin(minutes(2)));
    CHECK(Fleet.row()->m_State == WaveState::Cancelled);
    Fleet.checkHeld();
  }
}

TEST(WaveMachine, CancelEndsADrainThatCannotFinish) {
  WaveFleet Fleet;
  Fleet.m_World.killEntry(2, false);
  Fleet.start();
  Fleet.m_World.runFor(seconds(20));
  UNSIGNED_LONGS_EQUAL(1, Fleet.m_World.oracle().notServing().size());
  Fleet.m_World.order(0, cancelWave(Fleet.m_World.freshView(), Wave));
  CHECK(Fleet.endsWithin(seconds(20)));
  Fleet.checkHeld();
}

TEST(WaveMachine, PauseTakesNothingMoreAndResumeGoesOn) {
  WaveFleet Fleet;
  Fleet.start();
  Fleet.m_World.runFor(seconds(3));
  Fleet.m_World.order(0, pauseWave(Fleet.m_World.freshView(), Wave));
  Fleet.m_World.runFor(minutes(3));
  CHECK(Fleet.m_World.rebootCount() <= 1);
  CHECK(Fleet.m_World.oracle().notServing().empty());
  Fleet.m_World.order(0, resumeWave(Fleet.m_World.freshView(), Wave));
  CHECK(Fleet.endsWithin(minutes(5)));
  UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
}

TEST(WaveMachine, RefusesFaultyOrders) {
  WaveFleet Fleet;
  const FleetView &View = Fleet.m_World.freshView();
  CHECK(startWave(View, deskWave(0)).error().m_Code ==
        ErrorCode::InvalidArgument);
  WaveOrder Empty = deskWave(1);
  Empty.m_Set.m_Name = "nowhere";
  CHECK(startWave(View, Empty).error().m_Code == ErrorCode::NotFound);
  CHECK(pauseWave(View, Wave).error().m_Code == ErrorCode::NotFound);
  Fleet.start();
  const FleetView &Later = Fleet.m_World.freshView();
  CHECK(startWave(Later, deskWave(1)).error().m_Code == ErrorCode::Conflict);
  CHECK(resumeWave(Later, Wave).error().m_Code == ErrorCode::Conflict);
}

TEST(WaveMachine, TakesTheRestartBeforeARebootForNoReboot) {
  // An unplanned restart that the list has not told of yet raises the epoch
  // just like the reboot; the instance must not serve until the reboot is over.
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    WorldSettings Settings = smallFleet();
    Settings.m_Seed = Seed;
    Settings.m_ListLag = seconds(8);
    Settings.m_RequestTime = seconds(0);
    WaveFleet Fleet(Settings);
    for (const InstanceId &Id : Fleet.m_World.instances())
      Fleet.m_World.loseInstance(Id, Duration(1));
    Fleet.start();
    CHECK(Fleet.endsWithin(minutes(10)));
    CHECK_FALSE(Fleet.m_World.hasServedInReboot());
    Fleet.checkHeld();
  }
}
