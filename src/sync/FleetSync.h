//===- FleetSync.h - Keeps the serving view up to date ----------*- C++ -*-===//
//
// Polls the platform's changes and its instance list, notifies peers of this
// data centre about changes, merges their notices, and passes the resulting
// view to the request path. Requests never wait for a poll.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SYNC_FLEETSYNC_H
#define POLLENSPOOL_SYNC_FLEETSYNC_H

#include "gateway/Gateway.h"
#include "platform/Platform.h"
#include "view/ServingView.h"
#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

namespace pollenspool {

constexpr const char *NoticePath = "/fleet/notice";
constexpr const char *ViewPath = "/fleet/view";

struct FleetSyncSettings {
  DataCentreName m_DataCentre;
  std::chrono::milliseconds m_Poll{1000};
  std::uint64_t m_Seed = 1;
};

/// Receivers of changes; each is called without a lock held.
struct FleetSyncOutputs {
  /// All changed rows of the polled prefixes.
  std::function<void(const RowSet &)> m_OnRows;
  /// The platform's instance list and the time of the request for it.
  std::function<void(const std::vector<ListedInstance> &, TimePoint)>
      m_OnInstancesListed;
  /// Changes of instances that a poll found and that no peer had reported
  /// before.
  std::function<void(const FleetNotice &)> m_NotifyPeers;
};

/// Results of the polls so far.
struct SyncStatus {
  bool m_PlatformReachable = false;
  Revision m_Revision = 0;
  std::uint64_t m_Polls = 0;
  std::uint64_t m_FailedPolls = 0;
  std::uint64_t m_NoticesTaken = 0;
  std::uint64_t m_UnreadableRows = 0;
};

/// Thread safe.
class FleetSync {
public:
  /// \p Service and \p Requests must outlive this object.
  FleetSync(FleetSyncSettings Settings, Platform &Service, Gateway &Requests,
            FleetSyncOutputs Outputs);
  ~FleetSync();

  void start();
  void stop();

  /// Polls the platform as soon as possible, without waiting for the poll
  /// interval.
  void pollSoon();

  /// Merges a notice of a peer. Does not notify other peers.
  void onNotice(const FleetNotice &Notice);

  FleetNotice fullNotice() const;
  FleetNotice changesSince(Revision Since) const;
  /// Merges a peer's changes up to revision \p UpTo; used while the platform is
  /// not reachable.
  void onPeerChanges(const FleetNotice &Notice, Revision UpTo);
  /// Table revision up to which the view is complete, from the platform or from
  /// a peer.
  Revision viewRevision() const;
  /// Returns the known instances of one data centre.
  std::vector<InstanceTarget> targets(const DataCentreName &Where) const;
  SyncStatus status() const;
  /// Passes the view to the request path and returns the epoch of the
  /// instance's row in it, or 0 if unknown. Afterwards no request starts under
  /// an earlier epoch.
  std::uint64_t publishedEpoch(const InstanceId &Id);
  /// Returns the known row and list entry of the instance; empty if unknown.
  FleetNotice lookUp(const InstanceId &Id) const;

private:
  void run();
  void pollOnce();
  bool pollChanges(FleetNotice &NewChanges);
  bool pollList(FleetNotice &NewChanges);
  void publishTargets();
  Duration nextWait();

  FleetSyncSettings m_Settings;
  Platform &m_Platform;
  Gateway &m_Gateway;
  FleetSyncOutputs m_Outputs;
  mutable std::mutex m_Mutex;
  std::condition_variable m_Wake;
  bool m_Stopping = false;
  bool m_PollNow = false;
  ServingView m_View;
  SyncStatus m_Status;
  Revision m_PeerRevision = 0;
  std::mt19937_64 m_Random;
  std::thread m_Thread;
};

} // namespace pollenspool

#endif // POLLENSPOOL_SYNC_FLEETSYNC_H
