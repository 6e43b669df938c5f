//===- PeerRoutes.cpp - Handlers of peers' calls --------------------------===//

#include "base/Pack.h"
#include "claims/Messages.h"
#include "daemon/DaemonImpl.h"
#include "fleet/DrainMessages.h"
#include "forward/Messages.h"
#include <future>

namespace pollenspool {

namespace {

constexpr std::chrono::milliseconds NoticeTimeout{1000};
constexpr std::chrono::milliseconds HeartbeatTimeout{1000};
constexpr std::chrono::milliseconds ClaimReplyTimeout{5000};
/// Longest wait for an instance to be drained before its status is returned,
/// and the interval between two checks.
constexpr std::chrono::milliseconds DrainStatusTimeout{400};
constexpr std::chrono::milliseconds DrainStatusPollInterval{20};
constexpr std::chrono::milliseconds DrainQueryTimeout{1500};

} // namespace

std::vector<PeerRoute> Daemon::Impl::peerRoutes() {
  using Serve = Result<std::string> (Impl::*)(const PeerCall &);
  struct Entry {
    const char *m_Path;
    Serve m_Serve;
    PeerLane m_Lane;
  };
  static constexpr Entry Table[] = {
      {ForwardPath, &Impl::serveForward, PeerLane::Blocking},
      {ForwardCancelPath, &Impl::serveForwardCancel, PeerLane::Quick},
      {NoticePath, &Impl::serveNotice, PeerLane::Quick},
      {ViewPath, &Impl::serveView, PeerLane::Quick},
      {HeartbeatPath, &Impl::serveHeartbeat, PeerLane::Quick},
      {DrainStatusPath, &Impl::serveDrainStatus, PeerLane::Blocking},
  };
  std::vector<PeerRoute> Routes;
  for (const Entry &E : Table)
    Routes.push_back(PeerRoute{
        E.m_Path,
        [this, E](const PeerCall &Call) { return (this->*E.m_Serve)(Call); },
        E.m_Lane});
  addAdoptionRoutes(Routes);
  for (const std::string &Path : claims::messagePaths())
    Routes.push_back(PeerRoute{
        Path, [this](const PeerCall &Call) { return serveClaim(Call); },
        PeerLane::Quick});
  return Routes;
}

void Daemon::Impl::addAdoptionRoutes(std::vector<PeerRoute> &Routes) {
  using Serve = Result<std::string> (AdoptionDriver::*)(const PeerCall &);
  struct Entry {
    const char *m_Path;
    Serve m_Serve;
  };
  static constexpr Entry Table[] = {
      {ConfigHeadPath, &AdoptionDriver::serveHead},
      {ConfigAnnouncePath, &AdoptionDriver::serveAnnouncement},
      {ConfigDocumentPath, &AdoptionDriver::serveDocument},
  };
  for (const Entry &E : Table)
    Routes.push_back(PeerRoute{E.m_Path,
                               [this, E](const PeerCall &Call) {
                                 return ((*m_Adoption).*E.m_Serve)(Call);
                               },
                               PeerLane::Quick});
}

Result<std::string> Daemon::Impl::serveForward(const PeerCall &Call) {
  BOOST_OUTCOME_TRY(Request, decodeRequest(Call.m_Body));
  return encodeOutcome(m_Gateway->serve(std::move(Request)));
}

Result<std::string> Daemon::Impl::serveForwardCancel(const PeerCall &Call) {
  BOOST_OUTCOME_TRY(Ids, decodeIds(Call.m_Body));
  m_Gateway->cancel(Ids);
  return std::string();
}

Result<std::string> Daemon::Impl::serveNotice(const PeerCall &Call) {
  BOOST_OUTCOME_TRY(Notice, decodeNotice(Call.m_Body));
  m_Sync->onNotice(Notice);
  return std::string();
}

Result<std::string> Daemon::Impl::serveView(const PeerCall &Call) {
  BOOST_OUTCOME_TRY(Since,
                    decodeMsgpack<Revision>(Call.m_Body, "read view request"));
  return encodeNotice(m_Sync->changesSince(Since));
}

Result<std::string> Daemon::Impl::serveClaim(const PeerCall &Call) {
  auto Waiting = std::make_shared<std::promise<Result<std::string>>>();
  auto Reply = Waiting->get_future();
  m_ClaimDriver->onPeerMessage(Call.m_Path, Call.m_From, Call.m_Body,
                               [Waiting](Result<std::string> Done) {
                                 Waiting->set_value(std::move(Done));
                               });
  if (Reply.wait_for(ClaimReplyTimeout) != std::future_status::ready)
    return makeError(ErrorCode::Timeout, "decide claim");
  return Reply.get();
}

Result<std::string> Daemon::Impl::serveDrainStatus(const PeerCall &Call) {
  BOOST_OUTCOME_TRY(Ask, decodeDrainStatusQuery(Call.m_Body));
  return encodeDrainAck(drainStatus(Ask));
}

DrainAck Daemon::Impl::drainStatus(const DrainStatusQuery &Ask) {
  DrainAck Ack{Ask.m_Entry, Ask.m_Instance, 0, 0, Ask.m_QueryNumber};
  TimePoint Deadline = steadyNow() + DrainStatusTimeout;
  for (;;) {
    Ack.m_Epoch = m_Sync->publishedEpoch(Ask.m_Instance);
    Ack.m_InFlight = m_Gateway->inFlight(Ask.m_Instance);
    bool Settled = Ack.m_Epoch >= Ask.m_Epoch && Ack.m_InFlight == 0;
    if (Settled || steadyNow() >= Deadline)
      return Ack;
    if (Ack.m_Epoch < Ask.m_Epoch)
      m_Sync->pollSoon();
    std::this_thread::sleep_for(DrainStatusPollInterval);
  }
}

void Daemon::Impl::requestDrainStatus(const DrainStatusQuery &Ask) {
  if (Ask.m_Entry.m_Text == m_Settings.m_Listen.m_Peers)
    return m_Fleet->onAck(drainStatus(Ask));
  m_Peers->callAsync(Ask.m_Entry, DrainStatusPath, encodeDrainStatusQuery(Ask),
                     DrainQueryTimeout,
                     [this](const Result<std::string> &Reply) {
                       if (!Reply)
                         return;
                       auto Ack = decodeDrainAck(Reply.value());
                       if (Ack)
                         m_Fleet->onAck(Ack.value());
                     });
}

Result<std::string> Daemon::Impl::serveHeartbeat(const PeerCall &Call) {
  BOOST_OUTCOME_TRYV(m_Membership->onHeartbeat(Call.m_Body));
  return std::string();
}

MembershipPorts Daemon::Impl::membershipPorts() {
  MembershipPorts Ports;
  Ports.m_ReportSelf = [this] {
    publishCapacity();
    DispatcherStats Stats = m_Gateway->stats();
    SelfReport Self;
    Self.m_DocumentVersion = m_Documents->current().m_Head.m_Version;
    Self.m_ViewRevision = m_Sync->viewRevision();
    Self.m_Load.m_InFlight = static_cast<std::uint32_t>(Stats.m_InFlight);
    for (std::uint64_t Queued : Stats.m_Queued)
      Self.m_Load.m_Queued += static_cast<std::uint32_t>(Queued);
    return Self;
  };
  Ports.m_Send = [this](const EntryId &Peer, std::string Body) {
    sendHeartbeat(Peer, std::move(Body));
  };
  Ports.m_OnPeerState = [this](const EntryId &Peer, const PeerState &State) {
    onPeerState(Peer, State);
  };
  return Ports;
}

void Daemon::Impl::sendHeartbeat(const EntryId &Peer, std::string Body) {
  m_Peers->callAsync(Peer, HeartbeatPath, std::move(Body), HeartbeatTimeout,
                     [this, Peer](const Result<std::string> &Reply) {
                       if (!Reply &&
                           Reply.error().m_Code == ErrorCode::ConnectFailed)
                         m_Membership->onUnreachable(Peer);
                     });
}

void Daemon::Impl::onPeerState(const EntryId &Peer, const PeerState &State) {
  m_Adoption->onPeerVersion(Peer, State.m_DocumentVersion);
  // While the platform is reachable, its data are newer than any peer's.
  Revision Known = m_Sync->viewRevision();
  if (m_Sync->status().m_PlatformReachable || State.m_ViewRevision <= Known)
    return;
  m_Peers->callAsync(
      Peer, ViewPath, encodeMsgpack(Known), NoticeTimeout,
      [this, Reached = State.m_ViewRevision](const Result<std::string> &Reply) {
        if (!Reply)
          return;
        auto Notice = decodeNotice(Reply.value());
        if (Notice)
          m_Sync->onPeerChanges(Notice.value(), Reached);
      });
}

void Daemon::Impl::notifyPeers(const FleetNotice &NewChanges) {
  std::string Body = encodeNotice(NewChanges);
  for (const EntryId &Peer : m_Membership->usable(m_Settings.m_DataCentre))
    m_Peers->callAsync(Peer, NoticePath, Body, NoticeTimeout,
                       [](const Result<std::string> &) {});
}

} // namespace pollenspool
