//===- RemoteCapacityTableTest.cpp - Tests of remote capacity -------------===//

#include "forward/RemoteCapacityTable.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

const DataCentreName RemoteDataCentre("b");
const PoolName TestPool("p");

std::uint32_t freeSlots(const RemoteCapacityTable &Table, TimePoint Now) {
  auto Capacity =
      Table.capacity([](const DataCentreName &) { return true; }, Now);
  if (Capacity.empty() || Capacity[0].m_Pools.empty())
    return 0;
  return Capacity[0].m_Pools[0].m_FreeSlots;
}

RemoteCapacityTable tableWith(int Instances) {
  std::vector<InstanceTarget> Targets(Instances);
  for (InstanceTarget &T : Targets) {
    T.m_Pool = TestPool;
    T.m_AcceptsWork = true;
  }
  RemoteCapacityTable Table;
  Table.setTargets(RemoteDataCentre, Targets, 8);
  return Table;
}

Outcome refusal() {
  Outcome Final;
  Final.m_Reason = Reason::QueueFull;
  return Final;
}

} // namespace

TEST_GROUP(RemoteCapacityTable){};

TEST(RemoteCapacityTable, FreeSlotsCountAcceptingInstances) {
  LONGS_EQUAL(16, freeSlots(tableWith(2), TimePoint{}));
}

TEST(RemoteCapacityTable, BackoffDoublesWithEachRefusal) {
  RemoteCapacityTable Table = tableWith(1);
  TimePoint Now{};
  Table.onOutcome(RemoteDataCentre, TestPool, refusal(), Now);
  LONGS_EQUAL(0, freeSlots(Table, Now));
  Now += std::chrono::milliseconds(100);
  LONGS_EQUAL(8, freeSlots(Table, Now));
  Table.onOutcome(RemoteDataCentre, TestPool, refusal(), Now);
  LONGS_EQUAL(0, freeSlots(Table, Now + std::chrono::milliseconds(150)));
}

TEST(RemoteCapacityTable, AnswerEndsTheBackoff) {
  RemoteCapacityTable Table = tableWith(1);
  Table.onOutcome(RemoteDataCentre, TestPool, refusal(), TimePoint{});
  Outcome Good;
  Good.m_Kind = OutcomeKind::Answer;
  Table.onOutcome(RemoteDataCentre, TestPool, Good, TimePoint{});
  LONGS_EQUAL(8, freeSlots(Table, TimePoint{}));
}

TEST(RemoteCapacityTable, RemovedInstancesLeaveNoFreeSlots) {
  RemoteCapacityTable Table = tableWith(1);
  Table.setTargets(RemoteDataCentre, {}, 8);
  LONGS_EQUAL(0, freeSlots(Table, TimePoint{}));
}
