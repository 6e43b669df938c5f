//===- AdoptionCluster.h - Adoption in a simulated network ------*- C++ -*-===//
//
// Simulates many adoption cores, a platform and a network in virtual time, with
// configurable faults and traffic counters. For the fuzzer and the benchmark.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CONFIG_TESTING_ADOPTIONCLUSTER_H
#define POLLENSPOOL_CONFIG_TESTING_ADOPTIONCLUSTER_H

#include "config/Adoption.h"
#include "config/ContentHash.h"
#include <optional>

namespace pollenspool {

struct ClusterSettings {
  std::size_t m_DataCentres = 3;
  std::size_t m_NodesPerDataCentre = 3;
  /// If false, announcements are not delivered.
  bool m_SendsAnnouncements = true;
  /// If true, each node sends its version to random peers once per second, as
  /// heartbeats do.
  bool m_SendsHeartbeats = true;
  Duration m_MinDelay = std::chrono::milliseconds(1);
  Duration m_MaxDelay = std::chrono::milliseconds(5);
  Duration m_PollInterval = std::chrono::seconds(2);
  /// If false, each node polls at that interval regardless of its peers.
  bool m_SharedPolling = true;
  std::uint64_t m_Seed = 1;
};

/// Injected faults; may be changed while the cluster runs.
struct ClusterFaults {
  unsigned m_LossPercent = 0;
  unsigned m_DuplicatePercent = 0;
  unsigned m_CorruptPercent = 0;
  Duration m_ExtraDelay{0};
  bool m_PlatformDown = false;
  /// The data centre whose connections to all others are cut.
  std::optional<std::size_t> m_PartitionedDataCentre;
};

struct ClusterTraffic {
  std::uint64_t m_PlatformReads = 0;
  std::uint64_t m_HeadBytes = 0;
  std::uint64_t m_ContentBytes = 0;
  std::uint64_t m_PeerMessages = 0;
};

/// Not thread safe.
class AdoptionCluster {
public:
  /// Called at each adoption with the node's index.
  using Observer = std::function<void(std::size_t, const Adopt &)>;

  AdoptionCluster(ClusterSettings Settings, DocumentValidator Validator,
                  Observer OnAdopt)
      : m_Settings(Settings), m_Validator(std::move(Validator)),
        m_OnAdopt(std::move(OnAdopt)), m_Random(Settings.m_Seed),
        m_Nodes(Settings.m_DataCentres * Settings.m_NodesPerDataCentre) {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      restart(I);
  }

  /// Restarts a node; its state is lost.
  void restart(std::size_t I) {
    Node &N = m_Nodes[I];
    ++N.m_Incarnation;
    N.m_Text.clear();
    N.m_NextHeartbeat =
        m_Now + Duration(m_Random() % HeartbeatInterval.count());
    N.m_Core.emplace(
        Adoption::create(coreSettings(I), m_Validator, m_Now).value());
    if (m_Settings.m_SharedPolling)
      N.m_Core->setLivePeers(m_Settings.m_NodesPerDataCentre - 1);
  }

  /// Stores a text as an object without committing it.
  void putObject(const std::string &Text) {
    m_Objects[contentHash(Text)] = Text;
  }

  /// Stores a text, commits it as the next version and reports the new head to
  /// the node \p Committer.
  DocumentHead commit(const std::string &Text, std::size_t Committer) {
    putObject(Text);
    m_Head = {m_Head.m_Version + 1, contentHash(Text)};
    perform(Committer, m_Nodes[Committer].m_Core->onHead({m_Head, {}}, m_Now));
    return m_Head;
  }

  void run(Duration Length) {
    for (TimePoint End = m_Now + Length; m_Now < End; m_Now += StepLength)
      step();
  }

  ClusterFaults &faults() { return m_Faults; }
  const ClusterTraffic &traffic() const { return m_Traffic; }
  const DocumentHead &head() const { return m_Head; }
  TimePoint now() const { return m_Now; }
  std::size_t size() const { return m_Nodes.size(); }
  const Adoption &core(std::size_t I) const { return *m_Nodes[I].m_Core; }

private:
  static constexpr Duration StepLength = std::chrono::milliseconds(5);
  static constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
  /// Size of the frames and headers of a call and its answer without bodies.
  static constexpr std::uint64_t CallBytes = 160;
  /// Size of the body that carries a head.
  static constexpr std::uint64_t HeadBytes = 48;

  struct Node {
    std::optional<Adoption> m_Core;
    std::string m_Text;
    /// Counts restarts; messages to an earlier incarnation are dropped.
    std::uint64_t m_Incarnation = 0;
    TimePoint m_NextHeartbeat;
  };

  /// Carries out an action on the simulated network.
  struct ActionVisitor {
    AdoptionCluster &m_Cluster;
    std::size_t m_Node;

    void operator()(const PollHead &) { m_Cluster.pollHead(m_Node); }
    void operator()(const FetchObject &Fetch) {
      m_Cluster.fetchObject(m_Node, Fetch.m_Hash);
    }
    void operator()(const QueryPeerHead &Query) {
      m_Cluster.askPeer(m_Node, nodeOf(Query.m_Peer));
    }
    void operator()(const FetchFromPeer &Fetch) {
      m_Cluster.fetchFromPeer(m_Node, nodeOf(Fetch.m_Peer),
                              Fetch.m_Head.m_Hash);
    }
    void operator()(const Adopt &Adopted) {
      m_Cluster.m_Nodes[m_Node].m_Text = Adopted.m_Text;
      m_Cluster.m_OnAdopt(m_Node, Adopted);
    }
    void operator()(const Announce &Message) {
      m_Cluster.announce(m_Node, Message);
    }
  };

  static EntryId idOf(std::size_t I) { return EntryId(std::to_string(I)); }
  static std::size_t nodeOf(const EntryId &Id) { return std::stoul(Id.m_Text); }

  std::size_t dataCentreOf(std::size_t I) const {
    return I / m_Settings.m_NodesPerDataCentre;
  }

  AdoptionSettings coreSettings(std::size_t I) {
    AdoptionSettings Core;
    Core.m_Seed = m_Random();
    Core.m_PollInterval = m_Settings.m_PollInterval;
    Core.m_RemotePeers.resize(m_Settings.m_DataCentres);
    for (std::size_t P = 0; P < m_Nodes.size(); ++P) {
      if (P == I)
        continue;
      if (dataCentreOf(P) == dataCentreOf(I))
        Core.m_LocalPeers.push_back(idOf(P));
      else
        Core.m_RemotePeers[dataCentreOf(P)].push_back(idOf(P));
    }
    return Core;
  }

  bool chance(unsigned Percent) {
    return Percent > 0 && m_Random() % 100 < Percent;
  }

  bool isPartitioned(std::size_t A, std::size_t B) const {
    std::size_t DcA = dataCentreOf(A);
    std::size_t DcB = dataCentreOf(B);
    return DcA != DcB && (m_Faults.m_PartitionedDataCentre == DcA ||
                          m_Faults.m_PartitionedDataCentre == DcB);
  }

  Duration delay() {
    auto Spread =
        m_Settings.m_MaxDelay - m_Settings.m_MinDelay + m_Faults.m_ExtraDelay;
    auto Steps = static_cast<std::uint64_t>(Spread.count()) + 1;
    return m_Settings.m_MinDelay + Duration(m_Random() % Steps);
  }

  /// Calls \p Deliver on the core of \p To after a delay; an injected fault may
  /// drop or duplicate the call.
  template <typename Function> void send(std::size_t To, Function Deliver) {
    if (chance(m_Faults.m_LossPercent))
      return;
    int Copies = chance(m_Faults.m_DuplicatePercent) ? 2 : 1;
    std::uint64_t Incarnation = m_Nodes[To].m_Incarnation;
    for (int I = 0; I < Copies; ++I)
      m_Events.emplace(m_Now + delay(), [this, To, Incarnation, Deliver] {
        if (m_Nodes[To].m_Incarnation == Incarnation)
          perform(To, Deliver(*m_Nodes[To].m_Core));
      });
  }

  void perform(std::size_t I, const AdoptionActions &Actions) {
    for (const AdoptionAction &Action : Actions)
      std::visit(ActionVisitor{*this, I}, Action);
  }

  void pollHead(std::size_t I) {
    ++m_Traffic.m_PlatformReads;
    m_Traffic.m_HeadBytes += CallBytes + HeadBytes;
    bool Down = m_Faults.m_PlatformDown;
    DocumentHead Head = m_Head;
    send(I, [this, Down, Head](Adoption &Core) {
      return Down ? Core.onPollFailed(m_Now) : Core.onHead({Head, {}}, m_Now);
    });
  }

  void fetchObject(std::size_t I, const std::string &Hash) {
    ++m_Traffic.m_PlatformReads;
    sendContent(I, Hash, m_Faults.m_PlatformDown ? "" : m_Objects[Hash]);
  }

  void fetchFromPeer(std::size_t I, std::size_t Peer, const std::string &Hash) {
    bool Has = m_Nodes[Peer].m_Core->currentHead().m_Hash == Hash;
    sendContent(I, Hash,
                Has && !isPartitioned(I, Peer) ? m_Nodes[Peer].m_Text : "");
  }

  void sendContent(std::size_t I, const std::string &Hash, std::string Text) {
    m_Traffic.m_ContentBytes += CallBytes + Text.size();
    if (chance(m_Faults.m_CorruptPercent))
      Text = Text.substr(0, Text.size() / 2);
    send(I, [this, Hash, Text](Adoption &Core) {
      return Text.empty() ? Core.onFetchFailed({Hash}, m_Now)
                          : Core.onContent({Hash, Text}, m_Now);
    });
  }

  void askPeer(std::size_t I, std::size_t Peer) {
    if (isPartitioned(I, Peer))
      return;
    sendHead(I, m_Nodes[Peer].m_Core->currentHead(), Peer);
  }

  void announce(std::size_t I, const Announce &Message) {
    if (!m_Settings.m_SendsAnnouncements)
      return;
    for (const EntryId &To : Message.m_To)
      if (!isPartitioned(I, nodeOf(To)))
        sendHead(nodeOf(To), Message.m_Head, I);
  }

  void sendHead(std::size_t To, const DocumentHead &Head, std::size_t From) {
    ++m_Traffic.m_PeerMessages;
    m_Traffic.m_HeadBytes += CallBytes + HeadBytes;
    send(To, [this, Head, From](Adoption &Core) {
      return Core.onHead({Head, idOf(From)}, m_Now);
    });
  }

  void heartbeat(std::size_t I) {
    m_Nodes[I].m_NextHeartbeat = m_Now + HeartbeatInterval;
    DocumentVersion Version = m_Nodes[I].m_Core->currentHead().m_Version;
    constexpr int PeersTold = 3;
    for (int Count = 0; Count < PeersTold; ++Count) {
      std::size_t To = m_Random() % m_Nodes.size();
      if (To != I && !isPartitioned(I, To))
        send(To, [this, I, Version](Adoption &Core) {
          return Core.onPeerVersion({idOf(I), Version}, m_Now);
        });
    }
  }

  void step() {
    while (!m_Events.empty() && m_Events.begin()->first <= m_Now) {
      std::function<void()> Next = std::move(m_Events.begin()->second);
      m_Events.erase(m_Events.begin());
      Next();
    }
    for (std::size_t I = 0; I < m_Nodes.size(); ++I) {
      if (m_Nodes[I].m_Core->nextTick() <= m_Now)
        perform(I, m_Nodes[I].m_Core->tick(m_Now));
      if (m_Settings.m_SendsHeartbeats && m_Nodes[I].m_NextHeartbeat <= m_Now)
        heartbeat(I);
    }
  }

  const ClusterSettings m_Settings;
  DocumentValidator m_Validator;
  Observer m_OnAdopt;
  std::mt19937_64 m_Random;
  TimePoint m_Now{std::chrono::seconds(1000)};
  std::vector<Node> m_Nodes;
  std::multimap<TimePoint, std::function<void()>> m_Events;
  std::map<std::string, std::string> m_Objects;
  DocumentHead m_Head;
  ClusterFaults m_Faults;
  ClusterTraffic m_Traffic;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_TESTING_ADOPTIONCLUSTER_H
