//===- MetricsPage.cpp - Metrics in the Prometheus text format ------------===//

#include "admin/MetricsPage.h"
#include <fstream>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>
#include <unistd.h>

namespace pollenspool {

namespace {

using prometheus::MetricType;

double seconds(const timeval &Time) {
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_usec) / 1e6;
}

} // namespace

const std::vector<MetricInfo> &metricCatalogue() {
  static const std::vector<MetricInfo> Catalogue = {
      {"pollenspool_not_run_total", MetricType::Counter, "reason",
       "requests that provably did not run"},
      {"pollenspool_unknown_total", MetricType::Counter, "reason",
       "requests whose outcome is unknown"},
      {"pollenspool_retries_total", MetricType::Counter, "reason",
       "tries after the first, by the reason of the try before"},
      {"pollenspool_submitted_total", MetricType::Counter, "class",
       "requests taken in"},
      {"pollenspool_answered_total", MetricType::Counter, "class",
       "requests answered by a backend server"},
      {"pollenspool_refused_total", MetricType::Counter, "class",
       "requests refused as not run"},
      {"pollenspool_tries_total", MetricType::Counter, "",
       "tries at backend servers"},
      {"pollenspool_forwards_total", MetricType::Counter, "",
       "requests sent to another data centre"},
      {"pollenspool_late_results_total", MetricType::Counter, "",
       "results of tries that had been given up"},
      {"pollenspool_ejections_total", MetricType::Counter, "",
       "instances taken out of routing as failing"},
      {"pollenspool_probes_total", MetricType::Counter, "",
       "tries at ejected instances"},
      {"pollenspool_queued", MetricType::Gauge, "class",
       "requests that wait for an instance"},
      {"pollenspool_in_flight", MetricType::Gauge, "",
       "requests at backend servers"},
      {"pollenspool_ejected", MetricType::Gauge, "",
       "instances out of routing as failing"},
      {"pollenspool_open", MetricType::Gauge, "",
       "requests without an outcome"},
      {"pollenspool_document_version", MetricType::Gauge, "",
       "configuration version in force"},
      {"pollenspool_platform_calls_total", MetricType::Counter, "outcome",
       "calls of the platform"},
      {"pollenspool_platform_polls_total", MetricType::Counter, "outcome",
       "reads of the platform's changes and list"},
      {"pollenspool_platform_reachable", MetricType::Gauge, "",
       "1 if the last poll succeeded"},
      {"pollenspool_notices_taken_total", MetricType::Counter, "",
       "notices of instances from peers"},
      {"pollenspool_unreadable_rows_total", MetricType::Counter, "",
       "table rows that could not be read"},
      {"pollenspool_peer_messages_out_total", MetricType::Counter, "path",
       "calls and answers sent to peers"},
      {"pollenspool_peer_bytes_out_total", MetricType::Counter, "path",
       "bytes of calls and answers sent to peers"},
      {"pollenspool_peer_wire_bytes_out_total", MetricType::Counter, "",
       "all bytes sent to peers"},
      {"pollenspool_peer_wire_bytes_in_total", MetricType::Counter, "",
       "all bytes received from peers"},
      {"pollenspool_peer_late_answers_total", MetricType::Counter, "",
       "answers of peers after their caller had given up"},
      {"pollenspool_claims_total", MetricType::Counter, "result",
       "claims of request IDs"},
      {"pollenspool_claims_may_vouch", MetricType::Gauge, "",
       "1 if claims are granted while the platform is away"},
      {"pollenspool_claims_unsynced", MetricType::Gauge, "",
       "claims granted while the platform was away and not yet in its table"},
      {"pollenspool_resident_bytes", MetricType::Gauge, "",
       "resident memory of the process"},
      {"pollenspool_cpu_seconds_total", MetricType::Counter, "",
       "processor time of the process"},
  };
  return Catalogue;
}

MetricsPage::MetricsPage() {
  for (const MetricInfo &Info : metricCatalogue()) {
    prometheus::MetricFamily Family;
    Family.name = std::string(Info.m_Name);
    Family.help = std::string(Info.m_Help);
    Family.type = Info.m_Type;
    m_Families.push_back(std::move(Family));
  }
}

void MetricsPage::add(Metric Which, double Value, std::string_view LabelValue) {
  auto Index = static_cast<std::size_t>(Which);
  const MetricInfo &Info = metricCatalogue()[Index];
  prometheus::ClientMetric Sample;
  if (!Info.m_Label.empty())
    Sample.label.push_back(
        {std::string(Info.m_Label), std::string(LabelValue)});
  if (Info.m_Type == MetricType::Counter)
    Sample.counter.value = Value;
  else
    Sample.gauge.value = Value;
  m_Families[Index].metric.push_back(std::move(Sample));
}

std::string MetricsPage::render() const {
  std::vector<prometheus::MetricFamily> NonEmpty;
  for (const prometheus::MetricFamily &Family : m_Families)
    if (!Family.metric.empty())
      NonEmpty.push_back(Family);
  return prometheus::TextSerializer().Serialize(NonEmpty);
}

ProcessUsage processUsage() {
  ProcessUsage Usage;
  std::ifstream Statm("/proc/self/statm");
  double Total = 0;
  double ResidentPages = 0;
  if (Statm >> Total >> ResidentPages)
    Usage.m_ResidentBytes =
        ResidentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
  rusage Times{};
  getrusage(RUSAGE_SELF, &Times);
  Usage.m_CpuSeconds = seconds(Times.ru_utime) + seconds(Times.ru_stime);
  return Usage;
}

} // namespace pollenspool
