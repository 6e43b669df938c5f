//===- Scheduler.h - Schedules jobs for one term ----------------*- C++ -*-===//
//
// The scheduling logic of the leading entry instance, for one term. It receives
// jobs, backend servers and results of orders, and issues orders to start and
// stop runs and to poll servers. It has no clock, socket or thread of its own.
//
// Three rules make it safe. A server that has answered in this term rejects the
// orders of earlier terms. A task is started again only when its last run is
// known to be over: it has ended, the server does not list it, or its lease has
// expired, and it cannot begin late. A run end is acknowledged to its server
// only after it has been recorded in the store.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_SCHEDULER_H
#define POLLENSPOOL_SCHEDULING_SCHEDULER_H

#include "organisations/ShareMeter.h"
#include "scheduling/AdviceCache.h"
#include "scheduling/JobRegistry.h"
#include "scheduling/OrganisationLedger.h"
#include "scheduling/PlacementQueue.h"
#include "scheduling/SchedulerTypes.h"
#include "scheduling/ServerRegistry.h"
#include "scheduling/WaitReason.h"
#include "serving/ServingConfig.h"
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace pollenspool {

/// Decides which task runs on which server. Not thread safe. Every \p Now is
/// the local clock since boot, and every \p Wall the wall clock at the same
/// moment, as the time since the Unix epoch.
class Scheduler {
public:
  /// \p Orders must outlive the scheduler.
  static std::unique_ptr<Scheduler> create(const SchedulerOptions &Options,
                                           SchedulerOrders &Orders,
                                           TimePoint Now);

  /// Replaces the configuration. Nothing is placed before the first call.
  void onConfig(std::shared_ptr<const ServingConfig> Config);
  /// Adds a job that has not ended. Has no effect if the job is known
  /// already.
  void onJob(JobSpec Spec, JobProgress Progress, RowVersion Accepted,
             RowVersion State, TimePoint Now, std::chrono::milliseconds Wall);
  /// Removes a job that has ended and stops its runs.
  void onJobEnded(const JobId &Id);
  /// A job that belongs to \p Owner had ended before this leader knew it. Its
  /// runs may still exist.
  void onEarlierEnd(const JobId &Id, const OrganisationName &Owner) {
    if (!Owner.empty())
      m_OwnersOfEndedJobs[Id.m_Text] = Owner;
  }
  /// The state of an ended job was removed.
  void forgetEnded(const JobId &Id) { m_OwnersOfEndedJobs.erase(Id.m_Text); }
  /// Adds a server or updates its registration.
  void onServer(const ServerRegistration &R, TimePoint Now);
  /// The server's registration was removed. Its runs stay until they end or
  /// its leases expire.
  void onServerUnregistered(const ServerId &Id, TimePoint Now);
  /// Stops a run so that its task starts on another server.
  void relocate(const ServerId &Server, const RunId &Run);
  /// Marks a server that may have ended as unreachable. Nothing is started
  /// there until it answers a poll.
  void markSuspected(const ServerId &Id, TimePoint Now);
  /// The server's instance was moved or shut down, so none of its runs exists
  /// any more.
  void onServerTerminated(const ServerId &Id, TimePoint Now);
  /// The platform's list, which was requested at \p Asked.
  void onInstances(std::vector<InstanceListing> List, TimePoint Asked,
                   TimePoint Now);

  /// Results of the orders that this scheduler has issued.
  void onStartResult(const StartOrder &Order, const StartReply &Reply,
                     TimePoint Now);
  void onStopResult(const StopOrder &Order, OrderResult R, TimePoint Now);
  void onPollReply(const PollOrder &Order, const PollReply &Reply,
                   TimePoint Now);
  void onPollFailed(const PollOrder &Order, OrderResult R, TimePoint Now);
  void onAdvice(const AdviceOrder &Order, const Result<AdviceReply> &Reply,
                TimePoint Now);
  /// Merges progress from the job's state row that this leader has not seen.
  void mergeStoredProgress(LiveJob &Job, const JobProgress &Stored);
  /// The changes of \p Job up to \p ChangeNumber have been recorded.
  void markRecorded(LiveJob &Job, std::uint64_t ChangeNumber);
  /// Acknowledges the run ends that have been recorded since the last call.
  void onProgressRecorded(TimePoint Now);

  /// Places ready tasks and polls the servers whose poll is due.
  void tick(TimePoint Now, std::chrono::milliseconds Wall,
            const Authority &Granted = {});

  /// Earlier leaders recorded the start of each step before they ordered it,
  /// for jobs accepted after \p Version. By default no record is relied on.
  void setStartsRecordedSince(RowVersion Version) {
    m_StartsRecordedSince = Version;
  }
  /// Whether a step is only started once its start is recorded in the store. By
  /// default it is not.
  void setRecordsStarts(bool Records) { m_RecordsStarts = Records; }
  /// No earlier leader has runs on \p Servers or can start any there, now or
  /// later. By default that is not known of any server.
  void setServersWithoutEarlierRuns(std::set<ServerId> Servers);
  /// Unreachable servers, at most 200, that certainly have no runs: those of
  /// this leader are over, those of earlier ones too.
  std::set<ServerId> unreachableServersWithoutRuns(TimePoint Now) const;
  /// Starts nothing on \p Servers until the next call, which replaces them.
  /// They must be without runs and planned starts.
  void holdServers(std::set<ServerId> Servers);
  /// Sets how far the process is behind with its work. Servers are polled less
  /// often with a larger lag.
  void setLag(Duration Lag) { m_Lag = Lag; }

  /// Whether a server has seen a later term, which means that this term is
  /// over.
  bool isSuperseded() const { return m_Superseded; }
  JobRegistry &jobs() { return m_Jobs; }
  QueueRegistry &queues() { return m_QueueRegistry; }
  ServerRegistry &servers() { return m_Servers; }
  const OrganisationLedger &organisations() const { return m_Organisations; }
  /// Continues with the admission shares of an earlier leader.
  void restoreAdmission(const AdmissionShares &Earlier) {
    m_Shares.restore(Earlier);
  }
  /// What to admit of each organisation. To be called every 250 ms.
  AdmissionShares updateAdmission(TimePoint Now);
  const std::vector<InstanceListing> &instances() const { return m_Instances; }
  /// When a connection to a server with runs last ended unexpectedly. A list of
  /// the instances that is requested later tells whether the server has
  /// crashed.
  TimePoint lastAbruptSilence() const { return m_LastAbruptSilence; }
  const ServingConfig *config() const { return m_Config.get(); }
  /// Number of accepted jobs of each queue of which no task has started.
  std::map<QueueName, std::uint32_t> waitingJobs() const;
  /// The current demand on each pool.
  std::map<PoolName, PoolDemand> demand();
  /// Why the first waiting task of \p Job has not started. Compares some
  /// servers of its pool, which SchedulerCounters::m_ServersSearched counts.
  WaitReason waitReason(const LiveJob &Job, TimePoint Now);
  /// Describes for operators why \p Job waits for \p Reason, which waitReason()
  /// has returned.
  std::string describeWait(const LiveJob &Job, WaitReason Reason,
                           TimePoint Now) const;
  /// Describes for operators why the next task of a job has not started.
  std::string pendingReason(const JobId &Id, TimePoint Now);
  /// Ready tasks that need a server of another kind, or another server that the
  /// adviser may allow. At most one for each pool and label.
  std::vector<UnschedulableTask> unschedulableTasks();
  const SchedulerCounters &counters() const { return m_Counters; }

private:
  Scheduler(const SchedulerOptions &Options, SchedulerOrders &Orders,
            TimePoint Now);

  /// One placement pass over a pool.
  struct PoolPass {
    const ServersByFreeCores &m_Servers;
    TimePoint m_Now;
    /// Free cores of the usable server that has most of them; -1 if no server
    /// is usable.
    std::int64_t m_MostMilliCores = -1;
    /// A requirement that no server satisfies during the pass, because starts
    /// only reduce the free resources.
    struct Failure {
      const std::string *m_Label;
      Resources m_Need;
    };
    std::vector<Failure> m_Failures = {};
    /// Searches for a server without tasks of other jobs.
    std::uint32_t m_IsolationSearches = 0;
    /// Jobs whose suspected tasks found none, and the latest of them.
    std::size_t m_JobsWaitingForIsolation = 0;
    const LiveJob *m_LastJobWaiting = nullptr;
  };
  /// What the tasks of one step require.
  struct StepNeeds {
    const StepSpec *m_Step = nullptr;
    Resources m_Need;
    bool m_NeedsTicket = false;
    /// Racks on which tasks of a step with m_SameRack run.
    std::set<RackName> m_RacksInUse;
  };
  /// The servers selected so far for the members of a gang.
  using GangServers = std::vector<const ServerState *>;

  // Runs and their ends (SchedulerRuns.cpp).
  void endRun(ServerState &S, const EndReport &End, TimePoint Now);
  void countServerFailure(ServerState &S, TimePoint Now);
  /// \p Loss is the reason if the server does not list a run.
  void reconcileRuns(ServerState &S, const PollReply &Reply, RunLoss Loss,
                     TimePoint Now);
  void adoptOrStop(ServerState &S, const RunReport &Report, TimePoint Now);
  /// Decides what became of the runs that \p Reply does not name. Nothing
  /// follows from an incomplete list: the ends that it leaves out come later.
  void resolveUnlistedRuns(ServerState &S, const PollReply &Reply, RunLoss Loss,
                           TimePoint Now);
  void rescheduleRun(ServerState &S, const RunId &Id, RunLoss Loss,
                     TimePoint Now);
  /// Keeps starts that may be carried out late until they cannot be any more.
  void rescheduleAllRuns(ServerState &S, RunLoss Loss, const char *Evidence,
                         TimePoint Now);
  void rescheduleLostRuns(ServerState &S, TimePoint Now);
  void orderStop(ServerState &S, const RunId &Id);
  void stopRunsOfTask(const LiveJob &Job, const TaskId &Task);
  void stopRunsOfJob(const LiveJob &Job);
  /// \p Job has failed with \p Last, the last attempt of a task.
  void failJob(const LiveJob &Job, const RunId &Last);
  /// Releases the occurrences of which \p Reply names runs.
  void releaseReported(const PollReply &Reply);
  /// Another server has answered an order to \p S at \p Address. If that is
  /// still the address of \p S, it has ended.
  void onOtherIncarnation(ServerState &S, const std::string &Address,
                          TimePoint Now);
  /// \p S has restarted, or may have. It gets no lease, no start and no
  /// acknowledgement of ends until it has answered a poll sent from now on.
  void suspectRestart(ServerState &S, TimePoint Now);
  /// An order that grants a lease until \p LeaseUntilMs on the server's clock
  /// (0: none) has been answered when that clock showed \p ClockMs, or got no
  /// answer (0). Notes the longest lease that the server may have now. Returns
  /// whether the lease was computed by the clock of another incarnation.
  bool noteGrant(ServerState &S, std::int64_t LeaseUntilMs,
                 std::int64_t ClockMs, TimePoint Now);
  /// \p S, whose clock shows \p ClockMs, has answered for the first time in
  /// this term. Notes the longest lease that an earlier leader may have given
  /// it by the clock of its previous incarnation, while it did not know of the
  /// restart.
  void noteEarlierGrants(ServerState &S, std::int64_t ClockMs, TimePoint Now);
  /// Replaces what is known of the previous incarnation of a server. Its runs
  /// are kept, since the list in the answer shows which of them the new
  /// incarnation already has.
  void beginIncarnation(ServerState &S);

  // Crashes of servers, and the tasks suspected of them
  // (SchedulerCrashes.cpp).
  using LostRuns = RunsOnServer;
  /// Counts the crash of \p S for the tasks of all runs that it had, and of
  /// those in \p Lost.
  void countCrash(ServerState &S, const LostRuns &Lost, const char *Evidence,
                  TimePoint Now);
  /// Returns whether the task is a suspect now.
  bool countLostRun(const ServerState &S, const RunId &Id, const ActiveRun &Run,
                    bool WasAlone);
  void countCrashedRun(LiveJob &Job, const TaskId &Id, const CrashedRun &Run,
                       const std::string &Server);
  /// Marks \p S as unreachable after an order without an answer, which has
  /// waited for \p Waited of its \p Timeout.
  void noteSilence(ServerState &S, OrderResult R, Duration Waited,
                   Duration Timeout, TimePoint Now);
  /// Counts the runs of the previous incarnation of \p S that \p Reply does not
  /// list.
  void countCrashBefore(ServerState &S, const PollReply &Reply, TimePoint Now);
  /// The start of \p Id has a result, which decides what became of the run if
  /// \p S was found to have ended meanwhile.
  void resolveLostStart(ServerState &S, const RunId &Id, TimePoint Now);
  /// \p S has listed a run of a suspected task, which proves the task sound
  /// after a while.
  void onListedSuspect(ServerState &S, const RunId &Id, ActiveRun &Run);
  /// The latest start of the task ended in another way than by a crash.
  void endSuspectStart(LiveJob &Job, const TaskId &Id);
  /// Counts the tasks of the step that an earlier leader may have started and
  /// that no server has, if servers of the pool crashed around the change of
  /// the leader.
  void countEarlierRuns(LiveJob &Job, const ReadyTask &Step);
  /// Finds out whether the starts of suspected tasks of the step that an
  /// earlier leader recorded ended in crashes.
  void resolveEarlierStarts(LiveJob &Job, const ReadyTask &Step);
  void resolveEarlierStart(LiveJob &Job, const TaskId &Id, TaskState &T);
  /// Empty if the server may not be used.
  static std::optional<IsolationScore> isolationScore(const ServerState &S,
                                                      const LiveJob &Job,
                                                      const CrashHistory &H,
                                                      bool MayShare);
  /// Selects a server without tasks of other jobs. After a while any server
  /// will do.
  ServerState *selectIsolated(const LiveJob &Job, const ReadyTask &Task,
                              TaskState &T, const StepNeeds &Needs,
                              const GangServers &GangPlan, PoolPass &Pass);
  /// A task of \p Job that is suspected is about to be started on \p S.
  void countSuspectStart(const LiveJob &Job, ServerState &S);
  /// Lets servers become free for the suspected tasks that wait for one.
  void clearServers(PoolPass &Pass);
  static bool isSuspectStartRecorded(const LiveJob &Job, const TaskState &T,
                                     const ServerState &S);
  /// Asks for the record of the start of a suspected task, and keeps \p S free
  /// for it.
  void planSuspectStart(LiveJob &Job, TaskState &T, ServerState &S,
                        std::uint32_t RunNumber);

  // Placement (SchedulerPlacement.cpp).
  void placeReady(TimePoint Now);
  void enqueueReady();
  void placePool(const PoolName &Name, PlacementQueue &Queue, TimePoint Now);
  /// Places ready tasks of \p Job. Returns whether none is left.
  bool placeJob(LiveJob &Job, PoolPass &Pass);
  void measureMostFree(PoolPass &Pass) const;
  /// Whether no server had room for a task of \p Step earlier in the pass.
  static bool isKnownToFail(const StepSpec &Step, const Resources &Need,
                            const PoolPass &Pass);
  bool mayFit(const LiveJob &Job, const PoolPass &Pass) const;
  void placeTasks(LiveJob &Job, PoolPass &Pass);
  using ReadyTasks = std::vector<ReadyTask>;
  /// Places tasks of one step. Puts those that cannot start back into the ready
  /// list.
  void placeStep(LiveJob &Job, ReadyTasks::const_iterator First,
                 ReadyTasks::const_iterator End, PoolPass &Pass);
  /// Places all tasks of a gang or none. They start together, or all their
  /// starts are planned. Returns whether they were placed.
  bool placeGang(LiveJob &Job, const ReadyTask &First, StepNeeds &Needs,
                 PoolPass &Pass);
  /// Starts a task, or plans its start if that has to be recorded first.
  void place(LiveJob &Job, const ReadyTask &Task, const StepNeeds &Needs,
             ServerState &S, std::uint32_t RunNumber, TimePoint Now);
  /// Applies the rules in force for the job's queue to the job, or to all jobs.
  static void applyRules(LiveJob &Job);
  void applyRules();
  static void initRun(ActiveRun &Run, const LiveJob &Job, const StepSpec &Step);
  void start(LiveJob &Job, const ReadyTask &Task, ServerState &S,
             std::uint32_t RunNumber, TimePoint Now);
  std::uint32_t nextRunNumber(const TaskState &T) const;

  // Caps of organisations (SchedulerCaps.cpp).
  /// Whether the cap of the job's organisation leaves room for \p Tasks tasks
  /// of \p Step.
  static bool hasRoomUnderCap(const LiveJob &Job, const StepSpec &Step,
                              std::uint32_t Tasks, TimePoint Now);
  /// Whether hasRoomUnderCap() would say no. Does not count as an attempt.
  static bool isWithoutRoomUnderCap(const LiveJob &Job, const StepSpec &Step,
                                    TimePoint Now);
  /// Reserves room under the caps for tasks that an earlier leader may have
  /// started on servers that have not answered yet.
  void reserveUnknownRuns(TimePoint Now);
  /// Reserves room for the tasks of one step of \p Job.
  void reserveUnknownRuns(const LiveJob &Job, const Occurrence &O,
                          std::uint32_t Step, TimePoint Now);

  // Selection of servers (SchedulerSelection.cpp).
  /// How suitable a server is for a task; lower is better.
  using PlacementScore = std::tuple<int, int, int, std::uint32_t, std::int64_t>;
  StepNeeds needsOf(const LiveJob &Job, const ReadyTask &Task) const;
  ServerState *selectServer(const LiveJob &Job, const ReadyTask &Task,
                            const StepNeeds &Needs, const GangServers &GangPlan,
                            PoolPass &Pass);
  /// Whether a task of \p Step prefers the server with the fewest free cores,
  /// whatever runs there.
  static bool prefersLeastFree(const StepSpec &Step) {
    return !Step.m_IsBestEffort && !Step.m_IsLongRunning;
  }
  static std::int64_t packingScore(const ServerState &S, const StepSpec &Step);
  PlacementScore score(const ServerState &S, const LiveJob &Job,
                       const ReadyTask &Task, const StepNeeds &Needs) const;
  static Resources allocationFor(const StepSpec &Step);
  bool canHost(const ServerState &S, const LiveJob &Job, const ReadyTask &Task,
               const StepNeeds &Needs, const GangServers &GangPlan) const;
  static bool isOutsidePreferredRack(const ServerState &S,
                                     const StepNeeds &Needs);
  std::uint32_t runsOfStepOn(const LiveJob &Job, const ReadyTask &Task,
                             const ServerId &Server) const;
  bool isUsable(const ServerState &S, TimePoint Now) const;
  bool hasServerFor(const LiveJob &Job, const ReadyTask &Task);
  /// Appends the unschedulable tasks of one pool to \p Needs.
  void findUnschedulable(const PoolName &Pool, const PlacementQueue &Queue,
                         std::vector<UnschedulableTask> &Needs);

  // Records of starts (SchedulerStartRecords.cpp).
  /// Whether an earlier leader may have started runs of a step on servers that
  /// have not answered in this term.
  bool mayHaveUnknownRuns(const LiveJob &Job, const ReadyTask &Task,
                          TimePoint Now) const;
  /// Whether that holds for the steps of all ready tasks.
  bool mayAllHaveUnknownRuns(const LiveJob &Job, TimePoint Now) const;
  /// Whether the start of a step may be ordered: it is recorded in the store,
  /// or no record is needed.
  bool isStartRecorded(LiveJob &Job, const ReadyTask &Task) const;
  /// The same for a start on \p S, also of a suspected task.
  bool isStartRecorded(LiveJob &Job, const ReadyTask &Task,
                       const ServerState &S) const;
  /// The same for all planned tasks of the gang of \p P, or for the one task.
  bool areStartsRecorded(LiveJob &Job, const PlannedStart &P) const;
  /// Asks for the record of a start and keeps \p Need free on \p S until it
  /// is written.
  void planStart(LiveJob &Job, const ReadyTask &Task, const Resources &Need,
                 ServerState &S, std::uint32_t RunNumber, TimePoint Now);
  /// Starts the planned tasks whose record has been written. Makes those ready
  /// again whose server cannot take them any more, or whose record takes long,
  /// so that urgent tasks may get the resources.
  void startPlanned(TimePoint Now);
  void startPlanned(LiveJob &Job, TimePoint Now);
  /// Whether \p P is to be started or made ready again.
  bool isResolved(LiveJob &Job, const PlannedStart &P, TimePoint Now) const;
  bool isStartable(const LiveJob &Job) const {
    return Job.m_AcceptedVersion <= m_Authority.m_StartableVersion;
  }
  void startOrRequeue(LiveJob &Job, const PlannedStart &P, TimePoint Now);
  /// Whether the servers of all planned tasks of the same gang, or of the one
  /// task, can still take tasks.
  bool areServersUsable(const LiveJob &Job, const PlannedStart &P,
                        TimePoint Now) const;
  void cancelPlannedStarts(LiveJob &Job);
  /// Frees what is kept on the server of \p P, a planned start of \p Job.
  static void cancelPlannedStart(const LiveJob &Job, const PlannedStart &P);
  /// Whether no server can have a run of an earlier leader that it has not
  /// named.
  bool areEarlierRunsOver(TimePoint Now) const;
  /// Finds the pools with servers that have not named all their runs.
  void findUnacknowledgedPools();

  // Reasons why jobs wait (SchedulerExplain.cpp).
  /// The reason apart from the servers of the pool; None if there is none.
  WaitReason reasonBeforePlacement(const LiveJob &Job, const ReadyTask &Task,
                                   TimePoint Now) const;
  /// What the servers of the pool lack for the task.
  WaitReason placementObstacle(const LiveJob &Job, const ReadyTask &Task,
                               TimePoint Now);
  /// What \p S, which has enough free cores, lacks for the task.
  WaitReason obstacleOn(const ServerState &S, const LiveJob &Job,
                        const ReadyTask &Task, const StepNeeds &Needs,
                        TimePoint Now) const;
  std::string describeRoom(const LiveJob &Job, const ReadyTask &Task,
                           TimePoint Now) const;
  std::string describeUnknownRuns(const LiveJob &Job, TimePoint Now) const;

  // Advice (SchedulerAdvice.cpp).
  static const AdvicePolicy *advicePolicy(const LiveJob &Job);
  void requestAdvice(LiveJob &Job, const PoolPass &Pass);

  // Servers with stalled tasks (SchedulerStragglers.cpp).
  void relocateStalledRuns(ServerState &S, TimePoint Now);
  bool canRelocate(const RunId &Id, const ServerState &From, TimePoint Now);

  void sendDuePolls(TimePoint Now);
  /// Polls \p Servers, which have not answered in this term, as far as the
  /// limit of such polls allows.
  void sendFirstPolls(std::vector<ServerState *> Servers, TimePoint Now);
  std::size_t firstPollsAllowed(TimePoint Now) const;
  void sendPoll(ServerState &S, TimePoint Now);
  static std::chrono::milliseconds pollWait(const ServerState &S);
  Duration pollSpacing() const;
  void expireLeases(TimePoint Now);
  bool isRecorded(const UnrecordedEnd &End);
  /// Lets the recorded ends of \p S be acknowledged. Returns whether there were
  /// any.
  bool removeRecordedEnds(ServerState &S);
  /// Lets the next record of its job check the first unrecorded end of \p S.
  void awaitRecord(ServerState &S);
  /// Lets the next onProgressRecorded() check the ends that wait for \p Job.
  void checkEndWaiters(LiveJob &Job);

  SchedulerOptions m_Options;
  SchedulerOrders &m_Orders;
  std::shared_ptr<const ServingConfig> m_Config;
  /// Outlives the runs that are charged to its accounts.
  OrganisationLedger m_Organisations;
  /// Owners of the jobs that had ended before the term, by job ID.
  std::unordered_map<std::string, OrganisationName> m_OwnersOfEndedJobs;
  ShareMeter m_Shares;
  /// Since when each pool has had less capacity than demand.
  std::map<PoolName, TimePoint> m_ShortSince;
  /// When the reservations were last computed; unset if there are none.
  std::optional<TimePoint> m_ReservedAt;
  QueueRegistry m_QueueRegistry;
  JobRegistry m_Jobs;
  ServerRegistry m_Servers;
  AdviceCache m_Advice;
  std::vector<InstanceListing> m_Instances;
  bool m_InstancesKnown = false;
  /// Pools with an instance that was down when this term began.
  std::set<PoolName> m_PoolsWithEarlierCrashes;
  TimePoint m_LastAbruptSilence{};
  TimePoint m_TermBegunAt{};
  TimePoint m_UnknownRunsUntil{};
  std::map<PoolName, UnacknowledgedServers> m_UnacknowledgedPools;
  /// \see setServersWithoutEarlierRuns(), holdServers().
  std::set<ServerId> m_ServersWithoutEarlierRuns;
  std::set<ServerId> m_HeldServers;
  /// Servers, unreachable when forgotten, that the platform may still list.
  std::set<ServerId> m_ForgottenServers;
  /// Whether m_UnacknowledgedPools is out of date.
  bool m_UnacknowledgedPoolsChanged = true;
  /// \see UnacknowledgedServers::m_HoldsEnds, of any pool.
  bool m_ServersHoldEnds = false;
  bool m_Superseded = false;
  RowVersion m_StartsRecordedSince = ~RowVersion(0);
  bool m_RecordsStarts = false;
  std::map<PoolName, PlacementQueue> m_Queues;
  std::vector<LiveJob *> m_JobsWithPlannedStarts;
  /// Servers that onProgressRecorded() checks next.
  std::vector<EndWaiter> m_EndsToCheck;
  Authority m_Authority;
  Duration m_Lag{0};
  SchedulerCounters m_Counters;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_SCHEDULER_H
