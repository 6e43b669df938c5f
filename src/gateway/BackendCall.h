//===- BackendCall.h - One try at a backend server --------------*- C++ -*-===//
//
// Sends a request once over a connection of its own and says what is known of
// the outcome. One connection for each request: on a kept-alive connection a
// late or doubled answer would be taken for the answer to the next request.
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

/// What one try came to.
struct TryReport {
  TryResult m_Result = TryResult::NotRun;
  Reason m_Reason = Reason::None;
  Answer m_Answer;
};

/// Limits of one try.
struct BackendLimits {
  std::chrono::milliseconds m_ConnectTimeout{1000};
};

/// One try. run() is called once; abort() may be called from any thread while
/// the object lives and ends a waiting run() at once.
class BackendCall {
public:
  /// Errors: InvalidArgument if \p InstanceAddress is no ip:port.
  static Result<std::unique_ptr<BackendCall>>
  create(const std::string &InstanceAddress, BackendLimits Limits);
  ~BackendCall();

  /// Sends \p Request once and waits for at most \p Remaining. NotRun is
  /// reported only if nothing was written or the backend server said so.
  TryReport run(const CallerRequest &Request, Duration Remaining);

  /// Closes the connection; a running run() reports Unknown. Thread safe.
  void abort();

private:
  explicit BackendCall(std::unique_ptr<httplib::Client> Client);

  std::unique_ptr<httplib::Client> m_Client;
  std::atomic<bool> m_Aborted{false};
};

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_BACKENDCALL_H
