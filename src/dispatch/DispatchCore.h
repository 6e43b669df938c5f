//===- DispatchCore.h - The state machine behind Dispatcher -----*- C++ -*-===//
//
// Joins admission, routing and retries. Each request is in one phase; leaving a
// phase frees what it held, and finishing removes the request.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_DISPATCHCORE_H
#define POLLENSPOOL_DISPATCH_DISPATCHCORE_H

#include "admission/Admission.h"
#include "admission/PoolQueue.h"
#include "admission/ServiceTime.h"
#include "config/Document.h"
#include "dispatch/ClosingOutcome.h"
#include "dispatch/Messages.h"
#include "dispatch/TicketTable.h"
#include "retry/RetryBudget.h"
#include "routing/InstanceTable.h"
#include <map>
#include <memory>

namespace pollenspool {

/// One pool's queue and what is learned of it. Kept when the document drops the
/// pool, for the requests that are open.
struct PoolEntry {
  PoolName m_Name;
  PoolQueue m_Queue;
  /// Time that a slot is taken, over all services of the pool.
  ServiceTime m_SlotTime;
  std::array<std::size_t, UrgencyClassCount> m_InFlight{};

  std::size_t inFlight() const;
};

struct ServiceEntry {
  PoolEntry *m_Pool = nullptr;
  /// False once the document no longer names the service.
  bool m_Known = false;
  ServiceTime m_Time;
  RetryBudget m_Budget;
};

/// Not thread safe; see Dispatcher for the meaning of the events.
class DispatchCore {
public:
  DispatchCore(const DispatcherSettings &Settings,
               std::unique_ptr<RoutingStrategy> Strategy);

  void setDocument(std::shared_ptr<const Document> Doc);
  void setInstances(std::vector<InstanceTarget> Targets, TimePoint Now);
  void setEntryInstances(std::uint32_t Count);
  void setRemoteCapacity(std::vector<RemoteCapacity> Capacity);
  void onPeerLoads(const PeerLoads &Loads) { m_Instances.onPeerLoads(Loads); }
  void forgetPeer(const EntryId &Peer) { m_Instances.forgetPeer(Peer); }

  Ticket submit(const RequestInfo &Info, TimePoint Now);
  bool claimGranted(Ticket Id, TimePoint Now);
  void claimDenied(Ticket Id, Outcome Final, TimePoint Now);
  void finishTry(Ticket Id, std::uint32_t Try, TryResult Result, Reason Why,
                 Answer Whole, TimePoint Now);
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
  void place(TicketRecord &Record, TimePoint Now);
  AdmissionVerdict judge(const TicketRecord &Record, TimePoint Now) const;
  std::size_t queueBound(const PoolCapacity &Capacity) const;
  void enqueue(TicketRecord &Record);
  void askForClaim(TicketRecord &Record);
  void evictFor(const TicketRecord &Record);

  // Starting.
  void pumpAll(TimePoint Now);
  void pump(PoolEntry &Pool, TimePoint Now);
  bool startNext(PoolEntry &Pool, UrgencyClass Class, TimePoint Now);
  bool hasSlotFor(const PoolEntry &Pool, UrgencyClass Class) const;
  bool isHopeless(const TicketRecord &Record, TimePoint Now) const;
  bool startOrGiveUp(TicketRecord &Record, TimePoint Now);
  void startTry(TicketRecord &Record, RoutedInstance &Instance, TimePoint Now);
  void countTry(TicketRecord &Record);

  // Other data centres.
  RemoteCapacity *remoteFor(const TicketRecord &Record, PoolRoom *&Room);
  bool spill(TicketRecord &Record, TimePoint Now);
  void forward(TicketRecord &Record, const DataCentreName &To, TimePoint Now);
  void forgetRemote(const DataCentreName &Name);

  // Ends of tries.
  void learn(TicketRecord &Record, TryResult Result, TimePoint Now);
  void learnFromTimeout(TicketRecord &Record, TimePoint Now);
  void blame(TicketRecord &Record, RoutedInstance &Instance, TimePoint Now);
  void leaveTry(TicketRecord &Record);
  static void recordTry(TicketRecord &Record, TryResult Result, Reason Why,
                        Answer Whole, const InstanceId &Instance);
  void retryOrFinish(TicketRecord &Record, bool MayRetry, GiveUp Cause,
                     TimePoint Now);
  void expire(TicketRecord &Record, TimePoint Now);
  void cancelOne(TicketRecord &Record);
  void abort(TicketRecord &Record);

  // Finishing. The record is gone afterwards.
  void giveUp(TicketRecord &Record, const GiveUp &Why);
  void finish(TicketRecord &Record, Outcome Out);
  static void leaveQueue(TicketRecord &Record);

  Action &addAction(ActionKind Kind, const TicketRecord &Record);
  PoolEntry &poolEntry(const PoolName &Name);

  DataCentreName m_DataCentre;
  std::uint32_t m_EntryInstances;
  std::shared_ptr<const Document> m_Document;
  InstanceTable m_Instances;
  std::vector<RemoteCapacity> m_Remote;
  std::map<PoolName, std::unique_ptr<PoolEntry>> m_Pools;
  std::map<ServiceName, std::unique_ptr<ServiceEntry>> m_Services;
  TicketTable m_Tickets;
  std::vector<Action> m_Actions;
  DispatcherStats m_Stats;
  bool m_Draining = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_DISPATCHCORE_H
