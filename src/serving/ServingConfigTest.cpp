//===- ServingConfigTest.cpp - Tests of queue and pool configuration ------===//

#include "serving/ServingConfig.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

QueuePolicy queue(const std::string &Name, const std::string &Host,
                  const std::string &Prefix) {
  QueuePolicy Q;
  Q.m_Name = QueueName(Name);
  Q.m_Host = Host;
  Q.m_PathPrefix = Prefix;
  return Q;
}

std::string routedQueue(const ServingConfig &Config, const char *Host,
                        const char *Path) {
  const QueuePolicy *Q = Config.route(Host, Path);
  return Q ? Q->m_Name.m_Text : "none";
}

} // namespace

TEST_GROUP(ServingConfig){};

TEST(ServingConfig, RoutesToTheLongestMatchingPrefix) {
  auto Config = ServingConfig::create(3,
                                      {queue("short", "a.example", "/x/"),
                                       queue("long", "a.example", "/x/y/"),
                                       queue("other", "b.example", "/x/")},
                                      {});
  STRCMP_EQUAL("short", routedQueue(*Config, "a.example", "/x/1").c_str());
  STRCMP_EQUAL("long", routedQueue(*Config, "a.example:80", "/x/y/1").c_str());
  STRCMP_EQUAL("other", routedQueue(*Config, "b.example", "/x/y/1").c_str());
  STRCMP_EQUAL("none", routedQueue(*Config, "c.example", "/x/1").c_str());
  STRCMP_EQUAL("none", routedQueue(*Config, "a.example", "/x").c_str());
}

TEST(ServingConfig, FindsQueuesByName) {
  auto Config = ServingConfig::create(1, {queue("q", "h", "/")}, {});
  CHECK(Config->queue(QueueName("q")) != nullptr);
  CHECK(Config->queue(QueueName("p")) == nullptr);
}
