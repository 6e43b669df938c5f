//===- Error.h - Errors as values -------------------------------*- C++ -*-===//
//
// One enum with a message for each code; an Error adds the step and the peer at
// which it arose. Functions that can fail return Result<T>.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_ERROR_H
#define POLLENSPOOL_BASE_ERROR_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace pollenspool {

enum class ErrorCode {
  InvalidArgument,
  InvalidSettings,
  InvalidDocument,
  InvalidMessage,
  ConnectFailed,
  Timeout,
  ConnectionLost,
  Refused,
  Conflict,
  NotFound,
  Unavailable,
  OverBudget,
  ShuttingDown,
  Internal,
};

/// The fixed message of \p Code. Thread safe; never fails.
std::string_view errorMessage(ErrorCode Code);

/// An error with the step that failed and the peer it was talking to.
/// Immutable after construction, so it may be shared between threads.
struct Error {
  ErrorCode m_Code = ErrorCode::Internal;
  std::string m_Step;
  std::string m_Peer;
  std::string m_Detail;

  /// One line: "step (peer): message: detail". Thread safe.
  std::string describe() const;
};

/// A value or an Error; has to be checked or handed on.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Builds the error of \p Step. \p Peer may be empty for a local step.
inline Error makeError(ErrorCode Code, std::string Step, std::string Peer = {},
                       std::string Detail = {}) {
  return Error{Code, std::move(Step), std::move(Peer), std::move(Detail)};
}

inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_ERROR_H
