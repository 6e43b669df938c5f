//===- SimServers.cpp - Simulated backend servers -------------------------===//

#include "scheduling/testing/SimServers.h"
#include <algorithm>
#include <stdexcept>

namespace pollenspool {

namespace {

/// How long after the cancellation of a job its tasks may still be started.
constexpr Duration CancelledStartGrace = std::chrono::seconds(3);
/// A task that has crashed so many servers may not be started MaxStartsBeyond
/// times more.
constexpr std::uint32_t MaxCrashes = 3;
constexpr std::uint32_t MaxStartsBeyond = 3;
/// A task under which so many servers have crashed may be given up.
constexpr std::uint32_t CrashesToGiveUp = 2;
/// How long a higher cap before still holds. Late orders are carried out up to
/// 6 s after they were given.
constexpr Duration CapGrace = std::chrono::seconds(7);
/// How long earlier rules of a queue still hold, for the same reason.
constexpr Duration RulesGrace = std::chrono::seconds(7);
/// An organisation may exceed its cap by a tenth and one task.
constexpr std::int64_t CapOverageDivisor = 10;

std::string formatRun(const RunId &Run) {
  return Run.m_Task.m_Job.m_Text + "." +
         std::to_string(Run.m_Task.m_Occurrence) + "." +
         std::to_string(Run.m_Task.m_Step) + "." +
         std::to_string(Run.m_Task.m_Index) + "#" +
         std::to_string(Run.m_Number);
}

} // namespace

bool VirtualClock::runUntil(TimePoint End) {
  while (!m_Events.empty() && m_Events.top().m_DueAt <= End) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = std::max(m_Now, Next.m_DueAt);
    Next.m_Callback();
  }
  m_Now = End;
  return !m_Events.empty();
}

void RunOracle::failInvariant(const char *Rule, const RunId &Run) {
  throw std::runtime_error(std::string(Rule) + ": " + formatRun(Run) +
                           m_Tasks[Run.m_Task].m_History);
}

void RunOracle::addToHistory(const RunId &Run, const ServerId &Server,
                             std::string_view What) {
  auto At = std::chrono::duration_cast<std::chrono::milliseconds>(
                m_Clock.m_Now.time_since_epoch()) %
            std::chrono::hours(1);
  m_Tasks[Run.m_Task].m_History += "\n  " + std::to_string(At.count()) +
                                   " ms: #" + std::to_string(Run.m_Number) +
                                   " on " + Server.m_Text + " " +
                                   std::string(What);
}

void RunOracle::onJob(const JobSpec &Job) { m_Jobs[Job.m_Id] = Job; }

void RunOracle::onRules(std::uint32_t Attempts, const PoolName &Pool) {
  m_Rules[m_Clock.m_Now] = {Attempts, Pool};
}

std::vector<RunOracle::Rules> RunOracle::rulesSince(TimePoint From) const {
  std::vector<Rules> Found;
  for (auto It = m_Rules.rbegin(); It != m_Rules.rend(); ++It) {
    Found.push_back(It->second);
    if (It->first + RulesGrace < From)
      break;
  }
  return Found;
}

void RunOracle::checkPool(const ServerRegistration &Server, const RunId &Run) {
  for (const Rules &R : rulesSince(m_Clock.m_Now))
    if (R.m_Pool == Server.m_Pool)
      return;
  failInvariant("start in a pool that the queue has left", Run);
}

void RunOracle::onCancelled(const JobId &Id, TimePoint Now) {
  m_Cancelled[Id] = Now;
}

void RunOracle::onCap(const OrganisationName &Name, const Resources &Cap) {
  m_Organisations[Name].m_Caps[m_Clock.m_Now] = Cap.m_MilliCores;
}

const StepSpec &RunOracle::stepOf(const RunId &Run) const {
  return m_Jobs.at(Run.m_Task.m_Job).m_Steps[Run.m_Task.m_Step];
}

void RunOracle::checkCap(const RunId &Run, TimePoint Now) {
  auto It = m_Organisations.find(m_Jobs.at(Run.m_Task.m_Job).m_Organisation);
  if (It == m_Organisations.end())
    return;
  Organisation &O = It->second;
  std::int64_t Need = stepOf(Run).m_RequiredResources.m_MilliCores;
  O.m_RunningMilliCores += Need;
  std::int64_t Cap = 0;
  for (auto C = O.m_Caps.rbegin(); C != O.m_Caps.rend(); ++C) {
    Cap = std::max(Cap, C->second);
    if (C->first + CapGrace < Now)
      break;
  }
  if (O.m_RunningMilliCores > Cap + Cap / CapOverageDivisor + Need)
    failInvariant("start beyond the cap of its organisation", Run);
}

void RunOracle::onStart(const ServerRegistration &Server, const RunId &Run,
                        TimePoint Now) {
  addToHistory(Run, Server.m_Id, "started");
  auto Submitted = m_Jobs.find(Run.m_Task.m_Job);
  if (Submitted == m_Jobs.end())
    failInvariant("start of a run of a job that was never submitted", Run);
  auto Cancelled = m_Cancelled.find(Run.m_Task.m_Job);
  if (Cancelled != m_Cancelled.end() &&
      Now > Cancelled->second + CancelledStartGrace)
    failInvariant("start too long after the job was cancelled", Run);
  Task &T = m_Tasks[Run.m_Task];
  if (!T.m_RunningOn.empty())
    failInvariant("two runs of a task at the same time", Run);
  const StepSpec &Step = Submitted->second.m_Steps[Run.m_Task.m_Step];
  if (!Step.m_IsLongRunning && T.m_SuccessAcknowledged)
    failInvariant("start after the end of the done task was acknowledged", Run);
  // The number in force when a run fails decides.
  if (!Step.m_IsLongRunning && !T.m_AcknowledgedFailures.empty()) {
    std::uint32_t Most = 0;
    for (const Rules &R : rulesSince(T.m_FailedAt))
      Most = std::max(Most, R.m_Attempts);
    if (T.m_AcknowledgedFailures.size() >= Most)
      failInvariant("start after all attempts of the task have failed", Run);
  }
  checkPool(Server, Run);
  for (std::uint32_t Earlier : Step.m_After)
    if (!isStepDone(Submitted->second, Run.m_Task.m_Occurrence, Earlier))
      failInvariant("start before a step that the task depends on was done",
                    Run);
  if (T.m_CrashesCaused >= MaxCrashes &&
      ++T.m_StartsBeyondLimit >= MaxStartsBeyond)
    failInvariant("three starts of a task that had crashed three servers", Run);
  T.m_RunningOn.insert(Server.m_Id);
  checkCap(Run, Now);
  // A member that starts after another one has ended never begins its work.
  if (m_EndedGangs.count(gangRunOf(Run)))
    endGang(Run, EndKind::GangIncomplete);
}

bool RunOracle::isStepDone(const JobSpec &Spec, std::uint32_t Occurrence,
                           std::uint32_t Step) {
  auto IsDone = [&](std::uint32_t Index) {
    return m_Tasks[{Spec.m_Id, Occurrence, Step, Index}].m_Done;
  };
  std::uint32_t Done = 0;
  for (std::uint32_t I = 0; I < Spec.m_Steps[Step].m_Count; ++I)
    Done += IsDone(I);
  // The members of a gang end together.
  return Spec.m_Steps[Step].m_Gang ? Done > 0
                                   : Done == Spec.m_Steps[Step].m_Count;
}

void RunOracle::release(Task &T, const ServerId &Server, const RunId &Run) {
  if (T.m_RunningOn.erase(Server) == 0)
    return;
  auto It = m_Organisations.find(m_Jobs.at(Run.m_Task.m_Job).m_Organisation);
  if (It != m_Organisations.end())
    It->second.m_RunningMilliCores -=
        stepOf(Run).m_RequiredResources.m_MilliCores;
}

void RunOracle::onLostInCrash(const ServerId &Server, const RunId &Run) {
  Task &T = m_Tasks[Run.m_Task];
  release(T, Server, Run);
  ++T.m_CrashesBeside;
  addToHistory(Run, Server, "lost in a crash");
  endGang(Run, EndKind::GangMemberEnded);
}

void RunOracle::endGang(const RunId &Run, EndKind Kind) {
  if (!m_OnGangMemberGone ||
      !m_Jobs[Run.m_Task.m_Job].m_Steps[Run.m_Task.m_Step].m_Gang)
    return;
  m_EndedGangs.insert(gangRunOf(Run));
  m_OnGangMemberGone(Run,
                     Kind == EndKind::Done ? Kind : EndKind::GangMemberEnded);
}

RunOracle::GangRun RunOracle::gangRunOf(const RunId &Member) {
  TaskId First = Member.m_Task;
  First.m_Index = 0;
  return {First, Member.m_Number};
}

void RunOracle::onCrashBy(const RunId &Run) {
  ++m_Tasks[Run.m_Task].m_CrashesCaused;
}

void RunOracle::onJobFailed(const JobId &Id) {
  auto HasFailedOften = [this](const Task &T) {
    for (const Rules &R : rulesSince(T.m_FailedAt))
      if (T.m_FailedRuns >= R.m_Attempts)
        return true;
    return false;
  };
  auto It = m_Tasks.lower_bound({Id, 0, 0, 0});
  RunId Last;
  for (; It != m_Tasks.end() && It->first.m_Job == Id; ++It) {
    Last.m_Task = It->first;
    if (HasFailedOften(It->second) ||
        It->second.m_CrashesBeside >= CrashesToGiveUp)
      return;
  }
  failInvariant("a job failed without cause", Last);
}

void RunOracle::onEnd(const ServerId &Server, const RunId &Run, EndKind Kind) {
  Task &T = m_Tasks[Run.m_Task];
  release(T, Server, Run);
  addToHistory(Run, Server, endKindName(Kind));
  if (Kind == EndKind::Done)
    T.m_Done = true;
  if (Kind == EndKind::Failed) {
    ++T.m_FailedRuns;
    T.m_FailedAt = m_Clock.m_Now;
  }
  endGang(Run, Kind);
}

void RunOracle::onEndAcknowledged(const ServerId &Server, const RunId &Run,
                                  EndKind Kind) {
  addToHistory(Run, Server, "end acknowledged");
  Task &T = m_Tasks[Run.m_Task];
  if (Kind == EndKind::Done)
    T.m_SuccessAcknowledged = true;
  if (Kind == EndKind::Failed)
    T.m_AcknowledgedFailures.insert(Run.m_Number);
}

SimServer::SimServer(VirtualClock &Time, std::mt19937_64 &Random,
                     RunOracle &Oracle, ServerRegistration R)
    : m_Registration(std::move(R)), m_Clock(Time), m_Random(Random),
      m_Oracle(Oracle), m_StartedAt(Time.m_Now) {}

std::int64_t SimServer::clockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(m_Clock.m_Now -
                                                               m_StartedAt)
             .count() +
         1;
}

void SimServer::extendLease(std::int64_t UntilMs) {
  UntilMs = std::min<std::int64_t>(
      UntilMs,
      clockMs() + std::chrono::duration_cast<std::chrono::milliseconds>(
                      SchedulerOptions().m_MaxLease)
                      .count());
  if (UntilMs <= m_LeaseUntilMs)
    return;
  m_LeaseUntilMs = UntilMs;
  m_Clock.after(std::chrono::milliseconds(m_LeaseUntilMs - clockMs()),
                [this, StartedAt = m_StartedAt] {
                  if (StartedAt == m_StartedAt)
                    checkLease();
                });
}

void SimServer::checkLease() {
  if (clockMs() < m_LeaseUntilMs)
    return;
  while (!m_Runs.empty()) {
    RunId Id = m_Runs.begin()->first;
    endRun(Id, EndKind::LeaseExpired);
  }
}

OrderResult SimServer::start(const StartOrder &Order, Duration Work,
                             bool Fails) {
  if (Order.m_Term < m_HighestTerm)
    return OrderResult::Fenced;
  m_HighestTerm = Order.m_Term;
  auto Ended = m_HighestEndedRun.find(Order.m_Run.m_Task);
  bool Stale =
      Ended != m_HighestEndedRun.end() && Order.m_Run.m_Number <= Ended->second;
  if (Order.m_LeaseUntilMs <= clockMs())
    return OrderResult::LeaseExpiredOnArrival;
  extendLease(Order.m_LeaseUntilMs);
  if (m_Runs.count(Order.m_Run))
    return OrderResult::Done;
  if (Stale)
    return OrderResult::StaleRun;
  Resources Used = m_Used;
  Used += m_TaskResources[Order.m_Run.m_Task];
  if (!Used.fitsIn(m_Registration.m_Capacity))
    return OrderResult::NoCapacity;
  m_Oracle.onStart(m_Registration, Order.m_Run, m_Clock.m_Now);
  m_Used = Used;
  m_Runs[Order.m_Run] = {Work, Duration(0), m_Clock.m_Now, Fails, 0};
  scheduleEnd(Order.m_Run);
  return OrderResult::Done;
}

void SimServer::scheduleEnd(const RunId &Id) {
  Run &R = m_Runs[Id];
  R.m_Token = m_NextToken++;
  auto Remaining = std::chrono::duration_cast<Duration>(
      (R.m_Work - R.m_CompletedWork) * m_Slowness);
  m_Clock.after(Remaining, [this, Id, Token = R.m_Token] {
    auto It = m_Runs.find(Id);
    if (It != m_Runs.end() && It->second.m_Token == Token)
      endRun(Id, It->second.m_Fails ? EndKind::Failed : EndKind::Done);
  });
}

Duration SimServer::workDone(const Run &R) const {
  return R.m_CompletedWork + std::chrono::duration_cast<Duration>(
                                 (m_Clock.m_Now - R.m_UpdatedAt) / m_Slowness);
}

void SimServer::setSlowness(double Factor) {
  for (auto &[Id, R] : m_Runs) {
    R.m_CompletedWork = workDone(R);
    R.m_UpdatedAt = m_Clock.m_Now;
  }
  m_Slowness = Factor;
  for (auto &[Id, R] : m_Runs)
    scheduleEnd(Id);
}

OrderResult SimServer::stop(const StopOrder &Order) {
  if (Order.m_Term < m_HighestTerm)
    return OrderResult::Fenced;
  m_HighestTerm = Order.m_Term;
  std::uint32_t &Highest = m_HighestEndedRun[Order.m_Run.m_Task];
  Highest = std::max(Highest, Order.m_Run.m_Number);
  auto It = m_Runs.find(Order.m_Run);
  if (It != m_Runs.end())
    m_Clock.after(std::chrono::milliseconds(100 + m_Random() % 300),
                  [this, Id = Order.m_Run, StartedAt = m_StartedAt] {
                    if (StartedAt == m_StartedAt && m_Runs.count(Id))
                      endRun(Id, EndKind::Stopped);
                  });
  return OrderResult::Done;
}

void SimServer::endRun(const RunId &Id, EndKind Kind) {
  m_Runs.erase(Id);
  m_Used -= m_TaskResources[Id.m_Task];
  std::uint32_t &Highest = m_HighestEndedRun[Id.m_Task];
  Highest = std::max(Highest, Id.m_Number);
  m_Ends.push_back({m_NextEndNumber++, Id, Kind, ""});
  m_Oracle.onEnd(m_Registration.m_Id, Id, Kind);
  answerPendingPolls();
}

void SimServer::endGangMembers(const RunId &Member, EndKind Kind) {
  std::vector<RunId> Members;
  for (const auto &[Id, R] : m_Runs)
    if (Id.m_Number == Member.m_Number &&
        Id.m_Task.m_Job == Member.m_Task.m_Job &&
        Id.m_Task.m_Occurrence == Member.m_Task.m_Occurrence &&
        Id.m_Task.m_Step == Member.m_Task.m_Step)
      Members.push_back(Id);
  for (const RunId &Id : Members)
    endRun(Id, Kind);
}

void SimServer::poll(const PollOrder &Order,
                     std::function<void(OrderResult, PollReply)> Callback) {
  if (Order.m_Term < m_HighestTerm)
    return Callback(OrderResult::Fenced, {});
  m_HighestTerm = Order.m_Term;
  extendLease(Order.m_LeaseUntilMs);
  while (!m_Ends.empty() &&
         m_Ends.front().m_Number <= Order.m_AcknowledgedEndNumber) {
    m_Oracle.onEndAcknowledged(m_Registration.m_Id, m_Ends.front().m_Run,
                               m_Ends.front().m_Kind);
    m_Ends.erase(m_Ends.begin());
  }
  if (Order.m_Wait.count() == 0 || !m_Ends.empty())
    return Callback(OrderResult::Done, makePollReply());
  std::uint64_t Token = m_NextToken++;
  m_PendingPolls.push_back({Order, std::move(Callback), Token});
  m_Clock.after(Order.m_Wait, [this, Token] {
    for (std::size_t I = 0; I < m_PendingPolls.size(); ++I)
      if (m_PendingPolls[I].m_Token == Token) {
        auto Answer = std::move(m_PendingPolls[I].m_Callback);
        m_PendingPolls.erase(m_PendingPolls.begin() + static_cast<long>(I));
        Answer(OrderResult::Done, makePollReply());
        return;
      }
  });
}

void SimServer::answerPendingPolls() {
  auto Polls = std::move(m_PendingPolls);
  m_PendingPolls.clear();
  for (PendingPoll &P : Polls)
    P.m_Callback(OrderResult::Done, makePollReply());
}

PollReply SimServer::makePollReply() const {
  PollReply Reply;
  Reply.m_ClockMs = clockMs();
  Reply.m_StartTimeMs = m_Registration.m_StartTimeMs;
  for (const auto &[Id, R] : m_Runs) {
    auto Percent = workDone(R) * 100 / std::max(Duration(1), R.m_Work);
    Reply.m_Running.push_back({Id, "", static_cast<int>(Percent), 0});
  }
  const std::size_t Listed = std::min(m_Ends.size(), m_MaxListedEnds);
  Reply.m_Ended.assign(m_Ends.begin(),
                       m_Ends.begin() + static_cast<std::ptrdiff_t>(Listed));
  Reply.m_HasMoreEnds = Listed == m_MaxListedEnds;
  return Reply;
}

void SimServer::crash() {
  for (const auto &[Id, R] : m_Runs)
    m_Oracle.onLostInCrash(m_Registration.m_Id, Id);
  m_Runs.clear();
  m_Ends.clear();
  // The crash resets all connections, so pending polls fail.
  auto Polls = std::move(m_PendingPolls);
  m_PendingPolls.clear();
  for (PendingPoll &P : Polls)
    P.m_Callback(OrderResult::Unknown, {});
  m_HighestEndedRun.clear();
  m_Used = {};
  m_HighestTerm = 0;
  m_NextEndNumber = 1;
  m_LeaseUntilMs = 0;
  m_StartedAt = m_Clock.m_Now;
  ++m_Registration.m_StartTimeMs;
}

} // namespace pollenspool
