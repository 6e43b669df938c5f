//===- MembershipBench.cpp - Membership at the planned size ---------------===//
//
// MembershipBench [--instances N] [--local-fanout N] [--notices N]: runs N
// cores in six data centres in simulated time. Prints message bytes per second
// and node, false suspicions of live peers, the time until all peers see that a
// node is draining, and the CPU share of one node.
//
//===----------------------------------------------------------------------===//

#include "membership/Membership.h"
#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <iostream>
#include <map>

using namespace pollenspool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t DataCentres = 6;
constexpr Duration StepLength = 50ms;
constexpr Duration Delay = 2ms;

struct BenchOptions {
  std::size_t m_Instances = 288;
  std::uint32_t m_LocalFanout = 4;
  std::uint32_t m_Notices = 8;
};

struct PendingMessage {
  std::size_t m_To = 0;
  std::string m_Bytes;
};

class Fleet {
public:
  explicit Fleet(const BenchOptions &Options) : m_Options(Options) {
    for (std::size_t I = 0; I < Options.m_Instances; ++I)
      m_Index.emplace(idOf(I), I);
    for (std::size_t I = 0; I < Options.m_Instances; ++I)
      m_Cores.push_back(create(I));
  }

  void run(Duration Length) {
    for (TimePoint End = m_Now + Length; m_Now < End; m_Now += StepLength)
      step();
  }

  /// Number of (observer, peer) pairs in which a live peer is not shown as up.
  std::size_t notUp(bool SameDataCentre) const {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < m_Cores.size(); ++I)
      for (const PeerView &View : m_Cores[I].peers(m_Now))
        if ((View.m_DataCentre == dataCentreOf(I)) == SameDataCentre &&
            View.m_Health != PeerHealth::Up)
          ++Count;
    return Count;
  }

  /// Age of the oldest newest state that any observer has of a peer.
  Duration oldestStateAge(bool SameDataCentre) const {
    Duration MaxAge{0};
    for (std::size_t I = 0; I < m_Cores.size(); ++I)
      for (const PeerView &View : m_Cores[I].peers(m_Now))
        if ((View.m_DataCentre == dataCentreOf(I)) == SameDataCentre)
          MaxAge = std::max(MaxAge, m_Now - View.m_LastHeard);
    return MaxAge;
  }

  /// Time until every peer of the same data centre, or of all data centres,
  /// sees that the node is draining. 600 s if it takes longer.
  Duration timeUntilDrainSeen(std::size_t Drained, bool SameDataCentre) {
    m_Cores[Drained].setDraining(true);
    TimePoint Start = m_Now;
    while (!seesDraining(Drained, SameDataCentre) && m_Now - Start < 600s)
      run(StepLength);
    return m_Now - Start;
  }

  std::uint64_t bytes() const { return m_Bytes; }
  std::uint64_t messages() const { return m_Messages; }
  const Membership &core(std::size_t I) const { return m_Cores[I]; }

private:
  static EntryId idOf(std::size_t I) {
    return EntryId("10.20." + std::to_string(I / 200) + "." +
                   std::to_string(I % 200) + ":7000");
  }

  static DataCentreName dataCentreOf(std::size_t I) {
    return DataCentreName("dc" + std::to_string(I % DataCentres));
  }

  Membership create(std::size_t I) const {
    MembershipSettings Settings;
    Settings.m_Self = idOf(I);
    Settings.m_Incarnation = 1796300000000 + I;
    Settings.m_DataCentre = dataCentreOf(I);
    Settings.m_LocalFanout = m_Options.m_LocalFanout;
    Settings.m_MaxNotices = m_Options.m_Notices;
    Settings.m_Seed = I;
    for (std::size_t P = 0; P < m_Options.m_Instances; ++P)
      Settings.m_Peers.push_back({idOf(P), dataCentreOf(P)});
    return Membership::create(Settings, m_Now).value();
  }

  void step() {
    for (Membership &Core : m_Cores)
      for (OutgoingHeartbeat &Send : Core.tick(m_Now)) {
        std::string Bytes = encodeHeartbeat(Send.m_Message);
        m_Bytes += Bytes.size();
        ++m_Messages;
        m_Network.emplace(m_Now + Delay, PendingMessage{m_Index.at(Send.m_To),
                                                        std::move(Bytes)});
      }
    while (!m_Network.empty() && m_Network.begin()->first <= m_Now) {
      const PendingMessage &Next = m_Network.begin()->second;
      m_Cores[Next.m_To].onHeartbeat(decodeHeartbeat(Next.m_Bytes).value(),
                                     m_Now);
      m_Network.erase(m_Network.begin());
    }
  }

  bool seesDraining(std::size_t Drained, bool SameDataCentre) const {
    for (std::size_t I = 0; I < m_Cores.size(); ++I) {
      if (SameDataCentre && dataCentreOf(I) != dataCentreOf(Drained))
        continue;
      for (const PeerView &View : m_Cores[I].peers(m_Now))
        if (View.m_Id == idOf(Drained) && !View.m_State.m_Draining)
          return false;
    }
    return true;
  }

  const BenchOptions m_Options;
  TimePoint m_Now{1000s};
  std::vector<Membership> m_Cores;
  std::map<EntryId, std::size_t> m_Index;
  std::multimap<TimePoint, PendingMessage> m_Network;
  std::uint64_t m_Bytes = 0;
  std::uint64_t m_Messages = 0;
};

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

BenchOptions readOptions(int Argc, char **Argv) {
  BenchOptions Options;
  for (int I = 1; I + 1 < Argc; I += 2) {
    auto Value = static_cast<std::uint32_t>(std::atoi(Argv[I + 1]));
    if (std::strcmp(Argv[I], "--instances") == 0)
      Options.m_Instances = Value;
    else if (std::strcmp(Argv[I], "--local-fanout") == 0)
      Options.m_LocalFanout = Value;
    else if (std::strcmp(Argv[I], "--notices") == 0)
      Options.m_Notices = Value;
  }
  return Options;
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr Duration WarmUp = 300s;
  constexpr Duration Measured = 120s;
  BenchOptions Options = readOptions(Argc, Argv);
  Fleet Cluster(Options);
  Cluster.run(WarmUp);
  std::uint64_t Bytes = Cluster.bytes();
  std::uint64_t Messages = Cluster.messages();
  std::clock_t Before = std::clock();
  Duration OldestLocalAge{0};
  Duration OldestRemoteAge{0};
  for (Duration Passed{0}; Passed < Measured; Passed += 1s) {
    Cluster.run(1s);
    OldestLocalAge = std::max(OldestLocalAge, Cluster.oldestStateAge(true));
    OldestRemoteAge = std::max(OldestRemoteAge, Cluster.oldestStateAge(false));
  }
  double ProcessorSeconds =
      static_cast<double>(std::clock() - Before) / CLOCKS_PER_SEC;
  double NodeSeconds =
      seconds(Measured) * static_cast<double>(Options.m_Instances);
  std::cout << "instances " << Options.m_Instances << "\nheartbeats_sent_per_s "
            << static_cast<double>(Cluster.messages() - Messages) / NodeSeconds
            << "\nbody_bytes_sent_per_s "
            << static_cast<double>(Cluster.bytes() - Bytes) / NodeSeconds
            << "\nlive_local_not_up " << Cluster.notUp(true)
            << "\nlive_remote_not_up " << Cluster.notUp(false)
            << "\noldest_local_state_age_s " << seconds(OldestLocalAge)
            << "\noldest_remote_state_age_s " << seconds(OldestRemoteAge)
            << "\nlocal_suspicion_timeout_s "
            << seconds(Cluster.core(0).localSuspicionTimeout())
            << "\nremote_suspicion_timeout_s "
            << seconds(Cluster.core(0).remoteSuspicionTimeout())
            << "\ncore_share_percent " << 100 * ProcessorSeconds / NodeSeconds
            << "\ndrain_seen_own_data_centre_s "
            << seconds(Cluster.timeUntilDrainSeen(0, true))
            << "\ndrain_seen_everywhere_s "
            << seconds(Cluster.timeUntilDrainSeen(1, false)) << "\n";
}
