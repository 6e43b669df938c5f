//===- ServerRegistry.h - Backend servers and their runs --------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_SERVERREGISTRY_H
#define POLLENSPOOL_SCHEDULING_SERVERREGISTRY_H

#include "scheduling/DueServers.h"
#include "scheduling/Messages.h"
#include "scheduling/OrganisationLedger.h"
#include "scheduling/StartEvidence.h"
#include <boost/container/flat_map.hpp>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace pollenspool {

/// The phase of a run from the scheduler's point of view.
enum class RunPhase : std::uint8_t {
  /// The start order has not been answered yet.
  Starting,
  Running,
  /// The start order got no answer; it may be carried out, now or later.
  Unconfirmed,
  /// A stop was ordered.
  Stopping,
};

/// How long after it was given an order without an answer may be carried out.
/// The platform says that a call without a response "may also be executed
/// seconds later, after newer calls". Long-running tasks have to run again
/// within about as long.
constexpr Duration LateOrderTime = std::chrono::seconds(6);

/// A run that a server has, or may have now or later.
struct ActiveRun {
  RunPhase m_Phase = RunPhase::Starting;
  /// Resources of the server that the run occupies.
  Resources m_Allocation;
  /// The account that the run is charged to, and how much; null if there is
  /// none.
  OrganisationAccount *m_Account = nullptr;
  Resources m_Charge;
  /// \see OrganisationAccount::m_RunsOfUnknownSize.
  bool m_HasUnknownSize = false;
  bool m_IsLongRunning = false;
  bool m_IsBestEffort = false;
  /// When the start was ordered, or when this leader found the run.
  TimePoint m_OrderedAt{};
  /// When the server last listed the run; before m_OrderedAt if it has not.
  TimePoint m_SeenAt{};
  /// Whether the run has begun, as far as the server has told.
  StartEvidence m_StartEvidence = StartEvidence::Pending;
  /// Until then a run that has not begun may begin, or may have begun in an
  /// incarnation that has not answered and last there.
  TimePoint m_MayBeginUntil{};
  /// Why the run would be over if its start could not be carried out any more.
  /// Unset once the server answers again.
  std::optional<RunLoss> m_LostBy;
  /// Why the run is over if the next complete list lacks it; unset: because the
  /// list does.
  std::optional<RunLoss> m_LossIfUnlisted;
  /// Whether a crash of the server was counted for the task.
  bool m_IsCrashCounted = false;
  /// Whether the task is suspected of crashing its servers, and this run has
  /// not proved it sound yet.
  bool m_IsSuspect = false;
  /// When the server's answer to the last order arrived. A poll sent later
  /// shows for certain whether the server has the run.
  TimePoint m_ConfirmedAt = TimePoint::max();
  /// Whether the server has listed the run.
  bool m_IsListed = false;
  /// ServerState::m_PollsAnswered at the last poll that listed the run; 0 if
  /// none did.
  std::uint64_t m_LastListedIn = 0;
  /// Whether a stop order has not been answered yet.
  bool m_StopPending = false;
  /// Start of the observed progress, percentage at that time, latest
  /// percentage, and time of its last change.
  TimePoint m_ProgressSince = TimePoint::max();
  int m_BaselinePercent = 0;
  int m_Percent = 0;
  TimePoint m_PercentChangedAt{};
  /// The latest checkpoint; empty if there is none.
  std::string m_Checkpoint;
  /// \see RunReport::m_LoadMeasurement.
  double m_LoadMeasurement = 0;
  /// Target for the tail latency of a serving task, in milliseconds; 0 if there
  /// is none.
  double m_TailLatencyTarget = 0;
  /// The pace that a best-effort task was last given, in percent of full speed.
  std::uint32_t m_Pace = 100;
  /// When that pace was ordered.
  TimePoint m_PacedAt{};

  /// Whether the server is known to have begun the run.
  bool hasBegun() const { return m_StartEvidence == StartEvidence::Begun; }
  /// Whether the start may still be carried out, whatever has become of the
  /// server.
  bool mayStillBegin(TimePoint Now) const {
    return !hasBegun() && Now < m_MayBeginUntil;
  }
};

/// The runs of a server. Few enough to be kept in one piece of memory, in which
/// they are found and read faster than in nodes. Adding or removing a run
/// invalidates references to the others.
using RunsOnServer = boost::container::flat_map<RunId, ActiveRun>;

/// A run end that its server must not forget yet.
struct UnrecordedEnd {
  std::uint64_t m_Number = 0;
  /// The job, and the number of its change that records the end.
  JobId m_Job;
  std::uint64_t m_ChangeNumber = 0;
};

struct ServerState;

/// Orders servers by their free cores, and those with equally many by the order
/// in which they were added.
struct ByFreeCores {
  using is_transparent = void;
  bool operator()(const ServerState *A, const ServerState *B) const;
  bool operator()(const ServerState *A, std::int64_t MilliCores) const;
};

/// The servers of one pool.
using ServersByFreeCores = std::set<ServerState *, ByFreeCores>;

/// What holds for one incarnation of a backend server only. Replaced as a whole
/// when another incarnation answers.
struct ServerIncarnation {
  /// Whether the server has answered in this term, after which it rejects the
  /// orders of earlier terms.
  bool m_HasAcknowledgedTerm = false;
  /// When it did so first.
  TimePoint m_AcknowledgedAt{};
  /// Whether the server has named all its runs in one answer of this term: no
  /// end was held back. Runs of earlier terms that it did not name are over.
  bool m_HasListedAllRuns = false;
  /// \see PollReply::m_HasMoreEnds, of the latest answer.
  bool m_HasMoreEnds = false;
  /// When the latest start order that it has answered was issued. The runs that
  /// had begun before were still there.
  TimePoint m_AliveAt{};
  /// Whether a connection that was in use ended when the server became
  /// unreachable. Its runs were at work then, since it would have reported
  /// their ends.
  bool m_WasLostAbruptly = false;

  bool m_ClockKnown = false;
  /// The server's clock in its last answer, and when that answer arrived on
  /// the local clock.
  std::int64_t m_ClockMs = 0;
  TimePoint m_ClockAt{};

  /// Number of the last run end that has been processed.
  std::uint64_t m_LastSeenEnd = 0;
  /// Run ends that are not recorded yet, in ascending order.
  std::deque<UnrecordedEnd> m_UnrecordedEnds;
  /// All run ends up to this number are recorded in the store.
  std::uint64_t m_LastRecordedEnd = 0;
  /// The server has been told to forget the run ends up to this number.
  std::uint64_t m_LastAcknowledgedEnd = 0;

  /// Failed runs since the last successful one.
  std::uint32_t m_FailuresInRow = 0;
  /// No runs are started on the server before this time.
  TimePoint m_SuspendedUntil{};
  /// Runs of the server have stalled or failed. It gets one task at a time
  /// until a task has completed.
  bool m_OnProbation = false;

  /// The server may take orders of earlier terms, and may have runs that it has
  /// not named.
  void forgetAcknowledgement() {
    m_HasAcknowledgedTerm = false;
    m_HasListedAllRuns = false;
  }
};

/// A backend server under its ID, as known in this term. The members of its own
/// outlast a restart of the server.
struct ServerState : ServerIncarnation {
  /// Its m_Capacity is the smallest that the server has published lately.
  ServerRegistration m_Registration;
  /// The capacity that the server published last, and when it may be used if it
  /// is larger.
  Resources m_PublishedCapacity;
  TimePoint m_CapacityGrowsAt{};
  /// Number of times that another incarnation of the server has answered.
  std::uint64_t m_Incarnation = 0;
  bool m_Registered = true;
  TimePoint m_UnregisteredAt{};
  bool m_Reachable = true;
  /// When the server was last suspected to have ended. The answer to a poll
  /// that was sent before does not show that it is alive.
  TimePoint m_SuspectedAt{};
  /// Whether the latest instance list shows that the server does not run: its
  /// instance is not up, or has another server.
  bool m_IsListedAsGone = false;
  /// When a list first showed that.
  TimePoint m_GoneSince{};
  /// Failed polls since the last answer.
  std::uint32_t m_FailedPolls = 0;

  /// When this start of the server was first seen to be registered in its pool.
  TimePoint m_RegisteredAt{};
  /// Time by which all leases granted so far have expired.
  TimePoint m_LeasesEnd{};
  /// When the latest order that grants a lease was sent, or ended without an
  /// answer, whichever came last.
  TimePoint m_LastGrantAt{};

  bool m_PollPending = false;
  TimePoint m_PollSentAt{};
  TimePoint m_NextPoll{};
  /// Number of polls that the server has answered.
  std::uint64_t m_PollsAnswered = 0;

  /// Number of the latest EndWaiter for the first of m_UnrecordedEnds.
  std::uint64_t m_EndWaiterNumber = 0;

  /// Sum of the allocations of m_Runs.
  Resources m_Used;
  /// Resources kept free for tasks whose start is being recorded, and the
  /// number of these tasks.
  Resources m_Planned;
  std::uint32_t m_PlannedStarts = 0;
  RunsOnServer m_Runs;
  /// The runs that the server had when its lease expired, until it is known
  /// whether it has crashed.
  RunsOnServer m_LapsedRuns;

  /// The job of which suspected tasks run here or are about to. Tasks of other
  /// jobs are not started here meanwhile. Empty if there are none.
  JobId m_IsolatedFor;
  /// Number of planned starts of such tasks.
  std::uint32_t m_PlannedSuspects = 0;
  /// Until then only suspected tasks are started here, so that the server
  /// becomes free for them.
  TimePoint m_ClearingUntil{};

  /// The server is about to be moved or shut down for maintenance, so nothing
  /// new is started there. Owned by FleetPlanner.
  bool m_Reserved = false;
  /// The next leader may be told that the server has no runs, so nothing is
  /// started there.
  bool m_IsHeld = false;
  /// Whether the server has not answered several polls in a row.
  bool isUnreachableForLong() const;

  /// Position among the servers of its pool; set by ServerRegistry.
  ServersByFreeCores *m_Index = nullptr;
  std::int64_t m_IndexedMilliCores = 0;
  std::uint64_t m_IndexNumber = 0;
  /// Set by ServerRegistry; m_IsDue and m_CheckAt belong to it.
  DueServers *m_DueServers = nullptr;
  bool m_IsDue = false;
  TimePoint m_CheckAt = TimePoint::max();

  ServerAddress address() const {
    return {m_Registration.m_Id, m_Registration.m_Address};
  }
  Resources freeResources() const {
    Resources R = m_Registration.m_Capacity;
    R -= m_Used;
    R -= m_Planned;
    return R;
  }
  /// Why its runs are over, given that the server has ended.
  RunLoss lossAtEnd() const {
    bool IsPlanned = m_Registration.m_Draining || m_Reserved;
    return IsPlanned ? RunLoss::ServerEnded : RunLoss::ServerCrashed;
  }
  /// How it became unreachable.
  ContactLoss contactLoss() const {
    return m_WasLostAbruptly ? ContactLoss::ConnectionEnded
                             : ContactLoss::TimedOut;
  }
  /// Replaces what holds for one incarnation only, because another one has
  /// answered.
  void beginIncarnation() {
    static_cast<ServerIncarnation &>(*this) = {};
    ++m_Incarnation;
  }
  /// Whether no task runs on the server or is about to.
  bool isIdle() const { return m_Runs.empty() && m_PlannedStarts == 0; }
  /// Whether only suspected tasks may be started here.
  bool isHeldForSuspects(TimePoint Now) const {
    return !m_IsolatedFor.m_Text.empty() || Now < m_ClearingUntil;
  }
  /// Whether the server has runs that end by themselves.
  bool hasFiniteRuns() const;
  /// Whether all its runs are lost, or kept only since their starts may be
  /// carried out late.
  bool hasOnlyLateStarts() const;
  /// The lost runs whose starts have a result and cannot be carried out any
  /// more.
  std::vector<RunId> lostRuns(TimePoint Now) const;
  /// Whether a poll is to be sent at m_NextPoll.
  bool needsPoll() const;
  /// When the next pass has something to do for the server, unless it changes
  /// before: its capacity grows, its lease expires, it can be forgotten or it
  /// has to be polled.
  TimePoint nextCheck() const;
  /// Lower bound of the server's clock at \p Now, in milliseconds.
  std::int64_t minClockMs(TimePoint Now) const;
};

/// Whether \p Labels contain \p Required; true if \p Required is empty.
bool hasLabel(const std::vector<std::string> &Labels,
              const std::string &Required);

/// How long a server without a registration still counts as present.
/// Registrations that expire during an outage of the store are renewed within
/// two seconds of its recovery.
constexpr Duration RegistrationGrace = std::chrono::seconds(2);

/// Lowest rate of a backend server's clock relative to the local clock. The
/// platform guarantees that it is at most 2% slow.
constexpr double MinServerClockRate = 0.98;

/// The servers known in this term, by ID. Not thread safe.
class ServerRegistry {
public:
  /// Returns null if the server is unknown.
  ServerState *find(const ServerId &Id);
  const ServerState *find(const ServerId &Id) const;
  std::map<ServerId, ServerState> &all() { return m_Servers; }
  const std::map<ServerId, ServerState> &all() const { return m_Servers; }
  /// The servers of \p Pool, also those that cannot take tasks.
  const ServersByFreeCores &inPool(const PoolName &Pool) const;
  /// Adds a server or replaces its registration. Its other state is kept. Less
  /// capacity takes effect at once, more after \p SettlingTime.
  ServerState &upsert(const ServerRegistration &R, TimePoint Now,
                      Duration SettlingTime);
  /// Lets a larger capacity of \p S take effect if it is due.
  static void growCapacity(ServerState &S, TimePoint Now);
  void erase(const ServerId &Id);
  /// The registration of \p S was removed at \p At.
  void markUnregistered(ServerState &S, TimePoint At);
  /// Changes whenever a server is added or erased, or is registered with
  /// another instance, or not any more.
  std::uint64_t registrationChanges() const { return m_RegistrationChanges; }
  /// Lets the next pass look at \p S. To be called after each event that
  /// affects a server's runs, polls, leases or registration.
  static void markChanged(ServerState &S);
  DueServers &due() { return m_Due; }

  /// Records that \p S was granted a lease of \p Length at \p Now.
  static void recordLease(ServerState &S, TimePoint Now, Duration Length);
  /// \p S has restarted, or may have, and shortens the lease of an order that
  /// was computed by its earlier clock to \p MaxLease only. Its starts without
  /// an answer may last for as long.
  static void holdLateStarts(ServerState &S, Duration MaxLease);
  /// \p S answers, so that only its lists tell which of its runs are over.
  static void withdrawLosses(ServerState &S);
  /// No server with the ID of \p S can carry out an order any more.
  static void excludeLateStarts(ServerState &S);
  /// Adds a run and its allocation, and charges its organisation.
  static ActiveRun &addRun(ServerState &S, const RunId &Id, ActiveRun Run);
  /// Removes a run, its allocation and its charge. Has no effect if the run is
  /// unknown.
  static void removeRun(ServerState &S, const RunId &Id);
  /// Keeps \p Need free on \p S for a task whose start is being recorded.
  static void planStart(ServerState &S, const Resources &Need);
  /// Reverts planStart().
  static void cancelPlannedStart(ServerState &S, const Resources &Need);
  /// Keeps \p S free of tasks of other jobs for a planned start of a suspected
  /// task of \p Job.
  static void planIsolation(ServerState &S, const JobId &Job);
  /// Reverts planIsolation().
  static void cancelPlannedIsolation(ServerState &S);
  /// Ends the isolation of \p S if no suspected task needs it any more.
  static void updateIsolation(ServerState &S);

private:
  /// Updates the position of \p S after its free resources have changed.
  static void reindex(ServerState &S);

  /// In order, so that the effects of walks do not depend on hash codes.
  std::map<ServerId, ServerState> m_Servers;
  std::unordered_map<ServerId, ServerState *> m_ById;
  std::uint64_t m_RegistrationChanges = 0;
  std::map<PoolName, ServersByFreeCores> m_Pools;
  std::uint64_t m_ServersAdded = 0;
  DueServers m_Due;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_SERVERREGISTRY_H
