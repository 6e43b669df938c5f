//===- AdoptionFuzz.cpp - Configuration adoption under faults -------------===//
//
// The oracle records each committed version. It checks that each adopted
// version was committed with the same text, is valid and is above the node's
// previous one, and that all nodes reach the newest valid version after the
// faults end.
//
//===----------------------------------------------------------------------===//

#include "FuzzMain.h"
#include "config/testing/AdoptionCluster.h"

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view InvalidPrefix = "invalid";
constexpr Duration ConvergenceTime = 30s;

class Model {
public:
  explicit Model(std::uint64_t Seed)
      : m_Random(Seed * 7919),
        m_Cluster(
            settings(Seed),
            [](const std::string &Text) {
              return Text.compare(0, InvalidPrefix.size(), InvalidPrefix) != 0;
            },
            [this](std::size_t Node, const Adopt &Action) {
              checkAdoption(Node, Action);
            }) {}

  void step() {
    switch (m_Random() % 40) {
    case 0:
    case 1:
      return commitDocument();
    case 2:
      return restart();
    case 3:
      m_Cluster.faults().m_PlatformDown = m_Random() % 3 != 0;
      break;
    case 4:
      m_Cluster.faults().m_PartitionedDataCentre = m_Random() % 3;
      break;
    case 5:
      m_Cluster.faults() = ClusterFaults();
      break;
    case 6:
      m_Cluster.faults().m_LossPercent = m_Random() % 50;
      m_Cluster.faults().m_DuplicatePercent = m_Random() % 30;
      m_Cluster.faults().m_CorruptPercent = m_Random() % 20;
      m_Cluster.faults().m_ExtraDelay = 1ms * (m_Random() % 5000);
      break;
    default:
      break;
    }
    m_Cluster.run(1ms * (m_Random() % 500));
  }

  // Ends all faults; then every node must reach the newest valid version.
  void checkConvergence() {
    m_Cluster.faults() = ClusterFaults();
    m_Cluster.run(ConvergenceTime);
    for (std::size_t I = 0; I < m_Cluster.size(); ++I)
      if (m_Cluster.core(I).currentHead().m_Version != m_HighestValid)
        throw OracleFailure(
            "node " + std::to_string(I) + " has version " +
            std::to_string(m_Cluster.core(I).currentHead().m_Version) +
            ", expected " + std::to_string(m_HighestValid));
  }

  std::string summary() const {
    return std::to_string(m_Committed.size()) + " commits, " +
           std::to_string(m_Adoptions) + " adoptions";
  }

private:
  static ClusterSettings settings(std::uint64_t Seed) {
    ClusterSettings Settings;
    Settings.m_Seed = Seed;
    // Some seeds disable heartbeats, announcements or both, so that the other
    // ways of spreading a head are tested alone.
    Settings.m_SendsHeartbeats = Seed % 3 != 0;
    Settings.m_SendsAnnouncements = Seed % 4 != 0;
    return Settings;
  }

  // Two operators store one document each and the platform commits one of them.
  // The losing document must never be adopted.
  void commitDocument() {
    if (m_Cluster.faults().m_PlatformDown)
      return;
    std::string Name = std::to_string(++m_Documents);
    m_Cluster.putObject("losing document " + Name);
    std::string Text = "document " + Name;
    if (m_Random() % 12 == 0)
      Text = std::string(InvalidPrefix) + " " + Text;
    else
      m_HighestValid = m_Cluster.head().m_Version + 1;
    m_Committed[m_Cluster.head().m_Version + 1] = Text;
    m_Cluster.commit(Text, m_Random() % m_Cluster.size());
  }

  void restart() {
    std::size_t Node = m_Random() % m_Cluster.size();
    m_CurrentVersions.erase(Node);
    m_Cluster.restart(Node);
  }

  void checkAdoption(std::size_t Node, const Adopt &Action) {
    ++m_Adoptions;
    DocumentVersion Version = Action.m_Head.m_Version;
    std::string Name =
        "node " + std::to_string(Node) + ": version " + std::to_string(Version);
    auto Committed = m_Committed.find(Version);
    if (Committed == m_Committed.end())
      throw OracleFailure(Name + " was never committed");
    if (Committed->second != Action.m_Text)
      throw OracleFailure(Name + " has a text other than the committed one");
    if (Action.m_Text.compare(0, InvalidPrefix.size(), InvalidPrefix) == 0)
      throw OracleFailure(Name + " is invalid");
    if (Version <= m_CurrentVersions[Node])
      throw OracleFailure(Name + " was adopted after version " +
                          std::to_string(m_CurrentVersions[Node]));
    m_CurrentVersions[Node] = Version;
  }

  std::mt19937_64 m_Random;
  std::map<DocumentVersion, std::string> m_Committed;
  std::map<std::size_t, DocumentVersion> m_CurrentVersions;
  DocumentVersion m_HighestValid = 0;
  std::uint64_t m_Documents = 0;
  std::uint64_t m_Adoptions = 0;
  AdoptionCluster m_Cluster;
};

std::string run(const FuzzArguments &Arguments, std::uint64_t &Step) {
  // Convergence is checked rarely, so that many faults come before each check.
  constexpr std::uint64_t StepsBetweenChecks = 300;
  Model Subject(Arguments.m_Seed);
  while (Step < Arguments.m_Steps) {
    Subject.step();
    ++Step;
    if (Step % StepsBetweenChecks == 0)
      Subject.checkConvergence();
  }
  Subject.checkConvergence();
  return Subject.summary();
}

} // namespace

int main(int Argc, char **Argv) { return runFuzz(Argc, Argv, 3000, run); }
