//===- Membership.cpp - Which entry instances are up ----------------------===//

#include "membership/Membership.h"
#include <algorithm>
#include <unordered_set>

namespace pollenspool {

namespace {

// Heartbeats that carry a change before it ranks among mere signs of life.
constexpr std::int32_t SharesOfAChange = 8;
// A tick lies within this share of the interval around its due time.
constexpr double JitterShare = 0.2;

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
    return invalid("no ID of its own");
  if (Settings.m_Interval <= Duration::zero())
    return invalid("heartbeat interval is not above 0");
  if (Settings.m_LocalFanout == 0 || Settings.m_RemoteFanout == 0)
    return invalid("fanout is 0");
  if (Settings.m_MissedRounds == 0)
    return invalid("missed rounds are 0");
  std::unordered_set<EntryId> Seen;
  for (const PeerSite &Site : Settings.m_Peers)
    if (Site.m_Id.empty() || !Seen.insert(Site.m_Id).second)
      return invalid("peer empty or named twice: '" + Site.m_Id.m_Text + "'");
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
    Rotation &Turns = Added.m_Local ? m_Local : m_Remote;
    Turns.m_Order.push_back(m_Peers.size());
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
  // Late, doubled, or a restart whose clock ran behind: the last one has to
  // learn of its older life from us, or nobody would ever believe it.
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
    Target.m_Shares = -SharesOfAChange;
  Target.m_Shares = std::min(Target.m_Shares, 0);
  Target.m_State = State;
  Target.m_Known = true;
  Target.m_Unreachable = false;
  Target.m_LastHeard = Now;
  return true;
}

void Membership::takeNotice(const PeerNotice &Notice, TimePoint Now) {
  if (Notice.m_About == m_Settings.m_Self)
    return overtake(Notice.m_State);
  Peer *About = find(Notice.m_About);
  if (!About)
    return;
  PeerState State = Notice.m_State;
  State.m_Load = About->m_State.m_Load;
  accept(*About, State, Now);
}

void Membership::overtake(const PeerState &OlderLife) {
  // Only this instance counts its sequence up, so a higher one is of a process
  // that ran before under the same ID.
  if (!OlderLife.isNewerThan(m_State))
    return;
  m_State.m_Incarnation = OlderLife.m_Incarnation + 1;
}

void Membership::onUnreachable(const EntryId &Id) {
  if (Peer *Target = find(Id))
    Target->m_Unreachable = true;
}

void Membership::forgiveOwnPause(TimePoint Now) {
  Duration Late = Now - m_NextTick;
  if (Late <= m_Settings.m_Interval)
    return;
  // Peers were not silent while this process was paused; it did not listen.
  for (Peer &Target : m_Peers)
    Target.m_LastHeard = std::min(Now, Target.m_LastHeard + Late);
}

std::vector<HeartbeatTo> Membership::tick(TimePoint Now) {
  std::vector<HeartbeatTo> Sends;
  if (Now < m_NextTick)
    return Sends;
  forgiveOwnPause(Now);
  std::uniform_real_distribution<double> Jitter(1 - JitterShare,
                                                1 + JitterShare);
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
  // Those that have to be told come in place of others' turns.
  std::size_t Most = m_Local.m_Fanout + m_Remote.m_Fanout;
  while (!m_Outdated.empty() && Targets.size() < Most / 2) {
    Targets.push_back(m_Outdated.front());
    m_Outdated.erase(m_Outdated.begin());
  }
  addTurn(m_Remote, Most, Targets);
  addTurn(m_Local, Most, Targets);
  return Targets;
}

void Membership::addTurn(Rotation &Turns, std::size_t Most,
                         std::vector<std::size_t> &Targets) {
  std::size_t Count =
      std::min<std::size_t>(Turns.m_Fanout, Turns.m_Order.size());
  for (std::size_t I = 0; I < Count && Targets.size() < Most; ++I) {
    std::size_t Index = Turns.m_Order[Turns.m_Next];
    Turns.m_Next = (Turns.m_Next + 1) % Turns.m_Order.size();
    if (std::find(Targets.begin(), Targets.end(), Index) == Targets.end())
      Targets.push_back(Index);
  }
}

std::vector<PeerNotice> Membership::chooseNotices(const EntryId &To) {
  std::vector<Peer *> Candidates;
  for (Peer &Candidate : m_Peers)
    if (Candidate.m_Known)
      Candidates.push_back(&Candidate);
  // The receiver's own state goes first: it may have to raise its incarnation.
  auto Rank = [&To](const Peer *P) {
    bool IsOther = P->m_Site.m_Id != To;
    return std::make_tuple(IsOther, P->m_Shares,
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
      ++Candidates[I]->m_Shares;
  }
  return Notices;
}

Duration Membership::patience(const Rotation &Turns) const {
  std::size_t Rounds =
      (Turns.m_Order.size() + Turns.m_Fanout - 1) / Turns.m_Fanout;
  auto Ticks = static_cast<std::int64_t>(std::max<std::size_t>(Rounds, 1));
  return m_Settings.m_Interval * Ticks * m_Settings.m_MissedRounds;
}

Duration Membership::localPatience() const { return patience(m_Local); }

Duration Membership::remotePatience() const { return patience(m_Remote); }

PeerHealth Membership::healthOf(const Peer &Target, TimePoint Now) const {
  if (!Target.m_Known)
    return PeerHealth::Unknown;
  Duration Limit = Target.m_Local ? localPatience() : remotePatience();
  bool IsSilent = Now - Target.m_LastHeard > Limit;
  return IsSilent || Target.m_Unreachable ? PeerHealth::Suspect
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
