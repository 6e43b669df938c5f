//===- FleetSync.cpp - Keeps the serving view up to date ------------------===//

#include "sync/FleetSync.h"
#include "documents/Head.h"
#include "fleet/FleetController.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Prefixes of all rows that entry instances keep in the table, except claims.
const std::vector<std::string> &watchedPrefixes() {
  static const std::vector<std::string> Prefixes = [] {
    std::vector<std::string> All = FleetController::rowPrefixes();
    All.push_back(ConfigRowPrefix);
    return All;
  }();
  return Prefixes;
}

/// Largest deviation of the time between two polls, as a fraction of the poll
/// interval, so that instances that started at the same time do not poll at the
/// same time.
constexpr double JitterFraction = 0.2;

} // namespace

FleetSync::FleetSync(FleetSyncSettings Settings, Platform &Service,
                     Gateway &Requests, FleetSyncOutputs Outputs)
    : m_Settings(std::move(Settings)), m_Platform(Service), m_Gateway(Requests),
      m_Outputs(std::move(Outputs)), m_Random(m_Settings.m_Seed) {}

FleetSync::~FleetSync() { stop(); }

void FleetSync::start() {
  m_Thread = std::thread([this] { run(); });
}

void FleetSync::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Wake.notify_all();
  if (m_Thread.joinable())
    m_Thread.join();
}

void FleetSync::pollSoon() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_PollNow = true;
  }
  m_Wake.notify_all();
}

Duration FleetSync::nextWait() {
  std::uniform_real_distribution<double> Jitter(1 - JitterFraction,
                                                1 + JitterFraction);
  auto Base = std::chrono::duration_cast<Duration>(m_Settings.m_Poll);
  return Duration(static_cast<Duration::rep>(static_cast<double>(Base.count()) *
                                             Jitter(m_Random)));
}

void FleetSync::run() {
  for (;;) {
    pollOnce();
    Duration Wait = nextWait();
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Wake.wait_for(Lock, Wait, [&] { return m_Stopping || m_PollNow; });
    m_PollNow = false;
    if (m_Stopping)
      return;
  }
}

void FleetSync::pollOnce() {
  FleetNotice NewChanges;
  bool Rows = pollChanges(NewChanges);
  bool List = pollList(NewChanges);
  if (!NewChanges.empty()) {
    publishTargets();
    m_Outputs.m_NotifyPeers(NewChanges);
  }
  std::lock_guard<std::mutex> Lock(m_Mutex);
  ++m_Status.m_Polls;
  m_Status.m_PlatformReachable = Rows && List;
  if (!m_Status.m_PlatformReachable)
    ++m_Status.m_FailedPolls;
}

bool FleetSync::pollChanges(FleetNotice &NewChanges) {
  Revision Since = status().m_Revision;
  auto Changes =
      m_Platform.changes(Since, watchedPrefixes(), CallPriority::Control);
  if (!Changes)
    return false;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    auto Rows =
        readInstanceRows(Changes.value().m_Rows, m_Status.m_UnreadableRows);
    NewChanges.m_Rows = m_View.mergeRows(Rows).m_Rows;
    m_Status.m_Revision = Changes.value().m_Revision;
  }
  m_Outputs.m_OnRows(Changes.value());
  return true;
}

bool FleetSync::pollList(FleetNotice &NewChanges) {
  TimePoint RequestTime = steadyNow();
  auto Listed = m_Platform.instances(CallPriority::Control);
  if (!Listed)
    return false;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    NewChanges.m_Listed = m_View.mergeInstanceList(Listed.value()).m_Listed;
  }
  m_Outputs.m_OnInstancesListed(Listed.value(), RequestTime);
  return true;
}

void FleetSync::publishTargets() {
  std::vector<InstanceTarget> Targets;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    Targets = m_View.targets(m_Settings.m_DataCentre);
  }
  // Concurrent calls need no order, since the dispatcher keeps the target with
  // the highest epoch.
  m_Gateway.setInstances(std::move(Targets));
}

void FleetSync::onNotice(const FleetNotice &Notice) {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    ++m_Status.m_NoticesTaken;
    if (!m_View.mergeNotice(Notice))
      return;
  }
  publishTargets();
}

std::uint64_t FleetSync::publishedEpoch(const InstanceId &Id) {
  // The targets are published before the epoch is returned, so that the epoch
  // holds for the dispatcher, too.
  std::uint64_t Epoch = 0;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    if (const VersionedRow *Row = m_View.findRow(Id))
      Epoch = Row->m_Row.m_Epoch;
  }
  publishTargets();
  return Epoch;
}

FleetNotice FleetSync::fullNotice() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_View.fullNotice();
}

FleetNotice FleetSync::changesSince(Revision Since) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_View.changesSince(Since);
}

void FleetSync::onPeerChanges(const FleetNotice &Notice, Revision UpTo) {
  onNotice(Notice);
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_PeerRevision = std::max(m_PeerRevision, UpTo);
}

Revision FleetSync::viewRevision() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return std::max(m_PeerRevision, m_Status.m_Revision);
}

std::vector<InstanceTarget>
FleetSync::targets(const DataCentreName &Where) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_View.targets(Where);
}

SyncStatus FleetSync::status() const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Status;
}

FleetNotice FleetSync::lookUp(const InstanceId &Id) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  FleetNotice Found;
  if (const VersionedRow *Row = m_View.findRow(Id))
    Found.m_Rows.push_back(*Row);
  if (const ListedInstance *Listed = m_View.findListed(Id))
    Found.m_Listed.push_back(*Listed);
  return Found;
}

} // namespace pollenspool
