//===- PeerForwarder.h - Forwards requests between data centres -*- C++ -*-===//
//
// Sends a request to an entry instance of another data centre. If the
// connection fails, the outcome is NotRun only if the peer provably did not
// process the request, and Unknown otherwise.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FORWARD_PEERFORWARDER_H
#define POLLENSPOOL_FORWARD_PEERFORWARDER_H

#include "gateway/GatewayInterfaces.h"
#include "peer/PeerTransport.h"
#include <functional>

namespace pollenspool {

/// Lists the entry instances to which requests can be sent. Thread safe.
class PeerDirectory {
public:
  virtual ~PeerDirectory() = default;
  /// Returns the entry instances of \p Where that accept requests, in order of
  /// preference.
  virtual std::vector<EntryId> usable(const DataCentreName &Where) = 0;
  /// Returns all other entry instances of the deployment.
  virtual std::vector<EntryId> all() = 0;
};

/// Notifications about forwarded requests; called on the forwarding threads.
struct ForwardHooks {
  std::function<void(const DataCentreName &, const ServiceName &,
                     const Outcome &)>
      m_OnOutcome;
  /// Called when no connection to a peer could be established.
  std::function<void(const EntryId &)> m_OnUnreachable;
};

/// Thread safe after connect().
class PeerForwarder final : public Forwarder {
public:
  explicit PeerForwarder(ForwardHooks Hooks) : m_Hooks(std::move(Hooks)) {}

  /// Must be called before any other function. Both arguments must outlive the
  /// forwarder.
  void connect(PeerDirectory &Directory, PeerTransport &Transport) {
    m_Directory = &Directory;
    m_Transport = &Transport;
  }

  Outcome forward(const DataCentreName &To, const CallerRequest &Request,
                  Duration Remaining) override;
  void forwardCancel(const std::vector<RequestId> &Ids) override;

private:
  Outcome sendToPeers(const DataCentreName &To, const CallerRequest &Request,
                      Duration Remaining);

  ForwardHooks m_Hooks;
  PeerDirectory *m_Directory = nullptr;
  PeerTransport *m_Transport = nullptr;
};

/// True if \p Fault proves that the peer did not process the call.
bool provesNotProcessed(const Error &Fault);

} // namespace pollenspool

#endif // POLLENSPOOL_FORWARD_PEERFORWARDER_H
