//===- SettingsTest.cpp - Tests of settings validation --------------------===//

#include "settings/Settings.h"
#include "base/Address.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

const char *const ValidSettings =
    "name: e1\n"
    "data_centre: a\n"
    "listen: {callers: 127.0.0.1:1, peers: 127.0.0.1:2, admin: 127.0.0.1:3}\n"
    "platform: {address: 127.0.0.1:4}\n"
    "entries:\n"
    "  - {address: 127.0.0.1:2, data_centre: a}\n";

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, ReadsDefaults) {
  Checked<Settings> S = parseSettings("s.yaml", ValidSettings);
  STRCMP_EQUAL("", describeFaults(S.m_Faults).c_str());
  LONGS_EQUAL(1000, S.m_Value.m_Timings.m_Poll.count());
}

TEST(Settings, RejectsHostNamesUnknownKeysAndMissingOwnEntry) {
  Checked<Settings> S = parseSettings(
      "s.yaml", "name: e1\n"
                "data_centre: a\n"
                "listen: {callers: localhost:1, peers: 127.0.0.1:2, "
                "admin: 127.0.0.1:3}\n"
                "platform: {address: 127.0.0.1:4, speed: 3}\n"
                "entries:\n"
                "  - {address: 127.0.0.1:9, data_centre: a}\n");
  std::string Faults = describeFaults(S.m_Faults);
  STRCMP_CONTAINS("s.yaml:3: listen.callers: \"localhost:1\" is not an IP",
                  Faults.c_str());
  STRCMP_CONTAINS("s.yaml:4: platform.speed: unknown key", Faults.c_str());
  STRCMP_CONTAINS("entries: listen.peers is not among", Faults.c_str());
}

TEST(Settings, AcceptsOnlyIpAddressAndPort) {
  CHECK(parseAddress("10.1.2.3:65535").has_value());
  CHECK(!parseAddress("10.1.2.3:65536").has_value());
  CHECK(!parseAddress("10.1.2.3").has_value());
  CHECK(!parseAddress("host:1").has_value());
  CHECK(!parseAddress("10.1.2.3:1x").has_value());
}
