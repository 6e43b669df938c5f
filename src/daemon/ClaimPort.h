//===- ClaimPort.h - Claims as the gateway takes them -----------*- C++ -*-===//

#ifndef POLLENSPOOL_DAEMON_CLAIMPORT_H
#define POLLENSPOOL_DAEMON_CLAIMPORT_H

#include "claims/ClaimShell.h"
#include "gateway/Collaborators.h"
#include "peer/PeerTransport.h"
#include <atomic>

namespace pollenspool {

/// The peer transport as the claim slice takes it. setTransport() comes before
/// the first message; until then peers count as unreachable. Thread safe after
/// that.
class PeerPort final : public PeerSender {
public:
  void setTransport(PeerTransport &Transport) { m_Transport = &Transport; }

  void callAsync(const EntryId &Peer, const std::string &Path, std::string Body,
                 std::chrono::milliseconds Timeout,
                 PeerCallback Callback) override;

private:
  std::atomic<PeerTransport *> m_Transport{nullptr};
};

/// The claim shell as the gateway takes it. Thread safe.
class ClaimPort final : public Claims {
public:
  /// \p Shell has to outlive it.
  explicit ClaimPort(ClaimShell &Shell) : m_Shell(Shell) {}

  ClaimReply claim(const RequestId &Id, Duration Timeout) override;
  void complete(const RequestId &Id, const ClaimToken &Token,
                const Answer &Recorded) override;
  void release(const RequestId &Id, const ClaimToken &Token) override;

private:
  ClaimShell &m_Shell;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DAEMON_CLAIMPORT_H
