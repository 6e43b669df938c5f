//===- ReadJson.h - JSON parsing that returns errors ------------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_READJSON_H
#define POLLENSPOOL_BASE_READJSON_H

#include "base/Error.h"
#include <nlohmann/json.hpp>

namespace pollenspool {

/// Parses \p Text and passes the JSON value to \p Read, which returns a T or a
/// Result<T>. Exceptions of the JSON library, also those thrown in \p Read, are
/// returned as InvalidMessage with \p Step and \p Peer. Thread safe if \p Read
/// is.
template <typename T, typename F>
Result<T> readJson(const char *Step, const std::string &Peer,
                   const std::string &Text, F Read) {
  try {
    return Read(nlohmann::json::parse(Text));
  } catch (const nlohmann::json::exception &Bad) {
    return makeError(ErrorCode::InvalidMessage, Step, Peer, Bad.what());
  }
}

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_READJSON_H
