//===- ReadJson.h - JSON parsing that returns errors ------------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_READJSON_H
#define POLLENSPOOL_BASE_READJSON_H

#include "base/CompactJson.h"
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

/// Like readJson(), with less processor time and memory for a text that has the
/// expected form. \p Read must accept a CompactJson::Value and an
/// nlohmann::json and treat both alike. It must not have side effects: if it
/// fails with the first or the text is malformed, it is called again with the
/// second, which converts more types and whose errors are returned.
template <typename T, typename F>
Result<T> readCompactJson(const char *Step, const std::string &Peer,
                          const std::string &Text, F Read) {
  if (auto Document = CompactJson::parse(Text))
    try {
      if (Result<T> Value = Read(Document->root()))
        return Value;
    } catch (const CompactJson::Mismatch &) {
      return readJson<T>(Step, Peer, Text, Read);
    }
  return readJson<T>(Step, Peer, Text, Read);
}

/// Whether the JSON value \p Value, which may be of either library, is of that
/// kind.
inline bool isString(const nlohmann::json &Value) { return Value.is_string(); }
inline bool isString(const CompactJson::Value &Value) {
  return Value.isString();
}
inline bool isNumber(const nlohmann::json &Value) { return Value.is_number(); }
inline bool isNumber(const CompactJson::Value &Value) {
  return Value.isNumber();
}
inline bool isObject(const nlohmann::json &Value) { return Value.is_object(); }
inline bool isObject(const CompactJson::Value &Value) {
  return Value.isObject();
}

/// Converts the JSON value \p Value, which may be of either library, to a T.
template <typename T, typename V> T as(const V &Value) {
  return Value.template get<T>();
}

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_READJSON_H
