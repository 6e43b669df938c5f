//===- Scheduler.h - Decides what runs where --------------------*- C++ -*-===//
//
// The decision core of the leading entry instance, for one term. It is told of
// jobs, backend servers and answers, and orders starts, stops and looks. It has
// no clock, socket or thread.
//
// Safety rests on three things. A server that has answered this term refuses
// the orders of earlier ones. A task is started again only when its last run is
// known to be over: ended, not listed, or its lease run out. An end is
// acknowledged to its server only when it is recorded in the store.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_SCHEDULER_H
#define POLLENSPOOL_SCHEDULING_SCHEDULER_H

#include "scheduling/AdviceCache.h"
#include "scheduling/JobRegistry.h"
#include "scheduling/ServerRegistry.h"
#include "serving/ServingConfig.h"
#include <functional>
#include <memory>
#include <set>

namespace pollenspool {

/// Bounds of the platform, and this term's place in the order of terms.
struct SchedulerOptions {
  Term m_Term = 1;
  /// Version of the store when the term began; jobs accepted later cannot have
  /// been started by an earlier leader.
  RowVersion m_TermVersion = 0;
  /// How long an earlier leader may have gone on after this term began.
  Duration m_EarlierLeaderFor = std::chrono::seconds(8);
  /// The lease that this leader grants.
  Duration m_Lease = std::chrono::seconds(5);
};

/// What the leader may do at the moment, by what it knows of its term.
struct Authority {
  /// The term is certainly in force: ends may be forgotten by their servers.
  bool m_IsCertain = true;
  /// Jobs accepted up to this version of the store may be started. A later
  /// leader takes them for jobs that may have been started.
  RowVersion m_StartUpTo = ~RowVersion(0);
};

struct SchedulerCounters {
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Stops = 0;
  std::uint64_t m_Looks = 0;
  std::uint64_t m_NoRoom = 0;
  std::uint64_t m_Lapsed = 0;
  std::uint64_t m_Doubtful = 0;
  std::uint64_t m_Adopted = 0;
  std::uint64_t m_AdviceCalls = 0;
  std::uint64_t m_Paces = 0;
  /// Runs that stood still, stopped to begin elsewhere.
  std::uint64_t m_Moved = 0;
};

/// Demand on a pool, for planning its size and for admission.
struct PoolDemand {
  std::int64_t m_RunningMilliCores = 0;
  std::int64_t m_ReadyMilliCores = 0;
  /// Cores that steps which still wait for others will ask for.
  std::int64_t m_BlockedMilliCores = 0;
  std::int64_t m_CapacityMilliCores = 0;
};

/// A ready task that no server of its pool may run, whatever room there is.
struct UnservedNeed {
  PoolName m_Pool;
  /// The label that it requires; empty: any will do.
  std::string m_Label;
  Resources m_Need;
};

/// One thread. All \p Now are the local clock since boot, all \p Wall the wall
/// clock at the same moment.
class Scheduler {
public:
  /// \p Orders must outlive the scheduler.
  static std::unique_ptr<Scheduler> create(const SchedulerOptions &Options,
                                           SchedulerOrders &Orders,
                                           TimePoint Now);

  void onConfig(std::shared_ptr<const ServingConfig> Config);
  /// A job that is not over. A job known already is left as it is.
  void onJob(JobSpec Spec, JobProgress Progress, RowVersion Accepted,
             RowVersion State, TimePoint Now, std::chrono::milliseconds Wall);
  /// The job is over; whatever runs of it is stopped.
  void onJobOver(const JobId &Id);
  void onServer(const ServerRegistration &R, TimePoint Now);
  void onServerGone(const ServerId &Id, TimePoint Now);
  /// Ends a run so that its task starts on another server.
  void relocate(const ServerId &Server, const RunId &Run);
  /// The server may have ended; nothing is started there until a look answers.
  void suspect(const ServerId &Id, TimePoint Now);
  /// The server's instance was moved or taken down: nothing runs there.
  void onServerEnded(const ServerId &Id, TimePoint Now);
  /// The platform's list, asked for at \p Asked.
  void onInstances(std::vector<InstanceListing> List, TimePoint Asked,
                   TimePoint Now);

  void onStartResult(const StartOrder &Order, const StartReply &Reply,
                     TimePoint Now);
  void onStopResult(const StopOrder &Order, OrderResult R, TimePoint Now);
  void onLookReply(const LookOrder &Order, const LookReply &Reply,
                   TimePoint Now);
  void onLookFailed(const LookOrder &Order, OrderResult R, TimePoint Now);
  void onAdvice(const AdviceOrder &Order, const Result<AdviceReply> &Reply,
                TimePoint Now);
  /// The job's state row holds more than was known.
  void onRecordedElsewhere(LiveJob &Job, const JobProgress &Stored);
  /// Changes of jobs have been recorded: ends may now be acknowledged.
  void onRecorded(TimePoint Now);

  /// Places what is ready and looks where a look is due.
  void tick(TimePoint Now, std::chrono::milliseconds Wall,
            const Authority &May = {});

  /// How late the process is with its work: looks become rarer with it.
  void setLag(Duration Lag) { m_Lag = Lag; }

  /// Whether a server has seen a later term: this one is over.
  bool isDeposed() const { return m_Deposed; }
  JobRegistry &jobs() { return m_Jobs; }
  ServerRegistry &servers() { return m_Servers; }
  const std::vector<InstanceListing> &instances() const { return m_Instances; }
  const ServingConfig *config() const { return m_Config.get(); }
  /// Accepted jobs of each queue of which no task has started.
  std::map<QueueName, std::uint32_t> waitingJobs() const;
  std::map<PoolName, PoolDemand> demand();
  /// Why the next task of a job does not start, for operators.
  std::string whyWaiting(const JobId &Id, TimePoint Now);
  /// What waits for a server of another kind, or for one more that the adviser
  /// may allow. At most one for each pool and label.
  std::vector<UnservedNeed> unservedNeeds();
  /// The pool that runs \p Job now.
  PoolName poolOf(const LiveJob &Job) const;
  const SchedulerCounters &counters() const { return m_Counters; }

private:
  Scheduler(const SchedulerOptions &Options, SchedulerOrders &Orders,
            TimePoint Now);

  // Runs and their ends (SchedulerRuns.cpp).
  void endRun(ServerState &S, const EndReport &End, TimePoint Now);
  void countServerFailure(ServerState &S, TimePoint Now);
  void checkListed(ServerState &S, const LookReply &Reply, TimePoint Now);
  void adoptOrStop(ServerState &S, const RunReport &Report, TimePoint Now);
  void releaseRun(ServerState &S, const RunId &Id, TimePoint Now);
  void releaseAllRuns(ServerState &S, const char *Why, TimePoint Now);
  void orderStop(ServerState &S, const RunId &Id);
  void stopOtherRuns(const LiveJob &Job, const TaskId &Task);
  void stopRuns(const LiveJob &Job);
  void checkLife(ServerState &S, const StartReply &Reply, TimePoint Now);
  /// The server has another life than the books say. Its runs are compared
  /// with its list next, which shows those that are on the new life already.
  static void startNewLife(ServerState &S);

  // Placement (SchedulerPlacement.cpp).
  /// The servers of one pool during one pass of placement.
  struct PoolRoom {
    std::vector<ServerState *> m_Servers;
    /// No server has more room than this of any kind.
    Resources m_Most;

    void measure();
  };
  void placeReady(TimePoint Now);
  void placePool(const PoolName &Pool, std::vector<LiveJob *> &Jobs,
                 TimePoint Now);
  void placeTasks(LiveJob &Job, const PoolRoom &Room, TimePoint Now);
  bool placeGang(LiveJob &Job, const ReadyTask &First, const PoolRoom &Room,
                 TimePoint Now);
  /// The members of a gang that have found their places so far.
  using Company = std::vector<const ServerState *>;
  /// How well a server suits a task; less is better.
  using Placement = std::tuple<int, int, int, std::uint32_t, std::int64_t>;
  ServerState *choose(LiveJob &Job, const ReadyTask &Task, const PoolRoom &Room,
                      const Company &Beside, TimePoint Now);
  Placement rate(const ServerState &S, const LiveJob &Job,
                 const ReadyTask &Task, const Company &Beside) const;
  static bool mayFit(const LiveJob &Job, const PoolRoom &Room);
  static Resources chargeOf(const StepSpec &Step);
  static void describeRun(ActiveRun &Run, const StepSpec &Step);
  void setObjective(LiveJob &Job) const;
  static std::chrono::milliseconds longestChain(const JobSpec &Job);
  bool canTake(const ServerState &S, const LiveJob &Job, const ReadyTask &Task,
               const Resources &Need, const Company &Beside) const;
  bool isFar(const ServerState &S, const LiveJob &Job, const ReadyTask &Task,
             const Company &Beside) const;
  std::uint32_t runsOfStepOn(const LiveJob &Job, const ReadyTask &Task,
                             const ServerId &Server) const;
  void start(LiveJob &Job, const ReadyTask &Task, ServerState &S,
             std::uint32_t RunNumber, TimePoint Now);
  std::uint32_t nextRunNumber(const TaskState &T) const;
  bool isUsable(const ServerState &S, TimePoint Now) const;
  bool mayHaveUnknownRuns(const LiveJob &Job, TimePoint Now);
  bool isPoolVetted(const PoolName &Pool);

  bool hasServerFor(const LiveJob &Job, const ReadyTask &Task) const;

  // Advice (SchedulerAdvice.cpp).
  /// The policy of the job's queue; null if the queue is no longer there.
  const QueuePolicy *policyOf(const LiveJob &Job) const;
  const AdvicePolicy *advicePolicy(const LiveJob &Job) const;
  void askAdvice(LiveJob &Job, const PoolRoom &Room, TimePoint Now);

  // Servers whose tasks stand still (SchedulerStragglers.cpp).
  void watchProgress(ServerState &S, TimePoint Now);
  bool mayMove(const RunId &Id, const ServerState &From, TimePoint Now);

  void lookWhereDue(TimePoint Now);
  void sendLook(ServerState &S, TimePoint Now);
  static std::chrono::milliseconds lookWait(const ServerState &S);
  Duration lookSpacing() const;
  void expireLeases(TimePoint Now);
  bool isRecorded(const UnrecordedEnd &End);

  SchedulerOptions m_Options;
  SchedulerOrders &m_Orders;
  std::shared_ptr<const ServingConfig> m_Config;
  JobRegistry m_Jobs;
  ServerRegistry m_Servers;
  AdviceCache m_Advice;
  std::vector<InstanceListing> m_Instances;
  bool m_InstancesKnown = false;
  TimePoint m_UncertainUntil{};
  bool m_Deposed = false;
  Authority m_May;
  Duration m_Lag{0};
  SchedulerCounters m_Counters;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_SCHEDULER_H
