//===- FleetFixture.h - Small fleet for unit tests --------------*- C++ -*-===//

#ifndef POLLENSPOOL_FLEET_TESTING_FLEETFIXTURE_H
#define POLLENSPOOL_FLEET_TESTING_FLEETFIXTURE_H

#include "fleet/testing/FleetSimulation.h"
#include "moves/MoveOrders.h"
#include "waves/WaveOrders.h"

namespace pollenspool {

/// Pools "desk" and "spare" in one data centre with three entry instances. Each
/// pool has four instances, three promised ones and an availability budget of
/// one.
inline FleetSimulationSettings smallFleet() {
  FleetSimulationSettings Settings;
  Settings.m_DataCentres = 1;
  Settings.m_EntriesPerDataCentre = 3;
  for (const char *Name : {"desk", "spare"}) {
    Pool P;
    P.m_Name = PoolName(Name);
    P.m_Instances = 4;
    P.m_MinServing = 3;
    P.m_AvailabilityBudget = 1;
    Settings.m_Pools.push_back(P);
  }
  Settings.m_Fleet.m_ReturnTimeout = std::chrono::minutes(2);
  Settings.m_Fleet.m_BlockedTimeout = std::chrono::minutes(2);
  return Settings;
}

inline MoveOrder deskToSpare(const std::string &Id,
                             const InstanceId &Instance) {
  MoveOrder Order;
  Order.m_Id = MoveId(Id);
  Order.m_Source = PoolName("desk");
  Order.m_Target = PoolName("spare");
  Order.m_Instance = Instance;
  Order.m_Operator = Id + "-operator";
  return Order;
}

inline WaveOrder deskWave(std::uint32_t MaxBatch) {
  WaveOrder Order;
  Order.m_Id = WaveId("w");
  Order.m_Set = {WaveSetKind::Pool, "desk"};
  Order.m_MaxBatch = MaxBatch;
  Order.m_Operator = "amina";
  return Order;
}

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_TESTING_FLEETFIXTURE_H
