//===- RecordCostTest.cpp - Tests of the cost of records ------------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Servers = 100;

std::string serverName(std::size_t N) { return "s" + std::to_string(N); }

/// Ends the first run of \p Job on its server with the end number \p Number.
std::string endRunOf(SchedulerFixture &W, const std::string &Job,
                     std::uint64_t Number = 1) {
  for (std::size_t N = 0; N < W.m_Orders.m_Starts.size(); ++N) {
    const StartOrder Order = W.m_Orders.m_Starts[N];
    if (Order.m_Run.m_Task.m_Job.m_Text != Job)
      continue;
    W.answerStart(N);
    W.advance(50ms);
    W.tick();
    W.answerPoll(Order.m_Server.m_Id.m_Text, {},
                 {{Number, Order.m_Run, EndKind::Done, ""}});
    return Order.m_Server.m_Id.m_Text;
  }
  return {};
}

ServerState &server(SchedulerFixture &W, const std::string &Id) {
  return *W.m_Core->servers().find(ServerId(Id));
}

} // namespace

TEST_GROUP(RecordCost){};

// Each commit compared the ends of every server with the records of their jobs.
TEST(RecordCost, ARecordIsComparedWithTheServersThatWaitForIt) {
  SchedulerFixture W;
  for (std::size_t N = 0; N < Servers; ++N)
    W.addServer(serverName(N), 1);
  for (std::size_t N = 0; N < Servers; ++N)
    W.addJob("j" + std::to_string(N), {SchedulerFixture::step(1)});
  W.tick();
  CHECK_EQUAL(Servers, W.m_Orders.m_Starts.size());
  for (std::size_t N = 0; N < Servers; ++N)
    endRunOf(W, "j" + std::to_string(N));
  std::uint64_t Before = W.m_Core->counters().m_EndsCompared;
  // Four transactions, since one holds 33 jobs.
  W.record();
  for (auto &[Id, S] : W.m_Core->servers().all())
    CHECK_EQUAL(1u, S.m_LastRecordedEnd);
  CHECK_EQUAL(Before + Servers, W.m_Core->counters().m_EndsCompared);
}

// Ends are acknowledged in order, so that one waits for those before it.
TEST(RecordCost, AnEndWaitsForTheRecordOfAnEarlierOne) {
  SchedulerFixture W;
  W.addServer("s", 4);
  W.addJob("first", {SchedulerFixture::step(2)});
  W.addJob("second", {SchedulerFixture::step(2)});
  W.tick();
  endRunOf(W, "first", 1);
  endRunOf(W, "second", 2);
  LiveJob &First = W.job("first"), &Second = W.job("second");
  W.m_Core->markRecorded(Second, Second.m_ChangeNumber);
  W.m_Core->onProgressRecorded(W.m_Now);
  CHECK_EQUAL(0u, server(W, "s").m_LastRecordedEnd);
  W.m_Core->markRecorded(First, First.m_ChangeNumber);
  W.m_Core->onProgressRecorded(W.m_Now);
  CHECK_EQUAL(2u, server(W, "s").m_LastRecordedEnd);
}

// A record that does not contain the end leaves the server waiting.
TEST(RecordCost, AnEndWaitsForALaterRecordOfItsJob) {
  SchedulerFixture W;
  W.addServer("s", 4);
  W.addJob("j", {SchedulerFixture::step(2)});
  W.tick();
  endRunOf(W, "j");
  LiveJob &Job = W.job("j");
  W.m_Core->markRecorded(Job, Job.m_ChangeNumber - 1);
  W.m_Core->onProgressRecorded(W.m_Now);
  CHECK_EQUAL(0u, server(W, "s").m_LastRecordedEnd);
  W.m_Core->markRecorded(Job, Job.m_ChangeNumber);
  W.m_Core->onProgressRecorded(W.m_Now);
  CHECK_EQUAL(1u, server(W, "s").m_LastRecordedEnd);
}

// The end of a cancelled job needs no record.
TEST(RecordCost, AnEndOfARemovedJobIsAcknowledged) {
  SchedulerFixture W;
  W.addServer("s", 4);
  W.addJob("first", {SchedulerFixture::step(2)});
  W.addJob("second", {SchedulerFixture::step(2)});
  W.tick();
  endRunOf(W, "first", 1);
  endRunOf(W, "second", 2);
  W.m_Core->onJobEnded(JobId("first"));
  LiveJob &Second = W.job("second");
  W.m_Core->markRecorded(Second, Second.m_ChangeNumber);
  W.m_Core->onProgressRecorded(W.m_Now);
  CHECK_EQUAL(2u, server(W, "s").m_LastRecordedEnd);
}
