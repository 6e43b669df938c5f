//===- CapacityTest.cpp - Tests of servers whose capacity changes ---------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

struct CapacityFixture : SchedulerFixture {
  void publish(const std::string &Id, int Cores) {
    ServerRegistration R = m_Core->servers().find(ServerId(Id))->m_Registration;
    R.m_Capacity.m_MilliCores = Cores * 1000;
    m_Core->onServer(R, m_Now);
  }
  std::size_t starts() const { return m_Orders.m_Starts.size(); }
};

} // namespace

TEST_GROUP(Capacity){};

// Starts brought a server over a capacity that had shrunk.
TEST(Capacity, NothingStartsBeyondACapacityThatHasShrunk) {
  CapacityFixture W;
  W.addServer("s1", 4);
  W.addJob("j", {W.step(2)});
  W.tick();
  CHECK_EQUAL(2u, W.starts());
  W.publish("s1", 1);
  W.addJob("k", {W.step(1)});
  W.tick();
  CHECK_EQUAL(2u, W.starts());
}

TEST(Capacity, AStartThatWaitsForItsRecordIsNotOrderedBeyondIt) {
  CapacityFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1", 4);
  W.addJob("j", {W.step(3)});
  W.tick();
  W.publish("s1", 2);
  W.record();
  W.tick();
  CHECK_EQUAL(2u, W.starts());
}

TEST(Capacity, AGangThatWaitsForItsRecordIsNotSplitByIt) {
  CapacityFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1", 4);
  StepSpec Gang = W.step(3);
  Gang.m_Gang = true;
  W.addJob("j", {Gang});
  W.tick();
  W.publish("s1", 2);
  W.record();
  W.tick();
  CHECK_EQUAL(0u, W.starts());
}

// A run that is being stopped still occupies the server.
TEST(Capacity, AStoppingRunStillCounts) {
  CapacityFixture W;
  W.addServer("s1", 2);
  W.addJob("j", {W.step(2)});
  W.tick();
  W.m_Core->onJobEnded(JobId("j"));
  W.publish("s1", 1);
  W.addJob("k", {W.step(1)});
  W.tick();
  CHECK_EQUAL(2u, W.starts());
}

// A capacity that shrank and grew in turns was used at once each time.
TEST(Capacity, ALargerCapacityIsUsedOnceItHasLasted) {
  CapacityFixture W;
  W.addServer("s1", 4);
  W.publish("s1", 1);
  W.publish("s1", 4);
  W.addJob("j", {W.step(3)});
  W.tick();
  CHECK_EQUAL(1u, W.starts());
  W.advance(2s);
  W.publish("s1", 1);
  W.advance(1s);
  W.publish("s1", 4);
  W.advance(3s);
  W.tick();
  CHECK_EQUAL(1u, W.starts());
  W.advance(2s);
  W.tick();
  CHECK_EQUAL(3u, W.starts());
}
