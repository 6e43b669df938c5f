//===- Daemon.cpp - One entry instance ------------------------------------===//

#include "daemon/Daemon.h"
#include "base/Log.h"
#include "daemon/Parts.h"
#include "fleet/Assignment.h"
#include "gateway/HealthCheck.h"
#include <map>
#include <openssl/rand.h>

namespace pollenspool {

namespace {

/// A claim waits in its worker for the owner's batch of claims.
constexpr std::size_t QuickPeerWorkers = 32;
constexpr std::chrono::milliseconds ClaimDrainTimeout{3000};
constexpr std::chrono::milliseconds HealthTimeout{1000};

std::uint64_t seedOf(const Settings &S) {
  if (S.m_Seed != 0)
    return S.m_Seed;
  std::uint64_t Seed = 0;
  RAND_bytes(reinterpret_cast<unsigned char *>(&Seed), sizeof(Seed));
  return Seed;
}

std::uint32_t entriesOf(const Settings &S) {
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
  Out.m_Dispatcher.m_EntryInstances = entriesOf(S);
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
  // Each source of transaction tokens has a prefix of its own: a repeated token
  // would get the old outcome and write nothing.
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

/// Keeps what a factory made, or hands its error on.
template <typename T> Result<void> keep(T &Slot, Result<T> &&Made) {
  if (!Made)
    return Made.error();
  Slot = std::move(Made).value();
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

Daemon::Parts::Parts(const Settings &S)
    : m_Settings(S), m_ProcessToken(mintRequestId().m_Text),
      m_Forwarder(forwardHooks()) {}

Result<void> Daemon::Parts::build() {
  BOOST_OUTCOME_TRYV(
      keep(m_Platform, HttpPlatform::create(platformSettings(m_Settings))));
  BOOST_OUTCOME_TRYV(
      keep(m_ClaimShell, ClaimShell::create(claimSettings(m_Settings),
                                            *m_Platform, m_PeerPort)));
  m_Claims = std::make_unique<ClaimPort>(*m_ClaimShell);
  BOOST_OUTCOME_TRYV(
      keep(m_Gateway, Gateway::create(gatewaySettings(m_Settings), *m_Claims,
                                      m_Forwarder)));
  m_Documents = std::make_unique<DocumentKeeper>([this](const HeldDocument &D) {
    m_Gateway->setDocument(D.m_Document);
    m_Fleet->onDocument(*D.m_Document);
  });
  m_Sync = std::make_unique<FleetSync>(syncSettings(m_Settings), *m_Platform,
                                       *m_Gateway, syncOutputs());
  FleetSettings Fleet = fleetSettings(m_Settings, m_ProcessToken);
  BOOST_OUTCOME_TRYV(
      keep(m_Fleet,
           FleetShell::create(std::move(Fleet), *m_Platform, fleetPorts())));
  BOOST_OUTCOME_TRYV(
      keep(m_Peers, PeerTransport::create(peerSettings(m_Settings),
                                          m_PeerGate.guard(peerRoutes()))));
  BOOST_OUTCOME_TRYV(keep(
      m_Adoption, AdoptionShell::create(adoptionSettings(m_Settings),
                                        *m_Platform, *m_Peers, *m_Documents)));
  BOOST_OUTCOME_TRYV(
      keep(m_Membership, MembershipShell::create(membershipSettings(m_Settings),
                                                 membershipPorts())));
  m_Forwarder.connect(*m_Membership, *m_Peers);
  m_PeerPort.setTransport(*m_Peers);
  BOOST_OUTCOME_TRYV(
      keep(m_Callers,
           CallerServer::create(callerSettings(m_Settings), *m_Gateway,
                                m_Forwarder, [this] { return isReady(); })));
  AdminSettings Operators{m_Settings.m_Listen.m_Admin,
                          m_Settings.m_Operators.m_Token};
  BOOST_OUTCOME_TRYV(
      keep(m_Admin, AdminServer::create(Operators, adminRoutes())));
  m_PeerGate.open();
  return success();
}

bool Daemon::Parts::isReady() const {
  return m_Documents->current().m_Head.m_Version > 0;
}

FleetSyncOutputs Daemon::Parts::syncOutputs() {
  FleetSyncOutputs Outputs;
  Outputs.m_OnRows = [this](const RowSet &Changes) { onRows(Changes); };
  Outputs.m_OnListed = [this](const std::vector<ListedInstance> &Listed,
                              TimePoint Asked) { onListed(Listed, Asked); };
  Outputs.m_TellPeers = [this](const FleetNotice &News) { tellPeers(News); };
  return Outputs;
}

std::string Daemon::Parts::nextToken() {
  return m_ProcessToken + "-daemon-" + std::to_string(++m_Tokens);
}

void Daemon::Parts::onRows(const RowSet &Changes) {
  m_Fleet->onRows(Changes);
  for (const Row &R : Changes.m_Rows) {
    if (R.m_Key != HeadRowKey || R.m_Deleted)
      continue;
    auto H = decodeHead(R.m_Value);
    if (H)
      m_Adoption->onPlatformHead(H.value());
  }
}

void Daemon::Parts::onListed(const std::vector<ListedInstance> &Listed,
                             TimePoint Asked) {
  m_Fleet->onListed(Listed, Asked);
  assignNewcomers(Listed);
}

void Daemon::Parts::assignNewcomers(const std::vector<ListedInstance> &Listed) {
  HeldDocument Held = m_Documents->current();
  if (!Held.m_Document)
    return;
  std::vector<InstanceRow> Known;
  for (const VersionedRow &Row : m_Sync->wholeView().m_Rows)
    Known.push_back(Row.m_Row);
  std::vector<InstanceRow> Fresh =
      assignInstances(*Held.m_Document, Listed, Known);
  if (Fresh.empty())
    return;
  auto Done = m_Platform->transact(assignmentTransaction(Fresh, nextToken()),
                                   CallPriority::Control);
  // A conflict means that a peer was first; the next poll shows its rows.
  if (Done)
    m_Sync->pollSoon();
}

FleetPorts Daemon::Parts::fleetPorts() {
  FleetPorts Ports;
  Ports.m_AskDrain = [this](const AskDrainStatus &Ask) { askDrain(Ask); };
  Ports.m_IsHealthy = [](const InstanceId &, const std::string &Where) {
    return passesHealthCheck(Where, HealthTimeout);
  };
  Ports.m_Refresh = [this] { m_Sync->pollSoon(); };
  return Ports;
}

Daemon::Daemon(std::unique_ptr<Parts> Wired) : m_Parts(std::move(Wired)) {}

Daemon::~Daemon() {
  if (m_Parts->m_Membership)
    m_Parts->m_Membership->stop();
  if (m_Parts->m_Sync)
    m_Parts->m_Sync->stop();
  if (m_Parts->m_Adoption)
    m_Parts->m_Adoption->stop();
  if (m_Parts->m_Peers)
    m_Parts->m_Peers->stop();
}

Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &S) {
  auto Wired = std::make_unique<Parts>(S);
  BOOST_OUTCOME_TRYV(Wired->build());
  std::unique_ptr<Daemon> Made(new Daemon(std::move(Wired)));
  return Made;
}

void Daemon::start() {
  m_Parts->m_Adoption->start();
  m_Parts->m_Membership->start();
  m_Parts->m_Sync->start();
  m_Parts->m_Callers->start();
}

void Daemon::drainAndStop() {
  m_Parts->m_Membership->setDraining();
  m_Parts->m_Callers->drainAndStop();
  m_Parts->m_ClaimShell->drain(ClaimDrainTimeout);
  m_Parts->m_Peers->drain();
}

} // namespace pollenspool
