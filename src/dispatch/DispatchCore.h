//===- DispatchCore.h - State machine of the dispatcher ---------*- C++ -*-===//
//
// Combines admission, routing and retries. Each request is in one phase.
// Leaving a phase releases what the request held in it, and finishing removes
// the request.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_DISPATCHCORE_H
#define POLLENSPOOL_DISPATCH_DISPATCHCORE_H

#include "admission/Admission.h"
#include "admission/PoolQueue.h"
#include "admission/ServiceTime.h"
#include "config/Document.h"
#include "dispatch/FinalOutcome.h"
#include "dispatch/Messages.h"
#include "dispatch/TicketTable.h"
#include "retry/RetryBudget.h"
#include "routing/InstanceTable.h"
#include <map>
#include <memory>

namespace pollenspool {

/// Queue and measurements of one pool. Kept when the configuration document no
/// longer contains the pool, because open requests still refer to it.
struct PoolState {
  PoolName m_Name;
  PoolQueue m_Queue;
  /// Time for which a try occupies a slot, over all services of the pool.
  ServiceTime m_SlotTime;
  std::array<std::size_t, UrgencyClassCount> m_InFlight{};

  std::size_t inFlight() const;
};

struct ServiceState {
  PoolState *m_Pool = nullptr;
  /// False when the current configuration document no longer contains the
  /// service.
  bool m_InDocument = false;
  ServiceTime m_Time;
  RetryBudget m_Budget;
};

/// Not thread safe. The events are documented at Dispatcher.
class DispatchCore {
public:
  DispatchCore(const DispatcherSettings &Settings,
               std::unique_ptr<RoutingStrategy> Strategy);

  void setDocument(std::shared_ptr<const Document> Doc);
  void setInstances(std::vector<InstanceTarget> Targets, TimePoint Now);
  void setEntryInstances(std::uint32_t Count);
  void setRemoteCapacity(std::vector<RemoteCapacity> Capacity);
  void onPeerLoads(const PeerLoadReport &Loads) {
    m_Instances.onPeerLoads(Loads);
  }
  void forgetPeer(const EntryId &Peer) { m_Instances.forgetPeer(Peer); }

  Ticket submit(const RequestInfo &Info, TimePoint Now);
  bool claimGranted(Ticket Id, TimePoint Now);
  void claimDenied(Ticket Id, Outcome Final, TimePoint Now);
  void finishTry(Ticket Id, std::uint32_t Try, TryResult Result, Reason Why,
                 Answer ServerAnswer, TimePoint Now);
  void finishForward(Ticket Id, ForwardResult Result, TimePoint Now);
  std::size_t cancel(const std::vector<RequestId> &Ids, TimePoint Now);
  void setDraining(bool Draining, TimePoint Now);
  void tick(TimePoint Now);

  std::optional<TimePoint> nextTick() const;
  std::vector<Action> takeActions();
  LoadReport loadReport() const;
  std::uint32_t inFlight(const InstanceId &Instance) const;
  DispatcherStats stats() const;

private:
  // Admission.
  void admit(TicketRecord &Record, TimePoint Now);
  AdmissionDecision evaluateAdmission(const TicketRecord &Record,
                                      TimePoint Now) const;
  std::size_t poolQueueLimit(const PoolCapacity &Capacity) const;
  void enqueue(TicketRecord &Record);
  void requestClaim(TicketRecord &Record);
  void evictFor(const TicketRecord &Record);

  // Starting.
  void startQueuedInAllPools(TimePoint Now);
  void startQueued(PoolState &Pool, TimePoint Now);
  bool startNext(PoolState &Pool, UrgencyClass Class, TimePoint Now);
  bool hasSlotFor(const PoolState &Pool, UrgencyClass Class) const;
  bool cannotMeetDeadline(const TicketRecord &Record, TimePoint Now) const;
  bool startOrAbandon(TicketRecord &Record, TimePoint Now);
  void startTry(TicketRecord &Record, RoutedInstance &Instance, TimePoint Now);
  void countTry(TicketRecord &Record);

  // Other data centres.
  RemoteCapacity *findRemote(const TicketRecord &Record,
                             PoolFreeCapacity *&Target);
  bool forwardIfPossible(TicketRecord &Record, TimePoint Now);
  void forward(TicketRecord &Record, const DataCentreName &To, TimePoint Now);
  void markUnreachable(const DataCentreName &Name);

  // End of tries.
  void updateEstimates(TicketRecord &Record, TryResult Result, TimePoint Now);
  void updateEstimatesOnTimeout(TicketRecord &Record, TimePoint Now);
  void recordInstanceFailure(TicketRecord &Record, RoutedInstance &Instance,
                             TimePoint Now);
  void releaseTry(TicketRecord &Record);
  static void addToHistory(TicketRecord &Record, TryResult Result, Reason Why,
                           Answer ServerAnswer, const InstanceId &Instance);
  void retryOrFinish(TicketRecord &Record, bool MayRetry, AbandonCause Cause,
                     TimePoint Now);
  void expire(TicketRecord &Record, TimePoint Now);
  void cancelOne(TicketRecord &Record);
  void abort(TicketRecord &Record);

  // End of requests. These functions destroy the record.
  void abandon(TicketRecord &Record, const AbandonCause &Why);
  void finish(TicketRecord &Record, Outcome Out);
  static void removeFromQueue(TicketRecord &Record);

  Action &addAction(ActionKind Kind, const TicketRecord &Record);
  PoolState &poolState(const PoolName &Name);

  DataCentreName m_DataCentre;
  std::uint32_t m_EntryInstances;
  std::shared_ptr<const Document> m_Document;
  InstanceTable m_Instances;
  std::vector<RemoteCapacity> m_Remote;
  std::map<PoolName, std::unique_ptr<PoolState>> m_Pools;
  std::map<ServiceName, std::unique_ptr<ServiceState>> m_Services;
  TicketTable m_Tickets;
  std::vector<Action> m_Actions;
  DispatcherStats m_Stats;
  bool m_Draining = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_DISPATCHCORE_H
