//===- SimServers.h - Simulated backend servers -----------------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_TESTING_SIMSERVERS_H
#define POLLENSPOOL_SCHEDULING_TESTING_SIMSERVERS_H

#include "scheduling/Scheduler.h"
#include <functional>
#include <queue>
#include <random>
#include <string>

namespace pollenspool {

/// A virtual clock with a queue of timed events. Not thread safe, as are all
/// classes here.
class VirtualClock {
public:
  TimePoint m_Now{std::chrono::hours(1)};

  /// Calls \p Callback when \p Delay has passed.
  void after(Duration Delay, std::function<void()> Callback) {
    m_Events.push({m_Now + Delay, m_NextNumber++, std::move(Callback)});
  }
  /// Runs all events that are due up to \p End, in the order of their time, and
  /// sets the clock to \p End. Returns whether later events are left.
  bool runUntil(TimePoint End);

private:
  struct Event {
    TimePoint m_DueAt;
    std::uint64_t m_Number;
    std::function<void()> m_Callback;
    bool operator<(const Event &B) const {
      return std::tie(m_DueAt, m_Number) > std::tie(B.m_DueAt, B.m_Number);
    }
  };
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextNumber = 0;
};

/// Faults of the servers and of the connections to them, as shares (0 to 1) of
/// all orders.
struct SimFaults {
  /// Orders that are carried out but whose reply is lost.
  double m_LostReplyShare = 0;
  /// Orders that get no reply and are carried out 2 to 6 s later.
  double m_DelayedOrderShare = 0;
  /// Started runs that fail.
  double m_FailedRunShare = 0;
};

/// Test oracle that checks the invariants of task execution, independently of
/// the scheduler under test. Throws std::runtime_error at the first violation.
class RunOracle {
public:
  void onJob(const JobSpec &Job);
  void onCancelled(const JobId &Id, TimePoint Now);
  /// From now on the jobs of the queue have \p Attempts and run in \p Pool. The
  /// values before hold for a while, since leaders learn of changes late. To be
  /// called before the first job.
  void onRules(std::uint32_t Attempts, const PoolName &Pool);
  /// From now on \p Cap limits what \p Name has running. A higher cap before
  /// holds for a while, since orders may be carried out late.
  void onCap(const OrganisationName &Name, const Resources &Cap);
  void onStart(const ServerRegistration &Server, const RunId &Run,
               TimePoint Now);
  void onEnd(const ServerId &Server, const RunId &Run, EndKind Kind);
  /// The run was lost when its server crashed.
  void onLostInCrash(const ServerId &Server, const RunId &Run);
  /// The run has crashed its server.
  void onCrashBy(const RunId &Run);
  /// The leader recorded that the job has failed.
  void onJobFailed(const JobId &Id);
  /// The leader acknowledged the end, so the server discards it.
  void onEndAcknowledged(const ServerId &Server, const RunId &Run,
                         EndKind Kind);
  explicit RunOracle(const VirtualClock &Time) : m_Clock(Time) {}

  /// Called when a member of a gang has ended or was lost.
  std::function<void(const RunId &, EndKind)> m_OnGangMemberGone;

private:
  struct Task {
    std::set<ServerId> m_RunningOn;
    bool m_Done = false;
    bool m_SuccessAcknowledged = false;
    std::set<std::uint32_t> m_AcknowledgedFailures;
    std::uint32_t m_FailedRuns = 0;
    /// When the latest failed run ended.
    TimePoint m_FailedAt{};
    /// Servers that crashed while the task ran there, and those of them that
    /// the task itself crashed.
    std::uint32_t m_CrashesBeside = 0;
    std::uint32_t m_CrashesCaused = 0;
    /// Starts since it caused the last crash that it may cause.
    std::uint32_t m_StartsBeyondLimit = 0;
    /// All events of the task, for the message of a violation.
    std::string m_History;
  };
  /// Identifies one run of a gang: the number of its run and its first member.
  using GangRun = std::pair<TaskId, std::uint32_t>;
  /// Fails if the start of \p Run exceeds the cap of its organisation.
  void checkCap(const RunId &Run, TimePoint Now);
  const StepSpec &stepOf(const RunId &Run) const;
  void release(Task &T, const ServerId &Server, const RunId &Run);
  static GangRun gangRunOf(const RunId &Member);
  void endGang(const RunId &Run, EndKind Kind);
  bool isStepDone(const JobSpec &Spec, std::uint32_t Occurrence,
                  std::uint32_t Step);
  [[noreturn]] void failInvariant(const char *Rule, const RunId &Run);
  void addToHistory(const RunId &Run, const ServerId &Server,
                    std::string_view What);

  /// Part of the rules of the queue.
  struct Rules {
    std::uint32_t m_Attempts;
    PoolName m_Pool;
  };
  /// The rules that may have been in force at any time since \p From.
  std::vector<Rules> rulesSince(TimePoint From) const;
  /// Fails if the queue had other pools than that of \p Server.
  void checkPool(const ServerRegistration &Server, const RunId &Run);
  /// What an organisation has running on all servers, and its caps by the time
  /// from which they hold.
  struct Organisation {
    std::int64_t m_RunningMilliCores = 0;
    std::map<TimePoint, std::int64_t> m_Caps;
  };
  std::map<OrganisationName, Organisation> m_Organisations;
  /// By the time from which they hold.
  std::map<TimePoint, Rules> m_Rules;
  std::map<JobId, JobSpec> m_Jobs;
  std::map<TaskId, Task> m_Tasks;
  std::map<JobId, TimePoint> m_Cancelled;
  std::set<GangRun> m_EndedGangs;
  const VirtualClock &m_Clock;
};

/// A simulated backend server. It runs tasks under a lease and rejects orders
/// of terms below the highest that it has seen.
class SimServer {
public:
  SimServer(VirtualClock &Time, std::mt19937_64 &Random, RunOracle &Oracle,
            ServerRegistration R);

  ServerRegistration m_Registration;
  bool m_IsUp = true;
  /// The condition in which the platform lists the instance while the server
  /// is not up.
  InstanceCondition m_ConditionIfNotUp = InstanceCondition::Down;
  /// The server has left for good, and whether another one has followed on its
  /// instance.
  bool m_HasLeft = false;
  bool m_IsReplaced = false;
  /// Numbers of the leaders whose orders do not reach the server.
  std::set<int> m_UnreachableFrom;
  /// Ends that one list holds at most.
  std::size_t m_MaxListedEnds = 500;

  /// Starts a run that takes \p Work at normal speed.
  OrderResult start(const StartOrder &Order, Duration Work, bool Fails);
  /// Stops the run within 0.4 s. No run of the task up to its number can start
  /// here any more.
  OrderResult stop(const StopOrder &Order);
  /// Calls \p Callback at once if there are ends to report or the order does
  /// not wait, else when a run ends or the wait time is up.
  void poll(const PollOrder &Order,
            std::function<void(OrderResult, PollReply)> Callback);
  /// Ends the runs here that belong to the gang of \p Member.
  void endGangMembers(const RunId &Member, EndKind Kind);
  /// From now on, all work takes \p Factor times as long as at normal speed.
  void setSlowness(double Factor);
  /// Restarts the server as a new incarnation without runs, ends or lease.
  void crash();
  /// The server's own clock, in milliseconds.
  std::int64_t clockMs() const;
  std::size_t runs() const { return m_Runs.size(); }
  bool hasRun(const RunId &Id) const { return m_Runs.count(Id) != 0; }

private:
  struct Run {
    /// Duration of the run at normal speed.
    Duration m_Work;
    /// Work completed up to m_UpdatedAt, as its duration at normal speed.
    Duration m_CompletedWork{0};
    TimePoint m_UpdatedAt;
    bool m_Fails = false;
    /// Identifies the latest event that ends the run; earlier ones are ignored.
    std::uint64_t m_Token = 0;
  };
  struct PendingPoll {
    PollOrder m_Order;
    std::function<void(OrderResult, PollReply)> m_Callback;
    std::uint64_t m_Token;
  };
  void endRun(const RunId &Id, EndKind Kind);
  void scheduleEnd(const RunId &Id);
  Duration workDone(const Run &R) const;
  void answerPendingPolls();
  PollReply makePollReply() const;
  void extendLease(std::int64_t UntilMs);
  void checkLease();

  VirtualClock &m_Clock;
  std::mt19937_64 &m_Random;
  RunOracle &m_Oracle;
  std::map<RunId, Run> m_Runs;
  /// The highest number of a run that was stopped or has ended here, by task.
  std::map<TaskId, std::uint32_t> m_HighestEndedRun;
  /// Ends that are not acknowledged.
  std::vector<EndReport> m_Ends;
  std::vector<PendingPoll> m_PendingPolls;
  Resources m_Used;
  Term m_HighestTerm = 0;
  std::int64_t m_LeaseUntilMs = 0;
  std::uint64_t m_NextEndNumber = 1;
  std::uint64_t m_NextToken = 1;
  double m_Slowness = 1;
  TimePoint m_StartedAt;
  std::map<TaskId, Resources> m_TaskResources;

public:
  /// Sets the resources of a task, which a start order does not contain.
  void setTaskResources(const TaskId &Task, const Resources &Required) {
    m_TaskResources[Task] = Required;
  }
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_TESTING_SIMSERVERS_H
