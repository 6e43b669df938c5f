//===- Adoption.cpp - Which document version is in force ------------------===//

#include "config/Adoption.h"
#include "config/ContentHash.h"
#include <algorithm>
#include <utility>

namespace pollenspool {

namespace {

// Versions above the one in force that are remembered.
constexpr std::size_t MaxCandidates = 16;
constexpr std::size_t MaxHolders = 16;
constexpr std::size_t MaxRefusedHashes = 64;
constexpr double JitterShare = 0.2;
constexpr std::size_t LocalPeersAsked = 2;
constexpr std::size_t MaxBackoffDoublings = 8;

} // namespace

Result<Adoption> Adoption::create(AdoptionSettings Settings,
                                  DocumentValidator Validator, TimePoint Now) {
  for (Duration Length : {Settings.m_PollInterval, Settings.m_LongestPoll,
                          Settings.m_FetchTimeout, Settings.m_FirstBackoff,
                          Settings.m_LargestBackoff, Settings.m_AskInterval})
    if (Length <= Duration::zero())
      return makeError(ErrorCode::InvalidSettings, "set up adoption", {},
                       "an interval is not above 0");
  return Adoption(std::move(Settings), std::move(Validator), Now);
}

Adoption::Adoption(AdoptionSettings Settings, DocumentValidator Validator,
                   TimePoint Now)
    : m_Settings(std::move(Settings)), m_Validator(std::move(Validator)),
      m_Random(m_Settings.m_Seed), m_LocalSet(m_Settings.m_LocalPeers.begin(),
                                              m_Settings.m_LocalPeers.end()),
      m_SettleAt(Now + m_Settings.m_StartWait), m_NextPoll(Now),
      m_NextAsk(Now) {}

AdoptionActions Adoption::takeActions() { return std::exchange(m_Actions, {}); }

bool Adoption::isLocal(const EntryId &Peer) const {
  return m_LocalSet.count(Peer) != 0;
}

AdoptionActions Adoption::onHead(const HeadSeen &Seen, TimePoint Now) {
  learn(Seen);
  if (Seen.m_Peer.empty()) {
    m_PlatformFails = false;
    settle(Now);
  }
  startFetch(Now);
  return takeActions();
}

void Adoption::learn(const HeadSeen &Seen) {
  const DocumentHead &Head = Seen.m_Head;
  if (Head.m_Version == m_InForce.m_Version && Head.m_Hash != m_InForce.m_Hash)
    ++m_Counters.m_Conflicts;
  bool IsRefused = m_RefusedHashes.count(Head.m_Hash) != 0;
  if (Seen.m_Peer.empty())
    m_HeadRefused = IsRefused;
  if (Head.m_Version <= m_InForce.m_Version || IsRefused)
    return;
  Candidate &Known = m_Candidates[Head.m_Version];
  bool IsFromPlatform = Seen.m_Peer.empty();
  if (Known.m_Hash.empty())
    Known.m_Hash = Head.m_Hash;
  if (Known.m_Hash != Head.m_Hash) {
    ++m_Counters.m_Conflicts;
    if (!IsFromPlatform)
      return;
    // The commit decides which document a version stands for.
    Known = Candidate();
    Known.m_Hash = Head.m_Hash;
  }
  if (!IsFromPlatform) {
    Known.m_FromLocal = Known.m_FromLocal || isLocal(Seen.m_Peer);
    Known.m_FromRemote = Known.m_FromRemote || !isLocal(Seen.m_Peer);
    auto &Holders = Known.m_Holders;
    bool IsNew =
        std::find(Holders.begin(), Holders.end(), Seen.m_Peer) == Holders.end();
    if (IsNew && Holders.size() < MaxHolders)
      Holders.push_back(Seen.m_Peer);
  }
  forgetOld();
}

void Adoption::forgetOld() {
  auto InForce = m_Candidates.upper_bound(m_InForce.m_Version);
  m_Candidates.erase(m_Candidates.begin(), InForce);
  while (m_Candidates.size() > MaxCandidates)
    m_Candidates.erase(m_Candidates.begin());
}

AdoptionActions Adoption::onPollFailed(TimePoint Now) {
  m_PlatformFails = true;
  m_NextAsk = std::min(m_NextAsk, Now);
  return takeActions();
}

AdoptionActions Adoption::onPeerVersion(const PeerVersion &Seen, TimePoint) {
  DocumentVersion Highest =
      m_Candidates.empty() ? m_InForce.m_Version : m_Candidates.rbegin()->first;
  if (Seen.m_Version > Highest)
    m_Actions.push_back(AskPeer{Seen.m_Peer});
  return takeActions();
}

void Adoption::settle(TimePoint Now) {
  m_Settled = true;
  m_SettleAt = std::min(m_SettleAt, Now);
}

void Adoption::startFetch(TimePoint Now) {
  if (!m_Settled || m_Candidates.empty())
    return;
  auto Highest = std::prev(m_Candidates.end());
  if (m_Fetch.m_Version >= Highest->first)
    return;
  // A fetch of a lower version goes on; its content is taken if it comes.
  m_Fetch = Fetch();
  m_Fetch.m_Version = Highest->first;
  tryNextSource(Now);
}

void Adoption::tryNextSource(TimePoint Now) {
  auto It = m_Candidates.find(m_Fetch.m_Version);
  if (It == m_Candidates.end())
    return fetchOver(Now);
  if (m_Fetch.m_Sources.empty())
    beginRound(It->second);
  m_Fetch.m_Running = true;
  m_Fetch.m_Due = Now + m_Settings.m_FetchTimeout;
  EntryId Source = m_Fetch.m_Sources.front();
  DocumentHead Head{It->first, It->second.m_Hash};
  if (Source.empty())
    m_Actions.push_back(FetchObject{Head.m_Hash});
  else
    m_Actions.push_back(FetchFromPeer{Source, Head});
}

void Adoption::beginRound(const Candidate &Wanted) {
  m_Fetch.m_Sources = Wanted.m_Holders;
  // The platform first, or last while it fails; else the holders would have to
  // serve everyone at every change.
  auto Place =
      m_PlatformFails ? m_Fetch.m_Sources.end() : m_Fetch.m_Sources.begin();
  m_Fetch.m_Sources.insert(Place, EntryId());
}

void Adoption::fetchOver(TimePoint Now) {
  m_Fetch = Fetch();
  startFetch(Now);
}

AdoptionActions Adoption::onFetchFailed(const FetchFailed &Failure,
                                        TimePoint Now) {
  auto It = m_Candidates.find(m_Fetch.m_Version);
  if (!m_Fetch.m_Running || It == m_Candidates.end() ||
      It->second.m_Hash != Failure.m_Hash)
    return takeActions();
  ++m_Counters.m_FailedFetches;
  if (m_Fetch.m_Sources.front().empty())
    m_PlatformFails = true;
  m_Fetch.m_Sources.erase(m_Fetch.m_Sources.begin());
  if (!m_Fetch.m_Sources.empty()) {
    tryNextSource(Now);
    return takeActions();
  }
  auto Doublings = std::min(m_Fetch.m_Rounds++, MaxBackoffDoublings);
  Duration Wait =
      std::min(m_Settings.m_FirstBackoff * (std::int64_t{1} << Doublings),
               m_Settings.m_LargestBackoff);
  m_Fetch.m_Running = false;
  m_Fetch.m_Due = Now + jittered(Wait);
  return takeActions();
}

AdoptionActions Adoption::onContent(const ContentFetched &Content,
                                    TimePoint Now) {
  if (contentHash(Content.m_Text) != Content.m_Hash) {
    ++m_Counters.m_WrongHashes;
    return onFetchFailed({Content.m_Hash}, Now);
  }
  auto Wanted = std::find_if(
      m_Candidates.rbegin(), m_Candidates.rend(),
      [&](const auto &C) { return C.second.m_Hash == Content.m_Hash; });
  if (Wanted == m_Candidates.rend())
    return takeActions();
  DocumentVersion Version = Wanted->first;
  if (m_Validator(Content.m_Text)) {
    adopt(Version, Content);
  } else {
    refuse(Version);
  }
  if (m_Candidates.count(m_Fetch.m_Version) == 0)
    fetchOver(Now);
  return takeActions();
}

void Adoption::refuse(DocumentVersion Version) {
  ++m_Counters.m_Invalid;
  if (m_RefusedHashes.size() >= MaxRefusedHashes)
    m_RefusedHashes.clear();
  m_RefusedHashes.insert(m_Candidates[Version].m_Hash);
  m_Candidates.erase(Version);
}

void Adoption::adopt(DocumentVersion Version, const ContentFetched &Content) {
  Candidate Source = m_Candidates[Version];
  m_InForce = {Version, Content.m_Hash};
  ++m_Counters.m_Adopted;
  forgetOld();
  m_Actions.push_back(Adopt{m_InForce, Content.m_Text});
  announce(Source);
}

void Adoption::announce(const Candidate &Source) {
  Announce Message;
  Message.m_Head = m_InForce;
  // Whoever hears of it inside the data centre first tells the others there;
  // whoever has it from the platform tells the other data centres as well.
  if (!Source.m_FromLocal)
    Message.m_To = m_Settings.m_LocalPeers;
  if (!Source.m_FromLocal && !Source.m_FromRemote)
    for (const std::vector<EntryId> &Peers : m_Settings.m_RemotePeers)
      std::sample(Peers.begin(), Peers.end(), std::back_inserter(Message.m_To),
                  m_Settings.m_RemoteFanout, m_Random);
  if (!Message.m_To.empty())
    m_Actions.push_back(std::move(Message));
}

AdoptionActions Adoption::tick(TimePoint Now) {
  if (!m_Settled && Now >= m_SettleAt) {
    settle(Now);
    startFetch(Now);
  }
  if (Now >= m_NextPoll)
    poll(Now);
  if (needsPeers() && Now >= m_NextAsk) {
    askSomePeers();
    m_NextAsk = Now + jittered(m_Settings.m_AskInterval);
  }
  if (m_Fetch.m_Version == 0 || Now < m_Fetch.m_Due)
    return takeActions();
  if (!m_Fetch.m_Running) {
    tryNextSource(Now);
    return takeActions();
  }
  return onFetchFailed({m_Candidates[m_Fetch.m_Version].m_Hash}, Now);
}

// The platform names only its newest version. If that cannot be had or is
// refused here, the newest usable one has to come from the peers.
bool Adoption::needsPeers() const {
  return m_PlatformFails || m_HeadRefused || m_InForce.m_Version == 0;
}

void Adoption::poll(TimePoint Now) {
  auto Sharers = static_cast<std::int64_t>(m_LivePeers + 1);
  Duration Interval =
      std::min(m_Settings.m_PollInterval * Sharers, m_Settings.m_LongestPoll);
  m_NextPoll = Now + jittered(Interval);
  m_Actions.push_back(PollHead{});
}

void Adoption::askSomePeers() {
  std::vector<EntryId> Asked;
  std::sample(m_Settings.m_LocalPeers.begin(), m_Settings.m_LocalPeers.end(),
              std::back_inserter(Asked), LocalPeersAsked, m_Random);
  for (const EntryId &Peer : Asked)
    m_Actions.push_back(AskPeer{Peer});
  // One other data centre at a time, so that the cost does not rise with them.
  if (!m_Settings.m_RemotePeers.empty())
    askOneOf(
        m_Settings.m_RemotePeers[m_Random() % m_Settings.m_RemotePeers.size()]);
}

void Adoption::askOneOf(const std::vector<EntryId> &Peers) {
  if (!Peers.empty())
    m_Actions.push_back(AskPeer{Peers[m_Random() % Peers.size()]});
}

Duration Adoption::jittered(Duration Length) {
  std::uniform_real_distribution<double> Share(1 - JitterShare,
                                               1 + JitterShare);
  return std::chrono::duration_cast<Duration>(Length * Share(m_Random));
}

TimePoint Adoption::nextTick() const {
  TimePoint Next = m_NextPoll;
  if (!m_Settled)
    Next = std::min(Next, m_SettleAt);
  if (needsPeers())
    Next = std::min(Next, m_NextAsk);
  if (m_Fetch.m_Version != 0)
    Next = std::min(Next, m_Fetch.m_Due);
  return Next;
}

} // namespace pollenspool
