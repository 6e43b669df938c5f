//===- PlannerFixture.h - Test fixture of the fleet planner -----*- C++ -*-===//

#ifndef POLLENSPOOL_INSTANCES_TESTING_PLANNERFIXTURE_H
#define POLLENSPOOL_INSTANCES_TESTING_PLANNERFIXTURE_H

#include "instances/FleetPlanner.h"
#include "scheduling/testing/SchedulerFixture.h"
#include <algorithm>
#include <cstdlib>

namespace pollenspool {

/// A scheduler fixture with the pool "desk", the spare pool "reserve" and a
/// planner.
struct PlannerFixture {
  SchedulerFixture m_World;
  std::unique_ptr<FleetPlanner> m_Planner;
  std::vector<InstanceListing> m_List;
  bool m_Inherited = false;

  explicit PlannerFixture(Term T = 1) : m_World(T) {
    addSparePool();
    m_Planner = FleetPlanner::create({}, *m_World.m_Core);
  }
  void addSparePool() {
    const ServingConfig &Config = *m_World.m_Core->config();
    auto Pools = Config.pools();
    Pools.push_back({PoolName("reserve"), true, true});
    m_World.m_Core->onConfig(
        ServingConfig::create(Config.version(), Config.queues(), Pools));
  }
  void list(const std::string &Server, const std::string &Pool) {
    InstanceListing L;
    L.m_Id = InstanceId("on-" + Server);
    L.m_Pool = PoolName(Pool);
    L.m_Capacity = {4000, 64000, 0};
    if (Pool != "reserve")
      L.m_Server = ServerId(Server);
    m_List.push_back(L);
    applyList();
  }
  void applyList() {
    m_World.advance(std::chrono::milliseconds(1));
    m_World.m_Core->onInstances(m_List, m_World.m_Now, m_World.m_Now);
    m_Planner->onInstances(m_World.m_Now);
  }
  /// Applies a list that misses the instance \p Id.
  void applyListWithout(const InstanceId &Id) {
    auto Full = m_List;
    m_List.erase(
        std::remove_if(m_List.begin(), m_List.end(),
                       [&](const InstanceListing &L) { return L.m_Id == Id; }));
    applyList();
    m_List = std::move(Full);
  }
  std::vector<InstanceOrder> plan() {
    return m_Planner->plan(m_World.m_Now, m_World.wall(), 12);
  }
  void addWave(std::vector<InstanceId> Instances, std::uint32_t AtOnce,
               std::chrono::milliseconds Within = std::chrono::seconds(60)) {
    WaveProgress Progress;
    Progress.m_SeenAt = m_World.wall();
    m_Planner->onWave({WaveId("1"), std::move(Instances), Within, AtOnce},
                      Progress, m_Inherited);
  }
  /// Adds the pool "hall", server \p Server and a job of \p Tasks tasks.
  void addHall(const std::string &Server, std::uint32_t Tasks) {
    const ServingConfig &Config = *m_World.m_Core->config();
    auto Pools = Config.pools();
    Pools.push_back({PoolName("hall"), false, true});
    m_World.m_Core->onConfig(
        ServingConfig::create(Config.version(), Config.queues(), Pools));
    ServerRegistration R;
    R.m_Id = ServerId(Server);
    R.m_Instance = InstanceId("on-" + Server);
    R.m_Pool = PoolName("hall");
    R.m_Capacity = {4000, 64000, 0};
    m_World.m_Core->onServer(R, m_World.m_Now);
    m_World.tick();
    m_World.answerPoll(Server);
    list(Server, "hall");
    JobSpec Job;
    Job.m_Id = JobId("h");
    Job.m_Queue = QueueName("plans");
    Job.m_Pool = PoolName("hall");
    Job.m_Steps = {SchedulerFixture::step(Tasks)};
    Job.m_AcceptedAt = m_World.wall();
    m_World.m_Core->onJob(Job, {}, 1, 1, m_World.m_Now, m_World.wall());
  }
  /// Adds servers s0, s1 ... to the pool "desk", and its job "j" of \p Tasks
  /// tasks of one core.
  void addDesk(std::size_t Servers, std::uint32_t Tasks) {
    for (std::size_t N = 0; N < Servers; ++N) {
      m_World.addServer("s" + std::to_string(N), 4);
      list("s" + std::to_string(N), "desk");
    }
    m_World.addJob("j", {SchedulerFixture::step(Tasks)});
    m_World.tick();
  }
  /// A server with runs; there must be one.
  ServerState &busyServer() {
    for (auto &[Id, S] : m_World.m_Core->servers().all())
      if (!S.m_Runs.empty())
        return S;
    std::abort();
  }
  /// All servers, or only those that get no new tasks.
  std::vector<ServerState *> servers(bool OnlyReserved) {
    std::vector<ServerState *> Found;
    for (auto &[Id, S] : m_World.m_Core->servers().all())
      if (S.m_Reserved || !OnlyReserved)
        Found.push_back(&S);
    return Found;
  }
  std::size_t reserved() { return servers(true).size(); }
  /// Lets all runs of \p S end, and starts what is placed then.
  void endRuns(const ServerState &S) {
    std::vector<EndReport> Ends;
    for (const auto &[Id, Run] : S.m_Runs)
      Ends.push_back({Ends.size() + 1, Id, EndKind::Done, ""});
    m_World.advance(std::chrono::milliseconds(100));
    m_World.tick();
    m_World.answerPoll(S.m_Registration.m_Id.m_Text, {}, Ends);
    m_World.tick();
  }
  /// Adds a job of three long-running tasks, one per server, of which one may
  /// be unavailable.
  void addLastingJob() {
    StepSpec Step = SchedulerFixture::step(3);
    Step.m_IsLongRunning = true;
    Step.m_MaxPerServer = 1;
    Step.m_MaxUnavailable = 1;
    m_World.addJob("l", {Step});
  }
};

} // namespace pollenspool

#endif // POLLENSPOOL_INSTANCES_TESTING_PLANNERFIXTURE_H
