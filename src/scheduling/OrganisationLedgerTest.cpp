//===- OrganisationLedgerTest.cpp - Tests of caps of organisations --------===//

#include "scheduling/OrganisationLedger.h"
#include "scheduling/JobRegistry.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

TEST_GROUP(OrganisationLedger) {
  OrganisationLedger m_Ledger;
  OrganisationAccount *m_Account = nullptr;
  LiveJob m_Large, m_Small;
  TimePoint m_Now{};

  void setCap(const Resources &Cap) {
    OrganisationPolicy O;
    O.m_Name = OrganisationName("school");
    O.m_Cap = Cap;
    m_Ledger.onConfig(*ServingConfig::create(1, {}, {}, {O}));
    m_Account = m_Ledger.account(O.m_Name);
  }
  bool mayCharge(const LiveJob &Job, std::int64_t MilliCores) {
    return OrganisationLedger::mayCharge(m_Account, Job, {MilliCores, 0, 0},
                                         m_Now);
  }
};

// An organisation had more running than its cap.
TEST(OrganisationLedger, ChargesAndReservationsCountAgainstTheCap) {
  setCap({10000, 0, 0});
  m_Account->charge({6000, 900000, 0});
  m_Account->m_Reserved = {2000, 0, 0};
  CHECK(mayCharge(m_Small, 2000));
  CHECK_FALSE(mayCharge(m_Small, 2001));
  m_Ledger.clearReservations();
  CHECK(mayCharge(m_Small, 4000));
  m_Account->release({6000, 900000, 0});
  CHECK(mayCharge(m_Small, 10000));
}

// A cap may be lowered below what runs, or removed with its organisation.
TEST(OrganisationLedger, ALoweredCapStopsStartsOnly) {
  setCap({10000, 0, 0});
  m_Account->charge({8000, 0, 0});
  setCap({3000, 0, 0});
  CHECK_FALSE(mayCharge(m_Small, 1));
  CHECK_EQUAL(0, m_Account->freeMilliCores());
  m_Ledger.onConfig(*ServingConfig::create(2, {}, {}));
  CHECK(mayCharge(m_Small, 1));
  CHECK_EQUAL(8000, m_Account->m_Charged.m_MilliCores);
}

// Small tasks took the room under the cap as soon as there was any, so that a
// large task of the same organisation never started.
TEST(OrganisationLedger, SmallTasksDoNotOvertakeALargeOneForEver) {
  setCap({10000, 0, 0});
  m_Account->charge({5000, 0, 0});
  CHECK_FALSE(mayCharge(m_Large, 9000));
  CHECK(mayCharge(m_Small, 1000));
  for (int N = 0; N < 6; ++N) {
    m_Now += 100ms;
    CHECK_FALSE(mayCharge(m_Large, 9000));
  }
  CHECK_FALSE(mayCharge(m_Small, 1000));
  m_Account->release({5000, 0, 0});
  CHECK(mayCharge(m_Large, 9000));
  CHECK(mayCharge(m_Small, 1000));
}

// A job that no longer waits for the cap, for example since it was cancelled,
// must not hold back the others.
TEST(OrganisationLedger, AJobThatIsNotTriedAnyMoreHoldsNothingBack) {
  setCap({10000, 0, 0});
  m_Account->charge({5000, 0, 0});
  CHECK_FALSE(mayCharge(m_Large, 9000));
  m_Now += 600ms;
  CHECK(mayCharge(m_Small, 1000));
}

// A cap was lowered below what one task of a waiting job needs, and no other
// job of the organisation started any more.
TEST(OrganisationLedger, AJobThatCanNeverFitHoldsNothingBack) {
  setCap({10000, 0, 0});
  for (int N = 0; N < 20; ++N) {
    m_Now += 100ms;
    CHECK_FALSE(mayCharge(m_Large, 12000));
    CHECK(mayCharge(m_Small, 1000));
  }
}

// Long-running tasks kept the room that a large task waited for, and no other
// job of the organisation started any more.
TEST(OrganisationLedger, AJobHoldsTheOthersBackForALimitedTime) {
  setCap({10000, 0, 0});
  m_Account->charge({5000, 0, 0});
  bool WasHeld = false, HasStarted = false;
  for (int N = 0; N < 60; ++N) {
    m_Now += 100ms;
    CHECK_FALSE(mayCharge(m_Large, 8000));
    bool MayStart = mayCharge(m_Small, 1000);
    HasStarted |= WasHeld && MayStart;
    WasHeld |= !MayStart;
  }
  CHECK(WasHeld && HasStarted);
}

TEST(OrganisationLedger, AJobThatNeedsAnotherResourceIsNotHeldBack) {
  setCap({10000, 0, 2});
  m_Account->charge({0, 0, 2});
  for (int N = 0; N < 10; ++N) {
    m_Now += 100ms;
    CHECK_FALSE(
        OrganisationLedger::mayCharge(m_Account, m_Large, {0, 0, 1}, m_Now));
    CHECK(mayCharge(m_Small, 1000));
  }
}
