//===- ClosingOutcome.cpp - The truth of a request given up on ------------===//

#include "dispatch/ClosingOutcome.h"

namespace pollenspool {

namespace {

/// True if no other entry instance can have run the request. A forwarded
/// request is vouched for by the entry instance that it came from.
bool isVouchedFor(const TicketRecord &Record) {
  constexpr std::uint32_t FirstAttempt = 1;
  return !Record.m_CallerKeyed || Record.m_Forwarded || Record.m_ClaimGranted ||
         Record.m_Attempt == FirstAttempt;
}

/// When to come back after a refusal that names no time itself.
Duration usualRetryAfter(Reason Why) {
  switch (Why) {
  case Reason::Draining:
    // The balancer sends the next one to another entry instance.
    return std::chrono::milliseconds(100);
  case Reason::NoInstance:
  case Reason::ShedForUrgentWork:
  case Reason::DeadlinePassedInQueue:
  case Reason::RetryBudgetSpent:
  case Reason::AttemptsSpent:
  case Reason::PeerUnreachable:
    return std::chrono::seconds(1);
  default:
    return Duration(0);
  }
}

Outcome withReason(OutcomeKind Kind, Reason Why) {
  Outcome Out;
  Out.m_Kind = Kind;
  Out.m_Reason = Why;
  return Out;
}

} // namespace

Outcome closingOutcome(const TicketRecord &Record, const GiveUp &Why) {
  const TryHistory *Past = Record.m_History.get();
  if (Past && Past->m_ErrorAnswer) {
    Outcome Out = withReason(OutcomeKind::Answer, Reason::None);
    Out.m_Answer = *Past->m_ErrorAnswer;
    Out.m_Instance = Past->m_ErrorInstance;
    return Out;
  }
  if (Past && Past->m_LastUnknown != Reason::None)
    return withReason(OutcomeKind::Unknown, Past->m_LastUnknown);
  Outcome Out =
      isVouchedFor(Record)
          ? withReason(OutcomeKind::NotRun, Why.m_Reason)
          : withReason(OutcomeKind::Unknown, Reason::RepeatNotVouched);
  Duration RetryAfter = Why.m_RetryAfter > Duration(0)
                            ? Why.m_RetryAfter
                            : usualRetryAfter(Why.m_Reason);
  Out.m_RetryAfter = std::chrono::ceil<std::chrono::milliseconds>(RetryAfter);
  return Out;
}

} // namespace pollenspool
