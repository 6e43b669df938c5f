//===- Pack.h - MessagePack encoding and decoding ---------------*- C++ -*-===//
//
// Message structures declare their fields with MSGPACK_DEFINE in implementation
// files. Only these two functions use the MessagePack library's streams.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_PACK_H
#define POLLENSPOOL_BASE_PACK_H

#include "base/Error.h"
#include <msgpack.hpp>

namespace pollenspool {

/// Encodes \p Value as MessagePack. Thread safe.
template <typename T> std::string encodeMsgpack(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return std::string(Buffer.data(), Buffer.size());
}

/// Decodes the output of packed(). Errors: InvalidMessage with \p Step as the
/// failed step. Thread safe.
template <typename T>
Result<T> decodeMsgpack(const std::string &Bytes, const char *Step) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size()).get().as<T>();
  } catch (const std::exception &Bad) {
    return makeError(ErrorCode::InvalidMessage, Step, {}, Bad.what());
  }
}

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_PACK_H
