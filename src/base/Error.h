//===- Error.h - Errors as values -------------------------------*- C++ -*-===//
//
// An enum of error codes with a message for each code. An Error adds the step
// that failed and the peer. Functions that can fail return Result<T>.
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
  RateLimited,
  ResourceExhausted,
  ShuttingDown,
  Internal,
};

/// The constant message of \p Code. Thread safe.
std::string_view errorMessage(ErrorCode Code);

/// An error code with the step that failed, the peer of that step and details.
/// The peer and the details may be empty. Objects that are not modified may be
/// shared between threads.
struct Error {
  ErrorCode m_Code = ErrorCode::Internal;
  std::string m_Step;
  std::string m_Peer;
  std::string m_Detail;

  /// One line: "step (peer): message: detail". Thread safe.
  std::string describe() const;
};

/// A value or an Error. Callers have to check it or propagate it: reading the
/// absent alternative terminates the process.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<
    T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

/// Creates an Error of \p Step. \p Peer is empty if the step is local.
inline Error makeError(ErrorCode Code, std::string Step, std::string Peer = {},
                       std::string Detail = {}) {
  return Error{Code, std::move(Step), std::move(Peer), std::move(Detail)};
}

inline auto success() { return BOOST_OUTCOME_V2_NAMESPACE::success(); }

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_ERROR_H
