//===- FinalOutcome.cpp - Outcome of a request that ends without success --===//

#include "dispatch/FinalOutcome.h"

namespace pollenspool {

namespace {

/// True if no other entry instance can have run the request. For a forwarded
/// request, the entry instance that forwarded it has made sure of that.
bool cannotHaveRunElsewhere(const TicketRecord &Record) {
  constexpr std::uint32_t FirstAttempt = 1;
  return !Record.m_HasIdempotencyKey || Record.m_Forwarded ||
         Record.m_ClaimGranted || Record.m_Attempt == FirstAttempt;
}

/// Retry delay for a reason that is reported without one. 0 if a retry is
/// useless.
Duration defaultRetryAfter(Reason Why) {
  switch (Why) {
  case Reason::Draining:
    // The load balancer sends the next request to another entry instance.
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

Outcome finalOutcome(const TicketRecord &Record, const AbandonCause &Why) {
  const TryHistory *History = Record.m_History.get();
  if (History && History->m_ErrorAnswer) {
    Outcome Out = withReason(OutcomeKind::Answer, Reason::None);
    Out.m_Answer = *History->m_ErrorAnswer;
    Out.m_Instance = History->m_ErrorInstance;
    return Out;
  }
  if (History && History->m_LastUnknown != Reason::None)
    return withReason(OutcomeKind::Unknown, History->m_LastUnknown);
  Outcome Out =
      cannotHaveRunElsewhere(Record)
          ? withReason(OutcomeKind::NotRun, Why.m_Reason)
          : withReason(OutcomeKind::Unknown, Reason::RepeatNotVouched);
  Duration RetryAfter = Why.m_RetryAfter > Duration(0)
                            ? Why.m_RetryAfter
                            : defaultRetryAfter(Why.m_Reason);
  Out.m_RetryAfter = std::chrono::ceil<std::chrono::milliseconds>(RetryAfter);
  return Out;
}

} // namespace pollenspool
