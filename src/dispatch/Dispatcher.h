//===- Dispatcher.h - Decision core of the request path ---------*- C++ -*-===//
//
// Admission, queueing, routing, retries, ejection and cancellation in one entry
// instance. Deterministic: the input consists of events and the time, the
// output of actions that the I/O driver carries out.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_DISPATCHER_H
#define POLLENSPOOL_DISPATCH_DISPATCHER_H

#include "base/Error.h"
#include "config/Document.h"
#include "dispatch/Messages.h"
#include "routing/Messages.h"
#include <memory>
#include <optional>
#include <vector>

namespace pollenspool {

class DispatchCore;

/// Not thread safe: the I/O driver calls it under one mutex. \p Now must not be
/// earlier than in any event before. After each event the I/O driver carries
/// out the actions of takeActions() in order. Calls for a ticket that has
/// finished are ignored.
class Dispatcher {
public:
  /// Errors: InvalidSettings if the strategy is unknown or the number of entry
  /// instances is 0.
  static Result<Dispatcher> create(DispatcherSettings Settings);

  Dispatcher(Dispatcher &&) noexcept;
  Dispatcher &operator=(Dispatcher &&) noexcept;
  ~Dispatcher();

  /// Applies a configuration document. Open requests keep their pool.
  /// Precondition: \p Doc is not null.
  void setDocument(std::shared_ptr<const Document> Doc);

  /// Replaces the list of instances of the own data centre. A target with a
  /// lower epoch than the known target of the same instance is ignored.
  void setInstances(std::vector<InstanceTarget> Targets, TimePoint Now);

  /// Sets the number of entry instances, this one included, that share the
  /// instances of the own data centre. Precondition: \p Count is not 0.
  void setEntryInstances(std::uint32_t Count);

  /// Replaces the free capacity of the other data centres.
  void setRemoteCapacity(std::vector<RemoteCapacity> Capacity);

  /// Applies the latest load report of a peer of the own data centre.
  void onPeerLoads(const PeerLoadReport &Loads);

  /// Drops the load reports of a peer that left or stopped reporting. From then
  /// on, and as long as it is one of the entry instances, it counts as using
  /// its full share of each instance.
  void forgetPeer(const EntryId &Peer);

  /// Adds a request. Never fails: a refusal is an outcome.
  Ticket submit(const RequestInfo &Info, TimePoint Now);

  /// Reports that the claim of \p Id was granted. Returns false if the ticket
  /// has finished in the meantime. Then no try was started, and the I/O driver
  /// must release the claim.
  bool claimGranted(Ticket Id, TimePoint Now);

  /// Reports that the claim was denied. \p Final is passed to the caller
  /// unchanged.
  void claimDenied(Ticket Id, Outcome Final, TimePoint Now);

  /// Reports the end of a try. \p ServerAnswer is the answer if \p Result is
  /// Answered or AnsweredWithError. \p Why is the cause for other results.
  void finishTry(Ticket Id, std::uint32_t Try, TryResult Result, Reason Why,
                 Answer ServerAnswer, TimePoint Now);

  /// Reports the end of a forward. After NotRun the request may be tried
  /// elsewhere. Unknown is final unless the request is repeatable.
  void finishForward(Ticket Id, ForwardResult Result, TimePoint Now);

  /// Cancels every open request that has one of \p Ids. Returns their number.
  std::size_t cancel(const std::vector<RequestId> &Ids, TimePoint Now);

  /// Starts or ends draining. While draining, new and queued requests end as
  /// not run and no try starts. Tries in flight continue.
  void setDraining(bool Draining, TimePoint Now);

  /// Ends the requests whose deadline has passed and starts queued requests for
  /// which a slot is free.
  void tick(TimePoint Now);

  /// Time at which tick() must be called next, or nothing if no request is
  /// open.
  std::optional<TimePoint> nextTick() const;

  /// Returns the actions since the last call, in order.
  std::vector<Action> takeActions();

  /// Own tries in flight at each instance and free capacity of each pool.
  LoadReport loadReport() const;

  /// Own tries in flight at \p Instance, also if it is no longer listed.
  std::uint32_t inFlight(const InstanceId &Instance) const;

  DispatcherStats stats() const;

private:
  explicit Dispatcher(std::unique_ptr<DispatchCore> Core);

  std::unique_ptr<DispatchCore> m_Core;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_DISPATCHER_H
