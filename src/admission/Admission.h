//===- Admission.h - Whether a request may wait -----------------*- C++ -*-===//
//
// Decides at once from the queue and learned times, so that what cannot be done
// in time is refused with a time to come back.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMISSION_ADMISSION_H
#define POLLENSPOOL_ADMISSION_ADMISSION_H

#include "base/Time.h"
#include "request/Request.h"

namespace pollenspool {

/// The pool as one request finds it.
struct AdmissionView {
  UrgencyClass m_Class = UrgencyClass::Normal;
  /// What is left of the request's deadline.
  Duration m_Remaining{0};
  /// Time that most requests of the service take.
  Duration m_ServiceTime{0};
  /// Mean time that a slot of the pool is taken.
  Duration m_SlotTime{0};
  /// Own tries that the pool can have in flight, and that it has.
  std::size_t m_Capacity = 0;
  std::size_t m_InFlight = 0;
  /// Places of the queue, those taken, and those that go first.
  std::size_t m_QueueBound = 0;
  std::size_t m_Queued = 0;
  std::size_t m_Ahead = 0;
  /// True if a less urgent request can be given up for this one.
  bool m_HasVictim = false;
};

enum class Admission : std::uint8_t { Admit, AdmitForVictim, Refuse };

/// A decision; the reason and the time to come back belong to Refuse.
struct AdmissionVerdict {
  Admission m_Decision = Admission::Admit;
  Reason m_Reason = Reason::None;
  Duration m_RetryAfter{0};
};

/// Decides on one request. Thread safe.
AdmissionVerdict judgeAdmission(const AdmissionView &View);

/// Places of a queue of \p Bound that requests of \p Class may bring it to.
/// Thread safe.
std::size_t placesFor(UrgencyClass Class, std::size_t Bound);

/// Slots of \p Capacity that requests of \p Class may hold at once; at least
/// one, so that each class makes progress. Thread safe.
std::size_t slotsFor(UrgencyClass Class, std::size_t Capacity);

} // namespace pollenspool

#endif // POLLENSPOOL_ADMISSION_ADMISSION_H
