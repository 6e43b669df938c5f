//===- Gateway.h - The threaded shell of the request path -------*- C++ -*-===//
//
// Carries out the dispatcher's actions: each request is served by the thread
// that brought it, which waits for its next action, does it, and reports back.
// All decisions are the dispatcher's, under one mutex.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_GATEWAY_GATEWAY_H
#define POLLENSPOOL_GATEWAY_GATEWAY_H

#include "dispatch/Dispatcher.h"
#include "gateway/BackendCall.h"
#include "gateway/Collaborators.h"
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
  /// Starts the timer thread. \p ClaimPort and \p ForwardPort have to outlive
  /// the gateway. Errors: those of Dispatcher::create.
  static Result<std::unique_ptr<Gateway>>
  create(GatewaySettings Settings, Claims &ClaimPort, Forwarder &ForwardPort);
  /// Precondition: no serve() is running.
  ~Gateway();

  /// Serves one request and blocks until its outcome, which is final. The
  /// deadline in \p Request is set from its time-out.
  Outcome serve(CallerRequest Request);

  /// Gives up every open request with one of \p Ids here; how many there were.
  std::size_t cancel(const std::vector<RequestId> &Ids);

  void setDocument(std::shared_ptr<const Document> Doc);
  void setInstances(std::vector<InstanceTarget> Targets);
  void setRemoteCapacity(std::vector<RemoteCapacity> Capacity);
  void onPeerLoads(const PeerLoads &Loads);
  void setDraining(bool Draining);

  LoadReport loadReport() const;
  std::uint32_t inFlight(const InstanceId &Instance) const;
  DispatcherStats stats() const;
  /// Requests that serve() has not yet given back.
  std::size_t openRequests() const;
  std::shared_ptr<const Document> document() const;

private:
  /// The thread of one request, as seen by the others.
  struct Waiter {
    std::condition_variable m_Wake;
    std::deque<Action> m_Actions;
    BackendCall *m_Call = nullptr;
    std::uint32_t m_Try = 0;
    std::uint32_t m_AbortedTry = 0;
  };

  Gateway(GatewaySettings Settings, Dispatcher Core, Claims &ClaimPort,
          Forwarder &ForwardPort);

  /// Runs \p Event on the core and hands its actions to their threads.
  template <typename EventFn> auto withCore(EventFn Event);
  /// Precondition: m_Mutex is held.
  void deliverActions();
  /// Precondition: m_Mutex is held.
  void abortTry(Waiter &W, std::uint32_t Try);
  /// False if the try was aborted before it began.
  bool beginTry(Waiter &W, std::uint32_t Try, BackendCall &Call);
  void runTimer();
  Action nextAction(Waiter &W);
  void fillDefaults(CallerRequest &Request) const;
  void startTry(Waiter &W, const Action &A, const CallerRequest &Request);
  void startForward(const Action &A, const CallerRequest &Request);
  /// The token of the claim, or an empty one if it is not held.
  ClaimToken startClaim(const Action &A, const CallerRequest &Request);
  void settleClaim(const RequestId &Id, const ClaimToken &Token,
                   const Outcome &Final);
  void countCall(const InstanceId &Instance, int Change);

  GatewaySettings m_Settings;
  Claims &m_Claims;
  Forwarder &m_Forwarder;
  mutable std::mutex m_Mutex;
  Dispatcher m_Core;
  std::shared_ptr<const Document> m_Document;
  std::unordered_map<Ticket, Waiter *> m_Waiters;
  /// Connections to backend servers that are open or about to be.
  std::unordered_map<InstanceId, int> m_Calls;
  std::condition_variable m_TimerWake;
  TimePoint m_TimerAt = TimePoint::max();
  bool m_Stopping = false;
  std::thread m_Timer;
};

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_GATEWAY_H
