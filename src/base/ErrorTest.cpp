//===- ErrorTest.cpp - Tests of errors and of the log event catalogue -----===//

#include "base/Error.h"
#include "base/Log.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(Error){};

TEST(Error, DescriptionContainsStepAndPeer) {
  Error E = makeError(ErrorCode::Timeout, "read row", "10.0.0.1:80", "2 s");
  STRCMP_EQUAL("read row (10.0.0.1:80): timed out: 2 s", E.describe().c_str());
}

TEST(Error, DescriptionOmitsEmptyParts) {
  Error E = makeError(ErrorCode::Conflict, "commit");
  STRCMP_EQUAL("commit: conflicting change", E.describe().c_str());
}

TEST_GROUP(Events){};

TEST(Events, NumbersAreAscending) {
  int Last = 0;
  for (const EventInfo &Info : eventCatalogue()) {
    CHECK(static_cast<int>(Info.m_Id) > Last);
    Last = static_cast<int>(Info.m_Id);
  }
}
