//===- Deployment.cpp - A small deployment of real processes --------------===//

#include "integration/Deployment.h"
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace pollenspool::testing {

namespace {

constexpr std::chrono::milliseconds PollInterval{20};
constexpr std::chrono::seconds CallTimeout{30};
constexpr int CallersPort = 8000;
constexpr int PeersPort = 8001;
constexpr int AdminPort = 8002;
constexpr int PeersBindPort = 8003;
constexpr int ServicePort = 7000;
constexpr int PlatformHost = 1;
constexpr int ProxyHost = 2;
constexpr int FirstBackendHost = 10;
constexpr int FirstEntryHost = 20;
constexpr int FirstPlatformRouteHost = 60;
constexpr const char *Token = "test-token";

/// Returns "127.x.y.", with x and y derived from the process ID and the number
/// of the deployment, so that concurrent test processes use different
/// addresses.
std::string addressPrefix() {
  static int Deployments = 0;
  auto Id = static_cast<unsigned>(getpid());
  unsigned High = 64 + (Id / 200) % 128;
  unsigned Low = 1 + (Id % 200) + static_cast<unsigned>(Deployments++ % 50);
  return "127." + std::to_string(High) + "." + std::to_string(Low) + ".";
}

std::string defaultDocument(const Layout &Wanted) {
  std::string Text = "customer: test\ndata_centres:\n";
  for (int D = 0; D < Wanted.m_DataCentres; ++D)
    Text += std::string("  - {name: ") + static_cast<char>('a' + D) +
            ", region: r}\n";
  int All = Wanted.m_DataCentres * Wanted.m_InstancesPerDataCentre;
  int Work = All / 2;
  Text += "pools:\n  - {name: crew-desk, instances: " + std::to_string(Work) +
          ", promised: " + std::to_string(Work / 2) +
          ", availability_budget: " + std::to_string(Work - Work / 2) +
          "}\n  - {name: sundry, instances: " + std::to_string(All - Work) +
          ", promised: 1, availability_budget: 1, spare: true}\n"
          "services:\n"
          "  - {name: crew-desk, pool: crew-desk, class: urgent}\n"
          "  - {name: sundry-notices, pool: sundry, class: nightly}\n";
  return Text;
}

httplib::Client clientFor(const std::string &Where) {
  std::size_t Colon = Where.find(':');
  httplib::Client Client(Where.substr(0, Colon),
                         std::stoi(Where.substr(Colon + 1)));
  Client.set_read_timeout(CallTimeout);
  return Client;
}

Json parsed(const httplib::Result &Answer) {
  if (!Answer)
    return {};
  return Json::parse(Answer->body, nullptr, false);
}

httplib::Headers operatorHeaders() {
  return {{"Authorization", std::string("Bearer ") + Token}};
}

} // namespace

bool waitUntil(const std::function<bool()> &Holds,
               std::chrono::milliseconds Limit) {
  auto End = std::chrono::steady_clock::now() + Limit;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

Deployment::Deployment(Layout Wanted)
    : m_Layout(std::move(Wanted)), m_Prefix(addressPrefix()) {
  char Folder[] = "/tmp/pollenspool-test-XXXXXX";
  m_Folder = mkdtemp(Folder);
  m_Programs = std::filesystem::read_symlink("/proc/self/exe").parent_path();
  for (int I = 0; I < m_Layout.m_DataCentres * m_Layout.m_EntriesPerDataCentre;
       ++I)
    m_Entries.push_back(
        Entry{std::string(1, static_cast<char>(
                                 'a' + I / m_Layout.m_EntriesPerDataCentre)),
              {}});
  startPlatform();
  startBackends();
  if (m_Layout.m_Proxied)
    startProxy();
  for (int I = 0; I < entryCount(); ++I)
    startEntry(I);
  applyDocument();
  waitUntilReady();
}

Deployment::~Deployment() {
  m_Entries.clear();
  m_Backends.clear();
  m_Proxy = {};
  m_Platform = {};
  if (!std::getenv("POLLENSPOOL_KEEP_LOGS"))
    std::filesystem::remove_all(m_Folder);
}

std::string Deployment::address(int Host, int Port) const {
  return m_Prefix + std::to_string(Host) + ":" + std::to_string(Port);
}

std::string Deployment::callerAddress(int Index) const {
  return address(FirstEntryHost + Index, CallersPort);
}

std::string Deployment::adminAddress(int Index) const {
  return address(FirstEntryHost + Index, AdminPort);
}

std::string Deployment::peerAddress(int Index) const {
  return address(FirstEntryHost + Index, PeersPort);
}

std::string Deployment::writeFile(const std::string &Name,
                                  const std::string &Text) const {
  std::string Path = m_Folder + "/" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

void Deployment::startPlatform() {
  m_Platform = ChildProcess({m_Programs + "/standin-platform", "--listen",
                             address(PlatformHost, ServicePort)},
                            m_Folder + "/platform.log");
  CHECK_TRUE(waitUntil([&] {
    return m_Platform.output().find("listening on") != std::string::npos;
  }));
  platformKnobs({{"reboot_ms", m_Layout.m_RebootMs},
                 {"list_lag_ms", m_Layout.m_ListLagMs}});
}

void Deployment::startBackends() {
  for (int D = 0; D < m_Layout.m_DataCentres; ++D) {
    std::string Name(1, static_cast<char>('a' + D));
    m_Backends.emplace_back(
        std::vector<std::string>{
            m_Programs + "/standin-backend", "--control",
            address(FirstBackendHost + D, ServicePort), "--instances",
            std::to_string(m_Layout.m_InstancesPerDataCentre), "--id-prefix",
            Name + "-r", "--data-centre", Name, "--work-ms",
            std::to_string(m_Layout.m_WorkMs), "--register",
            address(PlatformHost, ServicePort)},
        m_Folder + "/backend-" + Name + ".log");
  }
  auto Wanted = static_cast<std::size_t>(m_Layout.m_DataCentres *
                                         m_Layout.m_InstancesPerDataCentre);
  CHECK_TRUE(waitUntil([&] {
    Json List = platformGet("/v1/instances");
    return List.is_object() && List["instances"].size() == Wanted;
  }));
}

void Deployment::startProxy() {
  std::vector<std::string> Command = {m_Programs + "/standin-proxy",
                                      "--control",
                                      address(ProxyHost, ServicePort)};
  auto AddRoute = [&](const std::string &From, const std::string &To) {
    Command.push_back("--route");
    Command.push_back(From + "=" + To);
  };
  for (int I = 0; I < entryCount(); ++I) {
    AddRoute(address(FirstPlatformRouteHost + I, ServicePort),
             address(PlatformHost, ServicePort));
    AddRoute(peerAddress(I), address(FirstEntryHost + I, PeersBindPort));
  }
  m_Proxy = ChildProcess(Command, m_Folder + "/proxy.log");
  CHECK_TRUE(waitUntil([&] {
    return m_Proxy.output().find("control listening on") != std::string::npos;
  }));
}

std::string Deployment::settingsFor(int Index) const {
  std::string Platform =
      m_Layout.m_Proxied ? address(FirstPlatformRouteHost + Index, ServicePort)
                         : address(PlatformHost, ServicePort);
  std::string Text = "name: entry-" + std::to_string(Index) +
                     "\ndata_centre: " + m_Entries[Index].m_DataCentre +
                     "\nlisten:\n" + "  callers: \"" + callerAddress(Index) +
                     "\"\n  peers: \"" + peerAddress(Index) +
                     "\"\n  admin: \"" + adminAddress(Index) + "\"\n";
  if (m_Layout.m_Proxied)
    Text += "  peers_bind: \"" +
            address(FirstEntryHost + Index, PeersBindPort) + "\"\n";
  Text += "platform: {address: \"" + Platform +
          "\", connect_timeout_ms: 300, call_timeout_ms: 1000}\n"
          "operators: {token: " +
          std::string(Token) + "}\nseed: " + std::to_string(Index + 1) +
          "\ntimings: {poll_ms: 300, heartbeat_ms: 200, drain_grace_ms: 400, "
          "list_lag_ms: 500, claim_margin_ms: 1000, claim_lifetime_ms: " +
          std::to_string(m_Layout.m_ClaimLifetimeMs) + "}\nentries:\n";
  for (int I = 0; I < entryCount(); ++I)
    Text += "  - {address: \"" + peerAddress(I) +
            "\", data_centre: " + m_Entries[I].m_DataCentre + "}\n";
  return Text;
}

void Deployment::startEntry(int Index) {
  std::string Name = "entry-" + std::to_string(Index);
  std::string Config = writeFile(Name + ".yaml", settingsFor(Index));
  m_Entries[Index].m_Process =
      ChildProcess({m_Programs + "/pollenspoold", "--config", Config},
                   m_Folder + "/" + Name + ".log");
}

void Deployment::signalEntry(int Index, int Number) {
  m_Entries[Index].m_Process.signal(Number);
}

int Deployment::waitEntry(int Index) {
  return m_Entries[Index].m_Process.wait();
}

bool Deployment::isReady(int Index) {
  auto Answer = clientFor(callerAddress(Index)).Get("/healthz");
  return Answer && Answer->status == 200;
}

void Deployment::applyDocument() {
  std::string Text = m_Layout.m_Document.empty() ? defaultDocument(m_Layout)
                                                 : m_Layout.m_Document;
  std::string Path = writeFile("document.yaml", Text);
  std::string Output;
  CHECK_TRUE(waitUntil([&] { return tool({"apply", Path}, &Output) == 0; }));
}

void Deployment::waitUntilReady() {
  auto Instances = static_cast<std::size_t>(m_Layout.m_DataCentres *
                                            m_Layout.m_InstancesPerDataCentre);
  for (int I = 0; I < entryCount(); ++I)
    CHECK_TRUE(waitUntil([&] {
      Json Status = adminGet(I, "/status");
      return isReady(I) && Status.is_object() &&
             Status["instances"].size() == Instances;
    }));
}

Reply Deployment::call(int Index, const Call &What) {
  httplib::Headers Headers = {
      {"Pollenspool-Attempt", std::to_string(What.m_Attempt)},
      {"Pollenspool-Timeout-Ms", std::to_string(What.m_TimeoutMs)},
      {"Pollenspool-Repeatable", What.m_Repeatable ? "true" : "false"}};
  if (!What.m_Key.empty())
    Headers.emplace("Idempotency-Key", What.m_Key);
  if (!What.m_Class.empty())
    Headers.emplace("Pollenspool-Class", What.m_Class);
  std::string Path = "/services/" + What.m_Service + "/work";
  if (What.m_WorkMs >= 0)
    Path += "?work_ms=" + std::to_string(What.m_WorkMs);
  auto Answer = clientFor(callerAddress(Index))
                    .Post(Path, Headers, "body of " + What.m_Key, "text/plain");
  Reply Out;
  if (!Answer)
    return Out;
  Out.m_Status = Answer->status;
  Out.m_Outcome = Answer->get_header_value("Pollenspool-Outcome");
  Out.m_Reason = Answer->get_header_value("Pollenspool-Reason");
  Out.m_Instance = Answer->get_header_value("Pollenspool-Instance");
  Out.m_Body = Answer->body;
  return Out;
}

Json Deployment::adminGet(int Index, const std::string &Path) {
  return parsed(clientFor(adminAddress(Index)).Get(Path, operatorHeaders()));
}

int Deployment::adminPost(int Index, const std::string &Path, const Json &Body,
                          Json *Out) {
  auto Answer =
      clientFor(adminAddress(Index))
          .Post(Path, operatorHeaders(), Body.dump(), "application/json");
  if (Out)
    *Out = parsed(Answer);
  return Answer ? Answer->status : 0;
}

int Deployment::callerPost(int Index, const std::string &Path,
                           const Json &Body) {
  return callerPostTo(callerAddress(Index), Path, Body);
}

int Deployment::callerPostTo(const std::string &Where, const std::string &Path,
                             const Json &Body) {
  auto Answer = clientFor(Where).Post(Path, Body.dump(), "application/json");
  return Answer ? Answer->status : 0;
}

void Deployment::waitUntilAllMayGrantFromMemory() {
  for (int I = 0; I < entryCount(); ++I)
    CHECK_TRUE(waitUntil(
        [&] { return metric(I, "pollenspool_claims_may_vouch") == 1; }));
}

double Deployment::metric(int Index, const std::string &Line) {
  auto Answer = clientFor(adminAddress(Index)).Get("/metrics");
  if (!Answer)
    return -1;
  std::size_t At = Answer->body.find("\n" + Line + " ");
  if (At == std::string::npos)
    return 0;
  return std::stod(Answer->body.substr(At + Line.size() + 2));
}

void Deployment::platformKnobs(const Json &Knobs) {
  platformPost("/knobs", Knobs);
}

Json Deployment::platformGet(const std::string &Path) {
  return parsed(clientFor(address(PlatformHost, ServicePort)).Get(Path));
}

void Deployment::platformPost(const std::string &Path, const Json &Body) {
  auto Answer = clientFor(address(PlatformHost, ServicePort))
                    .Post(Path, Body.dump(), "application/json");
  CHECK_TRUE(static_cast<bool>(Answer));
  CHECK_TRUE(Answer->status < 300);
}

void Deployment::backendKnobs(const std::string &Instance, const Json &Knobs) {
  for (int D = 0; D < m_Layout.m_DataCentres; ++D) {
    bool Here = Instance == "*" || Instance[0] == 'a' + D;
    if (!Here)
      continue;
    Json Body = {{"instance", Instance}, {"knobs", Knobs}};
    auto Answer = clientFor(address(FirstBackendHost + D, ServicePort))
                      .Post("/control", Body.dump(), "application/json");
    CHECK_TRUE(static_cast<bool>(Answer));
    LONGS_EQUAL(200, Answer->status);
  }
}

void Deployment::platformFault(int Index, const Json &Fault) {
  Json Body = Fault;
  Body["route"] = 2 * Index;
  auto Answer = clientFor(address(ProxyHost, ServicePort))
                    .Post("/faults", Body.dump(), "application/json");
  CHECK_TRUE(Answer && Answer->status == 200);
}

void Deployment::peerFault(int Index, const Json &Fault) {
  Json Body = Fault;
  Body["route"] = 2 * Index + 1;
  auto Answer = clientFor(address(ProxyHost, ServicePort))
                    .Post("/faults", Body.dump(), "application/json");
  CHECK_TRUE(Answer && Answer->status == 200);
}

std::vector<Json> Deployment::runs() {
  std::vector<Json> All;
  for (int D = 0; D < m_Layout.m_DataCentres; ++D) {
    Json List = parsed(clientFor(address(FirstBackendHost + D, ServicePort))
                           .Get("/runs?since=0"));
    CHECK_TRUE(List.is_object());
    for (const Json &Run : List["runs"])
      All.push_back(Run);
  }
  return All;
}

int Deployment::runCountOf(const std::string &Key) {
  int Count = 0;
  for (const Json &Run : runs())
    Count += Run.value("request_id", "") == Key ? 1 : 0;
  return Count;
}

int Deployment::tool(std::vector<std::string> Arguments, std::string *Output) {
  std::vector<std::string> Command = {m_Programs + "/pollenspool"};
  for (int I = 0; I < entryCount(); ++I) {
    Command.push_back("--entry");
    Command.push_back(adminAddress(I));
  }
  Command.push_back("--token");
  Command.push_back(Token);
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  std::string File =
      m_Folder + "/tool-" + std::to_string(++m_ToolRuns) + ".log";
  ChildProcess Run(Command, File);
  int Code = Run.wait();
  if (Output)
    *Output = Run.output();
  else if (Code != 0)
    std::fprintf(stderr, "%s exited with %d:\n%s\n", Arguments.front().c_str(),
                 Code, Run.output().c_str());
  return Code;
}

ChildProcess Deployment::startLoad(std::vector<std::string> Arguments) {
  std::vector<std::string> Command = {m_Programs + "/standin-load"};
  for (int I = 0; I < entryCount(); ++I) {
    Command.push_back("--entry");
    Command.push_back(callerAddress(I));
  }
  for (int D = 0; D < m_Layout.m_DataCentres; ++D) {
    Command.push_back("--backend-control");
    Command.push_back(address(FirstBackendHost + D, ServicePort));
  }
  Command.insert(Command.end(),
                 {"--platform", address(PlatformHost, ServicePort), "--report",
                  m_Folder + "/report.json"});
  Command.insert(Command.end(), Arguments.begin(), Arguments.end());
  return ChildProcess(Command, m_Folder + "/load.log");
}

Json Deployment::readReport() {
  std::ifstream File(m_Folder + "/report.json");
  return Json::parse(File, nullptr, false);
}

} // namespace pollenspool::testing
