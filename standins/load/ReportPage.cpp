//===- ReportPage.cpp - HTML page of a load report ------------------------===//

#include "load/ReportPage.h"
#include "load/Chart.h"
#include <sstream>

namespace standin {

namespace {

constexpr const char *Style = R"(
body { font: 15px/1.5 sans-serif; max-width: 820px; margin: 2em auto;
  padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { text-align: left; padding: 2px 14px 2px 0;
  border-bottom: 1px solid #ddd; vertical-align: top; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
td.broken, .verdict.broken { color: #b00020; font-weight: bold; }
.verdict.holds { color: #1a6b2f; font-weight: bold; }
figure { margin: 1.5em 0; }
svg { width: 100%; font-size: 11px; }
svg polyline { fill: none; stroke-width: 1.8; }
svg .grid { stroke: #ddd; }
svg .value { text-anchor: end; }
svg .second { text-anchor: middle; }
.key { display: inline-block; width: 12px; height: 12px; margin: 0 4px 0 10px; }
)";

struct SeriesField {
  const char *m_Field;
  const char *m_Label;
  const char *m_Colour;
};

constexpr SeriesField RateFields[] = {
    {"sent", "sent", "#9a9a9a"},       {"goodput", "goodput", "#1a6b2f"},
    {"refused", "refused", "#c77700"}, {"unknown", "unknown", "#b00020"},
    {"lost", "lost", "#6a3fa0"},
};

constexpr SeriesField LatencyFields[] = {
    {"p50_ms", "p50", "#1f5fa8"},
    {"p99_ms", "p99", "#b00020"},
};

constexpr const char *CountNames[] = {
    "sent",        "attempts",           "answered",
    "answered_ok", "refused_total",      "unknown_total",
    "lost",        "over_max_in_flight", "max_send_lag_ms",
    "buffer_cost", "rollout_seconds",    "moves"};

constexpr const char *BreachNames[] = {"ran_twice", "not_run_but_ran",
                                       "wrong_answer", "cut_in_flight",
                                       "late_work_on_leaving"};

/// Formats a value for HTML: strings without quotes, null as "not known".
std::string displayText(const Json &Value) {
  if (Value.is_null())
    return "not known";
  return escapeHtml(Value.is_string() ? Value.get<std::string>()
                                      : Value.dump());
}

template <std::size_t Size>
std::string makeChart(const Json &Report, const std::string &Title,
                      const std::string &Unit,
                      const SeriesField (&Fields)[Size]) {
  std::vector<ChartLine> Lines;
  for (const SeriesField &Field : Fields) {
    ChartLine Line;
    Line.m_Label = Field.m_Label;
    Line.m_Colour = Field.m_Colour;
    for (const Json &Second : Report.at("per_second")) {
      const Json &Value = Second.at(Field.m_Field);
      Line.m_Values.push_back(Value.is_null()
                                  ? std::nullopt
                                  : std::optional<double>(Value.get<double>()));
    }
    Lines.push_back(std::move(Line));
  }
  return lineChart(Title, Unit, Lines);
}

void writeVerdict(std::ostream &Out, const Json &Report) {
  const bool Holds = Report.at("oracle_holds");
  Out << "<p class=\"verdict " << (Holds ? "holds" : "broken")
      << "\">The oracle " << (Holds ? "holds" : "is broken") << ".</p>\n"
      << "<table><tr><th>guarantee<th>breaches<th>examples</tr>\n";
  for (const char *Name : BreachNames) {
    const Json &Count = Report.at(Name);
    const bool IsBroken = Count.is_number() && Count != 0;
    Out << "<tr><td>" << Name << "<td class=\"number"
        << (IsBroken ? " broken" : "") << "\">" << displayText(Count) << "<td>";
    for (const Json &Example : Report.at("examples").value(Name, Json::array()))
      Out << displayText(Example) << "<br>";
    Out << "</tr>\n";
  }
  Out << "</table>\n";
  for (const Json &Source : Report.at("evidence_missing"))
    Out << "<p class=\"verdict broken\">No evidence from "
        << displayText(Source) << "</p>\n";
}

void writeCounts(std::ostream &Out, const Json &Report) {
  Out << "<table>\n";
  for (const char *Name : CountNames)
    Out << "<tr><td>" << Name << "<td class=number>"
        << displayText(Report.at(Name)) << "</tr>\n";
  for (const char *Group : {"refused", "unknown", "lost_reasons"})
    for (const auto &[Reason, Count] : Report.at(Group).items())
      Out << "<tr><td>" << Group << ": " << escapeHtml(Reason)
          << "<td class=number>" << displayText(Count) << "</tr>\n";
  Out << "</table>\n";
}

void writeQuantiles(std::ostream &Out, const Json &Report,
                    const std::string &Field, const std::string &Title) {
  Out << "<h2>" << Title << "</h2>\n<table><tr><th>class";
  for (const char *Column : {"count", "p50", "p90", "p99", "max"})
    Out << "<th>" << Column;
  Out << "</tr>\n";
  for (const auto &[Class, Quantiles] : Report.at(Field).items()) {
    Out << "<tr><td>" << escapeHtml(Class);
    for (const char *Column : {"count", "p50", "p90", "p99", "max"})
      Out << "<td class=number>" << displayText(Quantiles.at(Column));
    Out << "</tr>\n";
  }
  Out << "</table>\n";
}

void writeSettings(std::ostream &Out, const Json &Report) {
  Out << "<h2>Settings</h2>\n<table><tr><td>seed<td>"
      << displayText(Report.at("seed")) << "</tr>\n";
  for (const auto &[Name, Value] : Report.at("settings").items())
    Out << "<tr><td>" << escapeHtml(Name) << "<td>" << displayText(Value)
        << "</tr>\n";
  Out << "</table>\n";
}

} // namespace

std::string reportPage(const Json &Report) {
  std::ostringstream Out;
  Out << "<!doctype html>\n<html lang=en><meta charset=utf-8>\n"
      << "<title>Load report, seed " << displayText(Report.at("seed"))
      << "</title>\n<style>" << Style << "</style>\n<h1>Load report</h1>\n";
  writeVerdict(Out, Report);
  Out << makeChart(Report, "Requests", "requests per second", RateFields)
      << makeChart(Report, "Latency of answered requests", "ms", LatencyFields);
  writeQuantiles(Out, Report, "latency_ms", "Latency by class, ms");
  writeQuantiles(Out, Report, "start_latency_ms",
                 "From sending to the start of the run, ms");
  Out << "<h2>Counts</h2>\n";
  writeCounts(Out, Report);
  writeSettings(Out, Report);
  return Out.str();
}

} // namespace standin
