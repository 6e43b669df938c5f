//===- CallerServer.h - HTTP towards callers --------------------*- C++ -*-===//
//
// /services/NAME/... serves requests, /healthz answers the balancer, and
// /requests/cancel gives up requests by their IDs.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_GATEWAY_CALLERSERVER_H
#define POLLENSPOOL_GATEWAY_CALLERSERVER_H

#include "gateway/Gateway.h"
#include "gateway/WorkerPool.h"
#include <atomic>
#include <functional>

namespace pollenspool {

struct CallerServerSettings {
  /// "ip:port".
  std::string m_Listen;
  std::size_t m_Threads = 512;
  /// Time after the start of a drain for the balancer to notice.
  std::chrono::milliseconds m_DrainGrace{1000};
  /// Name of this entry instance in answers.
  std::string m_Name;
};

/// Thread safe.
class CallerServer {
public:
  /// Binds, but does not answer before start(). \p Requests and \p Forward
  /// have to outlive the server; \p IsReady says whether the balancer may send
  /// work. Errors: InvalidSettings, Unavailable if the address is in use.
  static Result<std::unique_ptr<CallerServer>>
  create(CallerServerSettings Settings, Gateway &Requests, Forwarder &Forward,
         std::function<bool()> IsReady);
  ~CallerServer();

  /// Answers callers from now on.
  void start();

  /// Fails the health check, refuses new requests as not run, waits until
  /// every request in flight and every accepted connection is answered, and
  /// stops. Blocks.
  void drainAndStop();

  /// Requests refused before they reached the dispatcher.
  std::uint64_t badRequests() const { return m_BadRequests; }

private:
  CallerServer(CallerServerSettings Settings, Gateway &Requests,
               Forwarder &Forward, std::function<bool()> IsReady);

  void setUpRoutes();
  void serveRequest(const httplib::Request &In, httplib::Response &Out);
  void serveHealth(httplib::Response &Out) const;
  void serveCancel(const httplib::Request &In, httplib::Response &Out);

  CallerServerSettings m_Settings;
  Gateway &m_Gateway;
  Forwarder &m_Forwarder;
  std::function<bool()> m_IsReady;
  TaskCount m_Tasks;
  std::atomic<bool> m_Draining{false};
  std::atomic<std::uint64_t> m_BadRequests{0};
  httplib::Server m_Server;
  std::thread m_Acceptor;
};

/// Sets the caller-facing form of \p Final. Thread safe.
void writeOutcome(const Outcome &Final, const RequestId &Id,
                  httplib::Response &Out);

/// A random 128-bit ID in hexadecimal, from the system's source. Thread safe.
RequestId mintRequestId();

/// Lets a second process on the same port fail instead of sharing it.
void refuseSharedPort(int Socket);

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_CALLERSERVER_H
