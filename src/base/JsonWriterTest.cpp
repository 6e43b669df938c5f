//===- JsonWriterTest.cpp - Tests of JsonWriter ---------------------------===//

#include "base/JsonWriter.h"
#include <CppUTest/TestHarness.h>
#include <limits>
#include <nlohmann/json.hpp>

using namespace pollenspool;

namespace {

using Json = nlohmann::json;

std::string written(std::string_view Text) {
  return JsonWriter().add(Text).take();
}

} // namespace

TEST_GROUP(JsonWriter){};

// Guards against texts of callers that break the message that contains them.
TEST(JsonWriter, EscapesEveryCharacter) {
  std::string All;
  for (int C = 0; C < 128; ++C) {
    std::string One(1, static_cast<char>(C));
    CHECK(Json::parse(written(One)).get<std::string>() == One);
    All += One;
  }
  All += "\xe0\xa6\xac\xf0\x9f\x98\x80";
  CHECK(Json::parse(written(All)).get<std::string>() == All);
  STRCMP_EQUAL("\"\"", written("").c_str());
}

// Guards against exceptions for bytes that are not UTF-8.
TEST(JsonWriter, ReplacesInvalidUtf8) {
  for (std::string Bad : {"\xff", "a\xc3", "\x80z", "\xed\xa0\x80"})
    CHECK(Json::parse(written(Bad)).get<std::string>().find("\xef\xbf\xbd") !=
          std::string::npos);
}

// Guards against missing and surplus commas, and digits that are cut off.
TEST(JsonWriter, WritesNestedValues) {
  JsonWriter Writer(8);
  Writer.beginObject().add("a", 1).key("b").beginArray();
  Writer.beginArray().endArray().add(true).add(false).add("x");
  Writer.beginObject().endObject().endArray().add("c", std::string("y"));
  Writer.add("min", std::numeric_limits<std::int64_t>::min())
      .add("max", std::numeric_limits<std::uint64_t>::max())
      .endObject();
  STRCMP_EQUAL(R"({"a":1,"b":[[],true,false,"x",{}],"c":"y",)"
               R"("min":-9223372036854775808,"max":18446744073709551615})",
               Writer.take().c_str());
}
