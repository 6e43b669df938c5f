//===- JobRegistry.cpp - Live jobs and the state of their tasks -----------===//

#include "scheduling/JobRegistry.h"
#include <algorithm>
#include <utility>

namespace pollenspool {

namespace {

/// Number of crashes under a task after which it is given up if no other job
/// had runs on the latest server. Only those count during which the task is
/// known to have been at work.
constexpr std::ptrdiff_t CrashesToGiveUp = 2;
/// Number of crashes after which a task is given up in any case.
constexpr std::ptrdiff_t MaxCrashes = 4;
/// How many of them may be of runs that are not known to have been ordered.
constexpr std::ptrdiff_t MaxAssumedCrashes = 1;

void restoreCrashes(const JobProgress &Recorded, const TaskKey &Key,
                    TaskState &T) {
  auto Runs = Recorded.m_Crashes.find(Key);
  if (T.m_Done || Runs == Recorded.m_Crashes.end())
    return;
  T.m_Crashes = std::make_unique<CrashHistory>();
  T.m_Crashes->m_Runs = Runs->second;
  auto Start = Recorded.m_SuspectStarts.find(Key);
  if (Start == Recorded.m_SuspectStarts.end())
    return;
  T.m_Crashes->m_Start = Start->second;
  T.m_Crashes->m_IsStartOfEarlierLeader = true;
}

} // namespace

bool CrashHistory::isSuspect() const {
  return m_Runs.size() > 1 ||
         std::any_of(m_Runs.begin(), m_Runs.end(),
                     [](const CrashedRun &R) { return R.m_WasRecent; });
}

bool CrashHistory::mustGiveUp() const {
  auto Certain =
      std::count_if(m_Runs.begin(), m_Runs.end(),
                    [](const CrashedRun &R) { return R.m_WasAtWork; });
  auto Ordered =
      std::count_if(m_Runs.begin(), m_Runs.end(),
                    [](const CrashedRun &R) { return R.m_WasOrdered; });
  // Each change of the leader may add an assumed one to a task that waits.
  auto Assumed = std::min<std::ptrdiff_t>(
      static_cast<std::ptrdiff_t>(m_Runs.size()) - Ordered, MaxAssumedCrashes);
  return Ordered + Assumed >= MaxCrashes ||
         (Certain >= CrashesToGiveUp && m_Runs.back().m_WasAtWork &&
          m_Runs.back().m_WasAlone);
}

LiveJob &JobRegistry::add(JobSpec Spec, JobProgress Progress,
                          RowVersion Accepted, RowVersion State, TimePoint Now,
                          std::chrono::milliseconds Wall) {
  auto NewJob = std::make_unique<LiveJob>();
  LiveJob &Job = *NewJob;
  Job.m_Spec = std::move(Spec);
  Job.m_RestoredProgress = std::move(Progress);
  Job.m_State = Job.m_RestoredProgress.m_State;
  Job.m_IsRecordedAsRunning = Job.m_State != JobState::Queued;
  const std::vector<bool> &DonePages = Job.m_RestoredProgress.m_DonePages;
  Job.m_HasBegun =
      !Job.m_RestoredProgress.m_Done.empty() ||
      !Job.m_RestoredProgress.m_Failures.empty() ||
      std::find(DonePages.begin(), DonePages.end(), true) != DonePages.end();
  if (Job.m_RestoredProgress.isPaged())
    Job.m_Pages.reset(new RecordedPages{
        PageLayout(Job.m_Spec, Job.m_RestoredProgress.m_PageSize),
        Job.m_RestoredProgress.m_PageGeneration,
        Job.m_RestoredProgress.m_PageHashes, true});
  Job.m_OtherPools = Job.m_RestoredProgress.m_OtherPools;
  Job.m_HasEarlierSuspectStarts =
      !Job.m_RestoredProgress.m_SuspectStarts.empty();
  Job.m_AcceptedVersion = Accepted;
  Job.m_StateVersion = State;
  Job.m_IdleSince = Now;
  Job.m_AcceptedAt = Now - std::max(std::chrono::milliseconds(0),
                                    Wall - Job.m_Spec.m_AcceptedAt);
  JobId Id = Job.m_Spec.m_Id;
  Job.m_Partition = &jobPartition(Id);
  m_Jobs[Id] = std::move(NewJob);
  if (Job.m_Spec.m_Occurrences == 0) {
    releaseOccurrence(Job);
  } else {
    m_RecurringJobs.insert(Id);
    releaseRecorded(Job, Job.m_RestoredProgress);
    releaseDue(Wall);
  }
  return Job;
}

void JobRegistry::remove(const JobId &Id) {
  m_RecurringJobs.erase(Id);
  LiveJob *Job = find(Id);
  if (Job && Job->m_IsNewlyReady)
    m_NewlyReady.erase(
        std::find(m_NewlyReady.begin(), m_NewlyReady.end(), Job));
  if (Job && Job->m_Dirty)
    m_Dirty.erase(std::find(m_Dirty.begin(), m_Dirty.end(), Job));
  if (Job && Job->m_Pages)
    m_RemovedWithPages.push_back(Id);
  m_Jobs.erase(Id);
}

LiveJob *JobRegistry::find(const JobId &Id) {
  auto It = m_Jobs.find(Id);
  return It == m_Jobs.end() ? nullptr : It->second.get();
}

LiveJob *JobRegistry::findUnreleased(const JobId &Id) {
  return m_RecurringJobs.count(Id) == 0 ? nullptr : find(Id);
}

bool JobRegistry::releaseDue(std::chrono::milliseconds Wall) {
  bool Any = false;
  for (auto It = m_RecurringJobs.begin(); It != m_RecurringJobs.end();) {
    LiveJob *Job = find(*It);
    while (Job && Job->m_NextOccurrence < Job->m_Spec.m_Occurrences &&
           Job->m_Spec.m_FirstDue +
                   Job->m_NextOccurrence * Job->m_Spec.m_Interval <=
               Wall) {
      releaseOccurrence(*Job);
      Any = true;
    }
    if (!Job || Job->m_NextOccurrence >= Job->m_Spec.m_Occurrences)
      It = m_RecurringJobs.erase(It);
    else
      ++It;
  }
  return Any;
}

void JobRegistry::releaseThrough(LiveJob &Job, std::uint32_t Number) {
  if (Number >= Job.m_Spec.occurrences())
    return;
  while (Job.m_NextOccurrence <= Number)
    releaseOccurrence(Job);
}

void JobRegistry::releaseRecorded(LiveJob &Job, const JobProgress &Recorded) {
  if (Job.m_Pages)
    for (std::size_t N = Recorded.m_DonePages.size(); N > 0; --N)
      if (auto Page = static_cast<std::uint32_t>(N - 1);
          Recorded.m_DonePages[Page] && Page < Job.m_Pages->m_Layout.count()) {
        releaseThrough(Job, Job.m_Pages->m_Layout.lastOccurrenceOf(Page));
        break;
      }
  // The keys are ordered by occurrence.
  if (!Recorded.m_Done.empty())
    releaseThrough(Job, Recorded.m_Done.rbegin()->first.first);
  if (!Recorded.m_Failures.empty())
    releaseThrough(Job, std::get<0>(Recorded.m_Failures.rbegin()->first));
  if (!Recorded.m_StartedSteps.empty())
    releaseThrough(Job, Recorded.m_StartedSteps.rbegin()->first);
}

void JobRegistry::releaseOccurrence(LiveJob &Job) {
  Occurrence O;
  O.m_Number = Job.m_NextOccurrence++;
  for (std::uint32_t N = 0; N < Job.m_Spec.m_Steps.size(); ++N) {
    StepState S;
    S.m_Tasks.resize(Job.m_Spec.m_Steps[N].m_Count);
    auto Done = Job.m_RestoredProgress.m_Done.find({O.m_Number, N});
    auto IsPageDone = [&](std::uint32_t I) {
      if (!Job.m_RestoredProgress.isPaged())
        return false;
      const PageLayout &Layout = Job.m_Pages->m_Layout;
      return Job.m_RestoredProgress.isPageDone(
          Layout.pageOf(Layout.position({O.m_Number, N, I})));
    };
    for (std::uint32_t I = 0; I < S.m_Tasks.size(); ++I) {
      if (IsPageDone(I) || (Done != Job.m_RestoredProgress.m_Done.end() &&
                            I < Done->second.size() && Done->second[I])) {
        S.m_Tasks[I].m_Done = true;
        ++S.m_DoneCount;
      }
      auto Failed = Job.m_RestoredProgress.m_Failures.find({O.m_Number, N, I});
      if (Failed != Job.m_RestoredProgress.m_Failures.end())
        S.m_Tasks[I].m_FailedRuns = Failed->second;
      restoreCrashes(Job.m_RestoredProgress, {O.m_Number, N, I}, S.m_Tasks[I]);
    }
    S.m_StartRecorded = S.m_MayHaveEarlierRuns =
        Job.m_RestoredProgress.m_StartedSteps.count({O.m_Number, N}) != 0;
    if (S.isDone())
      ++O.m_StepsDone;
    O.m_Steps.push_back(std::move(S));
  }
  auto &Inserted = Job.m_Occurrences[O.m_Number] = std::move(O);
  if (Inserted.m_StepsDone == Inserted.m_Steps.size()) {
    ++Job.m_OccurrencesDone;
    skipFinished(Job);
    return;
  }
  release(Job, Inserted);
}

void JobRegistry::skipFinished(LiveJob &Job) {
  for (auto It = Job.m_Occurrences.find(Job.m_FirstUnfinished);
       It != Job.m_Occurrences.end() && It->first == Job.m_FirstUnfinished &&
       It->second.m_StepsDone == It->second.m_Steps.size();
       ++It)
    ++Job.m_FirstUnfinished;
}

void JobRegistry::release(LiveJob &Job, Occurrence &O) {
  for (std::uint32_t N = 0; N < O.m_Steps.size(); ++N) {
    StepState &S = O.m_Steps[N];
    if (S.m_Released || S.isDone())
      continue;
    const auto &After = Job.m_Spec.m_Steps[N].m_After;
    if (!std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
          return O.m_Steps[Earlier].isDone();
        }))
      continue;
    S.m_Released = true;
    markNewlyReady(Job);
    for (std::uint32_t I = 0; I < S.m_Tasks.size(); ++I) {
      // A run that an earlier leader started may have been adopted before this
      // leader has seen the ends of the preceding steps.
      if (S.m_Tasks[I].m_Done || S.m_Tasks[I].m_Ready ||
          !S.m_Tasks[I].m_Runs.empty())
        continue;
      S.m_Tasks[I].m_Ready = true;
      Job.m_Ready.push_back({O.m_Number, N, I});
    }
  }
}

bool JobRegistry::markStarted(LiveJob &Job) {
  if (Job.m_State != JobState::Queued)
    return false;
  Job.m_State = JobState::Running;
  if (!Job.m_IsRecordedAsRunning)
    markDirty(Job);
  return true;
}

void JobRegistry::requestPool(LiveJob &Job, const PoolName &Pool) {
  if (Pool == Job.m_Spec.m_Pool || !Job.m_OtherPools.insert(Pool).second)
    return;
  Job.m_OtherPoolsChange = ++Job.m_ChangeNumber;
  Job.m_WantsStart = true;
  markDirty(Job);
}

void JobRegistry::requestStart(LiveJob &Job, std::uint32_t Occurrence,
                               std::uint32_t Step) {
  StepState *S = Job.step(Occurrence, Step);
  if (!S || S->m_StartWanted)
    return;
  S->m_StartWanted = true;
  Job.m_WantsStart = true;
  markDirty(Job);
}

void JobRegistry::markStartsRecorded(
    LiveJob &Job,
    const std::set<std::pair<std::uint32_t, std::uint32_t>> &Steps) {
  for (const auto &[Number, N] : Steps)
    if (StepState *S = Job.step(Number, N))
      S->m_StartRecorded = true;
}

/// Whether all steps that \p Step depends on have done tasks, so that a write
/// of the state row should already record its start.
bool JobRegistry::mayStartSoon(const LiveJob &Job, const Occurrence &O,
                               std::uint32_t Step) {
  const auto &After = Job.m_Spec.m_Steps[Step].m_After;
  return !After.empty() &&
         std::all_of(After.begin(), After.end(), [&](std::uint32_t Earlier) {
           return O.m_Steps[Earlier].m_DoneCount > 0;
         });
}

bool JobRegistry::markDone(LiveJob &Job, const TaskId &Id) {
  TaskState *T = Job.task(Id);
  if (!T || T->m_Done)
    return false;
  Occurrence &O = Job.m_Occurrences[Id.m_Occurrence];
  StepState &S = O.m_Steps[Id.m_Step];
  T->m_Done = true;
  Job.m_HasBegun = true;
  ++S.m_DoneCount;
  Job.removeFromReady(Id);
  if (S.isDone()) {
    ++Job.m_ReadyChanges;
    ++O.m_StepsDone;
    if (O.m_StepsDone != O.m_Steps.size()) {
      release(Job, O);
    } else {
      ++Job.m_OccurrencesDone;
      skipFinished(Job);
    }
  }
  if (Job.m_OccurrencesDone == Job.m_Spec.occurrences())
    Job.m_State = JobState::Completed;
  else
    markStarted(Job);
  markDirty(Job);
  return true;
}

bool JobRegistry::markFailed(LiveJob &Job, const TaskId &Id,
                             std::uint32_t Run) {
  // The members of a gang fail together. The failure is counted once, at the
  // member with index 0.
  const StepSpec &Step = Job.m_Spec.m_Steps[Id.m_Step];
  TaskId Counted = Id;
  if (Step.m_Gang)
    Counted.m_Index = 0;
  TaskState *T = Job.task(Counted);
  auto &Runs = T->m_FailedRuns;
  if (T->m_Done || std::find(Runs.begin(), Runs.end(), Run) != Runs.end())
    return false;
  Runs.push_back(Run);
  Job.m_HasBegun = true;
  if (Runs.size() >= Job.m_Attempts && !Step.m_IsLongRunning)
    Job.m_State = JobState::Failed;
  markDirty(Job);
  return true;
}

bool JobRegistry::markCrashed(LiveJob &Job, const TaskId &Id,
                              const CrashedRun &Run) {
  TaskState *T = Job.task(Id);
  if (!T || T->m_Done)
    return false;
  if (!T->m_Crashes)
    T->m_Crashes = std::make_unique<CrashHistory>();
  CrashHistory &H = *T->m_Crashes;
  if (std::any_of(H.m_Runs.begin(), H.m_Runs.end(), [&](const CrashedRun &R) {
        return R.m_Number == Run.m_Number;
      }))
    return false;
  H.m_Runs.push_back(Run);
  if (H.m_Start && H.m_Start->m_Number == Run.m_Number)
    H.m_Start.reset();
  Job.m_HasBegun |= Run.m_WasAtWork;
  H.m_RunsChange = ++Job.m_ChangeNumber;
  Job.m_WantsStart = true;
  if (H.mustGiveUp()) {
    Job.m_State = JobState::Failed;
    Job.m_HasCrashedServers = true;
  }
  markDirty(Job);
  return true;
}

void JobRegistry::requestSuspectStart(LiveJob &Job, TaskState &T,
                                      SuspectStart Start) {
  CrashHistory &H = *T.m_Crashes;
  H.m_Start = std::move(Start);
  H.m_IsStartOfEarlierLeader = false;
  H.m_StartChange = ++Job.m_ChangeNumber;
  Job.m_WantsStart = true;
  markDirty(Job);
}

void JobRegistry::endSuspectStart(LiveJob &Job, TaskState &T) {
  if (!T.m_Crashes || !T.m_Crashes->m_Start)
    return;
  T.m_Crashes->m_Start.reset();
  ++Job.m_ChangeNumber;
  markDirty(Job);
}

void JobRegistry::clearCrashes(LiveJob &Job, TaskState &T) {
  T.m_Crashes.reset();
  ++Job.m_ChangeNumber;
  markDirty(Job);
}

void JobRegistry::requeue(LiveJob &Job, const TaskId &Id, TimePoint NotBefore) {
  TaskState *T = Job.task(Id);
  if (!T || T->m_Done || T->m_Ready || !T->m_Runs.empty())
    return;
  T->m_Ready = true;
  T->m_NotBefore = NotBefore;
  // A start that was planned before the task got a run stands for it again.
  if (Job.hasPlannedStart(Id))
    return;
  Job.m_Ready.push_back({Id.m_Occurrence, Id.m_Step, Id.m_Index});
  markNewlyReady(Job);
}

void JobRegistry::markNewlyReady(LiveJob &Job) {
  ++Job.m_ReadyChanges;
  if (std::exchange(Job.m_IsNewlyReady, true))
    return;
  m_NewlyReady.push_back(&Job);
}

std::vector<LiveJob *> JobRegistry::takeNewlyReady() {
  for (LiveJob *Job : m_NewlyReady)
    Job->m_IsNewlyReady = false;
  return std::exchange(m_NewlyReady, {});
}

bool JobRegistry::findUrgent() {
  m_MayHaveUrgent =
      m_MayHaveUrgent &&
      std::any_of(m_Dirty.begin(), m_Dirty.end(),
                  [](const LiveJob *Job) { return Job->needsUrgentRecord(); });
  return m_MayHaveUrgent;
}

void JobRegistry::markDirty(LiveJob &Job) {
  m_MayHaveUrgent |= Job.needsUrgentRecord();
  if (Job.m_Dirty)
    return;
  Job.m_Dirty = true;
  m_Dirty.push_back(&Job);
}

bool JobRegistry::showsStart(const LiveJob &Job, const Occurrence &O,
                             std::uint32_t Step, StartedSteps Steps) {
  const StepState &S = O.m_Steps[Step];
  return S.m_StartRecorded || (Steps == StartedSteps::Wanted &&
                               (S.m_StartWanted || mayStartSoon(Job, O, Step)));
}

JobProgress JobRegistry::stateOf(const LiveJob &Job,
                                 std::chrono::milliseconds Wall) {
  JobProgress P;
  P.m_State = Job.m_State;
  P.m_ChangedAt = Wall;
  P.m_HasCrashedServers = Job.m_HasCrashedServers;
  P.m_IsUnrecordable = Job.m_IsUnrecordable;
  P.m_Organisation = Job.m_Spec.m_Organisation;
  if (isFinal(Job.m_State))
    P.m_HasPages = Job.m_Pages != nullptr;
  else
    P.m_OtherPools = Job.m_OtherPools;
  return P;
}

JobProgress JobRegistry::progressOf(const LiveJob &Job,
                                    std::chrono::milliseconds Wall,
                                    StartedSteps Steps) const {
  JobProgress P = stateOf(Job, Wall);
  if (isFinal(Job.m_State))
    return P;
  for (const auto &[Number, O] : Job.m_Occurrences)
    for (std::uint32_t N = 0; N < O.m_Steps.size(); ++N) {
      const StepState &S = O.m_Steps[N];
      if (showsStart(Job, O, N, Steps))
        P.m_StartedSteps.insert({Number, N});
      if (S.m_DoneCount > 0) {
        auto &Bits = P.m_Done[{Number, N}];
        for (const TaskState &T : S.m_Tasks)
          Bits.push_back(T.m_Done);
      }
      for (std::uint32_t I = 0; I < S.m_Tasks.size(); ++I)
        if (!S.m_Tasks[I].m_FailedRuns.empty() &&
            !Job.m_Spec.m_Steps[N].m_IsLongRunning)
          P.m_Failures[{Number, N, I}] = S.m_Tasks[I].m_FailedRuns;
      for (std::uint32_t I = 0; I < S.m_Tasks.size(); ++I)
        if (const CrashHistory *H = S.m_Tasks[I].m_Crashes.get();
            H && !S.m_Tasks[I].m_Done) {
          P.m_Crashes[{Number, N, I}] = H->m_Runs;
          if (H->m_Start)
            P.m_SuspectStarts[{Number, N, I}] = *H->m_Start;
        }
    }
  if (!P.m_StartedSteps.empty())
    P.m_State = JobState::Running;
  return P;
}

} // namespace pollenspool
