//===- MembershipShell.h - Threads around the membership core ---*- C++ -*-===//
//
// Sends and takes heartbeats and tells the other slices which peers to use.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_MEMBERSHIP_MEMBERSHIPSHELL_H
#define POLLENSPOOL_MEMBERSHIP_MEMBERSHIPSHELL_H

#include "forward/PeerForwarder.h"
#include "membership/Membership.h"
#include <condition_variable>
#include <mutex>
#include <thread>

namespace pollenspool {

constexpr const char *HeartbeatPath = "/membership/heartbeat";

/// What this instance says of itself, gathered before each heartbeat.
struct SelfReport {
  std::uint64_t m_DocumentVersion = 0;
  std::uint64_t m_ViewRevision = 0;
  LoadDigest m_Load;
};

/// What the shell needs of the daemon; called from its threads, no lock held.
struct MembershipPorts {
  std::function<SelfReport()> m_ReportSelf;
  /// Sends without waiting for the answer; a failed connect is reported by
  /// onUnreachable().
  std::function<void(const EntryId &, std::string)> m_Send;
  /// A peer has a newer document or view than this instance said of itself.
  std::function<void(const EntryId &, const PeerState &)> m_OnPeerState;
};

/// Thread safe.
class MembershipShell final : public PeerDirectory {
public:
  /// Errors: those of Membership::create.
  static Result<std::unique_ptr<MembershipShell>>
  create(MembershipSettings Settings, MembershipPorts Ports);
  ~MembershipShell() override;

  void start();
  void stop();

  /// Takes a peer's heartbeat. Errors: InvalidMessage.
  Result<void> onHeartbeat(const std::string &Bytes);
  void onUnreachable(const EntryId &Peer);
  /// Tells peers that this instance takes no new work; sent with the next
  /// heartbeats.
  void setDraining();

  std::vector<EntryId> usable(const DataCentreName &Where) override;
  std::vector<EntryId> all() override;
  /// True if an entry instance of \p Where was heard of lately.
  bool isReachable(const DataCentreName &Where);
  std::vector<PeerView> peers();

private:
  MembershipShell(Membership Core, MembershipPorts Ports);
  void run();

  MembershipPorts m_Ports;
  std::mutex m_Mutex;
  std::condition_variable m_Wake;
  Membership m_Core;
  bool m_Stopping = false;
  std::thread m_Thread;
};

} // namespace pollenspool

#endif // POLLENSPOOL_MEMBERSHIP_MEMBERSHIPSHELL_H
