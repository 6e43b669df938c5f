//===- AdminRoutes.cpp - Handlers of operators' calls ---------------------===//

#include "config/DocumentParser.h"
#include "daemon/DaemonImpl.h"
#include <nlohmann/json.hpp>

namespace pollenspool {

namespace {

using Json = nlohmann::ordered_json;

Json headJson(const Head &H) {
  Json Out;
  Out["version"] = H.m_Version;
  Out["hash"] = H.m_Hash;
  Out["author"] = H.m_Author;
  return Out;
}

Json faultsJson(const std::vector<Fault> &Faults) {
  Json Out = Json::array();
  for (const Fault &F : Faults)
    Out.push_back(F.describe());
  return Out;
}

/// Body of a POST that commits a configuration document.
struct PostedDocument {
  std::string m_Text;
  std::string m_Author;
  std::uint64_t m_BaseVersion = 0;
};

Result<PostedDocument> parsePostedDocument(const std::string &Body) {
  auto In = nlohmann::json::parse(Body, nullptr, false);
  try {
    PostedDocument Out;
    Out.m_Text = In.at("text").get<std::string>();
    Out.m_Author = In.at("author").get<std::string>();
    Out.m_BaseVersion = In.at("base_version").get<std::uint64_t>();
    return Out;
  } catch (const nlohmann::json::exception &Bad) {
    return makeError(ErrorCode::InvalidMessage, "read posted document", {},
                     Bad.what());
  }
}

} // namespace

std::vector<AdminRoute> Daemon::Impl::adminRoutes() {
  using Serve = AdminReply (Impl::*)(const AdminCall &);
  struct Entry {
    const char *m_Method;
    const char *m_Path;
    bool m_NeedsToken;
    Serve m_Serve;
  };
  static constexpr Entry Table[] = {
      {"GET", "/metrics", false, &Impl::serveMetrics},
      {"GET", "/status", false, &Impl::serveStatus},
      {"GET", "/v1/document", true, &Impl::serveDocument},
      {"POST", "/v1/document", true, &Impl::commitPosted},
      {"GET", "/v1/fleet", false, &Impl::serveFleet},
      {"POST", "/v1/explain", true, &Impl::explain},
      {"POST", "/v1/move/start", true, &Impl::startMove},
      {"POST", "/v1/move/cancel", true, &Impl::cancelMove},
      {"POST", "/v1/wave/start", true, &Impl::startWave},
      {"POST", "/v1/wave/pause", true, &Impl::pauseWave},
      {"POST", "/v1/wave/resume", true, &Impl::resumeWave},
      {"POST", "/v1/wave/cancel", true, &Impl::cancelWave},
  };
  std::vector<AdminRoute> Routes;
  for (const Entry &E : Table)
    Routes.push_back(AdminRoute{
        E.m_Method, E.m_Path, E.m_NeedsToken,
        [this, E](const AdminCall &Call) { return (this->*E.m_Serve)(Call); }});
  return Routes;
}

AdminReply Daemon::Impl::serveDocument(const AdminCall &) {
  DocumentSnapshot Held = m_Documents->current();
  Json Out = headJson(Held.m_Head);
  Out["text"] = Held.m_Text;
  return AdminReply{200, Out.dump(), "application/json"};
}

AdminReply Daemon::Impl::commitPosted(const AdminCall &Call) {
  auto Posted = parsePostedDocument(Call.m_Body);
  if (!Posted)
    return adminError(Posted.error());
  const PostedDocument &Doc = Posted.value();
  auto Checked = parseDocument("document", Doc.m_Text);
  if (!Checked.isValid()) {
    Json Out;
    Out["error"] = "the configuration document is not valid";
    Out["faults"] = faultsJson(Checked.m_Faults);
    return AdminReply{400, Out.dump(), "application/json"};
  }
  auto Done = commitDocument(*m_Platform, Doc.m_Text, Doc.m_BaseVersion,
                             Doc.m_Author, nextToken());
  if (!Done)
    return adminError(Done.error());
  const Head &Winner = Done.value().m_Head;
  Json Out = headJson(Winner);
  if (Done.value().m_Committed) {
    m_Adoption->onPlatformHead(Winner);
    return AdminReply{200, Out.dump(), "application/json"};
  }
  Out["error"] = "another change was committed first";
  auto Theirs = m_Platform->getObject(Winner.m_Hash, CallPriority::Control);
  if (Theirs)
    Out["text"] = Theirs.value();
  return AdminReply{409, Out.dump(), "application/json"};
}

AdminReply Daemon::Impl::serveStatus(const AdminCall &) {
  Json Out;
  Out["name"] = m_Settings.m_Name;
  Out["data_centre"] = m_Settings.m_DataCentre.m_Text;
  DocumentSnapshot Held = m_Documents->current();
  Out["document"] = headJson(Held.m_Head);
  SyncStatus Sync = m_Sync->status();
  Out["platform_reachable"] = Sync.m_PlatformReachable;
  Out["revision"] = Sync.m_Revision;
  DispatcherStats Stats = m_Gateway->stats();
  Out["in_flight"] = Stats.m_InFlight;
  Out["open"] = Stats.m_Open;
  Out["ejected"] = Stats.m_Ejected;
  Json Instances = Json::array();
  FleetNotice View = m_Sync->fullNotice();
  for (const VersionedRow &Row : View.m_Rows) {
    Json Line;
    Line["id"] = Row.m_Row.m_Id.m_Text;
    Line["pool"] = Row.m_Row.m_Pool.m_Text;
    Line["state"] = servingStateName(Row.m_Row.m_State);
    Line["epoch"] = Row.m_Row.m_Epoch;
    Line["holder"] = Row.m_Row.m_Holder;
    Instances.push_back(std::move(Line));
  }
  Out["instances"] = std::move(Instances);
  return AdminReply{200, Out.dump(), "application/json"};
}

AdminReply Daemon::Impl::serveMetrics(const AdminCall &) {
  MetricsPage Page;
  addRequestMetrics(Page);
  addPlatformMetrics(Page);
  addPeerMetrics(Page);
  ProcessUsage Usage = processUsage();
  Page.add(Metric::ResidentBytes, Usage.m_ResidentBytes);
  Page.add(Metric::CpuSeconds, Usage.m_CpuSeconds);
  return AdminReply{200, Page.render(), "text/plain; version=0.0.4"};
}

void Daemon::Impl::addRequestMetrics(MetricsPage &Page) const {
  DispatcherStats S = m_Gateway->stats();
  S.m_NotRun[static_cast<std::size_t>(Reason::BadRequest)] +=
      m_Callers->badRequests();
  for (std::size_t I = 1; I < ReasonCount; ++I) {
    std::string_view Label = reasonName(static_cast<Reason>(I));
    Page.add(Metric::NotRun, static_cast<double>(S.m_NotRun[I]), Label);
    Page.add(Metric::Unknown, static_cast<double>(S.m_Unknown[I]), Label);
    Page.add(Metric::Retries, static_cast<double>(S.m_Retries[I]), Label);
  }
  for (std::size_t I = 0; I < UrgencyClassCount; ++I) {
    std::string_view Label = urgencyClassName(static_cast<UrgencyClass>(I));
    Page.add(Metric::Submitted, static_cast<double>(S.m_Submitted[I]), Label);
    Page.add(Metric::Answered, static_cast<double>(S.m_Answered[I]), Label);
    Page.add(Metric::Refused, static_cast<double>(S.m_Refused[I]), Label);
    Page.add(Metric::Queued, static_cast<double>(S.m_Queued[I]), Label);
  }
  Page.add(Metric::Tries, static_cast<double>(S.m_Tries));
  Page.add(Metric::Forwards, static_cast<double>(S.m_Forwards));
  Page.add(Metric::LateResults, static_cast<double>(S.m_LateResults));
  Page.add(Metric::Ejections, static_cast<double>(S.m_Ejections));
  Page.add(Metric::Probes, static_cast<double>(S.m_Probes));
  Page.add(Metric::InFlight, static_cast<double>(S.m_InFlight));
  Page.add(Metric::Ejected, static_cast<double>(S.m_Ejected));
  Page.add(Metric::Open, static_cast<double>(S.m_Open));
}

void Daemon::Impl::addPlatformMetrics(MetricsPage &Page) const {
  Page.add(Metric::DocumentVersion,
           static_cast<double>(m_Documents->current().m_Head.m_Version));
  for (const CallCount &Count : m_Platform->counters())
    Page.add(Metric::PlatformCalls, static_cast<double>(Count.m_Count),
             std::string(Count.m_Call) + ":" + std::string(Count.m_Outcome));
  SyncStatus Sync = m_Sync->status();
  Page.add(Metric::PlatformPolls,
           static_cast<double>(Sync.m_Polls - Sync.m_FailedPolls), "ok");
  Page.add(Metric::PlatformPolls, static_cast<double>(Sync.m_FailedPolls),
           "failed");
  Page.add(Metric::PlatformReachable, Sync.m_PlatformReachable ? 1 : 0);
  Page.add(Metric::NoticesTaken, static_cast<double>(Sync.m_NoticesTaken));
  Page.add(Metric::UnreadableRows, static_cast<double>(Sync.m_UnreadableRows));
}

void Daemon::Impl::addPeerMetrics(MetricsPage &Page) const {
  PeerTraffic Traffic = m_Peers->traffic();
  for (const PathTraffic &Path : Traffic.m_Paths) {
    Page.add(Metric::PeerMessagesOut, static_cast<double>(Path.m_MessagesOut),
             Path.m_Group);
    Page.add(Metric::PeerBytesOut, static_cast<double>(Path.m_BytesOut),
             Path.m_Group);
  }
  Page.add(Metric::PeerWireBytesOut,
           static_cast<double>(Traffic.m_WireBytesOut));
  Page.add(Metric::PeerWireBytesIn, static_cast<double>(Traffic.m_WireBytesIn));
  Page.add(Metric::PeerLateAnswers, static_cast<double>(Traffic.m_LateAnswers));
  ClaimStats Claimed = m_ClaimDriver->stats();
  Page.add(Metric::ClaimsMayVouch, Claimed.m_MayGrantFromMemory ? 1 : 0);
  Page.add(Metric::ClaimsUnsynced, static_cast<double>(Claimed.m_Unsynced));
  Page.add(Metric::Claims, static_cast<double>(Claimed.m_Granted), "granted");
  Page.add(Metric::Claims, static_cast<double>(Claimed.m_GrantedFromMemory),
           "granted_from_memory");
  Page.add(Metric::Claims, static_cast<double>(Claimed.m_Recorded), "recorded");
  for (std::size_t I = 1; I < ReasonCount; ++I)
    if (Claimed.m_Denied[I] > 0)
      Page.add(Metric::Claims, static_cast<double>(Claimed.m_Denied[I]),
               reasonName(static_cast<Reason>(I)));
}

} // namespace pollenspool
