//===- Evidence.cpp - Runs and states recorded by the stand-ins -----------===//

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

EvidenceFetcher::EvidenceFetcher(EventLoop &Loop, const LoadOptions &Options,
                                 std::unordered_set<std::string> Ids)
    : m_Loop(Loop), m_Options(Options), m_Ids(std::move(Ids)) {}

void EvidenceFetcher::start(std::function<void(Evidence Fetched)> OnDone) {
  m_OnDone = std::move(OnDone);
  m_SettleDeadline = SteadyClock::now() + m_Options.m_SettleTimeout;
  fetchAll();
}

void EvidenceFetcher::fetchAll() {
  m_Evidence = Evidence();
  // Counts this function as pending until it has started all fetches, so that
  // an early reply cannot complete the round.
  m_Pending = 1;
  for (const Address &Control : m_Options.m_BackendControls) {
    fetch(Control, "/runs?since=0", &EvidenceFetcher::readRuns);
    fetch(Control, "/stats", &EvidenceFetcher::readStats);
  }
  for (const Address &Platform : m_Options.m_Platforms)
    fetch(Platform, "/truth", &EvidenceFetcher::readStateChanges);
  onFetched();
}

void EvidenceFetcher::fetch(const Address &ServerAddress,
                            const std::string &Target, ReadReply Read) {
  ++m_Pending;
  const std::string Source = ServerAddress.text() + Target;
  callOnce(m_Loop, ServerAddress, getRequest(Target), FetchTimeout,
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
             } catch (const Json::exception &Error) {
               m_Evidence.m_Missing.push_back(Source + ": " + Error.what());
             }
             onFetched();
           });
}

void EvidenceFetcher::readRuns(const Json &Body) {
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

void EvidenceFetcher::readStats(const Json &Body) {
  for (const Json &Instance : Body.at("instances"))
    for (const std::string Id : Instance.at("cut_waiting"))
      if (m_Ids.count(Id) != 0)
        m_Evidence.m_CutWaiting.push_back(Id);
}

void EvidenceFetcher::readStateChanges(const Json &Body) {
  for (const Json &Entry : Body.at("changes")) {
    StateChange Change;
    Change.m_Instance = Entry.at("id");
    Change.m_Time = millisecondsAt(Entry, "time_ms");
    Change.m_IsLive = Entry.at("state") == "live";
    m_Evidence.m_StateChanges.push_back(std::move(Change));
  }
}

void EvidenceFetcher::onFetched() {
  if (--m_Pending != 0)
    return;
  const bool IsTimedOut = SteadyClock::now() >= m_SettleDeadline;
  if (isAnyRunning() && !IsTimedOut) {
    m_Loop.after(SettleInterval, [this] { fetchAll(); });
    return;
  }
  m_OnDone(std::move(m_Evidence));
}

bool EvidenceFetcher::isAnyRunning() const {
  return std::any_of(m_Evidence.m_Runs.begin(), m_Evidence.m_Runs.end(),
                     [](const RunRecord &Run) { return Run.m_IsRunning; });
}

} // namespace standin
