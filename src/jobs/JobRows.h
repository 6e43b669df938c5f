//===- JobRows.h - Storage format of jobs -----------------------*- C++ -*-===//
//
// A job has one row in each of two tables. The row in "live" holds the job as
// it was accepted; it never changes and is removed when the job ends. The row
// in "job" holds the state and progress of the job; it is kept for as long as
// callers may query the job.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_JOBS_JOBROWS_H
#define POLLENSPOOL_JOBS_JOBROWS_H

#include "base/Error.h"
#include "jobs/JobSpec.h"
#include "store/MetadataStore.h"
#include <map>
#include <set>

namespace pollenspool {

inline constexpr char LiveJobsTable[] = "live";
inline constexpr char JobStatesTable[] = "job";

/// All partitions that hold rows of jobs. A hash of the job ID selects the
/// partition. A slow store still applies a few transactions per second in each
/// partition. Thread safe.
const std::vector<std::string> &jobPartitions();
/// The partition that holds the rows of the job \p Id. Thread safe.
const std::string &jobPartition(const JobId &Id);
/// The addresses of the job's rows. Thread safe.
RowAddress liveJobAddress(const JobId &Id);
RowAddress jobStateAddress(const JobId &Id);

/// A run that was lost when its server crashed.
struct CrashedRun {
  std::uint32_t m_Number = 0;
  /// Whether the run is known to have begun and not to have ended by then.
  bool m_WasAtWork = false;
  /// Whether the run was lost soon after its start.
  bool m_WasRecent = false;
  /// Whether the server had no run of another job.
  bool m_WasAlone = false;
  /// Whether a leader is known to have ordered the run, rather than to have
  /// recorded that it might.
  bool m_WasOrdered = true;
};

/// A start of a task that is suspected of crashing its servers. Written before
/// the start is ordered, so that the next leader can tell whether the server
/// has crashed.
struct SuspectStart {
  std::uint32_t m_Number = 0;
  /// ID and start time of the server. \see ServerRegistration.
  std::string m_Server;
  std::int64_t m_ServerStartTimeMs = 0;
};

/// Occurrence, step and index of a task within its job.
using TaskKey = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;

/// The state of a job that must survive the loss of all instances. It holds the
/// results of ended runs that were acknowledged to the backend servers, because
/// no server reports those runs any more.
struct JobProgress {
  JobState m_State = JobState::Queued;
  /// Wall time of the last change since the Unix epoch.
  std::chrono::milliseconds m_ChangedAt{0};
  /// Whether a failed job was given up because one of its tasks crashed the
  /// servers that started it.
  bool m_HasCrashedServers = false;
  /// Whether a failed job was given up because the store refused its progress.
  bool m_IsUnrecordable = false;
  /// Whether pages of tasks may be left of a job that has ended.
  bool m_HasPages = false;
  /// \see JobSpec::m_Organisation.
  OrganisationName m_Organisation;
  /// Not empty in a cancellation mark, \see CancellationMarks: the callers that
  /// cancelled the ID while no job had it. Callers without an organisation have
  /// the empty name.
  std::set<OrganisationName> m_CancelledBy;
  /// Tasks of a page if the tasks are kept in pages, \see TaskPages.h; else 0.
  std::uint32_t m_PageSize = 0;
  /// Identifies the pages among those that earlier leaders began to write.
  std::uint64_t m_PageGeneration = 0;
  /// For each page, whether all its tasks are done. May have fewer or more
  /// elements than there are pages.
  std::vector<bool> m_DonePages;
  /// The pages that were read, with their pageHash(). Not part of the row.
  std::map<std::uint32_t, std::uint64_t> m_PageHashes;
  /// By occurrence and step: whether each task is done, by task index. If the
  /// tasks are kept in pages, this and what follows up to m_StartedSteps is not
  /// part of the row.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<bool>> m_Done;
  /// Numbers of the failed runs, by occurrence, step and task index. They are
  /// stored instead of a count so that a failure reported twice counts once.
  std::map<TaskKey, std::vector<std::uint32_t>> m_Failures;
  /// Runs of unfinished tasks that were lost in crashes of their servers.
  std::map<TaskKey, std::vector<CrashedRun>> m_Crashes;
  std::map<TaskKey, SuspectStart> m_SuspectStarts;
  /// Occurrences and steps of which a leader may have started runs. Written
  /// before the first start, so that the next leader need not look for runs of
  /// other steps. \see StartRecords.
  std::set<std::pair<std::uint32_t, std::uint32_t>> m_StartedSteps;
  /// Pools beside JobSpec::m_Pool in which a leader may have started runs,
  /// since the queue's pool has changed. Written before the first start there.
  std::set<PoolName> m_OtherPools;

  /// Whether the tasks of a job that has not ended are kept in pages.
  bool isPaged() const { return m_PageSize != 0; }
  bool isPageDone(std::uint32_t Page) const {
    return Page < m_DonePages.size() && m_DonePages[Page];
  }
};

/// The value of the row of a cancellation mark in LiveJobsTable, which tells
/// the leader of the mark. Its state row holds the rest.
inline constexpr char CancellationMarkValue[] = R"({"mark":"cancelled"})";

/// Conversion to and from the values of the rows. Thread safe. Decoding errors:
/// InvalidMessage.
std::string encodeJob(const JobSpec &Job);
Result<JobSpec> decodeJob(const std::string &Text);
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Text);

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_JOBROWS_H
