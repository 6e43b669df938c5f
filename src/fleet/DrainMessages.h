//===- DrainMessages.h - Drain status messages ------------------*- C++ -*-===//

#ifndef POLLENSPOOL_FLEET_DRAINMESSAGES_H
#define POLLENSPOOL_FLEET_DRAINMESSAGES_H

#include "base/Error.h"
#include "fleet/FleetActions.h"

namespace pollenspool {

constexpr const char *DrainStatusPath = "/fleet/drain-status";

/// Encodes \p Query as MessagePack. Thread safe.
std::string encodeDrainStatusQuery(const DrainStatusQuery &Query);

/// Decodes the output of encodeDrainStatusQuery(). Errors: InvalidMessage.
/// Thread safe.
Result<DrainStatusQuery> decodeDrainStatusQuery(const std::string &Bytes);

/// Encodes \p Ack as MessagePack. Thread safe.
std::string encodeDrainAck(const DrainAck &Ack);

/// Decodes the output of encodeDrainAck(). Errors: InvalidMessage. Thread safe.
Result<DrainAck> decodeDrainAck(const std::string &Bytes);

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_DRAINMESSAGES_H
