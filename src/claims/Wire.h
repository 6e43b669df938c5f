//===- Wire.h - Conversions between shared types and messages ---*- C++ -*-===//
// Converts the request component's types to and from their encoding in
// messages.
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_WIRE_H
#define POLLENSPOOL_CLAIMS_WIRE_H

#include "claims/ClaimTypes.h"
#include "claims/Messages.h"

namespace pollenspool::claims {

/// Convert an answer to and from its encoding in messages. Thread safe.
WireAnswer toWire(const Answer &A);
Answer fromWire(const WireAnswer &A);

/// Returns an answer that denies a claim for the reason \p Why. Thread safe.
ClaimAnswer denial(Reason Why);

/// Return the verdict and the reason of an answer. A verdict that this version
/// does not know reads as Denied, an unknown reason as ClaimUnavailable. Thread
/// safe.
ClaimVerdict verdictOf(const ClaimAnswer &Answer);
Reason reasonOf(const ClaimAnswer &Answer);

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_WIRE_H
