//===- ClaimSimulation.cpp - Claim cores on a simulated network -----------===//

#include "claims/testing/ClaimSimulation.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(20);
constexpr Duration PlatformTimeout = std::chrono::seconds(1);
constexpr Duration MaxCommitDelay = std::chrono::seconds(3);

Error timeoutError() {
  return makeError(ErrorCode::Timeout, "transact", "simulated platform");
}
Error connectError() {
  return makeError(ErrorCode::ConnectFailed, "transact", "simulated platform");
}

} // namespace

ClaimSimulation::ClaimSimulation(std::uint64_t Seed, ClaimSettings Settings)
    : m_Random(Seed), m_Settings(std::move(Settings)),
      m_Current(m_Settings.m_Entries.size()) {}

bool ClaimSimulation::withProbability(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Probability;
}

Duration ClaimSimulation::delay(Duration MaxDelay) {
  std::uniform_int_distribution<Duration::rep> Pick(1, MaxDelay.count());
  return Duration(Pick(m_Random));
}

/// Returns the time until the platform has processed a transaction that is sent
/// now.
Duration ClaimSimulation::platformDelay() {
  TimePoint Arrival = m_Now + delay(m_Faults.m_PlatformDelay);
  m_PlatformFreeAt =
      std::max(Arrival, m_PlatformFreeAt) + m_Faults.m_TransactionTime;
  return m_PlatformFreeAt - m_Now;
}

void ClaimSimulation::schedule(Duration Delay, std::function<void()> Task) {
  m_Events.push({m_Now + Delay, ++m_LastSequence, std::move(Task)});
}

void ClaimSimulation::runFor(Duration Time) {
  TimePoint End = m_Now + Time;
  while (!m_Events.empty() && m_Events.top().m_At <= End) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Task();
  }
  m_Now = End;
}

ProcessId ClaimSimulation::start(std::size_t Entry) {
  ProcessId Id = ++m_LastProcess;
  ClaimSettings Settings = m_Settings;
  Settings.m_Self = Settings.m_Entries[Entry].m_Id;
  Settings.m_Nonce = Id;
  RunningNode &P = m_Processes[Id];
  P.m_Entry = Entry;
  P.m_Node = std::make_unique<ClaimNode>(Settings, m_Now);
  m_Current[Entry] = Id;
  carryOut(Id);
  scheduleTick(Id);
  return Id;
}

void ClaimSimulation::scheduleTick(ProcessId Id) {
  post(Id, TickPeriod, [this, Id](ClaimNode &Node, TimePoint Now) {
    Node.tick(Now);
    scheduleTick(Id);
  });
}

void ClaimSimulation::kill(ProcessId Process) {
  m_Processes.erase(Process);
  for (ProcessId &Id : m_Current)
    if (Id == Process)
      Id = 0;
}

void ClaimSimulation::pause(ProcessId Process) {
  auto It = m_Processes.find(Process);
  if (It != m_Processes.end())
    It->second.m_Paused = true;
}

void ClaimSimulation::resume(ProcessId Process) {
  auto It = m_Processes.find(Process);
  if (It == m_Processes.end() || !It->second.m_Paused)
    return;
  It->second.m_Paused = false;
  for (auto &Task : std::exchange(It->second.m_Backlog, {}))
    post(Process, Duration(0), std::move(Task));
}

bool ClaimSimulation::isAlive(ProcessId Process) const {
  return m_Processes.count(Process) != 0;
}

const ClaimNode &ClaimSimulation::node(ProcessId Process) const {
  return *m_Processes.at(Process).m_Node;
}

void ClaimSimulation::setPlatformCut(std::size_t Entry, bool Cut) {
  if (Cut)
    m_PlatformCuts.insert(Entry);
  else
    m_PlatformCuts.erase(Entry);
}

void ClaimSimulation::setLinkCut(std::size_t A, std::size_t B, bool Cut) {
  std::pair<std::size_t, std::size_t> Link = std::minmax(A, B);
  if (Cut)
    m_LinkCuts.insert(Link);
  else
    m_LinkCuts.erase(Link);
}

void ClaimSimulation::heal() {
  m_Faults = SimulatedFaults();
  m_PlatformCuts.clear();
  m_LinkCuts.clear();
}

void ClaimSimulation::post(ProcessId Process, Duration Delay,
                           std::function<void(ClaimNode &, TimePoint)> Task) {
  schedule(Delay, [this, Process, Task = std::move(Task)]() mutable {
    auto It = m_Processes.find(Process);
    if (It == m_Processes.end())
      return;
    if (It->second.m_Paused)
      return It->second.m_Backlog.push_back(std::move(Task));
    Task(*It->second.m_Node, m_Now);
    carryOut(Process);
  });
}

void ClaimSimulation::carryOut(ProcessId Id) {
  for (const Action &A : m_Processes.at(Id).m_Node->takeActions())
    std::visit([&](const auto &Task) { this->carryOut(Id, Task); }, A);
}

std::size_t ClaimSimulation::indexOf(const EntryId &Entry) const {
  auto It =
      std::find_if(m_Settings.m_Entries.begin(), m_Settings.m_Entries.end(),
                   [&](const auto &E) { return E.m_Id == Entry; });
  return static_cast<std::size_t>(It - m_Settings.m_Entries.begin());
}

void ClaimSimulation::carryOut(ProcessId Id, const CallPeer &Call) {
  ++m_Messages;
  // The time-out is reported even after a reply; the core must ignore it.
  post(Id, m_Settings.m_PeerTimeout,
       [C = Call.m_Call](ClaimNode &Node, TimePoint Now) {
         Node.onReply(C, nullptr, Now);
       });
  if (withProbability(m_Faults.m_LoseRequest))
    return;
  int Copies = withProbability(m_Faults.m_Duplicate) ? 2 : 1;
  for (int I = 0; I < Copies; ++I)
    schedule(delay(m_Faults.m_MaxDelay),
             [this, Id, Call] { deliver(Id, Call); });
}

void ClaimSimulation::deliver(ProcessId From, const CallPeer &Call) {
  auto Sender = m_Processes.find(From);
  if (Sender == m_Processes.end())
    return;
  std::size_t FromEntry = Sender->second.m_Entry;
  std::size_t To = indexOf(Call.m_Peer);
  bool Cut = m_LinkCuts.count(std::minmax(FromEntry, To)) != 0;
  if (Cut || m_Current[To] == 0)
    return;
  std::uint64_t Handle = ++m_LastHandle;
  std::string Path = pathOf(Call.m_Request);
  m_Replies[Handle] = {From, Call.m_Call, Path};
  Request Read = decodeRequest(Path, encodeRequest(Call.m_Request)).value();
  const EntryId &Name = m_Settings.m_Entries[FromEntry].m_Id;
  post(m_Current[To], Duration(0),
       [Handle, Name, Read](ClaimNode &Node, TimePoint Now) {
         Node.onRequest(Handle, Name, Read, Now);
       });
}

void ClaimSimulation::carryOut(ProcessId Id, const Respond &Response) {
  auto It = m_Replies.find(Response.m_Handle.m_Id);
  if (It == m_Replies.end())
    return;
  ReplyPath To = std::move(It->second);
  m_Replies.erase(It);
  auto Requester = m_Processes.find(To.m_Requester);
  if (Requester == m_Processes.end() || withProbability(m_Faults.m_LoseReply))
    return;
  std::size_t FromEntry = m_Processes.at(Id).m_Entry;
  if (m_LinkCuts.count(std::minmax(FromEntry, Requester->second.m_Entry)) != 0)
    return;
  Reply Read = decodeReply(To.m_Path, encodeReply(Response.m_Reply)).value();
  post(To.m_Requester, delay(m_Faults.m_MaxDelay),
       [Call = To.m_Call, Read](ClaimNode &Node, TimePoint Now) {
         Node.onReply(Call, &Read, Now);
       });
}

bool ClaimSimulation::isPlatformCut(ProcessId Id) const {
  auto It = m_Processes.find(Id);
  return It == m_Processes.end() || m_ProcessCuts.count(Id) != 0 ||
         m_PlatformCuts.count(It->second.m_Entry) != 0;
}

void ClaimSimulation::postTransactionResult(ProcessId Id, Duration Delay,
                                            Result<CommitResult> Done) {
  post(Id, Delay, [Done = std::move(Done)](ClaimNode &Node, TimePoint Now) {
    Node.onTransacted(Done, Now);
  });
}

void ClaimSimulation::carryOut(ProcessId Id, const RunTransaction &Call) {
  auto Run = [this, Txn = Call.m_Transaction] {
    return m_Table.transact(Txn, CallPriority::Claim);
  };
  if (isPlatformCut(Id))
    return withProbability(0.5)
               ? postTransactionResult(Id, delay(m_Faults.m_PlatformDelay),
                                       connectError())
               : postTransactionResult(Id, PlatformTimeout, timeoutError());
  if (withProbability(m_Faults.m_FailCall))
    return postTransactionResult(Id, PlatformTimeout, timeoutError());
  if (withProbability(m_Faults.m_LateCommit)) {
    schedule(delay(MaxCommitDelay), [Run] { (void)Run(); });
    return postTransactionResult(Id, delay(PlatformTimeout), timeoutError());
  }
  bool LosesReply = withProbability(m_Faults.m_LoseCommit);
  Duration Done = m_Faults.m_TransactionTime.count() > 0
                      ? platformDelay()
                      : delay(m_Faults.m_PlatformDelay);
  schedule(Done, [this, Id, Run, LosesReply] {
    Result<CommitResult> Decided = Run();
    if (LosesReply || isPlatformCut(Id))
      return postTransactionResult(Id, PlatformTimeout, timeoutError());
    postTransactionResult(Id, delay(m_Faults.m_PlatformDelay),
                          std::move(Decided));
  });
}

void ClaimSimulation::carryOut(ProcessId Id, const ReadRows &Call) {
  auto Answer = [this, Id](Duration Delay, Result<RowSet> Done) {
    post(Id, Delay, [Done = std::move(Done)](ClaimNode &Node, TimePoint Now) {
      Node.onRead(Done, Now);
    });
  };
  if (isPlatformCut(Id) || withProbability(m_Faults.m_FailCall))
    return Answer(PlatformTimeout, timeoutError());
  schedule(delay(m_Faults.m_PlatformDelay), [this, Answer, Keys = Call.m_Keys] {
    Answer(delay(m_Faults.m_PlatformDelay),
           m_Table.read(Keys, CallPriority::Safety));
  });
}

void ClaimSimulation::carryOut(ProcessId Id, const ReportDecision &Decision) {
  if (m_OnDecision)
    m_OnDecision(Id, Decision.m_Token, Decision.m_Reply);
}

} // namespace pollenspool::claims
