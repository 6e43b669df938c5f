//===- CompactJson.h - JSON values in one list of nodes ---------*- C++ -*-===//

#ifndef POLLENSPOOL_BASE_COMPACTJSON_H
#define POLLENSPOOL_BASE_COMPACTJSON_H

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <exception>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace pollenspool {

/// A parsed JSON text for reading. All values lie in one list, and strings that
/// have no escapes stay in the text, so parsing needs few allocations however
/// many values there are. Reading is like reading an nlohmann::json, but
/// stricter. Objects that are not modified may be shared between threads.
class CompactJson {
public:
  /// Thrown when a value is absent or not of the requested type. nlohmann::json
  /// may still be able to convert it.
  class Mismatch : public std::exception {};
  class Value;
  class Iterator;

  /// Parses \p Text, which must outlive the result; returns std::nullopt if it
  /// is not valid JSON.
  static std::optional<CompactJson> parse(std::string_view Text);

  /// The value of the whole text. It and all values below it refer to this
  /// object, which must outlive them and must not be moved.
  Value root() const;

private:
  friend class CompactJsonBuilder;

  explicit CompactJson(std::string_view Source) : m_Source(Source) {}

  enum class Kind : std::uint8_t {
    Null,
    Boolean,
    Signed,
    Unsigned,
    Float,
    String,
    Array,
    Object,
  };

  struct Range {
    std::uint32_t m_Offset;
    std::uint32_t m_Length;
  };

  /// The elements of an array follow its node. The members of an object follow
  /// its node too, each a string and a value.
  struct Node {
    Kind m_Kind = Kind::Null;
    /// Number of the first node that is not part of this value.
    std::uint32_t m_End = 0;
    union {
      std::int64_t m_Signed;
      std::uint64_t m_Unsigned;
      double m_Float;
      bool m_Boolean;
      Range m_String;
    };
    Node() : m_Unsigned(0) {}
  };

  /// Larger floating-point numbers do not tell all integers apart.
  static constexpr double MaxExactFloat = 9007199254740992.0;
  /// Nodes of most messages, which need no allocation.
  static constexpr std::size_t InlineNodes = 96;

  boost::container::small_vector<Node, InlineNodes> m_Nodes;
  /// The parsed text.
  std::string_view m_Source;
  /// Whether strings refer to m_Decoded instead of m_Source.
  bool m_IsDecoded = false;
  /// All strings without their escapes.
  std::string m_Decoded;
};

/// A value in a CompactJson. All members that read throw Mismatch if the value
/// is not of the kind that they need.
class CompactJson::Value {
public:
  bool isString() const { return node().m_Kind == Kind::String; }
  bool isNumber() const {
    return node().m_Kind >= Kind::Signed && node().m_Kind <= Kind::Float;
  }
  bool isObject() const { return node().m_Kind == Kind::Object; }

  /// The member \p Name of an object; the last one if there are several.
  Value at(std::string_view Name) const {
    std::uint32_t Found = find(Name);
    if (Found == 0)
      throw Mismatch();
    return {m_Document, Found};
  }
  bool contains(std::string_view Name) const {
    return isObject() && find(Name) != 0;
  }
  /// The element \p Index of an array.
  Value at(std::size_t Index) const;
  /// The number of elements of an array.
  std::size_t size() const;
  Iterator begin() const;
  Iterator end() const;

  /// The member \p Name of an object; \p Default if there is none.
  template <typename T> T value(std::string_view Name, const T &Default) const {
    std::uint32_t Found = find(Name);
    return Found == 0 ? Default : Value(m_Document, Found).get<T>();
  }
  std::string value(std::string_view Name, const char *Default) const {
    return value(Name, std::string(Default));
  }

  /// Converts to bool, a number (fractions are cut off for integers),
  /// std::string, std::string_view or a vector of these.
  template <typename T> T get() const {
    if constexpr (std::is_same_v<T, bool>)
      return expect(Kind::Boolean).m_Boolean;
    else if constexpr (std::is_integral_v<T>)
      return integer<T>();
    else if constexpr (std::is_floating_point_v<T>)
      return static_cast<T>(number());
    else if constexpr (std::is_same_v<T, std::string_view>)
      return text(expect(Kind::String));
    else if constexpr (std::is_same_v<T, std::string>)
      return std::string(text(expect(Kind::String)));
    else
      return elements<T>();
  }

  /// Never succeeds: texts of errors are made from an nlohmann::json.
  [[noreturn]] std::string dump() const { throw Mismatch(); }

private:
  friend class CompactJson;
  friend class Iterator;

  Value(const CompactJson &Document, std::uint32_t Number)
      : m_Document(Document), m_Number(Number) {}
  const Node &node() const { return m_Document.m_Nodes[m_Number]; }
  const Node &expect(Kind K) const {
    if (node().m_Kind != K)
      throw Mismatch();
    return node();
  }
  std::string_view text(const Node &N) const {
    const char *Characters = m_Document.m_IsDecoded
                                 ? m_Document.m_Decoded.data()
                                 : m_Document.m_Source.data();
    return {Characters + N.m_String.m_Offset, N.m_String.m_Length};
  }
  double number() const;
  /// The number of the node of the member \p Name; 0 if there is none.
  std::uint32_t find(std::string_view Name) const;

  template <typename T> T integer() const {
    using Limits = std::numeric_limits<T>;
    const Node &N = node();
    if (N.m_Kind == Kind::Unsigned &&
        N.m_Unsigned <= static_cast<std::uint64_t>(Limits::max()))
      return static_cast<T>(N.m_Unsigned);
    if (N.m_Kind == Kind::Signed && std::is_signed_v<T> &&
        N.m_Signed >= static_cast<std::int64_t>(Limits::min()))
      return static_cast<T>(N.m_Signed);
    if (N.m_Kind == Kind::Float && N.m_Float >= 0 &&
        N.m_Float <= MaxExactFloat &&
        N.m_Float <= static_cast<double>(Limits::max()))
      return static_cast<T>(N.m_Float);
    throw Mismatch();
  }
  template <typename T> T elements() const;

  const CompactJson &m_Document;
  std::uint32_t m_Number;
};

/// Iterates over the elements of an array.
class CompactJson::Iterator {
public:
  Iterator(const CompactJson &Document, std::uint32_t Number)
      : m_Document(Document), m_Number(Number) {}
  Value operator*() const { return {m_Document, m_Number}; }
  Iterator &operator++() {
    m_Number = m_Document.m_Nodes[m_Number].m_End;
    return *this;
  }
  friend bool operator!=(const Iterator &A, const Iterator &B) {
    return A.m_Number != B.m_Number;
  }

private:
  const CompactJson &m_Document;
  std::uint32_t m_Number;
};

inline CompactJson::Value CompactJson::root() const { return {*this, 0}; }

inline CompactJson::Iterator CompactJson::Value::begin() const {
  expect(Kind::Array);
  return {m_Document, m_Number + 1};
}

inline CompactJson::Iterator CompactJson::Value::end() const {
  return {m_Document, expect(Kind::Array).m_End};
}

template <typename T> T CompactJson::Value::elements() const {
  T Elements;
  for (Value Element : *this)
    Elements.push_back(Element.get<typename T::value_type>());
  return Elements;
}

} // namespace pollenspool

#endif // POLLENSPOOL_BASE_COMPACTJSON_H
