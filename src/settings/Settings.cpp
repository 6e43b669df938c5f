//===- Settings.cpp - Settings of one entry instance ----------------------===//

#include "settings/Settings.h"
#include "base/Address.h"
#include "config/Reference.h"
#include <algorithm>
#include <set>

namespace pollenspool {

namespace {

constexpr double MaxDurationMs = 86400000;

const auto &listenFields() {
  static const std::array<FieldSpec<ListenSettings>, 4> Fields = {{
      {{"callers", "address", true,
        "address where callers and the load balancer connect", "ip:port"},
       readTextField<&ListenSettings::m_Callers>},
      {{"peers", "address", true,
        "address that other entry instances connect to; also the ID of this "
        "instance",
        "ip:port"},
       readTextField<&ListenSettings::m_Peers>},
      {{"peers_bind", "address", false,
        "address that the socket for peers is bound to if network address "
        "translation makes it differ from listen.peers; default listen.peers",
        "ip:port"},
       readTextField<&ListenSettings::m_PeersBind>},
      {{"admin", "address", true,
        "address where operators connect and metrics are read", "ip:port"},
       readTextField<&ListenSettings::m_Admin>},
  }};
  return Fields;
}

const auto &entryFields() {
  static const std::array<FieldSpec<PeerEntry>, 2> Fields = {{
      {{"address", "address", true,
        "address that peers of the entry instance connect to", "ip:port"},
       readTextField<&PeerEntry::m_Address>},
      {{"data_centre", "text", true, "data centre of the entry instance"},
       readTextField<&PeerEntry::m_DataCentre>},
  }};
  return Fields;
}

const auto &platformFields() {
  static const std::array<FieldSpec<PlatformSettings>, 4> Fields = {{
      {{"address", "address", true, "address of the platform's service",
        "ip:port"},
       readTextField<&PlatformSettings::m_Address>},
      {{"connect_timeout_ms", "integer", false,
        "connection timeout; default 500", "ms", 1, MaxDurationMs},
       readNumberField<&PlatformSettings::m_ConnectTimeout>},
      {{"call_timeout_ms", "integer", false,
        "timeout for an answer; default 2000", "ms", 1, MaxDurationMs},
       readNumberField<&PlatformSettings::m_CallTimeout>},
      {{"calls_per_second", "integer", false,
        "rate limit of this entry instance's calls; default 100", "calls/s", 1,
        100000},
       readNumberField<&PlatformSettings::m_CallsPerSecond>},
  }};
  return Fields;
}

const auto &threadFields() {
  static const std::array<FieldSpec<ThreadSettings>, 2> Fields = {{
      {{"callers", "integer", false,
        "caller connections served at the same time; default 512", "threads", 2,
        10000},
       readNumberField<&ThreadSettings::m_Callers>},
      {{"peers", "integer", false,
        "forwarded requests served at the same time; default 128", "threads", 1,
        10000},
       readNumberField<&ThreadSettings::m_Peers>},
  }};
  return Fields;
}

const auto &timingFields() {
  static const std::array<FieldSpec<TimingSettings>, 7> Fields = {{
      {{"poll_ms", "integer", false,
        "interval between reads of the platform's changes and instance list; "
        "default 1000",
        "ms", 10, MaxDurationMs},
       readNumberField<&TimingSettings::m_Poll>},
      {{"heartbeat_ms", "integer", false,
        "interval between heartbeats to peers; default 500", "ms", 10,
        MaxDurationMs},
       readNumberField<&TimingSettings::m_Heartbeat>},
      {{"drain_grace_ms", "integer", false,
        "time after SIGTERM during which requests are still accepted, so that "
        "the load balancer can remove the instance; default 1000",
        "ms", 0, MaxDurationMs},
       readNumberField<&TimingSettings::m_DrainGrace>},
      {{"claim_lifetime_ms", "integer", false,
        "time within which a caller may repeat a request under its idempotency "
        "key; default 900000",
        "ms", 1000, MaxDurationMs},
       readNumberField<&TimingSettings::m_ClaimLifetime>},
      {{"claim_margin_ms", "integer", false,
        "longest time that a request may be held up on its way to the owner of "
        "its idempotency key; default 120000",
        "ms", 100, MaxDurationMs},
       readNumberField<&TimingSettings::m_ClaimMargin>},
      {{"backend_connect_ms", "integer", false,
        "connection timeout for a backend server; default 1000", "ms", 1,
        MaxDurationMs},
       readNumberField<&TimingSettings::m_BackendConnect>},
      {{"list_lag_ms", "integer", false,
        "longest time by which the platform's list of instances lags behind; "
        "moves and waves wait this long; default 5000",
        "ms", 1, MaxDurationMs},
       readNumberField<&TimingSettings::m_ListLag>},
  }};
  return Fields;
}

const auto &operatorFields() {
  static const std::array<FieldSpec<OperatorSettings>, 1> Fields = {{
      {{"token", "text", true, "secret bearer token that operators must send"},
       readTextField<&OperatorSettings::m_Token>},
  }};
  return Fields;
}

const auto &settingsFields() {
  static const std::array<FieldSpec<Settings>, 10> Fields = {{
      {{"name", "text", true,
        "name of this entry instance in logs and replies"},
       readTextField<&Settings::m_Name>},
      {{"data_centre", "text", true, "data centre of this entry instance"},
       readTextField<&Settings::m_DataCentre>},
      {{"listen", "map", true, "listening addresses"},
       readMapField<&Settings::m_Listen, listenFields>},
      {{"platform", "map", true, "connection to the platform"},
       readMapField<&Settings::m_Platform, platformFields>},
      {{"entries", "list", true, "all entry instances, including this one"},
       readListField<&Settings::m_Entries, entryFields>},
      {{"threads", "map", false, "thread limits"},
       readMapField<&Settings::m_Threads, threadFields>},
      {{"timings", "map", false, "intervals and timeouts"},
       readMapField<&Settings::m_Timings, timingFields>},
      {{"operators", "map", false,
        "authorization of operators; if absent, no operator may make changes"},
       readMapField<&Settings::m_Operators, operatorFields>},
      {{"log_level", "text", false,
        "minimum severity of logged events: debug, info, warning or error; "
        "default info"},
       readTextField<&Settings::m_LogLevel>},
      {{"seed", "integer", false,
        "seed of the random number generator; default 0: the system provides "
        "a seed",
        "", 0, 9007199254740991.0},
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
  bool FoundOwn = false;
  for (std::size_t I = 0; I < S.m_Entries.size(); ++I) {
    const PeerEntry &Entry = S.m_Entries[I];
    std::string EntryPath = "entries[" + std::to_string(I) + "]";
    YAML::Node Node = Root["entries"][I];
    checkAddress(Entry.m_Address.m_Text, Node, EntryPath + ".address", Sink);
    if (!Seen.insert(Entry.m_Address.m_Text).second)
      Sink.add(Node, EntryPath + ".address", "occurs more than once");
    if (Entry.m_Address.m_Text != S.m_Listen.m_Peers)
      continue;
    FoundOwn = true;
    if (Entry.m_DataCentre != S.m_DataCentre)
      Sink.add(Node, EntryPath + ".data_centre",
               "differs from this instance's data_centre");
  }
  if (!FoundOwn)
    Sink.add(Root["entries"], "entries",
             "listen.peers is not among the entry instances");
}

void checkSettings(const Settings &S, const YAML::Node &Root, FaultSink &Sink) {
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
      checkSettings(Result.m_Value, Root, Sink);
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
