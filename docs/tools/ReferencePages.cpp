//===- ReferencePages.cpp - Prints the generated parts of docs/ -----------===//
//
// Each page is generated from the table that the product itself uses.
// tests/reference_check.py compares the committed pages with this output.
//
//===----------------------------------------------------------------------===//

#include "admin/MetricsPage.h"
#include "base/Log.h"
#include "config/DocumentParser.h"
#include "request/Request.h"
#include "settings/Settings.h"
#include <array>
#include <iostream>
#include <sstream>

using namespace pollenspool;

namespace {

constexpr int ExitUsage = 2;

std::string eventReference() {
  std::ostringstream Out;
  Out << "| number | event | severity | text |\n| --- | --- | --- | --- |\n";
  for (const EventInfo &Info : eventCatalogue())
    Out << "| " << static_cast<int>(Info.m_Id) << " | `" << Info.m_Name
        << "` | " << severityName(Info.m_Severity) << " | " << Info.m_Text
        << " |\n";
  return Out.str();
}

const char *typeName(prometheus::MetricType Type) {
  return Type == prometheus::MetricType::Counter ? "counter" : "gauge";
}

std::string metricReference() {
  std::ostringstream Out;
  Out << "| metric | type | label | meaning |\n| --- | --- | --- | --- |\n";
  for (const MetricInfo &Info : metricCatalogue())
    Out << "| `" << Info.m_Name << "` | " << typeName(Info.m_Type) << " | "
        << Info.m_Label << " | " << Info.m_Help << " |\n";
  return Out.str();
}

std::string reasonReference() {
  std::ostringstream Out;
  Out << "| reason | outcome |\n| --- | --- |\n";
  for (std::size_t I = 1; I < ReasonCount; ++I) {
    auto Why = static_cast<Reason>(I);
    Out << "| `" << reasonName(Why) << "` | "
        << (Why < Reason::BackendConnectionLost ? "not-run" : "unknown")
        << " |\n";
  }
  return Out.str();
}

/// A page and its name on the command line.
struct ReferencePage {
  std::string_view m_Name;
  std::string (*m_Print)();
};

constexpr std::array<ReferencePage, 5> Pages = {{
    {"settings", settingsReference},
    {"document", documentReference},
    {"events", eventReference},
    {"metrics", metricReference},
    {"reasons", reasonReference},
}};

} // namespace

int main(int Argc, char **Argv) {
  std::string_view Name = Argc == 2 ? Argv[1] : "";
  for (const ReferencePage &Page : Pages) {
    if (Page.m_Name != Name)
      continue;
    std::cout << Page.m_Print();
    return 0;
  }
  std::cerr << "usage: reference_pages "
               "settings|document|events|metrics|reasons\n";
  return ExitUsage;
}
