//===- WaveMachineTest.cpp - Tests of maintenance waves -------------------===//

#include "fleet/testing/FleetFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const InstanceId First("i1000");
const WaveId Wave("w");

/// A fleet for waves over the pool "desk".
struct WaveFleet {
  FleetSimulation m_Simulation;

  explicit WaveFleet(const FleetSimulationSettings &Settings = smallFleet())
      : m_Simulation(Settings) {
    m_Simulation.runFor(seconds(3));
  }
  void start(const WaveOrder &Order = deskWave(4)) {
    m_Simulation.order(0, startWave(m_Simulation.controller(0).view(), Order));
  }
  const WaveRow *row() { return m_Simulation.upToDateView().findWave(Wave); }
  bool hasEnded() {
    const WaveRow *Row = row();
    return Row && !Row->isActive();
  }
  bool endsWithin(Duration Limit) {
    return m_Simulation.runUntil([this] { return hasEnded(); }, Limit);
  }
  void checkInvariants() {
    STRCMP_EQUAL("", m_Simulation.oracle().violation().c_str());
    CHECK(m_Simulation.oracle().notServing().empty());
  }
};

} // namespace

TEST_GROUP(WaveMachine){};

TEST(WaveMachine, RebootsEachMemberOnce) {
  WaveFleet Fleet;
  Fleet.start();
  CHECK(Fleet.endsWithin(minutes(5)));
  UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
  UNSIGNED_LONGS_EQUAL(4, Fleet.m_Simulation.rebootCount());
  Fleet.checkInvariants();
}

TEST(WaveMachine, CompletesWhereverItsRunnerStops) {
  for (StopPoint Point :
       {StopPoint::BeforeSend, StopPoint::AfterEffect, StopPoint::AfterReply})
    for (std::uint32_t Nth = 1; Nth <= 13; ++Nth)
      for (Duration Pause : {Duration(0), Duration(seconds(40))}) {
        WaveFleet Fleet;
        Fleet.m_Simulation.planStop(Nth, Point, Pause);
        Fleet.start();
        CHECK(Fleet.endsWithin(minutes(10)));
        CHECK(Fleet.m_Simulation.transactionCount() >= 13);
        UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
        UNSIGNED_LONGS_EQUAL(4, Fleet.m_Simulation.rebootCount());
        Fleet.m_Simulation.runFor(minutes(1));
        Fleet.checkInvariants();
      }
}

TEST(WaveMachine, EndsWithAFailedMemberThatKeepsItsBudgetUnit) {
  FleetSimulationSettings Settings = smallFleet();
  Settings.m_Pools[0].m_MinServing = 2;
  Settings.m_Pools[0].m_AvailabilityBudget = 2;
  WaveFleet Fleet(Settings);
  Fleet.m_Simulation.setNeverReturns(First, true);
  Fleet.start();
  CHECK(Fleet.endsWithin(minutes(15)));
  UNSIGNED_LONGS_EQUAL(3, Fleet.row()->m_Done);
  UNSIGNED_LONGS_EQUAL(1, Fleet.row()->m_Failed.size());
  STRCMP_EQUAL("", Fleet.m_Simulation.oracle().violation().c_str());
  PoolMemberCounts MemberCounts =
      Fleet.m_Simulation.upToDateView().memberCounts(PoolName("desk"));
  UNSIGNED_LONGS_EQUAL(1, MemberCounts.m_Held);
  // The failed member serves again once it recovers.
  Fleet.m_Simulation.recoverInstances();
  Fleet.m_Simulation.runFor(minutes(5));
  Fleet.checkInvariants();
}

TEST(WaveMachine, FailsAMemberThatReturnsUnhealthy) {
  WaveFleet Fleet;
  Fleet.m_Simulation.setReturnsUnhealthy(First, true);
  Fleet.start();
  // The failed member holds the pool's only budget unit, so the other members
  // are blocked and fail as well.
  CHECK(Fleet.endsWithin(minutes(15)));
  STRCMP_EQUAL("returned from its reboot but fails its health checks",
               Fleet.row()->m_Failed[0].m_Reason.c_str());
  UNSIGNED_LONGS_EQUAL(1, Fleet.m_Simulation.rebootCount());
}

TEST(WaveMachine, WaitsWhileAnUnavailableInstanceUsesTheBudget) {
  FleetSimulationSettings Settings = smallFleet();
  Settings.m_Pools[0].m_MinServing = 1;
  WaveFleet Fleet(Settings);
  Fleet.m_Simulation.failInstance(InstanceId("i1003"), minutes(3));
  Fleet.m_Simulation.runFor(seconds(5));
  Fleet.start();
  Fleet.m_Simulation.runFor(minutes(2));
  UNSIGNED_LONGS_EQUAL(0, Fleet.m_Simulation.rebootCount());
  FleetStatus Status = Fleet.m_Simulation.controller(0).status();
  CHECK_FALSE(Status.m_Waves[0].m_PendingReason.empty());
  CHECK(Fleet.endsWithin(minutes(10)));
  UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
  Fleet.checkInvariants();
}

TEST(WaveMachine, CompletesAfterAPlatformOutage) {
  WaveFleet Fleet;
  Fleet.start();
  Fleet.m_Simulation.runFor(seconds(10));
  Fleet.m_Simulation.setOutage(true);
  Fleet.m_Simulation.runFor(minutes(8));
  Fleet.m_Simulation.setOutage(false);
  CHECK(Fleet.endsWithin(minutes(5)));
  UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
  Fleet.checkInvariants();
}

TEST(WaveMachine, CancelReturnsAllInstancesToService) {
  for (Duration After : {seconds(1), seconds(3), seconds(10), seconds(25)}) {
    WaveFleet Fleet;
    Fleet.start();
    Fleet.m_Simulation.runFor(After);
    Fleet.m_Simulation.order(
        0, cancelWave(Fleet.m_Simulation.upToDateView(), Wave));
    CHECK(Fleet.endsWithin(minutes(2)));
    CHECK(Fleet.row()->m_State == WaveState::Cancelled);
    Fleet.checkInvariants();
  }
}

TEST(WaveMachine, CancelEndsADrainThatCannotComplete) {
  WaveFleet Fleet;
  Fleet.m_Simulation.killEntry(2, false);
  Fleet.start();
  Fleet.m_Simulation.runFor(seconds(20));
  UNSIGNED_LONGS_EQUAL(1, Fleet.m_Simulation.oracle().notServing().size());
  Fleet.m_Simulation.order(0,
                           cancelWave(Fleet.m_Simulation.upToDateView(), Wave));
  CHECK(Fleet.endsWithin(seconds(20)));
  Fleet.checkInvariants();
}

TEST(WaveMachine, PausedWaveStartsNoDrainUntilResumed) {
  WaveFleet Fleet;
  Fleet.start();
  Fleet.m_Simulation.runFor(seconds(3));
  Fleet.m_Simulation.order(0,
                           pauseWave(Fleet.m_Simulation.upToDateView(), Wave));
  Fleet.m_Simulation.runFor(minutes(3));
  CHECK(Fleet.m_Simulation.rebootCount() <= 1);
  CHECK(Fleet.m_Simulation.oracle().notServing().empty());
  Fleet.m_Simulation.order(0,
                           resumeWave(Fleet.m_Simulation.upToDateView(), Wave));
  CHECK(Fleet.endsWithin(minutes(5)));
  UNSIGNED_LONGS_EQUAL(4, Fleet.row()->m_Done);
}

TEST(WaveMachine, RefusesInvalidOrders) {
  WaveFleet Fleet;
  const FleetView &View = Fleet.m_Simulation.upToDateView();
  CHECK(startWave(View, deskWave(0)).error().m_Code ==
        ErrorCode::InvalidArgument);
  WaveOrder Empty = deskWave(1);
  Empty.m_Set.m_Name = "nowhere";
  CHECK(startWave(View, Empty).error().m_Code == ErrorCode::NotFound);
  CHECK(pauseWave(View, Wave).error().m_Code == ErrorCode::NotFound);
  Fleet.start();
  const FleetView &Later = Fleet.m_Simulation.upToDateView();
  CHECK(startWave(Later, deskWave(1)).error().m_Code == ErrorCode::Conflict);
  CHECK(resumeWave(Later, Wave).error().m_Code == ErrorCode::Conflict);
}

TEST(WaveMachine, DoesNotTakeARestartForTheReboot) {
  // An unplanned restart that the list does not show yet raises the epoch like
  // a reboot does. If the wave took it for the reboot, the instance would serve
  // while the platform reboots it.
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    FleetSimulationSettings Settings = smallFleet();
    Settings.m_Seed = Seed;
    Settings.m_ListLag = seconds(8);
    Settings.m_RequestTime = seconds(0);
    WaveFleet Fleet(Settings);
    for (const InstanceId &Id : Fleet.m_Simulation.instances())
      Fleet.m_Simulation.failInstance(Id, Duration(1));
    Fleet.start();
    CHECK(Fleet.endsWithin(minutes(10)));
    CHECK_FALSE(Fleet.m_Simulation.hasServedInReboot());
    Fleet.checkInvariants();
  }
}
