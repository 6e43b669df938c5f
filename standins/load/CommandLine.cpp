//===- CommandLine.cpp - The load tool's flags ----------------------------===//

#include "load/CommandLine.h"
#include <cmath>
#include <sstream>
#include <tclap/CmdLine.h>

namespace standin {

namespace {

template <typename T> using Flag = TCLAP::ValueArg<T>;
using List = TCLAP::MultiArg<std::string>;

/// All flags; TCLAP registers each with the command when it is made.
struct Flags {
  TCLAP::CmdLine m_Command{
      "Open-loop load with an oracle over the backend stand-ins' runs "
      "(docs/LOADTOOL.md)"};
  List m_Entry{"",   "entry",   "Entry instance; may be repeated",
               true, "IP:PORT", m_Command};
  List m_Control{"",
                 "backend-control",
                 "Control port of a backend stand-in; may be repeated",
                 false,
                 "IP:PORT",
                 m_Command};
  List m_Platform{"",    "platform", "Platform stand-in, for its truth",
                  false, "IP:PORT",  m_Command};
  List m_Service{"",   "service",       "Service; may be repeated",
                 true, "NAME[:WEIGHT]", m_Command};
  List m_Team{"",    "team",          "Team; may be repeated",
              false, "NAME[:WEIGHT]", m_Command};
  Flag<std::uint64_t> m_Seed{"", "seed", "Seed", false, 1, "N", m_Command};
  Flag<double> m_Seconds{"",  "seconds", "How long requests arrive", false, 10.,
                         "S", m_Command};
  Flag<double> m_Rate{"",  "rate",   "Mean requests a second", false, 100.,
                      "N", m_Command};
  Flag<std::string> m_ClassMix{
      "",       "class-mix",   "Weights of urgent, normal and nightly",
      false,    "0.2,0.6,0.2", "U,N,G",
      m_Command};
  Flag<std::string> m_Profile{"",     "profile",    "flat or peaks", false,
                              "flat", "flat|peaks", m_Command};
  Flag<double> m_PeakSeconds{"",  "peak-seconds", "Length of a peak", false, 4.,
                             "S", m_Command};
  Flag<double> m_PeakFactor{
      "", "peak-factor", "Rate in a peak, in means", false, 5., "F", m_Command};
  Flag<double> m_TroughFactor{
      "",  "trough-factor", "Rate outside the peak, in means", false, 0.05,
      "F", m_Command};
  Flag<double> m_RepeatableShare{"",
                                 "repeatable-share",
                                 "Share of requests that may run again",
                                 false,
                                 0.6,
                                 "SHARE",
                                 m_Command};
  TCLAP::SwitchArg m_RepeatUnknown{
      "", "repeat-unknown",
      "Send requests with an unknown outcome again with the same key",
      m_Command};
  Flag<std::uint32_t> m_MaxAttempts{
      "", "max-attempts", "Attempts of a request", false, 5, "N", m_Command};
  Flag<std::int64_t> m_WorkMs{
      "",       "work-ms", "Mean run time asked for; 0: the instance's own",
      false,    0,         "MS",
      m_Command};
  Flag<std::int64_t> m_DeadlineMs{
      "",   "deadline-ms", "Deadline of each attempt", false, 2000,
      "MS", m_Command};
  Flag<std::int64_t> m_PatienceMs{
      "",   "patience-ms", "Wait for a reply after the deadline", false, 3000,
      "MS", m_Command};
  Flag<std::size_t> m_MaxInFlight{"",
                                  "max-in-flight",
                                  "Requests at a time; more are not sent",
                                  false,
                                  4000,
                                  "N",
                                  m_Command};
  TCLAP::SwitchArg m_NoKeepAlive{"", "no-keep-alive",
                                 "A connection for each attempt", m_Command};
  TCLAP::SwitchArg m_Direct{"", "direct", "The entries are backend servers",
                            m_Command};
  Flag<std::string> m_IdPrefix{
      "",
      "id-prefix",
      "Start of all IDs; by default unlike in other runs",
      false,
      "",
      "TEXT",
      m_Command};
  Flag<std::int64_t> m_GraceMs{"",
                               "leaving-grace-ms",
                               "How long a leaving instance may get work",
                               false,
                               3000,
                               "MS",
                               m_Command};
  Flag<std::int64_t> m_SettleMs{
      "",   "settle-ms", "Wait for runs to end before judging", false, 3000,
      "MS", m_Command};
  Flag<std::int64_t> m_WaitMs{
      "", "wait-ms", "Wait for a healthy entry", false, 10000, "MS", m_Command};
  Flag<std::string> m_Report{"", "report",    "Report to write", false,
                             "", "FILE.json", m_Command};
  Flag<std::string> m_Html{"",     "html",   "Report page to write", false, "",
                           "FILE", m_Command};
  Flag<std::string> m_Extra{
      "",          "extra",  "Fields to merge into the report", false, "",
      "FILE.json", m_Command};
};

Milliseconds fromSeconds(double Seconds) {
  return Milliseconds(std::llround(Seconds * 1000));
}

Expected<double> parseWeight(const std::string &Text) {
  std::istringstream Stream(Text);
  double Weight = 0;
  Stream >> Weight;
  if (!Stream || !Stream.eof() || !(Weight >= 0))
    return Failure{"not a weight: '" + Text + "'"};
  return Weight;
}

Expected<std::vector<Weighted>>
parseWeighted(const std::vector<std::string> &Texts) {
  std::vector<Weighted> Parsed;
  double Sum = 0;
  for (const std::string &Text : Texts) {
    const std::size_t Colon = Text.find(':');
    Weighted Choice;
    Choice.m_Name = Text.substr(0, Colon);
    if (Colon != std::string::npos) {
      BOOST_OUTCOME_TRY(Weight, parseWeight(Text.substr(Colon + 1)));
      Choice.m_Weight = Weight;
    }
    Sum += Choice.m_Weight;
    Parsed.push_back(std::move(Choice));
  }
  if (!(Sum > 0))
    return Failure{"all weights are 0"};
  return Parsed;
}

Expected<std::array<double, WorkClassCount>>
parseClassMix(const std::string &Text) {
  std::array<double, WorkClassCount> Mix{};
  std::istringstream Stream(Text);
  std::string Part;
  std::size_t Count = 0;
  double Sum = 0;
  while (std::getline(Stream, Part, ',')) {
    if (Count == Mix.size())
      return Failure{"class-mix: more than three weights"};
    BOOST_OUTCOME_TRY(Weight, parseWeight(Part));
    Mix[Count++] = Weight;
    Sum += Weight;
  }
  if (Count != Mix.size() || !(Sum > 0))
    return Failure{"class-mix: not three weights"};
  return Mix;
}

Expected<std::vector<Address>>
parseAddresses(const std::vector<std::string> &Texts) {
  std::vector<Address> Parsed;
  for (const std::string &Text : Texts) {
    BOOST_OUTCOME_TRY(Where, Address::parse(Text));
    Parsed.push_back(std::move(Where));
  }
  return Parsed;
}

Expected<void> parseLists(Flags &Given, LoadOptions &Options) {
  BOOST_OUTCOME_TRY(Entries, parseAddresses(Given.m_Entry.getValue()));
  BOOST_OUTCOME_TRY(Controls, parseAddresses(Given.m_Control.getValue()));
  BOOST_OUTCOME_TRY(Platforms, parseAddresses(Given.m_Platform.getValue()));
  BOOST_OUTCOME_TRY(Services, parseWeighted(Given.m_Service.getValue()));
  BOOST_OUTCOME_TRY(Mix, parseClassMix(Given.m_ClassMix.getValue()));
  std::vector<std::string> TeamTexts = Given.m_Team.getValue();
  if (TeamTexts.empty())
    TeamTexts.emplace_back("default");
  BOOST_OUTCOME_TRY(Teams, parseWeighted(TeamTexts));
  Options.m_Entries = std::move(Entries);
  Options.m_BackendControls = std::move(Controls);
  Options.m_Platforms = std::move(Platforms);
  Options.m_Services = std::move(Services);
  Options.m_Teams = std::move(Teams);
  Options.m_ClassMix = Mix;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Expected<void> parseShape(Flags &Given, LoadOptions &Options) {
  const std::string ProfileName = Given.m_Profile.getValue();
  if (ProfileName != "flat" && ProfileName != "peaks")
    return Failure{"profile: flat or peaks"};
  Options.m_Profile = ProfileName == "flat" ? Profile::Flat : Profile::Peaks;
  Options.m_PeakLength = fromSeconds(Given.m_PeakSeconds.getValue());
  Options.m_PeakFactor = Given.m_PeakFactor.getValue();
  Options.m_TroughFactor = Given.m_TroughFactor.getValue();
  Options.m_Length = fromSeconds(Given.m_Seconds.getValue());
  Options.m_Rate = Given.m_Rate.getValue();
  Options.m_RepeatableShare = Given.m_RepeatableShare.getValue();
  if (Options.m_PeakLength <= Milliseconds::zero() ||
      Options.m_Length <= Milliseconds::zero() || !(Options.m_Rate > 0))
    return Failure{"seconds, peak-seconds and rate have to be above 0"};
  if (!(Options.m_RepeatableShare >= 0 && Options.m_RepeatableShare <= 1))
    return Failure{"repeatable-share: from 0 to 1"};
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void copyPlainFlags(Flags &Given, LoadOptions &Options) {
  Options.m_Seed = Given.m_Seed.getValue();
  Options.m_RepeatsUnknown = Given.m_RepeatUnknown.getValue();
  Options.m_MaxAttempts = Given.m_MaxAttempts.getValue();
  Options.m_Work = Milliseconds(Given.m_WorkMs.getValue());
  Options.m_Deadline = Milliseconds(Given.m_DeadlineMs.getValue());
  Options.m_Patience = Milliseconds(Given.m_PatienceMs.getValue());
  Options.m_MaxInFlight = Given.m_MaxInFlight.getValue();
  Options.m_KeepsConnections = !Given.m_NoKeepAlive.getValue();
  Options.m_IsDirect = Given.m_Direct.getValue();
  Options.m_LeavingGrace = Milliseconds(Given.m_GraceMs.getValue());
  Options.m_WaitForEntries = Milliseconds(Given.m_WaitMs.getValue());
  Options.m_Settle = Milliseconds(Given.m_SettleMs.getValue());
  Options.m_ReportFile = Given.m_Report.getValue();
  Options.m_HtmlFile = Given.m_Html.getValue();
  Options.m_ExtraFile = Given.m_Extra.getValue();
  Options.m_IdPrefix = Given.m_IdPrefix.getValue();
  // Claims on IDs outlive a run; another run must not meet them.
  if (Options.m_IdPrefix.empty())
    Options.m_IdPrefix = "load-" + std::to_string(Options.m_Seed) + "-" +
                         std::to_string(wallTime().count());
}

} // namespace

Expected<LoadOptions> parseCommandLine(int Argc, char **Argv) {
  Flags Given;
  Given.m_Command.parse(Argc, Argv);
  LoadOptions Options;
  BOOST_OUTCOME_TRYV(parseLists(Given, Options));
  BOOST_OUTCOME_TRYV(parseShape(Given, Options));
  copyPlainFlags(Given, Options);
  return Options;
}

} // namespace standin
