//===- ProgressWriter.cpp - Records the progress of jobs ------------------===//

#include "scheduling/ProgressWriter.h"
#include "base/Log.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Each job takes up to three entries of a transaction, and the condition on
/// the term one.
constexpr std::size_t EntriesPerJob = 3;
/// Changes that end no job are delayed by this time, so that several share a
/// transaction. Each call to the store has a price, and a late record only
/// delays the acknowledgement of a run end.
constexpr Duration GroupCommitDelay = std::chrono::milliseconds(60);
/// How long partitions are written in separate transactions after a failure;
/// outages last for seconds.
constexpr Duration SplitTime = std::chrono::seconds(2);
/// Delay after a partition's transaction has failed. It grows linearly with the
/// number of failures, up to MaxBackoffFactor times this value.
constexpr Duration RetryDelay = std::chrono::milliseconds(100);
constexpr std::uint32_t MaxBackoffFactor = 4;
/// Pending transactions while each contains a single partition. Each uses a
/// connection.
constexpr std::size_t MaxSplitCommits = 24;
/// Latency of a pending transaction from which on the store counts as slow.
constexpr Duration SlowCommitLatency = std::chrono::milliseconds(150);
/// Timeout of a transaction, and its limit while the store is slow.
constexpr Duration CommitTimeout = std::chrono::milliseconds(800);
constexpr Duration MaxCommitTimeout = std::chrono::milliseconds(2500);
/// Delay before a transaction of one job is sent again that the store has
/// refused. It grows linearly with the number of refusals.
constexpr Duration RefusedRetryDelay = std::chrono::milliseconds(250);
/// Refusals in a row of such a transaction after which the job fails.
constexpr std::uint32_t RefusalsToGiveUp = 8;

} // namespace

std::unique_ptr<ProgressWriter>
ProgressWriter::create(Scheduler &Core, RowCondition TermCondition,
                       const StoreLimits &Limits, std::uint32_t PageSize) {
  return std::unique_ptr<ProgressWriter>(
      new ProgressWriter(Core, std::move(TermCondition), Limits, PageSize));
}

Duration ProgressWriter::pendingFor(TimePoint Now) const {
  Duration Longest{0};
  for (const auto &[Number, C] : m_Commits)
    Longest = std::max(Longest, Now - C.m_SentAt);
  return Longest;
}

Duration ProgressWriter::latency(TimePoint Now) const {
  return std::max(m_Commits.empty() ? m_LastLatency : pendingFor(Now),
                  m_Latency.expected(Now));
}

bool ProgressWriter::isStoreSlow(TimePoint Now) const {
  return m_Latency.isSlow(Now) || pendingFor(Now) >= SlowCommitLatency;
}

std::string ProgressWriter::describeWait(const LiveJob &Job,
                                         TimePoint Now) const {
  std::string Text = "partition " + *Job.m_Partition + " ";
  if (Job.m_RecordRefusals > 0)
    Text = "the store has refused its record " +
           std::to_string(Job.m_RecordRefusals) + " times; " + Text;
  auto It = m_Backoffs.find(Job.m_Partition);
  if (m_PendingPartitions.count(Job.m_Partition) != 0)
    Text += "has a pending write";
  else if (It != m_Backoffs.end())
    Text += "has failed " + std::to_string(It->second.m_Failures) +
            " writes in a row";
  else
    Text += Now < m_RetryAt ? "waits after a failed write" : "is idle";
  return Text +
         (isStoreSlow(Now) ? "; the store is slow" : "; the store is not slow");
}

bool ProgressWriter::onlyWantsStart(const LiveJob &Job) {
  return Job.m_WantsStart && !isFinal(Job.m_State) &&
         (Job.m_IsRecordedAsRunning || Job.m_State == JobState::Queued) &&
         Job.m_RecordedChangeNumber == Job.m_ChangeNumber;
}

bool ProgressWriter::mustWait(Partition P, TimePoint Now) const {
  auto It = m_Backoffs.find(P);
  return m_PendingPartitions.count(P) != 0 ||
         (It != m_Backoffs.end() && Now < It->second.m_RetryAt);
}

std::vector<LiveJob *> ProgressWriter::takeBatch(TimePoint Now) {
  auto &Dirty = m_Core.jobs().dirty();
  std::stable_partition(Dirty.begin(), Dirty.end(), [](const LiveJob *Job) {
    return Job->needsUrgentRecord();
  });
  const bool IsSlow = isStoreSlow(Now);
  const bool IsSplit = Now < m_SplitUntil || IsSlow;
  std::vector<LiveJob *> Taken, Remaining;
  Partition OnlyPartition = nullptr;
  auto It = Dirty.begin();
  const std::size_t MaxJobs =
      (m_Limits.m_TransactionEntries - 1) / EntriesPerJob;
  bool IsAlone = false;
  for (; It != Dirty.end() && Taken.size() < MaxJobs && !IsAlone; ++It) {
    const LiveJob &Job = **It;
    bool Waits = mustWait(Job.m_Partition, Now) || Now < Job.m_RecordRetryAt ||
                 (IsSlow && onlyWantsStart(Job)) ||
                 (isWrittenAlone(Job) && !Taken.empty());
    if (!Waits && IsSplit) {
      if (!OnlyPartition)
        OnlyPartition = Job.m_Partition;
      Waits = Job.m_Partition != OnlyPartition;
    }
    IsAlone = !Waits && isWrittenAlone(Job);
    (Waits ? Remaining : Taken).push_back(*It);
  }
  Remaining.insert(Remaining.end(), It, Dirty.end());
  Dirty = std::move(Remaining);
  return Taken;
}

std::size_t ProgressWriter::maxRowWithTasks() const {
  return m_Limits.m_RowBytes - m_Limits.m_RowBytes / 16;
}

bool ProgressWriter::mayNeedPages(const JobSpec &Job) const {
  std::uint64_t Tasks = 0;
  for (const StepSpec &Step : Job.m_Steps)
    Tasks += Step.m_Count;
  return Job.occurrences() * Tasks > m_PageSize;
}

bool ProgressWriter::addToBatch(LiveJob &Job, std::chrono::milliseconds Wall,
                                Draft &Out) {
  const JobId &Id = Job.m_Spec.m_Id;
  const bool IsFinal = isFinal(Job.m_State);
  JobProgress Progress;
  std::string Row;
  if (!Job.m_Pages || IsFinal) {
    Progress = m_Core.jobs().progressOf(Job, Wall, Out.m_Steps);
    Row = encodeProgress(Progress);
  }
  if (!IsFinal && !Job.m_Pages && Row.size() > maxRowWithTasks()) {
    Job.m_Pages.reset(new RecordedPages{PageLayout(Job.m_Spec, m_PageSize),
                                        m_TermCondition.m_Version,
                                        {},
                                        false});
    ++m_Counters.m_JobsPaged;
    logEvent(Event::JobPaged,
             {{"job", Id.m_Text},
              {"row_bytes", std::to_string(Row.size())},
              {"pages", std::to_string(Job.m_Pages->m_Layout.count())}});
  }
  const bool IsAlone = isWrittenAlone(Job);
  if (!Out.m_Jobs.empty() &&
      (IsAlone || Out.m_IsFull ||
       Out.m_ValueBytes + Row.size() > m_Limits.m_ValueBytes))
    return false;
  Job.m_Dirty = false;
  // A start that the row does not show is left for a later transaction.
  Job.m_WantsStart &= Out.m_Steps == JobRegistry::StartedSteps::Recorded;
  if (Job.m_WantsStart)
    m_Core.jobs().markDirty(Job);
  if (Job.m_Pages && !IsFinal) {
    addPages(Job, Wall, Out);
    m_Counters.m_PagesWritten += Out.m_Txn.m_Puts.size() - 1;
    return true;
  }
  RowAddress State = jobStateAddress(Id);
  Out.m_Txn.m_Conditions.push_back({State, Job.m_StateVersion});
  Out.m_Txn.m_Puts.push_back({State, Row});
  Out.m_ValueBytes += Row.size();
  if (IsFinal)
    Out.m_Txn.m_Deletes.push_back(liveJobAddress(Id));
  Out.m_DependsOnTerm |= !Progress.m_SuspectStarts.empty() ||
                         Job.m_OtherPoolsChange > Job.m_RecordedChangeNumber;
  for (const auto &[Number, Step] : Progress.m_StartedSteps)
    Out.m_DependsOnTerm |= !Job.step(Number, Step)->m_StartRecorded;
  Out.m_Jobs.push_back(
      {Id, Job.m_Partition, Job.m_State, Job.m_ChangeNumber,
       Progress.m_State != JobState::Queued, std::move(Progress.m_StartedSteps),
       !Progress.m_SuspectStarts.empty() || !Progress.m_Crashes.empty() ||
           !Progress.m_OtherPools.empty()});
  if (mayNeedPages(Job.m_Spec))
    Out.m_Jobs.back().m_Row = std::move(Row);
  return true;
}

std::optional<ProgressWriter::Commit>
ProgressWriter::next(TimePoint Now, std::chrono::milliseconds Wall) {
  const bool IsSlow = isStoreSlow(Now);
  const std::size_t MaxCommits =
      IsSlow || Now < m_SplitUntil ? MaxSplitCommits : 1;
  const auto Steps = IsSlow ? JobRegistry::StartedSteps::Recorded
                            : JobRegistry::StartedSteps::Wanted;
  if (m_Commits.size() >= MaxCommits || Now < m_RetryAt ||
      m_Core.jobs().dirty().empty() ||
      (m_Commits.empty() && Now < m_LastWrite + GroupCommitDelay &&
       m_JobsToDivide == 0 && !m_Core.jobs().findUrgent()))
    return std::nullopt;
  Draft Next{Steps};
  std::vector<LiveJob *> Left;
  for (LiveJob *Job : takeBatch(Now))
    if (!addToBatch(*Job, Wall, Next))
      Left.push_back(Job);
  auto &Dirty = m_Core.jobs().dirty();
  Dirty.insert(Dirty.begin(), Left.begin(), Left.end());
  Batch &Jobs = Next.m_Jobs;
  m_JobsToDivide -=
      std::min(m_JobsToDivide, std::max<std::size_t>(1, Jobs.size()));
  if (Jobs.empty())
    return std::nullopt;
  Commit Out;
  Out.m_Txn = std::move(Next.m_Txn);
  if (Next.m_DependsOnTerm)
    Out.m_Txn.m_Conditions.push_back(m_TermCondition);
  for (const Pending &P : Jobs)
    m_PendingPartitions.insert(P.m_Partition);
  m_LastWrite = Now;
  Out.m_Number = ++m_LastCommit;
  Out.m_Timeout = m_Latency.callTimeout(CommitTimeout, MaxCommitTimeout, Now);
  m_Commits[Out.m_Number] = {std::move(Jobs), Now};
  return Out;
}

void ProgressWriter::onResult(std::uint64_t Number,
                              const Result<CommitOutcome> &Outcome,
                              TimePoint Now) {
  auto Node = m_Commits.extract(Number);
  if (Node.empty())
    return;
  const Batch &Jobs = Node.mapped().m_Jobs;
  m_LastLatency = Now - Node.mapped().m_SentAt;
  for (const Pending &P : Jobs)
    m_PendingPartitions.erase(P.m_Partition);
  if (!Outcome)
    return Outcome.error().m_Code == ErrorCode::InvalidArgument
               ? onRefused(Jobs, Outcome.error(), Now)
               : onFailed(Jobs, Outcome.error(), Now);
  m_Latency.onAnswer(m_LastLatency, Now);
  for (const Pending &P : Jobs)
    m_Backoffs.erase(P.m_Partition);
  if (Outcome.value().m_Committed)
    return onCommitted(Jobs, Outcome.value().m_Version, Now);
  markBatchDirty(Jobs);
  onConflicts(Outcome.value().m_Conflicts, Now);
}

void ProgressWriter::markBatchDirty(const Batch &Jobs) {
  for (const Pending &P : Jobs)
    if (LiveJob *Job = m_Core.jobs().find(P.m_Job)) {
      for (const auto &[Number, Step] : P.m_StartedSteps) {
        const StepState *S = Job->step(Number, Step);
        Job->m_WantsStart |= S->m_StartWanted && !S->m_StartRecorded;
      }
      Job->m_WantsStart |= P.m_MayHoldStarts;
      m_Core.jobs().markDirty(*Job);
    }
}

void ProgressWriter::onFailed(const Batch &Jobs, const Error &Why,
                              TimePoint Now) {
  logEvent(Event::RecordFailed,
           {{"jobs", std::to_string(Jobs.size())}, {"error", Why.describe()}});
  std::set<Partition> Partitions;
  for (const Pending &P : Jobs)
    Partitions.insert(P.m_Partition);
  markBatchDirty(Jobs);
  // Whether the pages were written is unknown.
  for (const Pending &P : Jobs)
    if (LiveJob *Job = m_Core.jobs().find(P.m_Job); Job && Job->m_Pages)
      for (const auto &[Page, Hash] : P.m_Pages)
        Job->m_Pages->m_Hashes[Page] = 0;
  m_SplitUntil = Now + SplitTime;
  // It is unknown which of several partitions failed.
  if (Partitions.size() > 1) {
    m_RetryAt = Now + RetryDelay;
    return;
  }
  delay(*Partitions.begin(), Now);
}

void ProgressWriter::onRefused(const Batch &Jobs, const Error &Why,
                               TimePoint Now) {
  ++m_Counters.m_Refused;
  markBatchDirty(Jobs);
  if (Jobs.size() > 1)
    m_JobsToDivide += Jobs.size();
  for (const Pending &P : Jobs) {
    LiveJob *Job = m_Core.jobs().find(P.m_Job);
    if (!Job)
      continue;
    Job->m_IsRecordedAlone = true;
    // Another job of the transaction may be the cause.
    if (Jobs.size() > 1)
      continue;
    ++Job->m_RecordRefusals;
    Job->m_RecordRetryAt =
        Now +
        RefusedRetryDelay * std::min(Job->m_RecordRefusals, RefusalsToGiveUp);
    logEvent(Event::RecordRefused,
             {{"job", P.m_Job.m_Text},
              {"refusals", std::to_string(Job->m_RecordRefusals)},
              {"error", Why.describe()}});
    if (Job->m_RecordRefusals < RefusalsToGiveUp || isFinal(Job->m_State))
      continue;
    // The row of a final state is small, and tells the callers.
    Job->m_State = JobState::Failed;
    Job->m_IsUnrecordable = true;
    Job->m_RecordRetryAt = Now;
    ++m_Counters.m_JobsGivenUp;
    logEvent(Event::JobUnrecordable, {{"job", P.m_Job.m_Text}});
  }
}

void ProgressWriter::delay(Partition P, TimePoint Now) {
  Backoff &B = m_Backoffs[P];
  B.m_RetryAt = Now + RetryDelay * std::min(++B.m_Failures, MaxBackoffFactor);
}

void ProgressWriter::onCommitted(const Batch &Jobs, RowVersion Version,
                                 TimePoint Now) {
  for (const Pending &P : Jobs) {
    LiveJob *Job = m_Core.jobs().find(P.m_Job);
    if (!Job)
      continue;
    Job->m_StateVersion = Version;
    Job->m_RecordRefusals = 0;
    Job->m_IsRecordedAlone = false;
    markPagesWritten(*Job, P);
    if (P.m_IsPartial) {
      markBatchDirty({P});
      continue;
    }
    Job->m_RecordedRow = P.m_Row;
    m_Core.markRecorded(*Job, P.m_ChangeNumber);
    Job->m_IsRecordedAsRunning = P.m_IsRunning;
    JobRegistry::markStartsRecorded(*Job, P.m_StartedSteps);
    if (!isFinal(P.m_State))
      continue;
    logEvent(
        Event::JobOver,
        {{"job", P.m_Job.m_Text},
         {"state", P.m_State == JobState::Completed ? "completed" : "failed"},
         {"took_ms", std::to_string((Now - Job->m_AcceptedAt) /
                                    std::chrono::milliseconds(1))}});
    m_Core.onJobEnded(P.m_Job);
  }
  m_Core.onProgressRecorded(Now);
}

void ProgressWriter::onConflicts(const std::vector<StoredRow> &Rows,
                                 TimePoint Now) {
  // The store returns the rows of all conditions, also of those that hold.
  const bool IsReplaced =
      std::any_of(Rows.begin(), Rows.end(), [this](const StoredRow &Row) {
        return Row.m_At == m_TermCondition.m_At &&
               Row.m_Version != m_TermCondition.m_Version;
      });
  for (const StoredRow &Row : Rows) {
    JobId Id(Row.m_At.m_Key);
    LiveJob *Job = m_Core.jobs().find(Id);
    if (!Job || Row.m_Version == Job->m_StateVersion)
      continue;
    auto Stored = decodeProgress(Row.m_Value);
    if (Row.m_Version != 0 && !Stored) {
      logEvent(Event::RecordUnreadable,
               {{"row", Id.m_Text}, {"error", Stored.error().describe()}});
      delay(Job->m_Partition, Now);
      continue;
    }
    // The job was cancelled by a caller, or ended by an earlier write of this
    // leader whose answer was lost.
    if (Row.m_Version == 0 || isFinal(Stored.value().m_State)) {
      m_Core.onJobEnded(Id);
      continue;
    }
    // A start that the next leader has recorded is not this leader's to order,
    // and its rows are not to be overwritten.
    if (IsReplaced)
      continue;
    // The row was written by an earlier leader, or by this one with the answer
    // lost. Servers may have forgotten the run ends that it contains.
    Job->m_StateVersion = Row.m_Version;
    Job->m_RecordedRow = Row.m_Value;
    // Only the leader that has written the pages may write them again. For
    // another one the term has ended, on which these writes depend.
    if (Stored.value().isPaged() && !Job->m_Pages)
      Job->m_Pages.reset(
          new RecordedPages{PageLayout(Job->m_Spec, Stored.value().m_PageSize),
                            Stored.value().m_PageGeneration,
                            {},
                            true});
    Job->m_IsRecordedAsRunning = Stored.value().m_State != JobState::Queued;
    m_Core.mergeStoredProgress(*Job, Stored.value());
  }
}

} // namespace pollenspool
