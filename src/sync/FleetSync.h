//===- FleetSync.h - Keeps this instance's view up to date ------*- C++ -*-===//
//
// Polls the platform's changes and instance list, tells peers of the own data
// centre what it saw first, takes in what they tell, and hands the result to
// the request path. Serving never waits for it.
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

/// Where the news goes. Each is called without locks held.
struct FleetSyncOutputs {
  /// All rows that changed, of every kind.
  std::function<void(const RowSet &)> m_OnRows;
  /// The platform's list and when it was asked for.
  std::function<void(const std::vector<ListedInstance> &, TimePoint)>
      m_OnListed;
  /// Instances that this entry instance saw change first.
  std::function<void(const FleetNotice &)> m_TellPeers;
};

/// How the reads of the platform went.
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
  /// \p Service and \p Requests have to outlive the sync.
  FleetSync(FleetSyncSettings Settings, Platform &Service, Gateway &Requests,
            FleetSyncOutputs Outputs);
  ~FleetSync();

  void start();
  void stop();

  /// Reads the platform at the next opportunity instead of at the next poll.
  void pollSoon();

  /// Takes in what a peer saw. Does not tell others.
  void onNotice(const FleetNotice &Notice);

  FleetNotice wholeView() const;
  FleetNotice changesSince(Revision Since) const;
  /// Takes in a peer's changes up to \p Reached, instead of the platform's.
  void onPeerChanges(const FleetNotice &Notice, Revision Reached);
  /// The table revision up to which the view is known, from either source.
  Revision viewRevision() const;
  /// The instances of one data centre as known here.
  std::vector<InstanceTarget> targets(const DataCentreName &Where) const;
  SyncStatus status() const;
  /// Hands the view to the request path and gives the instance's row epoch in
  /// it: no work starts under an older one from then on. 0 if unknown.
  std::uint64_t settledEpoch(const InstanceId &Id);
  /// The instance's row and list entry as known here; empty if unknown.
  FleetNotice lookUp(const InstanceId &Id) const;

private:
  void run();
  void pollOnce();
  bool pollChanges(FleetNotice &News);
  bool pollList(FleetNotice &News);
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
