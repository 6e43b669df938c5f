//===- SchedulerCrashes.cpp - Tasks suspected of crashing servers ---------===//
//
// A task may crash each server that starts it. After a crash all tasks of the
// server come into question. Those that had just started are suspects, as are
// those that were lost in more than one crash. A suspect runs on a server
// without tasks of other jobs, so that the next crash shows whose it is and
// takes no other work along.
//
//===----------------------------------------------------------------------===//

#include "base/Log.h"
#include "scheduling/Scheduler.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// A run that its server has not been seen to survive for this long is
/// suspected first when the server crashes.
constexpr Duration RecentStart = std::chrono::milliseconds(100);
/// A run that has lasted this long shows that its task does not crash its
/// servers at the start.
constexpr Duration SoundTime = std::chrono::seconds(5);
/// A call without an answer has timed out if it ends this close to its timeout.
constexpr Duration SilenceMargin = std::chrono::milliseconds(50);
/// How long a suspected task waits for a server without tasks of other jobs.
constexpr Duration MaxIsolationWait = std::chrono::milliseconds(1500);
/// How long a server gets no other tasks so that it becomes free for suspected
/// ones.
constexpr Duration ClearingTime = std::chrono::milliseconds(1500);
/// One in this many of a pool's servers may be cleared at the same time, and at
/// least one.
constexpr std::size_t ClearedFraction = 3;
/// Maximum number of searches for such a server in one pass over a pool. All
/// members of a gang count as one.
constexpr std::uint32_t MaxIsolationSearches = 8;

/// Whether \p S has long-running or best-effort runs.
bool hasLongRunningOrBestEffort(const ServerState &S) {
  return std::any_of(S.m_Runs.begin(), S.m_Runs.end(), [](const auto &E) {
    return E.second.m_IsLongRunning || E.second.m_IsBestEffort;
  });
}

} // namespace

void Scheduler::countCrash(ServerState &S, const LostRuns &Lost,
                           const char *Evidence, TimePoint Now) {
  LostRuns All = std::exchange(S.m_LapsedRuns, {});
  All.insert(Lost.begin(), Lost.end());
  for (auto It = All.begin(); It != All.end();) {
    const ActiveRun &Run = It->second;
    bool MayBeToBlame = verdictOn(Run.m_StartEvidence, RunLoss::ServerCrashed,
                                  S.contactLoss()) == LossVerdict::Crashed;
    It = Run.m_IsCrashCounted || !MayBeToBlame ? All.erase(It) : std::next(It);
  }
  for (auto &[Id, Run] : S.m_Runs)
    Run.m_IsCrashCounted |= All.count(Id) != 0;
  if (All.empty())
    return;
  const JobId &First = All.begin()->first.m_Task.m_Job;
  bool IsOneJob = std::all_of(All.begin(), All.end(), [&](const auto &E) {
    return E.first.m_Task.m_Job == First;
  });
  std::size_t Suspects = 0;
  for (const auto &[Id, Run] : All)
    Suspects += countLostRun(S, Id, Run, IsOneJob);
  ++m_Counters.m_ServerCrashes;
  m_Counters.m_SuspectedRuns += Suspects;
  logEvent(Event::BackendCrashed,
           {{"server", S.m_Registration.m_Id.m_Text},
            {"instance", S.m_Registration.m_Instance.m_Text},
            {"evidence", Evidence},
            {"runs", std::to_string(All.size())},
            {"suspects", std::to_string(Suspects)},
            {"silent_ms", std::to_string((Now - S.m_ClockAt) /
                                         std::chrono::milliseconds(1))}});
}

bool Scheduler::countLostRun(const ServerState &S, const RunId &Id,
                             const ActiveRun &Run, bool WasAlone) {
  LiveJob *Job = m_Jobs.find(Id.m_Task.m_Job);
  TaskState *T = Job ? Job->task(Id.m_Task) : nullptr;
  if (!T || T->m_Done || isFinal(Job->m_State))
    return false;
  TimePoint LastAlive =
      Run.hasBegun() ? std::max(Run.m_SeenAt, S.m_AliveAt) : Run.m_SeenAt;
  Duration Survived = std::max(Duration(0), LastAlive - Run.m_OrderedAt);
  // Such a task meets crashes of its servers that have other causes.
  if (Run.m_IsLongRunning && Survived >= SoundTime) {
    endSuspectStart(*Job, Id.m_Task);
    return false;
  }
  countCrashedRun(*Job, Id.m_Task,
                  {Id.m_Number, Run.hasBegun() && S.m_WasLostAbruptly,
                   Survived < RecentStart, WasAlone},
                  S.m_Registration.m_Id.m_Text);
  return T->isSuspect();
}

void Scheduler::countCrashedRun(LiveJob &Job, const TaskId &Id,
                                const CrashedRun &Run,
                                const std::string &Server) {
  if (isFinal(Job.m_State) || !m_Jobs.markCrashed(Job, Id, Run))
    return;
  const std::string Crashes =
      std::to_string(Job.task(Id)->m_Crashes->m_Runs.size());
  logEvent(Event::RunCrashed, {{"run", runName({Id, Run.m_Number})},
                               {"server", Server},
                               {"crashes", Crashes},
                               {"at_work", Run.m_WasAtWork ? "yes" : "unsure"},
                               {"ordered", Run.m_WasOrdered ? "yes" : "unsure"},
                               {"recent", Run.m_WasRecent ? "yes" : "no"},
                               {"alone", Run.m_WasAlone ? "yes" : "no"}});
  if (!isFinal(Job.m_State))
    return;
  ++m_Counters.m_CrashingTasksGivenUp;
  logEvent(Event::TaskGivenUp,
           {{"run", runName({Id, Run.m_Number})}, {"crashes", Crashes}});
  stopRunsOfJob(Job);
}

void Scheduler::noteSilence(ServerState &S, OrderResult R, Duration Waited,
                            Duration Timeout, TimePoint Now) {
  if (!std::exchange(S.m_Reachable, false))
    return;
  S.m_WasLostAbruptly =
      R == OrderResult::NotSent || Waited + SilenceMargin < Timeout;
  if (S.m_WasLostAbruptly && !S.m_Runs.empty())
    m_LastAbruptSilence = Now;
}

void Scheduler::countCrashBefore(ServerState &S, const PollReply &Reply,
                                 TimePoint Now) {
  if (S.lossAtEnd() != RunLoss::ServerCrashed) {
    S.m_LapsedRuns.clear();
    return;
  }
  LostRuns Lost = S.m_Runs;
  for (const RunReport &Report : Reply.m_Running)
    Lost.erase(Report.m_Run);
  for (const EndReport &End : Reply.m_Ended)
    Lost.erase(End.m_Run);
  // An order that is not answered yet may still reach the new incarnation, and
  // one that was carried out there late may have ended since then.
  auto MayHaveBegunSince = [&](const ActiveRun &Run) {
    return Run.m_StartEvidence == StartEvidence::Pending ||
           (Reply.m_HasMoreEnds && !Run.hasBegun());
  };
  for (auto It = Lost.begin(); It != Lost.end();)
    It = MayHaveBegunSince(It->second) ? Lost.erase(It) : std::next(It);
  countCrash(S, Lost, "it answers with a later start time", Now);
}

void Scheduler::resolveLostStart(ServerState &S, const RunId &Id,
                                 TimePoint Now) {
  auto It = S.m_Runs.find(Id);
  if (It == S.m_Runs.end() || !It->second.m_LostBy)
    return;
  const ActiveRun &Run = It->second;
  if (verdictOn(Run.m_StartEvidence, *Run.m_LostBy, S.contactLoss()) ==
      LossVerdict::Crashed)
    countCrash(S, {{Id, Run}}, "the result of a start came after it had ended",
               Now);
  rescheduleLostRuns(S, Now);
}

void Scheduler::onListedSuspect(ServerState &S, const RunId &Id,
                                ActiveRun &Run) {
  if (Run.m_SeenAt - Run.m_OrderedAt < SoundTime)
    return;
  Run.m_IsSuspect = false;
  ServerRegistry::updateIsolation(S);
  LiveJob *Job = m_Jobs.find(Id.m_Task.m_Job);
  TaskState *T = Job ? Job->task(Id.m_Task) : nullptr;
  // The crashes under a task that ends are kept, since it may crash its servers
  // late in its work.
  if (T && T->m_Crashes && Run.m_IsLongRunning)
    m_Jobs.clearCrashes(*Job, *T);
}

void Scheduler::endSuspectStart(LiveJob &Job, const TaskId &Id) {
  m_Jobs.endSuspectStart(Job, *Job.task(Id));
}

void Scheduler::countEarlierRuns(LiveJob &Job, const ReadyTask &Step) {
  StepState &S = *Job.step(Step.m_Occurrence, Step.m_Step);
  if (std::exchange(S.m_HasCountedEarlierRuns, true) ||
      !Job.anyPoolOfEarlierRuns([this](const PoolName &Pool) {
        return m_PoolsWithEarlierCrashes.count(Pool) != 0;
      }))
    return;
  for (std::uint32_t I = 0; I < S.m_Tasks.size(); ++I) {
    const TaskState &T = S.m_Tasks[I];
    // A task with a run number has had a run in this term. The starts of
    // suspects are recorded.
    if (T.m_Ready && T.m_LastRunNumber == 0 && !T.isSuspect())
      countCrashedRun(Job, {Job.m_Spec.m_Id, Step.m_Occurrence, Step.m_Step, I},
                      {nextRunNumber({}) - 1, false, false, false, false},
                      "unknown");
  }
}

void Scheduler::resolveEarlierStarts(LiveJob &Job, const ReadyTask &Step) {
  StepState &S = *Job.step(Step.m_Occurrence, Step.m_Step);
  for (std::uint32_t I = 0; I < S.m_Tasks.size(); ++I)
    if (TaskState &T = S.m_Tasks[I]; T.m_Crashes && T.m_Runs.empty())
      resolveEarlierStart(
          Job, {Job.m_Spec.m_Id, Step.m_Occurrence, Step.m_Step, I}, T);
}

void Scheduler::resolveEarlierStart(LiveJob &Job, const TaskId &Id,
                                    TaskState &T) {
  CrashHistory &H = *T.m_Crashes;
  if (!H.m_IsStartOfEarlierLeader)
    return;
  H.m_IsStartOfEarlierLeader = false;
  const SuspectStart Start = *H.m_Start;
  const ServerState *S = m_Servers.find(ServerId(Start.m_Server));
  bool IsSameIncarnation =
      S && !S->m_IsListedAsGone &&
      (!S->m_HasAcknowledgedTerm ||
       S->m_Registration.m_StartTimeMs == Start.m_ServerStartTimeMs);
  if (IsSameIncarnation)
    return m_Jobs.endSuspectStart(Job, T);
  // Servers with runs are not moved, so the server has most likely crashed, if
  // it had the run. One that is not registered any more may have drained.
  T.m_LastRunNumber = std::max(T.m_LastRunNumber, Start.m_Number);
  countCrashedRun(Job, Id, {Start.m_Number, false, true, true, S != nullptr},
                  Start.m_Server);
}

bool Scheduler::isSuspectStartRecorded(const LiveJob &Job, const TaskState &T,
                                       const ServerState &S) {
  const CrashHistory &H = *T.m_Crashes;
  return H.m_Start && !H.m_IsStartOfEarlierLeader &&
         H.m_Start->m_Server == S.m_Registration.m_Id.m_Text &&
         H.m_Start->m_ServerStartTimeMs == S.m_Registration.m_StartTimeMs &&
         Job.m_RecordedChangeNumber >= H.m_StartChange;
}

void Scheduler::planSuspectStart(LiveJob &Job, TaskState &T, ServerState &S,
                                 std::uint32_t RunNumber) {
  ServerRegistry::planIsolation(S, Job.m_Spec.m_Id);
  Job.m_PlannedStarts.back().m_IsIsolated = true;
  m_Jobs.requestSuspectStart(Job, T,
                             {RunNumber, S.m_Registration.m_Id.m_Text,
                              S.m_Registration.m_StartTimeMs});
}

void Scheduler::countSuspectStart(const LiveJob &Job, ServerState &S) {
  bool IsShared =
      std::any_of(S.m_Runs.begin(), S.m_Runs.end(), [&](const auto &E) {
        return E.first.m_Task.m_Job != Job.m_Spec.m_Id;
      });
  ++m_Counters.m_SuspectStarts;
  m_Counters.m_SharedSuspectStarts += IsShared;
  logEvent(Event::SuspectStarted, {{"job", Job.m_Spec.m_Id.m_Text},
                                   {"server", S.m_Registration.m_Id.m_Text},
                                   {"shared", IsShared ? "yes" : "no"}});
  S.m_IsolatedFor = Job.m_Spec.m_Id;
  S.m_ClearingUntil = {};
}

std::optional<IsolationScore> Scheduler::isolationScore(const ServerState &S,
                                                        const LiveJob &Job,
                                                        const CrashHistory &H,
                                                        bool MayShare) {
  bool IsOwn = S.m_IsolatedFor == Job.m_Spec.m_Id;
  bool IsShared = !IsOwn && !S.isIdle();
  if ((!IsOwn && !S.m_IsolatedFor.empty()) || (IsShared && !MayShare))
    return std::nullopt;
  bool IsInRecord =
      H.m_Start && H.m_Start->m_Server == S.m_Registration.m_Id.m_Text;
  return IsolationScore{IsShared, !IsInRecord,
                        IsShared && hasLongRunningOrBestEffort(S),
                        IsShared ? S.m_Runs.size() : std::size_t(!IsOwn)};
}

ServerState *Scheduler::selectIsolated(const LiveJob &Job,
                                       const ReadyTask &Task, TaskState &T,
                                       const StepNeeds &Needs,
                                       const GangServers &GangPlan,
                                       PoolPass &Pass) {
  CrashHistory &H = *T.m_Crashes;
  if (!H.m_WaitsSince)
    H.m_WaitsSince = Pass.m_Now;
  bool MayShare = Pass.m_Now >= *H.m_WaitsSince + MaxIsolationWait;
  // A gang is placed in one pass or not at all.
  bool MaySearch =
      !GangPlan.empty() || Pass.m_IsolationSearches++ < MaxIsolationSearches;
  const StepId Step = Needs.m_NeedsTicket ? Job.stepId(Task) : StepId();
  ServerState *Best = nullptr;
  IsolationScore BestScore;
  // Idle servers have most cores free.
  for (auto It = Pass.m_Servers.rbegin();
       MaySearch && It != Pass.m_Servers.rend() &&
       (*It)->m_IndexedMilliCores >= Needs.m_Need.m_MilliCores;
       ++It) {
    ServerState *S = *It;
    ++m_Counters.m_ServersExamined;
    auto Score = isolationScore(*S, Job, H, MayShare);
    if (!Score || (Best && *Score >= BestScore) || !isUsable(*S, Pass.m_Now) ||
        !canHost(*S, Job, Task, Needs, GangPlan) ||
        (Needs.m_NeedsTicket && !m_Advice.ticket(Step, *S, Pass.m_Now)))
      continue;
    Best = S;
    BestScore = *Score;
  }
  if (!Best && std::exchange(Pass.m_LastJobWaiting, &Job) != &Job)
    ++Pass.m_JobsWaitingForIsolation;
  return Best;
}

void Scheduler::clearServers(PoolPass &Pass) {
  std::size_t Limit = std::min(
      Pass.m_JobsWaitingForIsolation,
      std::max<std::size_t>(1, Pass.m_Servers.size() / ClearedFraction));
  auto IsCleared = [&](const ServerState *S) {
    return Pass.m_Now < S->m_ClearingUntil;
  };
  auto Cleared = static_cast<std::size_t>(
      std::count_if(Pass.m_Servers.begin(), Pass.m_Servers.end(), IsCleared));
  // The servers with the most free cores are likely to be free first.
  for (auto It = Pass.m_Servers.rbegin();
       It != Pass.m_Servers.rend() && Cleared < Limit; ++It) {
    ServerState &S = **It;
    if (IsCleared(&S) || !S.m_IsolatedFor.empty() || !isUsable(S, Pass.m_Now) ||
        hasLongRunningOrBestEffort(S))
      continue;
    S.m_ClearingUntil = Pass.m_Now + ClearingTime;
    ++Cleared;
  }
}

} // namespace pollenspool
