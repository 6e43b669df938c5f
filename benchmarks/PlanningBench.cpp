//===- PlanningBench.cpp - Cost of a plan and of a placement pass ---------===//
//
// PlanningBench [SEED] prints the processor time of one plan of the pools, and
// of one placement pass in which nothing can start, for several sizes of the
// fleet and of the backlog.
//
//===----------------------------------------------------------------------===//

#include "base/Log.h"
#include "instances/FleetPlanner.h"
#include "scheduling/testing/SchedulerFixture.h"
#include <cstdio>
#include <ctime>
#include <random>

using namespace pollenspool;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Pools = 5;
constexpr int Repetitions = 50;

PoolName poolName(std::size_t N) { return PoolName("p" + std::to_string(N)); }

double processorMs() {
  return 1000.0 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct Fleet {
  FakeOrders m_Orders;
  std::unique_ptr<Scheduler> m_Core;
  std::unique_ptr<FleetPlanner> m_Planner;
  std::vector<InstanceListing> m_List;
  TimePoint m_Now{std::chrono::hours(1)};
  std::mt19937_64 m_Random;

  explicit Fleet(std::uint64_t Seed) : m_Random(Seed) {
    m_Core = Scheduler::create({}, m_Orders, m_Now);
    std::vector<QueuePolicy> Queues;
    std::vector<PoolPolicy> Policies;
    for (std::size_t N = 0; N < Pools; ++N) {
      QueuePolicy Q;
      Q.m_Name = QueueName("q" + std::to_string(N));
      Q.m_Pool = poolName(N);
      Q.m_DurationFactor = 1.5;
      Q.m_Slack = milliseconds(600);
      Queues.push_back(Q);
      Policies.push_back({poolName(N), false, true});
    }
    Policies.push_back({PoolName("reserve"), true, true});
    m_Core->onConfig(ServingConfig::create(1, Queues, Policies));
    m_Planner = FleetPlanner::create({}, *m_Core);
  }
  milliseconds wall() const {
    return std::chrono::duration_cast<milliseconds>(m_Now.time_since_epoch());
  }
  void tick() { m_Core->tick(m_Now, wall()); }
  std::size_t pick(std::size_t Count) { return m_Random() % Count; }

  void addServers(std::size_t Count) {
    for (std::size_t N = 0; N < Count; ++N) {
      ServerRegistration R;
      R.m_Id = ServerId("server-" + std::to_string(N));
      R.m_Instance = InstanceId("instance-" + std::to_string(pick(1u << 20)) +
                                "-" + std::to_string(N));
      R.m_Pool = poolName(pick(Pools));
      R.m_Capacity = {32000, 64000, 0};
      R.m_StartTimeMs = 1;
      m_Core->onServer(R, m_Now);
      m_List.push_back({});
      m_List.back().m_Id = R.m_Instance;
      m_List.back().m_Pool = R.m_Pool;
      m_List.back().m_Capacity = R.m_Capacity;
      m_List.back().m_Server = R.m_Id;
    }
    // The number of servers that may be polled at once is limited.
    while (!m_Orders.m_Polls.empty() || m_Core->counters().m_Polls < Count) {
      for (const PollOrder &Order : std::exchange(m_Orders.m_Polls, {})) {
        PollReply Reply;
        Reply.m_ClockMs = wall().count();
        Reply.m_StartTimeMs = 1;
        m_Core->onPollReply(Order, Reply, m_Now);
      }
      tick();
    }
    m_Core->onInstances(m_List, m_Now, m_Now);
    m_Planner->onInstances(m_Now);
  }
  void addJobs(std::size_t Count, std::size_t First, std::size_t OfPool) {
    for (std::size_t N = 0; N < Count; ++N) {
      JobSpec Job;
      Job.m_Id = JobId("job-" + std::to_string(First + N));
      std::size_t Pool = OfPool < Pools ? OfPool : pick(Pools);
      Job.m_Queue = QueueName("q" + std::to_string(Pool));
      Job.m_Pool = poolName(Pool);
      for (std::uint32_t S = 0; S < 2; ++S) {
        StepSpec Step = SchedulerFixture::step(
            static_cast<std::uint32_t>(4 + pick(6)),
            S ? std::vector<std::uint32_t>{0} : std::vector<std::uint32_t>{});
        Step.m_RequiredResources = {
            static_cast<std::int64_t>(1000 + 500 * pick(7)), 1000, 0};
        Job.m_Steps.push_back(std::move(Step));
      }
      Job.m_AcceptedAt = wall();
      m_Core->onJob(std::move(Job), {}, 1, 1, m_Now, wall());
    }
  }
};

void run(std::size_t Servers, std::size_t Jobs, std::uint64_t Seed) {
  Fleet F(Seed);
  F.addServers(Servers);
  F.addJobs(Jobs, 0, Pools);
  F.tick();
  double PlanMs = 0, PassMs = 0;
  std::size_t Orders = 0;
  for (int N = 0; N < Repetitions; ++N) {
    F.m_Now += milliseconds(100);
    double Begin = processorMs();
    F.tick();
    double Middle = processorMs();
    Orders += F.m_Planner->plan(F.m_Now, F.wall(), 12).size();
    PlanMs += processorMs() - Middle;
    PassMs += Middle - Begin;
    F.m_Orders.m_Polls.clear();
    F.addJobs(4, Jobs + 4 * static_cast<std::size_t>(N), Pools);
  }
  std::printf("%8zu %8zu %12.3f %12.3f %8zu\n", Servers, Jobs,
              PlanMs / Repetitions, PassMs / Repetitions, Orders);
}

} // namespace

int main(int Argc, char **Argv) {
  setUpLog(Severity::Error, "bench");
  std::uint64_t Seed = Argc > 1 ? std::strtoull(Argv[1], nullptr, 10) : 1;
  std::printf("%8s %8s %12s %12s %8s\n", "servers", "jobs", "plan ms",
              "pass ms", "orders");
  for (std::size_t Servers : {50u, 350u, 900u, 3000u})
    run(Servers, 4 * Servers + 400, Seed);
  return 0;
}
