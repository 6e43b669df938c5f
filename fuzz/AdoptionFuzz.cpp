//===- AdoptionFuzz.cpp - Configuration take-over under faults ------------===//
//
// The oracle knows what was committed and watches each adoption.
//
//===----------------------------------------------------------------------===//

#include "FuzzMain.h"
#include "config/testing/AdoptionCluster.h"

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view InvalidMark = "invalid";
constexpr Duration SettleTime = 30s;

class Model {
public:
  explicit Model(std::uint64_t Seed)
      : m_Random(Seed * 7919),
        m_Cluster(
            settings(Seed),
            [](const std::string &Text) {
              return Text.compare(0, InvalidMark.size(), InvalidMark) != 0;
            },
            [this](std::size_t Node, const Adopt &Action) {
              check(Node, Action);
            }) {}

  void step() {
    switch (m_Random() % 40) {
    case 0:
    case 1:
      return race();
    case 2:
      return restart();
    case 3:
      m_Cluster.faults().m_PlatformDown = m_Random() % 3 != 0;
      break;
    case 4:
      m_Cluster.faults().m_CutDataCentre = m_Random() % 3;
      break;
    case 5:
      m_Cluster.faults() = ClusterFaults();
      break;
    case 6:
      m_Cluster.faults().m_LossPercent = m_Random() % 50;
      m_Cluster.faults().m_DoublePercent = m_Random() % 30;
      m_Cluster.faults().m_CorruptPercent = m_Random() % 20;
      m_Cluster.faults().m_ExtraDelay = 1ms * (m_Random() % 5000);
      break;
    default:
      break;
    }
    m_Cluster.run(1ms * (m_Random() % 500));
  }

  void settle() {
    m_Cluster.faults() = ClusterFaults();
    m_Cluster.run(SettleTime);
    for (std::size_t I = 0; I < m_Cluster.size(); ++I)
      if (m_Cluster.core(I).inForce().m_Version != m_HighestValid)
        throw OracleFailure(
            "node " + std::to_string(I) + " has version " +
            std::to_string(m_Cluster.core(I).inForce().m_Version) + ", not " +
            std::to_string(m_HighestValid));
  }

  std::string summary() const {
    return std::to_string(m_Committed.size()) + " commits, " +
           std::to_string(m_Adoptions) + " adoptions";
  }

private:
  static ClusterSettings settings(std::uint64_t Seed) {
    ClusterSettings Settings;
    Settings.m_Seed = Seed;
    // Some seeds go without the one or the other way for heads to spread.
    Settings.m_Heartbeats = Seed % 3 != 0;
    Settings.m_Announces = Seed % 4 != 0;
    return Settings;
  }

  // Two operators store a document each; the platform commits one.
  void race() {
    if (m_Cluster.faults().m_PlatformDown)
      return;
    std::string Name = std::to_string(++m_Documents);
    m_Cluster.putObject("losing document " + Name);
    std::string Text = "document " + Name;
    if (m_Random() % 12 == 0)
      Text = std::string(InvalidMark) + " " + Text;
    else
      m_HighestValid = m_Cluster.head().m_Version + 1;
    m_Committed[m_Cluster.head().m_Version + 1] = Text;
    m_Cluster.commit(Text, m_Random() % m_Cluster.size());
  }

  void restart() {
    std::size_t Node = m_Random() % m_Cluster.size();
    m_InForce.erase(Node);
    m_Cluster.restart(Node);
  }

  void check(std::size_t Node, const Adopt &Action) {
    ++m_Adoptions;
    DocumentVersion Version = Action.m_Head.m_Version;
    std::string Name =
        "node " + std::to_string(Node) + ": version " + std::to_string(Version);
    auto Committed = m_Committed.find(Version);
    if (Committed == m_Committed.end())
      throw OracleFailure(Name + " was never committed");
    if (Committed->second != Action.m_Text)
      throw OracleFailure(Name + " has another text than was committed");
    if (Action.m_Text.compare(0, InvalidMark.size(), InvalidMark) == 0)
      throw OracleFailure(Name + " is invalid");
    if (Version <= m_InForce[Node])
      throw OracleFailure(Name + " came after version " +
                          std::to_string(m_InForce[Node]));
    m_InForce[Node] = Version;
  }

  std::mt19937_64 m_Random;
  std::map<DocumentVersion, std::string> m_Committed;
  std::map<std::size_t, DocumentVersion> m_InForce;
  DocumentVersion m_HighestValid = 0;
  std::uint64_t m_Documents = 0;
  std::uint64_t m_Adoptions = 0;
  AdoptionCluster m_Cluster;
};

std::string run(const FuzzArguments &Arguments, std::uint64_t &Step) {
  // The faults end a few times, so that each end has much before it.
  constexpr std::uint64_t StepsBetweenEnds = 300;
  Model Subject(Arguments.m_Seed);
  while (Step < Arguments.m_Steps) {
    Subject.step();
    ++Step;
    if (Step % StepsBetweenEnds == 0)
      Subject.settle();
  }
  Subject.settle();
  return Subject.summary();
}

} // namespace

int main(int Argc, char **Argv) { return runFuzz(Argc, Argv, 3000, run); }
