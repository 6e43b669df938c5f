//===- JobSimulation.h - Scheduling in virtual time -------------*- C++ -*-===//
//
// Runs real schedulers against simulated servers and a simulated store. Fuzzing
// injects faults and checks with RunOracle; benchmarks inject none.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_TESTING_JOBSIMULATION_H
#define POLLENSPOOL_SCHEDULING_TESTING_JOBSIMULATION_H

#include "scheduling/ProgressWriter.h"
#include "scheduling/QueueRecords.h"
#include "scheduling/testing/SimServers.h"

namespace pollenspool {

/// Settings of a simulation.
struct SimulationSettings {
  std::uint64_t m_Seed = 1;
  std::size_t m_Servers = 8;
  /// Pools over which the servers are spread in turn. The queue begins with the
  /// first.
  std::size_t m_Pools = 1;
  std::int64_t m_CoresPerServer = 32;
  SimFaults m_Faults;
  /// Mean number of submitted jobs per second.
  double m_Rate = 10;
  std::uint32_t m_MaxSteps = 3;
  std::uint32_t m_MaxTasksPerStep = 12;
  /// Median duration of a task at normal speed; also the estimate in job specs.
  Duration m_MedianWork = std::chrono::milliseconds(800);
  std::int64_t m_MeanMilliCores = 1800;
  /// Failed runs of one task after which its job fails.
  std::uint32_t m_Attempts = 3;
  /// Share of the submitted jobs that are long-running, as long as fewer than
  /// two of them are live.
  double m_LongRunningShare = 0;
  /// Share of the jobs of which one task crashes each server that starts it,
  /// this long after the start.
  double m_DeadlyJobShare = 0;
  Duration m_DeadlyDelay = std::chrono::milliseconds(10);
  /// Changes each job before its submission, unless it is long-running; null:
  /// jobs are submitted as they are.
  void (*m_ShapeJob)(JobSpec &) = nullptr;
  /// Organisations that the jobs belong to in turn; none: jobs belong to none.
  std::vector<OrganisationPolicy> m_Organisations;
  /// The shortest and the longest time after which the leaders read the
  /// registration of a restarted server.
  Duration m_MinRegistrationDelay = std::chrono::milliseconds(300);
  Duration m_MaxRegistrationDelay = std::chrono::milliseconds(300);
  /// Whether the queue uses a placement adviser, which allows every second
  /// server.
  bool m_HasAdviser = false;
  /// Longest time after which leaders learn of a version of the configuration.
  Duration m_MaxConfigDelay{0};
  /// Share of the jobs whose row holds no rules of the queue, as those that an
  /// earlier version of the program accepted.
  double m_RowWithoutRulesShare = 0;
  /// Ends that a server lists at most in one answer.
  std::size_t m_MaxListedEnds = 500;
  /// What the store accepts. It refuses other transactions for good.
  StoreLimits m_StoreLimits;
  /// Tasks of a page, \see TaskPages.h.
  std::uint32_t m_PageSize = DefaultPageSize;
  /// Whether the state of the leaders is checked with findInconsistency().
  bool m_ChecksState = false;
};

/// Job counts since the start of a simulation.
struct SimulationStats {
  std::uint64_t m_Submitted = 0;
  std::uint64_t m_Completed = 0;
  /// Completed within the latency objective.
  std::uint64_t m_OnTime = 0;
  /// Completed after the latency objective, but within three times its length.
  std::uint64_t m_Late = 0;
  /// Failed or cancelled.
  std::uint64_t m_Failed = 0;
  /// Submitted jobs of which a task crashes its servers.
  std::uint64_t m_Deadly = 0;
  /// Times that a task crashed its server.
  std::uint64_t m_CrashesByTasks = 0;
  std::uint64_t m_Terms = 0;
  std::uint64_t m_Cuts = 0;
  /// Pages of tasks that were written, and transactions that were refused.
  std::uint64_t m_PagesWritten = 0;
  std::uint64_t m_Refused = 0;
  /// Servers that have left as planned.
  std::uint64_t m_ServersLeft = 0;
};

/// One queue, its pools, and the leaders of all terms so far. Not thread
/// safe. Throws std::runtime_error if RunOracle finds a violation, or if the
/// state of a leader is inconsistent.
class JobSimulation {
public:
  explicit JobSimulation(const SimulationSettings &Settings);
  ~JobSimulation();

  /// Advances the time by \p Length. Jobs are submitted at the rate of the
  /// settings if \p WithDemand is set.
  void run(Duration Length, bool WithDemand = true);
  /// Begins the next term after 0.3 s. The earlier leader keeps giving orders
  /// until a server rejects them or 5 s have passed.
  void replaceLeader();
  /// Cuts the leader off from the store and from some servers, which the next
  /// leader does not reach either, for 10 s to 14 s. The next term begins after
  /// 1.5 s. Both leaders get the platform's lists, and servers that are idle
  /// for the next leader are moved. Has no effect during a cut.
  void cutOffLeader();
  bool hasCut() const { return m_Clock.m_Now < m_CutUntil; }
  /// Moves a server that is idle for the leader to another pool, or back to its
  /// own as a new server.
  void moveIdleServer();
  /// The server reports that it drains, leaves after 2 s to 4 s, and another
  /// one follows on its instance.
  void drainServer(std::size_t Index);
  /// The server crashes for good. The leaders know its registration for up to
  /// 4.5 s more. After 2 s its address belongs to a server of another instance,
  /// in a random pool. Has no effect if too few servers would be left.
  void replaceServer(std::size_t Index);
  /// Stops the leader at once and begins the next term after 1.5 s.
  void killLeader();
  /// Stops the leader and begins the next term at once. Orders that are under
  /// way are still carried out.
  void releaseTerm();
  /// Restarts the server without its runs. It registers again after the delay
  /// of the settings.
  void crashServer(std::size_t Index);
  /// From now on the server takes \p Factor times as long for all work.
  void slowServer(std::size_t Index, double Factor);
  /// The server crashes, does not answer for 3 s and then registers again. The
  /// platform lists its instance as down meanwhile.
  void failServer(SimServer &S);
  /// Orders of the current leader to the server are lost until
  /// reconnectServers().
  void disconnectServer(std::size_t Index);
  void reconnectServers();
  /// The same also for orders of the next leader.
  void isolateServer(std::size_t Index);
  /// Cancels a random live job, if there is any.
  void cancelRandomJob();
  void cancelLongRunningJobs();
  /// Advances the time by 3 s. Returns the long-running tasks that had no run
  /// in that time, as the leader knows them; empty if there are none.
  std::string findIdleLongRunningTasks();
  /// Puts a configuration into effect in which the organisations have these
  /// caps, in thousandths of a core.
  void setCaps(const std::vector<std::int64_t> &MilliCores);
  /// Makes the tasks of the queue run in a random pool from now on.
  void moveQueue();
  /// Gives the queue random attempts and another priority.
  void changeRules();
  /// Removes the queue from the configuration, or puts it back. Rules that are
  /// replaced at once may never be in force, so the time first advances until
  /// the latest ones are, with the leader that there is.
  void setHasQueue(bool HasQueue);
  /// Describes the first live job that the current leader does not schedule by
  /// the last rules of the queue, if those have been in force for a while.
  std::string findWrongRules();
  void setJobRate(double JobsPerSecond) { m_Settings.m_Rate = JobsPerSecond; }
  void setFaults(const SimFaults &Faults) { m_Settings.m_Faults = Faults; }

  const SimulationStats &stats() const { return m_Figures; }
  std::size_t liveJobs() const { return m_LiveRows.size(); }
  /// The leader's state of the first live job, for error messages.
  std::string describeFirstLiveJob();
  std::size_t servers() const { return m_Servers.size(); }
  std::size_t pools() const { return m_Settings.m_Pools; }
  bool hasQueue() const { return m_HasQueue; }
  std::mt19937_64 &random() { return m_Random; }
  /// The scheduler of the current leader.
  Scheduler &core();

private:
  class Instance;
  /// How long the adviser takes for an answer, and how long its tickets are
  /// valid.
  static constexpr std::chrono::milliseconds AdviceDelay{10};
  static constexpr std::chrono::milliseconds TicketLifetime{2000};
  /// The state row of a job in the simulated store.
  struct StateRow {
    JobProgress m_Progress;
    RowVersion m_Version = 0;
  };
  /// The row of a live job in the simulated store.
  struct LiveRow {
    JobSpec m_Spec;
    RowVersion m_Version = 0;
    TimePoint m_SubmittedAt{};
    TimePoint m_Objective{};
  };

  void submit();
  std::vector<StepSpec> makeSteps();
  std::vector<StepSpec> makeLongRunningStep();
  std::vector<JobId> longRunningJobs() const;
  void cancel(const JobId &Id);
  void scheduleSubmit();
  /// Begins the next term after \p Delay. The earlier leader keeps giving
  /// orders, and reaches the store if \p HasStore is set.
  void beginTermBeside(bool HasStore, Duration Delay);
  /// Lists the instances and may move a server, again and again until the cut
  /// is healed.
  void continueCut();
  /// Whether \p S may leave: its pool keeps two other servers.
  bool mayLeave(const SimServer &S) const;
  void leaveWhenUp(SimServer &S);
  /// \p S leaves, and another server follows in \p Pool on its instance.
  void leave(SimServer &S, InstanceCondition Condition, const PoolName &Pool);
  void follow(SimServer &S, const PoolName &Pool);
  /// Adds a server like \p R under a new ID, which the leaders learn of.
  SimServer &addServer(ServerRegistration R);
  /// The server that answers at \p Address; null if none does.
  SimServer *serverAt(const std::string &Address);
  /// \p EarlierLeaderTimeout: \see SchedulerOptions.
  void startTerm(Duration EarlierLeaderTimeout);
  /// Calls \p Callback for each leader whose term is in effect.
  void forEachLeader(const std::function<void(Scheduler &)> &Callback);
  static bool isLeaderTable(const std::string &Table);
  std::shared_ptr<const ServingConfig> makeConfig() const;
  /// Publishes the next version. All leaders learn of it within the delay of
  /// the settings.
  void applyConfig();
  void deliverConfig(const std::shared_ptr<const ServingConfig> &Config);
  QueuePolicy queuePolicy() const;
  PoolName poolName(std::size_t Index) const;
  /// Draws a delay between the limits of the settings.
  Duration registrationDelay();
  Result<CommitOutcome> apply(const RowTransaction &Txn);
  /// The progress of the job as a new leader reads it.
  JobProgress readProgress(const JobSpec &Job);
  /// The row at \p At; one of version 0 if there is none.
  StoredRow currentRow(const RowAddress &At);
  std::chrono::milliseconds wall() const;
  bool chance(double Share);
  Duration workOf(const TaskId &Task);
  /// Whether the task crashes each server that starts it.
  bool isDeadly(const TaskId &Task) const;
  /// Lets \p Run crash \p S after the delay of the settings.
  void scheduleCrash(SimServer &S, const RunId &Run);
  /// Shows the list of instances to the leaders.
  void listInstances();
  Duration criticalPathOf(const JobSpec &Job);

  SimulationSettings m_Settings;
  /// The pool of the queue, and whether the configuration has the queue.
  std::size_t m_QueuePool = 0;
  bool m_HasQueue = true;
  std::uint32_t m_Priority = 0;
  /// The newest version of the configuration, and the newest one that leaders
  /// know.
  std::shared_ptr<const ServingConfig> m_Config;
  std::shared_ptr<const ServingConfig> m_KnownConfig;
  /// The rules of the queue when the configuration last had it, and when they
  /// were published.
  QueueRules m_LastRules;
  TimePoint m_RulesAt{};
  VirtualClock m_Clock;
  std::mt19937_64 m_Random;
  RunOracle m_Oracle{m_Clock};
  std::vector<std::unique_ptr<SimServer>> m_Servers;
  std::map<std::string, LiveRow> m_LiveRows;
  std::map<std::string, StateRow> m_StateRows;
  std::vector<std::unique_ptr<Instance>> m_Leaders;
  RowVersion m_Version = 10;
  Term m_Term = 0;
  RowVersion m_TermVersion = 0;
  /// The rows of IdleServers and QueueRecords, by table and key.
  std::map<std::pair<std::string, std::string>, StoredRow> m_LeaderRows;
  /// Pages of tasks by key.
  std::map<std::string, std::string> m_PageRows;
  bool m_HasDemand = false;
  TimePoint m_CutUntil{};
  SimulationStats m_Figures;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_TESTING_JOBSIMULATION_H
