//===- OwnershipTest.cpp - Tests of the ownership of keys -----------------===//

#include "claims/Ownership.h"
#include "claims/testing/TestEntries.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace pollenspool::claims;

TEST_GROUP(Ownership){};

TEST(Ownership, ScopedKeysAreOwnedInTheirDataCentre) {
  Ownership Owners(threeEntries());
  for (int I = 0; I < 50; ++I) {
    std::string Text = std::to_string(I);
    STRCMP_EQUAL("10.0.0.2",
                 Owners.ownerOf(RequestId("tema:" + Text)).m_Text.c_str());
    CHECK(Owners.ownerOf(RequestId("accra:" + Text)).m_Text != "10.0.0.2");
  }
}

TEST(Ownership, OrderOfTheListDoesNotMatter) {
  std::vector<EntryInstance> Lines = threeEntries();
  Ownership Forward(Lines);
  Ownership Backward({Lines[2], Lines[1], Lines[0]});
  CHECK(Forward.listHash() == Backward.listHash());
  for (int I = 0; I < 50; ++I) {
    RequestId Key(std::to_string(I));
    CHECK(Forward.ownerOf(Key) == Backward.ownerOf(Key));
  }
  CHECK(Forward.listHash() != Ownership({Lines[0], Lines[1]}).listHash());
}

TEST(Ownership, OnlyEntryOfADataCentreIsWitnessedInOthers) {
  Ownership Owners(threeEntries());
  LONGS_EQUAL(1, Owners.witnessesOf(EntryId("10.0.0.0")).size());
  LONGS_EQUAL(2, Owners.witnessesOf(EntryId("10.0.0.2")).size());
}
