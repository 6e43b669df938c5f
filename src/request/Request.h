//===- Request.h - A caller's request and its outcome -----------*- C++ -*-===//
//
// The messages that all slices of the request path share. Three outcomes are
// never mixed up: an answer, not run, and unknown.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_REQUEST_REQUEST_H
#define POLLENSPOOL_REQUEST_REQUEST_H

#include "base/Ids.h"
#include "base/Time.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pollenspool {

/// Urgency of a request, most urgent first. Lower classes yield to higher.
enum class UrgencyClass : std::uint8_t { Urgent = 0, Normal = 1, Nightly = 2 };
constexpr std::size_t UrgencyClassCount = 3;

/// "urgent", "normal" or "nightly". Thread safe.
std::string_view urgencyName(UrgencyClass Class);

/// What a request says of itself, as the headers gave it or by safe defaults.
struct RequestInfo {
  RequestId m_Id;
  ServiceName m_Service;
  TeamName m_Team;
  UrgencyClass m_Class = UrgencyClass::Normal;
  /// Steady time by which the caller needs the outcome.
  TimePoint m_Deadline;
  /// True if running the request twice does no harm.
  bool m_Repeatable = false;
  /// True if the caller chose the ID, so that it may come again.
  bool m_CallerKeyed = false;
  /// The caller's count of tries with this ID, from 1; 0 if not said.
  std::uint32_t m_Attempt = 0;
  /// True if a peer entry instance sent the request on; it is not sent on
  /// again.
  bool m_Forwarded = false;
};

/// What came of a request. Never merged: NotRun means that no backend server
/// started it, Unknown that one may have.
enum class OutcomeKind : std::uint8_t { Answer, NotRun, Unknown };

/// Why a request was not run or why its outcome is unknown. Each has a counter.
enum class Reason : std::uint8_t {
  None,
  // Not run.
  UnknownService,
  QueueFull,
  DeadlineTooShort,
  DeadlinePassedInQueue,
  ShedForUrgentWork,
  NoInstance,
  PoolUnreachable,
  QuotaExceeded,
  Cancelled,
  Draining,
  RetryBudgetSpent,
  AttemptsSpent,
  PeerUnreachable,
  BadRequest,
  ClaimRefusedNotOwner,
  // Unknown.
  BackendConnectionLost,
  BackendTimeout,
  BackendTruncated,
  BackendUnframed,
  BackendMismatch,
  PeerConnectionLost,
  CancelledInFlight,
  ClaimedElsewhere,
  ClaimInProgress,
  ClaimUnavailable,
  ClaimOwnerUnreachable,
  ClaimOwnerRecovering,
  RepeatNotVouched,
};
constexpr std::size_t ReasonCount =
    static_cast<std::size_t>(Reason::RepeatNotVouched) + 1;

/// The snake_case label of \p R in metrics and answers. Thread safe.
std::string_view reasonName(Reason R);

/// One end-to-end HTTP header.
struct Header {
  std::string m_Name;
  std::string m_Value;
};

/// A backend server's whole answer.
struct Answer {
  int m_Status = 0;
  std::vector<Header> m_Headers;
  std::string m_Body;
};

/// The final outcome of one request.
struct Outcome {
  OutcomeKind m_Kind = OutcomeKind::NotRun;
  Reason m_Reason = Reason::None;
  Answer m_Answer;
  /// When to come back; zero if there is no use in coming back.
  std::chrono::milliseconds m_RetryAfter{0};
  InstanceId m_Instance;
};

/// What one try at an instance came to.
enum class TryResult : std::uint8_t {
  /// A whole answer with a status below 500.
  Answered,
  /// A whole answer with a status of 500 or above.
  AnsweredError,
  /// Nothing was written to the backend server, or it said so itself.
  NotRun,
  /// Bytes may have arrived.
  Unknown,
};

} // namespace pollenspool

#endif // POLLENSPOOL_REQUEST_REQUEST_H
