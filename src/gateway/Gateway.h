//===- Gateway.h - I/O driver of the dispatcher -----------------*- C++ -*-===//
//
// Carries out the dispatcher's actions. The thread that received a request
// waits for the request's next action, performs it and reports the result. The
// dispatcher makes all decisions, under one mutex.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_GATEWAY_GATEWAY_H
#define POLLENSPOOL_GATEWAY_GATEWAY_H

#include "dispatch/Dispatcher.h"
#include "gateway/BackendCall.h"
#include "gateway/GatewayInterfaces.h"
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace pollenspool {

struct GatewaySettings {
  DispatcherSettings m_Dispatcher;
  BackendLimits m_Backend;
};

/// Thread safe.
class Gateway {
public:
  /// Starts the timer thread. \p RequestClaims and \p RequestForwarder must
  /// outlive the gateway. Errors: those of Dispatcher::create.
  static Result<std::unique_ptr<Gateway>> create(GatewaySettings Settings,
                                                 ClaimService &RequestClaims,
                                                 Forwarder &RequestForwarder);
  /// Precondition: no serve() is in progress.
  ~Gateway();

  /// Serves one request and blocks until its final outcome. The deadline in \p
  /// Request is computed from its timeout.
  Outcome serve(CallerRequest Request);

  /// Cancels the open requests of this entry instance that have one of \p Ids
  /// and returns their number.
  std::size_t cancel(const std::vector<RequestId> &Ids);

  void setDocument(std::shared_ptr<const Document> Doc);
  void setInstances(std::vector<InstanceTarget> Targets);
  void setRemoteCapacity(std::vector<RemoteCapacity> Capacity);
  void onPeerLoads(const PeerLoadReport &Loads);
  void setDraining(bool Draining);

  LoadReport loadReport() const;
  std::uint32_t inFlight(const InstanceId &Instance) const;
  DispatcherStats stats() const;
  /// Number of serve() calls in progress.
  std::size_t openRequests() const;
  std::shared_ptr<const Document> document() const;

private:
  /// State of a thread in serve() that other threads access under m_Mutex.
  struct Waiter {
    std::condition_variable m_Wake;
    std::deque<Action> m_Actions;
    BackendCall *m_Call = nullptr;
    std::uint32_t m_Try = 0;
    std::uint32_t m_AbortedTry = 0;
  };

  Gateway(GatewaySettings Settings, Dispatcher Core,
          ClaimService &RequestClaims, Forwarder &RequestForwarder);

  /// Calls \p Event under m_Mutex and delivers the actions that it causes to
  /// the threads of their requests.
  template <typename EventFn> auto withCore(EventFn Event);
  /// Precondition: m_Mutex is held.
  void deliverActions();
  /// Precondition: m_Mutex is held.
  void abortTry(Waiter &W, std::uint32_t Try);
  /// Returns false if the try was aborted before it began.
  bool beginTry(Waiter &W, std::uint32_t Try, BackendCall &Call);
  void runTimer();
  Action nextAction(Waiter &W);
  void fillDefaults(CallerRequest &Request) const;
  void startTry(Waiter &W, const Action &A, const CallerRequest &Request);
  void startForward(const Action &A, const CallerRequest &Request);
  /// Returns the token of the claim, or an empty one if the claim is not held.
  ClaimToken startClaim(const Action &A, const CallerRequest &Request);
  void completeOrReleaseClaim(const RequestId &Id, const ClaimToken &Token,
                              const Outcome &Final);
  void countCall(const InstanceId &Instance, int Change);

  GatewaySettings m_Settings;
  ClaimService &m_Claims;
  Forwarder &m_Forwarder;
  mutable std::mutex m_Mutex;
  Dispatcher m_Core;
  std::shared_ptr<const Document> m_Document;
  std::unordered_map<Ticket, Waiter *> m_Waiters;
  /// Number of backend calls in progress for each instance, from before they
  /// connect until they return.
  std::unordered_map<InstanceId, int> m_Calls;
  std::condition_variable m_TimerWake;
  TimePoint m_TimerAt = TimePoint::max();
  bool m_Stopping = false;
  std::thread m_Timer;
};

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_GATEWAY_H
