//===- FinalOutcome.h - Outcome of an unsuccessful request ------*- C++ -*-===//
//
// The only place that decides between an answer, not run and unknown for a
// request that ends while none of its tries is in flight.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_FINALOUTCOME_H
#define POLLENSPOOL_DISPATCH_FINALOUTCOME_H

#include "dispatch/TicketTable.h"

namespace pollenspool {

/// Why a request is ended while no try is in flight. A retry delay of 0 stands
/// for the default of the reason.
struct AbandonCause {
  Reason m_Reason = Reason::None;
  Duration m_RetryAfter{0};
};

/// The outcome of \p Record, which has no try in flight: the last answer with
/// an error status if there is one, unknown if a try ended so or an earlier
/// attempt through another entry instance may have run, else not run. Thread
/// safe.
Outcome finalOutcome(const TicketRecord &Record, const AbandonCause &Why);

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_FINALOUTCOME_H
