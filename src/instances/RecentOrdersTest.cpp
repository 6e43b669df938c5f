//===- RecentOrdersTest.cpp - Tests of the gap between two leaders --------===//

#include "instances/RecentOrders.h"
#include "store/StoreClock.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr Duration Gap = 3s;
const InstanceId Id("m-1");

Duration waitAt(std::chrono::milliseconds Now, const std::string &Leader) {
  RecentOrders Orders;
  Orders.note(Id, 100000ms, "first");
  auto Read = RecentOrders::decode(Orders.encode());
  return RecentOrders::waitAfter(Read.value().all().at(Id), Leader, Gap, Now);
}

} // namespace

TEST_GROUP(RecentOrders){};

// Standing for a kill of all instances just before a turn of demand: the next
// leader held every announced instance back for the whole gap.
TEST(RecentOrders, TheNextLeaderWaitsOnlyForWhatIsLeftOfTheGap) {
  CHECK(waitAt(100000ms, "next") > Gap);
  CHECK(waitAt(102000ms, "next") >= Gap - 2s);
  CHECK(waitAt(102000ms, "next") < Gap);
  CHECK(waitAt(104500ms, "next") == Duration(0));
}

TEST(RecentOrders, OrdersOfOneAndTheSameLeaderNeedNoGap) {
  CHECK(waitAt(100000ms, "first") == Duration(0));
}

TEST(RecentOrders, WithoutATimeTheWholeGapIsWaited) {
  RecentOrders::Entry E{0ms, "first"};
  CHECK(RecentOrders::waitAfter(E, "next", Gap, 500ms) > Gap);
  E.m_At = 100000ms;
  CHECK(RecentOrders::waitAfter(E, "next", Gap, 0ms) > Gap);
}

TEST(RecentOrders, ForgetsWhatIsOlderThanTheGap) {
  RecentOrders Orders;
  Orders.note(InstanceId("old"), 1000ms, "a");
  Orders.note(InstanceId("new"), 5000ms, "a");
  Orders.forgetOlder(3s, 6000ms);
  CHECK_EQUAL(1u, Orders.all().size());
  CHECK(Orders.all().count(InstanceId("new")));
}

TEST(RecentOrders, WhatCannotBeReadIsAnError) {
  CHECK_FALSE(RecentOrders::decode("[1").has_value());
  CHECK_FALSE(RecentOrders::decode("{\"m\":[\"x\",1]}").has_value());
}

// Found by a day of the hunt on the grown Osei site: a leader that falls behind
// reads answers late, took the store's time for earlier than it was, and the
// next leader waited less than the gap.
TEST(RecentOrders, AnAnswerThatIsReadLateDoesNotSetTheStoresTimeBack) {
  StoreClock Clock;
  TimePoint Now{50s};
  Clock.note(7000ms, Now);
  Clock.note(8000ms, Now + 3s);
  CHECK(*Clock.at(Now + 3s) == 10000ms);
  Clock.note(10500ms, Now + 3s);
  CHECK(*Clock.at(Now + 3s) == 10500ms);
}

TEST(RecentOrders, TheStoresTimeGoesOnBetweenAnswers) {
  StoreClock Clock;
  TimePoint Now{50s};
  CHECK_FALSE(Clock.at(Now).has_value());
  Clock.note(7000ms, Now);
  Clock.note(0ms, Now + 1s);
  CHECK(*Clock.at(Now + 2s) == 9000ms);
}
