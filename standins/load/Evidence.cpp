//===- Evidence.cpp - What backends and platform saw of the load ----------===//

#include "load/Evidence.h"
#include <algorithm>

namespace standin {

namespace {

constexpr Milliseconds FetchTimeout{30000};
constexpr Milliseconds SettleInterval{100};

Milliseconds millisecondsAt(const Json &Entry, const char *Name) {
  return Milliseconds(Entry.at(Name).get<std::int64_t>());
}

} // namespace

EvidenceFetch::EvidenceFetch(EventLoop &Loop, const LoadOptions &Options,
                             std::unordered_set<std::string> Ids)
    : m_Loop(Loop), m_Options(Options), m_Ids(std::move(Ids)) {}

void EvidenceFetch::start(std::function<void(Evidence Fetched)> OnDone) {
  m_OnDone = std::move(OnDone);
  m_SettledBy = SteadyClock::now() + m_Options.m_Settle;
  fetchAll();
}

void EvidenceFetch::fetchAll() {
  m_Evidence = Evidence();
  // Held until all are under way.
  m_Pending = 1;
  for (const Address &Control : m_Options.m_BackendControls) {
    fetch(Control, "/runs?since=0", &EvidenceFetch::readRuns);
    fetch(Control, "/stats", &EvidenceFetch::readStats);
  }
  for (const Address &Platform : m_Options.m_Platforms)
    fetch(Platform, "/truth", &EvidenceFetch::readTruth);
  onFetched();
}

void EvidenceFetch::fetch(const Address &Where, const std::string &Target,
                          ReadReply Read) {
  ++m_Pending;
  const std::string Source = Where.text() + Target;
  callOnce(m_Loop, Where, getRequest(Target), FetchTimeout,
           [this, Source, Read](const HttpResult &Result) {
             const std::optional<Json> Body =
                 Result.m_Kind == HttpResult::Kind::Reply
                     ? parseObject(Result.m_Reply.m_Body)
                     : std::nullopt;
             try {
               if (Body)
                 (this->*Read)(*Body);
               else
                 m_Evidence.m_Missing.push_back(Source);
             } catch (const Json::exception &Wrong) {
               m_Evidence.m_Missing.push_back(Source + ": " + Wrong.what());
             }
             onFetched();
           });
}

void EvidenceFetch::readRuns(const Json &Body) {
  for (const Json &Entry : Body.at("runs")) {
    RunRecord Run;
    Run.m_RequestId = Entry.at("request_id");
    if (m_Ids.count(Run.m_RequestId) == 0)
      continue;
    const std::string Outcome = Entry.at("outcome");
    Run.m_Number = Entry.at("n");
    Run.m_Instance = Entry.at("instance");
    Run.m_Arrived = millisecondsAt(Entry, "arrived_ms");
    Run.m_Start = millisecondsAt(Entry, "start_ms");
    Run.m_IsRunning = Outcome == "running";
    Run.m_IsCut = Outcome == "cut";
    m_Evidence.m_Runs.push_back(std::move(Run));
  }
}

void EvidenceFetch::readStats(const Json &Body) {
  for (const Json &Instance : Body.at("instances"))
    for (const std::string Id : Instance.at("cut_waiting"))
      if (m_Ids.count(Id) != 0)
        m_Evidence.m_CutWaiting.push_back(Id);
}

void EvidenceFetch::readTruth(const Json &Body) {
  for (const Json &Entry : Body.at("changes")) {
    TruthChange Change;
    Change.m_Instance = Entry.at("id");
    Change.m_Time = millisecondsAt(Entry, "time_ms");
    Change.m_IsLive = Entry.at("state") == "live";
    m_Evidence.m_Truth.push_back(std::move(Change));
  }
}

void EvidenceFetch::onFetched() {
  if (--m_Pending != 0)
    return;
  const bool IsOver = SteadyClock::now() >= m_SettledBy;
  if (isAnyRunning() && !IsOver) {
    m_Loop.after(SettleInterval, [this] { fetchAll(); });
    return;
  }
  m_OnDone(std::move(m_Evidence));
}

bool EvidenceFetch::isAnyRunning() const {
  return std::any_of(m_Evidence.m_Runs.begin(), m_Evidence.m_Runs.end(),
                     [](const RunRecord &Run) { return Run.m_IsRunning; });
}

} // namespace standin
