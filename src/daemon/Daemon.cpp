//===- Daemon.cpp - An entry instance -------------------------------------===//

#include "daemon/Daemon.h"
#include "base/Log.h"
#include "daemon/DaemonImpl.h"
#include "fleet/Assignment.h"
#include "gateway/HealthCheck.h"
#include <map>
#include <openssl/rand.h>

namespace pollenspool {

namespace {

/// Many workers are needed, since a claim message blocks its worker until the
/// owner's batch of claims is decided.
constexpr std::size_t QuickPeerWorkers = 32;
constexpr std::chrono::milliseconds ClaimDrainTimeout{3000};
constexpr std::chrono::milliseconds HealthCheckTimeout{1000};

std::uint64_t seedOf(const Settings &S) {
  if (S.m_Seed != 0)
    return S.m_Seed;
  std::uint64_t Seed = 0;
  RAND_bytes(reinterpret_cast<unsigned char *>(&Seed), sizeof(Seed));
  return Seed;
}

std::uint32_t localEntryCount(const Settings &S) {
  std::uint32_t Count = 0;
  for (const PeerEntry &Entry : S.m_Entries)
    Count += Entry.m_DataCentre == S.m_DataCentre ? 1 : 0;
  return Count;
}

HttpPlatformSettings platformSettings(const Settings &S) {
  HttpPlatformSettings Out;
  Out.m_Address = S.m_Platform.m_Address;
  Out.m_ConnectTimeout = S.m_Platform.m_ConnectTimeout;
  Out.m_CallTimeout = S.m_Platform.m_CallTimeout;
  return Out;
}

GatewaySettings gatewaySettings(const Settings &S) {
  GatewaySettings Out;
  Out.m_Dispatcher.m_DataCentre = S.m_DataCentre;
  Out.m_Dispatcher.m_EntryInstances = localEntryCount(S);
  Out.m_Dispatcher.m_Seed = seedOf(S);
  Out.m_Backend.m_ConnectTimeout = S.m_Timings.m_BackendConnect;
  return Out;
}

PeerSettings peerSettings(const Settings &S) {
  PeerSettings Out;
  Out.m_Self = EntryId(S.m_Listen.m_Peers);
  Out.m_Listen = S.m_Listen.m_PeersBind.empty() ? S.m_Listen.m_Peers
                                                : S.m_Listen.m_PeersBind;
  Out.m_Workers = S.m_Threads.m_Peers;
  Out.m_QuickWorkers = QuickPeerWorkers;
  return Out;
}

ClaimSettings claimSettings(const Settings &S) {
  ClaimSettings Out;
  Out.m_Self = EntryId(S.m_Listen.m_Peers);
  for (const PeerEntry &Entry : S.m_Entries)
    Out.m_Entries.push_back(EntryInstance{Entry.m_Address, Entry.m_DataCentre});
  Out.m_ClaimLifetime = S.m_Timings.m_ClaimLifetime;
  Out.m_Margin = S.m_Timings.m_ClaimMargin;
  RAND_bytes(reinterpret_cast<unsigned char *>(&Out.m_Nonce),
             sizeof(Out.m_Nonce));
  return Out;
}

FleetSettings fleetSettings(const Settings &S, const std::string &Token) {
  FleetSettings Out;
  Out.m_Self = EntryId(S.m_Listen.m_Peers);
  // Each source of transaction tokens has its own prefix, since a transaction
  // with a repeated token returns the earlier outcome and writes nothing.
  Out.m_ProcessToken = Token + "-fleet";
  Out.m_ListLag = S.m_Timings.m_ListLag;
  std::map<DataCentreName, std::vector<EntryId>> ByCentre;
  for (const PeerEntry &Entry : S.m_Entries)
    ByCentre[Entry.m_DataCentre].push_back(Entry.m_Address);
  for (auto &[Centre, Entries] : ByCentre)
    Out.m_DataCentres.push_back(DataCentreEntries{Centre, Entries});
  return Out;
}

MembershipSettings membershipSettings(const Settings &S) {
  MembershipSettings Out;
  Out.m_Self = EntryId(S.m_Listen.m_Peers);
  Out.m_Incarnation = static_cast<std::uint64_t>(wallNow().count());
  for (const PeerEntry &Entry : S.m_Entries)
    Out.m_Peers.push_back(PeerSite{Entry.m_Address, Entry.m_DataCentre});
  Out.m_DataCentre = S.m_DataCentre;
  Out.m_Interval = S.m_Timings.m_Heartbeat;
  Out.m_Seed = seedOf(S);
  return Out;
}

AdoptionSettings adoptionSettings(const Settings &S) {
  AdoptionSettings Out;
  std::map<DataCentreName, std::vector<EntryId>> Remote;
  for (const PeerEntry &Entry : S.m_Entries) {
    if (Entry.m_Address.m_Text == S.m_Listen.m_Peers)
      continue;
    if (Entry.m_DataCentre == S.m_DataCentre)
      Out.m_LocalPeers.push_back(Entry.m_Address);
    else
      Remote[Entry.m_DataCentre].push_back(Entry.m_Address);
  }
  for (auto &[Centre, Entries] : Remote)
    Out.m_RemotePeers.push_back(std::move(Entries));
  Out.m_Seed = seedOf(S);
  return Out;
}

FleetSyncSettings syncSettings(const Settings &S) {
  return FleetSyncSettings{S.m_DataCentre, S.m_Timings.m_Poll, seedOf(S)};
}

/// Assigns the value of \p Created to \p Slot, or returns its error.
template <typename T> Result<void> assignResult(T &Slot, Result<T> &&Created) {
  if (!Created)
    return Created.error();
  Slot = std::move(Created).value();
  return success();
}

CallerServerSettings callerSettings(const Settings &S) {
  CallerServerSettings Out;
  Out.m_Listen = S.m_Listen.m_Callers;
  Out.m_Threads = S.m_Threads.m_Callers;
  Out.m_DrainGrace = S.m_Timings.m_DrainGrace;
  Out.m_Name = S.m_Name;
  return Out;
}

} // namespace

Daemon::Impl::Impl(const Settings &S)
    : m_Settings(S), m_ProcessToken(generateRequestId().m_Text),
      m_Forwarder(forwardHooks()) {}

Result<void> Daemon::Impl::build() {
  BOOST_OUTCOME_TRYV(assignResult(
      m_Platform, HttpPlatform::create(platformSettings(m_Settings))));
  BOOST_OUTCOME_TRYV(assignResult(
      m_ClaimDriver, ClaimDriver::create(claimSettings(m_Settings), *m_Platform,
                                         m_PeerSender)));
  m_Claims = std::make_unique<ClaimAdapter>(*m_ClaimDriver);
  BOOST_OUTCOME_TRYV(
      assignResult(m_Gateway, Gateway::create(gatewaySettings(m_Settings),
                                              *m_Claims, m_Forwarder)));
  m_Documents =
      std::make_unique<ActiveDocument>([this](const DocumentSnapshot &D) {
        m_Gateway->setDocument(D.m_Document);
        m_Fleet->onDocument(*D.m_Document);
      });
  m_Sync = std::make_unique<FleetSync>(syncSettings(m_Settings), *m_Platform,
                                       *m_Gateway, syncOutputs());
  FleetSettings Fleet = fleetSettings(m_Settings, m_ProcessToken);
  BOOST_OUTCOME_TRYV(
      assignResult(m_Fleet, FleetDriver::create(std::move(Fleet), *m_Platform,
                                                fleetPorts())));
  BOOST_OUTCOME_TRYV(assignResult(
      m_Peers, PeerTransport::create(peerSettings(m_Settings),
                                     m_PeerGate.guard(peerRoutes()))));
  BOOST_OUTCOME_TRYV(assignResult(
      m_Adoption, AdoptionDriver::create(adoptionSettings(m_Settings),
                                         *m_Platform, *m_Peers, *m_Documents)));
  BOOST_OUTCOME_TRYV(assignResult(
      m_Membership, MembershipDriver::create(membershipSettings(m_Settings),
                                             membershipPorts())));
  m_Forwarder.connect(*m_Membership, *m_Peers);
  m_PeerSender.setTransport(*m_Peers);
  BOOST_OUTCOME_TRYV(assignResult(
      m_Callers,
      CallerServer::create(callerSettings(m_Settings), *m_Gateway, m_Forwarder,
                           [this] { return isReady(); })));
  AdminSettings Operators{m_Settings.m_Listen.m_Admin,
                          m_Settings.m_Operators.m_Token};
  BOOST_OUTCOME_TRYV(
      assignResult(m_Admin, AdminServer::create(Operators, adminRoutes())));
  m_PeerGate.open();
  return success();
}

bool Daemon::Impl::isReady() const {
  return m_Documents->current().m_Head.m_Version > 0;
}

FleetSyncOutputs Daemon::Impl::syncOutputs() {
  FleetSyncOutputs Outputs;
  Outputs.m_OnRows = [this](const RowSet &Changes) { onRows(Changes); };
  Outputs.m_OnInstancesListed =
      [this](const std::vector<ListedInstance> &Listed, TimePoint RequestTime) {
        onInstancesListed(Listed, RequestTime);
      };
  Outputs.m_NotifyPeers = [this](const FleetNotice &NewChanges) {
    notifyPeers(NewChanges);
  };
  return Outputs;
}

std::string Daemon::Impl::nextToken() {
  return m_ProcessToken + "-daemon-" + std::to_string(++m_Tokens);
}

void Daemon::Impl::onRows(const RowSet &Changes) {
  m_Fleet->onRows(Changes);
  for (const Row &R : Changes.m_Rows) {
    if (R.m_Key != HeadRowKey || R.m_Deleted)
      continue;
    auto H = decodeHead(R.m_Value);
    if (H)
      m_Adoption->onPlatformHead(H.value());
  }
}

void Daemon::Impl::onInstancesListed(const std::vector<ListedInstance> &Listed,
                                     TimePoint RequestTime) {
  m_Fleet->onInstancesListed(Listed, RequestTime);
  assignNewInstances(Listed);
}

void Daemon::Impl::assignNewInstances(
    const std::vector<ListedInstance> &Listed) {
  DocumentSnapshot Held = m_Documents->current();
  if (!Held.m_Document)
    return;
  std::vector<InstanceRow> Known;
  for (const VersionedRow &Row : m_Sync->fullNotice().m_Rows)
    Known.push_back(Row.m_Row);
  std::vector<InstanceRow> NewRows =
      assignInstances(*Held.m_Document, Listed, Known);
  if (NewRows.empty())
    return;
  auto Done = m_Platform->transact(assignmentTransaction(NewRows, nextToken()),
                                   CallPriority::Control);
  // A conflict means that a peer wrote the rows first; the next poll reads
  // them.
  if (Done)
    m_Sync->pollSoon();
}

FleetPorts Daemon::Impl::fleetPorts() {
  FleetPorts Ports;
  Ports.m_SendDrainStatusQuery = [this](const DrainStatusQuery &Ask) {
    requestDrainStatus(Ask);
  };
  Ports.m_IsHealthy = [](const InstanceId &, const std::string &Where) {
    return passesHealthCheck(Where, HealthCheckTimeout);
  };
  Ports.m_Refresh = [this] { m_Sync->pollSoon(); };
  return Ports;
}

Daemon::Daemon(std::unique_ptr<Impl> Implementation)
    : m_Impl(std::move(Implementation)) {}

Daemon::~Daemon() {
  if (m_Impl->m_Membership)
    m_Impl->m_Membership->stop();
  if (m_Impl->m_Sync)
    m_Impl->m_Sync->stop();
  if (m_Impl->m_Adoption)
    m_Impl->m_Adoption->stop();
  if (m_Impl->m_Peers)
    m_Impl->m_Peers->stop();
}

Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &S) {
  auto Implementation = std::make_unique<Impl>(S);
  BOOST_OUTCOME_TRYV(Implementation->build());
  std::unique_ptr<Daemon> Created(new Daemon(std::move(Implementation)));
  return Created;
}

void Daemon::start() {
  m_Impl->m_Adoption->start();
  m_Impl->m_Membership->start();
  m_Impl->m_Sync->start();
  m_Impl->m_Callers->start();
}

void Daemon::drainAndStop() {
  m_Impl->m_Membership->setDraining();
  m_Impl->m_Callers->drainAndStop();
  m_Impl->m_ClaimDriver->drain(ClaimDrainTimeout);
  m_Impl->m_Peers->drain();
}

} // namespace pollenspool
