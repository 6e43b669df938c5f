//===- IncompleteListTest.cpp - Tests of lists that leave ends out --------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

EndReport done(std::uint64_t Number, const RunId &Run) {
  return {Number, Run, EndKind::Done, ""};
}

/// A server of which an earlier leader started \p Tasks tasks of the job "j"
/// as run 1, all of which have ended by now.
class EndedRuns {
public:
  explicit EndedRuns(std::uint32_t Tasks) : m_World(2), m_Tasks(Tasks) {
    m_World.m_Core->setStartsRecordedSince(0);
    m_World.m_Core->onInstances({}, m_World.m_Now, m_World.m_Now);
    m_World.registerServer("s1", 1000);
    JobProgress Recorded;
    Recorded.m_State = JobState::Running;
    Recorded.m_StartedSteps = {{0, 0}};
    m_World.addJob("j", {m_World.step(Tasks)}, Recorded);
  }

  /// Answers the latest poll with at most \p Limit ends that are not
  /// acknowledged by it.
  void answerPoll(std::uint64_t Limit) {
    std::vector<EndReport> Ends;
    const std::uint64_t From =
        m_World.m_Orders.m_Polls.back().m_AcknowledgedEndNumber;
    for (std::uint64_t N = From; N < m_Tasks && Ends.size() < Limit; ++N)
      Ends.push_back(
          done(N + 1, m_World.run("j", 0, static_cast<std::uint32_t>(N), 1)));
    const bool HasMore = Ends.size() == Limit;
    m_World.answerPoll("s1", {}, std::move(Ends), HasMore);
  }

  SchedulerFixture m_World;

private:
  std::uint32_t m_Tasks;
};

} // namespace

TEST_GROUP(IncompleteList){};

// A new leader took the runs that a full list of ends left out for lost, and
// started hundreds of tasks again whose ends it was shown next.
TEST(IncompleteList, ANewLeaderStartsNoTaskWhoseEndMayBeHeldBack) {
  EndedRuns Old(3);
  SchedulerFixture &W = Old.m_World;
  W.tick();
  for (int List = 0; List < 2; ++List) {
    Old.answerPoll(2);
    W.tick();
    CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
    W.record();
    W.tick();
  }
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  CHECK(!W.m_Core->jobs().find(JobId("j")));
}

// Ends could not be recorded for long after a change of the leader. Guards
// against taking the time after which the leases of earlier leaders have
// expired for the time after which their runs have no ends.
TEST(IncompleteList, EndsThatAreHeldBackForLongAreStillWaitedFor) {
  EndedRuns Old(3);
  SchedulerFixture &W = Old.m_World;
  for (int Step = 0; Step < 40; ++Step) {
    W.tick();
    Old.answerPoll(2);
    W.advance(500ms);
  }
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  // Once the server's lease has expired, its ends do not count any more.
  W.tick();
  W.failPoll("s1");
  W.registerServer("s2");
  W.tick();
  W.answerPoll("s2");
  W.advance(12s);
  W.tick();
  W.answerPoll("s2");
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// The same with one leader throughout, when many tasks end at once.
TEST(IncompleteList, ARunWhoseEndMayBeHeldBackIsNotLost) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(3)});
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
  std::vector<RunId> Runs;
  for (std::size_t N = 0; N < 3; ++N) {
    W.answerStart(N);
    Runs.push_back(W.m_Orders.m_Starts[N].m_Run);
  }
  W.advance(1s);
  W.tick();
  W.answerPoll("s1", {}, {done(1, Runs[0]), done(2, Runs[1])}, true);
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, W.m_Core->servers().find(ServerId("s1"))->m_Runs.size());
  // A complete list without the run shows that it is lost.
  W.record();
  W.tick();
  W.answerPoll("s1");
  W.tick();
  CHECK_EQUAL(4u, W.m_Orders.m_Starts.size());
}

// A stop that is answered for a run whose end is held back: the task started
// again although the run had ended as done.
TEST(IncompleteList, AStoppedRunWhoseEndMayBeHeldBackIsNotOver) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  const RunId Run = W.m_Orders.m_Starts[0].m_Run;
  W.m_Core->relocate(ServerId("s1"), Run);
  W.m_Core->onStopResult(W.m_Orders.m_Stops[0], OrderResult::Done, W.m_Now);
  W.advance(1s);
  W.tick();
  W.answerPoll("s1", {}, {done(1, W.run("other", 0, 0, 1))}, true);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  W.advance(1s);
  W.tick();
  W.answerPoll("s1", {}, {done(2, Run)});
  W.record();
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
}

// A restarted server may already have ended a start that it carried out late.
// Guards against counting that as a crash, and against losing the reason for
// which the runs of its previous life are over.
TEST(IncompleteList, ARunThatMayHaveBegunAfterARestartIsNoCrash) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("old", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.advance(10ms);
  W.addJob("late", {W.step(1)});
  W.tick();
  W.answerStart(1, OrderResult::Unknown);
  W.m_StartTimeMs = 2;
  W.advance(1s);
  W.tick();
  W.answerPoll("s1", {}, {done(1, W.run("other", 0, 0, 1))}, true);
  CHECK(W.job("old").task({JobId("old"), 0, 0, 0})->m_Crashes != nullptr);
  CHECK(W.job("late").task({JobId("late"), 0, 0, 0})->m_Crashes == nullptr);
  CHECK_EQUAL(2u, W.m_Core->servers().find(ServerId("s1"))->m_Runs.size());
  W.advance(1s);
  W.tick();
  W.answerPoll("s1", {}, {done(2, W.m_Orders.m_Starts[1].m_Run)});
  W.record();
  CHECK(!W.m_Core->jobs().find(JobId("late")));
  const TaskState *Old = W.job("old").task({JobId("old"), 0, 0, 0});
  CHECK(Old->m_Runs.empty());
  CHECK(Old->m_LostAt != TimePoint());
}

// A run whose end is held back shows no progress. Guards against taking its
// server for one whose tasks stand still.
TEST(IncompleteList, ARunWhoseEndMayBeHeldBackDoesNotStandStill) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addServer("s2");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  const StartOrder Start = W.m_Orders.m_Starts[0];
  const std::string Server = Start.m_Server.m_Id.m_Text;
  W.tick();
  W.answerPoll(Server, {{Start.m_Run, "", 10, 0}});
  for (std::uint64_t N = 1; N < 20; ++N) {
    W.advance(500ms);
    W.tick();
    W.answerPoll(Server, {}, {done(N, W.run("other", 0, 0, 1))}, true);
  }
  CHECK(W.m_Orders.m_Stops.empty());
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK(!W.m_Core->servers().find(Start.m_Server.m_Id)->m_OnProbation);
}

// The ends of 5,000 runs were fetched 500 at a time, with a pause of half a
// second after each list. Tasks that are not known to have ended wait for all
// of them, and must not wait longer than the rules of the platform allow.
TEST(IncompleteList, ABacklogOfEndsIsFetchedWithoutPauses) {
  EndedRuns Old(5000);
  SchedulerFixture &W = Old.m_World;
  const TimePoint Began = W.m_Now;
  std::size_t Answered = 0;
  RowVersion Version = 1000;
  while (W.m_Core->jobs().find(JobId("j"))) {
    CHECK(W.m_Now - Began < 3s);
    W.tick();
    if (W.m_Orders.m_Polls.size() > Answered) {
      Answered = W.m_Orders.m_Polls.size();
      Old.answerPoll(500);
    }
    W.advance(10ms);
    if (auto Next = W.m_Writer->next(W.m_Now, W.wall())) {
      W.advance(10ms);
      CommitOutcome Outcome;
      Outcome.m_Committed = true;
      Outcome.m_Version = ++Version;
      W.m_Writer->onResult(Next->m_Number, Outcome, W.m_Now);
    }
  }
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
}

// Guards against ends that are never acknowledged because their job has gone
// and nothing else is recorded: with a full list of them the server reported no
// end of other jobs any more, which stood still (SchedulerFuzz.seed22).
TEST(IncompleteList, EndsOfAJobThatHasGoneAreAcknowledgedWithoutARecord) {
  SchedulerFixture W;
  W.addServer("s1");
  W.addJob("gone", {W.step(2)});
  W.addJob("j", {W.step(1)});
  W.tick();
  for (std::size_t N = 0; N < 3; ++N)
    W.answerStart(N);
  W.tick();
  W.answerPoll("s1", {}, {done(1, W.m_Orders.m_Starts[0].m_Run)}, true);
  W.m_Core->onJobEnded(JobId("gone"));
  W.advance(100ms);
  W.tick();
  W.advance(100ms);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Polls.back().m_AcknowledgedEndNumber);
}
