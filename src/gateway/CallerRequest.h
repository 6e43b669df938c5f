//===- CallerRequest.h - A caller's HTTP request ----------------*- C++ -*-===//
//
// The request as it came over HTTP, with what its headers say of it. Headers
// that are absent get safe defaults (docs/CALLERS.md).
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_GATEWAY_CALLERREQUEST_H
#define POLLENSPOOL_GATEWAY_CALLERREQUEST_H

#include "base/Error.h"
#include "request/Request.h"
#include <string>
#include <vector>

namespace pollenspool {

namespace headers {

constexpr const char *IdempotencyKey = "Idempotency-Key";
constexpr const char *Attempt = "Pollenspool-Attempt";
constexpr const char *TimeoutMs = "Pollenspool-Timeout-Ms";
constexpr const char *Class = "Pollenspool-Class";
constexpr const char *Repeatable = "Pollenspool-Repeatable";
constexpr const char *Team = "Pollenspool-Team";
constexpr const char *RequestIdHeader = "Pollenspool-Request-Id";
constexpr const char *DeadlineMs = "Pollenspool-Deadline-Ms";
constexpr const char *Service = "Pollenspool-Service";
constexpr const char *OutcomeHeader = "Pollenspool-Outcome";
constexpr const char *ReasonHeader = "Pollenspool-Reason";
constexpr const char *Instance = "Pollenspool-Instance";
constexpr const char *NotRun = "Pollenspool-Not-Run";
constexpr const char *RetryAfterMs = "Retry-After-Ms";

} // namespace headers

/// A caller's request on its way through this entry instance.
struct CallerRequest {
  RequestInfo m_Info;
  std::string m_Method;
  /// Path and query below the service, with a leading slash.
  std::string m_Target;
  /// End-to-end headers, without those that concern one connection.
  std::vector<Header> m_Headers;
  std::string m_Body;
  /// What the caller gives until the outcome; zero takes the service's default.
  std::chrono::milliseconds m_Timeout{0};
  /// True if the caller named a class; else the service's default holds.
  bool m_ClassGiven = false;
};

/// The request line and headers as a server read them.
struct RawRequest {
  std::string m_Method;
  std::string m_Service;
  std::string m_Target;
  std::vector<Header> m_Headers;
  std::string m_Body;
};

/// True for headers that concern one connection only. Thread safe.
bool isHopByHop(const std::string &HeaderName);

/// True if two header names are the same. Thread safe.
bool sameHeader(const std::string &A, const std::string &B);

/// The value of the first header of that name, or null. Thread safe.
const std::string *findHeader(const std::vector<Header> &All,
                              const std::string &HeaderName);

/// Reads what the headers say. A request without an ID gets \p MintedId.
/// Errors: InvalidArgument naming the header. Thread safe.
Result<CallerRequest> readCallerRequest(RawRequest Raw, RequestId MintedId);

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_CALLERREQUEST_H
