//===- SimulatedCuts.cpp - Cut-off leaders and servers that leave ---------===//

#include "scheduling/testing/JobSimulation.h"

namespace pollenspool {

namespace {

using std::chrono::milliseconds;

/// How long a follower sees no renewal before it takes over.
constexpr Duration TakeoverTime = milliseconds(1500);
constexpr milliseconds MinCutTime{10000};
constexpr milliseconds CutTimeSpread{4000};
/// Time between two lists during a cut.
constexpr Duration ListInterval = milliseconds(500);
/// How long an instance has no server when it is moved or its server has
/// drained.
constexpr Duration FollowTime = milliseconds(1500);
constexpr milliseconds MinDrainTime{2000};
constexpr milliseconds DrainTimeSpread{2000};
/// Others that a server leaves behind in its pool.
constexpr std::size_t ServersKept = 2;

} // namespace

void JobSimulation::cutOffLeader() {
  if (hasCut())
    return;
  ++m_Figures.m_Cuts;
  const int Former = static_cast<int>(m_Leaders.size()) - 1;
  for (auto &S : m_Servers)
    S->m_UnreachableFrom.insert(Former + static_cast<int>(m_Random() % 2));
  const auto Length =
      MinCutTime + milliseconds(m_Random() % CutTimeSpread.count());
  m_CutUntil = m_Clock.m_Now + Length;
  m_Clock.after(Length, [this, Former] {
    for (auto &S : m_Servers) {
      S->m_UnreachableFrom.erase(Former);
      S->m_UnreachableFrom.erase(Former + 1);
    }
  });
  beginTermBeside(false, TakeoverTime);
  continueCut();
}

void JobSimulation::continueCut() {
  if (!hasCut())
    return;
  if (m_Random() % 2 == 0)
    moveIdleServer();
  listInstances();
  m_Clock.after(ListInterval, [this] { continueCut(); });
}

bool JobSimulation::mayLeave(const SimServer &S) const {
  std::size_t Others = 0;
  for (const auto &Other : m_Servers)
    Others += Other.get() != &S && Other->m_IsUp && !Other->m_HasLeft &&
              !Other->m_Registration.m_Draining &&
              Other->m_Registration.m_Pool == S.m_Registration.m_Pool;
  return S.m_IsUp && !S.m_HasLeft && !S.m_Registration.m_Draining &&
         Others >= ServersKept;
}

void JobSimulation::moveIdleServer() {
  std::vector<SimServer *> Idle;
  for (auto &S : m_Servers) {
    const ServerState *Known = core().servers().find(S->m_Registration.m_Id);
    if (mayLeave(*S) && Known && Known->m_HasListedAllRuns &&
        Known->m_Reachable && Known->isIdle())
      Idle.push_back(S.get());
  }
  if (Idle.empty())
    return;
  SimServer &S = *Idle[m_Random() % Idle.size()];
  leave(S, InstanceCondition::Moving, poolName(m_Random() % pools()));
  core().onServerTerminated(S.m_Registration.m_Id, m_Clock.m_Now);
}

void JobSimulation::drainServer(std::size_t Index) {
  SimServer &S = *m_Servers[Index];
  if (!mayLeave(S))
    return;
  S.m_Registration.m_Draining = true;
  forEachLeader(
      [&](Scheduler &Core) { Core.onServer(S.m_Registration, m_Clock.m_Now); });
  m_Clock.after(MinDrainTime +
                    milliseconds(m_Random() % DrainTimeSpread.count()),
                [this, &S] { leaveWhenUp(S); });
}

void JobSimulation::leaveWhenUp(SimServer &S) {
  if (!S.m_IsUp) {
    m_Clock.after(FollowTime, [this, &S] { leaveWhenUp(S); });
    return;
  }
  leave(S, InstanceCondition::Down, S.m_Registration.m_Pool);
  forEachLeader([&](Scheduler &Core) {
    Core.onServerUnregistered(S.m_Registration.m_Id, m_Clock.m_Now);
  });
}

void JobSimulation::leave(SimServer &S, InstanceCondition Condition,
                          const PoolName &Pool) {
  ++m_Figures.m_ServersLeft;
  S.crash();
  S.m_IsUp = false;
  S.m_HasLeft = true;
  S.m_ConditionIfNotUp = Condition;
  m_Clock.after(FollowTime, [this, &S, Pool] { follow(S, Pool); });
}

void JobSimulation::follow(SimServer &S, const PoolName &Pool) {
  S.m_IsReplaced = true;
  ServerRegistration R = S.m_Registration;
  R.m_Address = "s" + std::to_string(m_Servers.size());
  R.m_Pool = Pool;
  addServer(R).m_UnreachableFrom = S.m_UnreachableFrom;
}

SimServer &JobSimulation::addServer(ServerRegistration R) {
  R.m_Id = ServerId("s" + std::to_string(m_Servers.size()));
  R.m_Draining = false;
  R.m_StartTimeMs = 1;
  m_Servers.push_back(
      std::make_unique<SimServer>(m_Clock, m_Random, m_Oracle, R));
  SimServer &Added = *m_Servers.back();
  Added.m_MaxListedEnds = m_Settings.m_MaxListedEnds;
  forEachLeader([&](Scheduler &Core) { Core.onServer(R, m_Clock.m_Now); });
  listInstances();
  return Added;
}

} // namespace pollenspool
