//===- OrganisationLedgerTest.cpp - Tests of caps of organisations --------===//

#include "scheduling/OrganisationLedger.h"
#include "scheduling/JobRegistry.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

TEST_GROUP(OrganisationLedger) {
  OrganisationLedger Ledger;
  OrganisationAccount *Account = nullptr;
  LiveJob Large, Small;
  TimePoint Now{};

  void setCap(const Resources &Cap) {
    OrganisationPolicy O;
    O.m_Name = OrganisationName("school");
    O.m_Cap = Cap;
    Ledger.onConfig(*ServingConfig::create(1, {}, {}, {O}));
    Account = Ledger.account(O.m_Name);
  }
  bool mayCharge(const LiveJob &Job, std::int64_t MilliCores) {
    return OrganisationLedger::mayCharge(Account, Job, {MilliCores, 0, 0}, Now);
  }
};

// An organisation had more running than its cap.
TEST(OrganisationLedger, ChargesAndReservationsCountAgainstTheCap) {
  setCap({10000, 0, 0});
  Account->charge({6000, 900000, 0});
  Account->m_Reserved = {2000, 0, 0};
  CHECK(mayCharge(Small, 2000));
  CHECK_FALSE(mayCharge(Small, 2001));
  Ledger.clearReservations();
  CHECK(mayCharge(Small, 4000));
  Account->release({6000, 900000, 0});
  CHECK(mayCharge(Small, 10000));
}

// A cap may be lowered below what runs, or removed with its organisation.
TEST(OrganisationLedger, ALoweredCapStopsStartsOnly) {
  setCap({10000, 0, 0});
  Account->charge({8000, 0, 0});
  setCap({3000, 0, 0});
  CHECK_FALSE(mayCharge(Small, 1));
  CHECK_EQUAL(0, Account->freeMilliCores());
  Ledger.onConfig(*ServingConfig::create(2, {}, {}));
  CHECK(mayCharge(Small, 1));
  CHECK_EQUAL(8000, Account->m_Charged.m_MilliCores);
}

// Small tasks took the room under the cap as soon as there was any, so that a
// large task of the same organisation never started.
TEST(OrganisationLedger, SmallTasksDoNotOvertakeALargeOneForEver) {
  setCap({10000, 0, 0});
  Account->charge({5000, 0, 0});
  CHECK_FALSE(mayCharge(Large, 9000));
  CHECK(mayCharge(Small, 1000));
  for (int N = 0; N < 6; ++N) {
    Now += 100ms;
    CHECK_FALSE(mayCharge(Large, 9000));
  }
  CHECK_FALSE(mayCharge(Small, 1000));
  Account->release({5000, 0, 0});
  CHECK(mayCharge(Large, 9000));
  CHECK(mayCharge(Small, 1000));
}

// A job that no longer waits for the cap, for example since it was cancelled,
// must not hold back the others.
TEST(OrganisationLedger, AJobThatIsNotTriedAnyMoreHoldsNothingBack) {
  setCap({10000, 0, 0});
  Account->charge({5000, 0, 0});
  CHECK_FALSE(mayCharge(Large, 9000));
  Now += 600ms;
  CHECK(mayCharge(Small, 1000));
}
