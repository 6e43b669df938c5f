//===- Admission.cpp - Whether a request may wait -------------------------===//

#include "admission/Admission.h"
#include <algorithm>
#include <array>

namespace pollenspool {

namespace {

/// Shares of the queue and of the slots that a class may take.
struct ClassShare {
  double m_Queue;
  double m_Slots;
};

constexpr std::array<ClassShare, UrgencyClassCount> ClassShares = {
    {{1.0, 1.0}, {0.85, 1.0}, {0.5, 0.75}}};

constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MaxRetryAfter = std::chrono::seconds(30);

std::size_t shareOf(std::size_t Whole, double Share) {
  auto Part = static_cast<std::size_t>(static_cast<double>(Whole) * Share);
  return std::max<std::size_t>(Part, 1);
}

/// Time until \p Count slots have come free.
Duration drainTime(const AdmissionView &View, std::size_t Count) {
  auto Slots = static_cast<long>(std::max<std::size_t>(View.m_Capacity, 1));
  return View.m_SlotTime * static_cast<long>(Count) / Slots;
}

Duration waitTime(const AdmissionView &View) {
  std::size_t Before = View.m_Ahead + View.m_InFlight;
  if (Before < View.m_Capacity)
    return Duration(0);
  return drainTime(View, Before - View.m_Capacity + 1);
}

AdmissionVerdict refuse(Reason Why, Duration RetryAfter) {
  return {Admission::Refuse, Why,
          std::clamp(RetryAfter, MinRetryAfter, MaxRetryAfter)};
}

} // namespace

AdmissionVerdict judgeAdmission(const AdmissionView &View) {
  if (View.m_ServiceTime >= View.m_Remaining)
    return {Admission::Refuse, Reason::DeadlineTooShort, Duration(0)};
  Duration Finish = waitTime(View) + View.m_ServiceTime;
  if (Finish > View.m_Remaining)
    return refuse(Reason::DeadlineTooShort, Finish - View.m_Remaining);
  std::size_t Places = placesFor(View.m_Class, View.m_QueueBound);
  if (View.m_Queued < Places)
    return {};
  if (View.m_HasVictim)
    return {Admission::AdmitForVictim, Reason::None, Duration(0)};
  return refuse(Reason::QueueFull, drainTime(View, View.m_Queued - Places + 1));
}

std::size_t placesFor(UrgencyClass Class, std::size_t Bound) {
  return shareOf(Bound, ClassShares[static_cast<std::size_t>(Class)].m_Queue);
}

std::size_t slotsFor(UrgencyClass Class, std::size_t Capacity) {
  return shareOf(Capacity,
                 ClassShares[static_cast<std::size_t>(Class)].m_Slots);
}

} // namespace pollenspool
