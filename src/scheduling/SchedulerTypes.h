//===- SchedulerTypes.h - Options and figures of a scheduler ----*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_SCHEDULERTYPES_H
#define POLLENSPOOL_SCHEDULING_SCHEDULERTYPES_H

#include "scheduling/Messages.h"
#include "store/MetadataStore.h"
#include <tuple>

namespace pollenspool {

/// Timing bounds of the platform, and the term of this scheduler.
struct SchedulerOptions {
  Term m_Term = 1;
  /// Version of the store when the term began. Jobs accepted later cannot have
  /// been started by an earlier leader.
  RowVersion m_TermVersion = 0;
  /// How long an earlier leader may have continued after this term began.
  Duration m_EarlierLeaderTimeout = std::chrono::seconds(8);
  /// Length of the leases that this leader grants.
  Duration m_Lease = std::chrono::seconds(5);
  /// The longest lease that a server accepts. It shortens longer ones to that.
  Duration m_MaxLease = std::chrono::seconds(10);
  /// How long a larger capacity of a server has to last before it is used. A
  /// capacity may shrink and grow in turns.
  Duration m_CapacitySettlingTime = std::chrono::milliseconds(4500);
};

/// How suitable a server is for a suspected task; lower is better: whether
/// other jobs have tasks there, whether it is not the server of the recorded
/// start, whether long-running or best-effort tasks run there, and how many
/// tasks do.
using IsolationScore = std::tuple<bool, bool, bool, std::size_t>;

/// What the leader may do at the moment, depending on how recently its term was
/// confirmed.
struct Authority {
  /// Whether the term is confirmed to be in effect. Only then may
  /// servers forget run ends.
  bool m_IsTermConfirmed = true;
  /// Jobs accepted up to this version of the store may be started. A later
  /// leader assumes that these jobs may have been started.
  RowVersion m_StartableVersion = ~RowVersion(0);
  /// The latest time up to which no other instance can have taken over. What
  /// this leader has learnt of a server's runs by then, no other leader can
  /// have learnt earlier.
  TimePoint m_UncontestedAt = TimePoint::max();

  /// Whether no other instance can have taken over before \p At.
  bool isUncontestedSince(TimePoint At) const {
    return m_IsTermConfirmed || At <= m_UncontestedAt;
  }
};

/// Totals of one scheduler since its term began.
struct SchedulerCounters {
  std::uint64_t m_Starts = 0;
  std::uint64_t m_Stops = 0;
  /// Polls sent.
  std::uint64_t m_Polls = 0;
  /// Starts that a server rejected for lack of free resources.
  std::uint64_t m_StartsWithoutCapacity = 0;
  /// Unreachable servers whose leases expired while they had runs.
  std::uint64_t m_LeasesExpired = 0;
  /// Start orders without an answer.
  std::uint64_t m_UnconfirmedStarts = 0;
  /// Runs of earlier leaders that this one has taken over.
  std::uint64_t m_Adopted = 0;
  std::uint64_t m_AdviceCalls = 0;
  /// Pace orders sent.
  std::uint64_t m_Paces = 0;
  /// Stalled runs that were stopped to restart their tasks on other servers.
  std::uint64_t m_RelocatedRuns = 0;
  /// Placement passes.
  std::uint64_t m_Passes = 0;
  /// Jobs whose tasks a placement pass tried to place.
  std::uint64_t m_JobsExamined = 0;
  /// Servers that were compared to place tasks.
  std::uint64_t m_ServersExamined = 0;
  /// Servers that were checked for polls and leases that are due.
  std::uint64_t m_ServersChecked = 0;
  /// Servers whose unrecorded ends were compared with the records of jobs.
  std::uint64_t m_EndsCompared = 0;
  /// Servers that have crashed.
  std::uint64_t m_ServerCrashes = 0;
  /// Runs lost in such crashes whose tasks became suspects.
  std::uint64_t m_SuspectedRuns = 0;
  /// Lists that left run ends out, and runs that they left undecided.
  std::uint64_t m_IncompleteLists = 0;
  std::uint64_t m_UnresolvedRuns = 0;
  /// Starts of suspected tasks.
  std::uint64_t m_SuspectStarts = 0;
  /// Those of them beside tasks of other jobs, since no server became free.
  std::uint64_t m_SharedSuspectStarts = 0;
  /// Tasks given up because their servers crashed.
  std::uint64_t m_CrashingTasksGivenUp = 0;
  /// Ready tasks and steps that were read to compute the demand.
  std::uint64_t m_DemandReads = 0;
  /// Servers that were compared to find out whether any may run a task.
  std::uint64_t m_ServersSearched = 0;
};

/// The servers of a pool that have not named all their runs in this term.
struct UnacknowledgedServers {
  std::size_t m_Count = 0;
  ServerId m_First;
  /// Whether one of them has answered and holds ends back. These count for as
  /// long as this leader extends its leases.
  bool m_HoldsEnds = false;
};

/// Demand on a pool, for sizing the pool and for admission control.
/// Best-effort tasks occupy no cores.
struct PoolDemand {
  Resources m_Running;
  Resources m_Ready;
  /// Demand of the steps that still wait for other steps.
  Resources m_Blocked;
  /// Servers that long-running steps need to respect their limit of tasks per
  /// server.
  std::uint32_t m_ServersForSpread = 0;
  /// Capacity of the registered servers that are not draining.
  Resources m_Capacity;
};

/// A ready task that no server of its pool may run, even once all tasks there
/// have ended that do not last.
struct UnschedulableTask {
  PoolName m_Pool;
  /// The required label; empty if any server will do.
  std::string m_Label;
  Resources m_RequiredResources;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_SCHEDULERTYPES_H
