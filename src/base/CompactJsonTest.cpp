//===- CompactJsonTest.cpp - Tests of CompactJson -------------------------===//

#include "base/ReadJson.h"
#include <CppUTest/TestHarness.h>
#include <random>

using namespace pollenspool;

namespace {

using Json = nlohmann::json;
using Value = CompactJson::Value;

template <typename F> bool isMismatch(F Read) {
  try {
    Read();
  } catch (const CompactJson::Mismatch &) {
    return true;
  }
  return false;
}

bool isSame(const Value &A, const Json &B);

bool isSameArray(const Value &A, const Json &B) {
  if (isMismatch([&] { A.size(); }) || A.size() != B.size())
    return false;
  std::size_t N = 0;
  for (Value Element : A)
    if (!isSame(Element, B.at(N++)))
      return false;
  return B.empty() || A.at(N - 1).isString() == B.back().is_string();
}

bool isSameObject(const Value &A, const Json &B) {
  if (!A.isObject())
    return false;
  for (const auto &[Name, Member] : B.items())
    if (!A.contains(Name) || !isSame(A.at(Name), Member))
      return false;
  return true;
}

bool isSame(const Value &A, const Json &B) {
  switch (B.type()) {
  case Json::value_t::null:
    return !A.isString() && !A.isNumber() && !A.isObject() &&
           isMismatch([&] { A.size(); }) && isMismatch([&] { as<bool>(A); });
  case Json::value_t::boolean:
    return as<bool>(A) == B.get<bool>();
  case Json::value_t::string:
    return A.isString() && as<std::string>(A) == B.get<std::string>() &&
           as<std::string_view>(A) == B.get<std::string>();
  case Json::value_t::number_integer:
    return A.isNumber() && as<std::int64_t>(A) == B.get<std::int64_t>() &&
           isMismatch([&] { as<std::uint64_t>(A); });
  case Json::value_t::number_unsigned:
    return A.isNumber() && as<std::uint64_t>(A) == B.get<std::uint64_t>();
  case Json::value_t::number_float:
    return A.isNumber() && as<double>(A) == B.get<double>();
  case Json::value_t::array:
    return isSameArray(A, B);
  default:
    return isSameObject(A, B);
  }
}

/// Whether CompactJson accepts the same texts as the JSON library and reads the
/// same values.
bool agrees(const std::string &Text) {
  Json Expected = Json::parse(Text, nullptr, false);
  auto Document = CompactJson::parse(Text);
  if (Expected.is_discarded() || !Document)
    return Expected.is_discarded() && !Document;
  return isSame(Document->root(), Expected);
}

const char *const Samples[] = {
    R"({"clock-ms":482113,"reason":"fence"})",
    R"({"clock-ms":1,"running":[["5c.0.1.17",2,"00b",41,4500.5]],"ended":[]})",
    R"([true,false,null,-1,0,-0,12.5,-3e2,1E+3,[],{},[[]],"\u00e9\n\"\\"])",
    "{\"t\":\"\xe0\xa6\xac\xe0\xa6\xbe\",\"x\":[1 , 2\t,\r\n3 ] , \"t\":4}",
    R"([18446744073709551615,18446744073709551616,-9223372036854775808])",
    R"(["ud83d\ude00",1e308,1e309,0.1,123456789012345678901234567890])"};

} // namespace

TEST_GROUP(CompactJson){};

// Guards against texts that are accepted, rejected or read other than by the
// JSON library, which decodes what CompactJson does not.
TEST(CompactJson, AgreesWithTheJsonLibraryOnMutatedTexts) {
  constexpr int Mutations = 60000;
  constexpr std::string_view Alphabet =
      "{}[]:,\"\\ \n\t-+.eE0123456789truefalsnu\x01\x7f\x80\xc3\xa9\xff/";
  std::mt19937_64 Random(1);
  auto Below = [&Random](std::size_t Limit) { return Random() % Limit; };
  for (int N = 0; N < Mutations; ++N) {
    std::string Text = Samples[Below(std::size(Samples))];
    for (std::size_t Edits = Below(4); Edits > 0; --Edits) {
      std::size_t At = Below(Text.size() + 1);
      char C = Alphabet[Below(Alphabet.size())];
      switch (Below(4)) {
      case 0:
        Text.insert(At, 1, C);
        break;
      case 1:
        Text.replace(At, 1, 1, C);
        break;
      case 2:
        Text.erase(At, 1 + Below(5));
        break;
      default:
        Text.resize(At);
      }
    }
    if (!agrees(Text))
      FAIL(Text.c_str());
  }
}

// Guards against deeply nested texts that exhaust the stack.
TEST(CompactJson, DeepNestingIsReadOrRejected) {
  constexpr std::size_t Depth = 200000;
  const std::string Open(Depth, '['), Closed = Open + std::string(Depth, ']');
  CHECK_FALSE(CompactJson::parse(Open).has_value());
  auto Document = CompactJson::parse(R"({"x":)" + Closed + R"(,"y":5})");
  CHECK(Document.has_value());
  std::string Objects;
  for (std::size_t N = 0; N < Depth; ++N)
    Objects += R"({"a":)";
  CHECK_FALSE(CompactJson::parse(Objects).has_value());
  for (std::size_t Levels : {31, 32, 33, 34})
    CHECK(agrees(std::string(Levels, '[') + std::string(Levels, ']')));
}

// Guards against numbers that change their value when they are converted.
TEST(CompactJson, ConvertsOnlyWhatFitsTheType) {
  const std::string Text = R"([300,-1,2.9,4294967296,1e300,true,"7",null])";
  auto Document = CompactJson::parse(Text);
  Value Root = Document->root();
  CHECK_EQUAL(300, as<int>(Root.at(0)));
  CHECK_EQUAL(2u, as<std::uint32_t>(Root.at(2)));
  DOUBLES_EQUAL(-1, as<double>(Root.at(1)), 0);
  CHECK(isMismatch([&] { as<std::uint8_t>(Root.at(0)); }));
  CHECK(isMismatch([&] { as<std::uint32_t>(Root.at(1)); }));
  CHECK(isMismatch([&] { as<std::uint32_t>(Root.at(3)); }));
  for (std::size_t N : {4, 5, 6, 7})
    CHECK(isMismatch([&] { as<std::int64_t>(Root.at(N)); }));
  CHECK(isMismatch([&] { Root.at(8); }));
  CHECK(isMismatch([&] { Root.at("key"); }));
  CHECK(isMismatch([&] { Root.at(0).at(0); }));
}

// Guards against reading the first of two members of the same name, where the
// JSON library reads the last.
TEST(CompactJson, TheLastMemberOfANameCounts) {
  const std::string Text = R"({"a":1,"b":[{"a":7}],"a":2})";
  auto Document = CompactJson::parse(Text);
  CHECK_EQUAL(2, as<int>(Document->root().at("a")));
  CHECK_EQUAL(5, Document->root().value("c", 5));
  CHECK_FALSE(Document->root().contains("c"));
}

// Guards against an error that differs from that of the JSON library, and
// against rejecting what the library converts.
TEST(CompactJson, FallsBackToTheJsonLibrary) {
  auto Read = [](const auto &J) { return as<std::uint32_t>(J.at("n")); };
  auto Decode = [&](const std::string &Text) {
    return readCompactJson<std::uint32_t>("step", "peer", Text, Read);
  };
  CHECK_EQUAL(4294967295u, Decode(R"({"n":-1})").value());
  CHECK_EQUAL(1u, Decode(R"({"n":true})").value());
  for (const char *Bad : {"", "{", "[]", "{}", R"({"n":"x"})", R"({"n":1}x)"}) {
    auto Expected = readJson<std::uint32_t>("step", "peer", Bad, Read);
    CHECK_FALSE(Expected.has_value());
    CHECK_FALSE(Decode(Bad).has_value());
    STRCMP_EQUAL(Expected.error().describe().c_str(),
                 Decode(Bad).error().describe().c_str());
  }
}
