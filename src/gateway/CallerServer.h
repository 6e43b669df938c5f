//===- CallerServer.h - HTTP server for callers -----------------*- C++ -*-===//
//
// /services/NAME/... serves requests, /healthz is the load balancer's health
// check, and /requests/cancel cancels requests by their IDs.
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
  /// Time after the start of a drain in which requests are still accepted, so
  /// that the load balancer's health check can fail first.
  std::chrono::milliseconds m_DrainGrace{1000};
  /// Name of this entry instance.
  std::string m_Name;
};

/// Thread safe.
class CallerServer {
public:
  /// Binds the address; requests are not served before start(). \p Requests and
  /// \p Forward must outlive the server. \p IsReady tells whether the load
  /// balancer may send requests. Errors: InvalidSettings, Unavailable if the
  /// address is in use.
  static Result<std::unique_ptr<CallerServer>>
  create(CallerServerSettings Settings, Gateway &Requests, Forwarder &Forward,
         std::function<bool()> IsReady);
  ~CallerServer();

  /// Starts serving callers.
  void start();

  /// Fails the health check, then refuses new requests as not run, waits until
  /// all requests in flight and all accepted connections are served, and stops.
  /// Blocks.
  void drainAndStop();

  /// Number of requests refused before they reached the dispatcher.
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

/// Writes \p Final to the HTTP response \p Out. Thread safe.
void writeOutcome(const Outcome &Final, const RequestId &Id,
                  httplib::Response &Out);

/// Returns a random 128-bit ID in hexadecimal, from OpenSSL's generator. Thread
/// safe.
RequestId generateRequestId();

/// Sets only SO_REUSEADDR on \p Socket, so that a second process that binds the
/// same port fails instead of sharing the port.
void disablePortSharing(int Socket);

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_CALLERSERVER_H
