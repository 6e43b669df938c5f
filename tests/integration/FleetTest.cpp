//===- FleetTest.cpp - Moves and waves in a deployment --------------------===//

#include "integration/Deployment.h"
#include <csignal>

#include <CppUTest/TestHarness.h>

using namespace pollenspool::testing;

namespace {

std::vector<std::string> loadFor(int Seconds, int Seed) {
  return {"--seed",          std::to_string(Seed),
          "--seconds",       std::to_string(Seconds),
          "--rate",          "150",
          "--service",       "crew-desk",
          "--service",       "sundry-notices",
          "--repeat-unknown"};
}

Json finishLoad(Deployment &D, ChildProcess &Load) {
  int Code = Load.wait();
  Json Report = D.readReport();
  if (Code != 0)
    FAIL((Load.output() + Report.value("examples", Json()).dump()).c_str());
  return Report;
}

Json instancesAt(Deployment &D, int Entry) {
  Json Status = D.adminGet(Entry, "/status");
  return Status.is_object() ? Status["instances"] : Json::array();
}

std::string poolOf(Deployment &D, int Entry, const std::string &Instance) {
  for (const Json &Line : instancesAt(D, Entry))
    if (Line["id"] == Instance)
      return Line["state"] == "serving" ? Line["pool"] : "not serving";
  return "";
}

/// Returns an instance of the spare pool in data centre a; empty if there is
/// none.
std::string spareInstance(Deployment &D) {
  for (const Json &Line : instancesAt(D, 0)) {
    std::string Id = Line["id"];
    if (Line["pool"] == "sundry" && Id[0] == 'a')
      return Id;
  }
  return "";
}

bool waveEnded(Deployment &D, int Entry) {
  Json Fleet = D.adminGet(Entry, "/v1/fleet");
  if (!Fleet.is_object() || Fleet["waves"].empty())
    return false;
  return Fleet["waves"].back()["state"] == "done";
}

Json waveRow(Deployment &D) {
  Json Rows = D.platformGet("/v1/table/scan?prefix=wave/");
  return Json::parse(Rows["rows"][0]["value"].get<std::string>());
}

} // namespace

TEST_GROUP(Fleet){};

TEST(Fleet, AMoveUnderLoadInterruptsNothingAndEndsInTheNewPool) {
  Deployment D({});
  ChildProcess Load = D.startLoad(loadFor(6, 21));
  std::string Instance = spareInstance(D);
  LONGS_EQUAL(0, D.tool({"move", Instance, "sundry", "crew-desk"}));
  for (int I = 0; I < D.entryCount(); ++I)
    CHECK_TRUE(
        waitUntil([&] { return poolOf(D, I, Instance) == "crew-desk"; }));
  finishLoad(D, Load);
}

// Guards against transaction tokens that the daemon and its fleet component
// both use: the platform would answer a transaction with the recorded outcome
// of the other one and write nothing.
TEST(Fleet, TransactionsOfOneProcessNeverShareAToken) {
  Deployment D(layoutWithSize(1, 1, 4));
  std::string Instance = spareInstance(D);
  LONGS_EQUAL(0, D.tool({"move", Instance, "sundry", "crew-desk"}));
  CHECK_TRUE(waitUntil([&] { return poolOf(D, 0, Instance) == "crew-desk"; }));
  Json Rows = D.platformGet("/v1/table/scan?prefix=runner");
  LONGS_EQUAL(1, Rows["rows"].size());
}

TEST(Fleet, OfTwoMovesOfOneInstanceOneWins) {
  Deployment D({});
  std::string Instance = spareInstance(D);
  D.signalEntry(1, SIGSTOP);
  LONGS_EQUAL(0, D.tool({"move", Instance, "sundry", "crew-desk"}));
  std::string Output;
  LONGS_EQUAL(4, D.tool({"move", Instance, "sundry", "crew-desk"}, &Output));
  D.signalEntry(1, SIGCONT);
  CHECK_TRUE(waitUntil([&] { return poolOf(D, 0, Instance) == "crew-desk"; }));
}

TEST(Fleet, AMoveWaitsForAPausedEntryAndSaysSo) {
  Deployment D({});
  std::string Instance = spareInstance(D);
  D.signalEntry(1, SIGSTOP);
  LONGS_EQUAL(0, D.tool({"move", Instance, "sundry", "crew-desk"}));
  std::string Output;
  CHECK_TRUE(waitUntil([&] {
    D.tool({"explain", Instance}, &Output);
    return Output.find(D.peerAddress(1)) != std::string::npos;
  }));
  CHECK_FALSE(poolOf(D, 0, Instance) == "crew-desk");
  D.signalEntry(1, SIGCONT);
  CHECK_TRUE(waitUntil([&] { return poolOf(D, 0, Instance) == "crew-desk"; }));
}

TEST(Fleet, AKilledRunnerLeavesItsMoveToAnother) {
  Deployment D({});
  std::string Instance = spareInstance(D);
  // The instance's data centre cannot acknowledge the move until entry instance
  // 1 resumes.
  D.signalEntry(1, SIGSTOP);
  LONGS_EQUAL(0, D.tool({"move", Instance, "sundry", "crew-desk"}));
  int Runner = -1;
  CHECK_TRUE(waitUntil([&] {
    for (int I : {0, 2, 3})
      if (D.adminGet(I, "/v1/fleet")["is_runner"] == true)
        Runner = I;
    return Runner >= 0;
  }));
  D.signalEntry(Runner, SIGKILL);
  D.waitEntry(Runner);
  D.startEntry(Runner);
  D.signalEntry(1, SIGCONT);
  CHECK_TRUE(waitUntil([&] { return poolOf(D, 1, Instance) == "crew-desk"; }));
}

TEST(Fleet, AWaveUnderLoadRebootsEveryInstanceAndInterruptsNothing) {
  Deployment D({});
  ChildProcess Load = D.startLoad(loadFor(15, 22));
  LONGS_EQUAL(0, D.tool({"wave", "start", "all", "2"}));
  CHECK_TRUE(waitUntil([&] { return waveEnded(D, 0); }));
  Json Report = finishLoad(D, Load);
  LONGS_EQUAL(0, Report["cut_in_flight"].get<int>());
  Json Wave = waveRow(D);
  LONGS_EQUAL(8, Wave["done"].get<int>());
  CHECK_TRUE(Wave["failed"].empty());
  for (const Json &Line : instancesAt(D, 0))
    STRCMP_EQUAL("serving", Line["state"].get<std::string>().c_str());
}

TEST(Fleet, AWaveSurvivesItsRunnerAndAPlatformOutage) {
  Deployment D({});
  ChildProcess Load = D.startLoad(loadFor(20, 23));
  LONGS_EQUAL(0, D.tool({"wave", "start", "pool", "crew-desk", "1"}));
  int Runner = -1;
  CHECK_TRUE(waitUntil([&] {
    for (int I = 0; I < D.entryCount(); ++I)
      if (D.adminGet(I, "/v1/fleet")["is_runner"] == true)
        Runner = I;
    return Runner >= 0;
  }));
  D.platformKnobs({{"outage", true}});
  D.signalEntry(Runner, SIGKILL);
  D.waitEntry(Runner);
  D.startEntry(Runner);
  CHECK_TRUE(waitUntil([&] { return D.isReady(Runner); }));
  D.platformKnobs({{"outage", false}});
  CHECK_TRUE(waitUntil([&] { return waveEnded(D, (Runner + 1) % 4); }));
  finishLoad(D, Load);
  LONGS_EQUAL(4, waveRow(D)["done"].get<int>());
}

TEST(Fleet, AnInstanceThatDoesNotReturnDoesNotStopTheWaveForOthers) {
  Deployment D({});
  std::string Lost;
  for (const Json &Line : instancesAt(D, 0))
    if (Line["pool"] == "crew-desk")
      Lost = Line["id"];
  D.platformKnobs({{"no_return", Json::array({Lost})}});
  LONGS_EQUAL(0, D.tool({"wave", "start", "pool", "crew-desk", "2"}));
  CHECK_TRUE(waitUntil([&] {
    Json Waves = D.adminGet(0, "/v1/fleet")["waves"];
    return !Waves.empty() && Waves[0]["done"] == 3;
  }));
  std::string Output;
  D.tool({"explain", Lost}, &Output);
  CHECK_TRUE(Output.find(Lost) != std::string::npos);
}
