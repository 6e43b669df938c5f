//===- JsonWriter.h - Writes JSON texts -------------------------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_JSONWRITER_H
#define POLLENSPOOL_BASE_JSONWRITER_H

#include "base/ShortText.h"
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>
#include <type_traits>

namespace pollenspool {

/// Writes one JSON value without building a tree of it first. The caller has to
/// nest the calls as JSON requires: each begin needs its end, and each member
/// of an object a key. Not thread safe.
class JsonWriter {
public:
  /// \p Capacity: expected length of the text, in bytes.
  explicit JsonWriter(std::size_t Capacity = 0) { m_Text.reserve(Capacity); }

  JsonWriter &beginObject() { return open('{'); }
  JsonWriter &endObject() { return close('}'); }
  JsonWriter &beginArray() { return open('['); }
  JsonWriter &endArray() { return close(']'); }

  /// Writes the key of the next member. \p Name must need no escaping.
  JsonWriter &key(std::string_view Name) {
    separate();
    m_Text += '"';
    m_Text += Name;
    m_Text += "\":";
    m_NeedsComma = false;
    return *this;
  }

  /// Writes a string. Bytes that are not valid UTF-8 are replaced by U+FFFD.
  JsonWriter &add(std::string_view Value);
  JsonWriter &add(const std::string &Value) {
    return add(std::string_view(Value));
  }
  JsonWriter &add(const ShortText &Value) { return add(Value.view()); }
  JsonWriter &add(const char *Value) { return add(std::string_view(Value)); }
  JsonWriter &add(bool Value) {
    return addToken(Value ? std::string_view("true") : "false");
  }
  template <typename T>
  std::enable_if_t<std::is_integral_v<T>, JsonWriter &> add(T Value) {
    char Digits[MaxDigits];
    const char *End = std::to_chars(Digits, Digits + MaxDigits, Value).ptr;
    return addToken({Digits, static_cast<std::size_t>(End - Digits)});
  }
  /// \p Value must be finite. The text reads as the same value again.
  JsonWriter &add(double Value);

  /// Writes the next member of an object.
  template <typename T> JsonWriter &add(std::string_view Name, const T &Value) {
    return key(Name).add(Value);
  }

  /// Returns the text. The writer must not be used afterwards.
  std::string take() { return std::move(m_Text); }

private:
  /// Characters of the longest 64-bit integer.
  static constexpr std::size_t MaxDigits = 20;

  void separate() {
    if (m_NeedsComma)
      m_Text += ',';
    m_NeedsComma = true;
  }
  JsonWriter &open(char Bracket) {
    separate();
    m_Text += Bracket;
    m_NeedsComma = false;
    return *this;
  }
  JsonWriter &close(char Bracket) {
    m_Text += Bracket;
    m_NeedsComma = true;
    return *this;
  }
  JsonWriter &addToken(std::string_view Token) {
    separate();
    m_Text += Token;
    return *this;
  }

  std::string m_Text;
  bool m_NeedsComma = false;
};

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_JSONWRITER_H
