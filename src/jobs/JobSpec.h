//===- JobSpec.h - Specification of a job -----------------------*- C++ -*-===//

#ifndef POLLENSPOOL_JOBS_JOBSPEC_H
#define POLLENSPOOL_JOBS_JOBSPEC_H

#include "base/Ids.h"
#include "base/ShortText.h"
#include "jobs/QueueRules.h"
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace pollenspool {

/// The ID that the caller chose for a job. Usually has 16 characters, and is
/// part of the ID of each task and run.
using JobId = Name<struct JobTag, ShortText>;
/// The name of a queue that accepts jobs.
using QueueName = Name<struct QueueTag>;
/// The name of an organisation whose callers submit jobs.
using OrganisationName = Name<struct OrganisationTag>;

/// Resources that a task requires or that a backend server has.
struct Resources {
  std::int64_t m_MilliCores = 0;
  std::int64_t m_MemoryMb = 0;
  std::int64_t m_Gpus = 0;

  /// Whether no resource exceeds its amount in \p Free.
  bool fitsIn(const Resources &Free) const {
    return m_MilliCores <= Free.m_MilliCores && m_MemoryMb <= Free.m_MemoryMb &&
           m_Gpus <= Free.m_Gpus;
  }
  /// The smaller amount of each resource.
  Resources least(const Resources &B) const {
    return {std::min(m_MilliCores, B.m_MilliCores),
            std::min(m_MemoryMb, B.m_MemoryMb), std::min(m_Gpus, B.m_Gpus)};
  }
  /// The larger amount of each resource.
  Resources most(const Resources &B) const {
    return {std::max(m_MilliCores, B.m_MilliCores),
            std::max(m_MemoryMb, B.m_MemoryMb), std::max(m_Gpus, B.m_Gpus)};
  }
  Resources &operator+=(const Resources &B) {
    m_MilliCores += B.m_MilliCores;
    m_MemoryMb += B.m_MemoryMb;
    m_Gpus += B.m_Gpus;
    return *this;
  }
  Resources &operator-=(const Resources &B) {
    m_MilliCores -= B.m_MilliCores;
    m_MemoryMb -= B.m_MemoryMb;
    m_Gpus -= B.m_Gpus;
    return *this;
  }
  friend Resources operator*(const Resources &A, std::int64_t Count) {
    return {A.m_MilliCores * Count, A.m_MemoryMb * Count, A.m_Gpus * Count};
  }
};

/// One step of a job: a number of identical tasks.
struct StepSpec {
  std::uint32_t m_Count = 1;
  /// Resources of one task.
  Resources m_RequiredResources;
  /// The caller's rough estimate of the duration of one task. It may be wrong
  /// by a large factor.
  std::chrono::milliseconds m_Estimate{0};
  /// Indices of the earlier steps that must be done before this one starts.
  std::vector<std::uint32_t> m_After;
  /// Tasks save checkpoints, from which a later run resumes.
  bool m_WritesCheckpoints = false;
  /// Gang scheduling: all tasks of the step run at the same time or none does.
  bool m_Gang = false;
  /// The tasks of the step should run on servers of one rack.
  bool m_SameRack = false;
  /// Label that a backend server must have; empty: any server will do.
  std::string m_RequiredLabel;
  /// The rack that holds the input data; empty: none.
  std::string m_DataRack;
  /// Maximum number of the step's tasks that run on one backend server at the
  /// same time; 0: unlimited.
  std::uint32_t m_MaxPerServer = 0;
  /// Several copies of a task may run; the first one to end counts.
  bool m_Speculative = false;
  /// A task of the step runs until the job is cancelled. It is restarted
  /// however a run of it ends.
  bool m_IsLongRunning = false;
  std::string m_Image;
  /// Upper bound on the tail latency of a long-running task; 0: none.
  std::chrono::milliseconds m_TailLatencyTarget{0};
  /// Best effort: tasks use only the cores that other tasks leave idle.
  bool m_IsBestEffort = false;
  /// Maximum number of tasks that operations of this system, such as moves and
  /// maintenance, may make unavailable at the same time; 0: unlimited.
  std::uint32_t m_MaxUnavailable = 0;

  /// Resources of a backend server that one task occupies.
  Resources allocation() const {
    return {m_IsBestEffort ? 0 : m_RequiredResources.m_MilliCores,
            m_RequiredResources.m_MemoryMb, m_RequiredResources.m_Gpus};
  }
};

/// A job as it was accepted, with the pool that its queue used at that time.
struct JobSpec {
  JobId m_Id;
  QueueName m_Queue;
  PoolName m_Pool;
  /// The rules of the queue at that time. Rows of earlier versions lack them.
  std::optional<QueueRules> m_Rules;
  /// The organisation whose key submitted the job; empty if none was required.
  OrganisationName m_Organisation;
  /// Text that is passed to each task.
  std::string m_Text;
  std::vector<StepSpec> m_Steps;
  /// Number of repetitions of a periodic job; 0: the job runs once, as soon as
  /// possible.
  std::uint32_t m_Occurrences = 0;
  /// Time at which the first occurrence is due, since the Unix epoch.
  std::chrono::milliseconds m_FirstDue{0};
  /// Time between the due times of two occurrences.
  std::chrono::milliseconds m_Interval{0};
  /// Time at which an entry instance accepted the job, since the Unix epoch.
  std::chrono::milliseconds m_AcceptedAt{0};

  /// The number of times that the job runs.
  std::uint32_t occurrences() const {
    return m_Occurrences == 0 ? 1 : m_Occurrences;
  }
};

/// One task of one occurrence of a job.
struct TaskId {
  JobId m_Job;
  std::uint32_t m_Occurrence = 0;
  std::uint32_t m_Step = 0;
  std::uint32_t m_Index = 0;

  friend bool operator==(const TaskId &A, const TaskId &B) {
    return A.numbers() == B.numbers() && A.m_Job == B.m_Job;
  }
  friend bool operator<(const TaskId &A, const TaskId &B) {
    const int Order = A.m_Job.compare(B.m_Job);
    return Order < 0 || (Order == 0 && A.numbers() < B.numbers());
  }
  std::tuple<std::uint32_t, std::uint32_t, std::uint32_t> numbers() const {
    return {m_Occurrence, m_Step, m_Index};
  }
};

/// The state of a job that callers see.
enum class JobState : std::uint8_t {
  Queued,
  Running,
  Completed,
  Failed,
  Cancelled,
};

inline bool isFinal(JobState S) { return S >= JobState::Completed; }

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_JOBSPEC_H
