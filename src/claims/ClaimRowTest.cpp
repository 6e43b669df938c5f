//===- ClaimRowTest.cpp - Tests of the rows of claims ---------------------===//

#include "claims/ClaimRow.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(ClaimRow){};

TEST(ClaimRow, RoundTripKeepsAnyBytesOfAnswers) {
  ClaimRow Row;
  Row.m_Token = ClaimToken("t");
  Row.m_Completed = true;
  Row.m_Answer = Answer{201, {{"A", "\xff"}}, std::string("\0\x80x", 3)};
  ClaimRow Read = decodeClaimRow(encodeClaimRow(Row)).value();
  CHECK(Read.m_Token == Row.m_Token);
  CHECK(Read.m_Completed);
  LONGS_EQUAL(201, Read.m_Answer->m_Status);
  CHECK(Read.m_Answer->m_Body == Row.m_Answer->m_Body);
  CHECK(Read.m_Answer->m_Headers[0].m_Value == "\xff");
}

TEST(ClaimRow, KeysOfAnyBytesStayDistinct) {
  STRCMP_EQUAL("claim/a%2520", claimRowKey(RequestId("a%20")).c_str());
  STRCMP_EQUAL("claim/a%20", claimRowKey(RequestId("a ")).c_str());
  STRCMP_EQUAL("claim/%ff", claimRowKey(RequestId("\xff")).c_str());
}

TEST(ClaimRow, OwnerRowRoundTrip) {
  OwnerRow Row{7, 99, OwnerMode::MemoryAllowed, 12};
  OwnerRow Read = decodeOwnerRow(encodeOwnerRow(Row)).value();
  LONGS_EQUAL(7, Read.m_Incarnation);
  LONGS_EQUAL(99, Read.m_Nonce);
  CHECK(Read.m_Mode == OwnerMode::MemoryAllowed);
  LONGS_EQUAL(12, Read.m_SyncedUpTo);
}

TEST(ClaimRow, InvalidValuesAreErrors) {
  for (const char *Invalid :
       {"", "{}", "[1]", R"({"token":1,"completed":true})"}) {
    CHECK(decodeClaimRow(Invalid).has_error());
    CHECK(decodeOwnerRow(Invalid).has_error());
  }
}

TEST(ClaimRow, LargeAnswersAreNotRecorded) {
  Answer A;
  A.m_Body.assign(MaxRecordedBytes, 'x');
  CHECK(isRecordable(A));
  A.m_Headers.push_back({"a", ""});
  CHECK_FALSE(isRecordable(A));
}
