//===- AuthorizationTest.cpp - Tests of the check of API keys -------------===//

#include "organisations/Authorization.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

std::shared_ptr<const ServingConfig>
configWith(std::vector<OrganisationPolicy> Organisations) {
  QueuePolicy Keyed, Open;
  Keyed.m_Name = QueueName("keyed");
  Open.m_Name = QueueName("open");
  Open.m_IsOpen = true;
  return ServingConfig::create(1, {Keyed, Open}, {}, std::move(Organisations));
}

OrganisationPolicy organisation(const char *Name,
                                std::vector<std::string> Keys) {
  OrganisationPolicy O;
  O.m_Name = OrganisationName(Name);
  O.m_ApiKeys = std::move(Keys);
  return O;
}

} // namespace

TEST_GROUP(Authorization) {
  AuthorizationPolicy m_Policy;

  Authorization check(const ServingConfig &Config, const char *Queue,
                      const char *Key, Duration Age = 0ms,
                      bool IsOutdated = false) const {
    return authorize(Config, *Config.queue(QueueName(Queue)), Key,
                     {Age, IsOutdated}, m_Policy)
        .m_Result;
  }
};

// Calls with a key that no version held were served.
TEST(Authorization, OnlyKeysInForceAreAccepted) {
  auto Config = configWith({organisation("school", {"k1", "k2"})});
  CHECK(check(*Config, "keyed", "k2") == Authorization::Granted);
  CHECK(check(*Config, "keyed", "k3") == Authorization::InvalidKey);
  CHECK(check(*Config, "keyed", "") == Authorization::MissingKey);
  CHECK(check(*Config, "open", "") == Authorization::Granted);
  STRCMP_EQUAL("school", authorize(*Config, *Config->queue(QueueName("keyed")),
                                   "k1", {}, m_Policy)
                             .m_Organisation.m_Text.c_str());
}

// Deployments without organisations must be served as before.
TEST(Authorization, NoKeyIsRequiredWithoutOrganisations) {
  auto Config = configWith({});
  CHECK(check(*Config, "keyed", "") == Authorization::Granted);
  // The last organisation was removed, so all of its keys are revoked.
  m_Policy.m_RequiresKeys = true;
  CHECK(check(*Config, "keyed", "k1") == Authorization::InvalidKey);
}

// An instance without new configurations accepted a revoked key for as long as
// it was cut off.
TEST(Authorization, StrictRevocationRefusesKeysOfAnOutdatedConfiguration) {
  auto Config = configWith({organisation("school", {"k1"})});
  CHECK(check(*Config, "keyed", "k1", 60s) == Authorization::Granted);
  m_Policy.m_IsRevocationStrict = true;
  CHECK(check(*Config, "keyed", "k1", 3s) == Authorization::Granted);
  CHECK(check(*Config, "keyed", "k1", 4s) == Authorization::OutdatedConfig);
  CHECK(check(*Config, "open", "", 60s) == Authorization::Granted);
}

// Callers with a key that had been added were refused for good by an instance
// that had not received the new version (CONFIG).
TEST(Authorization, AnOutdatedConfigurationRefusesNoCallForGood) {
  auto Config = configWith({organisation("school", {"k1"})});
  CHECK(check(*Config, "keyed", "k2", 2s, true) ==
        Authorization::OutdatedConfig);
  CHECK(check(*Config, "keyed", "k1", 2s, true) == Authorization::Granted);
  CHECK(check(*Config, "keyed", "", 2s, true) == Authorization::OutdatedConfig);
  CHECK(check(*Config, "open", "", 2s, true) == Authorization::Granted);
}

TEST(Authorization, JobsOfOtherOrganisationsAreNotAccessible) {
  OrganisationName A("a"), B("b"), None;
  CHECK(mayAccessJob(A, A));
  CHECK_FALSE(mayAccessJob(A, B));
  CHECK_FALSE(mayAccessJob(None, B));
  CHECK(mayAccessJob(A, None));
}
