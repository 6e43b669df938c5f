//===- BackendCall.h - One try at a backend server --------------*- C++ -*-===//
//
// Sends a request once over a new connection and classifies the outcome. The
// connection is not reused: on a keep-alive connection, a late or duplicate
// reply could be matched to the next request.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_GATEWAY_BACKENDCALL_H
#define POLLENSPOOL_GATEWAY_BACKENDCALL_H

#include "gateway/CallerRequest.h"
#include <atomic>
#include <memory>

namespace httplib {
class Client;
} // namespace httplib

namespace pollenspool {

/// Outcome of one try.
struct TryReport {
  TryResult m_Result = TryResult::NotRun;
  Reason m_Reason = Reason::None;
  Answer m_Answer;
};

/// Limits of one try.
struct BackendLimits {
  std::chrono::milliseconds m_ConnectTimeout{1000};
};

/// One try. run() is called once. abort() may be called from any thread during
/// the lifetime of the object and makes a blocked run() return immediately.
class BackendCall {
public:
  /// Errors: InvalidArgument if \p InstanceAddress is not an ip:port.
  static Result<std::unique_ptr<BackendCall>>
  create(const std::string &InstanceAddress, BackendLimits Limits);
  ~BackendCall();

  /// Sends \p Request once and waits at most \p Remaining for the reply.
  /// Reports NotRun only if nothing was written or if the backend server
  /// replied that it did not run the request.
  TryReport run(const CallerRequest &Request, Duration Remaining);

  /// Closes the connection; a run() in progress reports Unknown. Thread
  /// safe.
  void abort();

private:
  explicit BackendCall(std::unique_ptr<httplib::Client> Client);

  std::unique_ptr<httplib::Client> m_Client;
  std::atomic<bool> m_Aborted{false};
};

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_BACKENDCALL_H
