//===- PeerRoutes.cpp - Calls of other entry instances --------------------===//

#include "daemon/Parts.h"
#include "forward/Messages.h"

namespace pollenspool {

namespace {

constexpr std::chrono::milliseconds NoticeTimeout{1000};

} // namespace

std::vector<PeerRoute> Daemon::Parts::peerRoutes() {
  using Serve = Result<std::string> (Parts::*)(const PeerCall &);
  struct Entry {
    const char *m_Path;
    Serve m_Serve;
    PeerLane m_Lane;
  };
  static constexpr Entry Table[] = {
      {ForwardPath, &Parts::serveForward, PeerLane::Blocking},
      {ForwardCancelPath, &Parts::serveForwardCancel, PeerLane::Quick},
      {NoticePath, &Parts::serveNotice, PeerLane::Quick},
      {ViewPath, &Parts::serveView, PeerLane::Quick},
  };
  std::vector<PeerRoute> Routes;
  for (const Entry &E : Table)
    Routes.push_back(PeerRoute{
        E.m_Path,
        [this, E](const PeerCall &Call) { return (this->*E.m_Serve)(Call); },
        E.m_Lane});
  return Routes;
}

Result<std::string> Daemon::Parts::serveForward(const PeerCall &Call) {
  BOOST_OUTCOME_TRY(Request, decodeRequest(Call.m_Body));
  return encodeOutcome(m_Gateway->serve(std::move(Request)));
}

Result<std::string> Daemon::Parts::serveForwardCancel(const PeerCall &Call) {
  BOOST_OUTCOME_TRY(Ids, decodeIds(Call.m_Body));
  m_Gateway->cancel(Ids);
  return std::string();
}

Result<std::string> Daemon::Parts::serveNotice(const PeerCall &Call) {
  BOOST_OUTCOME_TRY(Notice, decodeNotice(Call.m_Body));
  m_Sync->onNotice(Notice);
  return std::string();
}

Result<std::string> Daemon::Parts::serveView(const PeerCall &) {
  return encodeNotice(m_Sync->wholeView());
}

void Daemon::Parts::tellPeers(const FleetNotice &News) {
  std::string Body = encodeNotice(News);
  for (const EntryId &Peer : m_Directory.usable(m_Settings.m_DataCentre))
    m_Peers->callAsync(Peer, NoticePath, Body, NoticeTimeout,
                       [](const Result<std::string> &) {});
}

} // namespace pollenspool
