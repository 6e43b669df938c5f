//===- Messages.h - Requests between entry instances ------------*- C++ -*-===//
//
// A request that another data centre's instances serve, and its outcome. Time
// travels as what is left of the deadline, since clocks differ.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_FORWARD_MESSAGES_H
#define POLLENSPOOL_FORWARD_MESSAGES_H

#include "gateway/CallerRequest.h"

namespace pollenspool {

constexpr const char *ForwardPath = "/forward/request";
constexpr const char *ForwardCancelPath = "/forward/cancel";

/// The MessagePack form of \p Request with \p Remaining of its deadline.
/// Thread safe.
std::string encodeRequest(const CallerRequest &Request, Duration Remaining);

/// Reads encodeRequest's form; the request is marked as forwarded. Errors:
/// InvalidMessage. Thread safe.
Result<CallerRequest> decodeRequest(const std::string &Bytes);

/// The MessagePack form of \p Final. Thread safe.
std::string encodeOutcome(const Outcome &Final);

/// Reads encodeOutcome's form. Errors: InvalidMessage. Thread safe.
Result<Outcome> decodeOutcome(const std::string &Bytes);

/// The MessagePack form of a list of IDs. Thread safe.
std::string encodeIds(const std::vector<RequestId> &Ids);

/// Reads encodeIds' form. Errors: InvalidMessage. Thread safe.
Result<std::vector<RequestId>> decodeIds(const std::string &Bytes);

} // namespace pollenspool

#endif // POLLENSPOOL_FORWARD_MESSAGES_H
