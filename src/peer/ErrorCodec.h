//===- ErrorCodec.h - Encodes errors for peers ------------------*- C++ -*-===//
//
// The body of an answer that carries an error. The code is sent by name, since
// different releases may run at the same time and number the codes differently.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_PEER_ERRORCODEC_H
#define POLLENSPOOL_PEER_ERRORCODEC_H

#include "base/Error.h"
#include <string>
#include <string_view>

namespace pollenspool {

/// Encodes \p Failure as a message body. Thread safe.
std::string encodeError(const Error &Failure);

/// Decodes a message body. A malformed message or an unknown code gives
/// Internal. An empty peer field is replaced by \p Peer. Thread safe.
Error decodeError(std::string_view Message, const std::string &Peer);

} // namespace pollenspool

#endif // POLLENSPOOL_PEER_ERRORCODEC_H
