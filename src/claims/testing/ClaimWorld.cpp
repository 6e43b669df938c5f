//===- ClaimWorld.cpp - Claim cores on a simulated network ----------------===//

#include "claims/testing/ClaimWorld.h"
#include <algorithm>

namespace pollenspool::claims {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(20);
constexpr Duration PlatformTimeout = std::chrono::seconds(1);
constexpr Duration LatestCommit = std::chrono::seconds(3);

Error lost() { return makeError(ErrorCode::Timeout, "transact", "world"); }
Error refused() {
  return makeError(ErrorCode::ConnectFailed, "transact", "world");
}

} // namespace

ClaimWorld::ClaimWorld(std::uint64_t Seed, ClaimSettings Settings)
    : m_Random(Seed), m_Settings(std::move(Settings)),
      m_Current(m_Settings.m_Entries.size()) {}

bool ClaimWorld::chance(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(m_Random) < Share;
}

Duration ClaimWorld::delay(Duration Most) {
  std::uniform_int_distribution<Duration::rep> Pick(1, Most.count());
  return Duration(Pick(m_Random));
}

/// Until the platform has done a transaction that is sent now.
Duration ClaimWorld::platformDelay() {
  TimePoint Arrival = m_Now + delay(m_Faults.m_PlatformDelay);
  m_PlatformFreeAt =
      std::max(Arrival, m_PlatformFreeAt) + m_Faults.m_TransactionTime;
  return m_PlatformFreeAt - m_Now;
}

void ClaimWorld::at(Duration Delay, std::function<void()> Do) {
  m_Events.push({m_Now + Delay, ++m_LastOrder, std::move(Do)});
}

void ClaimWorld::runFor(Duration Time) {
  TimePoint End = m_Now + Time;
  while (!m_Events.empty() && m_Events.top().m_At <= End) {
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Do();
  }
  m_Now = End;
}

ProcessId ClaimWorld::start(std::size_t Entry) {
  ProcessId Id = ++m_LastProcess;
  ClaimSettings Settings = m_Settings;
  Settings.m_Self = Settings.m_Entries[Entry].m_Id;
  Settings.m_Nonce = Id;
  RunningNode &P = m_Processes[Id];
  P.m_Entry = Entry;
  P.m_Node = std::make_unique<ClaimNode>(Settings, m_Now);
  m_Current[Entry] = Id;
  carryOut(Id);
  tickLater(Id);
  return Id;
}

void ClaimWorld::tickLater(ProcessId Id) {
  post(Id, TickPeriod, [this, Id](ClaimNode &Node, TimePoint Now) {
    Node.tick(Now);
    tickLater(Id);
  });
}

void ClaimWorld::kill(ProcessId Process) {
  m_Processes.erase(Process);
  for (ProcessId &Id : m_Current)
    if (Id == Process)
      Id = 0;
}

void ClaimWorld::pause(ProcessId Process) {
  auto It = m_Processes.find(Process);
  if (It != m_Processes.end())
    It->second.m_Paused = true;
}

void ClaimWorld::resume(ProcessId Process) {
  auto It = m_Processes.find(Process);
  if (It == m_Processes.end() || !It->second.m_Paused)
    return;
  It->second.m_Paused = false;
  for (auto &Do : std::exchange(It->second.m_Backlog, {}))
    post(Process, Duration(0), std::move(Do));
}

bool ClaimWorld::isAlive(ProcessId Process) const {
  return m_Processes.count(Process) != 0;
}

const ClaimNode &ClaimWorld::node(ProcessId Process) const {
  return *m_Processes.at(Process).m_Node;
}

void ClaimWorld::setPlatformCut(std::size_t Entry, bool Cut) {
  if (Cut)
    m_PlatformCuts.insert(Entry);
  else
    m_PlatformCuts.erase(Entry);
}

void ClaimWorld::setCut(std::size_t A, std::size_t B, bool Cut) {
  std::pair<std::size_t, std::size_t> Link = std::minmax(A, B);
  if (Cut)
    m_Cuts.insert(Link);
  else
    m_Cuts.erase(Link);
}

void ClaimWorld::heal() {
  m_Faults = WorldFaults();
  m_PlatformCuts.clear();
  m_Cuts.clear();
}

void ClaimWorld::post(ProcessId Process, Duration Delay,
                      std::function<void(ClaimNode &, TimePoint)> Do) {
  at(Delay, [this, Process, Do = std::move(Do)]() mutable {
    auto It = m_Processes.find(Process);
    if (It == m_Processes.end())
      return;
    if (It->second.m_Paused)
      return It->second.m_Backlog.push_back(std::move(Do));
    Do(*It->second.m_Node, m_Now);
    carryOut(Process);
  });
}

void ClaimWorld::carryOut(ProcessId Id) {
  for (const Action &A : m_Processes.at(Id).m_Node->takeActions())
    std::visit([&](const auto &Do) { this->carryOut(Id, Do); }, A);
}

std::size_t ClaimWorld::indexOf(const EntryId &Entry) const {
  auto It =
      std::find_if(m_Settings.m_Entries.begin(), m_Settings.m_Entries.end(),
                   [&](const auto &E) { return E.m_Id == Entry; });
  return static_cast<std::size_t>(It - m_Settings.m_Entries.begin());
}

void ClaimWorld::carryOut(ProcessId Id, const CallPeer &Call) {
  ++m_Messages;
  // The time-out is reported even after a reply; the core has to cope.
  post(Id, m_Settings.m_PeerTimeout,
       [C = Call.m_Call](ClaimNode &Node, TimePoint Now) {
         Node.onReply(C, nullptr, Now);
       });
  if (chance(m_Faults.m_LoseRequest))
    return;
  int Copies = chance(m_Faults.m_Duplicate) ? 2 : 1;
  for (int I = 0; I < Copies; ++I)
    at(delay(m_Faults.m_MaxDelay), [this, Id, Call] { deliver(Id, Call); });
}

void ClaimWorld::deliver(ProcessId From, const CallPeer &Call) {
  auto Sender = m_Processes.find(From);
  if (Sender == m_Processes.end())
    return;
  std::size_t FromEntry = Sender->second.m_Entry;
  std::size_t To = indexOf(Call.m_Peer);
  bool Cut = m_Cuts.count(std::minmax(FromEntry, To)) != 0;
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

void ClaimWorld::carryOut(ProcessId Id, const Respond &Response) {
  auto It = m_Replies.find(Response.m_Handle.m_Id);
  if (It == m_Replies.end())
    return;
  ReplyPath To = std::move(It->second);
  m_Replies.erase(It);
  auto Asker = m_Processes.find(To.m_Asker);
  if (Asker == m_Processes.end() || chance(m_Faults.m_LoseReply))
    return;
  std::size_t FromEntry = m_Processes.at(Id).m_Entry;
  if (m_Cuts.count(std::minmax(FromEntry, Asker->second.m_Entry)) != 0)
    return;
  Reply Read = decodeReply(To.m_Path, encodeReply(Response.m_Reply)).value();
  post(To.m_Asker, delay(m_Faults.m_MaxDelay),
       [Call = To.m_Call, Read](ClaimNode &Node, TimePoint Now) {
         Node.onReply(Call, &Read, Now);
       });
}

bool ClaimWorld::isPlatformCut(ProcessId Id) const {
  auto It = m_Processes.find(Id);
  return It == m_Processes.end() || m_ProcessCuts.count(Id) != 0 ||
         m_PlatformCuts.count(It->second.m_Entry) != 0;
}

void ClaimWorld::transacted(ProcessId Id, Duration Delay,
                            Result<CommitResult> Done) {
  post(Id, Delay, [Done = std::move(Done)](ClaimNode &Node, TimePoint Now) {
    Node.onTransacted(Done, Now);
  });
}

void ClaimWorld::carryOut(ProcessId Id, const RunTransaction &Call) {
  auto Run = [this, Txn = Call.m_Transaction] {
    return m_Table.transact(Txn, CallPriority::Claim);
  };
  if (isPlatformCut(Id))
    return chance(0.5)
               ? transacted(Id, delay(m_Faults.m_PlatformDelay), refused())
               : transacted(Id, PlatformTimeout, lost());
  if (chance(m_Faults.m_FailCall))
    return transacted(Id, PlatformTimeout, lost());
  if (chance(m_Faults.m_LateCommit)) {
    at(delay(LatestCommit), [Run] { (void)Run(); });
    return transacted(Id, delay(PlatformTimeout), lost());
  }
  bool LosesReply = chance(m_Faults.m_LoseCommit);
  Duration Done = m_Faults.m_TransactionTime.count() > 0
                      ? platformDelay()
                      : delay(m_Faults.m_PlatformDelay);
  at(Done, [this, Id, Run, LosesReply] {
    Result<CommitResult> Decided = Run();
    if (LosesReply || isPlatformCut(Id))
      return transacted(Id, PlatformTimeout, lost());
    transacted(Id, delay(m_Faults.m_PlatformDelay), std::move(Decided));
  });
}

void ClaimWorld::carryOut(ProcessId Id, const ReadRows &Call) {
  auto Answer = [this, Id](Duration Delay, Result<RowSet> Done) {
    post(Id, Delay, [Done = std::move(Done)](ClaimNode &Node, TimePoint Now) {
      Node.onRead(Done, Now);
    });
  };
  if (isPlatformCut(Id) || chance(m_Faults.m_FailCall))
    return Answer(PlatformTimeout, lost());
  at(delay(m_Faults.m_PlatformDelay), [this, Answer, Keys = Call.m_Keys] {
    Answer(delay(m_Faults.m_PlatformDelay),
           m_Table.read(Keys, CallPriority::Safety));
  });
}

void ClaimWorld::carryOut(ProcessId Id, const Decide &Decision) {
  if (m_OnDecide)
    m_OnDecide(Id, Decision.m_Token, Decision.m_Reply);
}

} // namespace pollenspool::claims
