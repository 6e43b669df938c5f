//===- Deployment.h - A small deployment of real processes ------*- C++ -*-===//
//
// Starts the platform stand-in, backend servers, proxies and entry instances.
// Each deployment has loopback addresses of its own, so that its ports are free
// and never collide with ephemeral ports of outgoing connections.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_TESTS_INTEGRATION_DEPLOYMENT_H
#define POLLENSPOOL_TESTS_INTEGRATION_DEPLOYMENT_H

#include "integration/ChildProcess.h"
#include <chrono>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace pollenspool::testing {

using Json = nlohmann::ordered_json;

/// Default time limit of waitUntil(), far above the duration of a passing run.
constexpr std::chrono::seconds ConditionTimeout{40};

/// Polls until \p Holds is true. Returns false if it is not within \p Limit.
bool waitUntil(const std::function<bool()> &Holds,
               std::chrono::milliseconds Limit = ConditionTimeout);

/// An answer as a caller receives it. Status 0 means that there was no HTTP
/// answer.
struct Reply {
  int m_Status = 0;
  std::string m_Outcome;
  std::string m_Reason;
  std::string m_Instance;
  std::string m_Body;
};

/// A request of a caller. A negative m_WorkMs keeps the backend's default.
struct Call {
  std::string m_Service = "crew-desk";
  std::string m_Key;
  int m_Attempt = 1;
  bool m_Repeatable = false;
  int m_TimeoutMs = 10000;
  int m_WorkMs = -1;
  std::string m_Class;
};

/// Size and settings of a deployment. Data centres are named a, b, ...
struct Layout {
  int m_DataCentres = 2;
  int m_EntriesPerDataCentre = 2;
  int m_InstancesPerDataCentre = 4;
  /// Routes the connections of each entry instance to the platform, and peers'
  /// connections to each entry instance, through the fault proxy.
  bool m_Proxied = false;
  int m_WorkMs = 10;
  int m_RebootMs = 300;
  int m_ListLagMs = 100;
  /// Time within which callers may repeat a key. Must be short in a test that
  /// waits until claims may be granted without the platform.
  int m_ClaimLifetimeMs = 900000;
  /// The configuration document to apply; empty selects the default one.
  std::string m_Document;
};

/// Returns a layout of the given size with defaults for everything else.
inline Layout layoutWithSize(int DataCentres, int EntriesEach,
                             int InstancesEach) {
  Layout Out;
  Out.m_DataCentres = DataCentres;
  Out.m_EntriesPerDataCentre = EntriesEach;
  Out.m_InstancesPerDataCentre = InstancesEach;
  return Out;
}

class Deployment {
public:
  /// Starts all processes, applies the configuration document and waits until
  /// all entry instances are ready and list all instances. Fails the test if
  /// this takes longer than ConditionTimeout.
  explicit Deployment(Layout Wanted);
  ~Deployment();

  // Entry instances are numbered from 0, ordered by data centre.
  void startEntry(int Index);
  void signalEntry(int Index, int Number);
  int waitEntry(int Index);
  bool isReady(int Index);

  Reply call(int Index, const Call &What);
  Json adminGet(int Index, const std::string &Path);
  /// Returns the HTTP status, 0 without an answer. The body is stored in \p Out
  /// if it is not null.
  int adminPost(int Index, const std::string &Path, const Json &Body,
                Json *Out = nullptr);
  /// Posts to the callers' port. Returns the HTTP status, 0 without an answer.
  int callerPost(int Index, const std::string &Path, const Json &Body);
  /// Posts to any address without a token. Returns the HTTP status, 0 without
  /// an answer.
  int callerPostTo(const std::string &Where, const std::string &Path,
                   const Json &Body);
  /// Waits until all entry instances may grant claims from memory, that is,
  /// without the platform.
  void waitUntilAllMayGrantFromMemory();
  /// Returns the value of a metric with its labels; 0 if it is not exported, -1
  /// without an answer.
  double metric(int Index, const std::string &Line);

  void platformKnobs(const Json &Knobs);
  Json platformGet(const std::string &Path);
  void platformPost(const std::string &Path, const Json &Body);
  void backendKnobs(const std::string &Instance, const Json &Knobs);
  /// Sets faults of the proxy route between an entry instance and the platform
  /// (platformFault), or of the route to its peer address (peerFault). Only
  /// with m_Proxied.
  void platformFault(int Index, const Json &Fault);
  void peerFault(int Index, const Json &Fault);

  /// Returns how often all backend servers together have run a request.
  int runCountOf(const std::string &Key);
  std::vector<Json> runs();

  /// Runs the operators' tool and returns its exit code. The output is stored
  /// in \p Output if it is not null.
  int tool(std::vector<std::string> Arguments, std::string *Output = nullptr);
  /// Starts the load tool against all entry instances. readReport() returns its
  /// report after its end.
  ChildProcess startLoad(std::vector<std::string> Arguments);
  Json readReport();

  std::string writeFile(const std::string &Name, const std::string &Text) const;
  int entryCount() const { return static_cast<int>(m_Entries.size()); }
  std::string adminAddress(int Index) const;
  std::string callerAddress(int Index) const;
  std::string peerAddress(int Index) const;

private:
  struct Entry {
    std::string m_DataCentre;
    ChildProcess m_Process;
  };

  std::string address(int Host, int Port) const;
  std::string settingsFor(int Index) const;
  void startPlatform();
  void startBackends();
  void startProxy();
  void applyDocument();
  void waitUntilReady();

  Layout m_Layout;
  std::string m_Prefix;
  std::string m_Folder;
  std::string m_Programs;
  ChildProcess m_Platform;
  ChildProcess m_Proxy;
  std::vector<ChildProcess> m_Backends;
  std::vector<Entry> m_Entries;
  int m_ToolRuns = 0;
};

} // namespace pollenspool::testing

#endif // POLLENSPOOL_TESTS_INTEGRATION_DEPLOYMENT_H
