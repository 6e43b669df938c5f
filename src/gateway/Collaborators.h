//===- Collaborators.h - What the gateway needs of others -------*- C++ -*-===//
//
// The gateway claims IDs and forwards requests through these interfaces, so
// that it is tested without a platform and without peers.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_GATEWAY_COLLABORATORS_H
#define POLLENSPOOL_GATEWAY_COLLABORATORS_H

#include "claims/ClaimTypes.h"
#include "gateway/CallerRequest.h"

namespace pollenspool {

/// Claims of request IDs that may run at most once. Thread safe; claim() blocks
/// for at most its time-out.
class Claims {
public:
  virtual ~Claims() = default;
  virtual ClaimReply claim(const RequestId &Id, Duration Timeout) = 0;
  /// The request of a granted claim ran; repeats get \p Recorded.
  virtual void complete(const RequestId &Id, const ClaimToken &Token,
                        const Answer &Recorded) = 0;
  /// The request provably did not run; a repeat may claim the ID again.
  virtual void release(const RequestId &Id, const ClaimToken &Token) = 0;
};

/// Sends requests to entry instances of other data centres. Thread safe;
/// blocks for at most \p Remaining.
class Forwarder {
public:
  virtual ~Forwarder() = default;
  virtual Outcome forward(const DataCentreName &To,
                          const CallerRequest &Request, Duration Remaining) = 0;
  /// Tells peers that requests were cancelled; does not block.
  virtual void forwardCancel(const std::vector<RequestId> &Ids) = 0;
};

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_COLLABORATORS_H
