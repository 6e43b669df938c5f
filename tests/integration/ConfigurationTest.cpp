//===- ConfigurationTest.cpp - Configuration changes in a deployment ------===//

#include "integration/Deployment.h"
#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pollenspool::testing;

namespace {

/// Target time within which an accepted configuration document is in effect at
/// all entry instances.
constexpr std::chrono::milliseconds InEffectTimeout{6000};

std::string documentWith(int Timeout) {
  return "customer: test\n"
         "data_centres: [{name: a, region: r}, {name: b, region: r}]\n"
         "pools:\n"
         "  - {name: crew-desk, instances: 4, promised: 2, "
         "availability_budget: 2}\n"
         "  - {name: sundry, instances: 4, promised: 1, "
         "availability_budget: 1, spare: true}\n"
         "services:\n"
         "  - {name: crew-desk, pool: crew-desk, timeout_ms: " +
         std::to_string(Timeout) + "}\n";
}

int versionAt(Deployment &D, int Entry) {
  Json Status = D.adminGet(Entry, "/status");
  return Status.is_object() ? Status["document"]["version"].get<int>() : 0;
}

bool allAt(Deployment &D, int Version) {
  for (int I = 0; I < D.entryCount(); ++I)
    if (versionAt(D, I) < Version)
      return false;
  return true;
}

} // namespace

TEST_GROUP(Configuration){};

TEST(Configuration, AnAppliedDocumentIsInEffectEverywhereInTime) {
  Deployment D({});
  std::string Path = D.writeFile("next.yaml", documentWith(7000));
  LONGS_EQUAL(0, D.tool({"apply", Path}));
  CHECK_TRUE(waitUntil([&] { return allAt(D, 2); }, InEffectTimeout));
}

TEST(Configuration, OfTwoRacingOperatorsOneWinsAndTheOtherLearnsOfIt) {
  Deployment D({});
  Json First = {
      {"text", documentWith(7000)}, {"author", "first"}, {"base_version", 1}};
  Json Second = {
      {"text", documentWith(8000)}, {"author", "second"}, {"base_version", 1}};
  int FirstCode = 0;
  int SecondCode = 0;
  Json FirstReply;
  Json SecondReply;
  std::thread Other(
      [&] { FirstCode = D.adminPost(0, "/v1/document", First, &FirstReply); });
  SecondCode = D.adminPost(3, "/v1/document", Second, &SecondReply);
  Other.join();
  LONGS_EQUAL(200 + 409, FirstCode + SecondCode);
  const Json &Loser = FirstCode == 409 ? FirstReply : SecondReply;
  const char *Winner = FirstCode == 200 ? "first" : "second";
  STRCMP_EQUAL(Winner, Loser["author"].get<std::string>().c_str());
  CHECK_TRUE(Loser.contains("text"));
  CHECK_TRUE(waitUntil([&] { return allAt(D, 2); }, InEffectTimeout));
}

TEST(Configuration, ALostReplyOfTheCommitIsNoConflict) {
  Deployment D({});
  D.platformKnobs({{"lose_replies", 1}});
  std::string Path = D.writeFile("next.yaml", documentWith(7000));
  std::string Output;
  int Code = D.tool({"apply", Path}, &Output);
  STRCMP_CONTAINS("version 2", Output.c_str());
  LONGS_EQUAL(0, Code);
}

TEST(Configuration, AnInvalidDocumentChangesNothing) {
  Deployment D({});
  std::string Path = D.writeFile("bad.yaml", "customer: test\ncolour: red\n");
  std::string Output;
  LONGS_EQUAL(3, D.tool({"apply", Path}, &Output));
  STRCMP_CONTAINS(":2: colour: unknown key", Output.c_str());
  LONGS_EQUAL(1, versionAt(D, 0));
  LONGS_EQUAL(400, D.adminPost(0, "/v1/document",
                               {{"text", "customer: test\n"},
                                {"author", "x"},
                                {"base_version", 1}}));
}

TEST(Configuration, ARestartInAnOutageTakesTheNewestVersionFromPeers) {
  Deployment D({});
  std::string Path = D.writeFile("next.yaml", documentWith(7000));
  LONGS_EQUAL(0, D.tool({"apply", Path}));
  CHECK_TRUE(waitUntil([&] { return allAt(D, 2); }, InEffectTimeout));
  D.platformKnobs({{"outage", true}});
  D.signalEntry(0, SIGKILL);
  D.waitEntry(0);
  D.startEntry(0);
  CHECK_TRUE(waitUntil([&] { return versionAt(D, 0) == 2; }));
  Call Read;
  Read.m_Key = "read";
  Read.m_Repeatable = true;
  CHECK_TRUE(waitUntil([&] { return D.call(0, Read).m_Status == 200; }));
}

TEST(Configuration, OperatorsCallsNeedTheToken) {
  Deployment D(layoutWithSize(1, 1, 2));
  Json Body = {
      {"text", documentWith(7000)}, {"author", "x"}, {"base_version", 1}};
  LONGS_EQUAL(401, D.callerPostTo(D.adminAddress(0), "/v1/document", Body));
}
