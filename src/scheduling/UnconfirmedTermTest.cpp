//===- UnconfirmedTermTest.cpp - Tests of a leader without the store ------===//
//
// A leader that has lost the store goes on for a while. Meanwhile a later
// leader may see the runs on other servers end, record the ends and move or
// lose these servers.
//
//===----------------------------------------------------------------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A leader whose one task runs on "s1", which it cannot reach any more. "s2"
/// could take the task. The leader lost the store just before.
struct CutOffLeader : SchedulerFixture {
  /// When the term was last confirmed.
  TimePoint m_ConfirmedAt;

  explicit CutOffLeader(StepSpec Step = step(1)) {
    addServer("s1");
    addJob("j", {std::move(Step)});
    tick();
    answerStart(0);
    addServer("s2");
    tick();
    m_ConfirmedAt = m_Now;
    advance(2s);
    tickUnconfirmed();
    failPoll("s1");
  }

  void tickUnconfirmed() {
    Authority Granted;
    Granted.m_IsTermConfirmed = false;
    Granted.m_UncontestedAt = m_ConfirmedAt;
    m_Core->tick(m_Now, wall(), Granted);
  }
  /// The platform lists the instance of "s1" in \p Condition and \p Pool.
  void list(InstanceCondition Condition, const std::string &Pool = "desk") {
    InstanceListing L;
    L.m_Id = InstanceId("on-s1");
    L.m_Pool = PoolName(Pool);
    L.m_Condition = Condition;
    advance(10ms);
    m_Core->onInstances({L}, m_Now, m_Now);
    tickUnconfirmed();
  }
  /// "s1" has registered as draining.
  void drain() {
    ServerRegistration R =
        m_Core->servers().find(ServerId("s1"))->m_Registration;
    R.m_Draining = true;
    m_Core->onServer(R, m_Now);
  }
  std::size_t starts() const { return m_Orders.m_Starts.size(); }
  /// The store answers again, and no later term has begun. What starts have to
  /// wait for is recorded.
  void confirmAgain() {
    advance(10ms);
    tick();
    record();
    tick();
  }
};

} // namespace

TEST_GROUP(UnconfirmedTerm){};

// A leader that was cut off with its data centre saw that the next one had
// moved an idle server, and started again all tasks that it last knew there,
// whose ends were recorded.
TEST(UnconfirmedTerm, AMovedServerDoesNotShowThatItsTasksMayStartAgain) {
  CutOffLeader W;
  W.list(InstanceCondition::Moving, "other");
  CHECK_EQUAL(1u, W.starts());
  W.confirmAgain();
  CHECK_EQUAL(2u, W.starts());
}

// The same for a server that drained and has ended, as its own list shows after
// a restart.
TEST(UnconfirmedTerm, ADrainedServerDoesNotShowThatItsTasksMayStartAgain) {
  CutOffLeader W;
  W.drain();
  W.advance(300ms);
  W.tickUnconfirmed();
  ++W.m_StartTimeMs;
  W.answerPoll("s1");
  W.tickUnconfirmed();
  CHECK_EQUAL(1u, W.starts());
}

// The same if another server answers at its address.
TEST(UnconfirmedTerm, AReusedAddressDoesNotShowThatItsTasksMayStartAgain) {
  CutOffLeader W;
  W.drain();
  W.advance(300ms);
  W.tickUnconfirmed();
  W.failPoll("s1", OrderResult::OtherIncarnation);
  W.tickUnconfirmed();
  CHECK_EQUAL(1u, W.starts());
}

// A crash also has to be counted in the store before the task starts again.
TEST(UnconfirmedTerm, ACrashedServerDoesNotShowThatItsTasksMayStartAgain) {
  CutOffLeader W;
  W.list(InstanceCondition::Down);
  CHECK_EQUAL(1u, W.starts());
  W.confirmAgain();
  CHECK_EQUAL(2u, W.starts());
}

// A paused process handles the list before it notices that its term is out of
// date, so the last known authority must not decide.
TEST(UnconfirmedTerm, EvidenceIsHeldBackByTheAuthorityAtTheStart) {
  CutOffLeader W;
  W.tick();
  W.list(InstanceCondition::Maintenance);
  CHECK_EQUAL(1u, W.starts());
}

// Guards against a gang that starts while the end of its last run may be
// recorded.
TEST(UnconfirmedTerm, AGangWithALostMemberIsHeldBackAsAWhole) {
  StepSpec Gang = SchedulerFixture::step(1);
  Gang.m_Gang = true;
  CutOffLeader W(Gang);
  W.list(InstanceCondition::Maintenance);
  CHECK_EQUAL(1u, W.starts());
  W.confirmAgain();
  CHECK_EQUAL(2u, W.starts());
}

// What the server itself lists in the known incarnation is no such evidence:
// no later leader has reached it.
TEST(UnconfirmedTerm, AFailedRunThatItsServerListsStartsAgain) {
  CutOffLeader W;
  W.advance(300ms);
  W.tickUnconfirmed();
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Failed, ""}});
  W.tickUnconfirmed();
  CHECK_EQUAL(2u, W.starts());
}

// A server that is down when the next leader lists the instances is not waited
// for. If it then restarts on the other side of a partition, the former leader
// must not start tasks there that the next one starts as well.
TEST(UnconfirmedTerm,
     AnIncarnationThatFirstAnswersInAnUnconfirmedTermIsNotUsed) {
  CutOffLeader W;
  W.m_Core->onServerUnregistered(ServerId("s2"), W.m_Now - 10s);
  W.addJob("k", {SchedulerFixture::step(1)});
  W.advance(300ms);
  W.tickUnconfirmed();
  ++W.m_StartTimeMs;
  W.answerPoll("s1");
  W.tickUnconfirmed();
  CHECK_EQUAL(1u, W.starts());
  W.confirmAgain();
  CHECK(W.starts() > 1);
}
