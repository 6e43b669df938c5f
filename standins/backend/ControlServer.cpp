//===- ControlServer.cpp - HTTP control of the simulated backends ---------===//

#include "backend/ControlServer.h"
#include "common/Knobs.h"
#include <charconv>

namespace standin {

namespace {

const KnobEntry<BackendKnobs> KnobTable[] = {
    {"work_ms", nullptr, &BackendKnobs::m_MeanRunTime, nullptr},
    {"fail_all", &BackendKnobs::m_FailAll, nullptr, nullptr},
    {"refuse_all", &BackendKnobs::m_RefuseAll, nullptr, nullptr},
    {"truncate", nullptr, nullptr, &BackendKnobs::m_RepliesToTruncate},
    {"late_ms", nullptr, &BackendKnobs::m_ReplyDelay, nullptr},
    {"hang", &BackendKnobs::m_Hang, nullptr, nullptr},
    {"double", &BackendKnobs::m_DuplicateReplies, nullptr, nullptr},
    {"close_idle", &BackendKnobs::m_CloseIdle, nullptr, nullptr},
    {"down", &BackendKnobs::m_Down, nullptr, nullptr},
    {"reboot", &BackendKnobs::m_Reboot, nullptr, nullptr},
};

} // namespace

Expected<std::unique_ptr<ControlServer>>
ControlServer::create(EventLoop &Loop, const Address &ListenAddress,
                      Instances &Controlled, const RunLog &Log) {
  std::unique_ptr<ControlServer> Server(new ControlServer(Controlled, Log));
  ControlServer *const Raw = Server.get();
  BOOST_OUTCOME_TRY(Http,
                    HttpServer::create(Loop, ListenAddress,
                                       [Raw](const HttpMessage &Request,
                                             const ExchangePtr &Peer) {
                                         Peer->reply(Raw->answer(Request));
                                       }));
  Server->m_Http = std::move(Http);
  return Server;
}

HttpMessage ControlServer::answer(const HttpMessage &Request) {
  try {
    if (Request.m_Method == "POST" && Request.path() == "/control")
      return setKnobs(Request);
    if (Request.m_Method == "GET" && Request.path() == "/runs")
      return listRuns(Request);
    if (Request.m_Method == "GET" && Request.path() == "/stats")
      return stats();
  } catch (const Json::exception &Exception) {
    return jsonReply(400, errorJson(Exception.what()));
  }
  return jsonReply(404, errorJson("no such call"));
}

HttpMessage ControlServer::setKnobs(const HttpMessage &Request) {
  const Json Body = Json::parse(Request.m_Body);
  const std::string Target = Body.at("instance");
  std::vector<BackendInstance *> Chosen;
  for (const std::unique_ptr<BackendInstance> &Instance : m_Instances)
    if (Target == "*" || Target == Instance->id())
      Chosen.push_back(Instance.get());
  if (Chosen.empty())
    return jsonReply(404, errorJson("no such instance: " + Target));
  std::vector<BackendKnobs> Changed;
  for (const BackendInstance *Instance : Chosen) {
    BackendKnobs Knobs = Instance->knobs();
    for (const auto &[Name, Value] : Body.at("knobs").items())
      if (!applyKnob(KnobTable, Knobs, Name, Value))
        return jsonReply(400, errorJson("no such knob: " + Name));
    Changed.push_back(Knobs);
  }
  for (std::size_t I = 0; I < Chosen.size(); ++I)
    Chosen[I]->setKnobs(Changed[I]);
  return jsonReply(200, "{}");
}

HttpMessage ControlServer::listRuns(const HttpMessage &Request) const {
  const std::vector<std::string> Values = Request.queryValues("since");
  const std::string Text = Values.empty() ? "0" : Values.front();
  std::uint64_t Since = 0;
  const char *const End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Since);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return jsonReply(400, errorJson("since: not a number"));
  return jsonReply(200, m_Log.jsonSince(Since));
}

HttpMessage ControlServer::stats() const {
  Json List = Json::array();
  for (const std::unique_ptr<BackendInstance> &Instance : m_Instances)
    List.push_back(Instance->stats());
  return jsonReply(200, Json{{"instances", List}}.dump());
}

} // namespace standin
