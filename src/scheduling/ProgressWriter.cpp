//===- ProgressWriter.cpp - Records the progress of jobs ------------------===//

#include "scheduling/ProgressWriter.h"
#include "base/Log.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Jobs in one transaction: each takes up to three entries of the store's 100.
constexpr std::size_t JobsPerTransaction = 33;
/// Changes that end no job wait this long for company: calls are priced, and an
/// unrecorded end only delays its acknowledgement.
constexpr Duration GroupFor = std::chrono::milliseconds(60);
/// How long parts are written apart after a failure: outages last seconds.
constexpr Duration ApartFor = std::chrono::seconds(2);
/// Pause after a part's transaction failed, growing with each up to the
/// longest.
constexpr Duration RetryPause = std::chrono::milliseconds(100);
constexpr std::uint32_t MaxPauses = 4;

} // namespace

std::unique_ptr<ProgressWriter> ProgressWriter::create(Scheduler &Core) {
  return std::unique_ptr<ProgressWriter>(new ProgressWriter(Core));
}

bool ProgressWriter::isUrgent() const {
  const auto &Dirty = m_Core.jobs().dirty();
  return std::any_of(Dirty.begin(), Dirty.end(), [this](const JobId &Id) {
    LiveJob *Job = m_Core.jobs().find(Id);
    return Job && isFinal(Job->m_State);
  });
}

std::vector<JobId> ProgressWriter::take(TimePoint Now) {
  auto &Dirty = m_Core.jobs().dirty();
  std::vector<JobId> Taken, Left;
  std::string Only;
  for (JobId &Id : Dirty) {
    if (!m_Core.jobs().find(Id))
      continue;
    std::string Part = jobStateAddress(Id).m_Part;
    auto It = m_Parts.find(Part);
    bool Waits = It != m_Parts.end() && Now < It->second.m_Until;
    if (!Waits && Now < m_ApartUntil) {
      if (Only.empty())
        Only = Part;
      Waits = Part != Only;
    }
    if (Waits || Taken.size() >= JobsPerTransaction)
      Left.push_back(std::move(Id));
    else
      Taken.push_back(std::move(Id));
  }
  Dirty = std::move(Left);
  return Taken;
}

std::optional<RowTransaction>
ProgressWriter::next(TimePoint Now, std::chrono::milliseconds Wall) {
  if (m_UnderWay || m_Core.jobs().dirty().empty() ||
      (Now < m_LastWrite + GroupFor && !isUrgent()))
    return std::nullopt;
  RowTransaction Txn;
  m_Batch.clear();
  for (const JobId &Id : take(Now)) {
    LiveJob &Job = *m_Core.jobs().find(Id);
    Job.m_Dirty = false;
    RowAddress State = jobStateAddress(Id);
    Txn.m_Conditions.push_back({State, Job.m_StateVersion});
    Txn.m_Puts.push_back(
        {State, encodeProgress(m_Core.jobs().progressOf(Job, Wall))});
    if (isFinal(Job.m_State))
      Txn.m_Removes.push_back(liveJobAddress(Id));
    m_Batch.push_back({Id, Job.m_State, Job.m_Change});
  }
  if (m_Batch.empty())
    return std::nullopt;
  m_LastWrite = Now;
  m_UnderWay = true;
  return Txn;
}

void ProgressWriter::onResult(const Result<CommitOutcome> &Outcome,
                              TimePoint Now) {
  m_UnderWay = false;
  if (!Outcome)
    return onFailed(Outcome.error(), Now);
  for (const Pending &P : m_Batch)
    m_Parts.erase(jobStateAddress(P.m_Job).m_Part);
  if (Outcome.value().m_Committed)
    return onCommitted(Outcome.value().m_Version, Now);
  for (const Pending &P : m_Batch)
    if (LiveJob *Job = m_Core.jobs().find(P.m_Job))
      m_Core.jobs().touch(*Job);
  onConflicts(Outcome.value().m_Conflicts);
}

void ProgressWriter::onFailed(const Error &Why, TimePoint Now) {
  logEvent(Event::RecordFailed, {{"jobs", std::to_string(m_Batch.size())},
                                 {"error", Why.describe()}});
  std::set<std::string> Parts;
  for (const Pending &P : m_Batch) {
    Parts.insert(jobStateAddress(P.m_Job).m_Part);
    if (LiveJob *Job = m_Core.jobs().find(P.m_Job))
      m_Core.jobs().touch(*Job);
  }
  m_ApartUntil = Now + ApartFor;
  // Which of several parts failed is not known.
  if (Parts.size() > 1)
    return;
  Backoff &B = m_Parts[*Parts.begin()];
  B.m_Until = Now + RetryPause * std::min(++B.m_Failures, MaxPauses);
}

void ProgressWriter::onCommitted(RowVersion Version, TimePoint Now) {
  for (const Pending &P : m_Batch) {
    LiveJob *Job = m_Core.jobs().find(P.m_Job);
    if (!Job)
      continue;
    Job->m_StateVersion = Version;
    Job->m_RecordedChange = P.m_Change;
    if (!isFinal(P.m_State))
      continue;
    logEvent(
        Event::JobOver,
        {{"job", P.m_Job.m_Text},
         {"state", P.m_State == JobState::Completed ? "completed" : "failed"},
         {"took_ms", std::to_string((Now - Job->m_AcceptedAt) /
                                    std::chrono::milliseconds(1))}});
    m_Core.onJobOver(P.m_Job);
  }
  m_Core.onRecorded(Now);
}

void ProgressWriter::onConflicts(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    JobId Id(Row.m_At.m_Key);
    LiveJob *Job = m_Core.jobs().find(Id);
    if (!Job || Row.m_Version == Job->m_StateVersion)
      continue;
    auto Stored = decodeProgress(Row.m_Value);
    // Cancelled by a caller, or ended by an earlier write of ours whose answer
    // was lost.
    if (Row.m_Version == 0 || !Stored || isFinal(Stored.value().m_State)) {
      m_Core.onJobOver(Id);
      continue;
    }
    // An earlier leader's last record, or ours whose answer was lost: ends in
    // it may be forgotten by their servers.
    Job->m_StateVersion = Row.m_Version;
    m_Core.onRecordedElsewhere(*Job, Stored.value());
  }
}

} // namespace pollenspool
