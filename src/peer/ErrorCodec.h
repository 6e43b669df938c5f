//===- ErrorCodec.h - Errors on their way to a peer -------------*- C++ -*-===//
//
// The body of an answer that carries an error: its code by name, since
// releases that run side by side may number the codes differently.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_ERRORCODEC_H
#define POLLENSPOOL_PEER_ERRORCODEC_H

#include "base/Error.h"
#include <string>
#include <string_view>

namespace pollenspool {

/// The message for \p Failure. Thread safe.
std::string encodeError(const Error &Failure);

/// Reads a message; one that cannot be read, or an unknown code, is Internal.
/// An empty peer becomes \p Peer. Thread safe.
Error decodeError(std::string_view Message, const std::string &Peer);

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_ERRORCODEC_H
