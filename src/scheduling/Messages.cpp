//===- Messages.cpp - Inputs and orders of the scheduler ------------------===//

#include "scheduling/Messages.h"
#include <array>

namespace pollenspool {

std::string_view orderResultName(OrderResult R) {
  static constexpr std::array<std::string_view, 12> Names = {
      "done",       "fenced",     "stale_run",     "late",
      "no_room",    "bad_ticket", "invalid",       "refusing",
      "other_life", "not_sent",   "no_connection", "unknown"};
  return Names[static_cast<std::size_t>(R)];
}

std::string taskName(const TaskId &Id) {
  return Id.m_Job.m_Text + "." + std::to_string(Id.m_Occurrence) + "." +
         std::to_string(Id.m_Step) + "." + std::to_string(Id.m_Index);
}

std::string runName(const RunId &Id) {
  return taskName(Id.m_Task) + "#" + std::to_string(Id.m_Number);
}

std::string_view endKindName(EndKind K) {
  static constexpr std::array<std::string_view, 6> Names = {
      "done", "failed", "stopped", "lapsed", "broken", "alone"};
  return Names[static_cast<std::size_t>(K)];
}

std::string_view runLossName(RunLoss L) {
  static constexpr std::array<std::string_view, 5> Names = {
      "not_listed", "not_started", "lease_expired", "server_crashed",
      "server_ended"};
  return Names[static_cast<std::size_t>(L)];
}

} // namespace pollenspool
