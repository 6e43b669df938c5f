//===- RequestPathTest.cpp - Requests and repeats in a deployment ---------===//

#include "integration/Deployment.h"
#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace pollenspool::testing;

namespace {

Call callWithKey(const std::string &Key, int Attempt = 1) {
  Call Out;
  Out.m_Key = Key;
  Out.m_Attempt = Attempt;
  return Out;
}

/// Checks that \p Got is the answer to \p Key and that the request ran once.
void checkAnswered(Deployment &D, const Reply &Got, const std::string &Key) {
  STRCMP_EQUAL("answer ", (Got.m_Outcome + " " + Got.m_Reason).c_str());
  LONGS_EQUAL(200, Got.m_Status);
  STRCMP_CONTAINS(("\"request_id\":\"" + Key + "\"").c_str(),
                  Got.m_Body.c_str());
  LONGS_EQUAL(1, D.runCountOf(Key));
}

} // namespace

TEST_GROUP(RequestPath){};

TEST(RequestPath, ARepeatElsewhereGetsTheRecordedAnswer) {
  Deployment D({});
  Reply First = D.call(0, callWithKey("tally-1"));
  checkAnswered(D, First, "tally-1");
  for (int Entry = 0; Entry < D.entryCount(); ++Entry) {
    Reply Again = D.call(Entry, callWithKey("tally-1", 2));
    STRCMP_EQUAL(First.m_Body.c_str(), Again.m_Body.c_str());
  }
  LONGS_EQUAL(1, D.runCountOf("tally-1"));
}

TEST(RequestPath, ARepeatWhileTheFirstRunsDoesNotRun) {
  Deployment D({});
  Call Slow = callWithKey("swap-1");
  Slow.m_WorkMs = 3000;
  Reply First;
  std::thread Caller([&] { First = D.call(0, Slow); });
  CHECK_TRUE(waitUntil([&] { return D.runCountOf("swap-1") == 1; }));
  Reply Second = D.call(3, callWithKey("swap-1", 2));
  STRCMP_EQUAL("unknown", Second.m_Outcome.c_str());
  Caller.join();
  checkAnswered(D, First, "swap-1");
}

TEST(RequestPath, AnEntryKilledInFlightLeavesAnUnknownNotASecondRun) {
  Deployment D({});
  Call Slow = callWithKey("swap-2");
  Slow.m_WorkMs = 2000;
  Reply First;
  std::thread Caller([&] { First = D.call(0, Slow); });
  CHECK_TRUE(waitUntil([&] { return D.runCountOf("swap-2") == 1; }));
  D.signalEntry(0, SIGKILL);
  Caller.join();
  LONGS_EQUAL(0, First.m_Status);
  for (int Attempt = 2; Attempt < 6; ++Attempt) {
    Reply Again = D.call(1 + Attempt % 3, callWithKey("swap-2", Attempt));
    STRCMP_EQUAL("unknown", Again.m_Outcome.c_str());
  }
  LONGS_EQUAL(1, D.runCountOf("swap-2"));
  D.waitEntry(0);
  D.startEntry(0);
  CHECK_TRUE(waitUntil([&] { return D.isReady(0); }));
  STRCMP_EQUAL("unknown",
               D.call(0, callWithKey("swap-2", 9)).m_Outcome.c_str());
  LONGS_EQUAL(1, D.runCountOf("swap-2"));
}

TEST(RequestPath, APausedEntryGivesTheLateAnswerToItsOwnRequest) {
  Deployment D({});
  Call Slow = callWithKey("swap-3");
  Slow.m_WorkMs = 500;
  Reply First;
  std::thread Caller([&] { First = D.call(0, Slow); });
  CHECK_TRUE(waitUntil([&] { return D.runCountOf("swap-3") == 1; }));
  D.signalEntry(0, SIGSTOP);
  // The repeat is sent while the entry instance of the first attempt is paused.
  Reply Again = D.call(2, callWithKey("swap-3", 2));
  CHECK_FALSE(Again.m_Outcome == "not-run");
  D.signalEntry(0, SIGCONT);
  Caller.join();
  checkAnswered(D, First, "swap-3");
}

TEST(RequestPath, LostRepliesOfThePlatformDoNotLoseOrDoubleARequest) {
  Deployment D({});
  for (int I = 0; I < 6; ++I) {
    D.platformKnobs({{"lose_replies", 1}});
    std::string Key = "lost-reply-" + std::to_string(I);
    checkAnswered(D, D.call(I % D.entryCount(), callWithKey(Key)), Key);
  }
}

TEST(RequestPath, SwapsAreServedWhileThePlatformIsDown) {
  Layout L;
  L.m_ClaimLifetimeMs = 4000;
  Deployment D(L);
  D.waitUntilAllMayGrantFromMemory();
  checkAnswered(D, D.call(0, callWithKey("before")), "before");
  D.platformKnobs({{"outage", true}});
  for (int I = 0; I < 8; ++I) {
    std::string Key = "outage-" + std::to_string(I);
    checkAnswered(D, D.call(I % D.entryCount(), callWithKey(Key)), Key);
    Reply Again = D.call((I + 1) % D.entryCount(), callWithKey(Key, 2));
    CHECK_FALSE(Again.m_Outcome == "not-run");
    LONGS_EQUAL(1, D.runCountOf(Key));
  }
  Reply Old = D.call(1, callWithKey("before", 2));
  CHECK_FALSE(Old.m_Outcome == "not-run");
  LONGS_EQUAL(1, D.runCountOf("before"));
  D.platformKnobs({{"outage", false}});
  CHECK_TRUE(waitUntil([&] {
    Json Rows = D.platformGet("/v1/table/scan?prefix=claim/");
    return Rows.is_object() && Rows["rows"].size() >= 9;
  }));
  checkAnswered(D, D.call(2, callWithKey("after")), "after");
}

TEST(RequestPath,
     ATruncatedAnswerIsUnknownAndARepeatableRequestIsTriedElsewhere) {
  Deployment D(layoutWithSize(1, 1, 4));
  D.backendKnobs("*", {{"truncate", 1}});
  Reply Cut = D.call(0, callWithKey("cut-1"));
  STRCMP_EQUAL("unknown", Cut.m_Outcome.c_str());
  LONGS_EQUAL(1, D.runCountOf("cut-1"));
  Call Read = callWithKey("cut-2");
  Read.m_Repeatable = true;
  // One of the pool's two instances still truncates its next answer.
  LONGS_EQUAL(200, D.call(0, Read).m_Status);
}

TEST(RequestPath, DuplicateAndLateAnswersNeverReachAnotherRequest) {
  Deployment D(layoutWithSize(1, 2, 4));
  D.backendKnobs("*", {{"double", true}, {"late_ms", 30}});
  for (int I = 0; I < 40; ++I) {
    std::string Key = "double-" + std::to_string(I);
    checkAnswered(D, D.call(I % 2, callWithKey(Key)), Key);
  }
}

TEST(RequestPath, BadHeadersAreRefusedWithTheirName) {
  Deployment D(layoutWithSize(1, 1, 2));
  Call Bad = callWithKey("bad");
  Bad.m_Class = "whenever";
  Reply Got = D.call(0, Bad);
  LONGS_EQUAL(400, Got.m_Status);
  STRCMP_EQUAL("not-run", Got.m_Outcome.c_str());
  STRCMP_CONTAINS("Pollenspool-Class", Got.m_Body.c_str());
  CHECK_EQUAL(1,
              D.metric(0, "pollenspool_not_run_total{reason=\"bad_request\"}"));
}

TEST(RequestPath, CancelledRequestsEndAtOnceWhereverTheyWait) {
  Deployment D(layoutWithSize(1, 2, 2));
  constexpr int Requests = 40;
  std::vector<Reply> Got(Requests);
  std::vector<std::thread> Callers;
  Json Ids = Json::array();
  for (int I = 0; I < Requests; ++I) {
    Call Slow = callWithKey("mass-" + std::to_string(I));
    Slow.m_WorkMs = 20000;
    Slow.m_TimeoutMs = 25000;
    Ids.push_back(Slow.m_Key);
    Callers.emplace_back([&D, &Got, I, Slow] { Got[I] = D.call(I % 2, Slow); });
  }
  auto Open = [&](int Entry) { return D.metric(Entry, "pollenspool_open"); };
  auto In = [&](int Entry) {
    return D.metric(Entry, "pollenspool_submitted_total{class=\"urgent\"}");
  };
  bool AllIn = waitUntil([&] { return In(0) + In(1) >= Requests; });
  Json Body = {{"ids", Ids}};
  int Cancelled = D.callerPost(0, "/requests/cancel", Body);
  for (std::thread &T : Callers)
    T.join();
  CHECK_TRUE(AllIn);
  LONGS_EQUAL(200, Cancelled);
  for (const Reply &R : Got)
    CHECK_FALSE(R.m_Outcome == "answer");
  LONGS_EQUAL(0, static_cast<long>(Open(0) + Open(1)));
}
