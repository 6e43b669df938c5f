//===- SimulatedServerFaults.cpp - Faults of the simulated servers --------===//

#include "scheduling/testing/JobSimulation.h"

namespace pollenspool {

namespace {

using std::chrono::milliseconds;

/// How long after a crash the platform lists the instance as down, and how long
/// the server is away.
constexpr Duration ListDelay = milliseconds(500);
constexpr Duration ListInterval = std::chrono::seconds(1);
constexpr Duration RestartTime = std::chrono::seconds(3);
/// When the address of a server that has crashed for good belongs to another
/// one, and how long the registration may outlast the crash.
constexpr Duration AddressReuseTime = std::chrono::seconds(2);
constexpr milliseconds MaxExpiryTime{4500};

} // namespace

void JobSimulation::scheduleCrash(SimServer &S, const RunId &Run) {
  m_Clock.after(m_Settings.m_DeadlyDelay, [this, &S, Run] {
    if (!S.m_IsUp || !S.hasRun(Run))
      return;
    ++m_Figures.m_CrashesByTasks;
    m_Oracle.onCrashBy(Run);
    failServer(S);
  });
}

void JobSimulation::failServer(SimServer &S) {
  S.crash();
  S.m_IsUp = false;
  for (Duration At = ListDelay; At < RestartTime; At += ListInterval)
    m_Clock.after(At, [this] { listInstances(); });
  m_Clock.after(RestartTime, [this, &S] {
    S.m_IsUp = true;
    listInstances();
    forEachLeader([&](Scheduler &Core) {
      Core.onServer(S.m_Registration, m_Clock.m_Now);
    });
  });
}

void JobSimulation::crashServer(std::size_t Index) {
  SimServer &S = *m_Servers[Index];
  if (S.m_HasLeft)
    return;
  S.crash();
  m_Clock.after(registrationDelay(), [this, &S] {
    if (!S.m_HasLeft)
      forEachLeader([&](Scheduler &Core) {
        Core.onServer(S.m_Registration, m_Clock.m_Now);
      });
  });
}

void JobSimulation::replaceServer(std::size_t Index) {
  SimServer &S = *m_Servers[Index];
  if (!mayLeave(S))
    return;
  ++m_Figures.m_ServersLeft;
  S.crash();
  S.m_IsUp = false;
  S.m_HasLeft = true;
  m_Clock.after(milliseconds(m_Random() % MaxExpiryTime.count()), [this, &S] {
    forEachLeader([&](Scheduler &Core) {
      Core.onServerUnregistered(S.m_Registration.m_Id, m_Clock.m_Now);
    });
  });
  m_Clock.after(AddressReuseTime, [this, &S] {
    ServerRegistration R = S.m_Registration;
    R.m_Instance = InstanceId("i" + std::to_string(m_Servers.size()));
    R.m_Pool = poolName(m_Random() % pools());
    addServer(R);
  });
}

SimServer *JobSimulation::serverAt(const std::string &Address) {
  for (auto &S : m_Servers)
    if (S->m_IsUp && S->m_Registration.m_Address == Address)
      return S.get();
  return nullptr;
}

void JobSimulation::slowServer(std::size_t Index, double Factor) {
  m_Servers[Index]->setSlowness(Factor);
}

void JobSimulation::disconnectServer(std::size_t Index) {
  m_Servers[Index]->m_UnreachableFrom.insert(
      static_cast<int>(m_Leaders.size()) - 1);
}

void JobSimulation::isolateServer(std::size_t Index) {
  disconnectServer(Index);
  m_Servers[Index]->m_UnreachableFrom.insert(
      static_cast<int>(m_Leaders.size()));
}

void JobSimulation::reconnectServers() {
  for (auto &S : m_Servers)
    S->m_UnreachableFrom.clear();
}

} // namespace pollenspool
