//===- CommandLine.cpp - Flags of the load tool ---------------------------===//

#include "load/CommandLine.h"
#include <cmath>
#include <sstream>
#include <tclap/CmdLine.h>

namespace standin {

namespace {

template <typename T> using Flag = TCLAP::ValueArg<T>;
using List = TCLAP::MultiArg<std::string>;

/// All flags. TCLAP registers each flag with m_Command on construction.
struct Flags {
  TCLAP::CmdLine m_Command{
      "Open-loop load generator with a test oracle that checks the runs which "
      "the backend stand-ins recorded "
      "(docs/LOADTOOL.md)"};
  List m_Entry{"",   "entry",   "Entry instance; may be repeated",
               true, "IP:PORT", m_Command};
  List m_Control{"",
                 "backend-control",
                 "Control port of a backend stand-in; may be repeated",
                 false,
                 "IP:PORT",
                 m_Command};
  List m_Platform{
      "",
      "platform",
      "Platform stand-in; its instance states are checked against the runs",
      false,
      "IP:PORT",
      m_Command};
  List m_Service{"",   "service",       "Service; may be repeated",
                 true, "NAME[:WEIGHT]", m_Command};
  List m_Team{"",    "team",          "Team; may be repeated",
              false, "NAME[:WEIGHT]", m_Command};
  Flag<std::uint64_t> m_Seed{"", "seed", "Seed", false, 1, "N", m_Command};
  Flag<double> m_Seconds{"",       "seconds", "Duration of the load in seconds",
                         false,    10.,       "S",
                         m_Command};
  Flag<double> m_Rate{
      "",  "rate",   "Mean requests per second over all services", false, 100.,
      "N", m_Command};
  Flag<std::string> m_ClassMix{
      "",
      "class-mix",
      "Weights of the classes urgent, normal and nightly",
      false,
      "0.2,0.6,0.2",
      "U,N,G",
      m_Command};
  Flag<std::string> m_Profile{
      "",           "profile", "Load profile: flat or peaks", false, "flat",
      "flat|peaks", m_Command};
  Flag<double> m_PeakSeconds{
      "",  "peak-seconds", "Duration of a peak in seconds", false, 4.,
      "S", m_Command};
  Flag<double> m_PeakFactor{"",
                            "peak-factor",
                            "Rate in a peak as a multiple of the mean rate",
                            false,
                            5.,
                            "F",
                            m_Command};
  Flag<double> m_TroughFactor{
      "",
      "trough-factor",
      "Rate outside the peak as a multiple of the mean rate",
      false,
      0.05,
      "F",
      m_Command};
  Flag<double> m_RepeatableShare{
      "",
      "repeatable-share",
      "Share of requests that may run more than once",
      false,
      0.6,
      "SHARE",
      m_Command};
  TCLAP::SwitchArg m_RetryUnknown{
      "", "repeat-unknown",
      "Retry requests with an unknown outcome under the same idempotency key",
      m_Command};
  Flag<std::uint32_t> m_MaxAttempts{
      "",  "max-attempts", "Maximum attempts per request", false, 5,
      "N", m_Command};
  Flag<std::int64_t> m_RunTimeMs{
      "",
      "work-ms",
      "Requested mean run time; 0 leaves it to the instance",
      false,
      0,
      "MS",
      m_Command};
  Flag<std::int64_t> m_DeadlineMs{
      "",   "deadline-ms", "Deadline of each attempt", false, 2000,
      "MS", m_Command};
  Flag<std::int64_t> m_ReplyGraceMs{
      "",
      "patience-ms",
      "How long to wait for a reply after the deadline",
      false,
      3000,
      "MS",
      m_Command};
  Flag<std::size_t> m_MaxInFlight{
      "",
      "max-in-flight",
      "Maximum concurrent requests; further ones are not sent",
      false,
      4000,
      "N",
      m_Command};
  TCLAP::SwitchArg m_NoKeepAlive{
      "", "no-keep-alive", "Open a new connection for each attempt", m_Command};
  TCLAP::SwitchArg m_Direct{"", "direct", "The entries are backend servers",
                            m_Command};
  Flag<std::string> m_IdPrefix{
      "",
      "id-prefix",
      "Prefix of all request IDs; by default distinct from other runs",
      false,
      "",
      "TEXT",
      m_Command};
  Flag<std::int64_t> m_LeavingGraceMs{
      "",
      "leaving-grace-ms",
      "How long a leaving instance may still receive work",
      false,
      3000,
      "MS",
      m_Command};
  Flag<std::int64_t> m_SettleMs{
      "",
      "settle-ms",
      "How long to wait for runs to end before checking them",
      false,
      3000,
      "MS",
      m_Command};
  Flag<std::int64_t> m_EntryWaitMs{
      "",       "wait-ms", "How long to wait for a healthy entry instance",
      false,    10000,     "MS",
      m_Command};
  Flag<std::string> m_Report{"",       "report", "JSON report file to write",
                             false,    "",       "FILE.json",
                             m_Command};
  Flag<std::string> m_Html{
      "", "html", "HTML report page to write", false, "", "FILE", m_Command};
  Flag<std::string> m_Extra{
      "",       "extra", "JSON object whose fields are merged into the report",
      false,    "",      "FILE.json",
      m_Command};
};

Milliseconds fromSeconds(double Seconds) {
  return Milliseconds(std::llround(Seconds * 1000));
}

Expected<double> parseWeight(const std::string &Text) {
  std::istringstream Stream(Text);
  double Weight = 0;
  Stream >> Weight;
  if (!Stream || !Stream.eof() || !(Weight >= 0))
    return Failure{"weight '" + Text + "': not a number of at least 0"};
  return Weight;
}

Expected<std::vector<WeightedName>>
parseWeightedNames(const std::vector<std::string> &Texts) {
  std::vector<WeightedName> Parsed;
  double Sum = 0;
  for (const std::string &Text : Texts) {
    const std::size_t Colon = Text.find(':');
    WeightedName Choice;
    Choice.m_Name = Text.substr(0, Colon);
    if (Colon != std::string::npos) {
      BOOST_OUTCOME_TRY(Weight, parseWeight(Text.substr(Colon + 1)));
      Choice.m_Weight = Weight;
    }
    Sum += Choice.m_Weight;
    Parsed.push_back(std::move(Choice));
  }
  if (!(Sum > 0))
    return Failure{"the sum of the weights has to be above 0"};
  return Parsed;
}

Expected<std::array<double, WorkClassCount>>
parseClassMix(const std::string &Text) {
  std::array<double, WorkClassCount> Mix{};
  std::istringstream Stream(Text);
  std::string WeightText;
  std::size_t Count = 0;
  double Sum = 0;
  while (std::getline(Stream, WeightText, ',')) {
    if (Count == Mix.size())
      return Failure{"class-mix: more than three weights"};
    BOOST_OUTCOME_TRY(Weight, parseWeight(WeightText));
    Mix[Count++] = Weight;
    Sum += Weight;
  }
  if (Count != Mix.size() || !(Sum > 0))
    return Failure{"class-mix: three weights with a sum above 0 required"};
  return Mix;
}

Expected<std::vector<Address>>
parseAddresses(const std::vector<std::string> &Texts) {
  std::vector<Address> Parsed;
  for (const std::string &Text : Texts) {
    BOOST_OUTCOME_TRY(ParsedAddress, Address::parse(Text));
    Parsed.push_back(std::move(ParsedAddress));
  }
  return Parsed;
}

Expected<void> parseLists(Flags &CommandFlags, LoadOptions &Options) {
  BOOST_OUTCOME_TRY(Entries, parseAddresses(CommandFlags.m_Entry.getValue()));
  BOOST_OUTCOME_TRY(Controls,
                    parseAddresses(CommandFlags.m_Control.getValue()));
  BOOST_OUTCOME_TRY(Platforms,
                    parseAddresses(CommandFlags.m_Platform.getValue()));
  BOOST_OUTCOME_TRY(Services,
                    parseWeightedNames(CommandFlags.m_Service.getValue()));
  BOOST_OUTCOME_TRY(Mix, parseClassMix(CommandFlags.m_ClassMix.getValue()));
  std::vector<std::string> TeamTexts = CommandFlags.m_Team.getValue();
  if (TeamTexts.empty())
    TeamTexts.emplace_back("default");
  BOOST_OUTCOME_TRY(Teams, parseWeightedNames(TeamTexts));
  Options.m_Entries = std::move(Entries);
  Options.m_BackendControls = std::move(Controls);
  Options.m_Platforms = std::move(Platforms);
  Options.m_Services = std::move(Services);
  Options.m_Teams = std::move(Teams);
  Options.m_ClassMix = Mix;
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Expected<void> parseLoadShape(Flags &CommandFlags, LoadOptions &Options) {
  const std::string ProfileName = CommandFlags.m_Profile.getValue();
  if (ProfileName != "flat" && ProfileName != "peaks")
    return Failure{"profile: must be flat or peaks"};
  Options.m_Profile = ProfileName == "flat" ? Profile::Flat : Profile::Peaks;
  Options.m_PeakDuration = fromSeconds(CommandFlags.m_PeakSeconds.getValue());
  Options.m_PeakFactor = CommandFlags.m_PeakFactor.getValue();
  Options.m_TroughFactor = CommandFlags.m_TroughFactor.getValue();
  Options.m_Duration = fromSeconds(CommandFlags.m_Seconds.getValue());
  Options.m_Rate = CommandFlags.m_Rate.getValue();
  Options.m_RepeatableShare = CommandFlags.m_RepeatableShare.getValue();
  if (Options.m_PeakDuration <= Milliseconds::zero() ||
      Options.m_Duration <= Milliseconds::zero() || !(Options.m_Rate > 0))
    return Failure{"seconds, peak-seconds and rate have to be above 0"};
  if (!(Options.m_RepeatableShare >= 0 && Options.m_RepeatableShare <= 1))
    return Failure{"repeatable-share: must be from 0 to 1"};
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void copyScalarFlags(Flags &CommandFlags, LoadOptions &Options) {
  Options.m_Seed = CommandFlags.m_Seed.getValue();
  Options.m_RetriesUnknown = CommandFlags.m_RetryUnknown.getValue();
  Options.m_MaxAttempts = CommandFlags.m_MaxAttempts.getValue();
  Options.m_MeanRunTime = Milliseconds(CommandFlags.m_RunTimeMs.getValue());
  Options.m_Deadline = Milliseconds(CommandFlags.m_DeadlineMs.getValue());
  Options.m_ReplyGrace = Milliseconds(CommandFlags.m_ReplyGraceMs.getValue());
  Options.m_MaxInFlight = CommandFlags.m_MaxInFlight.getValue();
  Options.m_UsesKeepAlive = !CommandFlags.m_NoKeepAlive.getValue();
  Options.m_IsDirect = CommandFlags.m_Direct.getValue();
  Options.m_LeavingGrace =
      Milliseconds(CommandFlags.m_LeavingGraceMs.getValue());
  Options.m_EntryWaitTimeout =
      Milliseconds(CommandFlags.m_EntryWaitMs.getValue());
  Options.m_SettleTimeout = Milliseconds(CommandFlags.m_SettleMs.getValue());
  Options.m_ReportFile = CommandFlags.m_Report.getValue();
  Options.m_HtmlFile = CommandFlags.m_Html.getValue();
  Options.m_ExtraFile = CommandFlags.m_Extra.getValue();
  Options.m_IdPrefix = CommandFlags.m_IdPrefix.getValue();
  // The system remembers the IDs of requests beyond the end of a load run. A
  // later run must not reuse them.
  if (Options.m_IdPrefix.empty())
    Options.m_IdPrefix = "load-" + std::to_string(Options.m_Seed) + "-" +
                         std::to_string(wallTime().count());
}

} // namespace

Expected<LoadOptions> parseCommandLine(int Argc, char **Argv) {
  Flags CommandFlags;
  CommandFlags.m_Command.parse(Argc, Argv);
  LoadOptions Options;
  BOOST_OUTCOME_TRYV(parseLists(CommandFlags, Options));
  BOOST_OUTCOME_TRYV(parseLoadShape(CommandFlags, Options));
  copyScalarFlags(CommandFlags, Options);
  return Options;
}

} // namespace standin
