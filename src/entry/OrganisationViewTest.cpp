//===- OrganisationViewTest.cpp - Tests of the view of organisations ------===//

#include "entry/OrganisationView.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

TEST_GROUP(OrganisationView){};

// A configuration with hundreds of organisations must not create as many time
// series.
TEST(OrganisationView, FurtherOrganisationsShareATimeSeries) {
  std::vector<OrganisationStatus> All(200);
  for (std::size_t N = 0; N < All.size(); ++N) {
    All[N].m_Name = OrganisationName("org-" + std::to_string(N));
    All[N].m_WaitingJobs = 1;
  }
  for (const auto &Family : organisationFamilies(All)) {
    CHECK_EQUAL(33u, Family.metric.size());
    if (Family.name == "pollenspool_organisation_waiting_jobs")
      DOUBLES_EQUAL(168, Family.metric.back().gauge.value, 0);
  }
  CHECK(organisationFamilies({}).empty());
}
