//===- Parts.h - The parts of one daemon, in order of use -------*- C++ -*-===//
//
// Members are declared in the order in which they are built; each may use those
// above it, and destruction runs the other way round.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DAEMON_PARTS_H
#define POLLENSPOOL_DAEMON_PARTS_H

#include "admin/AdminServer.h"
#include "admin/MetricsPage.h"
#include "daemon/ClaimPort.h"
#include "daemon/Daemon.h"
#include "documents/AdoptionShell.h"
#include "fleet/FleetShell.h"
#include "forward/SpillBook.h"
#include "gateway/CallerServer.h"
#include "membership/MembershipShell.h"
#include "peer/StartGate.h"
#include "platform/HttpPlatform.h"
#include "sync/FleetSync.h"
#include <atomic>

namespace pollenspool {

/// The wiring of one daemon. Handlers of peers' and operators' calls are its
/// member functions, grouped by file: PeerRoutes.cpp, AdminRoutes.cpp.
struct Daemon::Parts {
  explicit Parts(const Settings &S);

  /// Builds all parts. Errors: those of the parts.
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
  DrainAck drainStatus(const AskDrainStatus &Ask);
  void askDrain(const AskDrainStatus &Ask);
  Result<std::string> serveHeartbeat(const PeerCall &Call);
  MembershipPorts membershipPorts();
  void sendHeartbeat(const EntryId &Peer, std::string Body);
  void onPeerState(const EntryId &Peer, const PeerState &State);

  // Spill.cpp
  ForwardHooks forwardHooks();
  void onForwarded(const DataCentreName &Where, const ServiceName &Service,
                   const Outcome &Final);
  void publishCapacity();
  void tellPeers(const FleetNotice &News);

  // AdminRoutes.cpp
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

  // Documents and first rows.
  void onRows(const RowSet &Changes);
  void onListed(const std::vector<ListedInstance> &Listed, TimePoint Asked);
  void assignNewcomers(const std::vector<ListedInstance> &Listed);
  FleetPorts fleetPorts();
  std::string nextToken();

  const Settings m_Settings;
  /// Differs from that of every other process; prefixes transaction tokens.
  const std::string m_ProcessToken;
  std::atomic<std::uint64_t> m_Tokens{0};
  std::unique_ptr<HttpPlatform> m_Platform;
  std::mutex m_SpillMutex;
  SpillBook m_Spill;
  PeerForwarder m_Forwarder;
  PeerPort m_PeerPort;
  StartGate m_PeerGate;
  /// Stopped before any other part ends, and kept until the last one has.
  std::unique_ptr<PeerTransport> m_Peers;
  std::unique_ptr<MembershipShell> m_Membership;
  std::unique_ptr<ClaimShell> m_ClaimShell;
  std::unique_ptr<ClaimPort> m_Claims;
  std::unique_ptr<Gateway> m_Gateway;
  std::unique_ptr<DocumentKeeper> m_Documents;
  std::unique_ptr<AdoptionShell> m_Adoption;
  std::unique_ptr<FleetSync> m_Sync;
  std::unique_ptr<FleetShell> m_Fleet;
  std::unique_ptr<CallerServer> m_Callers;
  std::unique_ptr<AdminServer> m_Admin;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DAEMON_PARTS_H
