//===- FleetDriverTest.cpp - Tests of the fleet driver --------------------===//

#include "fleet/FleetDriver.h"
#include "fleet/Assignment.h"
#include "platform/testing/FakePlatform.h"

#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

constexpr int InstanceCount = 4;

InstanceId instanceId(int Number) {
  return InstanceId("b" + std::to_string(Number));
}

Pool poolNamed(const char *Name) {
  Pool P;
  P.m_Name = PoolName(Name);
  return P;
}

} // namespace

/// A driver of a process that has read the configuration document, but whose
/// polls have returned no rows yet, while other processes have assigned all
/// instances to pool "desk".
TEST_GROUP(FleetDriver) {
  FakePlatform m_Platform;
  std::unique_ptr<FleetDriver> m_Driver;

  void setup() override {
    listInstances();
    assignInstancesToDesk();
    FleetSettings Settings;
    Settings.m_Self = EntryId("entry-0");
    Settings.m_ProcessToken = "test";
    Settings.m_DataCentres = {{DataCentreName("a"), {Settings.m_Self}}};
    FleetPorts Ports;
    Ports.m_SendDrainStatusQuery = [](const DrainStatusQuery &) {};
    Ports.m_IsHealthy = [](const InstanceId &, const std::string &) {
      return true;
    };
    Ports.m_Refresh = [] {};
    m_Driver = FleetDriver::create(Settings, m_Platform, Ports).value();
    Document Doc;
    Doc.m_Pools = {poolNamed("desk"), poolNamed("spare")};
    m_Driver->onDocument(Doc);
  }

  void teardown() override { m_Driver.reset(); }

  void listInstances() {
    std::vector<ListedInstance> List;
    for (int I = 0; I < InstanceCount; ++I) {
      ListedInstance Listed;
      Listed.m_Id = instanceId(I);
      Listed.m_DataCentre = DataCentreName("a");
      Listed.m_Rack = RackName(I % 2 ? "odd" : "even");
      List.push_back(Listed);
    }
    m_Platform.setInstances(List);
  }

  void assignInstancesToDesk() {
    std::vector<InstanceRow> Rows(InstanceCount);
    for (int I = 0; I < InstanceCount; ++I) {
      Rows[I].m_Id = instanceId(I);
      Rows[I].m_Pool = PoolName("desk");
    }
    CHECK_TRUE(m_Platform
                   .transact(assignmentTransaction(Rows, "other-process"),
                             CallPriority::Control)
                   .has_value());
  }

  Result<void> startWave(WaveSetKind Kind, const char *Name) {
    WaveOrder Order;
    Order.m_Id = WaveId("w");
    Order.m_Set = {Kind, Name};
    Order.m_MaxBatch = 1;
    return m_Driver->startWave(Order);
  }

  std::size_t memberCount() {
    auto Row = m_Platform.peek(waveRowKey(WaveId("w")));
    return Row ? decodeWaveRow(Row->m_Value).value().m_Members.size() : 0;
  }
};

TEST(FleetDriver, AWaveHasInstancesThatNoPollHasReturnedYet) {
  CHECK_TRUE(startWave(WaveSetKind::All, "").has_value());
  LONGS_EQUAL(InstanceCount, memberCount());
}

TEST(FleetDriver, AWaveOfARackHasInstancesThatNoPollHasListedYet) {
  CHECK_TRUE(startWave(WaveSetKind::Rack, "odd").has_value());
  LONGS_EQUAL(InstanceCount / 2, memberCount());
}

TEST(FleetDriver, AMoveFindsAnInstanceThatNoPollHasReturnedYet) {
  MoveOrder Order;
  Order.m_Id = MoveId("m");
  Order.m_Source = PoolName("desk");
  Order.m_Target = PoolName("spare");
  Order.m_Instance = instanceId(0);
  CHECK_TRUE(m_Driver->startMove(Order).has_value());
}

// A wave built from an incomplete view would omit instances, and its operator
// would not be told.
TEST(FleetDriver, AnOrderFailsIfTheRowsCannotBeRead) {
  m_Platform.setOutage(true);
  auto Started = startWave(WaveSetKind::All, "");
  CHECK_FALSE(Started.has_value());
  CHECK_TRUE(Started.error().m_Code == ErrorCode::ConnectFailed);
  LONGS_EQUAL(0, memberCount());
}
