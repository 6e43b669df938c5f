//===- FleetSimulationActions.cpp - Actions and backend instances ---------===//

#include "fleet/testing/FleetSimulation.h"

namespace pollenspool {

namespace {

constexpr Duration SenderTimeout = std::chrono::seconds(2);
/// Delay after which a late transaction commits.
constexpr Duration LateEffect = std::chrono::seconds(20);
/// Time that a rebooting instance is listed as Leaving before it is Gone.
constexpr Duration LeavingTime = std::chrono::seconds(4);
constexpr CallPriority Priority = CallPriority::Control;

} // namespace

// Actions of the controllers.

void FleetSimulation::performActions(std::size_t Index) {
  for (const FleetAction &Action :
       m_Entries[Index].m_Controller->takeActions()) {
    if (!m_Entries[Index].m_Running)
      return;
    std::visit([this, Index](const auto &A) { perform(Index, A); }, Action);
  }
}

void FleetSimulation::planStop(std::uint32_t Nth, StopPoint Point,
                               Duration Pause) {
  m_StopAt = m_TransactionCount + Nth;
  m_StopPoint = Point;
  m_StopPause = Pause;
}

void FleetSimulation::stop(std::size_t Index) {
  if (m_StopPause > Duration::zero())
    pauseEntry(Index, m_StopPause);
  else
    killEntry(Index, true);
}

void FleetSimulation::perform(std::size_t Index, const Transact &Action) {
  bool IsRunnerRow = Action.m_Transaction.m_Writes[0].m_Key == RunnerRowKey;
  bool IsStopped = !IsRunnerRow && ++m_TransactionCount == m_StopAt;
  if (IsStopped && m_StopPoint == StopPoint::BeforeSend) {
    // A paused process sends the transaction when its pause is over.
    Transaction Txn = Action.m_Transaction;
    stop(Index);
    runInProcess(Index, Duration::zero(),
                 [this, Index, Txn] { perform(Index, Transact{Txn}); });
    return;
  }
  std::set<InstanceId> Unavailable = m_Entries[Index].m_Unavailable;
  Unavailable.insert(m_Entries[Index].m_Unhealthy.begin(),
                     m_Entries[Index].m_Unhealthy.end());
  Transaction Txn = Action.m_Transaction;
  bool IsLate = chance(m_Faults.m_LateEffect);
  if (IsLate)
    runInProcess(Index, SenderTimeout, [this, Index, Txn] {
      m_Entries[Index].m_Controller->onTransactionResult(
          Txn.m_Token, makeError(ErrorCode::Timeout, "transact"), m_Now);
    });
  schedule(IsLate ? LateEffect : jitter(m_Settings.m_PlatformDelay),
           [this, Index, Txn, Unavailable, IsStopped] {
             commit(Index, Txn, Unavailable, IsStopped);
           });
}

void FleetSimulation::commit(std::size_t Index, const Transaction &Txn,
                             const std::set<InstanceId> &Unavailable,
                             bool IsStopped) {
  auto Before = m_Platform.counts().m_Committed;
  Result<CommitResult> Outcome =
      makeError(ErrorCode::ConnectFailed, "transact");
  if (!m_Entries[Index].m_IsDisconnected)
    Outcome = m_Platform.transact(Txn, Priority);
  if (m_Platform.counts().m_Committed > Before)
    m_Oracle.onCommit(Txn, Unavailable);
  for (const auto &[Id, M] : m_SimulatedInstances)
    m_HasServedInReboot |= M.m_Rebooting && m_Oracle.isServing(Id);
  if (IsStopped && m_StopPoint == StopPoint::AfterEffect)
    stop(Index);
  if (Outcome && chance(m_Faults.m_LostReply))
    Outcome = makeError(ErrorCode::ConnectionLost, "transact");
  runInProcess(Index, jitter(m_Settings.m_PlatformDelay),
               [this, Index, Txn, Outcome, IsStopped] {
                 m_Entries[Index].m_Controller->onTransactionResult(
                     Txn.m_Token, Outcome, m_Now);
                 if (IsStopped && m_StopPoint == StopPoint::AfterReply)
                   stop(Index);
               });
}

void FleetSimulation::perform(std::size_t Index,
                              const DrainStatusQuery &Action) {
  ++m_QueryCount;
  if (chance(m_Faults.m_LostMessage))
    return;
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    if (!(m_Entries[I].m_Id == Action.m_Entry))
      continue;
    ReceivedQuery Query{Action.m_Instance, Action.m_Epoch, Action.m_QueryNumber,
                        Index};
    runInProcess(I, jitter(m_Settings.m_MessageDelay), [this, I, Query] {
      answer(I, Query);
      m_Entries[I].m_PendingQueries.push_back(Query);
      answerPendingQueries(I);
    });
  }
}

void FleetSimulation::perform(std::size_t Index, const RebootInstance &Action) {
  InstanceId Id = Action.m_Instance;
  std::string Token = Action.m_Token;
  schedule(jitter(m_Settings.m_PlatformDelay), [this, Index, Id, Token] {
    bool IsAccepted = !m_Entries[Index].m_IsDisconnected &&
                      bool(m_Platform.reboot(Id, Token, Priority));
    if (IsAccepted && m_RebootTokens.insert(Token).second)
      reboot(Id);
    runInProcess(Index, jitter(m_Settings.m_PlatformDelay),
                 [this, Index, Id, Token, IsAccepted] {
                   m_Entries[Index].m_Controller->onRebootReply(
                       Id, Token, IsAccepted, m_Now);
                 });
  });
}

void FleetSimulation::perform(std::size_t Index, const CheckHealth &Action) {
  InstanceId Id = Action.m_Instance;
  runInProcess(Index, jitter(m_Settings.m_MessageDelay), [this, Index, Id] {
    const SimulatedInstance &M = m_SimulatedInstances[Id];
    // An instance in state Leaving answers until it is Gone.
    bool IsOk = M.m_Actual.m_State != InstanceState::Gone && !M.m_IsUnhealthy;
    m_Entries[Index].m_Controller->onHealth(Id, IsOk, m_Now);
  });
}

void FleetSimulation::perform(std::size_t Index, const RefreshRows &) {
  pollRows(Index, false);
}

void FleetSimulation::perform(std::size_t, const LogEntry &) {}

// Backend instances.

void FleetSimulation::publish(const ListedInstance &Actual) {
  std::string Key = Actual.m_Id.m_Text;
  schedule(Duration(draw(m_Settings.m_ListLag.count() + 1)),
           [this, Key, Actual] {
             ListedInstance &Published = m_PublishedList[Key];
             if (Published.m_Epoch < Actual.m_Epoch)
               Published = Actual;
           });
}

void FleetSimulation::setState(SimulatedInstance &M, InstanceState State) {
  M.m_Actual.m_State = State;
  ++M.m_Actual.m_Epoch;
  publish(M.m_Actual);
}

void FleetSimulation::returnInstance(const InstanceId &Id,
                                     std::uint32_t Generation) {
  SimulatedInstance &M = m_SimulatedInstances[Id];
  if (M.m_Generation != Generation || M.m_NeverReturns)
    return;
  M.m_Rebooting = false;
  M.m_IsUnhealthy = M.m_ReturnsUnhealthy;
  setState(M, InstanceState::Live);
}

void FleetSimulation::reboot(const InstanceId &Id) {
  m_Oracle.onReboot(Id);
  SimulatedInstance &M = m_SimulatedInstances[Id];
  std::uint32_t Generation = ++M.m_Generation;
  M.m_Rebooting = true;
  setState(M, InstanceState::Leaving);
  schedule(LeavingTime, [this, Id, Generation] {
    if (m_SimulatedInstances[Id].m_Generation == Generation)
      setState(m_SimulatedInstances[Id], InstanceState::Gone);
  });
  schedule(m_Settings.m_RebootTime,
           [this, Id, Generation] { returnInstance(Id, Generation); });
}

void FleetSimulation::failInstance(const InstanceId &Id, Duration ReturnDelay) {
  SimulatedInstance &M = m_SimulatedInstances[Id];
  std::uint32_t Generation = ++M.m_Generation;
  setState(M, InstanceState::Gone);
  if (ReturnDelay > Duration::zero())
    schedule(ReturnDelay,
             [this, Id, Generation] { returnInstance(Id, Generation); });
}

std::vector<InstanceId> FleetSimulation::rackOf(const InstanceId &Id) const {
  std::vector<InstanceId> Ids;
  for (const auto &[Other, M] : m_SimulatedInstances)
    if (M.m_Actual.m_Rack == m_SimulatedInstances.at(Id).m_Actual.m_Rack)
      Ids.push_back(Other);
  return Ids;
}

void FleetSimulation::setNeverReturns(const InstanceId &Id, bool Value) {
  m_SimulatedInstances[Id].m_NeverReturns = Value;
}

void FleetSimulation::setReturnsUnhealthy(const InstanceId &Id, bool Value) {
  m_SimulatedInstances[Id].m_ReturnsUnhealthy = Value;
}

void FleetSimulation::reportUnhealthy(const InstanceId &Id, bool IsUnhealthy) {
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    runInProcess(
        I, jitter(m_Settings.m_MessageDelay), [this, I, Id, IsUnhealthy] {
          if (IsUnhealthy)
            m_Entries[I].m_Unhealthy.insert(Id);
          else
            m_Entries[I].m_Unhealthy.erase(Id);
          m_Entries[I].m_Controller->onInstanceUnhealthy(Id, IsUnhealthy);
        });
  }
}

void FleetSimulation::recoverInstances() {
  for (auto &[Id, M] : m_SimulatedInstances) {
    M.m_NeverReturns = false;
    M.m_ReturnsUnhealthy = false;
    M.m_IsUnhealthy = false;
    reportUnhealthy(Id, false);
    if (M.m_Actual.m_State == InstanceState::Live)
      continue;
    std::uint32_t Generation = ++M.m_Generation;
    returnInstance(Id, Generation);
  }
}

// Operators.

void FleetSimulation::order(std::size_t Index, const Result<Transaction> &Txn) {
  if (!Txn)
    return;
  const Transaction &Sent = Txn.value();
  std::set<InstanceId> Unavailable = m_Entries[Index].m_Unavailable;
  schedule(jitter(m_Settings.m_PlatformDelay), [this, Sent, Unavailable] {
    auto Outcome = m_Platform.transact(Sent, Priority);
    if (Outcome && Outcome.value().isCommitted())
      m_Oracle.onCommit(Sent, Unavailable);
  });
}

const FleetView &FleetSimulation::upToDateView() {
  std::size_t Running = 0;
  while (!m_Entries[Running].m_Running)
    ++Running;
  runFor(m_Settings.m_PollInterval * 2 + m_Settings.m_PlatformDelay * 4);
  return m_Entries[Running].m_Controller->view();
}

} // namespace pollenspool
