//===- AddressReuseTest.cpp - Tests of servers at a reused address --------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A fixture with idle servers whose addresses belong to other servers by now.
struct ReuseFixture : SchedulerFixture {
  explicit ReuseFixture(Term T = 1) : SchedulerFixture(T) {}

  void addServers(int Count, int Cores = 1) {
    for (int N = 1; N <= Count; ++N)
      addServer("s" + std::to_string(N), Cores);
  }
  std::size_t starts() const { return m_Orders.m_Starts.size(); }
  std::size_t crashesOf(const std::string &Job, std::uint32_t Index = 0) {
    const TaskState &T = *job(Job).task({JobId(Job), 0, 0, Index});
    return T.m_Crashes ? T.m_Crashes->m_Runs.size() : 0;
  }
  const ServerState *server(const std::string &Id) {
    return m_Core->servers().find(ServerId(Id));
  }
  /// Lists the instance of the server \p Id in \p Condition.
  void list(const std::string &Id, InstanceCondition Condition) {
    InstanceListing L;
    L.m_Id = InstanceId("on-" + Id);
    L.m_Pool = PoolName("desk");
    L.m_Condition = Condition;
    L.m_Server = ServerId(Id);
    advance(10ms);
    m_Core->onInstances({L}, m_Now, m_Now);
  }
};

} // namespace

TEST_GROUP(AddressReuse){};

// Guards against a job that is shown as failed without a run: four starts that
// other servers had refused were counted as crashes under its task.
TEST(AddressReuse, RefusalsByOtherServersAreNotCountedAsCrashes) {
  ReuseFixture W;
  W.addServers(6);
  W.addJob("j", {W.step(1)});
  for (std::size_t N = 0; N < 5; ++N) {
    W.tick();
    CHECK_EQUAL(N + 1, W.starts());
    W.answerStart(N, OrderResult::OtherIncarnation);
    CHECK_EQUAL(0u, W.crashesOf("j"));
  }
  // The task is no suspect, so its next start needs no record.
  W.tick();
  CHECK_EQUAL(6u, W.starts());
  W.answerStart(5);
  CHECK(W.job("j").m_State == JobState::Running);
}

// Guards against the same for the other starts that are on their way to the
// server when the first of them is refused.
TEST(AddressReuse, StartsWithoutAResultAwaitIt) {
  ReuseFixture W;
  W.addServer("s1", 3);
  W.addJob("j", {W.step(3)});
  W.tick();
  CHECK_EQUAL(3u, W.starts());
  W.answerStart(0, OrderResult::OtherIncarnation);
  W.tick();
  W.answerStart(1, OrderResult::OtherIncarnation);
  W.answerStart(2, OrderResult::Unknown);
  CHECK_EQUAL(0u, W.crashesOf("j", 0));
  CHECK_EQUAL(0u, W.crashesOf("j", 1));
  // The third may have begun before the server ended.
  CHECK_EQUAL(1u, W.crashesOf("j", 2));
  CHECK_EQUAL(3u, W.job("j").m_Ready.size());
}

// Guards against a start in flight that is counted when the platform lists the
// instance as down, and is refused later.
TEST(AddressReuse, AListDoesNotDecideAboutAStartWithoutAResult) {
  ReuseFixture W;
  W.addServer("s1", 2);
  W.addJob("begun", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.advance(50ms);
  W.tick();
  W.addJob("j", {W.step(1)});
  W.tick();
  CHECK_EQUAL(2u, W.starts());
  W.failPoll("s1");
  W.list("s1", InstanceCondition::Down);
  CHECK_EQUAL(1u, W.crashesOf("begun"));
  W.answerStart(1, OrderResult::OtherIncarnation);
  CHECK_EQUAL(0u, W.crashesOf("j"));
}

// Guards against a run that goes uncounted because its server was found to have
// crashed before the start had a result.
TEST(AddressReuse, AStartWhoseAnswerIsLostWithTheServerIsCounted) {
  ReuseFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerPoll("s1");
  W.advance(50ms);
  W.tick();
  W.failPoll("s1");
  W.list("s1", InstanceCondition::Down);
  CHECK_EQUAL(0u, W.crashesOf("j"));
  W.answerStart(0, OrderResult::Unknown);
  CHECK_EQUAL(1u, W.crashesOf("j"));
}

// Guards against a job that is given up since its task met servers whose hosts
// had failed before (SchedulerFuzz, reuse scenario, seed 38).
TEST(AddressReuse, AStartOnAHostThatIsSilentIsNotCounted) {
  ReuseFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.advance(500ms);
  W.answerStart(0, OrderResult::Unknown);
  W.list("s1", InstanceCondition::Down);
  CHECK_EQUAL(0u, W.crashesOf("j"));
}

// Guards against a start that this leader has not counted and the next one
// does, from its record.
TEST(AddressReuse, AStartThatIsNotCountedLeavesNoRecord) {
  ReuseFixture W;
  W.addServer("s1");
  JobProgress Earlier;
  Earlier.m_State = JobState::Running;
  Earlier.m_StartedSteps = {{0, 0}};
  Earlier.m_Crashes[{0, 0, 0}] = {{1, true, true, true}};
  W.addJob("j", {W.step(1)}, Earlier);
  W.tick();
  W.record();
  W.tick();
  CHECK_EQUAL(1u, W.starts());
  const CrashHistory &H = *W.job("j").task({JobId("j"), 0, 0, 0})->m_Crashes;
  CHECK(H.m_Start.has_value());
  W.advance(500ms);
  W.answerStart(0, OrderResult::Unknown);
  W.list("s1", InstanceCondition::Down);
  W.advance(6s);
  W.tick();
  CHECK_EQUAL(1u, H.m_Runs.size());
  CHECK_FALSE(H.m_Start.has_value());
}

// Guards against a sound server that counts as gone since an order to its
// former address was refused there.
TEST(AddressReuse, ARefusalAtAFormerAddressSaysNothingAboutTheServer) {
  ReuseFixture W;
  W.addServer("s1", 2);
  W.addJob("j", {W.step(1)});
  W.tick();
  ServerRegistration Moved = W.server("s1")->m_Registration;
  Moved.m_Address = "elsewhere";
  Moved.m_StartTimeMs = 2;
  W.m_Core->onServer(Moved, W.m_Now);
  W.answerStart(0, OrderResult::OtherIncarnation);
  CHECK(W.server("s1")->m_Registered);
  W.m_StartTimeMs = 2;
  W.tick();
  W.answerPoll("s1");
  W.tick();
  CHECK_EQUAL(2u, W.starts());
  STRCMP_EQUAL("elsewhere",
               W.m_Orders.m_Starts.back().m_Server.m_Address.c_str());
}

// Guards against a task that is given up after changes of the leader, of which
// each found a server down, or that of a recorded start to have left
// (review.leaders-and-crashes, SchedulerFuzz.seed30).
TEST(AddressReuse, ChangesOfTheLeaderGiveUpNoTaskWithoutAnOrderedRun) {
  JobProgress Recorded;
  Recorded.m_State = JobState::Running;
  Recorded.m_StartedSteps = {{0, 0}};
  for (Term T = 2; T <= 9; ++T) {
    ReuseFixture W(T);
    W.addServer("s1");
    if (!Recorded.m_Crashes.empty())
      Recorded.m_SuspectStarts[{0, 0, 0}] = {
          static_cast<std::uint32_t>((T - 2) * 1000 + 1), "left", 1};
    W.addJob("j", {W.step(1)}, Recorded);
    W.list("down", InstanceCondition::Down);
    W.tick();
    CHECK(W.crashesOf("j") >= T - 1);
    CHECK(!isFinal(W.job("j").m_State));
    Recorded =
        decodeProgress(
            encodeProgress(W.m_Core->jobs().progressOf(W.job("j"), W.wall())))
            .value();
  }
}
