//===- MembershipFuzz.cpp - Membership under loss, pauses and restarts ----===//
//
// Runs a cluster of membership cores over a network that drops, duplicates and
// reorders messages. The oracle records each state that an instance sent of
// itself and checks every view against these records.
//
//===----------------------------------------------------------------------===//

#include "FuzzMain.h"
#include "membership/Membership.h"
#include <map>
#include <optional>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t DataCentres = 3;
constexpr std::size_t NodesPerDataCentre = 4;
constexpr std::size_t Nodes = DataCentres * NodesPerDataCentre;
constexpr Duration StepLength = 100ms;

EntryId idOf(std::size_t Node) {
  return EntryId("10.0.0." + std::to_string(Node));
}

DataCentreName dataCentreOf(std::size_t Node) {
  return DataCentreName("dc" + std::to_string(Node / NodesPerDataCentre));
}

/// Incarnation and sequence.
using StateVersion = std::pair<std::uint64_t, std::uint64_t>;

StateVersion versionOf(const PeerState &State) {
  return {State.m_Incarnation, State.m_Sequence};
}

struct Message {
  std::size_t m_To = 0;
  Heartbeat m_Heartbeat;
};

struct Node {
  std::optional<Membership> m_Core;
  std::uint64_t m_Clock = 1000;
  TimePoint m_PausedUntil;
  TimePoint m_Started;
  std::uint64_t m_Sent = 0;
  /// Newest version of each peer in this node's view since it started.
  std::map<EntryId, StateVersion> m_NewestSeen;
};

class Cluster {
public:
  explicit Cluster(std::uint64_t Seed) : m_Random(Seed) {
    for (std::size_t I = 0; I < Nodes; ++I)
      restart(I, true);
  }

  void step(bool Faulty) {
    m_Now += StepLength;
    if (Faulty)
      injectFault();
    deliver(Faulty);
    for (std::size_t I = 0; I < Nodes; ++I) {
      if (m_Now < m_Nodes[I].m_PausedUntil)
        continue;
      sendDue(I, Faulty);
      checkView(I);
    }
  }

  void endFaults() {
    for (Node &N : m_Nodes)
      N.m_PausedUntil = m_Now;
    m_IsolatedDataCentre = 0;
  }

  /// Time after the last fault within which every view must show the actual
  /// state of every peer.
  Duration settleTime() const {
    const Membership &Core = *m_Nodes.front().m_Core;
    return std::max(Core.localSuspicionTimeout(),
                    Core.remoteSuspicionTimeout()) +
           6s;
  }

  void checkSettled() const {
    for (const Node &Observer : m_Nodes)
      for (const PeerView &View : Observer.m_Core->peers(m_Now))
        checkSettledView(View);
  }

  std::uint64_t sent() const {
    std::uint64_t Sum = 0;
    for (const Node &N : m_Nodes)
      Sum += N.m_Sent;
    return Sum;
  }

private:
  bool chance(unsigned Percent) { return m_Random() % 100 < Percent; }

  std::size_t nodeOf(const EntryId &Id) const {
    std::size_t Found = 0;
    while (idOf(Found) != Id)
      ++Found;
    return Found;
  }

  void restart(std::size_t I, bool RisingClock) {
    Node &N = m_Nodes[I];
    N.m_Clock = RisingClock ? N.m_Clock + 1 + m_Random() % 5 : N.m_Clock - 3;
    MembershipSettings Settings;
    Settings.m_Self = idOf(I);
    Settings.m_Incarnation = N.m_Clock;
    Settings.m_DataCentre = dataCentreOf(I);
    Settings.m_LocalFanout = 2;
    Settings.m_RemoteFanout = 2;
    Settings.m_MaxNotices = 3;
    Settings.m_Seed = m_Random();
    for (std::size_t P = 0; P < Nodes; ++P)
      Settings.m_Peers.push_back({idOf(P), dataCentreOf(P)});
    N.m_Core.emplace(Membership::create(Settings, m_Now).value());
    N.m_NewestSeen.clear();
    N.m_Started = m_Now;
    N.m_Sent = 0;
  }

  void injectFault() {
    std::size_t I = m_Random() % Nodes;
    unsigned Kind = m_Random() % 400;
    if (Kind < 2)
      restart(I, Kind == 0 || m_Nodes[I].m_Clock < 10);
    else if (Kind < 5)
      m_Nodes[I].m_PausedUntil = m_Now + 1s * (m_Random() % 30);
    else if (Kind < 10)
      m_Nodes[I].m_Core->setDraining(chance(60));
    else if (Kind < 15)
      m_Nodes[I].m_Core->setDocumentVersion(++m_Version);
    else if (Kind < 18)
      m_Nodes[I].m_Core->onUnreachable(idOf(m_Random() % Nodes));
    else if (Kind < 20)
      m_IsolatedDataCentre = m_Random() % (DataCentres + 1);
  }

  // An isolated data centre reaches no other one. 0 means that none is
  // isolated; the others are counted from 1.
  bool isPartitioned(std::size_t A, std::size_t B) const {
    std::size_t DcA = A / NodesPerDataCentre + 1;
    std::size_t DcB = B / NodesPerDataCentre + 1;
    return DcA != DcB &&
           (DcA == m_IsolatedDataCentre || DcB == m_IsolatedDataCentre);
  }

  void sendDue(std::size_t I, bool Faulty) {
    Node &N = m_Nodes[I];
    for (OutgoingHeartbeat &Send : N.m_Core->tick(m_Now)) {
      ++N.m_Sent;
      std::size_t To = nodeOf(Send.m_To);
      recordReport(I, Send.m_Message.m_State);
      if (Faulty && (chance(20) || isPartitioned(I, To)))
        continue;
      Message Copy{To, Heartbeat(Send.m_Message)};
      // Encodes and decodes the message, as the driver and its peer do.
      Copy.m_Heartbeat =
          decodeHeartbeat(encodeHeartbeat(Copy.m_Heartbeat)).value();
      schedule(Copy, Faulty);
      if (Faulty && chance(10))
        schedule(Copy, Faulty);
    }
    checkSendRate(N);
  }

  void schedule(const Message &Sent, bool Faulty) {
    Duration Delay = 1ms * (m_Random() % (Faulty ? 4000 : 100));
    // Some messages arrive 30 s late, when their sender may have restarted.
    if (Faulty && chance(3))
      Delay += 30s;
    m_Network.emplace(m_Now + Delay, Sent);
  }

  void deliver(bool Faulty) {
    while (!m_Network.empty() && m_Network.begin()->first <= m_Now) {
      Message Next = std::move(m_Network.begin()->second);
      m_Network.erase(m_Network.begin());
      Node &N = m_Nodes[Next.m_To];
      if (m_Now < N.m_PausedUntil) {
        if (!Faulty || chance(50))
          m_Network.emplace(N.m_PausedUntil, std::move(Next));
        continue;
      }
      N.m_Core->onHeartbeat(Next.m_Heartbeat, m_Now);
    }
  }

  void recordReport(std::size_t I, const PeerState &State) {
    auto [It, IsNew] =
        m_ReportedDraining[idOf(I)].emplace(versionOf(State), State.m_Draining);
    if (!IsNew && It->second != State.m_Draining)
      throw OracleFailure("two states of " + idOf(I).m_Text +
                          " have the same version");
  }

  void checkView(std::size_t I) {
    Node &N = m_Nodes[I];
    for (const PeerView &View : N.m_Core->peers(m_Now)) {
      if (View.m_Health == PeerHealth::Unknown && View.m_State.m_Sequence == 0)
        continue;
      StateVersion Seen = versionOf(View.m_State);
      if (Seen < N.m_NewestSeen[View.m_Id])
        throw OracleFailure(idOf(I).m_Text +
                            " has an earlier state than before of " +
                            View.m_Id.m_Text);
      N.m_NewestSeen[View.m_Id] = Seen;
      auto Reported = m_ReportedDraining[View.m_Id].find(Seen);
      if (Reported == m_ReportedDraining[View.m_Id].end())
        throw OracleFailure(View.m_Id.m_Text + " never sent the state that " +
                            idOf(I).m_Text + " has of it");
      if (Reported->second != View.m_State.m_Draining)
        throw OracleFailure(idOf(I).m_Text + " has a draining flag of " +
                            View.m_Id.m_Text + " that it never sent");
    }
  }

  void checkSendRate(const Node &N) const {
    constexpr std::uint64_t Fanout = 4;
    // Ticks are at least 0.8 of the 1 s interval apart.
    auto Ticks = static_cast<std::uint64_t>((m_Now - N.m_Started) / 800ms) + 1;
    if (N.m_Sent > Ticks * Fanout)
      throw OracleFailure("a node sent more heartbeats than its fanout allows");
  }

  void checkSettledView(const PeerView &View) const {
    const PeerState &True = m_Nodes[nodeOf(View.m_Id)].m_Core->self();
    if (View.m_Health != PeerHealth::Up)
      throw OracleFailure(View.m_Id.m_Text +
                          " is not seen as up by every peer");
    if (View.m_State.m_Incarnation != True.m_Incarnation)
      throw OracleFailure(View.m_Id.m_Text +
                          " is seen with an earlier incarnation");
    if (View.m_State.m_Draining != True.m_Draining ||
        View.m_State.m_DocumentVersion != True.m_DocumentVersion)
      throw OracleFailure(View.m_Id.m_Text + " is seen with an outdated state");
  }

  std::mt19937_64 m_Random;
  TimePoint m_Now{1000s};
  std::vector<Node> m_Nodes{Nodes};
  std::multimap<TimePoint, Message> m_Network;
  std::map<EntryId, std::map<StateVersion, bool>> m_ReportedDraining;
  std::uint64_t m_Version = 0;
  std::size_t m_IsolatedDataCentre = 0;
};

std::string run(const FuzzArguments &Arguments, std::uint64_t &Step) {
  Cluster Network(Arguments.m_Seed);
  for (Step = 0; Step < Arguments.m_Steps; ++Step)
    Network.step(true);
  Network.endFaults();
  auto Settling = static_cast<std::uint64_t>(Network.settleTime() / StepLength);
  for (std::uint64_t I = 0; I < Settling; ++I, ++Step)
    Network.step(false);
  Network.checkSettled();
  return std::to_string(Step) + " steps, " + std::to_string(Network.sent()) +
         " heartbeats since each node's last restart";
}

} // namespace

int main(int Argc, char **Argv) { return runFuzz(Argc, Argv, 20000, run); }
