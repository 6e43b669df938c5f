//===- DispatcherTest.cpp - Tests of the request path's rules -------------===//

#include "dispatch/DispatcherTestFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

void checkOutcome(const Action &A, OutcomeKind Kind, Reason Why) {
  CHECK(A.m_Kind == ActionKind::Finish);
  LONGS_EQUAL(static_cast<int>(Kind), static_cast<int>(A.m_Outcome.m_Kind));
  STRCMP_EQUAL(reasonName(Why).data(), reasonName(A.m_Outcome.m_Reason).data());
}

} // namespace

TEST_GROUP(Dispatcher){};

TEST(Dispatcher, RefusesUnknownStrategy) {
  DispatcherSettings Settings;
  Settings.m_Strategy = "none such";
  CHECK(Dispatcher::create(Settings).has_error());
}

TEST(Dispatcher, AnswersFromOneTry) {
  DispatcherTestFixture F(2);
  Ticket T = F.submit(F.request("a"));
  Action Start = F.last(T, ActionKind::StartTry);
  LONGS_EQUAL(1, F.m_Core.inFlight(Start.m_Instance));
  F.finishTry(Start, TryResult::Answered);
  LONGS_EQUAL(1, F.count(T, ActionKind::Finish));
  checkOutcome(F.last(T, ActionKind::Finish), OutcomeKind::Answer,
               Reason::None);
  LONGS_EQUAL(0, F.m_Core.inFlight(Start.m_Instance));
  LONGS_EQUAL(0, F.m_Core.stats().m_Open);
}

TEST(Dispatcher, RefusesUnknownService) {
  DispatcherTestFixture F(1);
  RequestInfo Info = F.request("a");
  Info.m_Service = ServiceName("none");
  checkOutcome(F.last(F.submit(Info), ActionKind::Finish), OutcomeKind::NotRun,
               Reason::UnknownService);
}
