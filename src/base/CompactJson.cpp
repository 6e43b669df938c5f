//===- CompactJson.cpp - JSON values in one list of nodes -----------------===//

#include "base/CompactJson.h"
#include <boost/spirit/home/x3.hpp>
#include <charconv>
#include <nlohmann/json.hpp>

namespace pollenspool {

/// Appends values to a document. The members that return bool are called by the
/// JSON library's parser, which stops if one returns false.
class CompactJsonBuilder {
public:
  using Json = nlohmann::json;
  using Kind = CompactJson::Kind;

  explicit CompactJsonBuilder(CompactJson &Document) : m_Document(Document) {}

  // NOLINTBEGIN(readability-identifier-naming): names of the JSON library.
  bool null() {
    append(Kind::Null);
    return true;
  }
  bool boolean(bool Value) {
    append(Kind::Boolean).m_Boolean = Value;
    return true;
  }
  bool number_integer(std::int64_t Value) {
    append(Kind::Signed).m_Signed = Value;
    return true;
  }
  bool number_unsigned(std::uint64_t Value) {
    append(Kind::Unsigned).m_Unsigned = Value;
    return true;
  }
  bool number_float(double Value, const std::string &) {
    append(Kind::Float).m_Float = Value;
    return true;
  }
  bool string(const std::string &Value) {
    std::string &Decoded = m_Document.m_Decoded;
    appendString(Decoded.size(), Value.size());
    Decoded += Value;
    return true;
  }
  bool binary(const Json::binary_t &) { return false; }
  bool key(const std::string &Name) { return string(Name); }
  bool start_object(std::size_t) { return open(Kind::Object); }
  bool end_object() { return close(); }
  bool start_array(std::size_t) { return open(Kind::Array); }
  bool end_array() { return close(); }
  bool parse_error(std::size_t, const std::string &, const Json::exception &) {
    return false;
  }

  // NOLINTEND(readability-identifier-naming)

  void appendString(std::size_t Offset, std::size_t Length) {
    append(Kind::String).m_String = {static_cast<std::uint32_t>(Offset),
                                     static_cast<std::uint32_t>(Length)};
  }
  /// Appends a string that lies in the source from \p First to \p Last.
  void appendSource(const char *First, const char *Last) {
    appendString(static_cast<std::size_t>(First - m_Document.m_Source.data()),
                 static_cast<std::size_t>(Last - First));
  }
  /// Appends the integer between \p First and \p Last. Returns false if it has
  /// more than 64 bits.
  bool appendInteger(const char *First, const char *Last) {
    if (std::int64_t Number = 0; *First == '-')
      return parse(First, Last, Number) && number_integer(Number);
    std::uint64_t Number = 0;
    return parse(First, Last, Number) && number_unsigned(Number);
  }
  /// Appends the floating-point number between \p First and \p Last. Returns
  /// false if it is out of range.
  bool appendFloat(const char *First, const char *Last) {
    double Number = 0;
    return parse(First, Last, Number) && number_float(Number, {});
  }
  bool open(Kind K) {
    m_Open.push_back(static_cast<std::uint32_t>(m_Document.m_Nodes.size()));
    append(K);
    return true;
  }
  bool close() {
    m_Document.m_Nodes[m_Open.back()].m_End =
        static_cast<std::uint32_t>(m_Document.m_Nodes.size());
    m_Open.pop_back();
    return true;
  }
  /// The number of arrays and objects that are not complete.
  std::size_t depth() const { return m_Open.size(); }

private:
  template <typename T>
  static bool parse(const char *First, const char *Last, T &Number) {
    auto [Stop, Bad] = std::from_chars(First, Last, Number);
    return Bad == std::errc() && Stop == Last;
  }
  CompactJson::Node &append(Kind K) {
    auto &Nodes = m_Document.m_Nodes;
    Nodes.emplace_back();
    Nodes.back().m_Kind = K;
    Nodes.back().m_End = static_cast<std::uint32_t>(Nodes.size());
    return Nodes.back();
  }

  /// Depth of most messages.
  static constexpr std::size_t UsualDepth = 8;

  CompactJson &m_Document;
  /// Numbers of the arrays and objects that are not complete.
  boost::container::small_vector<std::uint32_t, UsualDepth> m_Open;
};

namespace {

/// The grammar of plain JSON: strings are printable ASCII without escapes, and
/// the depth is limited, since the parser is recursive.
namespace plain {

namespace x3 = boost::spirit::x3;
using Kind = CompactJsonBuilder::Kind;

constexpr std::size_t MaxDepth = 32;

struct BuilderTag;
template <typename Context> CompactJsonBuilder &builder(const Context &C) {
  return x3::get<BuilderTag>(C);
}

const auto AddString = [](const auto &C) {
  builder(C).appendSource(x3::_attr(C).begin(), x3::_attr(C).end());
};
const auto AddInteger = [](const auto &C) {
  x3::_pass(C) =
      builder(C).appendInteger(x3::_attr(C).begin(), x3::_attr(C).end());
};
const auto AddFloat = [](const auto &C) {
  x3::_pass(C) =
      builder(C).appendFloat(x3::_attr(C).begin(), x3::_attr(C).end());
};
const auto AddNull = [](const auto &C) { builder(C).null(); };
const auto AddTrue = [](const auto &C) { builder(C).boolean(true); };
const auto AddFalse = [](const auto &C) { builder(C).boolean(false); };
const auto OpenObject = [](const auto &C) {
  x3::_pass(C) = builder(C).depth() < MaxDepth && builder(C).open(Kind::Object);
};
const auto OpenArray = [](const auto &C) {
  x3::_pass(C) = builder(C).depth() < MaxDepth && builder(C).open(Kind::Array);
};
const auto Close = [](const auto &C) { builder(C).close(); };

const auto Space = x3::ascii::char_(" \t\r\n");
const auto String =
    x3::lexeme['"' >> x3::raw[*x3::ascii::char_(" !#-[]-~")][AddString] >> '"'];
const auto Digit = x3::ascii::char_("0-9");
const auto Digits = +Digit;
const auto Integer = -x3::lit('-') >>
                     (x3::lit('0') | (x3::ascii::char_("1-9") >> *Digit));
const auto Fraction = '.' >> Digits;
const auto Exponent = x3::ascii::char_("eE") >>
                      -x3::ascii::char_("+-") >> Digits;
const auto Number =
    x3::lexeme[x3::raw[Integer >> !x3::ascii::char_(".eE")][AddInteger] |
               x3::raw[Integer >> -Fraction >> -Exponent][AddFloat]];
const auto Literal = x3::lit("true")[AddTrue] | x3::lit("false")[AddFalse] |
                     x3::lit("null")[AddNull];

const x3::rule<class ValueRule> Value = "value";
const auto Member = String >> ':' >> Value;
const auto Object = x3::lit('{')[OpenObject] >>
                    -(Member % ',') >> x3::lit('}')[Close];
const auto Array = x3::lit('[')[OpenArray] >>
                   -(Value % ',') >> x3::lit(']')[Close];
// NOLINTNEXTLINE(readability-identifier-naming): the name that Spirit expects.
const auto Value_def = String | Number | Array | Object | Literal;
BOOST_SPIRIT_DEFINE(Value)

bool parse(std::string_view Text, CompactJsonBuilder &Builder) {
  const char *First = Text.data(), *Last = First + Text.size();
  return x3::phrase_parse(
      First, Last, x3::with<BuilderTag>(Builder)[Value >> x3::eoi], Space);
}

} // namespace plain

} // namespace

std::optional<CompactJson> CompactJson::parse(std::string_view Text) {
  if (Text.size() > std::numeric_limits<std::uint32_t>::max())
    return std::nullopt;
  std::optional<CompactJson> Document = CompactJson(Text);
  CompactJsonBuilder PlainBuilder(*Document);
  if (plain::parse(Text, PlainBuilder))
    return Document;
  Document->m_Nodes.clear();
  Document->m_IsDecoded = true;
  Document->m_Decoded.reserve(Text.size());
  CompactJsonBuilder Builder(*Document);
  if (!nlohmann::json::sax_parse(Text.begin(), Text.end(), &Builder))
    return std::nullopt;
  return Document;
}

std::uint32_t CompactJson::Value::find(std::string_view Name) const {
  const auto &Nodes = m_Document.m_Nodes;
  std::uint32_t Found = 0, End = expect(Kind::Object).m_End;
  for (std::uint32_t Key = m_Number + 1; Key < End; Key = Nodes[Key + 1].m_End)
    if (text(Nodes[Key]) == Name)
      Found = Key + 1;
  return Found;
}

CompactJson::Value CompactJson::Value::at(std::size_t Index) const {
  for (Value Element : *this)
    if (Index-- == 0)
      return Element;
  throw Mismatch();
}

std::size_t CompactJson::Value::size() const {
  std::size_t Count = 0;
  for (Iterator It = begin(); It != end(); ++It)
    ++Count;
  return Count;
}

double CompactJson::Value::number() const {
  switch (node().m_Kind) {
  case Kind::Signed:
    return static_cast<double>(node().m_Signed);
  case Kind::Unsigned:
    return static_cast<double>(node().m_Unsigned);
  case Kind::Float:
    return node().m_Float;
  default:
    throw Mismatch();
  }
}

} // namespace pollenspool
