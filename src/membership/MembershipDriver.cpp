//===- MembershipDriver.cpp - I/O driver of the membership core -----------===//

#include "membership/MembershipDriver.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// Order of preference, lowest first: up, then unknown, then suspect.
int preferenceRank(const PeerView &Peer) {
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

/// Orders by preference rank, then by the number of requests in flight.
bool isPreferred(const PeerView &A, const PeerView &B) {
  if (preferenceRank(A) != preferenceRank(B))
    return preferenceRank(A) < preferenceRank(B);
  return A.m_State.m_Load.m_InFlight < B.m_State.m_Load.m_InFlight;
}

} // namespace

MembershipDriver::MembershipDriver(Membership Core, MembershipPorts Ports)
    : m_Ports(std::move(Ports)), m_Core(std::move(Core)) {}

Result<std::unique_ptr<MembershipDriver>>
MembershipDriver::create(MembershipSettings Settings, MembershipPorts Ports) {
  BOOST_OUTCOME_TRY(Core, Membership::create(std::move(Settings), steadyNow()));
  return std::unique_ptr<MembershipDriver>(
      new MembershipDriver(std::move(Core), std::move(Ports)));
}

MembershipDriver::~MembershipDriver() { stop(); }

void MembershipDriver::start() {
  m_Thread = std::thread([this] { run(); });
}

void MembershipDriver::stop() {
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Stopping = true;
  }
  m_Wake.notify_all();
  if (m_Thread.joinable())
    m_Thread.join();
}

void MembershipDriver::run() {
  for (;;) {
    SelfReport Self = m_Ports.m_ReportSelf();
    std::vector<OutgoingHeartbeat> Due;
    {
      std::unique_lock<std::mutex> Lock(m_Mutex);
      m_Core.setDocumentVersion(Self.m_DocumentVersion);
      m_Core.setViewRevision(Self.m_ViewRevision);
      m_Core.setLoad(Self.m_Load);
      Due = m_Core.tick(steadyNow());
    }
    for (const OutgoingHeartbeat &Beat : Due)
      m_Ports.m_Send(Beat.m_To, encodeHeartbeat(Beat.m_Message));
    std::unique_lock<std::mutex> Lock(m_Mutex);
    m_Wake.wait_until(Lock, m_Core.nextTick(), [&] { return m_Stopping; });
    if (m_Stopping)
      return;
  }
}

Result<void> MembershipDriver::onHeartbeat(const std::string &Bytes) {
  BOOST_OUTCOME_TRY(Message, decodeHeartbeat(Bytes));
  bool IsSenderNewer = false;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Core.onHeartbeat(Message, steadyNow());
    const PeerState &Self = m_Core.self();
    IsSenderNewer =
        Message.m_State.m_DocumentVersion > Self.m_DocumentVersion ||
        Message.m_State.m_ViewRevision > Self.m_ViewRevision;
  }
  if (IsSenderNewer)
    m_Ports.m_OnPeerState(Message.m_From, Message.m_State);
  return success();
}

void MembershipDriver::onUnreachable(const EntryId &Peer) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Core.onUnreachable(Peer);
}

void MembershipDriver::setDraining() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_Core.setDraining(true);
}

std::vector<PeerView> MembershipDriver::peers() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  return m_Core.peers(steadyNow());
}

std::vector<EntryId> MembershipDriver::usable(const DataCentreName &Where) {
  std::vector<PeerView> Candidates;
  for (PeerView &Peer : peers())
    if (Peer.m_DataCentre == Where && !Peer.m_State.m_Draining)
      Candidates.push_back(std::move(Peer));
  std::stable_sort(Candidates.begin(), Candidates.end(), isPreferred);
  std::vector<EntryId> Out;
  for (PeerView &Peer : Candidates)
    Out.push_back(std::move(Peer.m_Id));
  return Out;
}

std::vector<EntryId> MembershipDriver::all() {
  std::vector<EntryId> Out;
  for (PeerView &Peer : peers())
    Out.push_back(std::move(Peer.m_Id));
  return Out;
}

bool MembershipDriver::isReachable(const DataCentreName &Where) {
  for (const PeerView &Peer : peers())
    if (Peer.m_DataCentre == Where && Peer.m_Health == PeerHealth::Up &&
        !Peer.m_State.m_Draining)
      return true;
  return false;
}

} // namespace pollenspool
