//===- OutOfReachTest.cpp - Tests of servers that cannot be called --------===//

#include "instances/testing/PlannerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A pool of four servers with a long-running task on each of three, and spare
/// instances.
struct OutOfReachFixture : PlannerFixture {
  OutOfReachFixture() {
    for (const char *Id : {"s1", "s2", "s3", "s4"}) {
      m_World.addServer(Id, 4);
      list(Id, "desk");
    }
    for (const char *Id : {"r1", "r2", "r3"})
      list(Id, "reserve");
    StepSpec Step = SchedulerFixture::step(3);
    Step.m_IsLongRunning = true;
    Step.m_MaxPerServer = 1;
    m_World.addJob("l", {Step});
    m_World.tick();
    for (std::size_t N = 0; N < m_World.m_Orders.m_Starts.size(); ++N)
      m_World.answerStart(N);
    pollAll({});
  }

  /// The servers with runs, in the order of their starts.
  std::string busyServer(std::size_t N) {
    return m_World.m_Orders.m_Starts.at(N).m_Server.m_Id.m_Text;
  }

  /// Lets a poll of each server end: those in \p Failing get no answer.
  void pollAll(const std::set<std::string> &Failing) {
    m_World.advance(50ms);
    m_World.tick();
    for (auto &[Id, S] : m_World.m_Core->servers().all()) {
      if (!S.m_PollPending)
        continue;
      if (Failing.count(Id.m_Text)) {
        m_World.failPoll(Id.m_Text);
        continue;
      }
      std::vector<RunReport> Running;
      for (const auto &[Run, State] : S.m_Runs)
        Running.push_back({Run, "", 100, 0});
      m_World.answerPoll(Id.m_Text, Running);
    }
  }

  /// The servers in \p Failing get out of reach, until their leases are over.
  void lose(const std::set<std::string> &Failing) {
    for (int N = 0; N < 16; ++N) {
      pollAll(Failing);
      m_World.advance(500ms);
    }
    applyList();
  }
};

} // namespace

TEST_GROUP(OutOfReach){};

// Guards against tasks that stay away although spare instances are free (LOST):
// servers that no leader can call any more, since lost leaders have used up
// their connections, or that are cut off, counted as capacity of their pool.
TEST(OutOfReach, ServersThatCannotBeCalledAreReplaced) {
  OutOfReachFixture W;
  CHECK(W.plan().empty());
  W.lose({W.busyServer(0), W.busyServer(1)});
  auto Orders = W.plan();
  CHECK_EQUAL(2U, Orders.size());
  for (const InstanceOrder &Order : Orders)
    STRCMP_EQUAL("desk", Order.m_To.m_Text.c_str());
}

// Guards against a pool that is enlarged for an answer that was only late.
TEST(OutOfReach, AServerWithRunsUnderALeaseIsNotReplaced) {
  OutOfReachFixture W;
  W.pollAll({W.busyServer(0)});
  W.applyList();
  CHECK(W.plan().empty());
}

// Guards against a pool that asks for as many instances as it has thousandths
// of a core to run, since the capacity of none of its servers is known.
TEST(OutOfReach, APoolWithoutAServerInReachKnowsTheSizeOfItsServers) {
  OutOfReachFixture W;
  for (int N = 4; N < 20; ++N)
    W.list("r" + std::to_string(N), "reserve");
  W.lose({"s1", "s2", "s3", "s4"});
  // The server that was idle has got a run, which may still be at work.
  CHECK_EQUAL(4U, W.m_World.m_Orders.m_Starts.size());
  W.m_World.answerStart(3, OrderResult::Unknown);
  W.lose({"s1", "s2", "s3", "s4"});
  // Three tasks on different servers, and one server more.
  auto Orders = W.plan();
  CHECK_EQUAL(4U, Orders.size());
}

// Guards against servers that are not used any more once they answer again.
TEST(OutOfReach, AServerThatAnswersAgainCounts) {
  OutOfReachFixture W;
  W.lose({W.busyServer(0), W.busyServer(1)});
  W.pollAll({});
  W.applyList();
  CHECK(W.plan().empty());
}
