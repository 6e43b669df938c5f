//===- GatewayInterfaces.h - Interfaces that the gateway uses ---*- C++ -*-===//
//
// The gateway claims request IDs and forwards requests through these
// interfaces, so that it can be tested without a platform and without peers.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_GATEWAY_GATEWAYINTERFACES_H
#define POLLENSPOOL_GATEWAY_GATEWAYINTERFACES_H

#include "claims/ClaimTypes.h"
#include "gateway/CallerRequest.h"

namespace pollenspool {

/// Claims on the IDs of requests that may run at most once. Thread safe.
/// claim() blocks for at most \p Timeout; the other functions do not block.
class ClaimService {
public:
  virtual ~ClaimService() = default;
  virtual ClaimReply claim(const RequestId &Id, Duration Timeout) = 0;
  /// Reports that the request of a granted claim ran; repeats of the request
  /// get \p Recorded.
  virtual void complete(const RequestId &Id, const ClaimToken &Token,
                        const Answer &Recorded) = 0;
  /// Reports that the request provably did not run; a repeat may claim the ID
  /// again.
  virtual void release(const RequestId &Id, const ClaimToken &Token) = 0;
};

/// Sends requests to entry instances of other data centres. Thread safe.
/// forward() blocks for at most \p Remaining.
class Forwarder {
public:
  virtual ~Forwarder() = default;
  virtual Outcome forward(const DataCentreName &To,
                          const CallerRequest &Request, Duration Remaining) = 0;
  /// Notifies peers that requests were cancelled; does not block.
  virtual void forwardCancel(const std::vector<RequestId> &Ids) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_GATEWAYINTERFACES_H
