//===- StartEvidence.h - Whether a run has begun ----------------*- C++ -*-===//
//
// A task may only be blamed for the crash of a server on which it has run, or
// may have run. These tables say what each result of a start order shows about
// that, and what follows when the server has ended.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_SCHEDULING_STARTEVIDENCE_H
#define POLLENSPOOL_SCHEDULING_STARTEVIDENCE_H

#include "scheduling/Messages.h"

namespace pollenspool {

/// What is known about whether a run has begun on its server.
enum class StartEvidence : std::uint8_t {
  /// The start order has no result yet.
  Pending,
  /// The order was not carried out, and will not be.
  NotBegun,
  /// The order got no answer, so it may have been carried out.
  MayHaveBegun,
  /// The server has confirmed the order, or has listed the run.
  Begun,
};

/// What the result of a start order shows about its run. Thread safe.
StartEvidence evidenceOf(OrderResult R);

/// The name of \p E in logs. Thread safe.
std::string_view startEvidenceName(StartEvidence E);

/// What becomes of a run that its server does not have any more, or that cannot
/// be known to be there.
enum class LossVerdict : std::uint8_t {
  /// The result of the start order decides.
  AwaitResult,
  /// The run never existed.
  NotStarted,
  /// The run is over, and nothing is held against its task.
  Lost,
  /// The run is over, and its task may have crashed the server.
  Crashed,
};

/// How a server became unreachable.
enum class ContactLoss : std::uint8_t {
  /// Calls to it timed out. Its host or the network may have failed before it
  /// received them.
  TimedOut,
  /// Connections to it ended while they were in use, so that it was alive
  /// shortly before.
  ConnectionEnded,
};

/// The verdict on a run of which \p Start is known, given why it is over and,
/// if its server has crashed, how that was noticed. Thread safe.
LossVerdict verdictOn(StartEvidence Start, RunLoss Loss, ContactLoss Contact);

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_STARTEVIDENCE_H
