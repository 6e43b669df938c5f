//===- ClosingOutcome.h - The truth of a request given up on ----*- C++ -*-===//
//
// One place decides between an answer, not run and unknown.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_DISPATCH_CLOSINGOUTCOME_H
#define POLLENSPOOL_DISPATCH_CLOSINGOUTCOME_H

#include "dispatch/TicketTable.h"

namespace pollenspool {

/// Why a request is given up on while no try is in flight.
struct GiveUp {
  Reason m_Reason = Reason::None;
  Duration m_RetryAfter{0};
};

/// The outcome of \p Record, which has no try in flight: the last answer with
/// an error status if there is one, unknown if a try ended so or an earlier
/// attempt through another entry instance may have run, else not run. Thread
/// safe.
Outcome closingOutcome(const TicketRecord &Record, const GiveUp &Why);

} // namespace pollenspool

#endif // POLLENSPOOL_DISPATCH_CLOSINGOUTCOME_H
