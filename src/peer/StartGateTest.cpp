//===- StartGateTest.cpp - Tests of the start gate ------------------------===//

#include "peer/StartGate.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(StartGate){};

TEST(StartGate, RefusesAsNotProcessedUntilItOpens) {
  StartGate Gate;
  int Served = 0;
  PeerRoute Route;
  Route.m_Handler = [&](const PeerCall &) -> Result<std::string> {
    ++Served;
    return std::string("done");
  };
  auto Routes = Gate.guard({Route});
  auto Early = Routes[0].m_Handler({});
  CHECK_FALSE(Early.has_value());
  CHECK_TRUE(Early.error().m_Code == ErrorCode::Refused);
  LONGS_EQUAL(0, Served);
  Gate.open();
  CHECK_TRUE(Routes[0].m_Handler({}).has_value());
  LONGS_EQUAL(1, Served);
}
