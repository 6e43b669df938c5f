//===- Report.cpp - JSON report of a load run -----------------------------===//

#include "load/Report.h"
#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>

namespace standin {

namespace {

using Samples = std::vector<std::int64_t>;

/// Nearest-rank quantile: the smallest sample that is at least as large as the
/// given share of all samples. Precondition: \p Sorted is not empty.
std::int64_t quantile(const Samples &Sorted, double Share) {
  const double Rank = std::ceil(Share * static_cast<double>(Sorted.size()));
  const auto Index = static_cast<std::size_t>(std::max(Rank, 1.0)) - 1;
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

Json quantilesJson(Samples Values) {
  if (Values.empty())
    return {{"count", 0},
            {"p50", nullptr},
            {"p90", nullptr},
            {"p99", nullptr},
            {"max", nullptr}};
  std::sort(Values.begin(), Values.end());
  return {{"count", Values.size()},
          {"p50", quantile(Values, 0.5)},
          {"p90", quantile(Values, 0.9)},
          {"p99", quantile(Values, 0.99)},
          {"max", Values.back()}};
}

using SamplesByClass = std::array<Samples, WorkClassCount>;

Json byClassJson(SamplesByClass Values) {
  Json Object = Json::object();
  for (std::size_t I = 0; I < WorkClassCount; ++I)
    Object[workClassName(I)] = quantilesJson(std::move(Values[I]));
  return Object;
}

bool isAnswered(const LoadRequest &Request) {
  return Request.final().m_Kind == OutcomeKind::Answered;
}

/// True if the request counts as goodput: a correct answer whose status is not
/// a server error.
bool isGoodput(const LoadRequest &Request) {
  return isAnswered(Request) && Request.m_AnswerDefect.empty() &&
         Request.m_Status < 500;
}

Json latencyJson(const std::deque<LoadRequest> &Requests) {
  SamplesByClass Values;
  for (const LoadRequest &Request : Requests)
    if (isAnswered(Request))
      Values[static_cast<std::size_t>(Request.m_Class)].push_back(
          Request.m_Latency.count());
  return byClassJson(std::move(Values));
}

Json startLatencyJson(const std::deque<LoadRequest> &Requests,
                      const Evidence &Evidence) {
  std::unordered_map<std::string, Milliseconds> FirstStart;
  for (const RunRecord &Run : Evidence.m_Runs) {
    const auto Added = FirstStart.emplace(Run.m_RequestId, Run.m_Start);
    Added.first->second = std::min(Added.first->second, Run.m_Start);
  }
  SamplesByClass Values;
  for (const LoadRequest &Request : Requests) {
    const auto Found = FirstStart.find(Request.m_Id);
    if (Found != FirstStart.end())
      Values[static_cast<std::size_t>(Request.m_Class)].push_back(
          (Found->second - Request.m_FirstSent).count());
  }
  return byClassJson(std::move(Values));
}

/// Counts of one second of the load. Requests are counted as sent in the second
/// of their arrival time, outcomes in the second in which they were received.
struct Second {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Goodput = 0;
  std::uint64_t m_Answered = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Unknown = 0;
  std::uint64_t m_Lost = 0;
  Samples m_Latency;
};

std::vector<Second> splitBySecond(const std::deque<LoadRequest> &Requests) {
  constexpr std::int64_t MillisecondsPerSecond = 1000;
  std::vector<Second> Seconds;
  const auto At = [&Seconds](Milliseconds Time) -> Second & {
    const auto Index =
        static_cast<std::size_t>(Time.count() / MillisecondsPerSecond);
    if (Seconds.size() <= Index)
      Seconds.resize(Index + 1);
    return Seconds[Index];
  };
  for (const LoadRequest &Request : Requests) {
    ++At(Request.m_DueOffset).m_Sent;
    Second &Ended = At(Request.m_DueOffset + Request.m_Latency);
    if (isGoodput(Request))
      ++Ended.m_Goodput;
    switch (Request.final().m_Kind) {
    case OutcomeKind::Answered:
      ++Ended.m_Answered;
      Ended.m_Latency.push_back(Request.m_Latency.count());
      break;
    case OutcomeKind::NotRun:
      ++Ended.m_Refused;
      break;
    case OutcomeKind::Unknown:
      ++Ended.m_Unknown;
      break;
    case OutcomeKind::Lost:
      ++Ended.m_Lost;
      break;
    }
  }
  return Seconds;
}

Json seriesJson(const std::deque<LoadRequest> &Requests) {
  Json Series = Json::array();
  for (Second &Item : splitBySecond(Requests)) {
    const Json Latency = quantilesJson(std::move(Item.m_Latency));
    Series.push_back({{"second", Series.size()},
                      {"sent", Item.m_Sent},
                      {"goodput", Item.m_Goodput},
                      {"answered", Item.m_Answered},
                      {"refused", Item.m_Refused},
                      {"unknown", Item.m_Unknown},
                      {"lost", Item.m_Lost},
                      {"p50_ms", Latency.at("p50")},
                      {"p99_ms", Latency.at("p99")}});
  }
  return Series;
}

Json countReasons(const std::deque<LoadRequest> &Requests, OutcomeKind Kind) {
  Json Counts = Json::object();
  for (const LoadRequest &Request : Requests) {
    if (Request.final().m_Kind != Kind)
      continue;
    const std::string &Reason = Request.final().m_Reason;
    Counts[Reason] = Counts.value(Reason, std::uint64_t{0}) + 1;
  }
  return Counts;
}

std::uint64_t sumOfCounts(const Json &Counts) {
  std::uint64_t Sum = 0;
  for (const Json &Count : Counts)
    Sum += Count.get<std::uint64_t>();
  return Sum;
}

struct ServiceCounts {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Goodput = 0;
};

Json byServiceJson(const std::deque<LoadRequest> &Requests) {
  std::map<std::string, ServiceCounts> Counts;
  for (const LoadRequest &Request : Requests) {
    ServiceCounts &Service = Counts[Request.m_Service];
    ++Service.m_Sent;
    Service.m_Goodput += isGoodput(Request) ? 1 : 0;
  }
  Json Object = Json::object();
  for (const auto &[Name, Service] : Counts)
    Object[Name] = {{"sent", Service.m_Sent}, {"goodput", Service.m_Goodput}};
  return Object;
}

Json countsJson(const LoadRun &Run) {
  const std::deque<LoadRequest> &Requests = Run.requests();
  const Json Refused = countReasons(Requests, OutcomeKind::NotRun);
  const Json Unknown = countReasons(Requests, OutcomeKind::Unknown);
  const Json Lost = countReasons(Requests, OutcomeKind::Lost);
  return {
      {"sent", Requests.size()},
      {"attempts", Run.attempts()},
      {"answered", sumOfCounts(countReasons(Requests, OutcomeKind::Answered))},
      {"answered_ok",
       std::count_if(Requests.begin(), Requests.end(), isGoodput)},
      {"refused", Refused},
      {"refused_total", sumOfCounts(Refused)},
      {"unknown", Unknown},
      {"unknown_total", sumOfCounts(Unknown)},
      {"lost", sumOfCounts(Lost)},
      {"lost_reasons", Lost},
      {"over_max_in_flight", Run.overMaxInFlight()},
      {"max_send_lag_ms", Run.maxSendLag().count()}};
}

/// Checks that need records of stand-ins that were not given are null.
Json verdictJson(const LoadOptions &Options, const Verdict &Judged) {
  struct Row {
    const char *m_Name;
    const Breach &m_Breach;
    bool m_IsChecked;
  };
  const bool HasRunRecords = !Options.m_BackendControls.empty();
  const bool HasStateChanges = HasRunRecords && !Options.m_Platforms.empty();
  const Row Rows[] = {
      {"ran_twice", Judged.m_RanTwice, HasRunRecords},
      {"not_run_but_ran", Judged.m_NotRunButRan, HasRunRecords},
      {"wrong_answer", Judged.m_WrongAnswer, true},
      {"cut_in_flight", Judged.m_CutInFlight, HasRunRecords},
      {"late_work_on_leaving", Judged.m_LateWorkOnLeaving, HasStateChanges},
      {"answered_but_not_run", Judged.m_AnsweredButNotRun, HasRunRecords},
  };
  Json Object = Json::object();
  Object["examples"] = Json::object();
  for (const Row &Item : Rows) {
    Object[Item.m_Name] =
        Item.m_IsChecked ? Json(Item.m_Breach.m_Count) : Json(nullptr);
    if (Item.m_IsChecked && Item.m_Breach.m_Count != 0)
      Object["examples"][Item.m_Name] = Item.m_Breach.m_Examples;
  }
  Object["repeatable_ran_again"] =
      HasRunRecords ? Json(Judged.m_RepeatableRanAgain) : Json(nullptr);
  return Object;
}

Json settingsJson(const LoadOptions &Options) {
  Json Services = Json::object();
  for (const WeightedName &Service : Options.m_Services)
    Services[Service.m_Name] = Service.m_Weight;
  return {{"rate", Options.m_Rate},
          {"seconds", static_cast<double>(Options.m_Duration.count()) / 1000},
          {"profile", Options.m_Profile == Profile::Flat ? "flat" : "peaks"},
          {"services", Services},
          {"class_mix", Options.m_ClassMix},
          {"repeatable_share", Options.m_RepeatableShare},
          {"repeat_unknown", Options.m_RetriesUnknown},
          {"work_ms", Options.m_MeanRunTime.count()},
          {"deadline_ms", Options.m_Deadline.count()},
          {"entries", Options.m_Entries.size()},
          {"direct", Options.m_IsDirect},
          {"id_prefix", Options.m_IdPrefix}};
}

} // namespace

Json makeReport(const LoadOptions &Options, const LoadRun &Run,
                const Evidence &Evidence, const Verdict &Judged,
                const Json &Extra) {
  const std::deque<LoadRequest> &Requests = Run.requests();
  Json Report = {{"seed", Options.m_Seed},
                 {"settings", settingsJson(Options)},
                 {"begin_ms", Run.startWallTime().count()},
                 {"latency_ms", latencyJson(Requests)},
                 {"start_latency_ms", startLatencyJson(Requests, Evidence)},
                 {"by_service", byServiceJson(Requests)},
                 {"per_second", seriesJson(Requests)},
                 {"evidence_missing", Evidence.m_Missing},
                 {"oracle_holds", Judged.holds() && Evidence.m_Missing.empty()},
                 {"buffer_cost", nullptr},
                 {"rollout_seconds", nullptr},
                 {"moves", nullptr}};
  Report.update(countsJson(Run));
  Report.update(verdictJson(Options, Judged));
  // Extra fields fill in missing values; they never replace measured ones.
  for (const auto &[Name, Value] : Extra.items())
    if (!Report.contains(Name) || Report.at(Name).is_null())
      Report[Name] = Value;
  return Report;
}

std::string summaryText(const Json &Report) {
  std::ostringstream Text;
  for (const char *Name :
       {"seed", "sent", "answered", "answered_ok", "refused", "unknown", "lost",
        "over_max_in_flight", "max_send_lag_ms", "ran_twice", "not_run_but_ran",
        "wrong_answer", "cut_in_flight", "late_work_on_leaving",
        "answered_but_not_run", "evidence_missing"})
    Text << Name << ": " << Report.at(Name).dump() << "\n";
  for (const char *Name : {"latency_ms", "start_latency_ms"})
    for (const auto &[Class, Quantiles] : Report.at(Name).items())
      Text << Name << " " << Class << ": " << Quantiles.dump() << "\n";
  Text << "oracle: " << (Report.at("oracle_holds") ? "holds" : "BROKEN")
       << "\n";
  return Text.str();
}

} // namespace standin
