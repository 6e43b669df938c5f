//===- FleetSimulation.cpp - Simulation of a fleet ------------------------===//

#include "fleet/testing/FleetSimulation.h"
#include <algorithm>

namespace pollenspool {

namespace {

constexpr CallPriority Priority = CallPriority::Control;

Document documentOf(const FleetSimulationSettings &Settings) {
  Document Doc;
  Doc.m_Pools = Settings.m_Pools;
  return Doc;
}

} // namespace

FleetSimulation::FleetSimulation(FleetSimulationSettings Settings)
    : m_Settings(std::move(Settings)), m_Document(documentOf(m_Settings)),
      m_Random(m_Settings.m_Seed),
      m_Oracle(m_Document,
               [this](const InstanceId &Id) { return inFlight(Id); }) {
  m_Settings.m_Fleet.m_ListLag = m_Settings.m_ListLag;
  build();
}

void FleetSimulation::build() {
  for (std::uint32_t D = 0; D < m_Settings.m_DataCentres; ++D) {
    DataCentreEntries Group;
    Group.m_DataCentre = DataCentreName("dc" + std::to_string(D));
    for (std::uint32_t E = 0; E < m_Settings.m_EntriesPerDataCentre; ++E) {
      Entry NewEntry;
      NewEntry.m_Id =
          EntryId("10.0." + std::to_string(D) + "." + std::to_string(E) + ":1");
      NewEntry.m_DataCentre = Group.m_DataCentre;
      Group.m_Entries.push_back(NewEntry.m_Id);
      m_Entries.push_back(std::move(NewEntry));
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

void FleetSimulation::addInstance(const PoolName &AssignedPool,
                                  std::uint32_t Number) {
  // Consecutive instances of a pool are in different data centres.
  std::uint32_t Position = Number / m_Settings.m_DataCentres;
  std::string DataCentre =
      "dc" + std::to_string(Number % m_Settings.m_DataCentres);
  SimulatedInstance M;
  M.m_Actual.m_Id = InstanceId("i" + std::to_string(1000 + Number));
  M.m_Actual.m_DataCentre = DataCentreName(DataCentre);
  M.m_Actual.m_Rack =
      RackName(DataCentre + "-r" +
               std::to_string(Position / m_Settings.m_InstancesPerRack));
  M.m_Actual.m_Epoch = 1;
  m_PublishedList[M.m_Actual.m_Id.m_Text] = M.m_Actual;
  m_Ids.push_back(M.m_Actual.m_Id);
  InstanceRow Row{M.m_Actual.m_Id, AssignedPool, ServingState::Serving, 1, {}};
  Transaction Txn;
  Txn.m_Writes.push_back(
      {instanceRowKey(Row.m_Id), encodeInstanceRow(Row), false});
  (void)m_Platform.transact(Txn, Priority);
  m_Oracle.onCommit(Txn, {});
  m_SimulatedInstances[Row.m_Id] = M;
}

// Time.

void FleetSimulation::schedule(Duration Delay, std::function<void()> Callback) {
  m_Events.push({m_Now + Delay, m_NextEvent++, std::move(Callback)});
}

void FleetSimulation::runInProcess(std::size_t Index, Duration Delay,
                                   std::function<void()> Callback) {
  std::uint32_t Incarnation = m_Entries[Index].m_Incarnation;
  schedule(Delay, [this, Index, Incarnation, Callback = std::move(Callback)] {
    Entry &E = m_Entries[Index];
    if (!E.m_Running || E.m_Incarnation != Incarnation)
      return;
    if (E.m_PausedUntil > m_Now) {
      runInProcess(Index, E.m_PausedUntil - m_Now, Callback);
      return;
    }
    Callback();
    if (E.m_Running)
      performActions(Index);
  });
}

bool FleetSimulation::runUntil(const std::function<bool()> &Done,
                               Duration Limit) {
  TimePoint End = m_Now + Limit;
  while (!Done()) {
    if (m_Events.empty() || m_Events.top().m_At > End) {
      m_Now = End;
      return Done();
    }
    ScheduledEvent Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Callback();
  }
  return true;
}

void FleetSimulation::runFor(Duration Time) {
  runUntil([] { return false; }, Time);
}

// Entry instances.

bool FleetSimulation::isRunning(std::size_t Index) const {
  return m_Entries[Index].m_Running;
}

FleetController &FleetSimulation::controller(std::size_t Index) {
  return *m_Entries[Index].m_Controller;
}

void FleetSimulation::startEntry(std::size_t Index) {
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
  auto Controller = FleetController::create(std::move(Settings));
  E.m_Controller =
      std::make_unique<FleetController>(std::move(Controller.value()));
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
  copyPeerRows(Index);
  pollList(Index);
  dispatch(Index);
}

void FleetSimulation::killEntry(std::size_t Index, bool IsListed) {
  Entry &E = m_Entries[Index];
  if (!E.m_Running)
    return;
  E.m_Running = false;
  E.m_Rows.clear();
  E.m_InFlight.clear();
  E.m_PendingQueries.clear();
  E.m_Unavailable.clear();
  E.m_Unhealthy.clear();
  if (!IsListed)
    return;
  ListedInstance Listed = m_PublishedList["entry-" + E.m_Id.m_Text];
  Listed.m_State = InstanceState::Gone;
  Listed.m_Epoch = E.m_Incarnation * 2 + 1;
  publish(Listed);
}

void FleetSimulation::pauseEntry(std::size_t Index, Duration Time) {
  m_Entries[Index].m_PausedUntil =
      std::max(m_Entries[Index].m_PausedUntil, m_Now + Time);
}

void FleetSimulation::setDisconnected(std::size_t Index, bool IsDisconnected) {
  m_Entries[Index].m_IsDisconnected = IsDisconnected;
}

void FleetSimulation::tickEntry(std::size_t Index) {
  runInProcess(Index, m_Settings.m_TickInterval, [this, Index] {
    m_Entries[Index].m_Controller->tick(m_Now);
    tickEntry(Index);
  });
}

void FleetSimulation::pollRows(std::size_t Index, bool IsRepeated) {
  if (IsRepeated)
    runInProcess(Index, jitter(m_Settings.m_PollInterval),
                 [this, Index] { pollRows(Index, true); });
  Revision Since = m_Entries[Index].m_Revision;
  std::uint32_t Incarnation = m_Entries[Index].m_Incarnation;
  schedule(
      jitter(m_Settings.m_PlatformDelay), [this, Index, Since, Incarnation] {
        auto Rows =
            m_Platform.changes(Since, FleetController::rowPrefixes(), Priority);
        if (!Rows || m_Entries[Index].m_IsDisconnected ||
            m_Entries[Index].m_Incarnation != Incarnation)
          return;
        RowSet Read = Rows.value();
        runInProcess(Index, jitter(m_Settings.m_PlatformDelay),
                     [this, Index, Read] { applyRows(Index, Read); });
      });
}

void FleetSimulation::applyRows(std::size_t Index, const RowSet &Rows) {
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
  answerPendingQueries(Index);
}

/// Copies the rows of a peer to a starting entry instance, which otherwise has
/// none while the platform is unreachable.
void FleetSimulation::copyPeerRows(std::size_t Index) {
  if (!m_Entries[Index].m_Rows.empty())
    return;
  runInProcess(Index, jitter(m_Settings.m_PollInterval),
               [this, Index] { copyPeerRows(Index); });
  schedule(jitter(m_Settings.m_MessageDelay), [this, Index] {
    std::size_t Peer = draw(m_Entries.size());
    const Entry &P = m_Entries[Peer];
    if (Peer == Index || !P.m_Running || P.m_PausedUntil > m_Now ||
        !(P.m_DataCentre == m_Entries[Index].m_DataCentre))
      return;
    auto Rows = P.m_Rows;
    runInProcess(Index, jitter(m_Settings.m_MessageDelay), [this, Index, Rows] {
      for (const auto &[Id, Known] : Rows)
        if (m_Entries[Index].m_Rows[Id].m_Revision < Known.m_Revision)
          m_Entries[Index].m_Rows[Id] = Known;
    });
  });
}

void FleetSimulation::pollList(std::size_t Index) {
  runInProcess(Index, jitter(m_Settings.m_ListInterval),
               [this, Index] { pollList(Index); });
  TimePoint RequestedAt = m_Now;
  std::uint32_t Incarnation = m_Entries[Index].m_Incarnation;
  schedule(jitter(m_Settings.m_PlatformDelay), [this, Index, RequestedAt,
                                                Incarnation] {
    if (!m_Platform.instances(Priority) || m_Entries[Index].m_IsDisconnected ||
        m_Entries[Index].m_Incarnation != Incarnation)
      return;
    std::vector<ListedInstance> List;
    for (const auto &[Id, Listed] : m_PublishedList)
      List.push_back(Listed);
    runInProcess(Index, jitter(m_Settings.m_PlatformDelay),
                 [this, Index, RequestedAt, List] {
                   Entry &E = m_Entries[Index];
                   E.m_Unavailable.clear();
                   for (const ListedInstance &L : List)
                     if (L.m_State != InstanceState::Live)
                       E.m_Unavailable.insert(L.m_Id);
                   E.m_Controller->onListedInstances(List, RequestedAt);
                 });
  });
}

void FleetSimulation::dispatch(std::size_t Index) {
  if (m_Settings.m_DispatchInterval <= Duration::zero())
    return;
  runInProcess(Index, jitter(m_Settings.m_DispatchInterval),
               [this, Index] { dispatch(Index); });
  Entry &E = m_Entries[Index];
  if (E.m_Rows.empty())
    return;
  auto Known = E.m_Rows.begin();
  std::advance(Known, draw(E.m_Rows.size()));
  const InstanceRow &Row = Known->second.m_Row;
  if (Row.m_State != ServingState::Serving || Row.m_Id.empty() ||
      !(m_SimulatedInstances[Row.m_Id].m_Actual.m_DataCentre == E.m_DataCentre))
    return;
  m_Oracle.onDispatch(Row.m_Id, Row.m_Pool);
  ++E.m_InFlight[Row.m_Id];
  InstanceId Id = Row.m_Id;
  runInProcess(Index, jitter(m_Settings.m_RequestTime),
               [this, Index, Id] { finishRequest(Index, Id); });
}

void FleetSimulation::finishRequest(std::size_t Index, const InstanceId &Id) {
  --m_Entries[Index].m_InFlight[Id];
  answerPendingQueries(Index);
}

std::uint64_t FleetSimulation::knownEpoch(const Entry &E,
                                          const InstanceId &Id) {
  auto Known = E.m_Rows.find(Id);
  return Known == E.m_Rows.end() ? 0 : Known->second.m_Row.m_Epoch;
}

void FleetSimulation::answer(std::size_t Index, const ReceivedQuery &Query) {
  Entry &E = m_Entries[Index];
  DrainAck Ack;
  Ack.m_Entry = E.m_Id;
  Ack.m_Instance = Query.m_Instance;
  Ack.m_Epoch = knownEpoch(E, Query.m_Instance);
  Ack.m_InFlight = E.m_InFlight[Query.m_Instance];
  Ack.m_QueryNumber = Query.m_Number;
  std::size_t Sender = Query.m_Sender;
  if (chance(m_Faults.m_LostMessage))
    return;
  runInProcess(Sender, jitter(m_Settings.m_MessageDelay), [this, Sender, Ack] {
    m_Entries[Sender].m_Controller->onDrainAck(Ack, m_Now);
  });
}

/// Answers the pending queries whose epoch has been reached and whose instance
/// has no requests in flight.
void FleetSimulation::answerPendingQueries(std::size_t Index) {
  Entry &E = m_Entries[Index];
  auto IsReady = [this, Index, &E](const ReceivedQuery &A) {
    if (knownEpoch(E, A.m_Instance) < A.m_Epoch ||
        E.m_InFlight[A.m_Instance] > 0)
      return false;
    answer(Index, A);
    return true;
  };
  E.m_PendingQueries.erase(std::remove_if(E.m_PendingQueries.begin(),
                                          E.m_PendingQueries.end(), IsReady),
                           E.m_PendingQueries.end());
}

std::uint32_t FleetSimulation::inFlight(const InstanceId &Id) const {
  std::uint32_t Count = 0;
  for (const Entry &E : m_Entries) {
    auto It = E.m_InFlight.find(Id);
    Count += It == E.m_InFlight.end() ? 0 : It->second;
  }
  return Count;
}

} // namespace pollenspool
