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
  Out.m_RetryAfter =
      std::chrono::ceil<std::chrono::milliseconds>(Why.m_RetryAfter);
  return Out;
}

} // namespace pollenspool
