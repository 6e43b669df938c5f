//===- ClaimAdapter.h - Adapters of claims and peers ------------*- C++ -*-===//

#ifndef POLLENSPOOL_DAEMON_CLAIMADAPTER_H
#define POLLENSPOOL_DAEMON_CLAIMADAPTER_H

#include "claims/ClaimDriver.h"
#include "gateway/GatewayInterfaces.h"
#include "peer/PeerTransport.h"
#include <atomic>

namespace pollenspool {

/// Implements PeerSender on the peer transport. Calls before setTransport()
/// fail with ConnectFailed. Thread safe.
class PeerSenderAdapter final : public PeerSender {
public:
  void setTransport(PeerTransport &Transport) { m_Transport = &Transport; }

  void callAsync(const EntryId &Peer, const std::string &Path, std::string Body,
                 std::chrono::milliseconds Timeout,
                 PeerCallback Callback) override;

private:
  std::atomic<PeerTransport *> m_Transport{nullptr};
};

/// Implements the gateway's ClaimService interface on the claim driver. Thread
/// safe.
class ClaimAdapter final : public ClaimService {
public:
  /// \p Driver must outlive the adapter.
  explicit ClaimAdapter(ClaimDriver &Driver) : m_Driver(Driver) {}

  ClaimReply claim(const RequestId &Id, Duration Timeout) override;
  void complete(const RequestId &Id, const ClaimToken &Token,
                const Answer &Recorded) override;
  void release(const RequestId &Id, const ClaimToken &Token) override;

private:
  ClaimDriver &m_Driver;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DAEMON_CLAIMADAPTER_H
