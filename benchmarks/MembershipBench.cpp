//===- MembershipBench.cpp - Membership at the planned size ---------------===//
//
// MembershipBench [--instances N] [--local-fanout N] [--notices N]: runs N
// cores in six data centres in simulated time. Prints message bytes per second
// and node, suspicions of live peers, how long a draining mark takes to be seen
// everywhere, and processor time per node and second.
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

struct Load {
  std::size_t m_Instances = 288;
  std::uint32_t m_LocalFanout = 4;
  std::uint32_t m_Notices = 8;
};

struct Sent {
  std::size_t m_To = 0;
  std::string m_Bytes;
};

class Fleet {
public:
  explicit Fleet(const Load &Size) : m_Size(Size) {
    for (std::size_t I = 0; I < Size.m_Instances; ++I)
      m_Index.emplace(idOf(I), I);
    for (std::size_t I = 0; I < Size.m_Instances; ++I)
      m_Cores.push_back(create(I));
  }

  void run(Duration Length) {
    for (TimePoint End = m_Now + Length; m_Now < End; m_Now += StepLength)
      step();
  }

  /// Counts (observer, peer) pairs in which a live peer is not seen as up.
  std::size_t notUp(bool SameDataCentre) const {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < m_Cores.size(); ++I)
      for (const PeerView &View : m_Cores[I].peers(m_Now))
        if ((View.m_DataCentre == dataCentreOf(I)) == SameDataCentre &&
            View.m_Health != PeerHealth::Up)
          ++Count;
    return Count;
  }

  /// The longest time that any observer went without news of a peer.
  Duration oldestNews(bool SameDataCentre) const {
    Duration Oldest{0};
    for (std::size_t I = 0; I < m_Cores.size(); ++I)
      for (const PeerView &View : m_Cores[I].peers(m_Now))
        if ((View.m_DataCentre == dataCentreOf(I)) == SameDataCentre)
          Oldest = std::max(Oldest, m_Now - View.m_LastHeard);
    return Oldest;
  }

  /// Time until every peer of the own data centre, or of all, sees the mark.
  Duration drainSeenAfter(std::size_t Drained, bool SameDataCentre) {
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
    Settings.m_LocalFanout = m_Size.m_LocalFanout;
    Settings.m_MaxNotices = m_Size.m_Notices;
    Settings.m_Seed = I;
    for (std::size_t P = 0; P < m_Size.m_Instances; ++P)
      Settings.m_Peers.push_back({idOf(P), dataCentreOf(P)});
    return Membership::create(Settings, m_Now).value();
  }

  void step() {
    for (Membership &Core : m_Cores)
      for (HeartbeatTo &Send : Core.tick(m_Now)) {
        std::string Bytes = encodeHeartbeat(Send.m_Message);
        m_Bytes += Bytes.size();
        ++m_Messages;
        m_Wire.emplace(m_Now + Delay,
                       Sent{m_Index.at(Send.m_To), std::move(Bytes)});
      }
    while (!m_Wire.empty() && m_Wire.begin()->first <= m_Now) {
      const Sent &Next = m_Wire.begin()->second;
      m_Cores[Next.m_To].onHeartbeat(decodeHeartbeat(Next.m_Bytes).value(),
                                     m_Now);
      m_Wire.erase(m_Wire.begin());
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

  const Load m_Size;
  TimePoint m_Now{1000s};
  std::vector<Membership> m_Cores;
  std::map<EntryId, std::size_t> m_Index;
  std::multimap<TimePoint, Sent> m_Wire;
  std::uint64_t m_Bytes = 0;
  std::uint64_t m_Messages = 0;
};

double seconds(Duration Length) {
  return std::chrono::duration<double>(Length).count();
}

Load readLoad(int Argc, char **Argv) {
  Load Size;
  for (int I = 1; I + 1 < Argc; I += 2) {
    auto Value = static_cast<std::uint32_t>(std::atoi(Argv[I + 1]));
    if (std::strcmp(Argv[I], "--instances") == 0)
      Size.m_Instances = Value;
    else if (std::strcmp(Argv[I], "--local-fanout") == 0)
      Size.m_LocalFanout = Value;
    else if (std::strcmp(Argv[I], "--notices") == 0)
      Size.m_Notices = Value;
  }
  return Size;
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr Duration WarmUp = 300s;
  constexpr Duration Measured = 120s;
  Load Size = readLoad(Argc, Argv);
  Fleet Nodes(Size);
  Nodes.run(WarmUp);
  std::uint64_t Bytes = Nodes.bytes();
  std::uint64_t Messages = Nodes.messages();
  std::clock_t Before = std::clock();
  Duration OldestLocal{0};
  Duration OldestRemote{0};
  for (Duration Passed{0}; Passed < Measured; Passed += 1s) {
    Nodes.run(1s);
    OldestLocal = std::max(OldestLocal, Nodes.oldestNews(true));
    OldestRemote = std::max(OldestRemote, Nodes.oldestNews(false));
  }
  double Processor =
      static_cast<double>(std::clock() - Before) / CLOCKS_PER_SEC;
  double NodeSeconds =
      seconds(Measured) * static_cast<double>(Size.m_Instances);
  std::cout << "instances " << Size.m_Instances << "\nheartbeats_sent_per_s "
            << static_cast<double>(Nodes.messages() - Messages) / NodeSeconds
            << "\nbody_bytes_sent_per_s "
            << static_cast<double>(Nodes.bytes() - Bytes) / NodeSeconds
            << "\nlive_local_not_up " << Nodes.notUp(true)
            << "\nlive_remote_not_up " << Nodes.notUp(false)
            << "\noldest_local_news_s " << seconds(OldestLocal)
            << "\noldest_remote_news_s " << seconds(OldestRemote)
            << "\nlocal_patience_s " << seconds(Nodes.core(0).localPatience())
            << "\nremote_patience_s " << seconds(Nodes.core(0).remotePatience())
            << "\ncore_share_percent " << 100 * Processor / NodeSeconds
            << "\ndrain_seen_own_data_centre_s "
            << seconds(Nodes.drainSeenAfter(0, true))
            << "\ndrain_seen_everywhere_s "
            << seconds(Nodes.drainSeenAfter(1, false)) << "\n";
}
