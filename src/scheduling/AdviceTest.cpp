//===- AdviceTest.cpp - Tests of placement with an adviser ----------------===//

#include "scheduling/testing/SchedulerFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

/// A fixture whose queue asks the adviser.
struct AdvisedFixture : SchedulerFixture {
  AdvisedFixture() { setAdvicePolicy({10ms, 1ms, 3000ms}); }

  /// Answers the call at \p Index; the servers in \p Allowed are allowed.
  void advise(std::size_t Index, const std::vector<std::string> &Allowed,
              std::chrono::milliseconds Valid = 3000ms) {
    AdviceReply Reply;
    Reply.m_TicketLifetime = Valid;
    for (const std::string &Id : Allowed)
      Reply.m_Tickets[ServerId(Id)] = "ticket-" + Id;
    AdviceOrder Order = m_Orders.m_Advice.at(Index);
    advance(20ms);
    m_Core->onAdvice(Order, Reply, m_Now);
    tick();
  }
};

} // namespace

TEST_GROUP(Advice){};

TEST(Advice, NothingStartsBeforeTheAdviserHasAnswered) {
  AdvisedFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(2)});
  W.tick();
  W.tick();
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, W.m_Orders.m_Advice.size());
}

TEST(Advice, StartsCarryTheTicketOfAnAllowedServer) {
  AdvisedFixture W;
  W.addServer("s1");
  W.addServer("s2");
  W.addJob("j", {W.step(2)});
  W.tick();
  W.advise(0, {"s2"});
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
  for (const StartOrder &Order : W.m_Orders.m_Starts) {
    STRCMP_EQUAL("s2", Order.m_Server.m_Id.m_Text.c_str());
    STRCMP_EQUAL("ticket-s2", Order.m_Ticket.c_str());
  }
}

TEST(Advice, OneAnswerCoversAllTasksOfTheStep) {
  AdvisedFixture W;
  W.addServer("s1", 1);
  W.addJob("j", {W.step(3)});
  W.tick();
  W.advise(0, {"s1"});
  for (std::uint32_t I = 0; I < 2; ++I) {
    W.answerStart(I);
    W.tick();
    W.answerPoll("s1", {}, {{I + 1, W.run("j", 0, I, 1), EndKind::Done, ""}});
    W.tick();
  }
  CHECK_EQUAL(3u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(1u, W.m_Orders.m_Advice.size());
}

TEST(Advice, ExpiredTicketIsRequestedAgain) {
  AdvisedFixture W;
  W.addServer("s1", 1);
  W.addJob("j", {W.step(2)});
  W.tick();
  W.advise(0, {"s1"}, 1000ms);
  W.answerStart(0);
  W.tick();
  W.advance(1500ms);
  W.answerPoll("s1", {}, {{1, W.run("j", 0, 0, 1), EndKind::Done, ""}});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(2u, W.m_Orders.m_Advice.size());
  W.advise(1, {"s1"});
  CHECK_EQUAL(2u, W.m_Orders.m_Starts.size());
}

TEST(Advice, RejectedTicketIsRequestedAgain) {
  AdvisedFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.advise(0, {"s1"});
  W.answerStart(0, OrderResult::BadTicket);
  W.advance(1s);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Starts.size());
  CHECK_EQUAL(2u, W.m_Orders.m_Advice.size());
}

TEST(Advice, DeniedServersAreNotAskedAboutAgain) {
  AdvisedFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.advise(0, {});
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Advice.size());
  W.addServer("s2");
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Advice.size());
  CHECK_EQUAL(1u, W.m_Orders.m_Advice[1].m_Servers.size());
  STRCMP_EQUAL("s2", W.m_Orders.m_Advice[1].m_Servers[0].m_Text.c_str());
}

TEST(Advice, FailedCallIsRetriedAfterADelay) {
  AdvisedFixture W;
  W.addServer("s1");
  W.addJob("j", {W.step(1)});
  W.tick();
  W.m_Core->onAdvice(W.m_Orders.m_Advice[0],
                     makeError(ErrorCode::Unavailable, "ask adviser"), W.m_Now);
  W.tick();
  CHECK_EQUAL(1u, W.m_Orders.m_Advice.size());
  W.advance(200ms);
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Advice.size());
}

TEST(Advice, AtMostTwoCallsArePending) {
  AdvisedFixture W;
  W.addServer("s1");
  for (const char *Id : {"a", "b", "c"})
    W.addJob(Id, {W.step(1)});
  W.tick();
  CHECK_EQUAL(2u, W.m_Orders.m_Advice.size());
  W.advise(0, {"s1"});
  CHECK_EQUAL(3u, W.m_Orders.m_Advice.size());
}

TEST(Advice, CallForACancelledJobFreesItsSlot) {
  AdvisedFixture W;
  W.addServer("s1");
  for (const char *Id : {"a", "b", "c"})
    W.addJob(Id, {W.step(1)});
  W.tick();
  W.m_Core->onJobEnded(JobId("a"));
  W.tick();
  CHECK_EQUAL(3u, W.m_Orders.m_Advice.size());
  // The late answer to the call for the cancelled job has no effect.
  W.advise(0, {"s1"});
  CHECK_EQUAL(0u, W.m_Orders.m_Starts.size());
}
