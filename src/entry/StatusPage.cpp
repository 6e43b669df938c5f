//===- StatusPage.cpp - The operators' status page ------------------------===//

#include "entry/StatusPage.h"
#include "base/JsonText.h"
#include "entry/OrganisationView.h"
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

using Json = nlohmann::ordered_json;

Json leadership(const Entry &Service) {
  const Leadership &Lead = Service.leadership();
  return {
      {"leads", Service.leader() != nullptr},
      {"leader", Lead.termRow().m_Leader},
      {"leader_at", Lead.renewal().m_Address},
      {"term", Lead.term()},
      {"config_version", Service.config() ? Service.config()->version() : 0}};
}

/// Number of jobs of one queue without and with a started task.
struct QueueCounts {
  std::size_t m_Waiting = 0;
  std::size_t m_Running = 0;
};

Json queues(const Entry &Service, Scheduler &Sched) {
  std::map<QueueName, QueueCounts> Counts;
  for (const auto &[Id, Job] : Sched.jobs().all())
    ++(Job->m_HasBegun ? Counts[Job->m_Spec.m_Queue].m_Running
                       : Counts[Job->m_Spec.m_Queue].m_Waiting);
  Json Rows = Json::array();
  for (const QueuePolicy &Q : Service.config()->queues()) {
    const QueueCounts &C = Counts[Q.m_Name];
    Rows.push_back({{"queue", Q.m_Name.m_Text},
                    {"pool", Q.m_Pool.m_Text},
                    {"waiting", C.m_Waiting},
                    {"running", C.m_Running}});
  }
  return Rows;
}

Json pools(const Entry &Service, Scheduler &Sched) {
  struct Counts {
    std::size_t m_Instances = 0, m_Servers = 0, m_NotResponding = 0, m_Slow = 0;
  };
  std::map<PoolName, Counts> All;
  for (const InstanceListing &L : Sched.instances())
    ++All[L.m_Pool].m_Instances;
  for (const auto &[Id, S] : Sched.servers().all()) {
    Counts &C = All[S.m_Registration.m_Pool];
    C.m_Servers += S.m_Registered;
    C.m_NotResponding += !S.m_Reachable;
    C.m_Slow += S.m_OnProbation;
  }
  auto Demand = Sched.demand();
  Json Rows = Json::array();
  for (const PoolPolicy &P : Service.config()->pools()) {
    const Counts &C = All[P.m_Name];
    const PoolDemand &D = Demand[P.m_Name];
    Rows.push_back({{"pool", P.m_Name.m_Text},
                    {"spare", P.m_Spare},
                    {"instances", C.m_Instances},
                    {"servers", C.m_Servers},
                    {"silent", C.m_NotResponding},
                    {"slow", C.m_Slow},
                    {"running_millicores", D.m_Running.m_MilliCores},
                    {"waiting_millicores", D.m_Ready.m_MilliCores},
                    {"capacity_millicores", D.m_Capacity.m_MilliCores}});
  }
  return Rows;
}

Json organisations(Scheduler &Sched) {
  Json Rows = Json::array();
  for (const OrganisationStatus &O : listOrganisations(Sched))
    Rows.push_back({{"organisation", O.m_Name.m_Text},
                    {"waiting", O.m_WaitingJobs},
                    {"running", O.m_RunningJobs},
                    {"running_millicores", O.m_RunningMilliCores},
                    {"cap_millicores", O.m_CapMilliCores},
                    {"weight", O.m_Weight}});
  return Rows;
}

Json waves(const FleetPlanner &Planner) {
  Json Rows = Json::array();
  for (const WaveOverview &W : Planner.waves())
    Rows.push_back({{"wave", W.m_Id.m_Text},
                    {"instances", W.m_Instances},
                    {"done", W.m_Done},
                    {"complete", W.m_Complete}});
  return Rows;
}

const char *stateName(JobState S) {
  static constexpr const char *Names[] = {"queued", "running", "completed",
                                          "failed", "cancelled"};
  return Names[static_cast<std::size_t>(S)];
}

Json steps(const LiveJob &Job) {
  Json Rows = Json::array();
  for (const auto &[Number, O] : Job.m_Occurrences)
    for (std::size_t N = 0; N < O.m_Steps.size(); ++N) {
      std::size_t Ready = 0, Runs = 0;
      for (const TaskState &T : O.m_Steps[N].m_Tasks) {
        Ready += T.m_Ready;
        Runs += T.m_Runs.size();
      }
      Rows.push_back({{"occurrence", Number},
                      {"step", N},
                      {"tasks", O.m_Steps[N].m_Tasks.size()},
                      {"done", O.m_Steps[N].m_DoneCount},
                      {"ready", Ready},
                      {"runs", Runs}});
    }
  return Rows;
}

Json rules(const LiveJob &Job) {
  const LiveQueue &Queue = *Job.m_Queue;
  return {{"queue_configured", Queue.m_IsConfigured},
          {"config_version", Queue.m_Rules.m_ConfigVersion},
          {"pool", Job.pool().m_Text},
          {"attempts", Job.m_Attempts},
          {"priority", Job.m_Priority},
          {"advice", Queue.m_Rules.m_Advice.has_value()}};
}

} // namespace

std::string renderOverview(const Entry &Service, TimePoint Now) {
  Json Page = leadership(Service);
  Page["ready"] = Service.isReady();
  if (Leader *L = Service.leader(); L && Service.config()) {
    Page["queues"] = queues(Service, L->scheduler());
    Page["pools"] = pools(Service, L->scheduler());
    Page["organisations"] = organisations(L->scheduler());
    Page["waves"] = waves(L->planner());
    Page["term_certain"] = Service.leadership().isValid(Now);
  }
  return jsonText(Page);
}

std::string renderJob(const Entry &Service, const JobId &Id, TimePoint Now) {
  Leader *L = Service.leader();
  if (!L)
    return {};
  Json Page{{"job", Id.m_Text}};
  if (const LiveJob *Job = L->scheduler().jobs().find(Id)) {
    Page["queue"] = Job->m_Spec.m_Queue.m_Text;
    Page["state"] = stateName(Job->m_State);
    Page["rules"] = rules(*Job);
    Page["steps"] = steps(*Job);
  }
  Page["waits"] = L->waits().explain(Id, Now);
  return jsonText(Page);
}

} // namespace pollenspool
