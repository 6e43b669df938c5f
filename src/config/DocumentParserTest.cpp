//===- DocumentParserTest.cpp - Tests of document validation --------------===//

#include "config/DocumentParser.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

const char *const ValidDocument = "customer: c\n"
                                  "data_centres:\n"
                                  "  - {name: a, region: r}\n"
                                  "pools:\n"
                                  "  - {name: p, instances: 4, promised: 2, "
                                  "availability_budget: 1}\n"
                                  "services:\n"
                                  "  - {name: s, pool: p, class: urgent}\n";

std::string faultsOf(const std::string &Text) {
  return describeFaults(parseDocument("f.yaml", Text).m_Faults);
}

} // namespace

TEST_GROUP(DocumentParser){};

TEST(DocumentParser, ReadsAValidDocument) {
  Checked<Document> Doc = parseDocument("f.yaml", ValidDocument);
  STRCMP_EQUAL("", describeFaults(Doc.m_Faults).c_str());
  LONGS_EQUAL(4, Doc.m_Value.m_Pools[0].m_Instances);
  CHECK(Doc.m_Value.m_Services[0].m_Class == UrgencyClass::Urgent);
  LONGS_EQUAL(8, Doc.m_Value.m_Policy.m_SlotsPerInstance);
}

TEST(DocumentParser, ReportsAllFaultsWithLineAndPath) {
  std::string Faults = faultsOf("customer: c\n"
                                "colour: red\n"
                                "data_centres: []\n"
                                "pools:\n"
                                "  - {name: p, instances: -1, promised: 2}\n"
                                "services:\n"
                                "  - {name: s, pool: q}\n");
  STRCMP_CONTAINS("f.yaml:2: colour: unknown key\n", Faults.c_str());
  STRCMP_CONTAINS("f.yaml:5: pools[0].instances: -1 is out of range",
                  Faults.c_str());
  STRCMP_CONTAINS("f.yaml:5: pools[0].availability_budget: missing",
                  Faults.c_str());
  STRCMP_CONTAINS("f.yaml:7: services[0].pool: no pool is named \"q\"",
                  Faults.c_str());
}

TEST(DocumentParser, ReportsSyntaxErrorsWithTheirLine) {
  STRCMP_CONTAINS("f.yaml:2: .: ", faultsOf("customer: c\npools: ]\n").c_str());
}

TEST(DocumentParser, ReportsDuplicateNamesAndKeys) {
  std::string Faults = faultsOf(std::string(ValidDocument) +
                                "  - {name: s, pool: p}\ncustomer: d\n");
  STRCMP_CONTAINS("f.yaml:8: services[1].name: \"s\" is a duplicate name",
                  Faults.c_str());
  STRCMP_CONTAINS("f.yaml:9: customer: duplicate key", Faults.c_str());
}

TEST(DocumentParser, DiffShowsChangedLinesOnly) {
  STRCMP_EQUAL("-2: b\n+2: x\n+4: d\n",
               diffText("a\nb\nc\n", "a\nx\nc\nd\n").c_str());
  STRCMP_EQUAL("", diffText("a\n", "a\n").c_str());
}
