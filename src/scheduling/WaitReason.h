//===- WaitReason.h - Reasons why a job waits -------------------*- C++ -*-===//

#ifndef POLLENSPOOL_SCHEDULING_WAITREASON_H
#define POLLENSPOOL_SCHEDULING_WAITREASON_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace pollenspool {

/// Why the first waiting task of a job has not started.
enum class WaitReason : std::uint8_t {
  /// It does not wait.
  None,
  /// The job has ended, which the store does not show yet.
  EndBeingRecorded,
  /// Its next occurrence is not due yet.
  NotDue,
  /// No task has a run, although unfinished ones could have.
  NoTaskReady,
  /// The record of a start has not been written yet.
  StartBeingRecorded,
  /// The same, after planned starts were given up because their record took
  /// too long.
  StartPlannedAgain,
  /// The store has not confirmed that this leader still leads.
  TermUnconfirmed,
  /// The view of the live jobs is too old to tell that the job is not
  /// cancelled.
  JobViewUnconfirmed,
  /// An earlier leader may have started it on a server that has not answered.
  EarlierLeaderRuns,
  /// The delay after its last run is not over.
  PauseAfterRun,
  /// It is suspected of crashing servers and waits for one of its own.
  Isolation,
  /// The cap of its organisation leaves no room.
  OrganisationCap,
  /// No server of the pool may run it, whatever is free.
  NoSuitableServer,
  /// No server of the pool can take tasks.
  NoUsableServer,
  // The furthest that any usable server gets, in the order of the checks.
  NoCores,
  NoMemory,
  NoGpu,
  NoLabel,
  /// Servers with room are kept free for suspected tasks.
  HeldForSuspects,
  /// Servers with room may take no more tasks of the step, or are on probation.
  ServerLimit,
  NoTicket,
  /// Not all members of its gang are ready or find room at the same time.
  GangIncomplete,
  AboutToStart,
  /// Not determined, because finding out would have taken too long.
  NotExamined,
};

inline constexpr std::size_t WaitReasonCount =
    static_cast<std::size_t>(WaitReason::NotExamined) + 1;

/// The name of \p R in logs and metrics. Thread safe.
std::string_view waitReasonName(WaitReason R);
/// Describes \p R for operators. Thread safe.
std::string_view waitReasonText(WaitReason R);

} // namespace pollenspool

#endif // POLLENSPOOL_SCHEDULING_WAITREASON_H
