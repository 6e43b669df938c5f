//===- MembershipShell.cpp - Threads around the membership core -----------===//

#include "membership/MembershipShell.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Peers to prefer: heard of lately, then not heard of yet, then suspect.
int rankOf(const PeerView &Peer) {
  switch (Peer.m_Health) {
  case PeerHealth::Up:
    return 0;
  case PeerHealth::Unknown:
    return 1;
  case PeerHealth::Suspect:
    return 2;
  }
  return 2;
}

/// Of peers of one rank the least busy one comes first.
bool isBetter(const PeerView &A, const PeerView &B) {
  if (rankOf(A) != rankOf(B))
    return rankOf(A) < rankOf(B);
  return A.m_State.m_Load.m_InFlight < B.m_State.m_Load.m_InFlight;
}

} // namespace

MembershipShell::MembershipShell(Membership Core, MembershipPorts Ports)
    : m_Ports(std::move(Ports)), m_Core(std::move(Core)) {}

Result<std::unique_ptr<MembershipShell>>
MembershipShell::create(MembershipSettings Settings, MembershipPorts Ports) {
  BOOST_OUTCOME_TRY(Core, Membership::create(std::move(Settings), steadyNow()));
  return std::unique_ptr<MembershipShell>(
      new MembershipShell(std::move(Core), std::move(Ports)));
}

MembershipShell::~MembershipShell() { stop(); }

void MembershipShell::start() {
  m_Thread = std::thread([this] { run(); });
}

void MembershipShell::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Wake.notify_all();
  if (m_Thread.joinable())
    m_Thread.join();
}

void MembershipShell::run() {
  for (;;) {
    SelfReport Self = m_Ports.m_ReportSelf();
    std::vector<HeartbeatTo> Due;
    {
      std::unique_lock<std::mutex> Lock(m_Mutex);
      m_Core.setDocumentVersion(Self.m_DocumentVersion);
      m_Core.setViewRevision(Self.m_ViewRevision);
      m_Core.setLoad(Self.m_Load);
      Due = m_Core.tick(steadyNow());
    }
    for (const HeartbeatTo &Beat : Due)
      m_Ports.m_Send(Beat.m_To, encodeHeartbeat(Beat.m_Message));
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Wake.wait_until(Lock, m_Core.nextTick(), [&] { return m_Stopping; });
    if (m_Stopping)
      return;
  }
}

Result<void> MembershipShell::onHeartbeat(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Message, decodeHeartbeat(Bytes));
  bool HasNews = false;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Core.onHeartbeat(Message, steadyNow());
    const PeerState &Self = m_Core.self();
    HasNews = Message.m_State.m_DocumentVersion > Self.m_DocumentVersion ||
              Message.m_State.m_ViewRevision > Self.m_ViewRevision;
  }
  if (HasNews)
    m_Ports.m_OnPeerState(Message.m_From, Message.m_State);
  return success();
}

void MembershipShell::onUnreachable(const EntryId &Peer) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Core.onUnreachable(Peer);
}

void MembershipShell::setDraining() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Core.setDraining(true);
}

std::vector<PeerView> MembershipShell::peers() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Core.peers(steadyNow());
}

std::vector<EntryId> MembershipShell::usable(const DataCentreName &Where) {
  std::vector<PeerView> Candidates;
  for (PeerView &Peer : peers())
    if (Peer.m_DataCentre == Where && !Peer.m_State.m_Draining)
      Candidates.push_back(std::move(Peer));
  std::stable_sort(Candidates.begin(), Candidates.end(), isBetter);
  std::vector<EntryId> Out;
  for (PeerView &Peer : Candidates)
    Out.push_back(std::move(Peer.m_Id));
  return Out;
}

std::vector<EntryId> MembershipShell::all() {
  std::vector<EntryId> Out;
  for (PeerView &Peer : peers())
    Out.push_back(std::move(Peer.m_Id));
  return Out;
}

bool MembershipShell::isReachable(const DataCentreName &Where) {
  for (const PeerView &Peer : peers())
    if (Peer.m_DataCentre == Where && Peer.m_Health == PeerHealth::Up &&
        !Peer.m_State.m_Draining)
      return true;
  return false;
}

} // namespace pollenspool
