//===- JobSpec.h - What a caller asks to have run ---------------*- C++ -*-===//

#ifndef POLLENSPOOL_JOBS_JOBSPEC_H
#define POLLENSPOOL_JOBS_JOBSPEC_H

#include "base/Ids.h"
#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace pollenspool {

/// The caller's ID of a job.
using JobId = Name<struct JobTag>;
/// A queue that jobs are handed to.
using QueueName = Name<struct QueueTag>;

/// What a task needs, or a backend server has.
struct Resources {
  std::int64_t m_MilliCores = 0;
  std::int64_t m_MemoryMb = 0;
  std::int64_t m_Gpus = 0;

  bool fitsIn(const Resources &Room) const {
    return m_MilliCores <= Room.m_MilliCores && m_MemoryMb <= Room.m_MemoryMb &&
           m_Gpus <= Room.m_Gpus;
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
};

/// One step of a job: a number of equal tasks.
struct StepSpec {
  std::uint32_t m_Count = 1;
  Resources m_Need;
  /// The caller's rough estimate of one task's duration; may be far off.
  std::chrono::milliseconds m_Estimate{0};
  /// Earlier steps that must be done first.
  std::vector<std::uint32_t> m_After;
  bool m_SavesProgress = false;
  /// All tasks run at the same time or not at all.
  bool m_Gang = false;
  bool m_SameRack = false;
  std::string m_RequiredLabel;
  /// The rack that holds the data; empty: none.
  std::string m_DataRack;
  /// Tasks of the step on one backend server at once; 0: any number.
  std::uint32_t m_MaxPerServer = 0;
  /// Several copies of a task may run; the first end counts.
  bool m_Speculative = false;
  /// Runs until the job is cancelled and is restarted however it ends.
  bool m_Lasting = false;
  std::string m_Image;
  /// Bound on the tail of a lasting task's response times; 0: none.
  std::chrono::milliseconds m_TailTarget{0};
  /// Takes only the cores that others leave over.
  bool m_Fills = false;
  /// Tasks that our own actions may keep away at once; 0: not bounded.
  std::uint32_t m_MaxUnavailable = 0;
};

/// A job as it was accepted, with its queue's policy at that time.
struct JobSpec {
  JobId m_Id;
  QueueName m_Queue;
  PoolName m_Pool;
  /// Text handed to each task.
  std::string m_Text;
  std::vector<StepSpec> m_Steps;
  /// 0: runs once, without a time of its own.
  std::uint32_t m_Occurrences = 0;
  /// Wall time since the Unix epoch.
  std::chrono::milliseconds m_FirstDue{0};
  std::chrono::milliseconds m_Interval{0};
  /// Wall time at which an entry instance accepted the job.
  std::chrono::milliseconds m_AcceptedAt{0};

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
    return A.tied() == B.tied();
  }
  friend bool operator<(const TaskId &A, const TaskId &B) {
    return A.tied() < B.tied();
  }
  std::tuple<const std::string &, std::uint32_t, std::uint32_t, std::uint32_t>
  tied() const {
    return {m_Job.m_Text, m_Occurrence, m_Step, m_Index};
  }
};

/// The state that callers are shown.
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
