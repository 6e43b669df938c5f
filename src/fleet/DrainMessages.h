//===- DrainMessages.h - Drain status messages ------------------*- C++ -*-===//

#ifndef POLLENSPOOL_FLEET_DRAINMESSAGES_H
#define POLLENSPOOL_FLEET_DRAINMESSAGES_H

#include "base/Error.h"
#include "fleet/FleetActions.h"

namespace pollenspool {

constexpr const char *DrainStatusPath = "/fleet/drain-status";

/// Encodes \p Query as MessagePack. Thread safe.
std::string encodeAsk(const AskDrainStatus &Query);

/// Decodes the output of encodeAsk(). Errors: InvalidMessage. Thread safe.
Result<AskDrainStatus> decodeAsk(const std::string &Bytes);

/// Encodes \p Ack as MessagePack. Thread safe.
std::string encodeAck(const DrainAck &Ack);

/// Decodes the output of encodeAck(). Errors: InvalidMessage. Thread safe.
Result<DrainAck> decodeAck(const std::string &Bytes);

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_DRAINMESSAGES_H
