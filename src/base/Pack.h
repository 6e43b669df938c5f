//===- Pack.h - MessagePack forms of wire structures ------------*- C++ -*-===//
//
// Wire structures declare their fields by MSGPACK_DEFINE in implementation
// files; these two functions are the only users of the codec's streams.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_BASE_PACK_H
#define POLLENSPOOL_BASE_PACK_H

#include "base/Error.h"
#include <msgpack.hpp>

namespace pollenspool {

/// The MessagePack form of \p Value. Thread safe.
template <typename T> std::string packed(const T &Value) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Value);
  return std::string(Buffer.data(), Buffer.size());
}

/// Reads packed()'s form. Errors: InvalidMessage naming \p Step. Thread safe.
template <typename T>
Result<T> unpackedAs(const std::string &Bytes, const char *Step) {
  try {
    return msgpack::unpack(Bytes.data(), Bytes.size()).get().as<T>();
  } catch (const std::exception &Bad) {
    return makeError(ErrorCode::InvalidMessage, Step, {}, Bad.what());
  }
}

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_PACK_H
