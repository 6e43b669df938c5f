//===- AdoptionBench.cpp - Polling against announcements ------------------===//
//
// Usage: AdoptionBench [--instances N] [--document-bytes N]
//
// Simulates adoption cores in six data centres with 3,400 changes per day and a
// message loss of 1 %. Reports for each strategy the platform reads per second,
// the bytes per second and node, and the time in seconds until a change is in
// effect on a node and on all nodes.
//
//===----------------------------------------------------------------------===//

#include "config/testing/AdoptionCluster.h"
#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <iomanip>
#include <iostream>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t DataCentres = 6;
constexpr Duration ChangeInterval = std::chrono::microseconds(
    86400000000 / 3400); // Length of a day / changes per day

struct Strategy {
  const char *m_Name;
  bool m_SendsAnnouncements;
  bool m_SendsHeartbeats;
  bool m_SharedPolling;
  Duration m_PollInterval;
};

constexpr Strategy Strategies[] = {
    {"poll every 5 s", false, false, false, 5s},
    {"poll every 2 s", false, false, false, 2s},
    {"shared poll 2 s, heartbeats", false, true, true, 2s},
    {"announce, poll every 30 s", true, false, false, 30s},
    {"announce, shared poll 2 s", true, false, true, 2s},
    {"announce, shared poll, heartbeats", true, true, true, 2s},
};

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

Duration quantile(std::vector<Duration> &Times, double Share) {
  std::sort(Times.begin(), Times.end());
  auto Last = static_cast<double>(Times.size() - 1);
  return Times[static_cast<std::size_t>(Last * Share)];
}

void measure(const Strategy &Chosen, std::size_t Instances,
             std::size_t DocumentBytes) {
  constexpr int Changes = 40;
  ClusterSettings Settings;
  Settings.m_DataCentres = DataCentres;
  Settings.m_NodesPerDataCentre = Instances / DataCentres;
  Settings.m_SendsAnnouncements = Chosen.m_SendsAnnouncements;
  Settings.m_SendsHeartbeats = Chosen.m_SendsHeartbeats;
  Settings.m_SharedPolling = Chosen.m_SharedPolling;
  Settings.m_PollInterval = Chosen.m_PollInterval;
  std::vector<Duration> NodeDelays;
  std::vector<Duration> ClusterDelays;
  TimePoint Committed;
  AdoptionCluster *ClusterPtr = nullptr;
  AdoptionCluster Cluster(
      Settings, [](const std::string &) { return true; },
      [&](std::size_t, const Adopt &) {
        NodeDelays.push_back(ClusterPtr->now() - Committed);
      });
  ClusterPtr = &Cluster;
  Cluster.run(10s);
  Cluster.faults().m_LossPercent = 1;
  for (int I = 0; I < Changes; ++I) {
    std::string Text = std::to_string(I) + std::string(DocumentBytes, 'd');
    Committed = Cluster.now();
    std::size_t Before = NodeDelays.size();
    Cluster.commit(Text, static_cast<std::size_t>(I * 7) % Cluster.size());
    Cluster.run(ChangeInterval);
    ClusterDelays.push_back(NodeDelays.size() - Before == Cluster.size()
                                ? NodeDelays.back()
                                : ChangeInterval);
  }
  const ClusterTraffic &Traffic = Cluster.traffic();
  double Time = seconds(ChangeInterval) * Changes;
  double NodeTime = Time * static_cast<double>(Cluster.size());
  std::cout << std::left << std::setw(36) << Chosen.m_Name << std::right
            << std::fixed << std::setprecision(2) << std::setw(10)
            << static_cast<double>(Traffic.m_PlatformReads) / Time
            << std::setw(10)
            << static_cast<double>(Traffic.m_HeadBytes) / NodeTime
            << std::setw(10)
            << static_cast<double>(Traffic.m_ContentBytes) / NodeTime
            << std::setw(10) << seconds(quantile(NodeDelays, 0.5))
            << std::setw(10) << seconds(quantile(NodeDelays, 0.99))
            << std::setw(10) << seconds(quantile(ClusterDelays, 0.5))
            << std::setw(10) << seconds(quantile(ClusterDelays, 1)) << "\n";
}

} // namespace

int main(int Argc, char **Argv) {
  std::size_t Instances = 288;
  std::size_t DocumentBytes = 20000;
  for (int I = 1; I + 1 < Argc; I += 2) {
    auto Value = static_cast<std::size_t>(std::atoi(Argv[I + 1]));
    if (std::strcmp(Argv[I], "--instances") == 0)
      Instances = Value;
    else if (std::strcmp(Argv[I], "--document-bytes") == 0)
      DocumentBytes = Value;
  }
  std::cout << Instances << " instances, " << DocumentBytes
            << " bytes per document\nstrategy                               "
               "reads/s  head B/s  text B/s  node p50  node p99   all p50   "
               "all max\n";
  for (const Strategy &Chosen : Strategies)
    measure(Chosen, Instances, DocumentBytes);
}
