//===- Settings.cpp - Settings of one entry instance ----------------------===//

#include "settings/Settings.h"
#include "base/Address.h"
#include "config/Reference.h"
#include <algorithm>
#include <set>

namespace pollenspool {

namespace {

constexpr double MaxMs = 86400000;

const auto &listenFields() {
  static const std::array<FieldSpec<ListenSettings>, 4> Fields = {{
      {{"callers", "address", true, -NoLimit, NoLimit, "ip:port",
        "where callers and the balancer connect"},
       readTextField<&ListenSettings::m_Callers>},
      {{"peers", "address", true, -NoLimit, NoLimit, "ip:port",
        "where other entry instances connect; names this instance"},
       readTextField<&ListenSettings::m_Peers>},
      {{"peers_bind", "address", false, -NoLimit, NoLimit, "ip:port",
        "where the socket for peers is bound if their address for this "
        "instance is translated on the way; default listen.peers"},
       readTextField<&ListenSettings::m_PeersBind>},
      {{"admin", "address", true, -NoLimit, NoLimit, "ip:port",
        "where operators connect and metrics are read"},
       readTextField<&ListenSettings::m_Admin>},
  }};
  return Fields;
}

const auto &entryFields() {
  static const std::array<FieldSpec<PeerEntry>, 2> Fields = {{
      {{"address", "address", true, -NoLimit, NoLimit, "ip:port",
        "the entry instance's address for peers"},
       readTextField<&PeerEntry::m_Address>},
      {{"data_centre", "text", true, -NoLimit, NoLimit, "",
        "data centre that it stands in"},
       readTextField<&PeerEntry::m_DataCentre>},
  }};
  return Fields;
}

const auto &platformFields() {
  static const std::array<FieldSpec<PlatformSettings>, 4> Fields = {{
      {{"address", "address", true, -NoLimit, NoLimit, "ip:port",
        "the platform's service"},
       readTextField<&PlatformSettings::m_Address>},
      {{"connect_timeout_ms", "integer", false, 1, MaxMs, "ms",
        "time to connect; default 500"},
       readNumberField<&PlatformSettings::m_ConnectTimeout>},
      {{"call_timeout_ms", "integer", false, 1, MaxMs, "ms",
        "time for an answer; default 2000"},
       readNumberField<&PlatformSettings::m_CallTimeout>},
      {{"calls_per_second", "integer", false, 1, 100000, "calls/s",
        "budget of calls of this entry instance; default 100"},
       readNumberField<&PlatformSettings::m_CallsPerSecond>},
  }};
  return Fields;
}

const auto &threadFields() {
  static const std::array<FieldSpec<ThreadSettings>, 2> Fields = {{
      {{"callers", "integer", false, 2, 10000, "threads",
        "caller connections served at once; default 512"},
       readNumberField<&ThreadSettings::m_Callers>},
      {{"peers", "integer", false, 1, 10000, "threads",
        "forwarded requests served at once; default 128"},
       readNumberField<&ThreadSettings::m_Peers>},
  }};
  return Fields;
}

const auto &timingFields() {
  static const std::array<FieldSpec<TimingSettings>, 7> Fields = {{
      {{"poll_ms", "integer", false, 10, MaxMs, "ms",
        "time between reads of the platform's changes and list; default 1000"},
       readNumberField<&TimingSettings::m_Poll>},
      {{"heartbeat_ms", "integer", false, 10, MaxMs, "ms",
        "time between heartbeats to peers; default 500"},
       readNumberField<&TimingSettings::m_Heartbeat>},
      {{"drain_grace_ms", "integer", false, 0, MaxMs, "ms",
        "time after SIGTERM for the balancer to notice; default 1000"},
       readNumberField<&TimingSettings::m_DrainGrace>},
      {{"claim_lifetime_ms", "integer", false, 1000, MaxMs, "ms",
        "time within which a caller may repeat a key; default 900000"},
       readNumberField<&TimingSettings::m_ClaimLifetime>},
      {{"claim_margin_ms", "integer", false, 100, MaxMs, "ms",
        "longest time that a request is held up on its way to the owner of its "
        "key; default 120000"},
       readNumberField<&TimingSettings::m_ClaimMargin>},
      {{"backend_connect_ms", "integer", false, 1, MaxMs, "ms",
        "time to connect to a backend server; default 1000"},
       readNumberField<&TimingSettings::m_BackendConnect>},
      {{"list_lag_ms", "integer", false, 1, MaxMs, "ms",
        "longest time by which the platform's list of instances is behind the "
        "truth; moves and waves wait for it; default 5000"},
       readNumberField<&TimingSettings::m_ListLag>},
  }};
  return Fields;
}

const auto &operatorFields() {
  static const std::array<FieldSpec<OperatorSettings>, 1> Fields = {{
      {{"token", "text", true, -NoLimit, NoLimit, "",
        "secret that operators send as a bearer token"},
       readTextField<&OperatorSettings::m_Token>},
  }};
  return Fields;
}

const auto &settingsFields() {
  static const std::array<FieldSpec<Settings>, 10> Fields = {{
      {{"name", "text", true, -NoLimit, NoLimit, "",
        "this entry instance's name in logs and answers"},
       readTextField<&Settings::m_Name>},
      {{"data_centre", "text", true, -NoLimit, NoLimit, "",
        "data centre that this entry instance stands in"},
       readTextField<&Settings::m_DataCentre>},
      {{"listen", "map", true, -NoLimit, NoLimit, "", "listening addresses"},
       readMapField<&Settings::m_Listen, listenFields>},
      {{"platform", "map", true, -NoLimit, NoLimit, "",
        "how the platform is reached"},
       readMapField<&Settings::m_Platform, platformFields>},
      {{"entries", "list", true, -NoLimit, NoLimit, "",
        "all entry instances, this one among them"},
       readListField<&Settings::m_Entries, entryFields>},
      {{"threads", "map", false, -NoLimit, NoLimit, "", "thread limits"},
       readMapField<&Settings::m_Threads, threadFields>},
      {{"timings", "map", false, -NoLimit, NoLimit, "", "intervals"},
       readMapField<&Settings::m_Timings, timingFields>},
      {{"operators", "map", false, -NoLimit, NoLimit, "",
        "who may change the deployment; absent: nobody"},
       readMapField<&Settings::m_Operators, operatorFields>},
      {{"log_level", "text", false, -NoLimit, NoLimit, "",
        "lowest severity logged: debug, info, warning or error; default info"},
       readTextField<&Settings::m_LogLevel>},
      {{"seed", "integer", false, 0, 9007199254740991.0, "",
        "seed of random choices; 0 (the default) takes one from the system"},
       readNumberField<&Settings::m_Seed>},
  }};
  return Fields;
}

void checkAddress(const std::string &Text, const YAML::Node &Node,
                  const std::string &Path, FaultSink &Sink) {
  if (Text.empty())
    return;
  if (!parseAddress(Text))
    Sink.add(Node, Path, "\"" + Text + "\" is not an IP address and port");
}

void checkEntries(const Settings &S, const YAML::Node &Root, FaultSink &Sink) {
  std::set<std::string> Seen;
  bool OwnFound = false;
  for (std::size_t I = 0; I < S.m_Entries.size(); ++I) {
    const PeerEntry &Entry = S.m_Entries[I];
    std::string At = "entries[" + std::to_string(I) + "]";
    YAML::Node Node = Root["entries"][I];
    checkAddress(Entry.m_Address.m_Text, Node, At + ".address", Sink);
    if (!Seen.insert(Entry.m_Address.m_Text).second)
      Sink.add(Node, At + ".address", "stands twice");
    if (Entry.m_Address.m_Text != S.m_Listen.m_Peers)
      continue;
    OwnFound = true;
    if (Entry.m_DataCentre != S.m_DataCentre)
      Sink.add(Node, At + ".data_centre",
               "differs from this instance's data_centre");
  }
  if (!OwnFound)
    Sink.add(Root["entries"], "entries",
             "listen.peers is not among the entry instances");
}

void checkWhole(const Settings &S, const YAML::Node &Root, FaultSink &Sink) {
  YAML::Node Listen = Root["listen"];
  checkAddress(S.m_Listen.m_Callers, Listen, "listen.callers", Sink);
  checkAddress(S.m_Listen.m_Peers, Listen, "listen.peers", Sink);
  checkAddress(S.m_Listen.m_PeersBind, Listen, "listen.peers_bind", Sink);
  checkAddress(S.m_Listen.m_Admin, Listen, "listen.admin", Sink);
  checkAddress(S.m_Platform.m_Address, Root["platform"], "platform.address",
               Sink);
  checkEntries(S, Root, Sink);
  static const std::set<std::string> Levels = {"debug", "info", "warning",
                                               "error"};
  if (!Levels.count(S.m_LogLevel))
    Sink.add(Root["log_level"], "log_level",
             "expected debug, info, warning or error");
}

} // namespace

Checked<Settings> parseSettings(const std::string &File,
                                const std::string &Text) {
  FaultSink Sink(File);
  Checked<Settings> Result;
  try {
    YAML::Node Root = YAML::Load(Text);
    readMap(Root, settingsFields(), "", Result.m_Value, Sink);
    if (Root.IsMap())
      checkWhole(Result.m_Value, Root, Sink);
  } catch (const YAML::Exception &Bad) {
    Sink.addAtLine(Bad.mark.line + 1, "", Bad.msg);
  }
  Result.m_Faults = Sink.takeFaults();
  return Result;
}

std::string settingsReference() {
  return referenceHead() + referenceRows("", settingsFields()) +
         referenceRows("listen", listenFields()) +
         referenceRows("platform", platformFields()) +
         referenceRows("entries[]", entryFields()) +
         referenceRows("threads", threadFields()) +
         referenceRows("timings", timingFields()) +
         referenceRows("operators", operatorFields());
}

} // namespace pollenspool
