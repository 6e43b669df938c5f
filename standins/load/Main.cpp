//===- Main.cpp - Entry point of standin-load -----------------------------===//

#include "load/CommandLine.h"
#include "load/Report.h"
#include "load/ReportPage.h"
#include <fstream>
#include <iostream>

namespace {

using namespace standin;

constexpr int OracleHolds = 0;
constexpr int StartFailed = 2;
constexpr int OracleBroken = 3;
constexpr int EvidenceMissing = 4;

bool writeFile(const std::string &Path, const std::string &Content) {
  if (Path.empty())
    return true;
  std::ofstream File(Path);
  File << Content;
  File.close();
  return !File.fail();
}

std::unordered_set<std::string> requestIds(const LoadRun &Run) {
  std::unordered_set<std::string> Ids;
  for (const LoadRequest &Request : Run.requests())
    Ids.insert(Request.m_Id);
  return Ids;
}

int exitCode(const Verdict &Judged, const Evidence &Fetched) {
  if (!Judged.holds())
    return OracleBroken;
  return Fetched.m_Missing.empty() ? OracleHolds : EvidenceMissing;
}

/// Checks the outcomes, writes the reports and returns the exit code.
int writeReports(const LoadOptions &Options, const LoadRun &Run,
                 const Evidence &Fetched, const Json &Extra) {
  const Verdict Judged = judge(Run.requests(), Fetched, Options.m_LeavingGrace);
  const Json Report = makeReport(Options, Run, Fetched, Judged, Extra);
  std::cout << summaryText(Report) << std::flush;
  if (!writeFile(Options.m_ReportFile, Report.dump(1) + "\n"))
    return reportStartupFailure(
        {"cannot write report file " + Options.m_ReportFile});
  if (!writeFile(Options.m_HtmlFile, reportPage(Report)))
    return reportStartupFailure(
        {"cannot write report page " + Options.m_HtmlFile});
  return exitCode(Judged, Fetched);
}

int runLoad(const LoadOptions &Options, const Json &Extra) {
  Expected<std::unique_ptr<EventLoop>> Created = EventLoop::create();
  if (!Created)
    return reportStartupFailure(Created.error());
  EventLoop &Loop = *Created.value();
  if (const Expected<void> Ready = Loop.stopOnSignals(); !Ready)
    return reportStartupFailure(Ready.error());
  // This code is returned if a signal stops the loop before the outcomes are
  // checked.
  int Code = StartFailed;
  LoadRun Run(Loop, Options);
  std::unique_ptr<EvidenceFetcher> Fetch;
  Run.start([&](bool Sent) {
    if (!Sent) {
      Code = reportStartupFailure(
          {"no entry instance became healthy within the wait time"});
      Loop.stop();
      return;
    }
    Fetch = std::make_unique<EvidenceFetcher>(Loop, Options, requestIds(Run));
    Fetch->start([&](const Evidence &Fetched) {
      Code = writeReports(Options, Run, Fetched, Extra);
      Loop.stop();
    });
  });
  Loop.run();
  return Code;
}

} // namespace

int main(int Argc, char **Argv) {
  const Expected<LoadOptions> Options = parseCommandLine(Argc, Argv);
  if (!Options)
    return reportStartupFailure(Options.error());
  Json Extra = Json::object();
  if (!Options.value().m_ExtraFile.empty()) {
    const Expected<Json> Read = readJsonFile(Options.value().m_ExtraFile);
    if (!Read)
      return reportStartupFailure(Read.error());
    Extra = Read.value();
  }
  if (!Extra.is_object())
    return reportStartupFailure(
        {"extra: the file does not contain a JSON object"});
  return runLoad(Options.value(), Extra);
}
