//===- SchedulerRuns.cpp - Starts, stops and ends of runs -----------------===//

#include "base/Log.h"
#include "scheduling/Pacing.h"
#include "scheduling/Scheduler.h"
#include "scheduling/StallDetection.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Delay before a long-running task is restarted, so that a task that fails at
/// once is not restarted in a busy loop.
constexpr Duration LongRunningRestartDelay = std::chrono::milliseconds(100);
/// Delay before another order is sent to a server that rejected one.
constexpr Duration RejectionDelay = std::chrono::milliseconds(700);
/// Delay before another start is sent to a server for which this process had no
/// connection.
constexpr Duration NoConnectionDelay = std::chrono::milliseconds(100);
/// Number of successive failed runs after which a server gets no new runs for a
/// while. A few tasks in a thousand fail through their own fault, so three
/// failures in a row point to the server.
constexpr std::uint32_t FailuresToSuspend = 3;
/// How long such a server gets no new runs.
constexpr Duration SuspensionTime = std::chrono::seconds(2);

/// A server that can be reached answers a start order within this time.
constexpr Duration StartAnswerTime = std::chrono::milliseconds(400);

/// How much of a lease may be left beyond its intended length because times are
/// rounded. Less than the margin of ServerRegistry::recordLease().
constexpr Duration ClockRounding = std::chrono::milliseconds(20);

/// Logs that \p S has more ends than \p Reply lists, which leaves it open what
/// became of \p Unlisted runs.
void logEndsHeldBack(const ServerState &S, const PollReply &Reply,
                     std::size_t Unlisted) {
  logEvent(Event::EndsHeldBack,
           {{"server", S.m_Registration.m_Id.m_Text},
            {"first_end", std::to_string(Reply.m_Ended.front().m_Number)},
            {"last_end", std::to_string(Reply.m_Ended.back().m_Number)},
            {"recorded_end", std::to_string(S.m_LastRecordedEnd)},
            {"runs", std::to_string(S.m_Runs.size())},
            {"unlisted_runs", std::to_string(Unlisted)}});
}

} // namespace

void Scheduler::suspectRestart(ServerState &S, TimePoint Now) {
  S.m_Reachable = false;
  S.m_SuspectedAt = Now;
  S.m_ClockKnown = false;
  // A server that has restarted takes orders of earlier terms again.
  S.forgetAcknowledgement();
  S.m_NextPoll = Now;
  m_UnacknowledgedPoolsChanged = true;
  ServerRegistry::holdLateStarts(S, m_Options.m_MaxLease);
  ServerRegistry::markChanged(S);
}

bool Scheduler::noteGrant(ServerState &S, std::int64_t LeaseUntilMs,
                          std::int64_t ClockMs, TimePoint Now) {
  if (LeaseUntilMs == 0)
    return false;
  if (ClockMs == 0)
    S.m_LastGrantAt = std::max(S.m_LastGrantAt, Now);
  Duration Left = m_Options.m_MaxLease;
  if (ClockMs != 0 || S.m_ClockKnown)
    Left = std::min<Duration>(
        Left, std::chrono::milliseconds(
                  LeaseUntilMs - (ClockMs ? ClockMs : S.minClockMs(Now))));
  // The clock of one incarnation only advances, so that no more is left there
  // than was intended.
  if (Left <= m_Options.m_Lease + ClockRounding)
    return false;
  ServerRegistry::recordLease(S, Now, Left);
  return true;
}

void Scheduler::noteEarlierGrants(ServerState &S, std::int64_t ClockMs,
                                  TimePoint Now) {
  // A leader learns of a restart from the registrations in the store. Without
  // the store it gives orders for m_EarlierLeaderTimeout at most.
  Duration Left = m_Options.m_EarlierLeaderTimeout + m_Options.m_MaxLease -
                  std::chrono::milliseconds(ClockMs);
  if (m_Options.m_Term > 1 && Left > Duration(0))
    ServerRegistry::recordLease(S, Now, std::min(Left, m_Options.m_MaxLease));
}

void Scheduler::onStartResult(const StartOrder &Order, const StartReply &Reply,
                              TimePoint Now) {
  ServerState *S = m_Servers.find(Order.m_Server.m_Id);
  if (!S)
    return;
  ServerRegistry::markChanged(*S);
  OrderResult R = Reply.m_Result;
  if (R != OrderResult::OtherIncarnation &&
      noteGrant(*S, Order.m_LeaseUntilMs, Reply.m_ClockMs, Now) &&
      Reply.m_ClockMs != 0) {
    logEvent(Event::LeaseTooLong,
             {{"run", runName(Order.m_Run)},
              {"server", Order.m_Server.m_Id.m_Text},
              {"clock_ms", std::to_string(Reply.m_ClockMs)},
              {"lease_until_ms", std::to_string(Order.m_LeaseUntilMs)}});
    suspectRestart(*S, Now);
  }
  auto It = S->m_Runs.find(Order.m_Run);
  if (R == OrderResult::Fenced)
    m_Superseded = true;
  if (It == S->m_Runs.end())
    return;
  ActiveRun &Run = It->second;
  if (!Run.hasBegun())
    Run.m_StartEvidence = evidenceOf(R);
  if (R == OrderResult::Done) {
    if (Run.m_Phase == RunPhase::Starting)
      Run.m_Phase = RunPhase::Running;
    Run.m_ConfirmedAt = Now;
    S->m_AliveAt = std::max(S->m_AliveAt, Order.m_OrderedAt);
    S->m_NextPoll = std::min(S->m_NextPoll, Now);
    if (LiveJob *Job = m_Jobs.find(Order.m_Run.m_Task.m_Job))
      Job->m_HasBegun = true;
    return resolveLostStart(*S, Order.m_Run, Now);
  }
  logEvent(Event::StartNotTaken,
           {{"run", runName(Order.m_Run)},
            {"server", Order.m_Server.m_Id.m_Text},
            {"term", std::to_string(Order.m_Term)},
            {"result", std::string(orderResultName(R))},
            {"start_evidence", std::string(startEvidenceName(evidenceOf(R)))}});
  switch (R) {
  case OrderResult::Unknown:
    ++m_Counters.m_UnconfirmedStarts;
    // A run that is being stopped stays in that phase, because the stop order
    // also prevents a delayed start.
    if (Run.m_Phase == RunPhase::Starting)
      Run.m_Phase = RunPhase::Unconfirmed;
    noteSilence(*S, R, Now - Order.m_OrderedAt, StartAnswerTime, Now);
    S->m_NextPoll = Now;
    return resolveLostStart(*S, Order.m_Run, Now);
  case OrderResult::OtherIncarnation:
    rescheduleRun(*S, Order.m_Run, RunLoss::NotStarted, Now);
    return onOtherIncarnation(*S, Order.m_Server.m_Address, Now);
  case OrderResult::NoCapacity:
    ++m_Counters.m_StartsWithoutCapacity;
    S->m_SuspendedUntil = Now + RejectionDelay / 4;
    break;
  case OrderResult::NotAttempted:
    S->m_SuspendedUntil = Now + NoConnectionDelay;
    break;
  case OrderResult::NotSent:
    noteSilence(*S, R, Now - Order.m_OrderedAt, StartAnswerTime, Now);
    S->m_NextPoll = Now;
    break;
  case OrderResult::LeaseExpiredOnArrival:
    // The calculated server clock is wrong; the next poll corrects it.
    S->forgetAcknowledgement();
    S->m_NextPoll = Now;
    m_UnacknowledgedPoolsChanged = true;
    break;
  case OrderResult::Refusing:
    S->m_SuspendedUntil = Now + RejectionDelay;
    break;
  case OrderResult::BadTicket:
    m_Advice.invalidateTicket({Order.m_Run.m_Task.m_Job,
                               Order.m_Run.m_Task.m_Occurrence,
                               Order.m_Run.m_Task.m_Step},
                              Order.m_Server.m_Id);
    break;
  case OrderResult::Invalid:
  case OrderResult::StaleRun:
    S->m_SuspendedUntil = Now + RejectionDelay / 4;
    break;
  case OrderResult::Done:
  case OrderResult::Fenced:
    break;
  }
  rescheduleRun(*S, Order.m_Run, RunLoss::NotStarted, Now);
  // The next server would most likely reject the order as well.
  LiveJob *Job = m_Jobs.find(Order.m_Run.m_Task.m_Job);
  if (Job && R == OrderResult::Invalid)
    Job->task(Order.m_Run.m_Task)->m_NotBefore = Now + RejectionDelay;
}

void Scheduler::onStopResult(const StopOrder &Order, OrderResult R,
                             TimePoint Now) {
  if (R == OrderResult::Fenced)
    m_Superseded = true;
  ServerState *S = m_Servers.find(Order.m_Server.m_Id);
  if (!S)
    return;
  auto It = S->m_Runs.find(Order.m_Run);
  if (It == S->m_Runs.end())
    return;
  ServerRegistry::markChanged(*S);
  It->second.m_StopPending = false;
  // An answered stop prevents a start that has not arrived yet. The next poll
  // shows whether the run still exists.
  if (R == OrderResult::Done) {
    It->second.m_ConfirmedAt = Now;
    S->m_NextPoll = std::min(S->m_NextPoll, Now);
  } else {
    It->second.m_ConfirmedAt = TimePoint::max();
    S->m_Reachable = S->m_Reachable && R != OrderResult::Unknown;
  }
}

void Scheduler::orderStop(ServerState &S, const RunId &Id) {
  auto It = S.m_Runs.find(Id);
  if (It == S.m_Runs.end() || It->second.m_StopPending)
    return;
  It->second.m_Phase = RunPhase::Stopping;
  It->second.m_StopPending = true;
  It->second.m_ConfirmedAt = TimePoint::max();
  ++m_Counters.m_Stops;
  m_Orders.stop({S.address(), Id, m_Options.m_Term});
}

void Scheduler::relocate(const ServerId &Server, const RunId &Run) {
  if (ServerState *S = m_Servers.find(Server))
    orderStop(*S, Run);
}

void Scheduler::stopRunsOfJob(const LiveJob &Job) {
  for (const auto &[Number, O] : Job.m_Occurrences)
    for (std::uint32_t N = 0; N < O.m_Steps.size(); ++N)
      for (std::uint32_t I = 0; I < O.m_Steps[N].m_Tasks.size(); ++I)
        for (const RunLocation &P : O.m_Steps[N].m_Tasks[I].m_Runs)
          if (ServerState *S = m_Servers.find(P.m_Server))
            orderStop(*S, {{Job.m_Spec.m_Id, Number, N, I}, P.m_Number});
}

void Scheduler::failJob(const LiveJob &Job, const RunId &Last) {
  const QueueRules &Rules = Job.m_Queue->m_Rules;
  logEvent(Event::JobFailed,
           {{"job", Job.m_Spec.m_Id.m_Text},
            {"run", runName(Last)},
            {"queue", Job.m_Spec.m_Queue.m_Text},
            {"attempts", std::to_string(Job.m_Attempts)},
            {"rules_of_version", std::to_string(Rules.m_ConfigVersion)}});
  stopRunsOfJob(Job);
}

void Scheduler::stopRunsOfTask(const LiveJob &Job, const TaskId &Task) {
  if (const TaskState *T = const_cast<LiveJob &>(Job).task(Task))
    for (const RunLocation &P : T->m_Runs)
      if (ServerState *S = m_Servers.find(P.m_Server))
        orderStop(*S, {Task, P.m_Number});
}

void Scheduler::beginIncarnation(ServerState &S) {
  logEvent(Event::BackendReborn, {{"server", S.m_Registration.m_Id.m_Text},
                                  {"runs", std::to_string(S.m_Runs.size())}});
  S.beginIncarnation();
  // An order without an answer may have reached the new incarnation with a
  // lease that was computed by the clock of the previous one.
  ServerRegistry::recordLease(S, S.m_LastGrantAt, m_Options.m_MaxLease);
  ServerRegistry::holdLateStarts(S, m_Options.m_MaxLease);
  // A stop that the previous incarnation has answered excludes nothing in the
  // new one.
  for (auto &[Id, Run] : S.m_Runs)
    if (!Run.hasBegun())
      Run.m_ConfirmedAt = TimePoint::max();
}

void Scheduler::countServerFailure(ServerState &S, TimePoint Now) {
  if (++S.m_FailuresInRow < FailuresToSuspend)
    return;
  S.m_SuspendedUntil = Now + SuspensionTime;
  S.m_OnProbation = true;
  logEvent(Event::BackendSuspended,
           {{"server", S.m_Registration.m_Id.m_Text},
            {"failures_in_row", std::to_string(S.m_FailuresInRow)}});
}

void Scheduler::endRun(ServerState &S, const EndReport &End, TimePoint Now) {
  S.m_LastSeenEnd = End.m_Number;
  LiveJob *Job = m_Jobs.find(End.m_Run.m_Task.m_Job);
  if (Job)
    Job->m_HasBegun = true;
  TaskState *T = Job ? Job->task(End.m_Run.m_Task) : nullptr;
  ServerRegistry::removeRun(S, End.m_Run);
  if (T && !isFinal(Job->m_State)) {
    const TaskId &Task = End.m_Run.m_Task;
    const StepSpec &Step = Job->m_Spec.m_Steps[Task.m_Step];
    T->eraseRun(S.m_Registration.m_Id, End.m_Run.m_Number);
    Job->m_IdleSince = Now;
    T->m_LastRunNumber = std::max(T->m_LastRunNumber, End.m_Run.m_Number);
    m_Jobs.endSuspectStart(*Job, *T);
    if (!End.m_Checkpoint.empty())
      T->m_Checkpoint = End.m_Checkpoint;
    Duration Pause{0};
    if (End.m_Kind == EndKind::Done && !Step.m_IsLongRunning) {
      bool IsChanged = false;
      if (Step.m_Gang) {
        for (std::uint32_t I = 0; I < Step.m_Count; ++I)
          IsChanged |= m_Jobs.markDone(
              *Job, {Task.m_Job, Task.m_Occurrence, Task.m_Step, I});
      } else if (m_Jobs.markDone(*Job, Task)) {
        IsChanged = true;
        stopRunsOfTask(*Job, Task);
      }
      Job->m_ChangeNumber += IsChanged;
    } else if (End.m_Kind == EndKind::Failed && !Step.m_IsLongRunning) {
      Job->m_ChangeNumber += m_Jobs.markFailed(*Job, Task, End.m_Run.m_Number);
      if (Job->m_State == JobState::Failed)
        failJob(*Job, End.m_Run);
    } else if (Step.m_IsLongRunning) {
      Pause = LongRunningRestartDelay;
    }
    if (End.m_Kind != EndKind::Done)
      logEvent(Event::TaskAgain,
               {{"run", runName(End.m_Run)},
                {"server", S.m_Registration.m_Id.m_Text},
                {"end", std::string(endKindName(End.m_Kind))},
                {"failures", std::to_string(T->m_FailedRuns.size())}});
    if (!isFinal(Job->m_State))
      m_Jobs.requeue(*Job, Task, Now + Pause);
    if (!Step.m_IsLongRunning && End.m_Kind == EndKind::Failed)
      countServerFailure(S, Now);
    else if (!Step.m_IsLongRunning && End.m_Kind == EndKind::Done) {
      S.m_FailuresInRow = 0;
      S.m_OnProbation = false;
    }
  }
  // The next leader must learn all changes of the job from the store before the
  // server forgets the end.
  S.m_UnrecordedEnds.push_back(
      {End.m_Number, End.m_Run.m_Task.m_Job, Job ? Job->m_ChangeNumber : 0});
  if (removeRecordedEnds(S) || S.m_UnrecordedEnds.size() == 1)
    awaitRecord(S);
}

void Scheduler::reconcileRuns(ServerState &S, const PollReply &Reply,
                              RunLoss Loss, TimePoint Now) {
  ++S.m_PollsAnswered;
  for (const RunReport &Report : Reply.m_Running) {
    auto It = S.m_Runs.find(Report.m_Run);
    if (It == S.m_Runs.end()) {
      adoptOrStop(S, Report, Now);
      continue;
    }
    ActiveRun &Run = It->second;
    if (!Run.m_IsListed)
      if (LiveJob *Job = m_Jobs.find(Report.m_Run.m_Task.m_Job))
        Job->m_HasBegun = true;
    Run.m_IsListed = true;
    Run.m_StartEvidence = StartEvidence::Begun;
    Run.m_LastListedIn = S.m_PollsAnswered;
    Run.m_LossIfUnlisted.reset();
    Run.m_SeenAt = Now;
    if (Run.m_IsSuspect)
      onListedSuspect(S, Report.m_Run, Run);
    if (Run.m_Phase == RunPhase::Unconfirmed) {
      Run.m_Phase = RunPhase::Running;
      Run.m_ConfirmedAt = S.m_PollSentAt;
    }
    recordProgress(Run, Report, Now);
    if (!Report.m_Checkpoint.empty() &&
        Report.m_Checkpoint != Run.m_Checkpoint) {
      Run.m_Checkpoint = Report.m_Checkpoint;
      if (LiveJob *Job = m_Jobs.find(Report.m_Run.m_Task.m_Job))
        if (TaskState *T = Job->task(Report.m_Run.m_Task))
          T->m_Checkpoint = Report.m_Checkpoint;
    }
    if (Run.m_Phase == RunPhase::Stopping && !Run.m_StopPending &&
        Run.m_ConfirmedAt == TimePoint::max())
      orderStop(S, Report.m_Run);
  }
  resolveUnlistedRuns(S, Reply, Loss, Now);
}

void Scheduler::resolveUnlistedRuns(ServerState &S, const PollReply &Reply,
                                    RunLoss Loss, TimePoint Now) {
  std::vector<RunId> Absent, Unlisted;
  std::size_t HeldBack = 0;
  for (auto &[Id, Run] : S.m_Runs) {
    if (Run.m_LastListedIn == S.m_PollsAnswered)
      continue;
    if (Run.m_ConfirmedAt < S.m_PollSentAt) {
      if (!Reply.m_HasMoreEnds) {
        Absent.push_back(Id);
        continue;
      }
      // The run may have ended in any way. A later list tells.
      ++HeldBack;
      if (Loss != RunLoss::NotListed)
        Run.m_LossIfUnlisted = Loss;
    } else if ((Run.m_Phase == RunPhase::Unconfirmed ||
                Run.m_Phase == RunPhase::Stopping) &&
               !Run.m_StopPending && Run.m_ConfirmedAt == TimePoint::max()) {
      Unlisted.push_back(Id);
    }
  }
  if (Reply.m_HasMoreEnds) {
    ++m_Counters.m_IncompleteLists;
    m_Counters.m_UnresolvedRuns += HeldBack;
    if (!S.m_HasMoreEnds)
      logEndsHeldBack(S, Reply, HeldBack);
  }
  for (const RunId &Id : Absent)
    rescheduleRun(S, Id, S.m_Runs.at(Id).m_LossIfUnlisted.value_or(Loss), Now);
  for (const RunId &Id : Unlisted)
    orderStop(S, Id);
}

void Scheduler::adoptOrStop(ServerState &S, const RunReport &Report,
                            TimePoint Now) {
  const TaskId &Task = Report.m_Run.m_Task;
  LiveJob *Job = m_Jobs.find(Task.m_Job);
  TaskState *T = Job ? Job->task(Task) : nullptr;
  ActiveRun Run;
  Run.m_Phase = RunPhase::Running;
  Run.m_ConfirmedAt = S.m_PollSentAt;
  Run.m_LastListedIn = S.m_PollsAnswered;
  Run.m_OrderedAt = Run.m_SeenAt = Now;
  Run.m_StartEvidence = StartEvidence::Begun;
  Run.m_IsSuspect = T && T->isSuspect();
  bool Wanted = T && !T->m_Done && !isFinal(Job->m_State) && T->m_Runs.empty();
  if (Job && Task.m_Step < Job->m_Spec.m_Steps.size()) {
    initRun(Run, *Job, Job->m_Spec.m_Steps[Task.m_Step]);
    Run.m_Pace = UnknownPace;
  } else if (auto Ended = m_OwnersOfEndedJobs.find(Task.m_Job.m_Text);
             Ended != m_OwnersOfEndedJobs.end()) {
    Run.m_Account = m_Organisations.account(Ended->second);
    Run.m_HasUnknownSize = true;
  }
  recordProgress(Run, Report, Now);
  ServerRegistry::addRun(S, Report.m_Run, Run);
  if (Run.m_IsSuspect)
    S.m_IsolatedFor = Task.m_Job;
  if (!Wanted) {
    if (T)
      T->m_Runs.push_back({S.m_Registration.m_Id, Report.m_Run.m_Number});
    orderStop(S, Report.m_Run);
    return;
  }
  ++m_Counters.m_Adopted;
  Job->m_HasBegun = true;
  T->m_Runs.push_back({S.m_Registration.m_Id, Report.m_Run.m_Number});
  T->m_LastRunNumber = std::max(T->m_LastRunNumber, Report.m_Run.m_Number);
  if (T->m_Crashes)
    T->m_Crashes->m_IsStartOfEarlierLeader = false;
  Job->removeFromReady(Task);
  m_Jobs.markStarted(*Job);
}

} // namespace pollenspool
