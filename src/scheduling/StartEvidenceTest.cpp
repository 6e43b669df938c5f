//===- StartEvidenceTest.cpp - Tests of what shows that a run has begun ---===//

#include "scheduling/StartEvidence.h"
#include <CppUTest/TestHarness.h>

using namespace pollenspool;

namespace {

struct ResultRow {
  OrderResult m_Result;
  StartEvidence m_Shown;
};

constexpr ResultRow ResultRows[] = {
    {OrderResult::Done, StartEvidence::Begun},
    {OrderResult::Fenced, StartEvidence::NotBegun},
    {OrderResult::StaleRun, StartEvidence::NotBegun},
    {OrderResult::LeaseExpiredOnArrival, StartEvidence::NotBegun},
    {OrderResult::NoCapacity, StartEvidence::NotBegun},
    {OrderResult::BadTicket, StartEvidence::NotBegun},
    {OrderResult::Invalid, StartEvidence::NotBegun},
    {OrderResult::Refusing, StartEvidence::NotBegun},
    {OrderResult::OtherIncarnation, StartEvidence::NotBegun},
    {OrderResult::NotSent, StartEvidence::NotBegun},
    {OrderResult::NotAttempted, StartEvidence::NotBegun},
    {OrderResult::Unknown, StartEvidence::MayHaveBegun},
};

struct VerdictRow {
  StartEvidence m_Start;
  RunLoss m_Loss;
  /// If calls to the server timed out, and if connections to it ended.
  LossVerdict m_IfTimedOut;
  LossVerdict m_IfConnectionEnded;
};

constexpr VerdictRow VerdictRows[] = {
    {StartEvidence::Pending, RunLoss::NotListed, LossVerdict::AwaitResult,
     LossVerdict::AwaitResult},
    {StartEvidence::Pending, RunLoss::LeaseExpired, LossVerdict::AwaitResult,
     LossVerdict::AwaitResult},
    {StartEvidence::Pending, RunLoss::ServerEnded, LossVerdict::AwaitResult,
     LossVerdict::AwaitResult},
    {StartEvidence::Pending, RunLoss::ServerCrashed, LossVerdict::AwaitResult,
     LossVerdict::AwaitResult},
    {StartEvidence::NotBegun, RunLoss::NotListed, LossVerdict::NotStarted,
     LossVerdict::NotStarted},
    {StartEvidence::NotBegun, RunLoss::LeaseExpired, LossVerdict::NotStarted,
     LossVerdict::NotStarted},
    {StartEvidence::NotBegun, RunLoss::ServerEnded, LossVerdict::NotStarted,
     LossVerdict::NotStarted},
    {StartEvidence::NotBegun, RunLoss::ServerCrashed, LossVerdict::NotStarted,
     LossVerdict::NotStarted},
    {StartEvidence::MayHaveBegun, RunLoss::NotListed, LossVerdict::Lost,
     LossVerdict::Lost},
    {StartEvidence::MayHaveBegun, RunLoss::LeaseExpired, LossVerdict::Lost,
     LossVerdict::Lost},
    {StartEvidence::MayHaveBegun, RunLoss::ServerEnded, LossVerdict::Lost,
     LossVerdict::Lost},
    {StartEvidence::MayHaveBegun, RunLoss::ServerCrashed, LossVerdict::Lost,
     LossVerdict::Crashed},
    {StartEvidence::Begun, RunLoss::NotListed, LossVerdict::Lost,
     LossVerdict::Lost},
    {StartEvidence::Begun, RunLoss::LeaseExpired, LossVerdict::Lost,
     LossVerdict::Lost},
    {StartEvidence::Begun, RunLoss::ServerEnded, LossVerdict::Lost,
     LossVerdict::Lost},
    {StartEvidence::Begun, RunLoss::ServerCrashed, LossVerdict::Crashed,
     LossVerdict::Crashed},
};

} // namespace

TEST_GROUP(StartEvidence){};

// Guards against a refused start that is taken for one that may have begun, so
// that its task is blamed for a crash.
TEST(StartEvidence, EachResultOfAStartShowsWhetherItsRunHasBegun) {
  for (const ResultRow &Row : ResultRows)
    STRCMP_EQUAL_TEXT(
        std::string(startEvidenceName(Row.m_Shown)).c_str(),
        std::string(startEvidenceName(evidenceOf(Row.m_Result))).c_str(),
        std::string(orderResultName(Row.m_Result)).c_str());
}

// Guards against a crash that is held against a task without a run.
TEST(StartEvidence, OnlyRunsThatMayHaveBegunAreBlamedForACrash) {
  for (const VerdictRow &Row : VerdictRows) {
    const std::string Name = std::string(startEvidenceName(Row.m_Start)) + " " +
                             std::string(runLossName(Row.m_Loss));
    CHECK_TEXT(verdictOn(Row.m_Start, Row.m_Loss, ContactLoss::TimedOut) ==
                   Row.m_IfTimedOut,
               Name.c_str());
    CHECK_TEXT(
        verdictOn(Row.m_Start, Row.m_Loss, ContactLoss::ConnectionEnded) ==
            Row.m_IfConnectionEnded,
        Name.c_str());
  }
}
