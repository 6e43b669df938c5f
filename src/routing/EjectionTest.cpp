//===- EjectionTest.cpp - Tests of ejection and routing strategies --------===//

#include "routing/Ejection.h"
#include "routing/Strategy.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct TestPool {
  explicit TestPool(std::size_t Count) : m_States(Count) {
    for (RoutedInstance &S : m_States) {
      S.m_Target.m_AcceptsWork = true;
      m_Group.push_back(&S);
    }
  }

  void fail(std::size_t I, int Times, bool Elsewhere = false) {
    for (int T = 0; T < Times; ++T) {
      recordFailure(m_States[I], Elsewhere, m_Now);
      m_Ejections += ejectIfFailing(m_States[I], m_Group, 0.3, m_Now) ? 1 : 0;
    }
  }

  std::vector<RoutedInstance> m_States;
  InstanceGroup m_Group;
  TimePoint m_Now{seconds(100)};
  int m_Ejections = 0;
};

} // namespace

TEST_GROUP(Ejection){};

TEST(Ejection, EjectsTheOnlyFailingInstance) {
  TestPool Pool(4);
  Pool.fail(0, 4);
  LONGS_EQUAL(0, Pool.m_Ejections);
  Pool.fail(0, 1);
  LONGS_EQUAL(1, Pool.m_Ejections);
}

TEST(Ejection, DoesNotEjectWhenTheWholePoolFails) {
  TestPool Pool(4);
  for (int Round = 0; Round < 40; ++Round)
    for (std::size_t I = 0; I < 4; ++I)
      Pool.fail(I, 1);
  LONGS_EQUAL(0, Pool.m_Ejections);
}

TEST(Ejection, LimitsTheEjectedShare) {
  TestPool Pool(8);
  for (std::size_t I = 0; I < 4; ++I)
    Pool.fail(I, 30);
  LONGS_EQUAL(2, ejectedCount(Pool.m_Group));
  // The ejection limit shrinks with the number of instances that accept work.
  for (std::size_t I = 4; I < 8; ++I)
    Pool.m_States[I].m_Target.m_AcceptsWork = false;
  enforceEjectionLimit(Pool.m_Group, 0.3);
  LONGS_EQUAL(1, ejectedCount(Pool.m_Group));
}

TEST(Ejection, NeverEjectsTheOnlyInstance) {
  TestPool Pool(1);
  Pool.fail(0, 50);
  LONGS_EQUAL(0, Pool.m_Ejections);
}

TEST(Ejection, DoesNotAttributeRequestsThatFailEverywhere) {
  TestPool Pool(4);
  for (int Request = 0; Request < 50; ++Request) {
    std::size_t First = Request % 4;
    std::size_t Second = (Request + 1) % 4;
    recordSuccess(Pool.m_States[First]);
    recordSuccess(Pool.m_States[Second]);
    Pool.fail(First, 1);
    retractFailure(Pool.m_States[First]);
    Pool.fail(Second, 1, true);
  }
  LONGS_EQUAL(0, Pool.m_Ejections);
  LONGS_EQUAL(0, Pool.m_States[0].m_Health.m_AttributedInRow);
}

TEST(Ejection, AttributesFailuresOfSeveralRequests) {
  TestPool Pool(4);
  Pool.fail(0, 10, true);
  LONGS_EQUAL(1, Pool.m_Ejections);
}

TEST(Ejection, ProbesWithBackoffAndReadmits) {
  TestPool Pool(4);
  RoutedInstance &Failing = Pool.m_States[0];
  Pool.fail(0, 5);
  TimePoint Now = Pool.m_Now;
  CHECK_FALSE(isProbeDue(Failing, true, Now + milliseconds(499)));
  CHECK(isProbeDue(Failing, true, Now + milliseconds(500)));
  CHECK_FALSE(isProbeDue(Failing, false, Now + milliseconds(500)));
  CHECK(isProbeDue(Failing, false, Now + milliseconds(2500)));
  Pool.fail(0, 1);
  CHECK_FALSE(isProbeDue(Failing, true, Now + milliseconds(999)));
  Failing.m_Health.m_ProbeInFlight = true;
  CHECK_FALSE(isProbeDue(Failing, true, Now + seconds(60)));
  for (int I = 0; I < 3; ++I)
    recordSuccess(Failing);
  CHECK_FALSE(Failing.m_Health.m_Ejected);
}

TEST_GROUP(Strategy){};

TEST(Strategy, KeepsWindowWithinTheConnectionShare) {
  SharedLimits Limits{8, 64, 9};
  RoutedInstance Idle;
  RoutedInstance Crowded;
  Crowded.m_Peers.replace(0, 500);
  Crowded.m_Window.m_Size = 1e9;
  for (const StrategyRow &Row : routingStrategies()) {
    auto Strategy = Row.m_Create();
    for (const RoutedInstance *I : {&Idle, &Crowded}) {
      std::uint32_t Window = Strategy->window(*I, Limits);
      CHECK(Window >= 1);
      CHECK(Window <= 64 / 9);
    }
  }
}

TEST(Strategy, AdaptsTheWindowToLatencyAndRefusals) {
  auto Strategy = makeStrategy("adaptive");
  SharedLimits Limits{8, 64, 4};
  RoutedInstance I;
  I.m_InFlight = 16;
  TimePoint Now{seconds(1)};
  auto Observe = [&](bool Refused, Duration Latency) {
    Now += milliseconds(100);
    Strategy->observe(I, Limits, {Refused, Latency, milliseconds(10), Now});
    return Strategy->window(I, Limits);
  };
  std::uint32_t Start = Strategy->window(I, Limits);
  LONGS_EQUAL(2, Start);
  for (int N = 0; N < 40; ++N)
    Observe(false, milliseconds(10));
  std::uint32_t Grown = Strategy->window(I, Limits);
  CHECK(Grown > Start);
  std::uint32_t Refused = Observe(true, Duration(0));
  CHECK(Refused < Grown);
  for (int N = 0; N < 60; ++N)
    Observe(false, milliseconds(60));
  LONGS_EQUAL(1, Strategy->window(I, Limits));
}

TEST(Strategy, IsFoundByName) {
  CHECK(makeStrategy("") != nullptr);
  CHECK(makeStrategy("none such") == nullptr);
}
