//===- Program.cpp - Start-up and JSON helpers of the stand-ins -----------===//

#include "common/Program.h"
#include <fstream>
#include <iostream>

namespace standin {

namespace {
constexpr int StartFailed = 2;
} // namespace

void announce(const std::string &Role, const Address &Where) {
  std::cout << Role << " listening on " << Where.text() << std::endl;
}

int reportStartupFailure(const Failure &Reason) {
  std::cerr << "error: " << Reason.m_Text << std::endl;
  return StartFailed;
}

std::optional<Json> parseObject(std::string_view Text) {
  Json Parsed = Json::parse(Text, nullptr, false);
  if (!Parsed.is_object())
    return std::nullopt;
  return Parsed;
}

Expected<Json> readJsonFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    return Failure{"cannot read " + Path};
  Json Parsed = Json::parse(File, nullptr, false);
  if (Parsed.is_discarded())
    return Failure{Path + ": invalid JSON"};
  return Parsed;
}

std::string errorJson(const std::string &Reason) {
  return Json{{"error", Reason}}.dump();
}

} // namespace standin
