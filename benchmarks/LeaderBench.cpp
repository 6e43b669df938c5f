//===- LeaderBench.cpp - Processor time of a leader -----------------------===//
//
// LeaderBench [--seed SEED] [SERVERS ...] runs the leader's decisions on a
// virtual clock against simulated backend servers: four pools with a queue each
// and a spare pool. The queues peak in turns at five times their mean, and have
// a quarter of it in between. It prints, for several numbers of servers and two
// latencies of the store, the processor time in ms for each second of load.
// The columns divide it by the leader's work; "bench" is the simulation and is
// not part of "total". HTTP, JSON and the feeds of the store are not included.
//
//===----------------------------------------------------------------------===//

#include "JobMix.h"
#include "LightServer.h"
#include "PartCosts.h"
#include "base/Log.h"
#include "instances/FleetPlanner.h"
#include "jobs/JobRows.h"
#include "lead/StartRecords.h"
#include "scheduling/ProgressWriter.h"
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <unordered_map>

using namespace pollenspool;

namespace {

using std::chrono::milliseconds;

constexpr Duration OneWayDelay = milliseconds(1);
constexpr Duration TickInterval = milliseconds(20);
/// Delay between an event and the decisions that it causes. In production it
/// follows the processor time of the decisions; it is fixed here, so that a run
/// depends on its seed only.
constexpr Duration EventBatchDelay = milliseconds(5);
constexpr Duration PlanInterval = milliseconds(100);
constexpr Duration ListInterval = std::chrono::seconds(1);
constexpr Duration MoveTime = milliseconds(1500);
constexpr std::size_t MaxOrdersPerPlan = 5;
constexpr Duration WarmUp = std::chrono::seconds(2);

constexpr double DurationFactor = 1.6;
constexpr milliseconds Slack{600};
constexpr std::int64_t ServerMilliCores = 32000;
constexpr std::int64_t ServerMemoryMb = 131072;

constexpr ArrivalLoad AskLoad = {{1.6, 8, 4500, 13000, 1000}, 56.0 / 1100};
constexpr ArrivalLoad PlanLoad = {{2, 8, 9700, 20000, 1700}, 12.0 / 1100};
constexpr std::array<ArrivalLoad, 4> Loads = {AskLoad, PlanLoad, AskLoad,
                                              PlanLoad};
constexpr std::size_t Queues = Loads.size();
constexpr PeaksByTurns Peaks{Queues, milliseconds(4500), 5, 20};

struct Size {
  std::size_t m_Servers;
  /// Measured length, in turns of the queues.
  int m_Turns;
};
constexpr Size Sizes[] = {{50, 4}, {350, 4}, {1100, 2}, {3000, 2}};
constexpr milliseconds StoreLatencies[] = {milliseconds(5), milliseconds(200)};

/// The leader's work by which processor time is divided.
enum Part : std::size_t {
  Passes,
  Results,
  Planning,
  Writing,
  Inputs,
  PartCount
};
constexpr std::array<const char *, PartCount> PartNames = {
    "passes", "results", "planner", "writer", "inputs"};

struct LiveRecord {
  JobPlan m_Plan;
  TimePoint m_DueBy;
};

class Site : public SchedulerOrders {
public:
  Site(std::size_t Servers, Duration StoreLatency, std::uint64_t Seed);
  /// Simulates \p Length of load and prints a line of figures.
  void run(Duration Length);

  void start(const StartOrder &Order) override { m_Starts.push_back(Order); }
  void stop(const StopOrder &Order) override { m_Stops.push_back(Order); }
  void poll(const PollOrder &Order) override { m_Polls.push_back(Order); }
  void pace(const PaceOrder &) override {}
  void advise(const AdviceOrder &) override {}

private:
  milliseconds wall() const {
    return std::chrono::duration_cast<milliseconds>(
        m_Clock.m_Now.time_since_epoch());
  }
  static PoolName poolName(std::size_t Number) {
    return PoolName(Number < Queues ? "pool-" + std::to_string(Number)
                                    : "spare");
  }
  void configure();
  void addServers(std::size_t Count);
  void tick();
  void scheduleTick();
  void decide();
  void updateStartRecords();
  void recordProgress();
  void applyDeletes(const RowTransaction &Txn);
  void planMoves();
  void listInstances();
  void sendOrders();
  /// Measures \p Work, sends the orders that it issues and schedules the
  /// decisions that it causes.
  template <typename F> void handle(Part P, F Work) {
    m_Costs.measure(P, Work);
    sendOrders();
    scheduleTick();
  }
  template <typename Order> LightServer &server(const Order &O) {
    return *m_ServerById[O.m_Server.m_Id.m_Text];
  }
  void onStart(const StartOrder &Order);
  void onStop(const StopOrder &Order);
  void onPoll(const PollOrder &Order);
  void onMove(const InstanceOrder &Order);
  void finishMove(LightServer &S);
  void submitLater(std::size_t Queue);
  void submit(std::size_t Queue);

  VirtualClock m_Clock;
  std::mt19937_64 m_Random;
  Duration m_StoreLatency;
  std::unique_ptr<Scheduler> m_Scheduler;
  std::unique_ptr<ProgressWriter> m_Writer;
  std::unique_ptr<FleetPlanner> m_Planner;
  StartRecords m_StartRecords;
  std::vector<std::unique_ptr<LightServer>> m_Servers;
  std::unordered_map<std::string, LightServer *> m_ServerById;
  std::unordered_map<std::string, LiveRecord> m_Jobs;
  std::vector<StartOrder> m_Starts;
  std::vector<StopOrder> m_Stops;
  std::vector<PollOrder> m_Polls;
  RowVersion m_Version = 1;
  bool m_TickScheduled = false;
  TimePoint m_NextPlanAt{};
  TimePoint m_NextListAt{};
  TimePoint m_LoadStartsAt{};
  TimePoint m_EndsAt{};
  PartCosts<PartCount> m_Costs;
  std::uint64_t m_Submitted = 0;
  /// Jobs that are to be completed until the end, and those of them that were
  /// on time.
  std::uint64_t m_Due = 0;
  std::uint64_t m_OnTime = 0;
  std::uint64_t m_Moves = 0;
};

Site::Site(std::size_t Servers, Duration StoreLatency, std::uint64_t Seed)
    : m_Random(Seed), m_StoreLatency(StoreLatency),
      m_StartRecords(1, {{"lead", "term", "lead"}, 1}) {
  SchedulerOptions Options;
  Options.m_TermVersion = 1;
  m_Scheduler = Scheduler::create(Options, *this, m_Clock.m_Now);
  m_Writer =
      ProgressWriter::create(*m_Scheduler, {{"lead", "term", "lead"}, 1});
  m_Planner = FleetPlanner::create({}, *m_Scheduler);
  m_StartRecords.onRead(std::nullopt);
  m_Scheduler->setStartsRecordedSince(m_StartRecords.recordedSince());
  configure();
  addServers(Servers);
  tick();
  m_Clock.runUntil(m_Clock.m_Now + WarmUp);
}

void Site::configure() {
  std::vector<QueuePolicy> Policies;
  std::vector<PoolPolicy> Pools;
  for (std::size_t N = 0; N < Queues; ++N) {
    QueuePolicy Q;
    Q.m_Name = QueueName("queue-" + std::to_string(N));
    Q.m_Pool = poolName(N);
    Q.m_Priority = static_cast<std::uint32_t>(N % 2);
    Q.m_Attempts = 3;
    Q.m_DurationFactor = DurationFactor;
    Q.m_Slack = Slack;
    Policies.push_back(Q);
    Pools.push_back({poolName(N), false, true});
  }
  Pools.push_back({poolName(Queues), true, true});
  m_Scheduler->onConfig(ServingConfig::create(1, Policies, Pools));
}

void Site::addServers(std::size_t Count) {
  for (std::size_t N = 0; N < Count; ++N) {
    ServerRegistration R;
    R.m_Id = ServerId("server-" + std::to_string(N));
    R.m_Instance = InstanceId("instance-" + std::to_string(N));
    R.m_Pool = poolName(N % (Queues + 1));
    R.m_Address = R.m_Id.m_Text;
    R.m_Capacity = {ServerMilliCores, ServerMemoryMb, 0};
    R.m_Rack = RackName("rack-" + std::to_string(N / 20));
    R.m_StartTimeMs = 1;
    auto S = std::make_unique<LightServer>(m_Clock, R);
    m_ServerById[R.m_Id.m_Text] = S.get();
    if (R.m_Pool != poolName(Queues))
      m_Scheduler->onServer(R, m_Clock.m_Now);
    m_Servers.push_back(std::move(S));
  }
}

void Site::tick() {
  decide();
  m_Clock.after(TickInterval, [this] { tick(); });
}

void Site::scheduleTick() {
  if (std::exchange(m_TickScheduled, true))
    return;
  m_Clock.after(EventBatchDelay, [this] {
    m_TickScheduled = false;
    decide();
  });
}

/// The steps of Leader::runDecisions().
void Site::decide() {
  updateStartRecords();
  m_Costs.measure(Passes, [&] { m_Scheduler->tick(m_Clock.m_Now, wall()); });
  if (m_Clock.m_Now >= m_NextListAt)
    listInstances();
  planMoves();
  recordProgress();
  sendOrders();
}

void Site::updateStartRecords() {
  auto Txn = m_Costs.measure(Writing, [&] {
    auto Next = m_StartRecords.next(m_Writer->latency(m_Clock.m_Now), m_Version,
                                    m_Clock.m_Now);
    m_Scheduler->setRecordsStarts(m_StartRecords.mustRecord());
    return Next;
  });
  if (!Txn)
    return;
  m_Clock.after(m_StoreLatency, [this] {
    CommitOutcome Outcome;
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_Version;
    m_Costs.measure(Writing,
                    [&] { m_StartRecords.onResult(Outcome, m_Clock.m_Now); });
    scheduleTick();
  });
}

void Site::recordProgress() {
  auto Next = m_Costs.measure(
      Writing, [&] { return m_Writer->next(m_Clock.m_Now, wall()); });
  if (!Next)
    return;
  m_Clock.after(m_StoreLatency, [this, Next = std::move(*Next)] {
    CommitOutcome Outcome;
    Outcome.m_Committed = true;
    Outcome.m_Version = ++m_Version;
    m_Costs.measure(Writing, [&] {
      m_Writer->onResult(Next.m_Number, Outcome, m_Clock.m_Now);
    });
    applyDeletes(Next.m_Txn);
    scheduleTick();
  });
}

void Site::applyDeletes(const RowTransaction &Txn) {
  for (const RowAddress &At : Txn.m_Deletes) {
    auto It = m_Jobs.find(At.m_Key);
    if (At.m_Table != LiveJobsTable || It == m_Jobs.end())
      continue;
    const LiveRecord &Job = It->second;
    m_OnTime += m_Clock.m_Now <= Job.m_DueBy && Job.m_DueBy <= m_EndsAt;
    m_Jobs.erase(It);
    m_Clock.after(OneWayDelay, [this, Id = JobId(At.m_Key)] {
      m_Costs.measure(Inputs, [&] { m_Scheduler->onJobEnded(Id); });
    });
  }
}

void Site::planMoves() {
  if (m_Clock.m_Now < m_NextPlanAt)
    return;
  m_NextPlanAt = m_Clock.m_Now + PlanInterval;
  auto Orders = m_Costs.measure(Planning, [&] {
    return m_Planner->plan(m_Clock.m_Now, wall(), MaxOrdersPerPlan);
  });
  // An order is announced in the store before it is sent.
  for (const InstanceOrder &Order : Orders)
    m_Clock.after(m_StoreLatency + OneWayDelay,
                  [this, Order] { onMove(Order); });
}

void Site::listInstances() {
  m_NextListAt = m_Clock.m_Now + ListInterval;
  std::vector<InstanceListing> List;
  for (const auto &S : m_Servers) {
    InstanceListing L;
    L.m_Id = S->m_Registration.m_Instance;
    L.m_Pool = S->m_Registration.m_Pool;
    L.m_Condition = S->m_Condition;
    L.m_Capacity = S->m_Registration.m_Capacity;
    L.m_Rack = S->m_Registration.m_Rack;
    if (S->m_Condition == InstanceCondition::Up && L.m_Pool != poolName(Queues))
      L.m_Server = S->m_Registration.m_Id;
    List.push_back(L);
  }
  TimePoint Asked = m_Clock.m_Now;
  m_Clock.after(2 * OneWayDelay, [this, Asked, List = std::move(List)] {
    m_Costs.measure(Inputs, [&] {
      m_Scheduler->onInstances(List, Asked, m_Clock.m_Now);
      m_Planner->onInstances(Asked);
    });
  });
}

void Site::sendOrders() {
  for (StartOrder &Order : m_Starts)
    m_Clock.after(OneWayDelay,
                  [this, Order = std::move(Order)] { onStart(Order); });
  for (StopOrder &Order : m_Stops)
    m_Clock.after(OneWayDelay,
                  [this, Order = std::move(Order)] { onStop(Order); });
  for (PollOrder &Order : m_Polls)
    m_Clock.after(OneWayDelay,
                  [this, Order = std::move(Order)] { onPoll(Order); });
  m_Starts.clear();
  m_Stops.clear();
  m_Polls.clear();
}

void Site::onStart(const StartOrder &Order) {
  const TaskId &Task = Order.m_Run.m_Task;
  auto Job = m_Jobs.find(Task.m_Job.m_Text);
  // A job that has just ended may still have orders on their way.
  StartReply Reply{OrderResult::NotSent, 0};
  if (Job != m_Jobs.end()) {
    const JobPlan &Plan = Job->second.m_Plan;
    Reply = server(Order).start(
        Order.m_Run, Plan.m_TaskLengths[Task.m_Step][Task.m_Index],
        Plan.m_Steps[Task.m_Step].m_RequiredResources.m_MilliCores);
  }
  m_Clock.after(OneWayDelay, [this, Order, Reply] {
    handle(Results,
           [&] { m_Scheduler->onStartResult(Order, Reply, m_Clock.m_Now); });
  });
}

void Site::onStop(const StopOrder &Order) {
  server(Order).stop(Order.m_Run);
  m_Clock.after(OneWayDelay, [this, Order] {
    handle(Results, [&] {
      m_Scheduler->onStopResult(Order, OrderResult::Done, m_Clock.m_Now);
    });
  });
}

void Site::onPoll(const PollOrder &Order) {
  server(Order).poll(Order, [this, Order](OrderResult R, PollReply Reply) {
    m_Clock.after(OneWayDelay, [this, Order, R, Reply = std::move(Reply)] {
      handle(Results, [&] {
        if (R == OrderResult::Done)
          m_Scheduler->onPollReply(Order, Reply, m_Clock.m_Now);
        else
          m_Scheduler->onPollFailed(Order, R, m_Clock.m_Now);
      });
    });
  });
}

void Site::onMove(const InstanceOrder &Order) {
  ++m_Moves;
  for (const auto &S : m_Servers) {
    if (!(S->m_Registration.m_Instance == Order.m_Instance))
      continue;
    bool WasSpare = S->m_Registration.m_Pool == poolName(Queues);
    S->shutDown();
    S->m_Registration.m_Pool = Order.m_To;
    m_Clock.after(OneWayDelay,
                  [this, Order, WasSpare, Id = S->m_Registration.m_Id] {
                    handle(Inputs, [&] {
                      m_Planner->onOrderResult(Order, InstanceOrderResult::Done,
                                               m_Clock.m_Now);
                      if (!WasSpare)
                        m_Scheduler->onServerUnregistered(Id, m_Clock.m_Now);
                    });
                  });
    m_Clock.after(MoveTime, [this, Moved = S.get()] { finishMove(*Moved); });
  }
}

void Site::finishMove(LightServer &S) {
  S.restart();
  if (S.m_Registration.m_Pool == poolName(Queues))
    return;
  handle(Inputs,
         [&] { m_Scheduler->onServer(S.m_Registration, m_Clock.m_Now); });
}

void Site::submitLater(std::size_t Queue) {
  // Arrivals at the rate of the peak, of which a share is dropped.
  double PeakRate = Loads[Queue].m_Rate *
                    static_cast<double>(m_Servers.size()) * Peaks.m_PeakFactor;
  std::chrono::duration<double> Gap(
      std::exponential_distribution<>(PeakRate)(m_Random));
  m_Clock.after(std::chrono::duration_cast<Duration>(Gap), [this, Queue] {
    submitLater(Queue);
    if (std::uniform_real_distribution<>(0, Peaks.m_PeakFactor)(m_Random) <
        Peaks.factor(Queue, m_Clock.m_Now - m_LoadStartsAt))
      submit(Queue);
  });
}

void Site::submit(std::size_t Queue) {
  LiveRecord Record;
  Record.m_Plan = drawJob(Loads[Queue].m_Kind, m_Random);
  Record.m_DueBy = m_Clock.m_Now + Slack +
                   std::chrono::duration_cast<Duration>(
                       Record.m_Plan.m_CriticalPath * DurationFactor);
  m_Due += Record.m_DueBy <= m_EndsAt;
  JobSpec Spec;
  Spec.m_Id = jobId(m_Submitted++);
  Spec.m_Queue = QueueName("queue-" + std::to_string(Queue));
  Spec.m_Pool = poolName(Queue);
  Spec.m_Steps = Record.m_Plan.m_Steps;
  Spec.m_AcceptedAt = wall();
  m_Jobs[Spec.m_Id.m_Text] = std::move(Record);
  RowVersion Version = ++m_Version;
  handle(Inputs, [&] {
    m_Scheduler->onJob(std::move(Spec), {}, Version, Version, m_Clock.m_Now,
                       wall());
  });
}

void Site::run(Duration Length) {
  m_LoadStartsAt = m_Clock.m_Now;
  m_EndsAt = m_LoadStartsAt + Length;
  m_Costs.reset();
  m_Moves = 0;
  SchedulerCounters Before = m_Scheduler->counters();
  for (std::size_t N = 0; N < Queues; ++N)
    submitLater(N);
  double Start = cpuMs();
  m_Clock.runUntil(m_EndsAt);
  double Used = cpuMs() - Start;
  const SchedulerCounters &After = m_Scheduler->counters();
  double Seconds = std::chrono::duration<double>(Length).count();
  double Total = m_Costs.total();
  auto Number = [](std::uint64_t Value) { return static_cast<double>(Value); };
  auto Passed = std::max(1.0, Number(After.m_Passes - Before.m_Passes));
  std::printf("%7zu %6lld %8.1f", m_Servers.size(),
              static_cast<long long>(m_StoreLatency / milliseconds(1)),
              Total / Seconds);
  for (double Ms : m_Costs.all())
    std::printf(" %8.1f", Ms / Seconds);
  std::printf(" %8.1f %8.0f %8.1f %8.1f %8.0f %8.0f %8.0f %7.3f\n",
              (Used - Total) / Seconds, Passed / Seconds,
              Number(After.m_JobsExamined - Before.m_JobsExamined) / Passed,
              Number(After.m_ServersExamined - Before.m_ServersExamined) /
                  Passed,
              Number(After.m_Starts - Before.m_Starts) / Seconds,
              Number(After.m_Polls - Before.m_Polls) / Seconds, Number(m_Moves),
              Number(m_OnTime) / Number(m_Due));
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  setUpLog(Severity::Error, "bench");
  std::uint64_t Seed = 1;
  std::set<std::size_t> Selected;
  for (int N = 1; N < Argc; ++N)
    if (std::strcmp(Argv[N], "--seed") == 0 && N + 1 < Argc)
      Seed = std::strtoull(Argv[++N], nullptr, 10);
    else
      Selected.insert(std::strtoull(Argv[N], nullptr, 10));
  std::printf("%7s %6s %8s", "servers", "store", "total");
  for (const char *Name : PartNames)
    std::printf(" %8s", Name);
  std::printf(" %8s %8s %8s %8s %8s %8s %8s %7s\n", "bench", "passes/s",
              "jobs/p", "srv/p", "starts/s", "polls/s", "moves", "on time");
  for (const Size &S : Sizes)
    if (Selected.empty() || Selected.count(S.m_Servers))
      for (milliseconds Latency : StoreLatencies)
        Site(S.m_Servers, Latency, Seed).run(Peaks.turnLength() * S.m_Turns);
  std::printf("total processor time %.1f s\n", cpuMs() / 1e3);
  return 0;
}
