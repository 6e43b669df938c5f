//===- Dispatcher.h - The decision core of the request path -----*- C++ -*-===//
//
// Admission, queueing, routing, retries, ejection and cancellation in one entry
// instance. Deterministic: events and the time go in, actions come out.
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

/// Not thread safe: the shell calls it under one mutex. Each event's \p Now
/// must not be before that of the event before it. After each event the shell
/// carries out takeActions() in order. Calls for a ticket that has finished are
/// ignored.
class Dispatcher {
public:
  /// Errors: InvalidSettings if the strategy is unknown or there is no entry
  /// instance.
  static Result<Dispatcher> create(DispatcherSettings Settings);

  Dispatcher(Dispatcher &&) noexcept;
  Dispatcher &operator=(Dispatcher &&) noexcept;
  ~Dispatcher();

  /// Adopts the configuration. Requests that are open keep their pool.
  /// Precondition: \p Doc is not null.
  void setDocument(std::shared_ptr<const Document> Doc);

  /// Replaces the instances of the own data centre. A target with a lower epoch
  /// than the known one of the same instance is ignored.
  void setInstances(std::vector<InstanceTarget> Targets, TimePoint Now);

  /// Entry instances that share the own data centre's instances, this one
  /// included. Precondition: \p Count is not 0.
  void setEntryInstances(std::uint32_t Count);

  /// Replaces what is known of other data centres.
  void setRemoteCapacity(std::vector<RemoteCapacity> Capacity);

  /// Takes in the latest load report of a peer of the own data centre.
  void onPeerLoads(const PeerLoads &Loads);

  /// The peer has left, or is not heard of: it counts as using its share of
  /// each instance for as long as it counts among the entry instances.
  void forgetPeer(const EntryId &Peer);

  /// Takes in a request; never fails, since a refusal is an outcome.
  Ticket submit(const RequestInfo &Info, TimePoint Now);

  /// The claim of \p Id is held. Returns false if the ticket has finished in
  /// the meantime: then nothing ran, and the shell releases the claim.
  bool claimGranted(Ticket Id, TimePoint Now);

  /// The claim is not to be had; \p Final is passed to the caller as it is.
  void claimDenied(Ticket Id, Outcome Final, TimePoint Now);

  /// A try ended. \p Whole is the answer if \p Result is Answered or
  /// AnsweredError, \p Why the cause otherwise.
  void finishTry(Ticket Id, std::uint32_t Try, TryResult Result, Reason Why,
                 Answer Whole, TimePoint Now);

  /// A forward ended. NotRun lets the ticket be tried elsewhere; Unknown is
  /// final unless the request is repeatable.
  void finishForward(Ticket Id, ForwardResult Result, TimePoint Now);

  /// Gives up every open request with one of \p Ids. Returns how many.
  std::size_t cancel(const std::vector<RequestId> &Ids, TimePoint Now);

  /// While draining, new and queued requests end as not run and no try starts;
  /// tries in flight go on.
  void setDraining(bool Draining, TimePoint Now);

  /// Ends what has reached its deadline and starts what can start.
  void tick(TimePoint Now);

  /// When tick has to be called next, or nothing if no request is open.
  std::optional<TimePoint> nextTick() const;

  /// The actions since the last call, in order.
  std::vector<Action> takeActions();

  /// Own tries in flight for each instance and room for each pool.
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
