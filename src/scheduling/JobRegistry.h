//===- JobRegistry.h - Live jobs and the state of their tasks -------*- C++
//-*-===//

#ifndef POLLENSPOOL_SCHEDULING_JOBREGISTRY_H
#define POLLENSPOOL_SCHEDULING_JOBREGISTRY_H

#include "jobs/JobRows.h"
#include "scheduling/Messages.h"
#include "store/MetadataStore.h"
#include <map>
#include <memory>
#include <set>

namespace pollenspool {

/// Where a run of a task is.
struct RunPlace {
  ServerId m_Server;
  std::uint32_t m_Number = 0;
};

struct TaskState {
  bool m_Done = false;
  /// In the job's ready list.
  bool m_Ready = false;
  /// The highest number given to a run.
  std::uint32_t m_LastRun = 0;
  /// Numbers of the runs that failed.
  std::vector<std::uint32_t> m_FailedRuns;
  /// Progress from which the next run resumes; empty: none.
  std::string m_Saved;
  /// New starts because it stood still.
  std::uint32_t m_Moves = 0;
  /// Not to be started before.
  TimePoint m_NotBefore{};
  std::vector<RunPlace> m_Runs;
};

struct StepState {
  std::vector<TaskState> m_Tasks;
  std::uint32_t m_DoneCount = 0;
  bool m_Released = false;

  bool isDone() const { return m_DoneCount == m_Tasks.size(); }
};

struct Occurrence {
  std::uint32_t m_Number = 0;
  std::vector<StepState> m_Steps;
  std::uint32_t m_StepsDone = 0;
};

/// A ready task by its place.
struct ReadyTask {
  std::uint32_t m_Occurrence = 0;
  std::uint32_t m_Step = 0;
  std::uint32_t m_Index = 0;
};

struct LiveJob {
  JobSpec m_Spec;
  /// Version of the job's rows when it was accepted.
  RowVersion m_AcceptedVersion = 0;
  /// Version of its state row, for the next change.
  RowVersion m_StateVersion = 0;
  JobState m_State = JobState::Queued;
  std::map<std::uint32_t, Occurrence> m_Occurrences;
  std::uint32_t m_OccurrencesDone = 0;
  std::uint32_t m_NextOccurrence = 0;
  std::vector<ReadyTask> m_Ready;
  /// Restored from progress; occurrences that are not yet due again use it.
  JobProgress m_Restored;
  /// When it was accepted, on the local clock.
  TimePoint m_AcceptedAt{};
  /// When it has to be done for its caller to be on time, and when at the
  /// latest for it to be of use.
  TimePoint m_Objective{};
  TimePoint m_LastUse{};
  /// Failed runs of one task after which the job fails.
  std::uint32_t m_Attempts = 1;
  /// Of its queue; 0 comes first.
  std::uint32_t m_Priority = 0;
  /// Its state row is behind.
  bool m_Dirty = false;
  /// Counts the changes that have to be recorded, and those that are.
  std::uint64_t m_Change = 0;
  std::uint64_t m_RecordedChange = 0;

  StepId stepId(const ReadyTask &Task) const {
    return {m_Spec.m_Id, Task.m_Occurrence, Task.m_Step};
  }
  bool hasStarted() const { return m_State != JobState::Queued; }
  TaskState *task(const TaskId &Id);
  StepState *step(std::uint32_t Occurrence, std::uint32_t Step);
  /// Takes a task out of the ready list, if it is in it.
  void unready(const TaskId &Id);
};

/// All jobs that are not over. One thread.
class JobRegistry {
public:
  /// Takes a job in. \p Now and \p Wall are the same moment.
  LiveJob &add(JobSpec Spec, JobProgress Progress, RowVersion Accepted,
               RowVersion State, TimePoint Now, std::chrono::milliseconds Wall);
  /// Forgets a job; its runs are the caller's concern.
  void remove(const JobId &Id);
  LiveJob *find(const JobId &Id);
  std::map<JobId, std::unique_ptr<LiveJob>> &all() { return m_Jobs; }

  /// Releases occurrences that are due at \p Wall. Returns whether there is
  /// anything new to start.
  bool releaseDue(std::chrono::milliseconds Wall);

  /// Notes that a task of the job has a run. Returns whether it is the first.
  bool markStarted(LiveJob &Job);
  /// Marks the task done, releases what waited for it, and completes the job
  /// with its last task. Returns false if it was done already.
  bool markDone(LiveJob &Job, const TaskId &Id);
  /// Counts a failed run. Returns false if that run was counted already.
  bool markFailed(LiveJob &Job, const TaskId &Id, std::uint32_t Run);
  /// Puts a task back into the ready list unless it is done, ready or running.
  void requeue(LiveJob &Job, const TaskId &Id, TimePoint NotBefore);
  /// Marks the job's state row as behind.
  void touch(LiveJob &Job);
  /// What the job's state row has to say.
  JobProgress progressOf(const LiveJob &Job,
                         std::chrono::milliseconds Wall) const;

  /// Jobs that may have tasks to start; those that have none are left out once
  /// they are found.
  std::set<JobId> &ready() { return m_ReadyJobs; }
  /// Jobs whose state row is behind, in the order in which they changed.
  std::vector<JobId> &dirty() { return m_Dirty; }

private:
  void release(LiveJob &Job, Occurrence &O);
  void releaseOccurrence(LiveJob &Job);

  std::map<JobId, std::unique_ptr<LiveJob>> m_Jobs;
  std::set<JobId> m_WithDueTimes;
  std::set<JobId> m_ReadyJobs;
  std::vector<JobId> m_Dirty;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_JOBREGISTRY_H
