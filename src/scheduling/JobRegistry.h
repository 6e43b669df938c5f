//===- JobRegistry.h - Live jobs and the state of their tasks ---*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_JOBREGISTRY_H
#define POLLENSPOOL_SCHEDULING_JOBREGISTRY_H

#include "jobs/TaskPages.h"
#include "scheduling/Messages.h"
#include "scheduling/QueueRegistry.h"
#include "scheduling/SchedulerTypes.h"
#include "serving/ServingConfig.h"
#include "store/MetadataStore.h"
#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

namespace pollenspool {

/// The server and the number of a run of a task.
struct RunLocation {
  ServerId m_Server;
  std::uint32_t m_Number = 0;
};

/// What is known about the crashes of servers that ran one task.
struct CrashHistory {
  std::vector<CrashedRun> m_Runs;
  /// The latest start since then, until its outcome is known.
  std::optional<SuspectStart> m_Start;
  /// Whether an earlier leader recorded m_Start, so that this one has to find
  /// out whether the server has crashed.
  bool m_IsStartOfEarlierLeader = false;
  /// The job's change that records m_Start.
  std::uint64_t m_StartChange = 0;
  /// The job's change that records the latest of m_Runs.
  std::uint64_t m_RunsChange = 0;
  /// Since when the task waits for a server of its own; unset if it does not.
  std::optional<TimePoint> m_WaitsSince;

  /// Whether the task should run apart from the tasks of other jobs: it was
  /// lost soon after its start, or more than once.
  bool isSuspect() const;
  /// Whether the task has to be given up: two servers have crashed while it is
  /// known to have been at work, the latest of them without a run of another
  /// job; or four crashes have been counted, at most one of them under runs
  /// that are not known to have been ordered.
  bool mustGiveUp() const;
};

/// The state of one task of a live job.
struct TaskState {
  bool m_Done = false;
  /// Whether the task is in the job's ready list.
  bool m_Ready = false;
  /// The highest run number assigned so far.
  std::uint32_t m_LastRunNumber = 0;
  /// Numbers of the failed runs.
  std::vector<std::uint32_t> m_FailedRuns;
  /// Checkpoint from which the next run resumes; empty if there is none.
  std::string m_Checkpoint;
  /// Number of times that a stalled run of the task was stopped to restart it
  /// on another server.
  std::uint32_t m_Relocations = 0;
  /// The task is not started before this time.
  TimePoint m_NotBefore{};
  /// When the latest run was found to be over because its server had ended,
  /// rather than by the server's own list. A later leader may have recorded its
  /// end before that. The maximum if its lease had expired, since its end may
  /// be recorded later, too.
  TimePoint m_LostAt{};
  /// Runs that exist or may exist on a server.
  std::vector<RunLocation> m_Runs;
  /// Null unless a server has crashed under the task.
  std::unique_ptr<CrashHistory> m_Crashes;

  /// Whether the task is suspected of crashing its servers.
  bool isSuspect() const { return m_Crashes && m_Crashes->isSuspect(); }
  /// Forgets the run with this number on \p Server.
  void eraseRun(const ServerId &Server, std::uint32_t Number) {
    m_Runs.erase(std::remove_if(m_Runs.begin(), m_Runs.end(),
                                [&](const RunLocation &P) {
                                  return P.m_Server == Server &&
                                         P.m_Number == Number;
                                }),
                 m_Runs.end());
  }
  /// Whether a leader with the authority \p Granted may start the task at \p
  /// Now if it is ready.
  bool mayStart(TimePoint Now, const Authority &Granted) const {
    return Now >= m_NotBefore && Granted.isUncontestedSince(m_LostAt);
  }
};

/// The state of one step of an occurrence.
struct StepState {
  std::vector<TaskState> m_Tasks;
  std::uint32_t m_DoneCount = 0;
  /// Whether all steps that it depends on are done.
  bool m_Released = false;
  /// A start of the step waits for its record in the store.
  bool m_StartWanted = false;
  /// The store tells the next leader that runs of the step may exist.
  bool m_StartRecorded = false;
  /// An earlier leader recorded that it might start runs of the step.
  bool m_MayHaveEarlierRuns = false;
  /// The tasks whose earlier runs were not found have been counted.
  bool m_HasCountedEarlierRuns = false;

  bool isDone() const { return m_DoneCount == m_Tasks.size(); }
};

/// One execution of a job. A recurring job has several.
struct Occurrence {
  std::uint32_t m_Number = 0;
  std::vector<StepState> m_Steps;
  std::uint32_t m_StepsDone = 0;
};

/// The position of a ready task in its job.
struct ReadyTask {
  std::uint32_t m_Occurrence = 0;
  std::uint32_t m_Step = 0;
  std::uint32_t m_Index = 0;

  bool isInSameStepAs(const ReadyTask &Other) const {
    return m_Occurrence == Other.m_Occurrence && m_Step == Other.m_Step;
  }
};

/// The resources that the unfinished tasks of a job occupy.
struct JobDemand {
  Resources m_Ready;
  /// Of the steps that still wait for other steps.
  Resources m_Blocked;
  /// Servers that its long-running steps need to respect their limit of tasks
  /// per server.
  std::uint32_t m_ServersForSpread = 0;
};

struct OrganisationAccount;
struct ServerState;

/// A server whose first unrecorded end waits for a record of the job. Void if
/// \p m_Number is not the latest one of the server.
struct EndWaiter {
  ServerId m_Server;
  std::uint64_t m_Number = 0;
};

/// A ready task whose start is being recorded, and the server on which
/// resources are kept free for it.
struct PlannedStart {
  ReadyTask m_Task;
  ServerState *m_Server = nullptr;
  Resources m_Need;
  /// What the start is charged to the job's organisation.
  Resources m_Charge;
  TimePoint m_PlannedAt{};
  /// Whether the server is kept free of tasks of other jobs.
  bool m_IsIsolated = false;
};

class PlacementQueue;

/// The pages of a job as recorded, \see TaskPages.h.
struct RecordedPages {
  PageLayout m_Layout;
  /// \see JobProgress::m_PageGeneration.
  std::uint64_t m_Generation = 0;
  /// The pages that have a row, with its pageHash(); 0 if the row is unknown or
  /// may not exist.
  std::map<std::uint32_t, std::uint64_t> m_Hashes;
  /// Whether the state row refers to the pages. Until all of them are written
  /// it holds the tasks itself.
  bool m_IsInUse = false;
};

/// A job that has not ended.
struct LiveJob {
  JobSpec m_Spec;
  /// The partition of the job's rows.
  const std::string *m_Partition = nullptr;
  /// Version of the job's rows when the job was accepted.
  RowVersion m_AcceptedVersion = 0;
  /// Version of the job's state row, on which the next write depends.
  RowVersion m_StateVersion = 0;
  JobState m_State = JobState::Queued;
  /// Whether it has failed because a task crashed the servers that started it.
  bool m_HasCrashedServers = false;
  /// Whether a server is known to have begun a run of the job. A start order
  /// alone does not show that.
  bool m_HasBegun = false;
  std::map<std::uint32_t, Occurrence> m_Occurrences;
  std::uint32_t m_OccurrencesDone = 0;
  /// All occurrences up to this one, exclusively, are done.
  std::uint32_t m_FirstUnfinished = 0;
  std::uint32_t m_NextOccurrence = 0;
  /// Ready tasks without a planned start. When tasks are added,
  /// JobRegistry::markNewlyReady() must be called.
  std::vector<ReadyTask> m_Ready;
  std::vector<PlannedStart> m_PlannedStarts;
  /// When a start was first planned since the latest start, and how many plans
  /// have been given up since then before their record was written.
  std::optional<TimePoint> m_FirstPlannedAt;
  std::uint32_t m_PlansDropped = 0;
  /// When the job became known, its latest run ended, or its next occurrence
  /// was last found not to be due.
  TimePoint m_IdleSince{};
  /// The queue in which the job waits for placement; null if it does not.
  PlacementQueue *m_PlacementQueue = nullptr;
  /// Whether an earlier leader recorded starts of suspected tasks.
  bool m_HasEarlierSuspectStarts = false;
  /// Whether JobRegistry::takeNewlyReady() will return the job.
  bool m_IsNewlyReady = false;
  /// Progress read from the store; used for occurrences that are released
  /// later.
  JobProgress m_RestoredProgress;
  /// Acceptance time on the local clock.
  TimePoint m_AcceptedAt{};
  /// The job is on time if it completes by m_Objective, and its result is of no
  /// use after m_Deadline.
  TimePoint m_Objective{};
  TimePoint m_Deadline{};
  /// For each step, the estimated duration of the longest chain of steps that
  /// begins with it.
  std::vector<std::chrono::milliseconds> m_RemainingPaths;
  /// Number of failed runs of one task at which the job fails.
  std::uint32_t m_Attempts = 1;
  /// Whether its organisation had used up its share when the job was accepted.
  bool m_IsBeyondShare = false;
  /// The account of the job's organisation; null if it has none.
  OrganisationAccount *m_Account = nullptr;
  /// The job's queue, with the rules in force for it.
  const LiveQueue *m_Queue = nullptr;
  /// Priority of the job's queue; 0 is the highest.
  std::uint32_t m_Priority = 0;
  /// \see JobProgress::m_OtherPools. m_OtherPoolsChange is the number of the
  /// latest change of it.
  std::set<PoolName> m_OtherPools;
  std::uint64_t m_OtherPoolsChange = 0;
  /// Whether the job's state row is out of date.
  bool m_Dirty = false;
  /// Whether a start waits for the next write of the state row.
  bool m_WantsStart = false;
  /// Whether the state row shows the job as running.
  bool m_IsRecordedAsRunning = false;
  /// Number of the latest change that has to be recorded, and of the latest
  /// one that is recorded.
  std::uint64_t m_ChangeNumber = 0;
  std::uint64_t m_RecordedChangeNumber = 0;
  std::vector<EndWaiter> m_EndWaiters;
  /// Null while the state row holds the tasks.
  std::unique_ptr<RecordedPages> m_Pages;
  /// The state row as this leader recorded it, if the job has so many tasks
  /// that they may have to be kept in pages.
  std::string m_RecordedRow;
  /// The store has refused a transaction with the job's row, which is written
  /// in one of its own now: how often it has refused that one in a row, and
  /// when it is tried again.
  bool m_IsRecordedAlone = false;
  std::uint32_t m_RecordRefusals = 0;
  TimePoint m_RecordRetryAt{};
  /// \see JobProgress::m_IsUnrecordable.
  bool m_IsUnrecordable = false;

  StepId stepId(const ReadyTask &Task) const {
    return {m_Spec.m_Id, Task.m_Occurrence, Task.m_Step};
  }
  /// Whether callers or a start wait for the record of the job's state.
  bool needsUrgentRecord() const { return m_WantsStart || isFinal(m_State); }
  TaskState *task(const TaskId &Id);
  StepState *step(std::uint32_t Occurrence, std::uint32_t Step);
  bool hasPlannedStart(const TaskId &Id) const;
  /// Whether the store tells the next leader that runs may be in \p Pool.
  bool isPoolRecorded(const PoolName &Pool) const {
    return Pool == m_Spec.m_Pool ||
           (m_OtherPools.count(Pool) != 0 &&
            m_RecordedChangeNumber >= m_OtherPoolsChange);
  }
  /// Whether any task has a run.
  bool hasRuns() const;
  /// The pool in which new runs of the job start.
  const PoolName &pool() const {
    return m_Queue && m_Queue->m_AreRulesKnown ? m_Queue->m_Rules.m_Pool
                                               : m_Spec.m_Pool;
  }
  /// Whether \p Holds for any pool in which earlier leaders may have started
  /// runs: that of the queue when the job was accepted, those that the state
  /// row named, and that of the queue now, which a leader that records no pools
  /// may have used.
  template <typename F> bool anyPoolOfEarlierRuns(F Holds) const {
    const std::set<PoolName> &Others = m_RestoredProgress.m_OtherPools;
    return Holds(m_Spec.m_Pool) || Holds(pool()) ||
           std::any_of(Others.begin(), Others.end(), Holds);
  }
  /// Whether all tasks of the occurrences released so far are done.
  bool areReleasedTasksDone() const {
    return m_OccurrencesDone == m_Occurrences.size();
  }
  /// The ready task that is tried first, or the first one with a planned start;
  /// none if no task waits.
  std::optional<ReadyTask> firstWaitingTask() const;
  /// Removes a task from the ready list if it is there.
  void removeFromReady(const TaskId &Id);
  /// The current demand. Adds the number of ready tasks and steps that had to
  /// be read to \p Reads; none if the demand has not changed.
  const JobDemand &demand(std::uint64_t &Reads);

private:
  friend class JobRegistry;
  JobDemand computeDemand() const;

  /// Number of times that tasks have become ready or a step has been released
  /// or completed. While it does not change, tasks are only removed from
  /// m_Ready.
  std::uint64_t m_ReadyChanges = 1;
  /// The demand when m_ReadyChanges and the size of m_Ready had these values.
  JobDemand m_Demand;
  std::uint64_t m_DemandChanges = 0;
  std::size_t m_DemandReady = 0;
};

/// All jobs that have not ended. Not thread safe.
class JobRegistry {
public:
  /// Adds a job. \p Now and \p Wall are the same moment.
  LiveJob &add(JobSpec Spec, JobProgress Progress, RowVersion Accepted,
               RowVersion State, TimePoint Now, std::chrono::milliseconds Wall);
  /// Removes a job. The caller has to stop its runs.
  void remove(const JobId &Id);
  /// Returns null if the job is unknown.
  LiveJob *find(const JobId &Id);
  /// Returns null unless the job has occurrences that are not released yet.
  LiveJob *findUnreleased(const JobId &Id);
  std::unordered_map<JobId, std::unique_ptr<LiveJob>> &all() { return m_Jobs; }

  /// Releases the occurrences that are due at \p Wall. Returns whether any was
  /// released.
  bool releaseDue(std::chrono::milliseconds Wall);
  /// Releases the occurrences up to \p Number, or up to the last one. An
  /// earlier leader released them if a run of \p Number exists or is recorded,
  /// even if they are not due by the clock of this one.
  void releaseThrough(LiveJob &Job, std::uint32_t Number);
  /// Releases the occurrences that \p Recorded shows to be released.
  void releaseRecorded(LiveJob &Job, const JobProgress &Recorded);

  /// Marks the job as running, since one of its tasks has a run. Returns
  /// whether this is its first run.
  bool markStarted(LiveJob &Job);
  /// Asks for a record that runs of the job may be in \p Pool.
  void requestPool(LiveJob &Job, const PoolName &Pool);
  /// Asks for a record that runs of the step may exist.
  void requestStart(LiveJob &Job, std::uint32_t Occurrence, std::uint32_t Step);
  /// The steps in \p Steps are recorded as started.
  static void markStartsRecorded(
      LiveJob &Job,
      const std::set<std::pair<std::uint32_t, std::uint32_t>> &Steps);
  /// Marks the task as done, releases the steps that depended on it, and
  /// completes the job with its last task. Returns false if the task was done
  /// already.
  bool markDone(LiveJob &Job, const TaskId &Id);
  /// Counts a failed run. Returns false if that run was counted already, or if
  /// the task is done.
  bool markFailed(LiveJob &Job, const TaskId &Id, std::uint32_t Run);
  /// Counts a run that was lost in a crash of its server. The job fails if the
  /// task has to be given up. Returns false if that run was counted already, or
  /// if the task is done.
  bool markCrashed(LiveJob &Job, const TaskId &Id, const CrashedRun &Run);
  /// Asks for the record of the next start of a suspected task.
  void requestSuspectStart(LiveJob &Job, TaskState &T, SuspectStart Start);
  /// The outcome of the task's latest start is known, and was no crash.
  void endSuspectStart(LiveJob &Job, TaskState &T);
  /// Forgets the crashes under a task that has proved sound.
  void clearCrashes(LiveJob &Job, TaskState &T);
  /// Puts a task back into the ready list unless it is done, ready or running.
  void requeue(LiveJob &Job, const TaskId &Id, TimePoint NotBefore);
  /// Marks the job's state row as out of date.
  void markDirty(LiveJob &Job);
  /// Which started steps a state row shows.
  enum class StartedSteps : std::uint8_t {
    /// Those that it shows already.
    Recorded,
    /// Also those that wait for the record, and those that may start soon.
    Wanted,
  };
  /// Whether a state row shows that runs of the step may exist.
  static bool showsStart(const LiveJob &Job, const Occurrence &O,
                         std::uint32_t Step, StartedSteps Steps);
  /// The content of the job's state row at \p Wall without its tasks.
  static JobProgress stateOf(const LiveJob &Job,
                             std::chrono::milliseconds Wall);
  /// The content for the job's state row at \p Wall, if that holds the tasks.
  JobProgress progressOf(const LiveJob &Job, std::chrono::milliseconds Wall,
                         StartedSteps Steps = StartedSteps::Wanted) const;

  /// Adds \p Job to the jobs that takeNewlyReady() returns.
  void markNewlyReady(LiveJob &Job);
  /// Returns the jobs that have got ready tasks since the last call. A job may
  /// have lost them again.
  std::vector<LiveJob *> takeNewlyReady();
  /// Whether jobs whose state row is out of date may include one that has ended
  /// or waits for a start. Exact once findUrgent() has returned.
  bool findUrgent();
  /// Jobs whose state row is out of date, in the order of their changes.
  std::vector<LiveJob *> &dirty() { return m_Dirty; }
  /// Returns the jobs that have been removed since the last call and whose
  /// pages are still in the store.
  std::vector<JobId> takeRemovedWithPages() {
    return std::exchange(m_RemovedWithPages, {});
  }

private:
  void release(LiveJob &Job, Occurrence &O);
  static bool mayStartSoon(const LiveJob &Job, const Occurrence &O,
                           std::uint32_t Step);
  void releaseOccurrence(LiveJob &Job);

  std::unordered_map<JobId, std::unique_ptr<LiveJob>> m_Jobs;
  /// Jobs with occurrences that are not released yet.
  std::set<JobId> m_RecurringJobs;
  static void skipFinished(LiveJob &Job);

  std::vector<LiveJob *> m_NewlyReady;
  std::vector<LiveJob *> m_Dirty;
  std::vector<JobId> m_RemovedWithPages;
  bool m_MayHaveUrgent = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_JOBREGISTRY_H
