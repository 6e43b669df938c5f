//===- MembershipDriver.h - I/O driver of the membership core ---*- C++ -*-===//
//
// Sends and receives heartbeats and tells other components which peers to use.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MEMBERSHIP_MEMBERSHIPDRIVER_H
#define POLLENSPOOL_MEMBERSHIP_MEMBERSHIPDRIVER_H

#include "forward/PeerForwarder.h"
#include "membership/Membership.h"
#include <condition_variable>
#include <mutex>
#include <thread>

namespace pollenspool {

constexpr const char *HeartbeatPath = "/membership/heartbeat";

/// State of this instance, collected before each round of heartbeats.
struct SelfReport {
  std::uint64_t m_DocumentVersion = 0;
  std::uint64_t m_ViewRevision = 0;
  LoadDigest m_Load;
};

/// Functions that the driver calls, from its own thread or from that of
/// onHeartbeat(), without a lock held.
struct MembershipPorts {
  std::function<SelfReport()> m_ReportSelf;
  /// Sends a heartbeat without waiting for the reply. Failures to connect must
  /// be reported with onUnreachable().
  std::function<void(const EntryId &, std::string)> m_Send;
  /// Called when a peer has a newer configuration document or serving view than
  /// this instance last reported.
  std::function<void(const EntryId &, const PeerState &)> m_OnPeerState;
};

/// Thread safe.
class MembershipDriver final : public PeerDirectory {
public:
  /// Errors: those of Membership::create.
  static Result<std::unique_ptr<MembershipDriver>>
  create(MembershipSettings Settings, MembershipPorts Ports);
  ~MembershipDriver() override;

  void start();
  void stop();

  /// Processes a peer's heartbeat. Errors: InvalidMessage.
  Result<void> onHeartbeat(const std::string &Bytes);
  void onUnreachable(const EntryId &Peer);
  /// Announces with the next heartbeats that this instance accepts no new
  /// requests.
  void setDraining();

  std::vector<EntryId> usable(const DataCentreName &Where) override;
  std::vector<EntryId> all() override;
  /// True if at least one entry instance of \p Where is up and not draining.
  bool isReachable(const DataCentreName &Where);
  std::vector<PeerView> peers();

private:
  MembershipDriver(Membership Core, MembershipPorts Ports);
  void run();

  MembershipPorts m_Ports;
  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  Membership m_Core;
  bool m_Stopping = false;
  std::thread m_Thread;
};

} // namespace pollenspool

#endif // POLLENSPOOL_MEMBERSHIP_MEMBERSHIPDRIVER_H
