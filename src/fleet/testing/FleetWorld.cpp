//===- FleetWorld.cpp - Controllers, entry instances and a platform -------===//

#include "fleet/testing/FleetWorld.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr CallPriority Priority = CallPriority::Control;

Document documentOf(const WorldSettings &Settings) {
  Document Doc;
  Doc.m_Pools = Settings.m_Pools;
  return Doc;
}

} // namespace

FleetWorld::FleetWorld(WorldSettings Settings)
    : m_Settings(std::move(Settings)), m_Document(documentOf(m_Settings)),
      m_Random(m_Settings.m_Seed),
      m_Oracle(m_Document,
               [this](const InstanceId &Id) { return inFlight(Id); }) {
  m_Settings.m_Fleet.m_ListLag = m_Settings.m_ListLag;
  build();
}

void FleetWorld::build() {
  for (std::uint32_t D = 0; D < m_Settings.m_DataCentres; ++D) {
    DataCentreEntries Group;
    Group.m_DataCentre = DataCentreName("dc" + std::to_string(D));
    for (std::uint32_t E = 0; E < m_Settings.m_EntriesPerDataCentre; ++E) {
      Entry Made;
      Made.m_Id =
          EntryId("10.0." + std::to_string(D) + "." + std::to_string(E) + ":1");
      Made.m_DataCentre = Group.m_DataCentre;
      Group.m_Entries.push_back(Made.m_Id);
      m_Entries.push_back(std::move(Made));
    }
    m_Settings.m_Fleet.m_DataCentres.push_back(std::move(Group));
  }
  std::uint32_t Number = 0;
  for (const Pool &P : m_Settings.m_Pools)
    for (std::uint32_t I = 0; I < P.m_Instances; ++I)
      addInstance(P.m_Name, Number++);
  for (std::size_t I = 0; I < m_Entries.size(); ++I)
    startEntry(I);
}

void FleetWorld::addInstance(const PoolName &PoolOf, std::uint32_t Number) {
  // Neighbours in a pool stand in different data centres.
  std::uint32_t Place = Number / m_Settings.m_DataCentres;
  std::string Centre = "dc" + std::to_string(Number % m_Settings.m_DataCentres);
  Machine M;
  M.m_Truth.m_Id = InstanceId("i" + std::to_string(1000 + Number));
  M.m_Truth.m_DataCentre = DataCentreName(Centre);
  M.m_Truth.m_Rack = RackName(
      Centre + "-r" + std::to_string(Place / m_Settings.m_InstancesPerRack));
  M.m_Truth.m_Epoch = 1;
  m_Visible[M.m_Truth.m_Id.m_Text] = M.m_Truth;
  m_Ids.push_back(M.m_Truth.m_Id);
  InstanceRow Row{M.m_Truth.m_Id, PoolOf, ServingState::Serving, 1, {}};
  Transaction Txn;
  Txn.m_Writes.push_back(
      {instanceRowKey(Row.m_Id), encodeInstanceRow(Row), false});
  (void)m_Platform.transact(Txn, Priority);
  m_Oracle.onCommit(Txn, {});
  m_Machines[Row.m_Id] = M;
}

// Time.

void FleetWorld::at(Duration Delay, std::function<void()> Run) {
  m_Events.push({m_Now + Delay, m_NextEvent++, std::move(Run)});
}

void FleetWorld::deliver(std::size_t Index, Duration Delay,
                         std::function<void()> Run) {
  std::uint32_t Incarnation = m_Entries[Index].m_Incarnation;
  at(Delay, [this, Index, Incarnation, Run = std::move(Run)] {
    Entry &E = m_Entries[Index];
    if (!E.m_Running || E.m_Incarnation != Incarnation)
      return;
    if (E.m_PausedUntil > m_Now) {
      deliver(Index, E.m_PausedUntil - m_Now, Run);
      return;
    }
    Run();
    if (E.m_Running)
      act(Index);
  });
}

bool FleetWorld::runUntil(const std::function<bool()> &Done, Duration Limit) {
  TimePoint End = m_Now + Limit;
  while (!Done()) {
    if (m_Events.empty() || m_Events.top().m_At > End) {
      m_Now = End;
      return Done();
    }
    Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Run();
  }
  return true;
}

void FleetWorld::runFor(Duration Time) {
  runUntil([] { return false; }, Time);
}

// Entry instances.

bool FleetWorld::isRunning(std::size_t Index) const {
  return m_Entries[Index].m_Running;
}

FleetController &FleetWorld::controller(std::size_t Index) {
  return *m_Entries[Index].m_Controller;
}

void FleetWorld::startEntry(std::size_t Index) {
  Entry &E = m_Entries[Index];
  if (E.m_Running)
    return;
  ++E.m_Incarnation;
  E.m_Running = true;
  E.m_PausedUntil = m_Now;
  E.m_Revision = 0;
  FleetSettings Settings = m_Settings.m_Fleet;
  Settings.m_Self = E.m_Id;
  Settings.m_ProcessToken =
      E.m_Id.m_Text + "#" + std::to_string(E.m_Incarnation);
  auto Made = FleetController::create(std::move(Settings));
  E.m_Controller = std::make_unique<FleetController>(std::move(Made.value()));
  E.m_Controller->onDocument(m_Document);
  ListedInstance Listed;
  Listed.m_Id = InstanceId("entry-" + E.m_Id.m_Text);
  Listed.m_Kind = InstanceKind::Entry;
  Listed.m_DataCentre = E.m_DataCentre;
  Listed.m_Address = E.m_Id.m_Text;
  Listed.m_Epoch = E.m_Incarnation * 2;
  publish(Listed);
  tickEntry(Index);
  pollRows(Index, true);
  askPeers(Index);
  pollList(Index);
  dispatch(Index);
}

void FleetWorld::killEntry(std::size_t Index, bool IsListed) {
  Entry &E = m_Entries[Index];
  if (!E.m_Running)
    return;
  E.m_Running = false;
  E.m_Rows.clear();
  E.m_InFlight.clear();
  E.m_Asks.clear();
  E.m_Lost.clear();
  E.m_Sick.clear();
  if (!IsListed)
    return;
  ListedInstance Listed = m_Visible["entry-" + E.m_Id.m_Text];
  Listed.m_State = InstanceState::Gone;
  Listed.m_Epoch = E.m_Incarnation * 2 + 1;
  publish(Listed);
}

void FleetWorld::pauseEntry(std::size_t Index, Duration Time) {
  m_Entries[Index].m_PausedUntil =
      std::max(m_Entries[Index].m_PausedUntil, m_Now + Time);
}

void FleetWorld::cutEntry(std::size_t Index, bool IsCut) {
  m_Entries[Index].m_IsCut = IsCut;
}

void FleetWorld::tickEntry(std::size_t Index) {
  deliver(Index, m_Settings.m_TickInterval, [this, Index] {
    m_Entries[Index].m_Controller->tick(m_Now);
    tickEntry(Index);
  });
}

void FleetWorld::pollRows(std::size_t Index, bool IsRepeated) {
  if (IsRepeated)
    deliver(Index, jitter(m_Settings.m_PollInterval),
            [this, Index] { pollRows(Index, true); });
  Revision Since = m_Entries[Index].m_Revision;
  std::uint32_t Incarnation = m_Entries[Index].m_Incarnation;
  at(jitter(m_Settings.m_PlatformDelay), [this, Index, Since, Incarnation] {
    auto Rows =
        m_Platform.changes(Since, FleetController::rowPrefixes(), Priority);
    if (!Rows || m_Entries[Index].m_IsCut ||
        m_Entries[Index].m_Incarnation != Incarnation)
      return;
    RowSet Read = Rows.value();
    deliver(Index, jitter(m_Settings.m_PlatformDelay),
            [this, Index, Read] { applyRows(Index, Read); });
  });
}

void FleetWorld::applyRows(std::size_t Index, const RowSet &Rows) {
  Entry &E = m_Entries[Index];
  for (const Row &R : Rows.m_Rows) {
    if (R.m_Key.compare(0, 9, InstanceRowPrefix) != 0 || R.m_Deleted)
      continue;
    InstanceRow Decoded = decodeInstanceRow(R.m_Value).value();
    KnownRow &Known = E.m_Rows[Decoded.m_Id];
    if (Known.m_Revision < R.m_Revision)
      Known = {R.m_Revision, Decoded};
  }
  E.m_Revision = std::max(E.m_Revision, Rows.m_Revision);
  E.m_Controller->onRows(Rows, m_Now);
  answerAsks(Index);
}

/// A starting entry instance takes a peer's rows, in case that the platform is
/// away.
void FleetWorld::askPeers(std::size_t Index) {
  if (!m_Entries[Index].m_Rows.empty())
    return;
  deliver(Index, jitter(m_Settings.m_PollInterval),
          [this, Index] { askPeers(Index); });
  at(jitter(m_Settings.m_MessageDelay), [this, Index] {
    std::size_t Peer = draw(m_Entries.size());
    const Entry &P = m_Entries[Peer];
    if (Peer == Index || !P.m_Running || P.m_PausedUntil > m_Now ||
        !(P.m_DataCentre == m_Entries[Index].m_DataCentre))
      return;
    auto Rows = P.m_Rows;
    deliver(Index, jitter(m_Settings.m_MessageDelay), [this, Index, Rows] {
      for (const auto &[Id, Known] : Rows)
        if (m_Entries[Index].m_Rows[Id].m_Revision < Known.m_Revision)
          m_Entries[Index].m_Rows[Id] = Known;
    });
  });
}

void FleetWorld::pollList(std::size_t Index) {
  deliver(Index, jitter(m_Settings.m_ListInterval),
          [this, Index] { pollList(Index); });
  TimePoint Asked = m_Now;
  std::uint32_t Incarnation = m_Entries[Index].m_Incarnation;
  at(jitter(m_Settings.m_PlatformDelay), [this, Index, Asked, Incarnation] {
    if (!m_Platform.instances(Priority) || m_Entries[Index].m_IsCut ||
        m_Entries[Index].m_Incarnation != Incarnation)
      return;
    std::vector<ListedInstance> List;
    for (const auto &[Id, Listed] : m_Visible)
      List.push_back(Listed);
    deliver(Index, jitter(m_Settings.m_PlatformDelay),
            [this, Index, Asked, List] {
              Entry &E = m_Entries[Index];
              E.m_Lost.clear();
              for (const ListedInstance &L : List)
                if (L.m_State != InstanceState::Live)
                  E.m_Lost.insert(L.m_Id);
              E.m_Controller->onListedInstances(List, Asked);
            });
  });
}

void FleetWorld::dispatch(std::size_t Index) {
  if (m_Settings.m_DispatchInterval <= Duration::zero())
    return;
  deliver(Index, jitter(m_Settings.m_DispatchInterval),
          [this, Index] { dispatch(Index); });
  Entry &E = m_Entries[Index];
  if (E.m_Rows.empty())
    return;
  auto Known = E.m_Rows.begin();
  std::advance(Known, draw(E.m_Rows.size()));
  const InstanceRow &Row = Known->second.m_Row;
  if (Row.m_State != ServingState::Serving || Row.m_Id.empty() ||
      !(m_Machines[Row.m_Id].m_Truth.m_DataCentre == E.m_DataCentre))
    return;
  m_Oracle.onDispatch(Row.m_Id, Row.m_Pool);
  ++E.m_InFlight[Row.m_Id];
  InstanceId Id = Row.m_Id;
  deliver(Index, jitter(m_Settings.m_RequestTime),
          [this, Index, Id] { finishRequest(Index, Id); });
}

void FleetWorld::finishRequest(std::size_t Index, const InstanceId &Id) {
  --m_Entries[Index].m_InFlight[Id];
  answerAsks(Index);
}

std::uint64_t FleetWorld::knownEpoch(const Entry &E, const InstanceId &Id) {
  auto Known = E.m_Rows.find(Id);
  return Known == E.m_Rows.end() ? 0 : Known->second.m_Row.m_Epoch;
}

void FleetWorld::answer(std::size_t Index, const Ask &Question) {
  Entry &E = m_Entries[Index];
  DrainAck Ack;
  Ack.m_Entry = E.m_Id;
  Ack.m_Instance = Question.m_Instance;
  Ack.m_Epoch = knownEpoch(E, Question.m_Instance);
  Ack.m_InFlight = E.m_InFlight[Question.m_Instance];
  Ack.m_Ask = Question.m_Number;
  std::size_t Asker = Question.m_From;
  if (chance(m_Faults.m_LostMessage))
    return;
  deliver(Asker, jitter(m_Settings.m_MessageDelay), [this, Asker, Ack] {
    m_Entries[Asker].m_Controller->onDrainAck(Ack, m_Now);
  });
}

/// Answers again what has become ready since it was asked.
void FleetWorld::answerAsks(std::size_t Index) {
  Entry &E = m_Entries[Index];
  auto IsReady = [this, Index, &E](const Ask &A) {
    if (knownEpoch(E, A.m_Instance) < A.m_Epoch ||
        E.m_InFlight[A.m_Instance] > 0)
      return false;
    answer(Index, A);
    return true;
  };
  E.m_Asks.erase(std::remove_if(E.m_Asks.begin(), E.m_Asks.end(), IsReady),
                 E.m_Asks.end());
}

std::uint32_t FleetWorld::inFlight(const InstanceId &Id) const {
  std::uint32_t Count = 0;
  for (const Entry &E : m_Entries) {
    auto It = E.m_InFlight.find(Id);
    Count += It == E.m_InFlight.end() ? 0 : It->second;
  }
  return Count;
}

} // namespace pollenspool
