//===- CapCheckTest.cpp - Tests of jobs that exceed a cap -----------------===//

#include "organisations/CapCheck.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(CapCheck){};

// A job that could never start waited until its caller gave up.
TEST(CapCheck, OneTaskOrAWholeGangMustFit) {
  JobSpec Job;
  StepSpec Step;
  Step.m_Count = 4;
  Step.m_RequiredResources = {2000, 100, 0};
  Job.m_Steps.push_back(Step);
  CHECK(canRunUnderCap(Job, {2000, 0, 0}));
  CHECK_FALSE(canRunUnderCap(Job, {1999, 0, 0}));
  CHECK_FALSE(canRunUnderCap(Job, {0, 99, 0}));
  CHECK(canRunUnderCap(Job, {0, 0, 0}));
  Job.m_Steps.front().m_Gang = true;
  CHECK(canRunUnderCap(Job, {8000, 400, 0}));
  CHECK_FALSE(canRunUnderCap(Job, {7999, 400, 0}));
}
