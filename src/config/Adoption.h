//===- Adoption.h - Which document version is in effect ---------*- C++ -*-===//
//
// Decision core of configuration adoption. Its inputs are heads, contents and
// the current time; its outputs are fetches, announcements and adoptions. The
// adopted version never decreases. A head that a peer announces is fetched at
// once. Polling the platform is the fallback; the instances of a data centre
// share one polling rate, so that the load does not grow with their number.
//
//===----------------------------------------------------------------------===//

#ifndef POLLENSPOOL_CONFIG_ADOPTION_H
#define POLLENSPOOL_CONFIG_ADOPTION_H

#include "base/Error.h"
#include "base/Ids.h"
#include "base/Time.h"
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pollenspool {

/// The version number of a committed document; 0 if there is none.
using DocumentVersion = std::uint64_t;

/// A committed document's version number and the hash of its content, which is
/// also its object name.
struct DocumentHead {
  DocumentVersion m_Version = 0;
  std::string m_Hash;
};

/// Event: a head, read from the platform's head row or received as the answer
/// or announcement of a peer on which it is in effect.
struct HeadReport {
  DocumentHead m_Head;
  /// The peer that reported the head; empty for the platform.
  EntryId m_Peer;
};

/// Event: the version in effect on a peer, without its hash, from a heartbeat.
struct PeerVersion {
  EntryId m_Peer;
  DocumentVersion m_Version = 0;
};

/// Event: the text that a fetch returned; its hash is not checked yet.
struct ContentFetched {
  std::string m_Hash;
  std::string m_Text;
};

/// Event: a fetch failed.
struct FetchFailed {
  std::string m_Hash;
};

/// Action: read the platform's head row; onHead() or onPollFailed() follows.
struct PollHead {};

/// Action: query a peer for its head; onHead() follows if it answers.
struct QueryPeerHead {
  EntryId m_Peer;
};

/// Action: read the object \p m_Hash from the platform.
struct FetchObject {
  std::string m_Hash;
};

/// Action: read the document from a peer on which it is in effect.
struct FetchFromPeer {
  EntryId m_Peer;
  DocumentHead m_Head;
};

/// Action: put the document in effect at this instance.
struct Adopt {
  DocumentHead m_Head;
  std::string m_Text;
};

/// Action: send the head to these peers.
struct Announce {
  DocumentHead m_Head;
  std::vector<EntryId> m_To;
};

using AdoptionAction = std::variant<PollHead, QueryPeerHead, FetchObject,
                                    FetchFromPeer, Adopt, Announce>;
using AdoptionActions = std::vector<AdoptionAction>;

struct AdoptionSettings {
  /// Peers of this instance's data centre.
  std::vector<EntryId> m_LocalPeers;
  /// Peers of the other data centres, one list for each.
  std::vector<std::vector<EntryId>> m_RemotePeers;
  /// The time between two polls by any instance of one data centre.
  Duration m_PollInterval = std::chrono::seconds(2);
  /// Upper bound on the time between two polls of this instance, before jitter.
  Duration m_MaxPollInterval = std::chrono::seconds(120);
  /// Time limit for one source; then the next source is tried.
  Duration m_FetchTimeout = std::chrono::seconds(1);
  /// Wait after all sources failed; doubles in each round up to the maximum.
  Duration m_InitialBackoff = std::chrono::milliseconds(200);
  Duration m_MaxBackoff = std::chrono::seconds(2);
  /// How long an instance waits for the platform after its start before it
  /// fetches anything. Without the wait it would adopt an outdated version from
  /// the first peer that answers.
  Duration m_StartupWait = std::chrono::seconds(1);
  /// Time between two rounds of peer queries, which are sent while the platform
  /// fails, while its newest version is rejected here, and before the first
  /// adoption.
  Duration m_PeerQueryInterval = std::chrono::seconds(1);
  /// Number of peers in each other data centre that receive an announcement.
  std::size_t m_RemoteFanout = 2;
  std::uint64_t m_Seed = 0;
};

struct AdoptionCounters {
  std::uint64_t m_Adopted = 0;
  /// Documents that the validator rejected.
  std::uint64_t m_RejectedDocuments = 0;
  /// Contents whose hash differs from the requested one.
  std::uint64_t m_HashMismatches = 0;
  /// Heads with another hash than the one known for their version.
  std::uint64_t m_Conflicts = 0;
  std::uint64_t m_FailedFetches = 0;
};

/// True if the text is a valid document. Must be deterministic.
using DocumentValidator = std::function<bool(const std::string &Text)>;

/// Not thread safe. Each event handler returns the actions to carry out.
class Adoption {
public:
  /// Errors: InvalidSettings if an interval is not positive.
  static Result<Adoption> create(AdoptionSettings Settings,
                                 DocumentValidator Validator, TimePoint Now);

  AdoptionActions onHead(const HeadReport &Report, TimePoint Now);
  AdoptionActions onPollFailed(TimePoint Now);
  AdoptionActions onPeerVersion(const PeerVersion &Report, TimePoint Now);
  AdoptionActions onContent(const ContentFetched &Content, TimePoint Now);
  AdoptionActions onFetchFailed(const FetchFailed &Failure, TimePoint Now);
  AdoptionActions tick(TimePoint Now);

  /// The earliest time at which tick() has something to do.
  TimePoint nextTick() const;

  /// Sets the number of live peers in this data centre, which share the
  /// polling.
  void setLivePeers(std::size_t Count) { m_LivePeers = Count; }

  const DocumentHead &currentHead() const { return m_CurrentHead; }
  const AdoptionCounters &counters() const { return m_Counters; }

private:
  /// A version above the one in effect.
  struct Candidate {
    std::string m_Hash;
    /// Peers on which the version is in effect.
    std::vector<EntryId> m_PeerSources;
    /// True if a peer of another data centre reported it.
    bool m_IsReportedRemotely = false;
    /// True if a local peer reported it; that peer announces it to the other
    /// local peers, too.
    bool m_IsReportedLocally = false;
  };

  struct Fetch {
    DocumentVersion m_Version = 0;
    bool m_IsRunning = false;
    /// Sources that are left in this round, the current one first. An empty ID
    /// denotes the platform.
    std::vector<EntryId> m_Sources;
    /// Rounds in which all sources failed.
    std::size_t m_Rounds = 0;
    /// While the fetch runs, its time-out; otherwise the time of the next
    /// round.
    TimePoint m_DueTime;
  };

  Adoption(AdoptionSettings Settings, DocumentValidator Validator,
           TimePoint Now);

  bool isLocal(const EntryId &Peer) const;
  void recordHead(const HeadReport &Report);
  void pruneCandidates();
  void endStartupWait(TimePoint Now);
  void startFetch(TimePoint Now);
  void tryNextSource(TimePoint Now);
  void startRound(const Candidate &Wanted);
  bool needsPeerQueries() const;
  void endFetch(TimePoint Now);
  void reject(DocumentVersion Version);
  void adopt(DocumentVersion Version, const ContentFetched &Content);
  void announce(const Candidate &Source);
  void queryPeers();
  void queryRandomPeer(const std::vector<EntryId> &Peers);
  void poll(TimePoint Now);
  Duration jittered(Duration Length);
  AdoptionActions takeActions();

  AdoptionSettings m_Settings;
  DocumentValidator m_Validator;
  std::mt19937_64 m_Random;
  std::set<EntryId> m_LocalPeerSet;
  std::size_t m_LivePeers = 0;

  DocumentHead m_CurrentHead;
  std::map<DocumentVersion, Candidate> m_Candidates;
  /// Hashes of documents that the validator rejected.
  std::set<std::string> m_RejectedHashes;
  Fetch m_Fetch;

  bool m_HasStartupWaitEnded = false;
  bool m_IsPlatformFailing = false;
  bool m_IsHeadRejected = false;
  TimePoint m_StartupWaitEnd;
  TimePoint m_NextPoll;
  TimePoint m_NextPeerQuery;

  AdoptionActions m_Actions;
  AdoptionCounters m_Counters;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_ADOPTION_H
