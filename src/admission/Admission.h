//===- Admission.h - Admission decision for one request ---------*- C++ -*-===//
//
// Decides from the queue length and the measured service times whether a
// request can meet its deadline. A request that cannot is refused at once, with
// a retry delay.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMISSION_ADMISSION_H
#define POLLENSPOOL_ADMISSION_ADMISSION_H

#include "base/Time.h"
#include "request/Request.h"

namespace pollenspool {

/// The state of the pool and the request that an admission decision uses.
struct AdmissionInput {
  UrgencyClass m_Class = UrgencyClass::Normal;
  /// Time left until the deadline of the request.
  Duration m_Remaining{0};
  /// Time within which most tries of the service finish.
  Duration m_ServiceTime{0};
  /// Mean time for which one try occupies a slot of the pool.
  Duration m_SlotTime{0};
  /// Tries of this entry instance that the pool may have in flight, and those
  /// that are in flight.
  std::size_t m_Capacity = 0;
  std::size_t m_InFlight = 0;
  /// Maximum queue length, current queue length, and number of queued requests
  /// that would start before this one.
  std::size_t m_QueueLimit = 0;
  std::size_t m_Queued = 0;
  std::size_t m_Ahead = 0;
  /// True if a queued request of a less urgent class can be evicted for this
  /// one.
  bool m_CanEvict = false;
};

enum class Admission : std::uint8_t { Admit, AdmitWithEviction, Refuse };

/// An admission decision. The reason and the retry delay are set for Refuse
/// only. A retry delay of 0 stands for the default of the reason.
struct AdmissionDecision {
  Admission m_Decision = Admission::Admit;
  Reason m_Reason = Reason::None;
  Duration m_RetryAfter{0};
};

/// Decides on one request. Thread safe.
AdmissionDecision decideAdmission(const AdmissionInput &Input);

/// Queue length, out of \p QueueLimit, up to which requests of \p Class are
/// admitted. At least 1. Thread safe.
std::size_t classQueueLimit(UrgencyClass Class, std::size_t QueueLimit);

/// Slots, out of \p Capacity, that requests of \p Class may occupy at once. At
/// least 1, so that each class makes progress. Thread safe.
std::size_t classSlotLimit(UrgencyClass Class, std::size_t Capacity);

} // namespace pollenspool

#endif // POLLENSPOOL_ADMISSION_ADMISSION_H
