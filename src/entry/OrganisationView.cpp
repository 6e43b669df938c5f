//===- OrganisationView.cpp - Organisations as operators see them ---------===//

#include "entry/OrganisationView.h"

namespace pollenspool {

namespace {

/// Number of organisations with time series of their own.
constexpr std::size_t MaxNamedOrganisations = 32;
constexpr char OtherOrganisations[] = "other";

struct Gauge {
  const char *m_Name;
  const char *m_Help;
  double (*m_GetValue)(const OrganisationStatus &);
};

constexpr Gauge Gauges[] = {
    {"pollenspool_organisation_running_millicores",
     "Cores that tasks of the organisation require, running or about to start.",
     [](const OrganisationStatus &O) {
       return static_cast<double>(O.m_RunningMilliCores);
     }},
    {"pollenspool_organisation_cap_millicores",
     "Cores that the organisation may have running; 0: unlimited.",
     [](const OrganisationStatus &O) {
       return static_cast<double>(O.m_CapMilliCores);
     }},
    {"pollenspool_organisation_waiting_jobs",
     "Accepted jobs of the organisation of which no task has started.",
     [](const OrganisationStatus &O) {
       return static_cast<double>(O.m_WaitingJobs);
     }},
    {"pollenspool_organisation_running_jobs",
     "Accepted jobs of the organisation of which a task has started.",
     [](const OrganisationStatus &O) {
       return static_cast<double>(O.m_RunningJobs);
     }},
};

prometheus::ClientMetric makeMetric(const std::string &Name, double Value) {
  prometheus::ClientMetric Metric;
  Metric.gauge.value = Value;
  Metric.label.push_back({"organisation", Name});
  return Metric;
}

prometheus::MetricFamily
makeFamily(const Gauge &G, const std::vector<OrganisationStatus> &All) {
  prometheus::MetricFamily Family;
  Family.name = G.m_Name;
  Family.help = G.m_Help;
  Family.type = prometheus::MetricType::Gauge;
  double Others = 0;
  for (std::size_t N = 0; N < All.size(); ++N)
    if (N < MaxNamedOrganisations)
      Family.metric.push_back(
          makeMetric(All[N].m_Name.m_Text, G.m_GetValue(All[N])));
    else
      Others += G.m_GetValue(All[N]);
  if (All.size() > MaxNamedOrganisations)
    Family.metric.push_back(makeMetric(OtherOrganisations, Others));
  return Family;
}

} // namespace

std::vector<OrganisationStatus> listOrganisations(Scheduler &Core) {
  std::map<OrganisationName, OrganisationStatus> All;
  for (const auto &[Name, Account] : Core.organisations().all()) {
    OrganisationStatus &O = All[Name];
    O.m_Name = Name;
    O.m_RunningMilliCores = Account.m_Charged.m_MilliCores;
    O.m_CapMilliCores = Account.m_Cap.m_MilliCores;
    O.m_Weight = Account.m_Weight;
  }
  for (const auto &[Id, Job] : Core.jobs().all())
    if (Job->m_Account) {
      OrganisationStatus &O = All[Job->m_Account->m_Name];
      ++(Job->m_HasBegun ? O.m_RunningJobs : O.m_WaitingJobs);
    }
  std::vector<OrganisationStatus> Out;
  for (auto &[Name, O] : All)
    Out.push_back(std::move(O));
  return Out;
}

std::vector<prometheus::MetricFamily>
organisationFamilies(const std::vector<OrganisationStatus> &Organisations) {
  std::vector<prometheus::MetricFamily> Families;
  if (!Organisations.empty())
    for (const Gauge &G : Gauges)
      Families.push_back(makeFamily(G, Organisations));
  return Families;
}

} // namespace pollenspool
