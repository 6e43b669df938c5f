//===- ConnectionBudgetTest.cpp - Tests of ConnectionBudget ---------------===//

#include "entry/ConnectionBudget.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(ConnectionBudget){};

// A leader of 1,100 backend servers opened 24 connections to each and reached
// the limit of its machine; calls to the store and to servers then failed.
TEST(ConnectionBudget, LeavesDescriptorsForCallersAtEveryLimit) {
  for (std::size_t Limit : {256u, 1024u, 4100u, 8192u, 1048576u}) {
    ConnectionBudget B = divideDescriptors(Limit);
    CHECK(B.m_Platform.m_Total + B.m_Backends.m_Total <= Limit - Limit / 4);
    CHECK(B.m_Backends.m_Total > 0);
  }
}

// At the smallest limits the subtraction gave more connections than there can
// be descriptors.
TEST(ConnectionBudget, KeepsTheSumOfAllSharesWithinTheLimit) {
  for (std::size_t Limit : {256u, 400u, 1024u, 4100u, 1048576u}) {
    ConnectionBudget B = divideDescriptors(Limit);
    CHECK(B.m_Platform.m_Total + B.m_Backends.m_Total + B.m_Callers +
              B.m_Readiness + B.m_Operators <=
          Limit);
  }
}

// A client that opens connections and sends nothing took the descriptors of
// others; hundreds of callers still have to have one each.
TEST(ConnectionBudget, CallersHaveAQuarter) {
  CHECK_EQUAL(1025u, divideDescriptors(4100).m_Callers);
}

// Each server has a poll that it holds, so that all of them need a connection
// at the same time.
TEST(ConnectionBudget, AWeakInstanceCanPollElevenHundredServers) {
  CHECK(divideDescriptors(4100).m_Backends.m_Total >= 2 * 1100);
}

// A server accepts 64 connections and keeps those of lost leaders. Guards
// against a budget with which some ten losses shut out the next leader.
TEST(ConnectionBudget, AServerHasRoomAfterThirtyLostLeaders) {
  constexpr std::size_t AcceptedByServer = 64;
  constexpr std::size_t LostLeaders = 30;
  const ConnectionLimits Backends = divideDescriptors(4100).m_Backends;
  CHECK(Backends.m_PerPeer >= 2);
  CHECK((LostLeaders + 1) * Backends.m_PerPeer <= AcceptedByServer);
}

TEST(ConnectionBudget, KnowsTheLimitOfThisProcess) {
  CHECK(descriptorLimit() >= 256);
}
