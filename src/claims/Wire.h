//===- Wire.h - Shared types to and from the messages -----------*- C++ -*-===//
//
// Conversions between the request slice's types and those that travel.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CLAIMS_WIRE_H
#define POLLENSPOOL_CLAIMS_WIRE_H

#include "claims/ClaimTypes.h"
#include "claims/Messages.h"

namespace pollenspool::claims {

/// Thread safe.
WireAnswer toWire(const Answer &A);
Answer fromWire(const WireAnswer &A);

/// An answer that refuses a claim. Thread safe.
ClaimAnswer denial(Reason Why);

/// The verdict and the reason of an answer; one that this version does not know
/// is a denial. Thread safe.
ClaimVerdict verdictOf(const ClaimAnswer &Answer);
Reason reasonOf(const ClaimAnswer &Answer);

} // namespace pollenspool::claims

#endif // POLLENSPOOL_CLAIMS_WIRE_H
