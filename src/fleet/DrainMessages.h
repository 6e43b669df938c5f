//===- DrainMessages.h - Drain questions between entry instances -*- C++ -*-==//

#ifndef POLLENSPOOL_FLEET_DRAINMESSAGES_H
#define POLLENSPOOL_FLEET_DRAINMESSAGES_H

#include "base/Error.h"
#include "fleet/FleetActions.h"

namespace pollenspool {

constexpr const char *DrainStatusPath = "/fleet/drain-status";

/// The MessagePack form of \p Ask. Thread safe.
std::string encodeAsk(const AskDrainStatus &Ask);

/// Reads encodeAsk's form. Errors: InvalidMessage. Thread safe.
Result<AskDrainStatus> decodeAsk(const std::string &Bytes);

/// The MessagePack form of \p Ack. Thread safe.
std::string encodeAck(const DrainAck &Ack);

/// Reads encodeAck's form. Errors: InvalidMessage. Thread safe.
Result<DrainAck> decodeAck(const std::string &Bytes);

} // namespace pollenspool

#endif // POLLENSPOOL_FLEET_DRAINMESSAGES_H
