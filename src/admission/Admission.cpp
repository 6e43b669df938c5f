//===- Admission.cpp - Admission decision for one request -----------------===//

#include "admission/Admission.h"
#include <algorithm>
#include <array>

namespace pollenspool {

namespace {

/// Fractions of a pool's queue limit and slots that one class may use.
struct ClassShare {
  double m_Queue;
  double m_Slots;
};

constexpr std::array<ClassShare, UrgencyClassCount> ClassShares = {
    {{1.0, 1.0}, {0.85, 1.0}, {0.5, 0.75}}};

constexpr Duration MinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration MaxRetryAfter = std::chrono::seconds(30);

std::size_t scaledLimit(std::size_t Total, double Share) {
  auto Scaled = static_cast<std::size_t>(static_cast<double>(Total) * Share);
  return std::max<std::size_t>(Scaled, 1);
}

/// Expected time until \p Count slots become free.
Duration timeToFreeSlots(const AdmissionInput &Input, std::size_t Count) {
  auto Slots = static_cast<long>(std::max<std::size_t>(Input.m_Capacity, 1));
  return Input.m_SlotTime * static_cast<long>(Count) / Slots;
}

Duration queueWaitTime(const AdmissionInput &Input) {
  std::size_t Before = Input.m_Ahead + Input.m_InFlight;
  if (Before < Input.m_Capacity)
    return Duration(0);
  return timeToFreeSlots(Input, Before - Input.m_Capacity + 1);
}

AdmissionDecision refuse(Reason Why, Duration RetryAfter) {
  return {Admission::Refuse, Why,
          std::clamp(RetryAfter, MinRetryAfter, MaxRetryAfter)};
}

} // namespace

AdmissionDecision decideAdmission(const AdmissionInput &Input) {
  if (Input.m_ServiceTime >= Input.m_Remaining)
    return {Admission::Refuse, Reason::DeadlineTooShort, Duration(0)};
  Duration Finish = queueWaitTime(Input) + Input.m_ServiceTime;
  if (Finish > Input.m_Remaining)
    return refuse(Reason::DeadlineTooShort, Finish - Input.m_Remaining);
  std::size_t Limit = classQueueLimit(Input.m_Class, Input.m_QueueLimit);
  if (Input.m_Queued < Limit)
    return {};
  if (Input.m_CanEvict)
    return {Admission::AdmitWithEviction, Reason::None, Duration(0)};
  return refuse(Reason::QueueFull,
                timeToFreeSlots(Input, Input.m_Queued - Limit + 1));
}

std::size_t classQueueLimit(UrgencyClass Class, std::size_t QueueLimit) {
  return scaledLimit(QueueLimit,
                     ClassShares[static_cast<std::size_t>(Class)].m_Queue);
}

std::size_t classSlotLimit(UrgencyClass Class, std::size_t Capacity) {
  return scaledLimit(Capacity,
                     ClassShares[static_cast<std::size_t>(Class)].m_Slots);
}

} // namespace pollenspool
