//===- WaitReason.cpp - Reasons why a job waits ---------------------------===//

#include "scheduling/WaitReason.h"
#include <array>

namespace pollenspool {

namespace {

struct ReasonInfo {
  std::string_view m_Name;
  std::string_view m_Text;
};

constexpr std::array<ReasonInfo, WaitReasonCount> Infos = {{
    {"none", "it does not wait"},
    {"end_being_recorded",
     "it has ended, which is being recorded in the store"},
    {"not_due", "its next occurrence is not due yet"},
    {"no_task_ready", "none of its unfinished tasks is ready or has a run"},
    {"start_being_recorded", "its start is being recorded in the store"},
    {"start_planned_again",
     "its start is being recorded in the store; earlier plans took too long"},
    {"term_unconfirmed",
     "the store has not confirmed that this leader still leads"},
    {"job_view_unconfirmed",
     "the store has not confirmed lately which jobs are cancelled"},
    {"earlier_leader_runs",
     "an earlier leader may have started it on a server that has not answered "
     "this leader"},
    {"pause_after_run", "the delay after its last run is not over"},
    {"isolation", "it waits for a server without tasks of other jobs"},
    {"organisation_cap", "the cap of its organisation leaves no room for it"},
    {"no_suitable_server", "no server of its pool may run it"},
    {"no_usable_server", "no server of its pool can take tasks now"},
    {"no_cores", "too few cores are free"},
    {"no_memory", "the servers with enough free cores lack memory"},
    {"no_gpu", "the servers with enough free cores and memory lack GPUs"},
    {"no_label", "the servers with room lack its label"},
    {"held_for_suspects", "the servers with room are kept for suspected tasks"},
    {"server_limit",
     "the servers with room take no more tasks of its step, or are on "
     "probation"},
    {"no_ticket", "the adviser has allowed no server with room yet"},
    {"gang_incomplete",
     "not all members of its gang are ready or find room at the same time"},
    {"about_to_start", "it is about to start"},
    {"not_examined", "not examined, because many jobs wait"},
}};

} // namespace

std::string_view waitReasonName(WaitReason R) {
  return Infos[static_cast<std::size_t>(R)].m_Name;
}

std::string_view waitReasonText(WaitReason R) {
  return Infos[static_cast<std::size_t>(R)].m_Text;
}

} // namespace pollenspool
