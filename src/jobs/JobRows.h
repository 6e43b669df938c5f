//===- JobRows.h - How jobs lie in the store --------------------*- C++ -*-===//
//
// Two rows a job. "live" holds the job as accepted, never changes, and is
// removed when the job ends. "job" holds its state and progress, and stays for
// as long as callers may ask.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_JOBS_JOBROWS_H
#define POLLENSPOOL_JOBS_JOBROWS_H

#include "base/Error.h"
#include "jobs/JobSpec.h"
#include "store/MetadataStore.h"
#include <map>

namespace pollenspool {

inline constexpr char LiveJobsTable[] = "live";
inline constexpr char JobStatesTable[] = "job";

/// All parts in which jobs' rows lie, by a hash of their IDs. A slow store
/// still carries out a few transactions a second in each.
const std::vector<std::string> &jobParts();
/// Where the job's rows lie.
RowAddress liveJobAddress(const JobId &Id);
RowAddress jobStateAddress(const JobId &Id);

/// What must survive the loss of every instance about a job's tasks: the ends
/// that backend servers have been told to forget.
struct JobProgress {
  JobState m_State = JobState::Queued;
  /// Wall time of the last change since the Unix epoch.
  std::chrono::milliseconds m_ChangedAt{0};
  /// For an occurrence and step: which tasks are done, by index.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::vector<bool>> m_Done;
  /// Numbers of the runs that ended as failed, by occurrence, step and index.
  /// Numbers rather than a count: an end that is seen twice counts once.
  std::map<std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>,
           std::vector<std::uint32_t>>
      m_Failures;
};

/// Thread safe, as are all functions here. Errors: InvalidMessage.
std::string encodeJob(const JobSpec &Job);
Result<JobSpec> decodeJob(const std::string &Text);
std::string encodeProgress(const JobProgress &Progress);
Result<JobProgress> decodeProgress(const std::string &Text);

} // namespace pollenspool

#endif // POLLENSPOOL_JOBS_JOBROWS_H
