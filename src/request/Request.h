//===- Request.h - A request of a caller and its outcome --------*- C++ -*-===//
//
// Types that all parts of the request path share. There are three distinct
// outcomes: answered, not run, and unknown.
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

/// Urgency of a request, most urgent first. Less urgent classes give way to
/// more urgent ones.
enum class UrgencyClass : std::uint8_t { Urgent = 0, Normal = 1, Nightly = 2 };
constexpr std::size_t UrgencyClassCount = 3;

/// Returns "urgent", "normal" or "nightly". Thread safe.
std::string_view urgencyClassName(UrgencyClass Class);

/// Properties of a request from its headers. A missing header gets the default
/// with the least risk.
struct RequestInfo {
  RequestId m_Id;
  ServiceName m_Service;
  TeamName m_Team;
  UrgencyClass m_Class = UrgencyClass::Normal;
  /// Steady-clock time by which the caller needs the outcome.
  TimePoint m_Deadline;
  /// True if running the request twice does no harm.
  bool m_Repeatable = false;
  /// True if the caller chose the request ID, so that it may send the request
  /// again under the same ID.
  bool m_HasIdempotencyKey = false;
  /// Number of the caller's attempt with this ID, counted from 1. 0 if the
  /// caller did not send it.
  std::uint32_t m_Attempt = 0;
  /// True if a peer entry instance forwarded the request. Such a request is not
  /// forwarded again.
  bool m_Forwarded = false;
};

/// How a request ended. NotRun means that no backend server started the
/// request, Unknown that one may have started it.
enum class OutcomeKind : std::uint8_t { Answer, NotRun, Unknown };

/// Why a request was not run or why its outcome is unknown. Each reason has its
/// own counter.
enum class Reason : std::uint8_t {
  None,
  // The request was not run.
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
  // The outcome is unknown.
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

/// An end-to-end HTTP header field.
struct Header {
  std::string m_Name;
  std::string m_Value;
};

/// The complete HTTP answer of a backend server.
struct Answer {
  int m_Status = 0;
  std::vector<Header> m_Headers;
  std::string m_Body;
};

struct Outcome {
  OutcomeKind m_Kind = OutcomeKind::NotRun;
  Reason m_Reason = Reason::None;
  Answer m_Answer;
  /// Time after which the caller may retry. 0 if a retry is useless.
  std::chrono::milliseconds m_RetryAfter{0};
  InstanceId m_Instance;
};

/// The result of one try, i.e. of sending the request to one instance once.
enum class TryResult : std::uint8_t {
  /// A complete answer with a status below 500.
  Answered,
  /// A complete answer with a status of 500 or above.
  AnsweredWithError,
  /// Nothing was sent to the backend server, or the backend server reported
  /// that it did not run the request.
  NotRun,
  /// The backend server may have received the request, but no complete answer
  /// arrived.
  Unknown,
};

} // namespace pollenspool

#endif // POLLENSPOOL_REQUEST_REQUEST_H
