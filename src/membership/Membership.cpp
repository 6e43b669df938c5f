//===- Membership.cpp - Failure detection of entry instances --------------===//

#include "membership/Membership.h"
#include <algorithm>
#include <unordered_set>

namespace pollenspool {

namespace {

// Number of heartbeats that carry a change with priority over states that only
// show that a peer is up.
constexpr std::int32_t PrioritizedNoticeCount = 8;
// Largest deviation of the time between two ticks, as a fraction of the
// interval.
constexpr double JitterFraction = 0.2;

bool isChange(const PeerState &Before, const PeerState &After) {
  return Before.m_Incarnation != After.m_Incarnation ||
         Before.m_Draining != After.m_Draining ||
         Before.m_DocumentVersion != After.m_DocumentVersion;
}

Error invalid(std::string Detail) {
  return makeError(ErrorCode::InvalidSettings, "set up membership", {},
                   std::move(Detail));
}

} // namespace

Result<Membership> Membership::create(MembershipSettings Settings,
                                      TimePoint Now) {
  if (Settings.m_Self.empty())
    return invalid("no ID given for this entry instance");
  if (Settings.m_Interval <= Duration::zero())
    return invalid("the heartbeat interval is not above 0");
  if (Settings.m_LocalFanout == 0 || Settings.m_RemoteFanout == 0)
    return invalid("the local or remote fanout is 0");
  if (Settings.m_MissedRounds == 0)
    return invalid("the number of missed rounds is 0");
  std::unordered_set<EntryId> Seen;
  for (const PeerSite &Site : Settings.m_Peers)
    if (Site.m_Id.empty() || !Seen.insert(Site.m_Id).second)
      return invalid("peer ID is empty or listed twice: '" + Site.m_Id.m_Text +
                     "'");
  return Membership(std::move(Settings), Now);
}

Membership::Membership(MembershipSettings Settings, TimePoint Now)
    : m_Settings(std::move(Settings)), m_Random(m_Settings.m_Seed),
      m_NextTick(Now) {
  m_State.m_Incarnation = m_Settings.m_Incarnation;
  m_Local.m_Fanout = m_Settings.m_LocalFanout;
  m_Remote.m_Fanout = m_Settings.m_RemoteFanout;
  for (const PeerSite &Site : m_Settings.m_Peers) {
    if (Site.m_Id == m_Settings.m_Self)
      continue;
    Peer Added;
    Added.m_Site = Site;
    Added.m_Local = Site.m_DataCentre == m_Settings.m_DataCentre;
    Rotation &PeerRotation = Added.m_Local ? m_Local : m_Remote;
    PeerRotation.m_Order.push_back(m_Peers.size());
    m_Index.emplace(Site.m_Id, m_Peers.size());
    m_Peers.push_back(std::move(Added));
  }
  std::shuffle(m_Local.m_Order.begin(), m_Local.m_Order.end(), m_Random);
  std::shuffle(m_Remote.m_Order.begin(), m_Remote.m_Order.end(), m_Random);
}

Membership::Peer *Membership::find(const EntryId &Id) {
  auto It = m_Index.find(Id);
  return It == m_Index.end() ? nullptr : &m_Peers[It->second];
}

bool Membership::onHeartbeat(const Heartbeat &Message, TimePoint Now) {
  for (const PeerNotice &Notice : Message.m_Notices)
    takeNotice(Notice, Now);
  Peer *Sender = find(Message.m_From);
  if (!Sender)
    return false;
  if (accept(*Sender, Message.m_State, Now))
    return true;
  // The message is late, a duplicate, or from a peer that restarted with an
  // earlier clock. In the last case the peer must learn its earlier incarnation
  // from this instance, since all peers ignore states that are not newer.
  std::size_t Index = m_Index[Message.m_From];
  if (std::find(m_Outdated.begin(), m_Outdated.end(), Index) ==
      m_Outdated.end())
    m_Outdated.push_back(Index);
  return false;
}

bool Membership::accept(Peer &Target, const PeerState &State, TimePoint Now) {
  if (Target.m_Known && !State.isNewerThan(Target.m_State))
    return false;
  if (!Target.m_Known || isChange(Target.m_State, State))
    Target.m_NoticeCount = -PrioritizedNoticeCount;
  Target.m_NoticeCount = std::min(Target.m_NoticeCount, 0);
  Target.m_State = State;
  Target.m_Known = true;
  Target.m_Unreachable = false;
  Target.m_LastHeard = Now;
  return true;
}

void Membership::takeNotice(const PeerNotice &Notice, TimePoint Now) {
  if (Notice.m_About == m_Settings.m_Self)
    return raiseIncarnation(Notice.m_State);
  Peer *About = find(Notice.m_About);
  if (!About)
    return;
  PeerState State = Notice.m_State;
  State.m_Load = About->m_State.m_Load;
  accept(*About, State, Now);
}

void Membership::raiseIncarnation(const PeerState &EarlierState) {
  // Only this instance advances its own state, so a newer one is from an
  // earlier process with the same ID.
  if (!EarlierState.isNewerThan(m_State))
    return;
  m_State.m_Incarnation = EarlierState.m_Incarnation + 1;
}

void Membership::onUnreachable(const EntryId &Id) {
  if (Peer *Target = find(Id))
    Target->m_Unreachable = true;
}

void Membership::compensateForOwnPause(TimePoint Now) {
  Duration Late = Now - m_NextTick;
  if (Late <= m_Settings.m_Interval)
    return;
  // While this process was paused, it could not receive heartbeats, so the
  // pause must not count as time without a state from the peers.
  for (Peer &Target : m_Peers)
    Target.m_LastHeard = std::min(Now, Target.m_LastHeard + Late);
}

std::vector<OutgoingHeartbeat> Membership::tick(TimePoint Now) {
  std::vector<OutgoingHeartbeat> Sends;
  if (Now < m_NextTick)
    return Sends;
  compensateForOwnPause(Now);
  std::uniform_real_distribution<double> Jitter(1 - JitterFraction,
                                                1 + JitterFraction);
  m_NextTick = Now + std::chrono::duration_cast<Duration>(
                         m_Settings.m_Interval * Jitter(m_Random));
  ++m_State.m_Sequence;
  for (std::size_t Index : targets()) {
    EntryId To = m_Peers[Index].m_Site.m_Id;
    std::vector<PeerNotice> Notices = chooseNotices(To);
    Sends.push_back({To, {m_Settings.m_Self, m_State, std::move(Notices)}});
  }
  return Sends;
}

std::vector<std::size_t> Membership::targets() {
  std::vector<std::size_t> Targets;
  // Peers that sent an outdated state take up to half of the heartbeats of this
  // tick, in place of peers from the rotations.
  std::size_t MaxTargets = m_Local.m_Fanout + m_Remote.m_Fanout;
  while (!m_Outdated.empty() && Targets.size() < MaxTargets / 2) {
    Targets.push_back(m_Outdated.front());
    m_Outdated.erase(m_Outdated.begin());
  }
  addRotationTargets(m_Remote, MaxTargets, Targets);
  addRotationTargets(m_Local, MaxTargets, Targets);
  return Targets;
}

void Membership::addRotationTargets(Rotation &PeerRotation,
                                    std::size_t MaxTargets,
                                    std::vector<std::size_t> &Targets) {
  std::size_t Count =
      std::min<std::size_t>(PeerRotation.m_Fanout, PeerRotation.m_Order.size());
  for (std::size_t I = 0; I < Count && Targets.size() < MaxTargets; ++I) {
    std::size_t Index = PeerRotation.m_Order[PeerRotation.m_Next];
    PeerRotation.m_Next =
        (PeerRotation.m_Next + 1) % PeerRotation.m_Order.size();
    if (std::find(Targets.begin(), Targets.end(), Index) == Targets.end())
      Targets.push_back(Index);
  }
}

std::vector<PeerNotice> Membership::chooseNotices(const EntryId &To) {
  std::vector<Peer *> Candidates;
  for (Peer &Candidate : m_Peers)
    if (Candidate.m_Known)
      Candidates.push_back(&Candidate);
  // The receiver's own state goes first, since the receiver may have to raise
  // its incarnation.
  auto Rank = [&To](const Peer *P) {
    bool IsOther = P->m_Site.m_Id != To;
    return std::make_tuple(IsOther, P->m_NoticeCount,
                           -P->m_LastHeard.time_since_epoch());
  };
  std::size_t Count =
      std::min<std::size_t>(m_Settings.m_MaxNotices, Candidates.size());
  std::partial_sort(
      Candidates.begin(),
      Candidates.begin() + static_cast<std::ptrdiff_t>(Count), Candidates.end(),
      [&Rank](const Peer *A, const Peer *B) { return Rank(A) < Rank(B); });
  std::vector<PeerNotice> Notices;
  for (std::size_t I = 0; I < Count; ++I) {
    Notices.push_back({Candidates[I]->m_Site.m_Id, Candidates[I]->m_State});
    if (Candidates[I]->m_Site.m_Id != To)
      ++Candidates[I]->m_NoticeCount;
  }
  return Notices;
}

Duration Membership::suspicionTimeout(const Rotation &PeerRotation) const {
  std::size_t Rounds =
      (PeerRotation.m_Order.size() + PeerRotation.m_Fanout - 1) /
      PeerRotation.m_Fanout;
  auto Ticks = static_cast<std::int64_t>(std::max<std::size_t>(Rounds, 1));
  return m_Settings.m_Interval * Ticks * m_Settings.m_MissedRounds;
}

Duration Membership::localSuspicionTimeout() const {
  return suspicionTimeout(m_Local);
}

Duration Membership::remoteSuspicionTimeout() const {
  return suspicionTimeout(m_Remote);
}

PeerHealth Membership::healthOf(const Peer &Target, TimePoint Now) const {
  if (!Target.m_Known)
    return PeerHealth::Unknown;
  Duration Limit =
      Target.m_Local ? localSuspicionTimeout() : remoteSuspicionTimeout();
  bool IsTimedOut = Now - Target.m_LastHeard > Limit;
  return IsTimedOut || Target.m_Unreachable ? PeerHealth::Suspect
                                            : PeerHealth::Up;
}

std::vector<PeerView> Membership::peers(TimePoint Now) const {
  std::vector<PeerView> Views;
  Views.reserve(m_Peers.size());
  for (const Peer &Target : m_Peers)
    Views.push_back({Target.m_Site.m_Id, Target.m_Site.m_DataCentre,
                     healthOf(Target, Now), Target.m_State,
                     Target.m_LastHeard});
  return Views;
}

} // namespace pollenspool
