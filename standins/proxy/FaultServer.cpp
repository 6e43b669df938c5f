//===- FaultServer.cpp - HTTP control of the proxy's faults ---------------===//

#include "proxy/FaultServer.h"
#include "common/Knobs.h"

namespace standin {

namespace {

const KnobEntry<Faults> FaultTable[] = {
    {"delay_ms", nullptr, &Faults::m_Delay, nullptr},
    {"drop_up", &Faults::m_DropUpstream, nullptr, nullptr},
    {"drop_down", &Faults::m_DropDownstream, nullptr, nullptr},
    {"freeze", &Faults::m_Freeze, nullptr, nullptr},
    {"refuse", &Faults::m_RefuseNew, nullptr, nullptr},
    {"reset_new", &Faults::m_ResetNew, nullptr, nullptr},
    {"cut", &Faults::m_ResetAll, nullptr, nullptr},
    {"truncate_after", nullptr, nullptr, &Faults::m_TruncateAfter},
    {"duplicate", &Faults::m_Duplicate, nullptr, nullptr},
};

HttpMessage badRequest(const std::string &Reason) {
  return jsonReply(400, errorJson(Reason));
}

} // namespace

Expected<std::unique_ptr<FaultServer>>
FaultServer::create(EventLoop &Loop, const Address &ListenAddress,
                    Routes &Controlled) {
  std::unique_ptr<FaultServer> Server(new FaultServer(Controlled));
  FaultServer *const Raw = Server.get();
  BOOST_OUTCOME_TRY(Http,
                    HttpServer::create(Loop, ListenAddress,
                                       [Raw](const HttpMessage &Request,
                                             const ExchangePtr &Peer) {
                                         Peer->reply(Raw->answer(Request));
                                       }));
  Server->m_Http = std::move(Http);
  return Server;
}

HttpMessage FaultServer::answer(const HttpMessage &Request) {
  try {
    if (Request.m_Method == "POST" && Request.path() == "/faults")
      return setFaults(Json::parse(Request.m_Body));
    if (Request.m_Method == "GET" && Request.path() == "/routes")
      return listRoutes();
  } catch (const Json::exception &Exception) {
    return badRequest(Exception.what());
  }
  return jsonReply(404, errorJson("no such call"));
}

HttpMessage FaultServer::setFaults(const Json &Body) {
  const Json RouteSelector = Body.value("route", Json("*"));
  const bool SelectsAll = RouteSelector == "*";
  if (!SelectsAll && (!RouteSelector.is_number_unsigned() ||
                      RouteSelector.get<std::size_t>() >= m_Routes.size()))
    return badRequest("no such route: " + RouteSelector.dump());
  std::vector<std::pair<Route *, Faults>> Changes;
  for (std::size_t I = 0; I < m_Routes.size(); ++I) {
    if (!SelectsAll && RouteSelector.get<std::size_t>() != I)
      continue;
    Faults Changed =
        Body.value("clear", false) ? Faults() : m_Routes[I]->faults();
    for (const auto &[Name, Value] : Body.items()) {
      const bool IsFault = Name != "route" && Name != "clear";
      if (IsFault && !applyKnob(FaultTable, Changed, Name, Value))
        return badRequest("no such fault: " + Name);
    }
    Changes.emplace_back(m_Routes[I].get(), Changed);
  }
  for (const auto &[Target, Changed] : Changes)
    Target->setFaults(Changed);
  return jsonReply(200, "{}");
}

HttpMessage FaultServer::listRoutes() const {
  Json List = Json::array();
  for (const std::unique_ptr<Route> &Listed : m_Routes)
    List.push_back({{"listen", Listed->address().text()},
                    {"target", Listed->target().text()},
                    {"connections", Listed->connectionCount()},
                    {"accepted", Listed->acceptedCount()},
                    {"faults", knobsJson(FaultTable, Listed->faults())}});
  return jsonReply(200, Json{{"routes", List}}.dump());
}

} // namespace standin
