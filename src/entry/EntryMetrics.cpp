//===- EntryMetrics.cpp - Metrics of an entry instance --------------------===//

#include "entry/EntryMetrics.h"
#include "entry/OrganisationView.h"
#include "net/ProcessorTime.h"
#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace pollenspool {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

/// Bounds in seconds, from an answer out of the cache to a caller's longest
/// timeout.
const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0};

constexpr std::array<const char *, 4> CallNames = {"submit", "state", "cancel",
                                                   "waiting"};

/// Objects from which samples are read.
struct Sources {
  const Entry &m_Service;
  const HttpClients &m_Clients;

  HttpClientCounters http() const {
    HttpClientCounters Sum = m_Clients.m_Platform.counters();
    Sum += m_Clients.m_Backends.counters();
    return Sum;
  }
  SchedulerCounters scheduler() const {
    return m_Service.leader() ? m_Service.leader()->counters()
                              : SchedulerCounters{};
  }
  ProgressWriter::Counters records() const {
    return m_Service.leader() ? m_Service.leader()->recordCounters()
                              : ProgressWriter::Counters{};
  }
  const JobStoreCounters &jobStore() const {
    return m_Service.jobStoreCounters();
  }
};

/// A metric whose value is read when the page is rendered.
struct Sample {
  const char *m_Name;
  MetricType m_Type;
  const char *m_Help;
  double (*m_GetValue)(const Sources &);
};

double number(std::uint64_t Value) { return static_cast<double>(Value); }
double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

constexpr Sample Samples[] = {
    {"pollenspool_jobs_accepted_total", MetricType::Counter,
     "Jobs that this instance has stored.",
     [](const Sources &S) { return number(S.jobStore().m_Accepted); }},
    {"pollenspool_jobs_repeated_total", MetricType::Counter,
     "Submits of a job that was stored already.",
     [](const Sources &S) { return number(S.jobStore().m_Duplicates); }},
    {"pollenspool_jobs_not_stored_total", MetricType::Counter,
     "Submits that the store did not take.",
     [](const Sources &S) { return number(S.jobStore().m_NotStored); }},
    {"pollenspool_jobs_unsure_total", MetricType::Counter,
     "Submits of which the store did not say whether it took them.",
     [](const Sources &S) { return number(S.jobStore().m_OutcomeUnknown); }},
    {"pollenspool_jobs_refused_store_slow_total", MetricType::Counter,
     "Submits refused because the store would not have answered in time.",
     [](const Sources &S) { return number(S.jobStore().m_StoreSlow); }},
    {"pollenspool_submission_batches_total", MetricType::Counter,
     "Transactions of submitted jobs, each of which may hold several.",
     [](const Sources &S) { return number(S.jobStore().m_SubmissionBatches); }},
    {"pollenspool_cancellation_marks_total", MetricType::Counter,
     "IDs marked as cancelled that no job had.",
     [](const Sources &S) { return number(S.jobStore().m_CancellationMarks); }},
    {"pollenspool_cancellation_marks_refused_total", MetricType::Counter,
     "Cancellations refused because their organisation, or all together, had "
     "cancelled too many IDs that no job had.",
     [](const Sources &S) { return number(S.jobStore().m_MarksRefused); }},
    {"pollenspool_jobs_cancelled_total", MetricType::Counter,
     "Jobs cancelled through this instance.",
     [](const Sources &S) { return number(S.jobStore().m_Cancelled); }},
    {"pollenspool_state_reads_total", MetricType::Counter,
     "Requests for a job's state.",
     [](const Sources &S) { return number(S.jobStore().m_StateReads); }},
    {"pollenspool_state_cache_hits_total", MetricType::Counter,
     "Requests for a state that were answered from memory.",
     [](const Sources &S) { return number(S.jobStore().m_StateCacheHits); }},
    {"pollenspool_ready", MetricType::Gauge,
     "1 while the balancer may send callers here.",
     [](const Sources &S) { return S.m_Service.isReady() ? 1.0 : 0.0; }},
    {"pollenspool_leading", MetricType::Gauge, "1 while this instance leads.",
     [](const Sources &S) { return S.m_Service.leader() ? 1.0 : 0.0; }},
    {"pollenspool_term", MetricType::Gauge, "The newest term seen.",
     [](const Sources &S) { return number(S.m_Service.leadership().term()); }},
    {"pollenspool_config_version", MetricType::Gauge,
     "Version of the configuration in force.",
     [](const Sources &S) {
       return S.m_Service.config() ? number(S.m_Service.config()->version())
                                   : 0.0;
     }},
    {"pollenspool_config_age_seconds", MetricType::Gauge,
     "Time for which the configuration in force has not been confirmed to be "
     "the latest.",
     [](const Sources &S) {
       return toSeconds(S.m_Service.configFreshness().m_Age);
     }},
    {"pollenspool_config_outdated", MetricType::Gauge,
     "1 while a later configuration may be due on this instance.",
     [](const Sources &S) {
       return S.m_Service.configFreshness().m_IsOutdated ? 1.0 : 0.0;
     }},
    {"pollenspool_starts_total", MetricType::Counter,
     "Starts ordered in this term.",
     [](const Sources &S) { return number(S.scheduler().m_Starts); }},
    {"pollenspool_stops_total", MetricType::Counter,
     "Stops ordered in this term.",
     [](const Sources &S) { return number(S.scheduler().m_Stops); }},
    {"pollenspool_looks_total", MetricType::Counter,
     "Looks at backend servers in this term.",
     [](const Sources &S) { return number(S.scheduler().m_Polls); }},
    {"pollenspool_starts_without_room_total", MetricType::Counter,
     "Starts that a backend server refused for want of room.",
     [](const Sources &S) {
       return number(S.scheduler().m_StartsWithoutCapacity);
     }},
    {"pollenspool_starts_doubtful_total", MetricType::Counter,
     "Starts that were not answered.",
     [](const Sources &S) {
       return number(S.scheduler().m_UnconfirmedStarts);
     }},
    {"pollenspool_servers_lapsed_total", MetricType::Counter,
     "Times that a silent backend server's leases have run out.",
     [](const Sources &S) { return number(S.scheduler().m_LeasesExpired); }},
    {"pollenspool_runs_moved_total", MetricType::Counter,
     "Runs that stood still, stopped in this term to begin elsewhere.",
     [](const Sources &S) { return number(S.scheduler().m_RelocatedRuns); }},
    {"pollenspool_server_crashes_total", MetricType::Counter,
     "Backend servers that crashed in this term while they had runs.",
     [](const Sources &S) { return number(S.scheduler().m_ServerCrashes); }},
    {"pollenspool_incomplete_lists_total", MetricType::Counter,
     "Answers of backend servers in this term that left run ends out.",
     [](const Sources &S) { return number(S.scheduler().m_IncompleteLists); }},
    {"pollenspool_unresolved_runs_total", MetricType::Counter,
     "Runs that such an answer did not name. Their ends follow later.",
     [](const Sources &S) { return number(S.scheduler().m_UnresolvedRuns); }},
    {"pollenspool_suspected_runs_total", MetricType::Counter,
     "Runs lost in such crashes whose tasks are suspected of them.",
     [](const Sources &S) { return number(S.scheduler().m_SuspectedRuns); }},
    {"pollenspool_suspect_starts_total", MetricType::Counter,
     "Starts of suspected tasks in this term.",
     [](const Sources &S) { return number(S.scheduler().m_SuspectStarts); }},
    {"pollenspool_suspect_starts_shared_total", MetricType::Counter,
     "Starts of suspected tasks on servers with tasks of other jobs, because "
     "no server became free.",
     [](const Sources &S) {
       return number(S.scheduler().m_SharedSuspectStarts);
     }},
    {"pollenspool_crashing_tasks_total", MetricType::Counter,
     "Tasks given up in this term because backend servers crashed under them.",
     [](const Sources &S) {
       return number(S.scheduler().m_CrashingTasksGivenUp);
     }},
    {"pollenspool_records_refused_total", MetricType::Counter,
     "Transactions with the progress of jobs that the store refused for good.",
     [](const Sources &S) { return number(S.records().m_Refused); }},
    {"pollenspool_jobs_unrecordable_total", MetricType::Counter,
     "Jobs failed in this term because the store refused their progress.",
     [](const Sources &S) { return number(S.records().m_JobsGivenUp); }},
    {"pollenspool_jobs_paged_total", MetricType::Counter,
     "Jobs whose progress was moved to several rows in this term.",
     [](const Sources &S) { return number(S.records().m_JobsPaged); }},
    {"pollenspool_pages_written_total", MetricType::Counter,
     "Pages of the progress of jobs that were written in this term.",
     [](const Sources &S) { return number(S.records().m_PagesWritten); }},
    {"pollenspool_paces_total", MetricType::Counter,
     "Changes of the pace of filling runs in this term.",
     [](const Sources &S) { return number(S.scheduler().m_Paces); }},
    {"pollenspool_advice_calls_total", MetricType::Counter,
     "Calls of the placement adviser in this term.",
     [](const Sources &S) { return number(S.scheduler().m_AdviceCalls); }},
    {"pollenspool_placement_passes_total", MetricType::Counter,
     "Placement passes in this term.",
     [](const Sources &S) { return number(S.scheduler().m_Passes); }},
    {"pollenspool_jobs_examined_total", MetricType::Counter,
     "Jobs whose tasks a placement pass of this term tried to place.",
     [](const Sources &S) { return number(S.scheduler().m_JobsExamined); }},
    {"pollenspool_servers_examined_total", MetricType::Counter,
     "Servers that were compared in this term to place tasks.",
     [](const Sources &S) { return number(S.scheduler().m_ServersExamined); }},
    {"pollenspool_cpu_seconds_total", MetricType::Counter,
     "Processor time of the process.",
     [](const Sources &) { return toSeconds(processorTime()); }},
    {"pollenspool_cpu_quota_used", MetricType::Gauge,
     "Processor time of the last complete second relative to the quota.",
     [](const Sources &S) { return S.m_Service.load().shareUsed(); }},
    {"pollenspool_runs_adopted_total", MetricType::Counter,
     "Runs of earlier leaders taken over in this term.",
     [](const Sources &S) { return number(S.scheduler().m_Adopted); }},
    {"pollenspool_http_calls_total", MetricType::Counter,
     "HTTP calls made to the platform and to backend servers.",
     [](const Sources &S) { return number(S.http().m_Calls); }},
    {"pollenspool_http_connections_total", MetricType::Counter,
     "Connections opened for these calls.",
     [](const Sources &S) { return number(S.http().m_Connections); }},
    {"pollenspool_http_timeouts_total", MetricType::Counter,
     "Calls that were not answered in time.",
     [](const Sources &S) { return number(S.http().m_Timeouts); }},
    {"pollenspool_http_lost_total", MetricType::Counter,
     "Calls whose connection could not be made or broke.",
     [](const Sources &S) { return number(S.http().m_Lost); }},
    {"pollenspool_http_no_connection_total", MetricType::Counter,
     "Calls that failed because this process had no connection for them.",
     [](const Sources &S) { return number(S.http().m_NoConnection); }},
    {"pollenspool_http_evicted_total", MetricType::Counter,
     "Idle connections closed to make place for others.",
     [](const Sources &S) { return number(S.http().m_Evicted); }},
    {"pollenspool_http_unproven_total", MetricType::Counter,
     "Idle connections closed because a call to their peer timed out.",
     [](const Sources &S) { return number(S.http().m_Unproven); }},
    {"pollenspool_http_expired_total", MetricType::Counter,
     "Connections closed because they had been idle for too long.",
     [](const Sources &S) { return number(S.http().m_Expired); }},
    {"pollenspool_http_refused_total", MetricType::Counter,
     "Connections that a peer refused, or ended before its first reply.",
     [](const Sources &S) { return number(S.http().m_Refused); }},
    {"pollenspool_backend_connections", MetricType::Gauge,
     "Open connections to backend servers.",
     [](const Sources &S) {
       return number(S.m_Clients.m_Backends.openConnections());
     }},
    {"pollenspool_backend_calls_waiting", MetricType::Gauge,
     "Calls to backend servers that wait for a connection.",
     [](const Sources &S) {
       return number(S.m_Clients.m_Backends.queuedCalls());
     }},
};

MetricFamily makeFamily(const Sample &S, double Value) {
  MetricFamily Family;
  Family.name = S.m_Name;
  Family.help = S.m_Help;
  Family.type = S.m_Type;
  ClientMetric Metric;
  if (S.m_Type == MetricType::Counter)
    Metric.counter.value = Value;
  else
    Metric.gauge.value = Value;
  Family.metric.push_back(Metric);
  return Family;
}

MetricFamily waitFamily(const WaitMonitor::Report &Report) {
  MetricFamily Family;
  Family.name = "pollenspool_jobs_waiting";
  Family.help =
      "Jobs of which nothing has run for over two seconds, by reason.";
  Family.type = MetricType::Gauge;
  for (std::size_t N = 0; N < WaitReasonCount; ++N) {
    ClientMetric Metric;
    Metric.gauge.value = number(Report.m_Counts[N]);
    Metric.label.push_back(
        {"reason", std::string(waitReasonName(static_cast<WaitReason>(N)))});
    Family.metric.push_back(Metric);
  }
  return Family;
}

/// A family of counters with one sample per table of the store.
MetricFamily tableFamily(const StoreTraffic &Traffic, const char *Name,
                         const char *Help,
                         std::uint64_t (*GetValue)(const TableTraffic &)) {
  MetricFamily Family;
  Family.name = Name;
  Family.help = Help;
  Family.type = MetricType::Counter;
  for (const auto &[Table, T] : Traffic.tables()) {
    ClientMetric Metric;
    Metric.counter.value = number(GetValue(T));
    Metric.label.push_back({"table", Table});
    Family.metric.push_back(Metric);
  }
  return Family;
}

/// The message of \p Code in the form of a label value.
std::string reasonLabel(ErrorCode Code) {
  std::string Label(errorMessage(Code));
  std::replace(Label.begin(), Label.end(), ' ', '_');
  return Label;
}

/// A number of a server, by what it counts.
struct ServerSample {
  const char *m_Why;
  double (*m_GetValue)(const HttpServer &);
};

constexpr ServerSample ClosedSamples[] = {
    {"connections",
     [](const HttpServer &S) { return number(S.counters().m_ForConnections); }},
    {"memory",
     [](const HttpServer &S) { return number(S.counters().m_ForMemory); }},
    {"bad_request",
     [](const HttpServer &S) { return number(S.counters().m_BadRequests); }},
};

MetricFamily
closedConnectionsFamily(const std::vector<const HttpServer *> &Servers) {
  MetricFamily Family;
  Family.name = "pollenspool_connections_closed_total";
  Family.help = "Accepted connections closed because of a limit, by server and "
                "limit.";
  Family.type = MetricType::Counter;
  for (const HttpServer *Server : Servers)
    for (const ServerSample &S : ClosedSamples) {
      ClientMetric Metric;
      Metric.counter.value = S.m_GetValue(*Server);
      Metric.label.push_back({"server", Server->name()});
      Metric.label.push_back({"limit", S.m_Why});
      Family.metric.push_back(Metric);
    }
  return Family;
}

/// A family of gauges with one sample per server.
MetricFamily serverFamily(const std::vector<const HttpServer *> &Servers,
                          const char *Name, const char *Help,
                          std::size_t (HttpServer::*GetValue)() const) {
  MetricFamily Family;
  Family.name = Name;
  Family.help = Help;
  Family.type = MetricType::Gauge;
  for (const HttpServer *Server : Servers) {
    ClientMetric Metric;
    Metric.gauge.value = number((Server->*GetValue)());
    Metric.label.push_back({"server", Server->name()});
    Family.metric.push_back(Metric);
  }
  return Family;
}

MetricFamily tableFailureFamily(const StoreTraffic &Traffic) {
  MetricFamily Family;
  Family.name = "pollenspool_table_read_failures_total";
  Family.help = "Failed calls that read a table or its changes, by reason.";
  Family.type = MetricType::Counter;
  for (const auto &[Table, T] : Traffic.tables())
    for (const auto &[Why, Count] : T.m_Failures) {
      ClientMetric Metric;
      Metric.counter.value = number(Count);
      Metric.label.push_back({"table", Table});
      Metric.label.push_back({"reason", reasonLabel(Why)});
      Family.metric.push_back(Metric);
    }
  return Family;
}

MetricFamily decisionFamily(const DecisionTimes &Times) {
  MetricFamily Family;
  Family.name = "pollenspool_decision_cpu_seconds";
  Family.help = "Processor time of one run of the leader's decisions.";
  Family.type = MetricType::Histogram;
  ClientMetric Metric;
  Metric.histogram.sample_count = Times.m_Count;
  Metric.histogram.sample_sum = toSeconds(Times.m_Sum);
  std::uint64_t Sum = 0;
  for (std::size_t N = 0; N < Times.m_Counts.size(); ++N) {
    Sum += Times.m_Counts[N];
    ClientMetric::Bucket Bucket;
    Bucket.cumulative_count = Sum;
    Bucket.upper_bound = N < DecisionTimes::Bounds.size()
                             ? DecisionTimes::Bounds[N]
                             : std::numeric_limits<double>::infinity();
    Metric.histogram.bucket.push_back(Bucket);
  }
  Family.metric.push_back(Metric);
  return Family;
}

} // namespace

struct EntryMetrics::Impl {
  std::array<prometheus::Histogram, CallNames.size()> m_Latency = {
      prometheus::Histogram(LatencyBuckets),
      prometheus::Histogram(LatencyBuckets),
      prometheus::Histogram(LatencyBuckets),
      prometheus::Histogram(LatencyBuckets)};
  std::map<std::string, std::uint64_t> m_Refusals;

  MetricFamily latencyFamily() const {
    MetricFamily Family;
    Family.name = "pollenspool_request_seconds";
    Family.help = "Time from reading a caller's request to its answer.";
    Family.type = MetricType::Histogram;
    for (std::size_t N = 0; N < m_Latency.size(); ++N) {
      ClientMetric Metric = m_Latency[N].Collect();
      Metric.label.push_back({"call", CallNames[N]});
      Family.metric.push_back(Metric);
    }
    return Family;
  }

  MetricFamily refusalFamily() const {
    MetricFamily Family;
    Family.name = "pollenspool_refusals_total";
    Family.help = "Requests answered without being served, by reason.";
    Family.type = MetricType::Counter;
    for (const auto &[Reason, Count] : m_Refusals) {
      ClientMetric Metric;
      Metric.counter.value = number(Count);
      Metric.label.push_back({"reason", Reason});
      Family.metric.push_back(Metric);
    }
    return Family;
  }
};

EntryMetrics::EntryMetrics(std::unique_ptr<Impl> P) : m_Impl(std::move(P)) {}
EntryMetrics::~EntryMetrics() = default;

std::unique_ptr<EntryMetrics> EntryMetrics::create() {
  return std::unique_ptr<EntryMetrics>(
      new EntryMetrics(std::make_unique<Impl>()));
}

void EntryMetrics::observe(CallerCall Call, Duration Took) {
  m_Impl->m_Latency[static_cast<std::size_t>(Call)].Observe(toSeconds(Took));
}

void EntryMetrics::countRefusal(const std::string &Reason) {
  ++m_Impl->m_Refusals[Reason];
}

std::string EntryMetrics::render(const Entry &Service,
                                 const HttpClients &Clients) const {
  std::vector<MetricFamily> Families;
  Sources From{Service, Clients};
  for (const Sample &S : Samples)
    Families.push_back(makeFamily(S, S.m_GetValue(From)));
  Families.push_back(m_Impl->latencyFamily());
  Families.push_back(decisionFamily(Service.load().decisionTimes()));
  Families.push_back(m_Impl->refusalFamily());
  Families.push_back(
      tableFamily(Clients.m_Store, "pollenspool_table_reads_total",
                  "Calls that read a table of the store or its changes.",
                  [](const TableTraffic &T) { return T.m_Calls; }));
  Families.push_back(
      tableFamily(Clients.m_Store, "pollenspool_table_read_bytes_total",
                  "Bytes of the replies to these calls.",
                  [](const TableTraffic &T) { return T.m_Bytes; }));
  Families.push_back(tableFailureFamily(Clients.m_Store));
  Families.push_back(closedConnectionsFamily(Clients.m_Servers));
  Families.push_back(
      serverFamily(Clients.m_Servers, "pollenspool_accepted_connections",
                   "Open connections that a server has accepted.",
                   &HttpServer::connections));
  Families.push_back(
      serverFamily(Clients.m_Servers, "pollenspool_accepted_bytes",
                   "Memory of requests and replies that counts for the limit.",
                   &HttpServer::chargedBytes));
  if (Service.leader())
    Families.push_back(waitFamily(Service.leader()->waits().report()));
  if (Service.leader())
    for (MetricFamily &Family :
         organisationFamilies(listOrganisations(Service.leader()->scheduler())))
      Families.push_back(std::move(Family));
  return prometheus::TextSerializer().Serialize(Families);
}

} // namespace pollenspool
