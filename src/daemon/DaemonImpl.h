//===- DaemonImpl.h - Components of an entry instance -----------*- C++ -*-===//
//
// Members are declared in the order in which they are created. Each may use
// those declared before it, and they are destroyed in reverse order.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DAEMON_DAEMONIMPL_H
#define POLLENSPOOL_DAEMON_DAEMONIMPL_H

#include "admin/AdminServer.h"
#include "admin/MetricsPage.h"
#include "daemon/ClaimAdapter.h"
#include "daemon/Daemon.h"
#include "documents/AdoptionDriver.h"
#include "fleet/FleetDriver.h"
#include "forward/RemoteCapacityTable.h"
#include "gateway/CallerServer.h"
#include "membership/MembershipDriver.h"
#include "peer/StartGate.h"
#include "platform/HttpPlatform.h"
#include "sync/FleetSync.h"
#include <atomic>

namespace pollenspool {

/// The components of one daemon. Handlers of calls from peers and operators are
/// member functions, defined in PeerRoutes.cpp, AdminRoutes.cpp and
/// FleetRoutes.cpp.
struct Daemon::Impl {
  explicit Impl(const Settings &S);

  /// Creates all components. Errors: those of the components.
  Result<void> build();

  bool isReady() const;
  FleetSyncOutputs syncOutputs();
  std::vector<PeerRoute> peerRoutes();
  void addAdoptionRoutes(std::vector<PeerRoute> &Routes);
  std::vector<AdminRoute> adminRoutes();

  // PeerRoutes.cpp
  Result<std::string> serveForward(const PeerCall &Call);
  Result<std::string> serveForwardCancel(const PeerCall &Call);
  Result<std::string> serveNotice(const PeerCall &Call);
  Result<std::string> serveView(const PeerCall &Call);
  Result<std::string> serveClaim(const PeerCall &Call);
  Result<std::string> serveDrainStatus(const PeerCall &Call);
  DrainAck drainStatus(const DrainStatusQuery &Ask);
  void requestDrainStatus(const DrainStatusQuery &Ask);
  Result<std::string> serveHeartbeat(const PeerCall &Call);
  MembershipPorts membershipPorts();
  void sendHeartbeat(const EntryId &Peer, std::string Body);
  void onPeerState(const EntryId &Peer, const PeerState &State);

  // RemoteCapacity.cpp
  ForwardHooks forwardHooks();
  void onForwarded(const DataCentreName &Where, const ServiceName &Service,
                   const Outcome &Final);
  void publishCapacity();
  void notifyPeers(const FleetNotice &NewChanges);

  // AdminRoutes.cpp and FleetRoutes.cpp
  AdminReply serveMetrics(const AdminCall &Call);
  AdminReply serveStatus(const AdminCall &Call);
  AdminReply serveDocument(const AdminCall &Call);
  AdminReply commitPosted(const AdminCall &Call);
  AdminReply startMove(const AdminCall &Call);
  AdminReply cancelMove(const AdminCall &Call);
  AdminReply startWave(const AdminCall &Call);
  AdminReply pauseWave(const AdminCall &Call);
  AdminReply resumeWave(const AdminCall &Call);
  AdminReply cancelWave(const AdminCall &Call);
  AdminReply serveFleet(const AdminCall &Call);
  AdminReply explain(const AdminCall &Call);
  void addRequestMetrics(MetricsPage &Page) const;
  void addPlatformMetrics(MetricsPage &Page) const;
  void addPeerMetrics(MetricsPage &Page) const;

  // Daemon.cpp
  void onRows(const RowSet &Changes);
  void onInstancesListed(const std::vector<ListedInstance> &Listed,
                         TimePoint RequestTime);
  void assignNewInstances(const std::vector<ListedInstance> &Listed);
  FleetPorts fleetPorts();
  std::string nextToken();

  const Settings m_Settings;
  /// Unique to this process; prefix of its transaction tokens.
  const std::string m_ProcessToken;
  std::atomic<std::uint64_t> m_Tokens{0};
  std::unique_ptr<HttpPlatform> m_Platform;
  std::mutex m_RemoteCapacityMutex;
  RemoteCapacityTable m_RemoteCapacity;
  PeerForwarder m_Forwarder;
  PeerSenderAdapter m_PeerSender;
  StartGate m_PeerGate;
  /// Stopped before any other component is destroyed, and destroyed after the
  /// components below, which use it.
  std::unique_ptr<PeerTransport> m_Peers;
  std::unique_ptr<MembershipDriver> m_Membership;
  std::unique_ptr<ClaimDriver> m_ClaimDriver;
  std::unique_ptr<ClaimAdapter> m_Claims;
  std::unique_ptr<Gateway> m_Gateway;
  std::unique_ptr<ActiveDocument> m_Documents;
  std::unique_ptr<AdoptionDriver> m_Adoption;
  std::unique_ptr<FleetSync> m_Sync;
  std::unique_ptr<FleetDriver> m_Fleet;
  std::unique_ptr<CallerServer> m_Callers;
  std::unique_ptr<AdminServer> m_Admin;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DAEMON_DAEMONIMPL_H
