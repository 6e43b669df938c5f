//===- Messages.h - Messages of forwarded requests --------------*- C++ -*-===//
//
// Encodes requests that are forwarded to another data centre, and their
// outcomes. The deadline is sent as the time remaining, since the clocks of two
// machines differ.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FORWARD_MESSAGES_H
#define POLLENSPOOL_FORWARD_MESSAGES_H

#include "gateway/CallerRequest.h"

namespace pollenspool {

constexpr const char *ForwardPath = "/forward/request";
constexpr const char *ForwardCancelPath = "/forward/cancel";

/// Encodes \p Request as MessagePack; \p Remaining is the time until its
/// deadline. Thread safe.
std::string encodeRequest(const CallerRequest &Request, Duration Remaining);

/// Decodes the result of encodeRequest() and marks the request as forwarded.
/// Errors: InvalidMessage. Thread safe.
Result<CallerRequest> decodeRequest(const std::string &Bytes);

/// Encodes \p Final as MessagePack. Thread safe.
std::string encodeOutcome(const Outcome &Final);

/// Decodes the result of encodeOutcome(). Errors: InvalidMessage. Thread safe.
Result<Outcome> decodeOutcome(const std::string &Bytes);

/// Encodes \p Ids as MessagePack. Thread safe.
std::string encodeIds(const std::vector<RequestId> &Ids);

/// Decodes the result of encodeIds(). Errors: InvalidMessage. Thread safe.
Result<std::vector<RequestId>> decodeIds(const std::string &Bytes);

} // namespace pollenspool

#endif // POLLENSPOOL_FORWARD_MESSAGES_H
