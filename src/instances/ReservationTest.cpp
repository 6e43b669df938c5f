//===- ReservationTest.cpp - Tests of servers kept from taking tasks ------===//

#include "instances/testing/PlannerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A planner fixture whose pool "hall" needs the idle servers of "desk".
struct ReservationFixture : PlannerFixture {
  ReservationFixture() {
    for (const char *Server : {"s0", "s1"}) {
      m_World.addServer(Server);
      list(Server, "desk");
    }
    addHall("h1", 40);
  }
  ServerState &server(const InstanceOrder &Order) {
    return *m_World.m_Core->servers().find(Order.m_Server);
  }
  /// Plans the move of one server and reports \p R for it.
  InstanceOrder orderMove(InstanceOrderResult R) {
    InstanceOrder Order = plan().at(0);
    m_Planner->onOrderResult(Order, R, m_World.m_Now);
    return Order;
  }
  InstanceListing &listing(const InstanceOrder &Order) {
    for (InstanceListing &L : m_List)
      if (L.m_Id == Order.m_Instance)
        return L;
    FAIL("the instance is not listed");
    return m_List.front();
  }
  void listAs(const InstanceOrder &Order, InstanceCondition Condition) {
    listing(Order).m_Condition = Condition;
    applyList();
  }
  /// Registers the server \p Id again as it was when the order was planned.
  void repeatRegistration(const InstanceOrder &Order) {
    m_World.m_Core->onServer(server(Order).m_Registration, m_World.m_Now);
  }
  /// Lets the server of \p Order start again under its ID in pool \p Pool.
  void restart(const InstanceOrder &Order, const std::string &Pool) {
    ServerRegistration R = server(Order).m_Registration;
    R.m_Pool = PoolName(Pool);
    R.m_StartTimeMs = ++m_World.m_StartTimeMs;
    m_World.m_Core->onServer(R, m_World.m_Now);
    m_World.advance(100ms);
    m_World.tick();
    m_World.answerPoll(Order.m_Server.m_Text);
    listing(Order).m_Pool = R.m_Pool;
    listAs(Order, InstanceCondition::Up);
    plan();
  }
};

} // namespace

TEST_GROUP(Reservation){};

// Guards against a server that takes no tasks for the rest of a term: its
// instance had moved, a late registration kept its state, and it started again
// under its ID.
TEST(Reservation, AServerThatReturnsUnderItsIdAfterAMoveTakesTasks) {
  ReservationFixture W;
  auto Order = W.orderMove(InstanceOrderResult::Done);
  W.repeatRegistration(Order);
  W.listAs(Order, InstanceCondition::Moving);
  CHECK(W.server(Order).m_Reserved);
  W.m_World.advance(1500ms);
  W.restart(Order, "hall");
  CHECK_FALSE(W.server(Order).m_Reserved);
}

// Guards against the same after an order whose answer was lost, for a server
// whose instance was listed as down before it started again under its ID.
TEST(Reservation, AServerThatRestartsAfterAnUnansweredOrderTakesTasks) {
  ReservationFixture W;
  auto Order = W.orderMove(InstanceOrderResult::Unknown);
  W.listAs(Order, InstanceCondition::Down);
  W.restart(Order, "desk");
  CHECK_FALSE(W.server(Order).m_Reserved);
}

// Guards against the same if the order was not carried out, and the first list
// after it missed the instance.
TEST(Reservation, AnInstanceMissingFromOneListIsNotReservedForEver) {
  ReservationFixture W;
  auto Order = W.orderMove(InstanceOrderResult::Unknown);
  W.applyListWithout(Order.m_Instance);
  W.applyList();
  W.m_Planner->plan(W.m_World.m_Now, W.m_World.wall(), 0);
  CHECK_FALSE(W.server(Order).m_Reserved);
}

// Guards against starts on a server that the platform has shut down: the
// answer to the order was lost, and the list shows that its instance moves.
TEST(Reservation, AServerThatIsListedAsGoneStaysReserved) {
  ReservationFixture W;
  auto Order = W.orderMove(InstanceOrderResult::Unknown);
  W.m_World.advance(10ms);
  W.listAs(Order, InstanceCondition::Moving);
  W.plan();
  CHECK(W.server(Order).m_Reserved);
}

// Guards against servers that stay reserved for another pool while nothing is
// planned, because the platform listed no instances.
TEST(Reservation, FreedServersTakeTasksWhileNoInstancesAreListed) {
  PlannerFixture W;
  W.addDesk(4, 200);
  W.addHall("h1", 12);
  W.plan();
  CHECK_EQUAL(1u, W.reserved());
  W.m_List.clear();
  W.applyList();
  W.plan();
  CHECK_EQUAL(0u, W.reserved());
}
