//===- SchedulerRuns.cpp - Starts, stops and ends of runs -----------------===//

#include "base/Log.h"
#include "scheduling/Pacing.h"
#include "scheduling/Scheduler.h"
#include "scheduling/StallDetection.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Pause before a lasting task that failed is started again, so that one that
/// fails at once is no busy loop.
constexpr Duration LastingRestartPause = std::chrono::milliseconds(100);
/// Pause before a server that refused is tried again.
constexpr Duration RefusalPause = std::chrono::milliseconds(700);
/// Failed runs in a row after which a server is left alone for a while. Tasks
/// fail by their own fault rarely (a few in a thousand), so three in a row are
/// the server's.
constexpr std::uint32_t FailuresToSuspend = 3;
constexpr Duration SuspendFor = std::chrono::seconds(2);

/// How far a server's clock may be behind what we take it to be at the least:
/// answers may overtake each other by this much.
constexpr std::chrono::milliseconds ClockTolerance{1000};

std::string runName(const RunId &Id) {
  return Id.m_Task.m_Job.m_Text + "." + std::to_string(Id.m_Task.m_Occurrence) +
         "." + std::to_string(Id.m_Task.m_Step) + "." +
         std::to_string(Id.m_Task.m_Index) + "#" + std::to_string(Id.m_Number);
}

void forgetPlace(TaskState &T, const ServerId &Server, std::uint32_t Number) {
  auto &Runs = T.m_Runs;
  Runs.erase(std::remove_if(Runs.begin(), Runs.end(),
                            [&](const RunPlace &P) {
                              return P.m_Server == Server &&
                                     P.m_Number == Number;
                            }),
             Runs.end());
}

} // namespace

void Scheduler::checkLife(ServerState &S, const StartReply &Reply,
                          TimePoint Now) {
  if (Reply.m_ClockMs == 0 || !S.m_ClockKnown ||
      Reply.m_ClockMs + ClockTolerance.count() >= S.clockAtLeast(Now))
    return;
  // Its clock has begun anew: another life, whose ends are numbered anew. The
  // next look acknowledges nothing and shows which.
  S.m_Reachable = false;
  S.m_NextLook = Now;
}

void Scheduler::onStartResult(const StartOrder &Order, const StartReply &Reply,
                              TimePoint Now) {
  ServerState *S = m_Servers.find(Order.m_Server.m_Id);
  if (!S)
    return;
  OrderResult R = Reply.m_Result;
  checkLife(*S, Reply, Now);
  auto It = S->m_Runs.find(Order.m_Run);
  if (R == OrderResult::Fenced)
    m_Deposed = true;
  if (It == S->m_Runs.end())
    return;
  ActiveRun &Run = It->second;
  if (R == OrderResult::Done) {
    if (Run.m_Phase == RunPhase::Starting)
      Run.m_Phase = RunPhase::Running;
    Run.m_ConfirmedAt = Now;
    S->m_NextLook = std::min(S->m_NextLook, Now);
    return;
  }
  logEvent(Event::StartNotTaken, {{"run", runName(Order.m_Run)},
                                  {"server", Order.m_Server.m_Id.m_Text},
                                  {"result", std::string(orderResultName(R))}});
  switch (R) {
  case OrderResult::Unknown:
    ++m_Counters.m_Doubtful;
    // A run that is being stopped stays so: the stop also bars a late start.
    if (Run.m_Phase == RunPhase::Starting)
      Run.m_Phase = RunPhase::Doubtful;
    S->m_Reachable = false;
    S->m_NextLook = Now;
    return;
  case OrderResult::OtherLife:
    releaseAllRuns(*S, "another server answers at its address", Now);
    S->m_Registered = false;
    S->m_UnregisteredAt = Now;
    return;
  case OrderResult::NoRoom:
    ++m_Counters.m_NoRoom;
    S->m_SuspendedUntil = Now + RefusalPause / 4;
    break;
  case OrderResult::NotSent:
    S->m_Reachable = false;
    S->m_NextLook = Now;
    break;
  case OrderResult::Late:
    // Our view of its clock is off; the next look corrects it.
    S->m_Vetted = false;
    S->m_NextLook = Now;
    break;
  case OrderResult::Refusing:
    S->m_SuspendedUntil = Now + RefusalPause;
    break;
  case OrderResult::BadTicket:
    m_Advice.dropTicket({Order.m_Run.m_Task.m_Job,
                         Order.m_Run.m_Task.m_Occurrence,
                         Order.m_Run.m_Task.m_Step},
                        Order.m_Server.m_Id);
    break;
  case OrderResult::Invalid:
  case OrderResult::StaleRun:
    S->m_SuspendedUntil = Now + RefusalPause / 4;
    break;
  case OrderResult::Done:
  case OrderResult::Fenced:
    break;
  }
  releaseRun(*S, Order.m_Run, Now);
}

void Scheduler::onStopResult(const StopOrder &Order, OrderResult R,
                             TimePoint Now) {
  if (R == OrderResult::Fenced)
    m_Deposed = true;
  ServerState *S = m_Servers.find(Order.m_Server.m_Id);
  if (!S)
    return;
  auto It = S->m_Runs.find(Order.m_Run);
  if (It == S->m_Runs.end())
    return;
  It->second.m_StopPending = false;
  // An answered stop bars a start that is still on its way; whether the run is
  // gone, the next look shows.
  if (R == OrderResult::Done) {
    It->second.m_ConfirmedAt = Now;
    S->m_NextLook = std::min(S->m_NextLook, Now);
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

void Scheduler::stopRuns(const LiveJob &Job) {
  for (const auto &[Number, O] : Job.m_Occurrences)
    for (std::uint32_t N = 0; N < O.m_Steps.size(); ++N)
      for (std::uint32_t I = 0; I < O.m_Steps[N].m_Tasks.size(); ++I)
        for (const RunPlace &P : O.m_Steps[N].m_Tasks[I].m_Runs)
          if (ServerState *S = m_Servers.find(P.m_Server))
            orderStop(*S, {{Job.m_Spec.m_Id, Number, N, I}, P.m_Number});
}

void Scheduler::stopOtherRuns(const LiveJob &Job, const TaskId &Task) {
  if (const TaskState *T = const_cast<LiveJob &>(Job).task(Task))
    for (const RunPlace &P : T->m_Runs)
      if (ServerState *S = m_Servers.find(P.m_Server))
        orderStop(*S, {Task, P.m_Number});
}

void Scheduler::releaseRun(ServerState &S, const RunId &Id, TimePoint Now) {
  ServerRegistry::removeRun(S, Id);
  LiveJob *Job = m_Jobs.find(Id.m_Task.m_Job);
  TaskState *T = Job ? Job->task(Id.m_Task) : nullptr;
  if (!T)
    return;
  forgetPlace(*T, S.m_Registration.m_Id, Id.m_Number);
  logEvent(Event::TaskAgain, {{"run", runName(Id)},
                              {"server", S.m_Registration.m_Id.m_Text},
                              {"end", "not_there"}});
  if (!isFinal(Job->m_State))
    m_Jobs.requeue(*Job, Id.m_Task, Now);
}

void Scheduler::releaseAllRuns(ServerState &S, const char *Why, TimePoint Now) {
  if (!S.m_Runs.empty())
    logEvent(Event::RunsLost, {{"server", S.m_Registration.m_Id.m_Text},
                               {"runs", std::to_string(S.m_Runs.size())},
                               {"why", Why}});
  while (!S.m_Runs.empty()) {
    RunId Id = S.m_Runs.begin()->first;
    releaseRun(S, Id, Now);
  }
}

void Scheduler::startNewLife(ServerState &S) {
  logEvent(Event::BackendReborn, {{"server", S.m_Registration.m_Id.m_Text},
                                  {"runs", std::to_string(S.m_Runs.size())}});
  S.m_EndsSeen = S.m_EndsRecorded = S.m_EndsAcknowledged = 0;
  S.m_Unrecorded.clear();
  S.m_FailuresInRow = 0;
}

void Scheduler::countServerFailure(ServerState &S, TimePoint Now) {
  if (++S.m_FailuresInRow < FailuresToSuspend)
    return;
  S.m_SuspendedUntil = Now + SuspendFor;
  S.m_OnProbation = true;
  logEvent(Event::BackendSuspended,
           {{"server", S.m_Registration.m_Id.m_Text},
            {"failures_in_row", std::to_string(S.m_FailuresInRow)}});
}

void Scheduler::endRun(ServerState &S, const EndReport &End, TimePoint Now) {
  S.m_EndsSeen = End.m_Number;
  LiveJob *Job = m_Jobs.find(End.m_Run.m_Task.m_Job);
  TaskState *T = Job ? Job->task(End.m_Run.m_Task) : nullptr;
  ServerRegistry::removeRun(S, End.m_Run);
  std::uint64_t Change = 0;
  if (T && !isFinal(Job->m_State)) {
    const TaskId &Task = End.m_Run.m_Task;
    const StepSpec &Step = Job->m_Spec.m_Steps[Task.m_Step];
    forgetPlace(*T, S.m_Registration.m_Id, End.m_Run.m_Number);
    T->m_LastRun = std::max(T->m_LastRun, End.m_Run.m_Number);
    if (!End.m_Saved.empty())
      T->m_Saved = End.m_Saved;
    Duration Pause{0};
    if (End.m_Kind == EndKind::Done && !Step.m_Lasting) {
      if (Step.m_Gang) {
        for (std::uint32_t I = 0; I < Step.m_Count; ++I)
          m_Jobs.markDone(*Job,
                          {Task.m_Job, Task.m_Occurrence, Task.m_Step, I});
      } else if (m_Jobs.markDone(*Job, Task)) {
        stopOtherRuns(*Job, Task);
      }
      Change = ++Job->m_Change;
    } else if (End.m_Kind == EndKind::Failed && !Step.m_Lasting) {
      if (m_Jobs.markFailed(*Job, Task, End.m_Run.m_Number))
        Change = ++Job->m_Change;
      if (Job->m_State == JobState::Failed)
        stopRuns(*Job);
    } else if (Step.m_Lasting) {
      Pause = LastingRestartPause;
    }
    if (End.m_Kind != EndKind::Done)
      logEvent(Event::TaskAgain,
               {{"run", runName(End.m_Run)},
                {"server", S.m_Registration.m_Id.m_Text},
                {"end", std::string(endKindName(End.m_Kind))},
                {"failures", std::to_string(T->m_FailedRuns.size())}});
    if (!isFinal(Job->m_State))
      m_Jobs.requeue(*Job, Task, Now + Pause);
    if (!Step.m_Lasting && End.m_Kind == EndKind::Failed)
      countServerFailure(S, Now);
    else if (!Step.m_Lasting && End.m_Kind == EndKind::Done) {
      S.m_FailuresInRow = 0;
      S.m_OnProbation = false;
    }
  }
  // An end that changes nothing needs no record, but ends are acknowledged in
  // their order.
  if (Change == 0 && S.m_Unrecorded.empty())
    S.m_EndsRecorded = End.m_Number;
  else
    S.m_Unrecorded.push_back({End.m_Number, End.m_Run.m_Task.m_Job, Change});
}

void Scheduler::checkListed(ServerState &S, const LookReply &Reply,
                            TimePoint Now) {
  std::set<RunId> Listed;
  for (const RunReport &Report : Reply.m_Running) {
    Listed.insert(Report.m_Run);
    auto It = S.m_Runs.find(Report.m_Run);
    if (It == S.m_Runs.end()) {
      adoptOrStop(S, Report, Now);
      continue;
    }
    ActiveRun &Run = It->second;
    if (Run.m_Phase == RunPhase::Doubtful) {
      Run.m_Phase = RunPhase::Running;
      Run.m_ConfirmedAt = S.m_LookSentAt;
    }
    noteProgress(Run, Report, Now);
    if (!Report.m_Saved.empty() && Report.m_Saved != Run.m_Saved) {
      Run.m_Saved = Report.m_Saved;
      if (LiveJob *Job = m_Jobs.find(Report.m_Run.m_Task.m_Job))
        if (TaskState *T = Job->task(Report.m_Run.m_Task))
          T->m_Saved = Report.m_Saved;
    }
    if (Run.m_Phase == RunPhase::Stopping && !Run.m_StopPending &&
        Run.m_ConfirmedAt == TimePoint::max())
      orderStop(S, Report.m_Run);
  }
  std::vector<RunId> Gone, Unsure;
  for (const auto &[Id, Run] : S.m_Runs) {
    if (Listed.count(Id))
      continue;
    if (Run.m_ConfirmedAt < S.m_LookSentAt)
      Gone.push_back(Id);
    else if ((Run.m_Phase == RunPhase::Doubtful ||
              Run.m_Phase == RunPhase::Stopping) &&
             !Run.m_StopPending && Run.m_ConfirmedAt == TimePoint::max())
      Unsure.push_back(Id);
  }
  for (const RunId &Id : Gone)
    releaseRun(S, Id, Now);
  for (const RunId &Id : Unsure)
    orderStop(S, Id);
}

void Scheduler::adoptOrStop(ServerState &S, const RunReport &Report,
                            TimePoint Now) {
  const TaskId &Task = Report.m_Run.m_Task;
  LiveJob *Job = m_Jobs.find(Task.m_Job);
  TaskState *T = Job ? Job->task(Task) : nullptr;
  ActiveRun Run;
  Run.m_Phase = RunPhase::Running;
  Run.m_ConfirmedAt = S.m_LookSentAt;
  bool Wanted = T && !T->m_Done && !isFinal(Job->m_State) && T->m_Runs.empty();
  if (Job && Task.m_Step < Job->m_Spec.m_Steps.size()) {
    describeRun(Run, Job->m_Spec.m_Steps[Task.m_Step]);
    Run.m_Pace = UnknownPace;
  }
  noteProgress(Run, Report, Now);
  ServerRegistry::addRun(S, Report.m_Run, Run);
  if (!Wanted) {
    if (T)
      T->m_Runs.push_back({S.m_Registration.m_Id, Report.m_Run.m_Number});
    orderStop(S, Report.m_Run);
    return;
  }
  ++m_Counters.m_Adopted;
  T->m_Runs.push_back({S.m_Registration.m_Id, Report.m_Run.m_Number});
  T->m_LastRun = std::max(T->m_LastRun, Report.m_Run.m_Number);
  Job->unready(Task);
  m_Jobs.markStarted(*Job);
}

} // namespace pollenspool
