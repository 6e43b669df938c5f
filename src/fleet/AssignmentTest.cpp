//===- AssignmentTest.cpp - Tests of the initial assignment ---------------===//

#include "fleet/Assignment.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

Document twoPools() {
  Document Doc;
  Doc.m_Pools.resize(2);
  Doc.m_Pools[0].m_Name = PoolName("work");
  Doc.m_Pools[0].m_Instances = 4;
  Doc.m_Pools[1].m_Name = PoolName("spare");
  Doc.m_Pools[1].m_Instances = 1;
  Doc.m_Pools[1].m_Spare = true;
  return Doc;
}

std::vector<ListedInstance> instances(int PerDataCentre) {
  std::vector<ListedInstance> All;
  for (const char *DataCentre : {"a", "b"}) {
    for (int I = 0; I < PerDataCentre; ++I) {
      ListedInstance L;
      L.m_Id = InstanceId(std::string(DataCentre) + std::to_string(I));
      L.m_DataCentre = DataCentreName(DataCentre);
      All.push_back(L);
    }
  }
  return All;
}

int count(const std::vector<InstanceRow> &Rows, const char *Pool,
          char DataCentre = 0) {
  int Count = 0;
  for (const InstanceRow &Row : Rows)
    if (Row.m_Pool.m_Text == Pool &&
        (!DataCentre || Row.m_Id.m_Text[0] == DataCentre))
      ++Count;
  return Count;
}

} // namespace

TEST_GROUP(Assignment){};

TEST(Assignment, AssignsRemainingInstancesToTheSparePool) {
  auto Rows = assignInstances(twoPools(), instances(4), {});
  LONGS_EQUAL(8, Rows.size());
  LONGS_EQUAL(4, count(Rows, "work"));
  LONGS_EQUAL(4, count(Rows, "spare"));
}

TEST(Assignment, SpreadsAPoolOverDataCentres) {
  auto Rows = assignInstances(twoPools(), instances(4), {});
  LONGS_EQUAL(2, count(Rows, "work", 'a'));
}

TEST(Assignment, EqualPoolsSpanAllDataCentres) {
  Document Doc = twoPools();
  Doc.m_Pools[1].m_Instances = 4;
  auto Rows = assignInstances(Doc, instances(4), {});
  LONGS_EQUAL(2, count(Rows, "work", 'a'));
  LONGS_EQUAL(2, count(Rows, "spare", 'b'));
}

TEST(Assignment, KeepsExistingAssignments) {
  auto First = assignInstances(twoPools(), instances(2), {});
  auto Second = assignInstances(twoPools(), instances(2), First);
  CHECK(Second.empty());
}

TEST(Assignment, WritesOnlyWhereNoRowExists) {
  auto Rows = assignInstances(twoPools(), instances(1), {});
  Transaction Txn = assignmentTransaction(Rows, "t");
  for (const RowCheck &Check : Txn.m_Checks)
    LONGS_EQUAL(0, Check.m_Revision);
  LONGS_EQUAL(Txn.m_Writes.size(), Txn.m_Checks.size());
}
