//===- MetricsPage.h - Metrics in the Prometheus text format ----*- C++ -*-===//
//
// Each component keeps its own counters; a scrape collects their current
// values. The catalogue of names is checked against docs/METRICS.md.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_ADMIN_METRICSPAGE_H
#define POLLENSPOOL_ADMIN_METRICSPAGE_H

#include <cstdint>
#include <prometheus/metric_family.h>
#include <string>
#include <string_view>
#include <vector>

namespace pollenspool {

/// Name, type, label and help text of one metric. The label is empty if the
/// metric has none.
struct MetricInfo {
  std::string_view m_Name;
  prometheus::MetricType m_Type;
  std::string_view m_Label;
  std::string_view m_Help;
};

/// Metrics of this process, in the order in which a scrape lists them.
enum class Metric : std::size_t {
  NotRun,
  Unknown,
  Retries,
  Submitted,
  Answered,
  Refused,
  Tries,
  Forwards,
  LateResults,
  Ejections,
  Probes,
  Queued,
  InFlight,
  Ejected,
  Open,
  DocumentVersion,
  PlatformCalls,
  PlatformPolls,
  PlatformReachable,
  NoticesTaken,
  UnreadableRows,
  PeerMessagesOut,
  PeerBytesOut,
  PeerWireBytesOut,
  PeerWireBytesIn,
  PeerLateAnswers,
  Claims,
  ClaimsMayVouch,
  ClaimsUnsynced,
  ResidentBytes,
  CpuSeconds,
  Count,
};

/// Returns the description of every metric, indexed by Metric. Thread safe.
const std::vector<MetricInfo> &metricCatalogue();

/// The metrics of one scrape. Not thread safe.
class MetricsPage {
public:
  MetricsPage();
  /// Adds a sample; \p LabelValue is empty for metrics without a label.
  void add(Metric Which, double Value, std::string_view LabelValue = {});
  /// Returns the Prometheus text; metrics without a sample are omitted.
  std::string render() const;

private:
  std::vector<prometheus::MetricFamily> m_Families;
};

/// Resident memory in bytes and CPU time in seconds of this process.
struct ProcessUsage {
  double m_ResidentBytes = 0;
  double m_CpuSeconds = 0;
};

/// Reads the usage of this process from the operating system. Thread safe.
ProcessUsage processUsage();

} // namespace pollenspool

#endif // POLLENSPOOL_ADMIN_METRICSPAGE_H
