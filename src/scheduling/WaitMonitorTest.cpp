//===- WaitMonitorTest.cpp - Tests of the reports of waiting jobs ---------===//

#include "scheduling/WaitMonitor.h"
#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A fixture with a monitor of its jobs.
struct WaitFixture : SchedulerFixture {
  explicit WaitFixture(Term T = 1)
      : SchedulerFixture(T),
        m_Monitor(WaitMonitor::create(*m_Core, *m_Writer)) {}

  /// Searches \p After later, which must be a second or more.
  const WaitMonitor::Report &report(Duration After = 3s,
                                    const Authority &Granted = {}) {
    advance(After);
    m_Core->tick(m_Now, wall(), Granted);
    m_Monitor->update(m_Now);
    return m_Monitor->report();
  }
  /// The reason of the job that waits for longest.
  std::string reason(Duration After = 3s, const Authority &Granted = {}) {
    const WaitMonitor::Report &R = report(After, Granted);
    return R.m_Longest.empty()
               ? "no job waits"
               : std::string(waitReasonName(R.m_Longest.front().m_Reason));
  }
  const std::string &description() const {
    return m_Monitor->report().m_Longest.at(0).m_Description;
  }
  void addServerOf(const std::string &Id, Resources Capacity,
                   std::vector<std::string> Labels = {}) {
    ServerRegistration R;
    R.m_Id = ServerId(Id);
    R.m_Instance = InstanceId("on-" + Id);
    R.m_Pool = PoolName("desk");
    R.m_Address = Id;
    R.m_Capacity = Capacity;
    R.m_Labels = std::move(Labels);
    R.m_StartTimeMs = 1;
    m_Core->onServer(R, m_Now);
    tick();
    answerPoll(Id);
  }
  /// Adds a step of one task with these requirements as a job, and lets it
  /// start if it can.
  void addJobOf(const std::string &Id, Resources Need) {
    StepSpec Step = step(1);
    Step.m_RequiredResources = Need;
    addJob(Id, {Step});
    tick();
  }

  std::unique_ptr<WaitMonitor> m_Monitor;
};

} // namespace

TEST_GROUP(WaitMonitor){};

// Guards against reports of jobs that run, or that have waited for less than
// two seconds.
TEST(WaitMonitor, OnlyReportsJobsWithoutRunsForTwoSeconds) {
  WaitFixture W;
  W.addServer("s1", 1);
  W.addJob("runs", {W.step(2)});
  W.tick();
  W.addJob("waits", {W.step(1)});
  CHECK_EQUAL(0u, W.report(1900ms).m_Jobs);
  W.answerPoll("s1", {{W.run("runs", 0, 0, 1), "", 50, 0}});
  const WaitMonitor::Report &R = W.report(1s);
  CHECK_EQUAL(1u, R.m_Jobs);
  CHECK(R.m_Longest[0].m_Job == JobId("waits"));
  STRCMP_EQUAL("waits.0.0.0", R.m_Longest[0].m_Task.c_str());
  CHECK_EQUAL(1u, R.m_Longest[0].m_Tasks);
  CHECK(R.m_Longest[0].m_Waited >= 2900ms && R.m_Longest[0].m_Waited < 2950ms);
}

// The second step of a job could run for three seconds and did not. Guards
// against counting its wait from when the job was accepted.
TEST(WaitMonitor, AJobWaitsFromTheEndOfItsLatestRun) {
  WaitFixture W;
  W.addServer("s1", 1);
  W.addJob("j", {W.step(1), W.step(1, {0})});
  W.tick();
  W.answerStart(0);
  W.tick();
  W.advance(10s);
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.failPoll("s1");
  CHECK_EQUAL(0u, W.report(1s).m_Jobs);
  CHECK_EQUAL(1u, W.report(1500ms).m_Jobs);
  STRCMP_EQUAL("j.0.1.0", W.m_Monitor->report().m_Longest[0].m_Task.c_str());
}

// Guards against thousands of lines a second, and against leaving out the jobs
// that wait for longest.
TEST(WaitMonitor, ReportsTheLongestWaitsAndCountsTheOthers) {
  WaitFixture W;
  for (int N = 0; N < 50; ++N) {
    W.addJob("job" + std::to_string(N), {W.step(1)});
    W.advance(10ms);
  }
  const WaitMonitor::Report &R = W.report();
  CHECK_EQUAL(50u, R.m_Jobs);
  CHECK_EQUAL(20u, R.m_Longest.size());
  CHECK(R.m_Longest[0].m_Job == JobId("job0"));
  CHECK(R.m_Longest[19].m_Job == JobId("job19"));
  CHECK_EQUAL(
      50u, R.m_Counts[static_cast<std::size_t>(WaitReason::NoSuitableServer)]);
}

// Guards against more than one search a second.
TEST(WaitMonitor, SearchesOnceASecond) {
  WaitFixture W;
  W.addJob("j", {W.step(1)});
  CHECK_EQUAL(1u, W.report().m_Jobs);
  W.addJob("k", {W.step(1)});
  W.advance(2500ms);
  W.m_Monitor->update(W.m_Now);
  CHECK_EQUAL(2u, W.m_Monitor->report().m_Jobs);
  W.m_Core->onJobEnded(JobId("j"));
  W.advance(900ms);
  W.m_Monitor->update(W.m_Now);
  CHECK_EQUAL(2u, W.m_Monitor->report().m_Jobs);
}

// Guards against a search of all servers for each of thousands of jobs.
TEST(WaitMonitor, ComparesABoundedNumberOfServers) {
  WaitFixture W;
  for (int N = 0; N < 100; ++N)
    W.addServerOf("s" + std::to_string(N), {32000, 1000, 0});
  W.addServerOf("large", {500, 4000, 0});
  W.addServerOf("both", {4000, 4000, 0});
  W.addJobOf("filler", {4000, 4000, 0});
  W.answerStart(0);
  for (int N = 0; N < 3000; ++N)
    W.addJob("job" + std::to_string(N), {[] {
               StepSpec Step = WaitFixture::step(1);
               Step.m_RequiredResources = {1000, 3000, 0};
               return Step;
             }()});
  std::uint64_t Before = W.m_Core->counters().m_ServersSearched;
  const WaitMonitor::Report &R = W.report();
  CHECK(W.m_Core->counters().m_ServersSearched - Before < 21000);
  CHECK_EQUAL(3000u, R.m_Jobs);
  CHECK(R.m_Counts[static_cast<std::size_t>(WaitReason::NoMemory)] > 50);
  CHECK(R.m_Counts[static_cast<std::size_t>(WaitReason::NotExamined)] > 2000);
}

// Guards against a start whose record is not written without a line that says
// so, and what the writer does about it.
TEST(WaitMonitor, TellsThatAStartIsBeingRecorded) {
  WaitFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  W.advance(2s);
  W.m_Monitor->update(W.m_Now);
  STRCMP_EQUAL(
      "start_being_recorded",
      waitReasonName(W.m_Monitor->report().m_Longest.at(0).m_Reason).data());
  STRCMP_CONTAINS("since 2000 ms", W.description().c_str());
  STRCMP_CONTAINS("has a pending write; the store is slow",
                  W.description().c_str());
}

// A planned start is given up after 300 ms. Guards against a job that waits for
// ever in such turns and looks as if it were about to start.
TEST(WaitMonitor, TellsThatAStartIsPlannedAgainAndAgain) {
  WaitFixture W;
  W.m_Core->setRecordsStarts(true);
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  auto Next = W.m_Writer->next(W.m_Now, W.wall());
  W.m_Writer->onResult(Next->m_Number, makeError(ErrorCode::Timeout, "commit"),
                       W.m_Now);
  for (int N = 0; N < 10; ++N) {
    W.advance(310ms);
    W.tick();
    W.answerPoll("s1");
    W.tick();
  }
  STRCMP_EQUAL("start_planned_again", W.reason(1s).c_str());
  STRCMP_CONTAINS("plans dropped: 1", W.description().c_str());
  STRCMP_CONTAINS("has failed 1 writes in a row", W.description().c_str());
}

// After a change of leader one unreachable server held up a pool. Guards
// against a line that does not tell which one, and for how long.
TEST(WaitMonitor, NamesTheServersThatAnEarlierLeaderMayHaveUsed) {
  WaitFixture W(2);
  W.m_Core->setStartsRecordedSince(0);
  W.addServer("s1");
  ServerRegistration Dark;
  Dark.m_Id = ServerId("dark");
  Dark.m_Pool = PoolName("desk");
  Dark.m_StartTimeMs = 1;
  W.m_Core->onServer(Dark, W.m_Now);
  W.m_Core->onInstances({}, W.m_Now, W.m_Now);
  JobProgress Recorded;
  Recorded.m_State = JobState::Running;
  Recorded.m_StartedSteps = {{0, 0}};
  W.addJob("j", {W.step(1)}, Recorded);
  STRCMP_EQUAL("earlier_leader_runs", W.reason().c_str());
  STRCMP_CONTAINS(
      "pool desk: 1 servers have not listed all their runs, the first is dark; "
      "for at most ",
      W.description().c_str());
}

// Guards against mixing up a term that is not confirmed and an old view of the
// jobs.
TEST(WaitMonitor, TellsWhatIsNotConfirmed) {
  WaitFixture W;
  W.addJob("j", {W.step(1)});
  W.addServer("s1", 0);
  STRCMP_EQUAL("term_unconfirmed", W.reason(3s, {false, 0}).c_str());
  STRCMP_EQUAL("job_view_unconfirmed", W.reason(1s, {true, 0}).c_str());
}

// Guards against a delay after a run that looks like a lack of servers.
TEST(WaitMonitor, TellsThatATaskPausesAfterItsLastRun) {
  WaitFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.job("j").m_Occurrences[0].m_Steps[0].m_Tasks[0].m_NotBefore = W.m_Now + 10s;
  STRCMP_EQUAL("pause_after_run", W.reason().c_str());
}

// Guards against a suspected task that looks as if it lacked servers.
TEST(WaitMonitor, TellsThatASuspectWaitsForAServerOfItsOwn) {
  WaitFixture W;
  W.addServer("s1", 0);
  JobProgress Crashed;
  CrashedRun Run;
  Run.m_Number = 1;
  Run.m_WasRecent = true;
  Crashed.m_Crashes[{0, 0, 0}] = {Run};
  W.addJob("j", {W.step(1)}, Crashed);
  STRCMP_EQUAL("isolation", W.reason().c_str());
  STRCMP_CONTAINS("1 servers have crashed under it", W.description().c_str());
}

// Guards against a cap that looks as if servers were missing.
TEST(WaitMonitor, TellsThatACapLeavesNoRoom) {
  WaitFixture W;
  OrganisationPolicy Owner;
  Owner.m_Name = OrganisationName("school");
  Owner.m_Cap.m_MilliCores = 500;
  W.m_Core->onConfig(
      ServingConfig::create(2, {}, {{PoolName("desk"), false, true}}, {Owner}));
  W.addServer("s1");
  JobSpec Job;
  Job.m_Id = JobId("j");
  Job.m_Queue = QueueName("asks");
  Job.m_Pool = PoolName("desk");
  Job.m_Organisation = Owner.m_Name;
  Job.m_Steps = {SchedulerFixture::step(1)};
  W.m_Core->onJob(Job, {}, 1000, 1000, W.m_Now, W.wall());
  STRCMP_EQUAL("organisation_cap", W.reason().c_str());
}

// Guards against mixing up servers that cannot take tasks, servers that are too
// small, and servers that are full.
TEST(WaitMonitor, TellsWhetherServersAreMissingUnreachableOrFull) {
  WaitFixture W;
  W.addJob("j", {W.step(1)});
  STRCMP_EQUAL("no_suitable_server", W.reason().c_str());
  STRCMP_CONTAINS("no server of pool desk may run it", W.description().c_str());
  W.addServer("s1", 1);
  W.m_Core->onJobEnded(JobId("j"));
  W.addJobOf("first", {1000, 1000, 0});
  W.addJob("second", {W.step(1)});
  W.answerStart(W.m_Orders.m_Starts.size() - 1);
  STRCMP_EQUAL("no_cores", W.reason().c_str());
  W.m_Core->markSuspected(ServerId("s1"), W.m_Now);
  STRCMP_EQUAL("no_usable_server", W.reason(1s).c_str());
  STRCMP_CONTAINS("no server of pool desk can take tasks",
                  W.description().c_str());
}

// A pool may have enough free cores on servers without the memory for a task,
// and demand counts cores alone. Guards against a line that does not tell.
TEST(WaitMonitor, TellsThatServersWithFreeCoresLackMemory) {
  WaitFixture W;
  W.addServerOf("s1", {8000, 16000, 0});
  W.addServerOf("s2", {8000, 16000, 0});
  W.addJobOf("lasting1", {500, 10000, 0});
  W.addJobOf("lasting2", {500, 10000, 0});
  W.addJobOf("j", {5750, 14064, 0});
  STRCMP_EQUAL("no_memory", W.reason().c_str());
  STRCMP_CONTAINS("none of 2 usable servers of pool desk has room for a task "
                  "of step 0, which needs 5750 millicores, 14064 MB, 0 GPUs; "
                  "2 have the cores; the most that is free, memory and GPUs "
                  "beside enough cores: 7500 millicores, 6000 MB, 0 GPUs",
                  W.description().c_str());
}

// Guards against mixing up the resources and labels that servers lack.
TEST(WaitMonitor, TellsThatServersWithRoomLackGpusOrTheLabel) {
  WaitFixture W;
  W.addServerOf("s1", {8000, 16000, 1}, {"fast"});
  W.addServerOf("s2", {8000, 16000, 0});
  W.addJobOf("all", {8000, 16000, 1});
  W.addJobOf("gpu", {1000, 1000, 1});
  STRCMP_EQUAL("no_gpu", W.reason().c_str());
  W.m_Core->onJobEnded(JobId("gpu"));
  StepSpec Labelled = W.step(1);
  Labelled.m_RequiredLabel = "fast";
  W.addJob("label", {Labelled});
  STRCMP_EQUAL("no_label", W.reason().c_str());
}

// Guards against a limit of tasks per server that looks like a lack of room.
TEST(WaitMonitor, TellsThatServersMayTakeNoMoreTasksOfTheStep) {
  WaitFixture W;
  W.addServer("s1");
  W.m_Core->servers().find(ServerId("s1"))->m_OnProbation = true;
  W.addJobOf("first", {1000, 1000, 0});
  W.addJob("second", {W.step(1)});
  W.answerStart(0);
  STRCMP_EQUAL("server_limit", W.reason().c_str());
}

// Guards against a server kept for suspects that looks like a lack of room.
TEST(WaitMonitor, TellsThatServersAreKeptForSuspectedTasks) {
  WaitFixture W;
  W.addServer("s1");
  W.m_Core->servers().find(ServerId("s1"))->m_ClearingUntil = W.m_Now + 1h;
  W.addJob("j", {W.step(1)});
  STRCMP_EQUAL("held_for_suspects", W.reason().c_str());
}

// Guards against a missing ticket that looks like a lack of room.
TEST(WaitMonitor, TellsThatTheAdviserHasAllowedNoServer) {
  WaitFixture W;
  W.setAdvicePolicy({});
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  STRCMP_EQUAL("no_ticket", W.reason().c_str());
}

// Guards against a gang that does not fit as a whole and looks about to start.
TEST(WaitMonitor, TellsThatAGangDoesNotFitAtTheSameTime) {
  WaitFixture W;
  W.addServer("s1", 2);
  StepSpec Gang = W.step(3);
  Gang.m_Gang = true;
  W.addJob("j", {Gang});
  STRCMP_EQUAL("gang_incomplete", W.reason().c_str());
}

// An end that is lost over a change of leader leaves a job without a task that
// is ready or runs. Guards against a job that waits so without a line.
TEST(WaitMonitor, TellsThatNoTaskIsReady) {
  WaitFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1), W.step(1, {0})});
  W.job("j").removeFromReady({JobId("j"), 0, 0, 0});
  STRCMP_EQUAL("no_task_ready", W.reason().c_str());
}

// Guards against an end that is not recorded and looks like a job that waits
// for a server.
TEST(WaitMonitor, TellsThatAnEndIsBeingRecorded) {
  WaitFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.answerStart(0);
  W.tick();
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  STRCMP_EQUAL("end_being_recorded", W.reason().c_str());
}

// Guards against reports of recurring jobs between two occurrences.
TEST(WaitMonitor, AJobDoesNotWaitBeforeItsNextOccurrenceIsDue) {
  WaitFixture W;
  JobSpec Job;
  Job.m_Id = JobId("j");
  Job.m_Queue = QueueName("asks");
  Job.m_Pool = PoolName("desk");
  Job.m_Steps = {SchedulerFixture::step(1)};
  Job.m_Occurrences = 1;
  Job.m_FirstDue = W.wall() + 10s;
  W.m_Core->onJob(Job, {}, 1, 1, W.m_Now, W.wall());
  CHECK_EQUAL(0u, W.report(9500ms).m_Jobs);
  CHECK_EQUAL(0u, W.report(1s).m_Jobs);
  CHECK_EQUAL(1u, W.report(2s).m_Jobs);
}

// Guards against a reason that is not named on its own.
TEST(WaitMonitor, EachReasonHasItsOwnName) {
  std::set<std::string_view> Names;
  for (std::size_t N = 0; N < WaitReasonCount; ++N) {
    Names.insert(waitReasonName(static_cast<WaitReason>(N)));
    CHECK(!waitReasonText(static_cast<WaitReason>(N)).empty());
  }
  CHECK_EQUAL(WaitReasonCount, Names.size());
}
