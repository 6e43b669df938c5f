//===- CallerRequest.h - A caller's HTTP request ----------------*- C++ -*-===//
//
// A request as received over HTTP, with the values read from its headers.
// Absent headers get safe defaults (docs/CALLERS.md).
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

/// A caller's request while this entry instance serves it.
struct CallerRequest {
  RequestInfo m_Info;
  std::string m_Method;
  /// Path and query after "/services/NAME", with a leading slash.
  std::string m_Target;
  /// End-to-end headers; hop-by-hop headers are removed.
  std::vector<Header> m_Headers;
  std::string m_Body;
  /// Time limit that the caller set for the outcome; zero means the service's
  /// default.
  std::chrono::milliseconds m_Timeout{0};
  /// True if the caller gave a class; otherwise the service's default applies.
  bool m_ClassGiven = false;
};

/// Request line, headers and body as received, before interpretation.
struct RawRequest {
  std::string m_Method;
  std::string m_Service;
  std::string m_Target;
  std::vector<Header> m_Headers;
  std::string m_Body;
};

/// True for hop-by-hop headers, which are not passed on. Thread safe.
bool isHopByHop(const std::string &HeaderName);

/// True if two header names are equal, ignoring case. Thread safe.
bool sameHeader(const std::string &A, const std::string &B);

/// Returns the value of the first header of that name, or null. Thread safe.
const std::string *findHeader(const std::vector<Header> &All,
                              const std::string &HeaderName);

/// Interprets the headers. A request without an ID gets \p GeneratedId. Errors:
/// InvalidArgument, which names the header. Thread safe.
Result<CallerRequest> readCallerRequest(RawRequest Raw, RequestId GeneratedId);

} // namespace pollenspool

#endif // POLLENSPOOL_GATEWAY_CALLERREQUEST_H
