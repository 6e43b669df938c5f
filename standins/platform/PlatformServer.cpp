//===- PlatformServer.cpp - Dispatch, injected faults and reboots ---------===//

#include "platform/PlatformServer.h"
#include "common/HttpConnection.h"

namespace standin {

namespace {

constexpr Milliseconds ControlTimeout{2000};
constexpr Milliseconds ControlRetryDelay{100};
constexpr std::string_view CallPrefix = "/v1/";

bool startsWith(std::string_view Text, std::string_view Prefix) {
  return Text.substr(0, Prefix.size()) == Prefix;
}

} // namespace

const PlatformServer::RouteEntry PlatformServer::Routes[] = {
    {"POST", "/v1/table/transact", false, &PlatformServer::transact},
    {"POST", "/v1/table/read", false, &PlatformServer::read},
    {"GET", "/v1/table/scan", false, &PlatformServer::scan},
    {"GET", "/v1/table/changes", false, &PlatformServer::changes},
    {"PUT", "/v1/objects/", true, &PlatformServer::putObject},
    {"GET", "/v1/objects/", true, &PlatformServer::getObject},
    {"GET", "/v1/instances", false, &PlatformServer::listInstances},
    {"POST", "/v1/instances/", true, &PlatformServer::requestReboot},
    {"POST", "/knobs", false, &PlatformServer::setKnobs},
    {"POST", "/instances", false, &PlatformServer::postInstances},
    {"POST", "/instances/", true, &PlatformServer::postState},
    {"GET", "/truth", false, &PlatformServer::listChanges},
    {"GET", "/stats", false, &PlatformServer::stats},
};

Expected<std::unique_ptr<PlatformServer>>
PlatformServer::create(EventLoop &Loop, const Address &ListenAddress) {
  std::unique_ptr<PlatformServer> Server(new PlatformServer(Loop));
  PlatformServer *const Raw = Server.get();
  BOOST_OUTCOME_TRY(Http, HttpServer::create(Loop, ListenAddress,
                                             [Raw](const HttpMessage &Request,
                                                   const ExchangePtr &Peer) {
                                               Raw->onRequest(Request, Peer);
                                             }));
  Server->m_Http = std::move(Http);
  return Server;
}

void PlatformServer::onRequest(const HttpMessage &Request,
                               const ExchangePtr &Peer) {
  // Faults apply to the platform's own calls only, so that the calls that
  // control the simulation always succeed.
  if (!startsWith(Request.path(), CallPrefix)) {
    Peer->reply(dispatch(Request));
    return;
  }
  ++m_Counts.m_Calls;
  if (m_Knobs.m_Delay == Milliseconds::zero()) {
    serveCall(Request, Peer);
    return;
  }
  m_Loop.after(m_Knobs.m_Delay,
               [this, Request, Peer] { serveCall(Request, Peer); });
}

void PlatformServer::serveCall(const HttpMessage &Request,
                               const ExchangePtr &Peer) {
  if (m_Knobs.m_Outage) {
    ++m_Counts.m_Failed;
    Peer->drop();
    return;
  }
  if (m_Knobs.m_CallsToFail > 0) {
    --m_Knobs.m_CallsToFail;
    ++m_Counts.m_Failed;
    Peer->reply(jsonReply(503, errorJson("failed by the knob fail_next")));
    return;
  }
  const HttpMessage Reply = dispatch(Request);
  const bool TookEffect =
      Request.path() == "/v1/table/transact" && Reply.m_Status == 200;
  if (TookEffect && m_Knobs.m_RepliesToLose > 0) {
    --m_Knobs.m_RepliesToLose;
    ++m_Counts.m_LostReplies;
    Peer->drop();
    return;
  }
  Peer->reply(Reply);
}

HttpMessage PlatformServer::dispatch(const HttpMessage &Request) {
  const std::string_view Path = Request.path();
  for (const RouteEntry &Entry : Routes) {
    const std::string_view Prefix = Entry.m_Path;
    const bool Matches = Entry.m_IsPrefix ? startsWith(Path, Prefix) &&
                                                Path.size() > Prefix.size()
                                          : Path == Prefix;
    if (!Matches || Request.m_Method != Entry.m_Method)
      continue;
    try {
      return (this->*Entry.m_Handler)(Request);
    } catch (const Json::exception &Exception) {
      return jsonReply(400, errorJson(Exception.what()));
    }
  }
  return jsonReply(404, errorJson("no such call"));
}

void PlatformServer::startLeaving(const std::string &Id) {
  m_Fleet.setState(Id, InstanceState::Leaving, wallTime());
  m_Loop.after(m_Knobs.m_LeavingTime, [this, Id] { stopInstance(Id); });
}

void PlatformServer::stopInstance(const std::string &Id) {
  setBackendRebooting(Id, true, [this, Id] {
    m_Fleet.setState(Id, InstanceState::Gone, wallTime());
    m_Loop.after(m_Knobs.m_GoneTime, [this, Id] { returnInstance(Id); });
  });
}

void PlatformServer::returnInstance(const std::string &Id) {
  m_Fleet.endReboot(Id);
  if (m_Knobs.m_StayGone.count(Id) != 0)
    return;
  setBackendRebooting(Id, false, [this, Id] {
    m_Fleet.setState(Id, InstanceState::Live, wallTime());
  });
}

void PlatformServer::setBackendRebooting(const std::string &Id, bool Rebooting,
                                         std::function<void()> OnDone) {
  const Instance *const Found = m_Fleet.find(Id);
  const std::string Control = Found == nullptr ? "" : Found->m_Control;
  Expected<Address> ControlAddress = Address::parse(Control);
  if (!ControlAddress) {
    OnDone();
    return;
  }
  HttpMessage Request;
  Request.m_Method = "POST";
  Request.m_Target = "/control";
  Request.m_Body =
      Json{{"instance", Id}, {"knobs", {{"reboot", Rebooting}}}}.dump();
  callOnce(m_Loop, ControlAddress.value(), std::move(Request), ControlTimeout,
           [this, Id, Rebooting, OnDone](const HttpResult &Result) {
             if (Result.m_Kind == HttpResult::Kind::Reply) {
               OnDone();
               return;
             }
             m_Loop.after(ControlRetryDelay, [this, Id, Rebooting, OnDone] {
               setBackendRebooting(Id, Rebooting, OnDone);
             });
           });
}

} // namespace standin
