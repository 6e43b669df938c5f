//===- DispatcherTest.cpp - Tests of the dispatcher -----------------------===//

#include "dispatch/DispatcherTestFixture.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

void checkOutcome(const Action &A, OutcomeKind Kind, Reason Why) {
  CHECK(A.m_Kind == ActionKind::Finish);
  LONGS_EQUAL(static_cast<int>(Kind), static_cast<int>(A.m_Outcome.m_Kind));
  STRCMP_EQUAL(reasonName(Why).data(), reasonName(A.m_Outcome.m_Reason).data());
}

/// A request with traits: k for a request ID chosen by the caller, r for
/// repeatable, f for forwarded.
RequestInfo traits(const DispatcherTestFixture &F, const std::string &Id,
                   const std::string &Traits, std::uint32_t Attempt = 0) {
  RequestInfo Info = F.request(Id);
  Info.m_HasIdempotencyKey = Traits.find('k') != std::string::npos;
  Info.m_Repeatable = Traits.find('r') != std::string::npos;
  Info.m_Forwarded = Traits.find('f') != std::string::npos;
  Info.m_Attempt = Attempt;
  return Info;
}

/// Starts a try in each of the 8 slots of the only instance.
void fillSlots(DispatcherTestFixture &F) {
  for (int I = 0; I < 8; ++I)
    F.submit(F.request("fill" + std::to_string(I)));
}

std::vector<RemoteCapacity> roomAt(const std::string &Name,
                                   std::uint32_t FreeSlots) {
  return {{DataCentreName(Name), true, {{PoolName("desk"), FreeSlots}}}};
}

} // namespace

TEST_GROUP(Dispatcher){};

TEST(Dispatcher, RefusesUnknownStrategy) {
  DispatcherSettings Settings;
  Settings.m_Strategy = "none such";
  CHECK(Dispatcher::create(Settings).has_error());
}

TEST(Dispatcher, AnswersFromOneTry) {
  DispatcherTestFixture F(2);
  Ticket T = F.submit(F.request("a"));
  Action Start = F.last(T, ActionKind::StartTry);
  LONGS_EQUAL(1, F.m_Dispatcher.inFlight(Start.m_Instance));
  F.finishTry(Start, TryResult::Answered);
  LONGS_EQUAL(1, F.count(T, ActionKind::Finish));
  Action End = F.last(T, ActionKind::Finish);
  checkOutcome(End, OutcomeKind::Answer, Reason::None);
  LONGS_EQUAL(200, End.m_Outcome.m_Answer.m_Status);
  CHECK(End.m_Outcome.m_Instance == Start.m_Instance);
  LONGS_EQUAL(0, F.m_Dispatcher.inFlight(Start.m_Instance));
  LONGS_EQUAL(0, F.m_Dispatcher.stats().m_Open);
}

TEST(Dispatcher, RefusesUnknownService) {
  DispatcherTestFixture F(1);
  RequestInfo Info = F.request("a");
  Info.m_Service = ServiceName("none");
  checkOutcome(F.last(F.submit(Info), ActionKind::Finish), OutcomeKind::NotRun,
               Reason::UnknownService);
}

TEST(Dispatcher, RetriesOnlyRequestsThatAreSafeToRepeat) {
  struct Row {
    TryResult m_Result;
    bool m_Repeatable;
    bool m_Retried;
  };
  for (const Row &R :
       {Row{TryResult::NotRun, false, true}, Row{TryResult::NotRun, true, true},
        Row{TryResult::Unknown, false, false},
        Row{TryResult::Unknown, true, true},
        Row{TryResult::AnsweredWithError, false, false},
        Row{TryResult::AnsweredWithError, true, true},
        Row{TryResult::Answered, true, false}}) {
    DispatcherTestFixture F(2);
    Ticket T = F.submit(traits(F, "a", R.m_Repeatable ? "r" : ""));
    Action First = F.last(T, ActionKind::StartTry);
    F.finishTry(First, R.m_Result, Reason::BackendTruncated);
    LONGS_EQUAL(R.m_Retried ? 2 : 1, F.count(T, ActionKind::StartTry));
    LONGS_EQUAL(R.m_Retried ? 0 : 1, F.count(T, ActionKind::Finish));
    Action Second = F.last(T, ActionKind::StartTry);
    CHECK_EQUAL(R.m_Retried, First.m_Instance != Second.m_Instance);
  }
}

TEST(Dispatcher, ReportsTheOutcomeOfAllTries) {
  struct Row {
    TryResult m_First;
    TryResult m_Second;
    OutcomeKind m_Kind;
    Reason m_Reason;
  };
  for (const Row &R : {Row{TryResult::Unknown, TryResult::NotRun,
                           OutcomeKind::Unknown, Reason::BackendTruncated},
                       Row{TryResult::NotRun, TryResult::Unknown,
                           OutcomeKind::Unknown, Reason::BackendTruncated},
                       Row{TryResult::NotRun, TryResult::NotRun,
                           OutcomeKind::NotRun, Reason::NoInstance},
                       Row{TryResult::AnsweredWithError, TryResult::Unknown,
                           OutcomeKind::Answer, Reason::None},
                       Row{TryResult::Unknown, TryResult::Answered,
                           OutcomeKind::Answer, Reason::None}}) {
    DispatcherTestFixture F(2);
    Ticket T = F.submit(traits(F, "a", "r"));
    F.finishTry(F.last(T, ActionKind::StartTry), R.m_First,
                Reason::BackendTruncated, 503);
    F.finishTry(F.last(T, ActionKind::StartTry), R.m_Second,
                Reason::BackendTruncated);
    checkOutcome(F.last(T, ActionKind::Finish), R.m_Kind, R.m_Reason);
  }
}

TEST(Dispatcher, LimitsTries) {
  DispatcherTestFixture F(5);
  Ticket T = F.submit(F.request("a"));
  for (int I = 0; I < 3; ++I)
    F.finishTry(F.last(T, ActionKind::StartTry), TryResult::NotRun);
  LONGS_EQUAL(3, F.count(T, ActionKind::StartTry));
  checkOutcome(F.last(T, ActionKind::Finish), OutcomeKind::NotRun,
               Reason::AttemptsSpent);
}

TEST(Dispatcher, LimitsRetriesByTheirBudget) {
  RequestPolicy Policy;
  Policy.m_RetryBudget = 0;
  DispatcherTestFixture F(3, Policy);
  int Retried = 0;
  Ticket T = 0;
  for (int I = 0; I < 10; ++I) {
    T = F.submit(F.request("r" + std::to_string(I)));
    F.finishTry(F.last(T, ActionKind::StartTry), TryResult::NotRun);
    Retried += F.count(T, ActionKind::StartTry) == 2 ? 1 : 0;
  }
  LONGS_EQUAL(3, Retried);
  checkOutcome(F.last(T, ActionKind::Finish), OutcomeKind::NotRun,
               Reason::RetryBudgetSpent);
}

TEST(Dispatcher, ClaimsBeforeTheFirstTry) {
  DispatcherTestFixture F(1);
  Ticket T = F.submit(traits(F, "a", "k"));
  LONGS_EQUAL(1, F.count(T, ActionKind::Claim));
  LONGS_EQUAL(0, F.count(T, ActionKind::StartTry));
  CHECK(F.m_Dispatcher.claimGranted(T, F.m_Now));
  F.collectActions();
  LONGS_EQUAL(1, F.count(T, ActionKind::StartTry));
  for (const char *Traits : {"", "r", "kr", "kf"})
    LONGS_EQUAL(0,
                F.count(F.submit(traits(F, "b", Traits)), ActionKind::Claim));
}

TEST(Dispatcher, RejectsAClaimGrantAfterTheFinish) {
  DispatcherTestFixture F(1);
  Ticket T = F.submit(traits(F, "a", "k", 1));
  F.m_Dispatcher.cancel({RequestId("a")}, F.m_Now);
  F.collectActions();
  checkOutcome(F.last(T, ActionKind::Finish), OutcomeKind::NotRun,
               Reason::Cancelled);
  CHECK_FALSE(F.m_Dispatcher.claimGranted(T, F.m_Now));
  F.collectActions();
  LONGS_EQUAL(0, F.count(T, ActionKind::StartTry));
}

TEST(Dispatcher, ReturnsTheOutcomeOfADeniedClaim) {
  DispatcherTestFixture F(1);
  Ticket T = F.submit(traits(F, "a", "k"));
  Outcome Recorded;
  Recorded.m_Kind = OutcomeKind::Answer;
  Recorded.m_Answer.m_Status = 201;
  F.m_Dispatcher.claimDenied(T, Recorded, F.m_Now);
  F.collectActions();
  LONGS_EQUAL(201, F.last(T, ActionKind::Finish).m_Outcome.m_Answer.m_Status);
}

TEST(Dispatcher, ReportsUnknownIfAnEarlierAttemptMayHaveRun) {
  struct Row {
    const char *m_Traits;
    std::uint32_t m_Attempt;
    bool m_IsNotRun;
  };
  for (const Row &R : {Row{"", 2, true}, Row{"k", 1, true}, Row{"k", 2, false},
                       Row{"k", 0, false}, Row{"kr", 1, true},
                       Row{"kr", 0, false}, Row{"kf", 2, true}}) {
    DispatcherTestFixture F(0);
    Ticket T = F.submit(traits(F, "a", R.m_Traits, R.m_Attempt));
    Action End = F.last(T, ActionKind::Finish);
    if (R.m_IsNotRun)
      checkOutcome(End, OutcomeKind::NotRun, Reason::NoInstance);
    else
      checkOutcome(End, OutcomeKind::Unknown, Reason::RepeatNotVouched);
  }
}

TEST(Dispatcher, ReportsNotRunAfterAGrantedClaim) {
  DispatcherTestFixture F(1);
  Ticket T = F.submit(traits(F, "a", "k", 2));
  F.m_Dispatcher.claimGranted(T, F.m_Now);
  F.collectActions();
  F.finishTry(F.last(T, ActionKind::StartTry), TryResult::NotRun);
  checkOutcome(F.last(T, ActionKind::Finish), OutcomeKind::NotRun,
               Reason::NoInstance);
}

TEST(Dispatcher, CancelsQueuedAndInFlight) {
  DispatcherTestFixture F(1);
  fillSlots(F);
  Ticket Queued = F.submit(F.request("queued"));
  LONGS_EQUAL(2, F.m_Dispatcher.cancel({RequestId("queued"), RequestId("fill3"),
                                        RequestId("none")},
                                       F.m_Now));
  F.collectActions();
  checkOutcome(F.last(Queued, ActionKind::Finish), OutcomeKind::NotRun,
               Reason::Cancelled);
  constexpr Ticket Filler = 4;
  LONGS_EQUAL(1, F.count(Filler, ActionKind::AbortTry));
  checkOutcome(F.last(Filler, ActionKind::Finish), OutcomeKind::Unknown,
               Reason::CancelledInFlight);
  LONGS_EQUAL(7, F.m_Dispatcher.inFlight(InstanceId("i0")));
}

TEST(Dispatcher, EndsAtTheDeadline) {
  DispatcherTestFixture F(1);
  fillSlots(F);
  Ticket Queued = F.submit(F.request("queued"));
  F.m_Now = *F.m_Dispatcher.nextTick();
  F.m_Dispatcher.tick(F.m_Now);
  F.collectActions();
  checkOutcome(F.last(Queued, ActionKind::Finish), OutcomeKind::NotRun,
               Reason::DeadlinePassedInQueue);
  LONGS_EQUAL(1, F.count(1, ActionKind::AbortTry));
  checkOutcome(F.last(1, ActionKind::Finish), OutcomeKind::Unknown,
               Reason::BackendTimeout);
  LONGS_EQUAL(0, F.m_Dispatcher.stats().m_Open);
}

TEST(Dispatcher, ForwardsOnceWhenThePoolHasNoInstance) {
  DispatcherTestFixture F(0);
  F.m_Dispatcher.setRemoteCapacity(roomAt("salt lake", 1));
  Ticket Refused = F.submit(traits(F, "a", "f"));
  LONGS_EQUAL(0, F.count(Refused, ActionKind::Forward));
  Ticket Forwarded = F.submit(F.request("b"));
  Action Forward = F.last(Forwarded, ActionKind::Forward);
  STRCMP_EQUAL("salt lake", Forward.m_DataCentre.m_Text.c_str());
  // The first forward has used up the reported capacity of 1.
  checkOutcome(F.last(F.submit(F.request("c")), ActionKind::Finish),
               OutcomeKind::NotRun, Reason::NoInstance);
  ForwardResult Lost;
  Lost.m_Try = Forward.m_Try;
  Lost.m_Outcome.m_Kind = OutcomeKind::Unknown;
  Lost.m_Outcome.m_Reason = Reason::PeerConnectionLost;
  F.m_Dispatcher.finishForward(Forwarded, Lost, F.m_Now);
  F.collectActions();
  checkOutcome(F.last(Forwarded, ActionKind::Finish), OutcomeKind::Unknown,
               Reason::PeerConnectionLost);
}

TEST(Dispatcher, ClaimsBeforeForwarding) {
  DispatcherTestFixture F(0);
  F.m_Dispatcher.setRemoteCapacity(roomAt("salt lake", 1));
  Ticket T = F.submit(traits(F, "a", "k"));
  LONGS_EQUAL(1, F.count(T, ActionKind::Claim));
  LONGS_EQUAL(0, F.count(T, ActionKind::Forward));
  F.m_Dispatcher.claimGranted(T, F.m_Now);
  F.collectActions();
  LONGS_EQUAL(1, F.count(T, ActionKind::Forward));
}

TEST(Dispatcher, DrainsWithoutAbortingTries) {
  DispatcherTestFixture F(1);
  fillSlots(F);
  Ticket Queued = F.submit(F.request("queued"));
  F.m_Dispatcher.setDraining(true, F.m_Now);
  F.collectActions();
  checkOutcome(F.last(Queued, ActionKind::Finish), OutcomeKind::NotRun,
               Reason::Draining);
  checkOutcome(F.last(F.submit(F.request("new")), ActionKind::Finish),
               OutcomeKind::NotRun, Reason::Draining);
  LONGS_EQUAL(8, F.m_Dispatcher.inFlight(InstanceId("i0")));
  F.finishTry(F.last(1, ActionKind::StartTry), TryResult::Answered);
  checkOutcome(F.last(1, ActionKind::Finish), OutcomeKind::Answer,
               Reason::None);
}

TEST(Dispatcher, IgnoresTargetsWithAnOlderEpoch) {
  DispatcherTestFixture F(2);
  F.m_Dispatcher.setInstances({F.target(0, false, 5), F.target(1, true, 5)},
                              F.m_Now);
  F.m_Dispatcher.setInstances({F.target(0, true, 4), F.target(1, false, 4)},
                              F.m_Now);
  for (int I = 0; I < 4; ++I) {
    Ticket T = F.submit(F.request("r" + std::to_string(I)));
    STRCMP_EQUAL("i1",
                 F.last(T, ActionKind::StartTry).m_Instance.m_Text.c_str());
  }
}

TEST(Dispatcher, EvictsTheLeastUrgentForAnUrgentRequest) {
  RequestPolicy Policy = DispatcherTestFixture::unlimitedRetryPolicy();
  Policy.m_QueuePerInstance = 2;
  DispatcherTestFixture F(1, Policy);
  fillSlots(F);
  RequestInfo Info = F.request("nightly");
  Info.m_Class = UrgencyClass::Nightly;
  Ticket Nightly = F.submit(Info);
  Info = traits(F, "claiming", "k", 1);
  Info.m_Class = UrgencyClass::Urgent;
  Ticket Claiming = F.submit(Info);
  Info = F.request("urgent");
  Info.m_Class = UrgencyClass::Urgent;
  F.submit(Info);
  checkOutcome(F.last(Nightly, ActionKind::Finish), OutcomeKind::NotRun,
               Reason::ShedForUrgentWork);
  Info.m_Id = RequestId("one too many");
  checkOutcome(F.last(F.submit(Info), ActionKind::Finish), OutcomeKind::NotRun,
               Reason::QueueFull);
  LONGS_EQUAL(0, F.count(Claiming, ActionKind::Finish));
}

TEST(Dispatcher, IgnoresLateAndDuplicateResults) {
  DispatcherTestFixture F(2);
  Ticket T = F.submit(F.request("a"));
  Action First = F.last(T, ActionKind::StartTry);
  F.finishTry(First, TryResult::NotRun);
  F.finishTry(First, TryResult::Answered);
  LONGS_EQUAL(0, F.count(T, ActionKind::Finish));
  LONGS_EQUAL(1, F.m_Dispatcher.stats().m_LateResults);
}

TEST(Dispatcher, LimitsSlotsOfNightlyRequests) {
  DispatcherTestFixture F(1);
  std::size_t Started = 0;
  for (int I = 0; I < 8; ++I) {
    RequestInfo Info = F.request("n" + std::to_string(I));
    Info.m_Class = UrgencyClass::Nightly;
    Started += F.count(F.submit(Info), ActionKind::StartTry);
  }
  LONGS_EQUAL(6, Started);
  LONGS_EQUAL(1, F.count(F.submit(F.request("a")), ActionKind::StartTry));
}

TEST(Dispatcher, StartsTheMostUrgentFirst) {
  DispatcherTestFixture F(1);
  fillSlots(F);
  Ticket Normal = F.submit(F.request("normal"));
  RequestInfo Info = F.request("urgent");
  Info.m_Class = UrgencyClass::Urgent;
  Ticket Urgent = F.submit(Info);
  F.finishTry(F.last(1, ActionKind::StartTry), TryResult::Answered);
  LONGS_EQUAL(1, F.count(Urgent, ActionKind::StartTry));
  LONGS_EQUAL(0, F.count(Normal, ActionKind::StartTry));
}

TEST(Dispatcher, AbandonsQueuedRequestsThatMissTheirDeadline) {
  DispatcherTestFixture F(1);
  fillSlots(F);
  RequestInfo Info = F.request("short");
  Info.m_Deadline = F.m_Now + std::chrono::milliseconds(1500);
  Ticket Short = F.submit(Info);
  F.m_Now += std::chrono::seconds(1);
  F.finishTry(F.last(1, ActionKind::StartTry), TryResult::Answered);
  LONGS_EQUAL(0, F.count(Short, ActionKind::StartTry));
  Action End = F.last(Short, ActionKind::Finish);
  checkOutcome(End, OutcomeKind::NotRun, Reason::DeadlinePassedInQueue);
  CHECK(End.m_Outcome.m_RetryAfter.count() > 0);
}

TEST(Dispatcher, ResetsHealthWhenAnInstanceReturns) {
  DispatcherTestFixture F(2);
  for (int I = 0; I < 30; ++I) {
    Ticket T = F.submit(F.request("r" + std::to_string(I)));
    Action Start = F.last(T, ActionKind::StartTry);
    bool Fails = Start.m_Instance == InstanceId("i0");
    F.finishTry(Start,
                Fails ? TryResult::AnsweredWithError : TryResult::Answered);
  }
  LONGS_EQUAL(1, F.m_Dispatcher.stats().m_Ejected);
  LONGS_EQUAL(1, F.m_Dispatcher.stats().m_Ejections);
  F.m_Dispatcher.setInstances({F.target(0, false, 2), F.target(1, true, 2)},
                              F.m_Now);
  F.m_Dispatcher.setInstances({F.target(0, true, 3), F.target(1, true, 3)},
                              F.m_Now);
  LONGS_EQUAL(0, F.m_Dispatcher.stats().m_Ejected);
}

TEST(Dispatcher, ReportsLoadAndFreeCapacity) {
  DispatcherTestFixture F(2);
  F.submit(F.request("a"));
  LoadReport Report = F.m_Dispatcher.loadReport();
  LONGS_EQUAL(1, Report.m_Instances.size());
  LONGS_EQUAL(15, Report.m_Pools.front().m_FreeSlots);
}
