//===- StartEvidence.cpp - Whether a run has begun ------------------------===//

#include "scheduling/StartEvidence.h"

namespace pollenspool {

StartEvidence evidenceOf(OrderResult R) {
  switch (R) {
  case OrderResult::Done:
    return StartEvidence::Begun;
  case OrderResult::Unknown:
    return StartEvidence::MayHaveBegun;
  // The server has refused the order.
  case OrderResult::Fenced:
  case OrderResult::StaleRun:
  case OrderResult::LeaseExpiredOnArrival:
  case OrderResult::NoCapacity:
  case OrderResult::BadTicket:
  case OrderResult::Invalid:
  case OrderResult::Refusing:
  // Another server has received the order and refused it.
  case OrderResult::OtherIncarnation:
  // No server has received the order.
  case OrderResult::NotSent:
  case OrderResult::NotAttempted:
    return StartEvidence::NotBegun;
  }
  return StartEvidence::MayHaveBegun;
}

std::string_view startEvidenceName(StartEvidence E) {
  switch (E) {
  case StartEvidence::Pending:
    return "pending";
  case StartEvidence::NotBegun:
    return "not_begun";
  case StartEvidence::MayHaveBegun:
    return "may_have_begun";
  case StartEvidence::Begun:
    return "begun";
  }
  return "?";
}

LossVerdict verdictOn(StartEvidence Start, RunLoss Loss, ContactLoss Contact) {
  switch (Start) {
  case StartEvidence::Pending:
    return LossVerdict::AwaitResult;
  case StartEvidence::NotBegun:
    return LossVerdict::NotStarted;
  case StartEvidence::MayHaveBegun:
    // The server may have been gone before it could receive the order.
    if (Contact == ContactLoss::TimedOut)
      return LossVerdict::Lost;
    break;
  case StartEvidence::Begun:
    break;
  }
  return Loss == RunLoss::ServerCrashed ? LossVerdict::Crashed
                                        : LossVerdict::Lost;
}

} // namespace pollenspool
