//===- OrganisationView.h - Organisations as operators see them -*- C++ -*-===//

#ifndef POLLENSPOOL_ENTRY_ORGANISATIONVIEW_H
#define POLLENSPOOL_ENTRY_ORGANISATIONVIEW_H

#include "scheduling/Scheduler.h"
#include <prometheus/metric_family.h>

namespace pollenspool {

/// What one organisation has running and waiting.
struct OrganisationStatus {
  OrganisationName m_Name;
  std::int64_t m_RunningMilliCores = 0;
  std::int64_t m_CapMilliCores = 0;
  double m_Weight = 0;
  /// Accepted jobs of which no task has started, and all others.
  std::uint32_t m_WaitingJobs = 0;
  std::uint32_t m_RunningJobs = 0;
};

/// All organisations that have jobs or are configured, by name. Not thread
/// safe.
std::vector<OrganisationStatus> listOrganisations(Scheduler &Core);

/// Metrics of the organisations. Only the first ones by name are shown under
/// their names, and the others together, to bound the number of time series.
/// Thread safe.
std::vector<prometheus::MetricFamily>
organisationFamilies(const std::vector<OrganisationStatus> &Organisations);

} // namespace pollenspool

#endif // POLLENSPOOL_ENTRY_ORGANISATIONVIEW_H
