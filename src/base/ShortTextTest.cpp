//===- ShortTextTest.cpp - Tests of texts that are stored inline ----------===//

#include "base/ShortText.h"
#include "jobs/JobSpec.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(ShortText){};

// Each copy of the ID of a task or run allocated memory for the job's ID.
TEST(ShortText, AJobIdOfUsualLengthIsStoredInline) {
  const JobId Original("job-000000000001");
  const JobId Copy = Original;
  const char *Begin = reinterpret_cast<const char *>(&Copy);
  CHECK(Copy.m_Text.data() >= Begin);
  CHECK(Copy.m_Text.data() < Begin + sizeof(Copy));
  STRCMP_EQUAL("job-000000000001", Copy.m_Text.c_str());
}

// Callers choose the IDs, so that one may be too long for the object.
TEST(ShortText, ALongerIdIsKeptWhole) {
  const std::string Long(200, 'x');
  const JobId Id(Long);
  CHECK(Id.m_Text == Long);
  CHECK_EQUAL(Long, std::string(Id.m_Text));
  CHECK_EQUAL(Long + ".1", Id.m_Text + ".1");
}

// Another order or hash code of IDs would change which of equal jobs is first.
TEST(ShortText, IdsAreOrderedAndHashedLikeStrings) {
  const std::vector<std::string> Texts = {"",   "a", "a\xff",
                                          "ab", "b", std::string(40, 'a')};
  for (const std::string &A : Texts) {
    CHECK_EQUAL(std::hash<std::string>()(A), std::hash<JobId>()(JobId(A)));
    for (const std::string &B : Texts) {
      CHECK_EQUAL(A < B, JobId(A) < JobId(B));
      CHECK_EQUAL(A == B, JobId(A) == JobId(B));
      CHECK_EQUAL(A < B, JobId(A).compare(JobId(B)) < 0);
    }
  }
}
