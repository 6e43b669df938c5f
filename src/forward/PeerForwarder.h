//===- PeerForwarder.h - Forwards requests between data centres -*- C++ -*-===//
//
// Sends a request to an entry instance of another data centre and says
// truthfully what is known of it when the link fails.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FORWARD_PEERFORWARDER_H
#define POLLENSPOOL_FORWARD_PEERFORWARDER_H

#include "gateway/Collaborators.h"
#include "peer/PeerTransport.h"
#include <functional>

namespace pollenspool {

/// Picks entry instances to send to. Thread safe.
class PeerDirectory {
public:
  virtual ~PeerDirectory() = default;
  /// Entry instances of \p Where that can be sent work, the best first.
  virtual std::vector<EntryId> usable(const DataCentreName &Where) = 0;
  /// Every other entry instance of the deployment.
  virtual std::vector<EntryId> all() = 0;
};

/// What came of forwards; called from the threads that forward.
struct ForwardHooks {
  std::function<void(const DataCentreName &, const ServiceName &,
                     const Outcome &)>
      m_OnOutcome;
  /// A peer could not be connected to.
  std::function<void(const EntryId &)> m_OnUnreachable;
};

/// Thread safe once connected.
class PeerForwarder final : public Forwarder {
public:
  explicit PeerForwarder(ForwardHooks Hooks) : m_Hooks(std::move(Hooks)) {}

  /// Comes before use. Both have to outlive the forwarder.
  void connect(PeerDirectory &Directory, PeerTransport &Transport) {
    m_Directory = &Directory;
    m_Transport = &Transport;
  }

  Outcome forward(const DataCentreName &To, const CallerRequest &Request,
                  Duration Remaining) override;
  void forwardCancel(const std::vector<RequestId> &Ids) override;

private:
  Outcome sendOn(const DataCentreName &To, const CallerRequest &Request,
                 Duration Remaining);

  ForwardHooks m_Hooks;
  PeerDirectory *m_Directory = nullptr;
  PeerTransport *m_Transport = nullptr;
};

/// True if \p Fault proves that the peer did not process the call.
bool provesNotProcessed(const Error &Fault);

} // namespace pollenspool

#endif // POLLENSPOOL_FORWARD_PEERFORWARDER_H
