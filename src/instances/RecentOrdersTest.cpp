//===- RecentOrdersTest.cpp - Tests of RecentOrders and StoreClock --------===//

#include "instances/RecentOrders.h"
#include "store/StoreClock.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr Duration MinInterval = 3s;
const InstanceId Id("m-1");

Duration waitAt(std::chrono::milliseconds Now, const std::string &Leader) {
  RecentOrders Orders;
  Orders.add(Id, 100000ms, "first");
  auto Read = RecentOrders::decode(Orders.encode());
  return RecentOrders::remainingWait(Read.value().all().at(Id), Leader,
                                     MinInterval, Now);
}

} // namespace

TEST_GROUP(RecentOrders){};

// Guards against a new leader that defers orders for every announced instance
// by the whole minimum interval. Seen when all entry instances were killed just
// before demand changed.
TEST(RecentOrders, NextLeaderWaitsForTheRestOfTheMinimumInterval) {
  CHECK(waitAt(100000ms, "next") > MinInterval);
  CHECK(waitAt(102000ms, "next") >= MinInterval - 2s);
  CHECK(waitAt(102000ms, "next") < MinInterval);
  CHECK(waitAt(104500ms, "next") == Duration(0));
}

TEST(RecentOrders, SameLeaderDoesNotWait) {
  CHECK(waitAt(100000ms, "first") == Duration(0));
}

TEST(RecentOrders, LeaderWaitsForTheWholeIntervalIfATimeIsUnknown) {
  RecentOrders::Announcement E{0ms, "first"};
  CHECK(RecentOrders::remainingWait(E, "next", MinInterval, 500ms) >
        MinInterval);
  E.m_At = 100000ms;
  CHECK(RecentOrders::remainingWait(E, "next", MinInterval, 0ms) > MinInterval);
}

TEST(RecentOrders, RemovesExpiredAnnouncements) {
  RecentOrders Orders;
  Orders.add(InstanceId("old"), 1000ms, "a");
  Orders.add(InstanceId("new"), 5000ms, "a");
  Orders.removeExpired(3s, 6000ms);
  CHECK_EQUAL(1u, Orders.all().size());
  CHECK(Orders.all().count(InstanceId("new")));
}

// A leader announces orders with an unknown time before its first answer of the
// store. They were removed as expired, so that the next leader did not wait.
TEST(RecentOrders, AnAnnouncementOfUnknownTimeIsKeptForTheWholeInterval) {
  RecentOrders Orders;
  Orders.add(InstanceId("i1"), 0ms, "a");
  Orders.removeExpired(3s, 100s);
  CHECK_EQUAL(1u, Orders.all().size());
  CHECK(RecentOrders::remainingWait(Orders.all().begin()->second, "b", 3s,
                                    100s) >= 3s);
  Orders.removeExpired(3s, 110s);
  CHECK_EQUAL(0u, Orders.all().size());
}

TEST(RecentOrders, DecodeRejectsInvalidText) {
  CHECK_FALSE(RecentOrders::decode("[1").has_value());
  CHECK_FALSE(RecentOrders::decode("{\"m\":[\"x\",1]}").has_value());
}

// Guards against a store clock that a late answer sets back. An overloaded
// leader reads answers late; it took the store's time for earlier than it was,
// and the next leader waited less than the minimum interval.
TEST(RecentOrders, LateAnswerDoesNotSetTheStoreClockBack) {
  StoreClock Clock;
  TimePoint Now{50s};
  Clock.update(7000ms, Now);
  Clock.update(8000ms, Now + 3s);
  CHECK(*Clock.at(Now + 3s) == 10000ms);
  Clock.update(10500ms, Now + 3s);
  CHECK(*Clock.at(Now + 3s) == 10500ms);
}

TEST(RecentOrders, StoreClockAdvancesBetweenAnswers) {
  StoreClock Clock;
  TimePoint Now{50s};
  CHECK_FALSE(Clock.at(Now).has_value());
  Clock.update(7000ms, Now);
  Clock.update(0ms, Now + 1s);
  CHECK(*Clock.at(Now + 2s) == 9000ms);
}
