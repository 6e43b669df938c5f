//===- SimServers.cpp - Backend servers on a virtual clock ----------------===//

#include "scheduling/testing/SimServers.h"
#include <algorithm>
#include <stdexcept>

namespace pollenspool {

namespace {

/// Start of a cancelled job's task that is still allowed.
constexpr Duration CancelledStartsFor = std::chrono::seconds(3);

std::string nameOf(const RunId &Run) {
  return Run.m_Task.m_Job.m_Text + "." +
         std::to_string(Run.m_Task.m_Occurrence) + "." +
         std::to_string(Run.m_Task.m_Step) + "." +
         std::to_string(Run.m_Task.m_Index) + "#" +
         std::to_string(Run.m_Number);
}

} // namespace

bool VirtualClock::runUntil(TimePoint End) {
  while (!m_Events.empty() && m_Events.top().m_At <= End) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = std::max(m_Now, Next.m_At);
    Next.m_What();
  }
  m_Now = End;
  return !m_Events.empty();
}

void RunOracle::breach(const char *Rule, const RunId &Run) {
  throw std::runtime_error(std::string(Rule) + ": " + nameOf(Run) +
                           m_Tasks[Run.m_Task].m_History);
}

void RunOracle::note(const RunId &Run, const ServerId &Server,
                     std::string_view What) {
  auto At = std::chrono::duration_cast<std::chrono::milliseconds>(
                m_Clock.m_Now.time_since_epoch()) %
            std::chrono::hours(1);
  m_Tasks[Run.m_Task].m_History += "\n  " + std::to_string(At.count()) +
                                   " ms: #" + std::to_string(Run.m_Number) +
                                   " on " + Server.m_Text + " " +
                                   std::string(What);
}

void RunOracle::onJob(const JobSpec &Spec, std::uint32_t Attempts) {
  m_Jobs[Spec.m_Id] = {Spec, Attempts};
}

void RunOracle::onCancelled(const JobId &Id, TimePoint Now) {
  m_Cancelled[Id] = Now;
}

void RunOracle::onStart(const ServerId &Server, const RunId &Run,
                        TimePoint Now) {
  note(Run, Server, "started");
  auto Known = m_Jobs.find(Run.m_Task.m_Job);
  if (Known == m_Jobs.end())
    breach("a run of a job that nobody submitted", Run);
  auto Over = m_Cancelled.find(Run.m_Task.m_Job);
  if (Over != m_Cancelled.end() && Now > Over->second + CancelledStartsFor)
    breach("a start long after the job was cancelled", Run);
  Task &T = m_Tasks[Run.m_Task];
  if (!T.m_RunningOn.empty())
    breach("two runs of one task at once", Run);
  if (T.m_DoneForgotten)
    breach("a start after a done end was forgotten", Run);
  const StepSpec &Step = Known->second.m_Spec.m_Steps[Run.m_Task.m_Step];
  if (!Step.m_Lasting && T.m_FailedForgotten.size() >= Known->second.m_Attempts)
    breach("a start after all attempts have failed", Run);
  for (std::uint32_t Earlier : Step.m_After)
    for (std::uint32_t I = 0; I < Known->second.m_Spec.m_Steps[Earlier].m_Count;
         ++I)
      if (!m_Tasks[{Run.m_Task.m_Job, Run.m_Task.m_Occurrence, Earlier, I}]
               .m_Done)
        breach("a start before an earlier step was done", Run);
  T.m_RunningOn.insert(Server);
}

void RunOracle::onEnd(const ServerId &Server, const RunId &Run, EndKind Kind) {
  Task &T = m_Tasks[Run.m_Task];
  T.m_RunningOn.erase(Server);
  note(Run, Server, endKindName(Kind));
  if (Kind == EndKind::Done)
    T.m_Done = true;
}

void RunOracle::onForgotten(const ServerId &Server, const RunId &Run,
                            EndKind Kind) {
  note(Run, Server, "forgotten");
  Task &T = m_Tasks[Run.m_Task];
  if (Kind == EndKind::Done)
    T.m_DoneForgotten = true;
  if (Kind == EndKind::Failed)
    T.m_FailedForgotten.insert(Run.m_Number);
}

SimServer::SimServer(VirtualClock &Time, std::mt19937_64 &Random,
                     RunOracle &Oracle, ServerRegistration R)
    : m_Registration(std::move(R)), m_Clock(Time), m_Random(Random),
      m_Oracle(Oracle), m_BornAt(Time.m_Now) {}

std::int64_t SimServer::clockMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(m_Clock.m_Now -
                                                               m_BornAt)
             .count() +
         1;
}

void SimServer::extend(std::int64_t UntilMs) {
  if (UntilMs <= m_LeaseUntilMs)
    return;
  m_LeaseUntilMs = UntilMs;
  m_Clock.after(std::chrono::milliseconds(m_LeaseUntilMs - clockMs()),
                [this, Born = m_BornAt] {
                  if (Born == m_BornAt)
                    checkLease();
                });
}

void SimServer::checkLease() {
  if (clockMs() < m_LeaseUntilMs)
    return;
  while (!m_Runs.empty()) {
    RunId Id = m_Runs.begin()->first;
    end(Id, EndKind::Lapsed);
  }
}

OrderResult SimServer::start(const StartOrder &Order, Duration Work,
                             bool Fails) {
  if (Order.m_Term < m_Fence)
    return OrderResult::Fenced;
  m_Fence = Order.m_Term;
  auto Over = m_HighestOver.find(Order.m_Run.m_Task);
  bool Stale =
      Over != m_HighestOver.end() && Order.m_Run.m_Number <= Over->second;
  if (Order.m_LeaseUntilMs <= clockMs())
    return OrderResult::Late;
  extend(Order.m_LeaseUntilMs);
  if (m_Runs.count(Order.m_Run))
    return OrderResult::Done;
  if (Stale)
    return OrderResult::StaleRun;
  Resources Used = m_Used;
  Used += m_Needs[Order.m_Run.m_Task];
  if (!Used.fitsIn(m_Registration.m_Capacity))
    return OrderResult::NoRoom;
  m_Oracle.onStart(m_Registration.m_Id, Order.m_Run, m_Clock.m_Now);
  m_Used = Used;
  m_Runs[Order.m_Run] = {Work, Duration(0), m_Clock.m_Now, Fails, 0};
  scheduleEnd(Order.m_Run);
  return OrderResult::Done;
}

void SimServer::scheduleEnd(const RunId &Id) {
  Run &R = m_Runs[Id];
  R.m_Token = m_NextToken++;
  auto Left =
      std::chrono::duration_cast<Duration>((R.m_Work - R.m_Done) * m_Slowness);
  m_Clock.after(Left, [this, Id, Token = R.m_Token] {
    auto It = m_Runs.find(Id);
    if (It != m_Runs.end() && It->second.m_Token == Token)
      end(Id, It->second.m_Fails ? EndKind::Failed : EndKind::Done);
  });
}

Duration SimServer::workDone(const Run &R) const {
  return R.m_Done + std::chrono::duration_cast<Duration>(
                        (m_Clock.m_Now - R.m_Since) / m_Slowness);
}

void SimServer::setSlowness(double Factor) {
  for (auto &[Id, R] : m_Runs) {
    R.m_Done = workDone(R);
    R.m_Since = m_Clock.m_Now;
  }
  m_Slowness = Factor;
  for (auto &[Id, R] : m_Runs)
    scheduleEnd(Id);
}

OrderResult SimServer::stop(const StopOrder &Order) {
  if (Order.m_Term < m_Fence)
    return OrderResult::Fenced;
  m_Fence = Order.m_Term;
  std::uint32_t &Over = m_HighestOver[Order.m_Run.m_Task];
  Over = std::max(Over, Order.m_Run.m_Number);
  auto It = m_Runs.find(Order.m_Run);
  if (It != m_Runs.end())
    m_Clock.after(std::chrono::milliseconds(100 + m_Random() % 300),
                  [this, Id = Order.m_Run, Born = m_BornAt] {
                    if (Born == m_BornAt && m_Runs.count(Id))
                      end(Id, EndKind::Stopped);
                  });
  return OrderResult::Done;
}

void SimServer::end(const RunId &Id, EndKind Kind) {
  m_Runs.erase(Id);
  m_Used -= m_Needs[Id.m_Task];
  std::uint32_t &Over = m_HighestOver[Id.m_Task];
  Over = std::max(Over, Id.m_Number);
  m_Ends.push_back({m_NextEnd++, Id, Kind, ""});
  m_Oracle.onEnd(m_Registration.m_Id, Id, Kind);
  answerWaiters();
}

void SimServer::look(const LookOrder &Order,
                     std::function<void(OrderResult, LookReply)> Then) {
  if (Order.m_Term < m_Fence)
    return Then(OrderResult::Fenced, {});
  m_Fence = Order.m_Term;
  extend(Order.m_LeaseUntilMs);
  while (!m_Ends.empty() && m_Ends.front().m_Number <= Order.m_EndsRecorded) {
    m_Oracle.onForgotten(m_Registration.m_Id, m_Ends.front().m_Run,
                         m_Ends.front().m_Kind);
    m_Ends.erase(m_Ends.begin());
  }
  if (Order.m_Wait.count() == 0 || !m_Ends.empty())
    return Then(OrderResult::Done, lists());
  std::uint64_t Token = m_NextToken++;
  m_Waiters.push_back({Order, std::move(Then), Token});
  m_Clock.after(Order.m_Wait, [this, Token] {
    for (std::size_t I = 0; I < m_Waiters.size(); ++I)
      if (m_Waiters[I].m_Token == Token) {
        auto Answer = std::move(m_Waiters[I].m_Then);
        m_Waiters.erase(m_Waiters.begin() + static_cast<long>(I));
        Answer(OrderResult::Done, lists());
        return;
      }
  });
}

void SimServer::answerWaiters() {
  auto Waiters = std::move(m_Waiters);
  m_Waiters.clear();
  for (Waiter &W : Waiters)
    W.m_Then(OrderResult::Done, lists());
}

LookReply SimServer::lists() const {
  LookReply Reply;
  Reply.m_ClockMs = clockMs();
  Reply.m_BornMs = m_Registration.m_BornMs;
  for (const auto &[Id, R] : m_Runs) {
    auto Done = workDone(R) * 100 / std::max(Duration(1), R.m_Work);
    Reply.m_Running.push_back({Id, "", static_cast<int>(Done), 0});
  }
  Reply.m_Ended = m_Ends;
  return Reply;
}

void SimServer::crash() {
  for (const auto &[Id, R] : m_Runs)
    m_Oracle.onEnd(m_Registration.m_Id, Id, EndKind::Lapsed);
  m_Runs.clear();
  m_Ends.clear();
  // Its connections are reset.
  auto Waiters = std::move(m_Waiters);
  m_Waiters.clear();
  for (Waiter &W : Waiters)
    W.m_Then(OrderResult::Unknown, {});
  m_HighestOver.clear();
  m_Used = {};
  m_Fence = 0;
  m_NextEnd = 1;
  m_LeaseUntilMs = 0;
  m_BornAt = m_Clock.m_Now;
  ++m_Registration.m_BornMs;
}

} // namespace pollenspool
