//===- JsonText.h - Text of a JSON value ------------------------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_JSONTEXT_H
#define POLLENSPOOL_BASE_JSONTEXT_H

#include <nlohmann/json.hpp>
#include <string>

namespace pollenspool {

/// The text of \p Value, an nlohmann::json or ordered_json. Bytes of its
/// strings that are not UTF-8 are replaced by U+FFFD, since texts of callers
/// and peers get into replies and logs; the library's dump() would throw.
/// Thread safe.
template <typename T> std::string jsonText(const T &Value) {
  return Value.dump(-1, ' ', false, T::error_handler_t::replace);
}

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_JSONTEXT_H
