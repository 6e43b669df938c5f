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
/// Pause after a transaction that failed, growing with each up to the longest.
constexpr Duration RetryPause = std::chrono::milliseconds(100);
constexpr std::uint32_t MaxPauses = 4;

} // namespace

std::unique_ptr<ProgressWriter> ProgressWriter::create(Scheduler &Core) {
  return std::unique_ptr<ProgressWriter>(new ProgressWriter(Core));
}

std::optional<RowTransaction>
ProgressWriter::next(TimePoint Now, std::chrono::milliseconds Wall) {
  auto &Dirty = m_Core.jobs().dirty();
  if (m_UnderWay || Dirty.empty() || Now < m_NotBefore)
    return std::nullopt;
  bool Urgent =
      std::any_of(Dirty.begin(), Dirty.end(), [this](const JobId &Id) {
        LiveJob *Job = m_Core.jobs().find(Id);
        return Job && isFinal(Job->m_State);
      });
  if (!Urgent && Now < m_LastWrite + GroupFor)
    return std::nullopt;
  if (m_RoundLeft == 0) {
    m_RoundChange = m_Core.lastChange();
    m_RoundLeft = Dirty.size();
  }
  RowTransaction Txn;
  m_Batch.clear();
  std::size_t Taken = std::min({Dirty.size(), m_RoundLeft, JobsPerTransaction});
  for (std::size_t I = 0; I < Taken; ++I) {
    LiveJob *Job = m_Core.jobs().find(Dirty[I]);
    if (!Job)
      continue;
    Job->m_Dirty = false;
    RowAddress State = jobStateAddress(Dirty[I]);
    Txn.m_Conditions.push_back({State, Job->m_StateVersion});
    Txn.m_Puts.push_back(
        {State, encodeProgress(m_Core.jobs().progressOf(*Job, Wall))});
    if (isFinal(Job->m_State))
      Txn.m_Removes.push_back(liveJobAddress(Dirty[I]));
    m_Batch.push_back({Dirty[I], Job->m_State});
  }
  Dirty.erase(Dirty.begin(), Dirty.begin() + static_cast<long>(Taken));
  m_RoundLeft -= Taken;
  m_LastWrite = Now;
  if (m_Batch.empty()) {
    if (m_RoundLeft == 0)
      m_Core.onRecorded(m_RoundChange, Now);
    return std::nullopt;
  }
  m_UnderWay = true;
  return Txn;
}

void ProgressWriter::onResult(const Result<CommitOutcome> &Outcome,
                              TimePoint Now) {
  m_UnderWay = false;
  if (Outcome)
    m_Failures = 0;
  if (Outcome && Outcome.value().m_Committed)
    return onCommitted(Outcome.value().m_Version, Now);
  if (!Outcome) {
    logEvent(Event::RecordFailed, {{"jobs", std::to_string(m_Batch.size())},
                                   {"error", Outcome.error().describe()}});
    m_NotBefore = Now + RetryPause * std::min(++m_Failures, MaxPauses);
  }
  // Everything of this round is written again, and its changes count as
  // recorded only then.
  for (const Pending &P : m_Batch)
    if (LiveJob *Job = m_Core.jobs().find(P.m_Job))
      m_Core.jobs().touch(*Job);
  m_RoundLeft = 0;
  if (Outcome)
    onConflicts(Outcome.value().m_Conflicts, Now);
}

void ProgressWriter::onCommitted(RowVersion Version, TimePoint Now) {
  for (const Pending &P : m_Batch) {
    LiveJob *Job = m_Core.jobs().find(P.m_Job);
    if (!Job)
      continue;
    Job->m_StateVersion = Version;
    if (!isFinal(P.m_State))
      continue;
    logEvent(
        Event::JobOver,
        {{"job", P.m_Job.m_Text},
         {"state", P.m_State == JobState::Completed ? "completed" : "failed"}});
    m_Core.onJobOver(P.m_Job, Now);
  }
  if (m_RoundLeft == 0)
    m_Core.onRecorded(m_RoundChange, Now);
}

void ProgressWriter::onConflicts(const std::vector<StoredRow> &Rows,
                                 TimePoint Now) {
  for (const StoredRow &Row : Rows) {
    JobId Id(Row.m_At.m_Key);
    LiveJob *Job = m_Core.jobs().find(Id);
    if (!Job || Row.m_Version == Job->m_StateVersion)
      continue;
    auto Stored = decodeProgress(Row.m_Value);
    // Cancelled by a caller, or ended by an earlier write of ours whose answer
    // was lost.
    if (Row.m_Version == 0 || !Stored || isFinal(Stored.value().m_State)) {
      m_Core.onJobOver(Id, Now);
      continue;
    }
    // An earlier leader's last record, or ours whose answer was lost: ends in
    // it may be forgotten by their servers.
    Job->m_StateVersion = Row.m_Version;
    m_Core.onRecordedElsewhere(*Job, Stored.value(), Now);
  }
}

} // namespace pollenspool
