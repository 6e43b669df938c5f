//===- FleetWorldActions.cpp - Actions, backend instances, operators ------===//

#include "fleet/testing/FleetWorld.h"

namespace pollenspool {

namespace {

constexpr Duration SenderTimeout = std::chrono::seconds(2);
constexpr Duration LateEffect = std::chrono::seconds(20);
constexpr Duration LeavingTime = std::chrono::seconds(4);
constexpr CallPriority Priority = CallPriority::Control;

} // namespace

// Actions of the controllers.

void FleetWorld::act(std::size_t Index) {
  for (const FleetAction &Action :
       m_Entries[Index].m_Controller->takeActions()) {
    if (!m_Entries[Index].m_Running)
      return;
    std::visit([this, Index](const auto &A) { doAction(Index, A); }, Action);
  }
}

void FleetWorld::planStop(std::uint32_t Nth, StopPoint Point, Duration Pause) {
  m_StopAt = m_TransactionCount + Nth;
  m_StopPoint = Point;
  m_StopPause = Pause;
}

void FleetWorld::stop(std::size_t Index) {
  if (m_StopPause > Duration::zero())
    pauseEntry(Index, m_StopPause);
  else
    killEntry(Index, true);
}

void FleetWorld::doAction(std::size_t Index, const Transact &Action) {
  bool IsRunnerRow = Action.m_Transaction.m_Writes[0].m_Key == RunnerRowKey;
  bool IsStopped = !IsRunnerRow && ++m_TransactionCount == m_StopAt;
  if (IsStopped && m_StopPoint == StopPoint::BeforeSend) {
    // A paused process sends after its pause.
    Transaction Txn = Action.m_Transaction;
    stop(Index);
    deliver(Index, Duration::zero(),
            [this, Index, Txn] { doAction(Index, Transact{Txn}); });
    return;
  }
  std::set<InstanceId> Lost = m_Entries[Index].m_Lost;
  Lost.insert(m_Entries[Index].m_Sick.begin(), m_Entries[Index].m_Sick.end());
  Transaction Txn = Action.m_Transaction;
  bool IsLate = chance(m_Faults.m_LateEffect);
  if (IsLate)
    deliver(Index, SenderTimeout, [this, Index, Txn] {
      m_Entries[Index].m_Controller->onTransactionResult(
          Txn.m_Token, makeError(ErrorCode::Timeout, "transact"), m_Now);
    });
  at(IsLate ? LateEffect : jitter(m_Settings.m_PlatformDelay),
     [this, Index, Txn, Lost, IsStopped] {
       commit(Index, Txn, Lost, IsStopped);
     });
}

void FleetWorld::commit(std::size_t Index, const Transaction &Txn,
                        const std::set<InstanceId> &Lost, bool IsStopped) {
  auto Before = m_Platform.counts().m_Committed;
  Result<CommitResult> Outcome =
      makeError(ErrorCode::ConnectFailed, "transact");
  if (!m_Entries[Index].m_IsCut)
    Outcome = m_Platform.transact(Txn, Priority);
  if (m_Platform.counts().m_Committed > Before)
    m_Oracle.onCommit(Txn, Lost);
  for (const auto &[Id, M] : m_Machines)
    m_HasServedInReboot |= M.m_Rebooting && m_Oracle.isServing(Id);
  if (IsStopped && m_StopPoint == StopPoint::AfterEffect)
    stop(Index);
  if (Outcome && chance(m_Faults.m_LostReply))
    Outcome = makeError(ErrorCode::ConnectionLost, "transact");
  deliver(Index, jitter(m_Settings.m_PlatformDelay),
          [this, Index, Txn, Outcome, IsStopped] {
            m_Entries[Index].m_Controller->onTransactionResult(Txn.m_Token,
                                                               Outcome, m_Now);
            if (IsStopped && m_StopPoint == StopPoint::AfterReply)
              stop(Index);
          });
}

void FleetWorld::doAction(std::size_t Index, const AskDrainStatus &Action) {
  ++m_Questions;
  if (chance(m_Faults.m_LostMessage))
    return;
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    if (!(m_Entries[I].m_Id == Action.m_Entry))
      continue;
    Ask Question{Action.m_Instance, Action.m_Epoch, Action.m_Ask, Index};
    deliver(I, jitter(m_Settings.m_MessageDelay), [this, I, Question] {
      answer(I, Question);
      m_Entries[I].m_Asks.push_back(Question);
      answerAsks(I);
    });
  }
}

void FleetWorld::doAction(std::size_t Index, const RebootInstance &Action) {
  InstanceId Id = Action.m_Instance;
  std::string Token = Action.m_Token;
  at(jitter(m_Settings.m_PlatformDelay), [this, Index, Id, Token] {
    bool IsAccepted = !m_Entries[Index].m_IsCut &&
                      bool(m_Platform.reboot(Id, Token, Priority));
    if (IsAccepted && m_RebootTokens.insert(Token).second)
      reboot(Id);
    deliver(Index, jitter(m_Settings.m_PlatformDelay),
            [this, Index, Id, Token, IsAccepted] {
              m_Entries[Index].m_Controller->onRebootReply(Id, Token,
                                                           IsAccepted, m_Now);
            });
  });
}

void FleetWorld::doAction(std::size_t Index, const CheckHealth &Action) {
  InstanceId Id = Action.m_Instance;
  deliver(Index, jitter(m_Settings.m_MessageDelay), [this, Index, Id] {
    const Machine &M = m_Machines[Id];
    // A leaving instance goes on answering until it is gone.
    bool IsOk = M.m_Truth.m_State != InstanceState::Gone && !M.m_Sick;
    m_Entries[Index].m_Controller->onHealth(Id, IsOk, m_Now);
  });
}

void FleetWorld::doAction(std::size_t Index, const RefreshRows &) {
  pollRows(Index, false);
}

void FleetWorld::doAction(std::size_t, const LogEntry &) {}

// Backend instances.

void FleetWorld::publish(const ListedInstance &Truth) {
  std::string Key = Truth.m_Id.m_Text;
  at(Duration(draw(m_Settings.m_ListLag.count() + 1)), [this, Key, Truth] {
    ListedInstance &Visible = m_Visible[Key];
    if (Visible.m_Epoch < Truth.m_Epoch)
      Visible = Truth;
  });
}

void FleetWorld::setState(Machine &M, InstanceState State) {
  M.m_Truth.m_State = State;
  ++M.m_Truth.m_Epoch;
  publish(M.m_Truth);
}

void FleetWorld::comeBack(const InstanceId &Id, std::uint32_t Generation) {
  Machine &M = m_Machines[Id];
  if (M.m_Generation != Generation || M.m_NeverReturns)
    return;
  M.m_Rebooting = false;
  M.m_Sick = M.m_ReturnsSick;
  setState(M, InstanceState::Live);
}

void FleetWorld::reboot(const InstanceId &Id) {
  m_Oracle.onReboot(Id);
  Machine &M = m_Machines[Id];
  std::uint32_t Generation = ++M.m_Generation;
  M.m_Rebooting = true;
  setState(M, InstanceState::Leaving);
  at(LeavingTime, [this, Id, Generation] {
    if (m_Machines[Id].m_Generation == Generation)
      setState(m_Machines[Id], InstanceState::Gone);
  });
  at(m_Settings.m_RebootTime,
     [this, Id, Generation] { comeBack(Id, Generation); });
}

void FleetWorld::loseInstance(const InstanceId &Id, Duration Back) {
  Machine &M = m_Machines[Id];
  std::uint32_t Generation = ++M.m_Generation;
  setState(M, InstanceState::Gone);
  if (Back > Duration::zero())
    at(Back, [this, Id, Generation] { comeBack(Id, Generation); });
}

std::vector<InstanceId> FleetWorld::rackOf(const InstanceId &Id) const {
  std::vector<InstanceId> Ids;
  for (const auto &[Other, M] : m_Machines)
    if (M.m_Truth.m_Rack == m_Machines.at(Id).m_Truth.m_Rack)
      Ids.push_back(Other);
  return Ids;
}

void FleetWorld::setNeverReturns(const InstanceId &Id, bool Value) {
  m_Machines[Id].m_NeverReturns = Value;
}

void FleetWorld::setReturnsSick(const InstanceId &Id, bool Value) {
  m_Machines[Id].m_ReturnsSick = Value;
}

void FleetWorld::reportSick(const InstanceId &Id, bool IsSick) {
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    deliver(I, jitter(m_Settings.m_MessageDelay), [this, I, Id, IsSick] {
      if (IsSick)
        m_Entries[I].m_Sick.insert(Id);
      else
        m_Entries[I].m_Sick.erase(Id);
      m_Entries[I].m_Controller->onInstanceSick(Id, IsSick);
    });
  }
}

void FleetWorld::healInstances() {
  for (auto &[Id, M] : m_Machines) {
    M.m_NeverReturns = false;
    M.m_ReturnsSick = false;
    M.m_Sick = false;
    reportSick(Id, false);
    if (M.m_Truth.m_State == InstanceState::Live)
      continue;
    std::uint32_t Generation = ++M.m_Generation;
    comeBack(Id, Generation);
  }
}

// Operators.

void FleetWorld::order(std::size_t Index, const Result<Transaction> &Txn) {
  if (!Txn)
    return;
  const Transaction &Sent = Txn.value();
  std::set<InstanceId> Lost = m_Entries[Index].m_Lost;
  at(jitter(m_Settings.m_PlatformDelay), [this, Sent, Lost] {
    auto Outcome = m_Platform.transact(Sent, Priority);
    if (Outcome && Outcome.value().isCommitted())
      m_Oracle.onCommit(Sent, Lost);
  });
}

const FleetView &FleetWorld::freshView() {
  std::size_t Running = 0;
  while (!m_Entries[Running].m_Running)
    ++Running;
  runFor(m_Settings.m_PollInterval * 2 + m_Settings.m_PlatformDelay * 4);
  return m_Entries[Running].m_Controller->view();
}

} // namespace pollenspool
