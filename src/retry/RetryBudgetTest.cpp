//===- RetryBudgetTest.cpp - Tests of the retry budget --------------------===//

#include "retry/RetryBudget.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using std::chrono::seconds;

namespace {

int takeAll(RetryBudget &Budget, TimePoint Now) {
  int Taken = 0;
  while (Budget.take(Now))
    ++Taken;
  return Taken;
}

} // namespace

TEST_GROUP(RetryBudget){};

TEST(RetryBudget, GrantsShareOfFirstTriesPlusReserve) {
  RetryBudget Budget;
  Budget.setShare(0.25);
  TimePoint Now{seconds(100)};
  LONGS_EQUAL(3, takeAll(Budget, Now));
  for (int I = 0; I < 40; ++I)
    Budget.onFirstTry();
  LONGS_EQUAL(10, takeAll(Budget, Now));
  LONGS_EQUAL(2, takeAll(Budget, Now + seconds(2)));
  LONGS_EQUAL(3, takeAll(Budget, Now + seconds(60)));
}

TEST(RetryBudget, CapsTokensEarnedByFirstTries) {
  RetryBudget Budget;
  Budget.setShare(0.1);
  for (int I = 0; I < 100000; ++I)
    Budget.onFirstTry();
  CHECK(takeAll(Budget, TimePoint{seconds(100)}) <= 103);
}
