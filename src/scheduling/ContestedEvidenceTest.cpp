//===- ContestedEvidenceTest.cpp - Tests of evidence a later leader has ---===//
//
// What a leader takes for over by evidence or by the time that has passed, a
// later leader may have seen to end. It must not start such a task once that
// leader may exist.
//
//===----------------------------------------------------------------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A leader in its second term. A task of the earlier leader may run on "s2",
/// which has not answered yet; "s1" has, and could take the task.
struct NewLeader : SchedulerFixture {
  /// When the term was last confirmed.
  TimePoint m_ConfirmedAt;

  explicit NewLeader() : SchedulerFixture(2) {
    addServer("s1");
    registerServer("s2");
    m_Core->onInstances({listing(InstanceCondition::Up)}, m_Now, m_Now);
    addJob("j", {step(1)});
    confirm();
  }

  static InstanceListing listing(InstanceCondition Condition,
                                 const std::string &Server = "s2") {
    InstanceListing L;
    L.m_Id = InstanceId("on-s2");
    L.m_Pool = PoolName("desk");
    L.m_Condition = Condition;
    L.m_Server = ServerId(Server);
    return L;
  }
  /// The platform lists the instance of "s2" like this.
  void list(const InstanceListing &L) {
    advance(10ms);
    m_Core->onInstances({L}, m_Now, m_Now);
  }
  void confirm() {
    tick();
    m_ConfirmedAt = m_Now;
  }
  void tickUnconfirmed() {
    Authority Granted;
    Granted.m_IsTermConfirmed = false;
    Granted.m_UncontestedAt = m_ConfirmedAt;
    m_Core->tick(m_Now, wall(), Granted);
  }
  std::size_t starts() const { return m_Orders.m_Starts.size(); }
};

} // namespace

TEST_GROUP(ContestedEvidence){};

// A lease expired while the term was confirmed, and the task waited for a free
// server. The next leader reaches the server and records the end that is listed
// there, so the former one must not start the task after that.
TEST(ContestedEvidence, ATaskWhoseLeaseHasExpiredStartsInAConfirmedTermOnly) {
  SchedulerFixture W;
  W.addJob("j", {W.step(1)});
  W.addServer("s1", 1);
  W.tick();
  W.answerStart(0);
  W.tick();
  W.failPoll("s1");
  W.advance(7s);
  W.tick();
  CHECK_EQUAL(1u, W.m_Core->counters().m_LeasesExpired);
  W.addServer("s2");
  Authority Granted;
  Granted.m_IsTermConfirmed = false;
  Granted.m_UncontestedAt = W.m_Now;
  W.advance(2s);
  W.m_Core->tick(W.m_Now, W.wall(), Granted);
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
}

// A leader that had never reached a server was cut off. The next one saw the
// runs there end, recorded that and moved the server, as the list shows.
TEST(ContestedEvidence, AnUnansweredServerIsNotRuledOutByALaterList) {
  NewLeader W;
  CHECK_EQUAL(0u, W.starts());
  W.advance(2s);
  W.list(NewLeader::listing(InstanceCondition::Moving));
  W.tickUnconfirmed();
  CHECK_EQUAL(0u, W.starts());
  W.tick();
  CHECK_EQUAL(1u, W.starts());
}

// The same if the server has restarted since and answers the former leader.
TEST(ContestedEvidence, AnUnansweredServerIsNotRuledOutByItsNextIncarnation) {
  NewLeader W;
  W.advance(300ms);
  W.tickUnconfirmed();
  ++W.m_StartTimeMs;
  W.answerPoll("s2");
  W.tickUnconfirmed();
  CHECK_EQUAL(0u, W.starts());
  W.tick();
  CHECK_EQUAL(1u, W.starts());
}

// Guards against a leader without the store that starts nothing after a
// takeover, although all servers have answered.
TEST(ContestedEvidence, AnAnswerOfTheKnownIncarnationRulesEarlierRunsOut) {
  NewLeader W;
  W.advance(300ms);
  W.tickUnconfirmed();
  W.answerPoll("s2");
  W.tickUnconfirmed();
  CHECK_EQUAL(1u, W.starts());
}

// The wait for a server that does not answer ended while the leader was cut
// off. The end that the server lists may be recorded by the next leader.
TEST(ContestedEvidence, TheWaitForEarlierRunsEndsInAConfirmedTermOnly) {
  NewLeader W;
  W.failPoll("s2");
  W.advance(11s);
  W.confirm();
  W.advance(3s);
  W.tickUnconfirmed();
  CHECK_EQUAL(0u, W.starts());
  W.tick();
  CHECK_EQUAL(1u, W.starts());
}
