//===- Scheduler.cpp - Jobs, servers and answers to polls -----------------===//

#include "scheduling/Scheduler.h"
#include "base/Log.h"
#include "scheduling/Pacing.h"
#include <algorithm>
#include <iterator>
#include <utility>

namespace pollenspool {

namespace {

/// Delay between two polls of a server that does not answer.
constexpr Duration PollRetryDelay = std::chrono::milliseconds(250);
/// Maximum factor by which PollRetryDelay grows with each failed poll.
constexpr std::uint32_t MaxPollBackoff = 4;
/// The run ends of an idle server are acknowledged after this delay if no other
/// poll has done so.
constexpr Duration AcknowledgeDelay = std::chrono::milliseconds(500);
/// Added to the time for which runs of an earlier leader may continue.
constexpr Duration TakeoverMargin = std::chrono::milliseconds(500);
/// Delay between two polls of a server whose run ends cannot be recorded yet.
/// Such a server answers at once, because it lists these ends again.
constexpr Duration UnrecordedPollSpacing = std::chrono::milliseconds(150);

/// Whether \p L shows that the instance of \p S was moved or shut down.
bool isOrderedAway(const ServerState &S, const InstanceListing &L) {
  return L.m_Condition == InstanceCondition::Moving ||
         L.m_Condition == InstanceCondition::Maintenance ||
         L.m_Pool != S.m_Registration.m_Pool;
}

} // namespace

Scheduler::Scheduler(const SchedulerOptions &Options, SchedulerOrders &Orders,
                     TimePoint Now)
    : m_Options(Options), m_Orders(Orders), m_TermBegunAt(Now) {
  // No earlier leader can have started runs before the first term.
  if (Options.m_Term > 1)
    m_UnknownRunsUntil = Now + Options.m_EarlierLeaderTimeout +
                         std::chrono::duration_cast<Duration>(
                             Options.m_Lease / MinServerClockRate) +
                         TakeoverMargin;
}

std::unique_ptr<Scheduler> Scheduler::create(const SchedulerOptions &Options,
                                             SchedulerOrders &Orders,
                                             TimePoint Now) {
  return std::unique_ptr<Scheduler>(new Scheduler(Options, Orders, Now));
}

void Scheduler::onConfig(std::shared_ptr<const ServingConfig> Config) {
  m_Config = std::move(Config);
  m_Organisations.onConfig(*m_Config);
  m_ReservedAt.reset();
  m_QueueRegistry.onConfig(m_Config);
  applyRules();
}

void Scheduler::applyRules() {
  for (auto &[Pool, Queue] : m_Queues)
    Queue.removeIf([](const LiveJob &, std::int64_t) { return true; });
  for (auto &[Id, Job] : m_Jobs.all()) {
    applyRules(*Job);
    if (!Job->m_Ready.empty())
      m_Jobs.markNewlyReady(*Job);
  }
}

void Scheduler::onJob(JobSpec Spec, JobProgress Progress, RowVersion Accepted,
                      RowVersion State, TimePoint Now,
                      std::chrono::milliseconds Wall) {
  if (m_Jobs.find(Spec.m_Id) || isFinal(Progress.m_State))
    return;
  LiveJob &Job = m_Jobs.add(std::move(Spec), std::move(Progress), Accepted,
                            State, Now, Wall);
  Job.m_Account = m_Organisations.account(Job.m_Spec.m_Organisation);
  // Jobs of earlier terms were counted by their leaders.
  if (Job.m_Account && Accepted > m_Options.m_TermVersion)
    Job.m_IsBeyondShare = !m_Shares.onAccepted(Job.m_Spec.m_Organisation,
                                               Job.m_Account->m_Weight, Now);
  auto [Queue, IsRuleChange] =
      m_QueueRegistry.addJob(Job.m_Spec.m_Queue, Job.m_Spec.m_Rules);
  Job.m_Queue = Queue;
  if (IsRuleChange)
    applyRules();
  else
    applyRules(Job);
  if (Job.m_OccurrencesDone == Job.m_Spec.occurrences()) {
    Job.m_State = JobState::Completed;
    m_Jobs.markDirty(Job);
  }
}

void Scheduler::onJobEnded(const JobId &Id) {
  LiveJob *Job = m_Jobs.find(Id);
  if (!Job)
    return;
  stopRunsOfJob(*Job);
  m_Advice.removeJob(Id);
  cancelPlannedStarts(*Job);
  if (Job->m_PlacementQueue)
    Job->m_PlacementQueue->remove(*Job);
  checkEndWaiters(*Job);
  m_QueueRegistry.removeJob(Job->m_Spec.m_Queue);
  m_Jobs.remove(Id);
}

void Scheduler::onServer(const ServerRegistration &R, TimePoint Now) {
  ServerState *Known = m_Servers.find(R.m_Id);
  std::int64_t KnownStart = Known ? Known->m_Registration.m_StartTimeMs : 0;
  bool NewIncarnation = KnownStart != 0 && R.m_StartTimeMs > KnownStart;
  ServerState &S = m_Servers.upsert(R, Now, m_Options.m_CapacitySettlingTime);
  S.m_IsHeld = m_HeldServers.count(R.m_Id) != 0;
  m_ForgottenServers.erase(R.m_Id);
  m_UnacknowledgedPoolsChanged = true;
  if (KnownStart == 0)
    return;
  // Only the server's own list tells which runs the new incarnation
  // has. Until it arrives, the recorded state describes the known incarnation.
  S.m_Registration.m_StartTimeMs = KnownStart;
  if (NewIncarnation)
    suspectRestart(S, Now);
}

void Scheduler::onServerUnregistered(const ServerId &Id, TimePoint Now) {
  ServerState *S = m_Servers.find(Id);
  if (!S || !S->m_Registered)
    return;
  m_Servers.markUnregistered(*S, Now);
}

void Scheduler::markSuspected(const ServerId &Id, TimePoint Now) {
  if (ServerState *S = m_Servers.find(Id)) {
    S->m_Reachable = false;
    S->m_SuspectedAt = Now;
    S->m_NextPoll = Now;
    ServerRegistry::markChanged(*S);
  }
}

void Scheduler::onServerTerminated(const ServerId &Id, TimePoint Now) {
  ServerState *S = m_Servers.find(Id);
  if (!S)
    return;
  ServerRegistry::excludeLateStarts(*S);
  rescheduleAllRuns(*S, RunLoss::ServerEnded,
                    "its instance was moved or shut down", Now);
  S->m_LeasesEnd = Now;
  m_Servers.markUnregistered(*S, Now - RegistrationGrace);
}

void Scheduler::onInstances(std::vector<InstanceListing> List, TimePoint Asked,
                            TimePoint Now) {
  m_Instances = std::move(List);
  m_InstancesKnown = true;
  m_UnacknowledgedPoolsChanged = true;
  std::map<InstanceId, const InstanceListing *> ById;
  for (const InstanceListing &L : m_Instances) {
    ById[L.m_Id] = &L;
    if (L.m_Condition == InstanceCondition::Down && Now < m_UnknownRunsUntil)
      m_PoolsWithEarlierCrashes.insert(L.m_Pool);
  }
  std::set<ServerId> Forgotten;
  for (const InstanceListing &L : m_Instances)
    if (m_ForgottenServers.count(L.m_Server) != 0)
      Forgotten.insert(L.m_Server);
  m_ForgottenServers = std::move(Forgotten);
  for (auto &[Id, S] : m_Servers.all()) {
    auto It = ById.find(S.m_Registration.m_Instance);
    const bool WasListedAsGone = std::exchange(S.m_IsListedAsGone, false);
    if (It == ById.end())
      continue;
    const InstanceListing &L = *It->second;
    // An instance of the spare pool is listed without a server. An answer or a
    // registration that arrived after the list was requested shows that the
    // list may be older than the server.
    S.m_IsListedAsGone = (L.m_Condition != InstanceCondition::Up ||
                          L.m_Pool != S.m_Registration.m_Pool ||
                          (!L.m_Server.empty() && L.m_Server != Id)) &&
                         S.m_ClockAt < Asked && S.m_RegisteredAt <= Asked;
    if (S.m_IsListedAsGone && !WasListedAsGone)
      S.m_GoneSince = Now;
    if (!S.m_IsListedAsGone || S.m_Reachable ||
        (S.m_Runs.empty() && S.m_LapsedRuns.empty()))
      continue;
    const bool IsMoved = isOrderedAway(S, L);
    // Another server follows, or is there already. A crashed one may be back
    // under its ID.
    if (IsMoved || (!L.m_Server.empty() && L.m_Server != Id))
      ServerRegistry::excludeLateStarts(S);
    rescheduleAllRuns(
        S, IsMoved ? RunLoss::ServerEnded : S.lossAtEnd(),
        "the platform lists its instance as not up or with another server",
        Now);
  }
}

void Scheduler::mergeStoredProgress(LiveJob &Job, const JobProgress &Stored) {
  const JobId &Id = Job.m_Spec.m_Id;
  m_Jobs.releaseRecorded(Job, Stored);
  for (const auto &[Where, Bits] : Stored.m_Done)
    for (std::uint32_t I = 0; I < Bits.size(); ++I) {
      TaskId Task{Id, Where.first, Where.second, I};
      if (Bits[I] && m_Jobs.markDone(Job, Task))
        stopRunsOfTask(Job, Task);
    }
  for (const auto &[Where, Runs] : Stored.m_Failures)
    for (std::uint32_t Run : Runs) {
      TaskId Task{Id, std::get<0>(Where), std::get<1>(Where),
                  std::get<2>(Where)};
      if (Job.task(Task))
        m_Jobs.markFailed(Job, Task, Run);
    }
  for (const auto &[Where, Runs] : Stored.m_Crashes)
    for (const CrashedRun &Run : Runs)
      countCrashedRun(
          Job, {Id, std::get<0>(Where), std::get<1>(Where), std::get<2>(Where)},
          Run, "of an earlier leader");
  JobRegistry::markStartsRecorded(Job, Stored.m_StartedSteps);
  Job.m_OtherPools.insert(Stored.m_OtherPools.begin(),
                          Stored.m_OtherPools.end());
}

bool Scheduler::isRecorded(const UnrecordedEnd &End) {
  LiveJob *Job = m_Jobs.find(End.m_Job);
  return !Job || Job->m_RecordedChangeNumber >= End.m_ChangeNumber;
}

bool Scheduler::removeRecordedEnds(ServerState &S) {
  ++m_Counters.m_EndsCompared;
  bool Any = false;
  // Ends have to be acknowledged in order.
  while (!S.m_UnrecordedEnds.empty() &&
         isRecorded(S.m_UnrecordedEnds.front())) {
    S.m_LastRecordedEnd = S.m_UnrecordedEnds.front().m_Number;
    S.m_UnrecordedEnds.pop_front();
    Any = true;
  }
  return Any;
}

void Scheduler::awaitRecord(ServerState &S) {
  if (S.m_UnrecordedEnds.empty())
    return;
  EndWaiter Waiter{S.m_Registration.m_Id, ++S.m_EndWaiterNumber};
  LiveJob *Job = m_Jobs.find(S.m_UnrecordedEnds.front().m_Job);
  (Job ? Job->m_EndWaiters : m_EndsToCheck).push_back(std::move(Waiter));
}

void Scheduler::checkEndWaiters(LiveJob &Job) {
  m_EndsToCheck.insert(m_EndsToCheck.end(),
                       std::make_move_iterator(Job.m_EndWaiters.begin()),
                       std::make_move_iterator(Job.m_EndWaiters.end()));
  Job.m_EndWaiters.clear();
}

void Scheduler::markRecorded(LiveJob &Job, std::uint64_t ChangeNumber) {
  Job.m_RecordedChangeNumber = ChangeNumber;
  checkEndWaiters(Job);
}

void Scheduler::onProgressRecorded(TimePoint Now) {
  for (const EndWaiter &Waiter : std::exchange(m_EndsToCheck, {})) {
    ServerState *S = m_Servers.find(Waiter.m_Server);
    if (!S || Waiter.m_Number != S->m_EndWaiterNumber)
      continue;
    ServerRegistry::markChanged(*S);
    if (removeRecordedEnds(*S))
      S->m_NextPoll =
          std::min(S->m_NextPoll, Now + (S->m_Runs.empty() && !S->m_HasMoreEnds
                                             ? AcknowledgeDelay
                                             : Duration(0)));
    awaitRecord(*S);
  }
}

void Scheduler::tick(TimePoint Now, std::chrono::milliseconds Wall,
                     const Authority &Granted) {
  m_UnacknowledgedPoolsChanged |=
      m_Authority.m_IsTermConfirmed != Granted.m_IsTermConfirmed;
  m_Authority = Granted;
  m_Jobs.releaseDue(Wall);
  // The job of an end may have gone, so that no record of it follows.
  if (!m_EndsToCheck.empty())
    onProgressRecorded(Now);
  expireLeases(Now);
  if (m_Config && !m_Superseded)
    placeReady(Now);
  if (!m_Superseded)
    sendDuePolls(Now);
}

void Scheduler::expireLeases(TimePoint Now) {
  std::vector<ServerId> Removable;
  for (ServerState *Due : m_Servers.due().collect(Now)) {
    ServerState &S = *Due;
    ++m_Counters.m_ServersChecked;
    ServerRegistry::growCapacity(S, Now);
    // While the term is unconfirmed, a later leader may exist and may have
    // extended the leases.
    if (!S.hasOnlyLateStarts() && Now >= S.m_LeasesEnd && !S.m_Reachable &&
        m_Authority.m_IsTermConfirmed) {
      ++m_Counters.m_LeasesExpired;
      rescheduleAllRuns(S, RunLoss::LeaseExpired,
                        "the lease of every run has expired", Now);
    }
    rescheduleLostRuns(S, Now);
    // An end does not count any more once its server's lease has expired.
    if (S.m_HasAcknowledgedTerm && !S.m_HasListedAllRuns && !S.m_Reachable &&
        Now >= S.m_LeasesEnd) {
      S.forgetAcknowledgement();
      m_UnacknowledgedPoolsChanged = true;
    }
    if (!S.m_Registered && S.isIdle() && !S.m_PollPending &&
        Now >= S.m_UnregisteredAt + RegistrationGrace && Now >= S.m_LeasesEnd)
      Removable.push_back(S.m_Registration.m_Id);
  }
  for (const ServerId &Id : Removable) {
    if (m_Servers.find(Id)->isUnreachableForLong())
      m_ForgottenServers.insert(Id);
    m_Servers.erase(Id);
  }
  m_UnacknowledgedPoolsChanged |= !Removable.empty();
}

void Scheduler::onOtherIncarnation(ServerState &S, const std::string &Address,
                                   TimePoint Now) {
  // The server may have restarted at another address while the order was on its
  // way.
  if (Address != S.m_Registration.m_Address) {
    S.m_NextPoll = Now;
    return;
  }
  ServerRegistry::excludeLateStarts(S);
  rescheduleAllRuns(S, S.lossAtEnd(), "another server answered at its address",
                    Now);
  S.m_LeasesEnd = Now;
  m_Servers.markUnregistered(S, Now - RegistrationGrace);
}

void Scheduler::onPollFailed(const PollOrder &Order, OrderResult R,
                             TimePoint Now) {
  ServerState *S = m_Servers.find(Order.m_Server.m_Id);
  if (!S)
    return;
  ServerRegistry::markChanged(*S);
  S->m_PollPending = false;
  S->m_NextPoll =
      Now + PollRetryDelay * std::min(S->m_FailedPolls + 1, MaxPollBackoff);
  if (R == OrderResult::Fenced) {
    m_Superseded = true;
    return;
  }
  // A failure of this process is no evidence against the server.
  if (R == OrderResult::NotAttempted)
    return;
  if (R == OrderResult::OtherIncarnation)
    return onOtherIncarnation(*S, Order.m_Server.m_Address, Now);
  noteGrant(*S, Order.m_LeaseUntilMs, 0, Now);
  if (S->m_Reachable)
    logEvent(Event::BackendSilent,
             {{"server", Order.m_Server.m_Id.m_Text},
              {"runs", std::to_string(S->m_Runs.size())},
              {"result", std::string(orderResultName(R))}});
  noteSilence(*S, R, Now - S->m_PollSentAt, Order.m_Timeout, Now);
  ++S->m_FailedPolls;
}

void Scheduler::releaseReported(const PollReply &Reply) {
  auto Release = [this](const TaskId &Task) {
    if (LiveJob *Job = m_Jobs.findUnreleased(Task.m_Job))
      m_Jobs.releaseThrough(*Job, Task.m_Occurrence);
  };
  for (const EndReport &End : Reply.m_Ended)
    Release(End.m_Run.m_Task);
  for (const RunReport &Report : Reply.m_Running)
    Release(Report.m_Run.m_Task);
}

void Scheduler::onPollReply(const PollOrder &Order, const PollReply &Reply,
                            TimePoint Now) {
  ServerState *S = m_Servers.find(Order.m_Server.m_Id);
  if (!S)
    return;
  ServerRegistry::markChanged(*S);
  S->m_PollPending = false;
  bool WasUnreachable = !S->m_Reachable;
  if (WasUnreachable && S->m_FailedPolls > 0)
    logEvent(Event::BackendAnswers,
             {{"server", Order.m_Server.m_Id.m_Text},
              {"failed_looks", std::to_string(S->m_FailedPolls)}});
  S->m_Reachable = S->m_PollSentAt >= S->m_SuspectedAt;
  S->m_FailedPolls = 0;
  noteGrant(*S, Order.m_LeaseUntilMs, Reply.m_ClockMs, Now);
  bool IsNewIncarnation =
      Reply.m_StartTimeMs != 0 && S->m_Registration.m_StartTimeMs != 0 &&
      Reply.m_StartTimeMs != S->m_Registration.m_StartTimeMs;
  if (IsNewIncarnation) {
    countCrashBefore(*S, Reply, Now);
    beginIncarnation(*S);
  } else {
    S->m_LapsedRuns.clear();
    S->m_LastAcknowledgedEnd =
        std::max(S->m_LastAcknowledgedEnd, Order.m_AcknowledgedEndNumber);
  }
  S->m_Registration.m_StartTimeMs = Reply.m_StartTimeMs;
  if (S->m_Reachable)
    ServerRegistry::withdrawLosses(*S);
  bool First = !S->m_HasAcknowledgedTerm;
  m_UnacknowledgedPoolsChanged |= First;
  S->m_HasAcknowledgedTerm = true;
  if (First)
    S->m_AcknowledgedAt = Now;
  S->m_ClockKnown = true;
  S->m_ClockMs = Reply.m_ClockMs;
  S->m_ClockAt = Now;
  if (First)
    noteEarlierGrants(*S, Reply.m_ClockMs, Now);
  releaseReported(Reply);
  for (const EndReport &End : Reply.m_Ended)
    if (End.m_Number > S->m_LastSeenEnd)
      endRun(*S, End, Now);
  reconcileRuns(*S, Reply,
                IsNewIncarnation ? S->lossAtEnd() : RunLoss::NotListed, Now);
  S->m_HasMoreEnds = Reply.m_HasMoreEnds;
  m_UnacknowledgedPoolsChanged |= !S->m_HasListedAllRuns;
  S->m_HasListedAllRuns |= !Reply.m_HasMoreEnds;
  m_ServersHoldEnds |= !S->m_HasListedAllRuns;
  relocateStalledRuns(*S, Now);
  for (const PaceOrder &Pace : adjustPaces(*S, m_Options.m_Term, Now)) {
    ++m_Counters.m_Paces;
    m_Orders.pace(Pace);
  }
  // The answered poll granted no lease, and the runs that it listed need one at
  // once.
  if (!S->m_Reachable || ((First || WasUnreachable) && !S->m_Runs.empty()) ||
      (S->m_HasMoreEnds && m_Authority.m_IsTermConfirmed &&
       S->m_LastRecordedEnd > S->m_LastAcknowledgedEnd))
    S->m_NextPoll = Now;
  else if (!S->m_UnrecordedEnds.empty() || S->m_HasMoreEnds)
    S->m_NextPoll = Now + UnrecordedPollSpacing;
  else
    S->m_NextPoll =
        Now + (S->m_Runs.empty() ? AcknowledgeDelay : pollSpacing());
}

} // namespace pollenspool
