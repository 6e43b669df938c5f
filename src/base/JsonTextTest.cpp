//===- JsonTextTest.cpp - Tests of the text of JSON values ----------------===//

#include "base/JsonText.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(JsonText){};

// Guards against a caller that ends the process with a byte that is not UTF-8:
// the refusal quoted it, and the library threw.
TEST(JsonText, ReplacesBytesThatAreNotUtf8) {
  const std::pair<const char *, const char *> Texts[] = {
      {"a\xff", "a\xef\xbf\xbd"},
      {"\xe0\xa6", "\xef\xbf\xbd"},
      {"\xc3\xa9 \"\n", "\xc3\xa9 \\\"\\n"}};
  for (const auto &[Text, Expected] : Texts) {
    nlohmann::json Value{{"field", Text}};
    STRCMP_EQUAL((std::string("{\"field\":\"") + Expected + "\"}").c_str(),
                 jsonText(Value).c_str());
    CHECK(nlohmann::json::accept(jsonText(Value)));
  }
  nlohmann::ordered_json AsKey;
  AsKey["\xff"] = 1;
  STRCMP_EQUAL("{\"\xef\xbf\xbd\":1}", jsonText(AsKey).c_str());
}
