//===- Adoption.h - Which document version is in force ----------*- C++ -*-===//
//
// Decision core of the configuration take-over: heads, contents and the time
// in, fetches, announcements and adoptions out. Versions only rise. A head that
// a peer announces is acted on at once; polling is the fallback, and all the
// instances of a data centre share one rate of polls.
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

/// The number of a committed document; 0 is none.
using DocumentVersion = std::uint64_t;

/// A committed document's number and the hash that names its content.
struct DocumentHead {
  DocumentVersion m_Version = 0;
  std::string m_Hash;
};

/// Event: the platform's head row, or the answer or announcement of a peer. The
/// peer has the document in force.
struct HeadSeen {
  DocumentHead m_Head;
  /// Empty: the platform.
  EntryId m_Peer;
};

/// Event: a peer's version without its hash, as heartbeats carry it.
struct PeerVersion {
  EntryId m_Peer;
  DocumentVersion m_Version = 0;
};

/// Event: the text that a fetch brought.
struct ContentFetched {
  std::string m_Hash;
  std::string m_Text;
};

/// Event: a fetch brought nothing.
struct FetchFailed {
  std::string m_Hash;
};

/// Action: read the platform's head row; onHead() or onPollFailed() follows.
struct PollHead {};

/// Action: ask a peer for its head; onHead() follows if it answers.
struct AskPeer {
  EntryId m_Peer;
};

/// Action: read the object \p m_Hash from the platform.
struct FetchObject {
  std::string m_Hash;
};

/// Action: read the document from a peer that has it in force.
struct FetchFromPeer {
  EntryId m_Peer;
  DocumentHead m_Head;
};

/// Action: put the document in force.
struct Adopt {
  DocumentHead m_Head;
  std::string m_Text;
};

/// Action: tell these peers of the head.
struct Announce {
  DocumentHead m_Head;
  std::vector<EntryId> m_To;
};

using AdoptionAction = std::variant<PollHead, AskPeer, FetchObject,
                                    FetchFromPeer, Adopt, Announce>;
using AdoptionActions = std::vector<AdoptionAction>;

struct AdoptionSettings {
  /// Peers of the own data centre.
  std::vector<EntryId> m_LocalPeers;
  /// Peers of each other data centre.
  std::vector<std::vector<EntryId>> m_RemotePeers;
  /// The time between two polls of one data centre as a whole.
  Duration m_PollInterval = std::chrono::seconds(2);
  /// The longest time between two polls of this instance.
  Duration m_LongestPoll = std::chrono::seconds(120);
  /// Wait for the content before another source is tried.
  Duration m_FetchTimeout = std::chrono::seconds(1);
  /// First wait after all sources failed; doubles up to the largest.
  Duration m_FirstBackoff = std::chrono::milliseconds(200);
  Duration m_LargestBackoff = std::chrono::seconds(2);
  /// How long a started instance waits for the platform, so that it does not
  /// take an older version from the first peer that answers.
  Duration m_StartWait = std::chrono::seconds(1);
  /// Time between two rounds of asking peers while the platform fails.
  Duration m_AskInterval = std::chrono::seconds(1);
  /// Peers of each other data centre that an announcement goes to.
  std::size_t m_RemoteFanout = 2;
  std::uint64_t m_Seed = 0;
};

struct AdoptionCounters {
  std::uint64_t m_Adopted = 0;
  /// Documents that the validator refused.
  std::uint64_t m_Invalid = 0;
  /// Contents that did not have the hash asked for.
  std::uint64_t m_WrongHashes = 0;
  /// Peers that told another hash for a known version.
  std::uint64_t m_Conflicts = 0;
  std::uint64_t m_FailedFetches = 0;
};

/// True if the text may be put in force. Has to be deterministic.
using DocumentValidator = std::function<bool(const std::string &Text)>;

/// Not thread safe. Each event returns the actions that it gave rise to.
class Adoption {
public:
  /// Errors: InvalidSettings for an interval that is not above 0.
  static Result<Adoption> create(AdoptionSettings Settings,
                                 DocumentValidator Validator, TimePoint Now);

  AdoptionActions onHead(const HeadSeen &Seen, TimePoint Now);
  AdoptionActions onPollFailed(TimePoint Now);
  AdoptionActions onPeerVersion(const PeerVersion &Seen, TimePoint Now);
  AdoptionActions onContent(const ContentFetched &Content, TimePoint Now);
  AdoptionActions onFetchFailed(const FetchFailed &Failure, TimePoint Now);
  AdoptionActions tick(TimePoint Now);

  /// The earliest time at which tick() has something to do.
  TimePoint nextTick() const;

  /// How many peers of the own data centre are up and share the polling.
  void setLivePeers(std::size_t Count) { m_LivePeers = Count; }

  const DocumentHead &inForce() const { return m_InForce; }
  const AdoptionCounters &counters() const { return m_Counters; }

private:
  /// A version above the one in force.
  struct Candidate {
    std::string m_Hash;
    std::vector<EntryId> m_Holders;
    /// A peer of another data centre told of it.
    bool m_FromRemote = false;
    /// A peer of the own data centre told of it, and tells the others too.
    bool m_FromLocal = false;
  };

  struct Fetch {
    DocumentVersion m_Version = 0;
    bool m_Running = false;
    /// Sources left in this round, the current one first; an empty ID is the
    /// platform.
    std::vector<EntryId> m_Sources;
    /// Rounds in which all sources failed.
    std::size_t m_Rounds = 0;
    /// The time-out while it runs, else the time of the next try.
    TimePoint m_Due;
  };

  Adoption(AdoptionSettings Settings, DocumentValidator Validator,
           TimePoint Now);

  bool isLocal(const EntryId &Peer) const;
  void learn(const HeadSeen &Seen);
  void forgetOld();
  void settle(TimePoint Now);
  void startFetch(TimePoint Now);
  void tryNextSource(TimePoint Now);
  void beginRound(const Candidate &Wanted);
  bool needsPeers() const;
  void fetchOver(TimePoint Now);
  void refuse(DocumentVersion Version);
  void adopt(DocumentVersion Version, const ContentFetched &Content);
  void announce(const Candidate &Source);
  void askSomePeers();
  void askOneOf(const std::vector<EntryId> &Peers);
  void poll(TimePoint Now);
  Duration jittered(Duration Length);
  AdoptionActions takeActions();

  AdoptionSettings m_Settings;
  DocumentValidator m_Validator;
  std::mt19937_64 m_Random;
  std::set<EntryId> m_LocalSet;
  std::size_t m_LivePeers = 0;

  DocumentHead m_InForce;
  std::map<DocumentVersion, Candidate> m_Candidates;
  /// Hashes that the validator refused.
  std::set<std::string> m_RefusedHashes;
  Fetch m_Fetch;

  bool m_Settled = false;
  bool m_PlatformFails = false;
  bool m_HeadRefused = false;
  TimePoint m_SettleAt;
  TimePoint m_NextPoll;
  TimePoint m_NextAsk;

  AdoptionActions m_Actions;
  AdoptionCounters m_Counters;
};

} // namespace pollenspool

#endif // POLLENSPOOL_CONFIG_ADOPTION_H
