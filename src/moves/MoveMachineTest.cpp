//===- MoveMachineTest.cpp - Tests of moves -------------------------------===//

#include "fleet/testing/FleetFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

const InstanceId First("i1000");

/// A fleet for moves from pool "desk" to "spare". Orders are sent by way of
/// entry instance 0.
struct MoveFleet {
  FleetSimulation m_Simulation{smallFleet()};

  MoveFleet() { m_Simulation.runFor(seconds(3)); }
  void start() {
    m_Simulation.order(0, startMove(view(), deskToSpare("m1", First)));
  }
  const FleetView &view() { return m_Simulation.controller(0).view(); }
  bool hasEnded() {
    const MoveRow *Move = m_Simulation.upToDateView().findMove(First);
    return Move && !Move->isActive();
  }
  std::string poolOfFirst() {
    return m_Simulation.upToDateView().findInstance(First)->m_Pool.m_Text;
  }
  void checkInvariants() {
    STRCMP_EQUAL("", m_Simulation.oracle().violation().c_str());
    CHECK(m_Simulation.oracle().notServing().empty());
  }
};

} // namespace

TEST_GROUP(MoveMachine){};

TEST(MoveMachine, MovesAnInstance) {
  MoveFleet Fleet;
  Fleet.start();
  CHECK(Fleet.m_Simulation.runUntil([&] { return Fleet.hasEnded(); },
                                    minutes(1)));
  STRCMP_EQUAL("spare", Fleet.poolOfFirst().c_str());
  Fleet.checkInvariants();
}

TEST(MoveMachine, CompletesWhereverItsRunnerStops) {
  for (StopPoint Point :
       {StopPoint::BeforeSend, StopPoint::AfterEffect, StopPoint::AfterReply})
    for (std::uint32_t Nth : {1U, 2U})
      for (Duration Pause : {Duration(0), Duration(seconds(40))}) {
        MoveFleet Fleet;
        Fleet.m_Simulation.planStop(Nth, Point, Pause);
        Fleet.start();
        CHECK(Fleet.m_Simulation.runUntil([&] { return Fleet.hasEnded(); },
                                          minutes(3)));
        CHECK(Fleet.m_Simulation.transactionCount() >= 2);
        STRCMP_EQUAL("spare", Fleet.poolOfFirst().c_str());
        Fleet.m_Simulation.runFor(minutes(1));
        Fleet.checkInvariants();
      }
}

TEST(MoveMachine, WaitsForAndNamesAnEntryInstanceThatDoesNotRespond) {
  MoveFleet Fleet;
  Fleet.m_Simulation.killEntry(2, false);
  Fleet.start();
  Fleet.m_Simulation.runFor(minutes(5));
  CHECK_FALSE(Fleet.hasEnded());
  std::string Explanations;
  for (std::size_t I : {0U, 1U})
    Explanations += Fleet.m_Simulation.controller(I).explain(First);
  STRCMP_CONTAINS("entry instance 10.0.0.2:1 has not answered",
                  Explanations.c_str());
  Fleet.m_Simulation.startEntry(2);
  CHECK(Fleet.m_Simulation.runUntil([&] { return Fleet.hasEnded(); },
                                    minutes(1)));
  Fleet.checkInvariants();
}

TEST(MoveMachine, CompletesOnceTheListShowsAStoppedEntryInstanceAsGone) {
  MoveFleet Fleet;
  Fleet.m_Simulation.killEntry(2, true);
  Fleet.start();
  CHECK(Fleet.m_Simulation.runUntil([&] { return Fleet.hasEnded(); },
                                    minutes(1)));
  Fleet.checkInvariants();
}

TEST(MoveMachine, ConflictNamesTheMoveThatCommittedFirst) {
  MoveFleet Fleet;
  auto Second = startMove(Fleet.view(), deskToSpare("m2", First));
  Fleet.start();
  Fleet.m_Simulation.runFor(seconds(1));
  auto Late =
      startMove(Fleet.m_Simulation.upToDateView(), deskToSpare("m3", First));
  CHECK_FALSE(Late);
  auto Won = startMove(Fleet.view(), deskToSpare("m3", InstanceId("i1001")));
  CHECK_FALSE(Won);
  Row Winner;
  MoveRow Move;
  Move.m_Id = MoveId("m1");
  Move.m_Operator = "m1-operator";
  Winner.m_Value = encodeRow(Move);
  std::string Text = moveConflict({Winner}).describe();
  STRCMP_CONTAINS("move m1 by m1-operator", Text.c_str());
  Fleet.m_Simulation.order(0, Second);
  Fleet.m_Simulation.runFor(seconds(30));
  STRCMP_EQUAL(
      "m1",
      Fleet.m_Simulation.upToDateView().findMove(First)->m_Id.m_Text.c_str());
}

TEST(MoveMachine, RefusesToLeaveFewerInstancesThanPromised) {
  MoveFleet Fleet;
  Fleet.start();
  Fleet.m_Simulation.runFor(seconds(20));
  auto Next = startMove(Fleet.m_Simulation.upToDateView(),
                        deskToSpare("m2", InstanceId("i1001")));
  CHECK_FALSE(Next);
  CHECK(Next.error().m_Code == ErrorCode::Refused);
}

TEST(MoveMachine, CancelReturnsTheInstanceToItsPool) {
  MoveFleet Fleet;
  Fleet.m_Simulation.killEntry(2, false);
  Fleet.start();
  Fleet.m_Simulation.runFor(seconds(10));
  Fleet.m_Simulation.order(
      0, cancelMove(Fleet.m_Simulation.upToDateView(), First, "typo"));
  Fleet.m_Simulation.runFor(seconds(5));
  CHECK(Fleet.hasEnded());
  STRCMP_EQUAL("desk", Fleet.poolOfFirst().c_str());
  Fleet.checkInvariants();
}
