//===- Request.cpp - A request of a caller and its outcome ----------------===//

#include "request/Request.h"
#include <array>

namespace pollenspool {

namespace {

constexpr std::array<std::string_view, UrgencyClassCount> UrgencyNames = {
    "urgent", "normal", "nightly"};

constexpr std::array<std::string_view, ReasonCount> ReasonNames = {
    "none",
    "unknown_service",
    "queue_full",
    "deadline_too_short",
    "deadline_passed_in_queue",
    "shed_for_urgent_work",
    "no_instance",
    "pool_unreachable",
    "quota_exceeded",
    "cancelled",
    "draining",
    "retry_budget_spent",
    "attempts_spent",
    "peer_unreachable",
    "bad_request",
    "claim_refused_not_owner",
    "backend_connection_lost",
    "backend_timeout",
    "backend_truncated",
    "backend_unframed",
    "backend_mismatch",
    "peer_connection_lost",
    "cancelled_in_flight",
    "claimed_elsewhere",
    "claim_in_progress",
    "claim_unavailable",
    "claim_owner_unreachable",
    "claim_owner_recovering",
    "repeat_not_vouched",
};

} // namespace

std::string_view urgencyClassName(UrgencyClass Class) {
  return UrgencyNames[static_cast<std::size_t>(Class)];
}

std::string_view reasonName(Reason R) {
  return ReasonNames[static_cast<std::size_t>(R)];
}

} // namespace pollenspool
