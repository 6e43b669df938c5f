//===- Adoption.cpp - Which document version is in effect -----------------===//

#include "config/Adoption.h"
#include "config/ContentHash.h"
#include <algorithm>
#include <utility>

namespace pollenspool {

namespace {

// Bounds on memory: versions above the one in effect, peers remembered as
// sources of a version, and hashes of rejected documents.
constexpr std::size_t MaxCandidates = 16;
constexpr std::size_t MaxPeerSources = 16;
constexpr std::size_t MaxRejectedHashes = 64;
/// Intervals are varied by up to this fraction in both directions.
constexpr double JitterFraction = 0.2;
constexpr std::size_t LocalPeersPerQuery = 2;
constexpr std::size_t MaxBackoffDoublings = 8;

} // namespace

Result<Adoption> Adoption::create(AdoptionSettings Settings,
                                  DocumentValidator Validator, TimePoint Now) {
  for (Duration Length : {Settings.m_PollInterval, Settings.m_MaxPollInterval,
                          Settings.m_FetchTimeout, Settings.m_InitialBackoff,
                          Settings.m_MaxBackoff, Settings.m_PeerQueryInterval})
    if (Length <= Duration::zero())
      return makeError(ErrorCode::InvalidSettings, "set up adoption", {},
                       "an interval is not positive");
  return Adoption(std::move(Settings), std::move(Validator), Now);
}

Adoption::Adoption(AdoptionSettings Settings, DocumentValidator Validator,
                   TimePoint Now)
    : m_Settings(std::move(Settings)), m_Validator(std::move(Validator)),
      m_Random(m_Settings.m_Seed),
      m_LocalPeerSet(m_Settings.m_LocalPeers.begin(),
                     m_Settings.m_LocalPeers.end()),
      m_StartupWaitEnd(Now + m_Settings.m_StartupWait), m_NextPoll(Now),
      m_NextPeerQuery(Now) {}

AdoptionActions Adoption::takeActions() { return std::exchange(m_Actions, {}); }

bool Adoption::isLocal(const EntryId &Peer) const {
  return m_LocalPeerSet.count(Peer) != 0;
}

AdoptionActions Adoption::onHead(const HeadReport &Report, TimePoint Now) {
  recordHead(Report);
  if (Report.m_Peer.empty()) {
    m_IsPlatformFailing = false;
    endStartupWait(Now);
  }
  startFetch(Now);
  return takeActions();
}

void Adoption::recordHead(const HeadReport &Report) {
  const DocumentHead &Head = Report.m_Head;
  if (Head.m_Version == m_CurrentHead.m_Version &&
      Head.m_Hash != m_CurrentHead.m_Hash)
    ++m_Counters.m_Conflicts;
  bool IsRejected = m_RejectedHashes.count(Head.m_Hash) != 0;
  if (Report.m_Peer.empty())
    m_IsHeadRejected = IsRejected;
  if (Head.m_Version <= m_CurrentHead.m_Version || IsRejected)
    return;
  Candidate &Known = m_Candidates[Head.m_Version];
  bool IsFromPlatform = Report.m_Peer.empty();
  if (Known.m_Hash.empty())
    Known.m_Hash = Head.m_Hash;
  if (Known.m_Hash != Head.m_Hash) {
    ++m_Counters.m_Conflicts;
    if (!IsFromPlatform)
      return;
    // The platform's commit decides which document has a version number.
    Known = Candidate();
    Known.m_Hash = Head.m_Hash;
  }
  if (!IsFromPlatform) {
    Known.m_IsReportedLocally =
        Known.m_IsReportedLocally || isLocal(Report.m_Peer);
    Known.m_IsReportedRemotely =
        Known.m_IsReportedRemotely || !isLocal(Report.m_Peer);
    auto &PeerSources = Known.m_PeerSources;
    bool IsNew = std::find(PeerSources.begin(), PeerSources.end(),
                           Report.m_Peer) == PeerSources.end();
    if (IsNew && PeerSources.size() < MaxPeerSources)
      PeerSources.push_back(Report.m_Peer);
  }
  pruneCandidates();
}

void Adoption::pruneCandidates() {
  auto FirstNewer = m_Candidates.upper_bound(m_CurrentHead.m_Version);
  m_Candidates.erase(m_Candidates.begin(), FirstNewer);
  while (m_Candidates.size() > MaxCandidates)
    m_Candidates.erase(m_Candidates.begin());
}

AdoptionActions Adoption::onPollFailed(TimePoint Now) {
  m_IsPlatformFailing = true;
  m_NextPeerQuery = std::min(m_NextPeerQuery, Now);
  return takeActions();
}

AdoptionActions Adoption::onPeerVersion(const PeerVersion &Report, TimePoint) {
  DocumentVersion Highest = m_Candidates.empty() ? m_CurrentHead.m_Version
                                                 : m_Candidates.rbegin()->first;
  if (Report.m_Version > Highest)
    m_Actions.push_back(QueryPeerHead{Report.m_Peer});
  return takeActions();
}

void Adoption::endStartupWait(TimePoint Now) {
  m_HasStartupWaitEnded = true;
  m_StartupWaitEnd = std::min(m_StartupWaitEnd, Now);
}

void Adoption::startFetch(TimePoint Now) {
  if (!m_HasStartupWaitEnded || m_Candidates.empty())
    return;
  auto Highest = std::prev(m_Candidates.end());
  if (m_Fetch.m_Version >= Highest->first)
    return;
  // A fetch of a lower version is not cancelled: its content is still adopted
  // if it arrives first.
  m_Fetch = Fetch();
  m_Fetch.m_Version = Highest->first;
  tryNextSource(Now);
}

void Adoption::tryNextSource(TimePoint Now) {
  auto It = m_Candidates.find(m_Fetch.m_Version);
  if (It == m_Candidates.end())
    return endFetch(Now);
  if (m_Fetch.m_Sources.empty())
    startRound(It->second);
  m_Fetch.m_IsRunning = true;
  m_Fetch.m_DueTime = Now + m_Settings.m_FetchTimeout;
  EntryId Source = m_Fetch.m_Sources.front();
  DocumentHead Head{It->first, It->second.m_Hash};
  if (Source.empty())
    m_Actions.push_back(FetchObject{Head.m_Hash});
  else
    m_Actions.push_back(FetchFromPeer{Source, Head});
}

void Adoption::startRound(const Candidate &Wanted) {
  m_Fetch.m_Sources = Wanted.m_PeerSources;
  // The platform is the first source, or the last one while it fails. With
  // peers first, the few peers that have a new version would serve it to all
  // other instances at each change.
  auto Position =
      m_IsPlatformFailing ? m_Fetch.m_Sources.end() : m_Fetch.m_Sources.begin();
  m_Fetch.m_Sources.insert(Position, EntryId());
}

void Adoption::endFetch(TimePoint Now) {
  m_Fetch = Fetch();
  startFetch(Now);
}

AdoptionActions Adoption::onFetchFailed(const FetchFailed &Failure,
                                        TimePoint Now) {
  auto It = m_Candidates.find(m_Fetch.m_Version);
  if (!m_Fetch.m_IsRunning || It == m_Candidates.end() ||
      It->second.m_Hash != Failure.m_Hash)
    return takeActions();
  ++m_Counters.m_FailedFetches;
  if (m_Fetch.m_Sources.front().empty())
    m_IsPlatformFailing = true;
  m_Fetch.m_Sources.erase(m_Fetch.m_Sources.begin());
  if (!m_Fetch.m_Sources.empty()) {
    tryNextSource(Now);
    return takeActions();
  }
  auto Doublings = std::min(m_Fetch.m_Rounds++, MaxBackoffDoublings);
  Duration Wait =
      std::min(m_Settings.m_InitialBackoff * (std::int64_t{1} << Doublings),
               m_Settings.m_MaxBackoff);
  m_Fetch.m_IsRunning = false;
  m_Fetch.m_DueTime = Now + jittered(Wait);
  return takeActions();
}

AdoptionActions Adoption::onContent(const ContentFetched &Content,
                                    TimePoint Now) {
  if (contentHash(Content.m_Text) != Content.m_Hash) {
    ++m_Counters.m_HashMismatches;
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
    reject(Version);
  }
  if (m_Candidates.count(m_Fetch.m_Version) == 0)
    endFetch(Now);
  return takeActions();
}

void Adoption::reject(DocumentVersion Version) {
  ++m_Counters.m_RejectedDocuments;
  if (m_RejectedHashes.size() >= MaxRejectedHashes)
    m_RejectedHashes.clear();
  m_RejectedHashes.insert(m_Candidates[Version].m_Hash);
  m_Candidates.erase(Version);
}

void Adoption::adopt(DocumentVersion Version, const ContentFetched &Content) {
  Candidate Source = m_Candidates[Version];
  m_CurrentHead = {Version, Content.m_Hash};
  ++m_Counters.m_Adopted;
  pruneCandidates();
  m_Actions.push_back(Adopt{m_CurrentHead, Content.m_Text});
  announce(Source);
}

void Adoption::announce(const Candidate &Source) {
  Announce Message;
  Message.m_Head = m_CurrentHead;
  // An instance that learnt of the version from outside the data centre
  // announces it to the local peers. An instance that learnt of it from the
  // platform alone also announces it to the other data centres.
  if (!Source.m_IsReportedLocally)
    Message.m_To = m_Settings.m_LocalPeers;
  if (!Source.m_IsReportedLocally && !Source.m_IsReportedRemotely)
    for (const std::vector<EntryId> &Peers : m_Settings.m_RemotePeers)
      std::sample(Peers.begin(), Peers.end(), std::back_inserter(Message.m_To),
                  m_Settings.m_RemoteFanout, m_Random);
  if (!Message.m_To.empty())
    m_Actions.push_back(std::move(Message));
}

AdoptionActions Adoption::tick(TimePoint Now) {
  if (!m_HasStartupWaitEnded && Now >= m_StartupWaitEnd) {
    endStartupWait(Now);
    startFetch(Now);
  }
  if (Now >= m_NextPoll)
    poll(Now);
  if (needsPeerQueries() && Now >= m_NextPeerQuery) {
    queryPeers();
    m_NextPeerQuery = Now + jittered(m_Settings.m_PeerQueryInterval);
  }
  if (m_Fetch.m_Version == 0 || Now < m_Fetch.m_DueTime)
    return takeActions();
  if (!m_Fetch.m_IsRunning) {
    tryNextSource(Now);
    return takeActions();
  }
  return onFetchFailed({m_Candidates[m_Fetch.m_Version].m_Hash}, Now);
}

// The platform's head row names only the newest version. If it cannot be read,
// or this instance has rejected that version, the newest valid version must
// come from the peers.
bool Adoption::needsPeerQueries() const {
  return m_IsPlatformFailing || m_IsHeadRejected ||
         m_CurrentHead.m_Version == 0;
}

void Adoption::poll(TimePoint Now) {
  auto PollingInstances = static_cast<std::int64_t>(m_LivePeers + 1);
  Duration Interval = std::min(m_Settings.m_PollInterval * PollingInstances,
                               m_Settings.m_MaxPollInterval);
  m_NextPoll = Now + jittered(Interval);
  m_Actions.push_back(PollHead{});
}

void Adoption::queryPeers() {
  std::vector<EntryId> Chosen;
  std::sample(m_Settings.m_LocalPeers.begin(), m_Settings.m_LocalPeers.end(),
              std::back_inserter(Chosen), LocalPeersPerQuery, m_Random);
  for (const EntryId &Peer : Chosen)
    m_Actions.push_back(QueryPeerHead{Peer});
  // One other data centre per round keeps the cost independent of the number
  // of data centres.
  if (!m_Settings.m_RemotePeers.empty())
    queryRandomPeer(
        m_Settings.m_RemotePeers[m_Random() % m_Settings.m_RemotePeers.size()]);
}

void Adoption::queryRandomPeer(const std::vector<EntryId> &Peers) {
  if (!Peers.empty())
    m_Actions.push_back(QueryPeerHead{Peers[m_Random() % Peers.size()]});
}

Duration Adoption::jittered(Duration Length) {
  std::uniform_real_distribution<double> Share(1 - JitterFraction,
                                               1 + JitterFraction);
  return std::chrono::duration_cast<Duration>(Length * Share(m_Random));
}

TimePoint Adoption::nextTick() const {
  TimePoint Next = m_NextPoll;
  if (!m_HasStartupWaitEnded)
    Next = std::min(Next, m_StartupWaitEnd);
  if (needsPeerQueries())
    Next = std::min(Next, m_NextPeerQuery);
  if (m_Fetch.m_Version != 0)
    Next = std::min(Next, m_Fetch.m_DueTime);
  return Next;
}

} // namespace pollenspool
