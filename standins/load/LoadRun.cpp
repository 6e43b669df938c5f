//===- LoadRun.cpp - Sends the load and keeps what came of it -------------===//

#include "load/LoadRun.h"

namespace standin {

namespace {

constexpr Milliseconds EntryPollInterval{20};
constexpr Milliseconds MinRepeatDelay{50};
constexpr Milliseconds MaxRepeatDelay{250};
constexpr const char *EntryHealthPath = "/healthz";
constexpr const char *BackendHealthPath = "/health";

Balancer::Settings balancerSettings(const LoadOptions &Options) {
  Balancer::Settings Settings;
  Settings.m_Entries = Options.m_Entries;
  Settings.m_HealthPath =
      Options.m_IsDirect ? BackendHealthPath : EntryHealthPath;
  Settings.m_KeepsConnections = Options.m_KeepsConnections;
  Settings.m_Seed = Options.m_Seed + 1;
  return Settings;
}

const char *lostReason(HttpResult::Kind Kind) {
  return Kind == HttpResult::Kind::TimedOut ? "timeout" : "connection_lost";
}

} // namespace

LoadRun::LoadRun(EventLoop &Loop, const LoadOptions &Options)
    : m_Loop(Loop), m_Options(Options), m_Arrivals(Options),
      m_Balancer(Loop, balancerSettings(Options)),
      m_Random(Options.m_Seed + 2) {}

void LoadRun::start(std::function<void(bool Sent)> OnDone) {
  m_OnDone = std::move(OnDone);
  m_GiveUpWaiting = SteadyClock::now() + m_Options.m_WaitForEntries;
  m_Balancer.startPolling();
  waitForEntry();
}

void LoadRun::waitForEntry() {
  const SteadyClock::time_point Now = SteadyClock::now();
  if (m_Balancer.isAnyHealthy())
    begin(Now);
  else if (Now >= m_GiveUpWaiting)
    m_OnDone(false);
  else
    m_Loop.after(EntryPollInterval, [this] { waitForEntry(); });
}

void LoadRun::begin(SteadyClock::time_point Now) {
  m_Begin = Now;
  m_BeginWall = wallTime();
  scheduleNext();
}

void LoadRun::scheduleNext() {
  const std::optional<Arrivals::Microseconds> Due = m_Arrivals.nextDue();
  if (!Due) {
    m_AllArrived = true;
    finishIfDone();
    return;
  }
  m_Loop.after(m_Begin + *Due - SteadyClock::now(), [this] { sendDue(); });
}

void LoadRun::sendDue() {
  const SteadyClock::time_point Now = SteadyClock::now();
  for (auto Due = m_Arrivals.nextDue(); Due && m_Begin + *Due <= Now;
       Due = m_Arrivals.nextDue()) {
    LoadRequest Request = m_Arrivals.take();
    Request.m_DueTime = m_Begin + *Due;
    const auto Lag =
        std::chrono::duration_cast<Milliseconds>(Now - Request.m_DueTime);
    m_MaxSendLag = std::max(m_MaxSendLag, Lag);
    if (m_InFlight >= m_Options.m_MaxInFlight) {
      ++m_OverMaxInFlight;
      continue;
    }
    ++m_InFlight;
    Request.m_FirstSent = wallTime();
    m_Requests.push_back(std::move(Request));
    sendAttempt(m_Requests.back(), {});
  }
  scheduleNext();
}

void LoadRun::sendAttempt(LoadRequest &Request,
                          std::vector<std::size_t> Refusing) {
  const std::optional<std::size_t> Entry = m_Balancer.pick(Refusing);
  if (!Entry) {
    noteOutcome(Request, {OutcomeKind::NotRun, "no_entry_reachable"});
    return;
  }
  ++m_AttemptCount;
  m_Balancer.call(
      *Entry,
      makeHttpRequest(Request, m_Options.m_Deadline, m_Options.m_IsDirect),
      m_Options.m_Deadline + m_Options.m_Patience,
      [this, &Request, Refusing = std::move(Refusing),
       Entry = *Entry](const HttpResult &Result) {
        onResult(Request, Refusing, Entry, Result);
      });
}

void LoadRun::onResult(LoadRequest &Request, std::vector<std::size_t> Refusing,
                       std::size_t Entry, const HttpResult &Result) {
  switch (Result.m_Kind) {
  case HttpResult::Kind::NotSent:
    // Nothing was sent, so that this is no attempt yet.
    Refusing.push_back(Entry);
    sendAttempt(Request, std::move(Refusing));
    return;
  case HttpResult::Kind::Lost:
  case HttpResult::Kind::TimedOut:
    noteOutcome(Request, {OutcomeKind::Lost, lostReason(Result.m_Kind)});
    return;
  case HttpResult::Kind::Reply:
    break;
  }
  AttemptOutcome Outcome = readOutcome(Result.m_Reply, m_Options.m_IsDirect);
  if (Outcome.m_Kind == OutcomeKind::Answered)
    checkAnswer(Request, Result.m_Reply);
  noteOutcome(Request, std::move(Outcome));
}

bool LoadRun::repeatsAfter(const LoadRequest &Request) const {
  const OutcomeKind Last = Request.final().m_Kind;
  return m_Options.m_RepeatsUnknown &&
         (Last == OutcomeKind::Unknown || Last == OutcomeKind::Lost) &&
         Request.m_Attempts.size() < m_Options.m_MaxAttempts;
}

void LoadRun::noteOutcome(LoadRequest &Request, AttemptOutcome Outcome) {
  Request.m_Attempts.push_back(std::move(Outcome));
  if (repeatsAfter(Request)) {
    std::uniform_int_distribution<std::int64_t> Delay(MinRepeatDelay.count(),
                                                      MaxRepeatDelay.count());
    m_Loop.after(Milliseconds(Delay(m_Random)),
                 [this, &Request] { sendAttempt(Request, {}); });
    return;
  }
  Request.m_Done = true;
  Request.m_Latency = std::chrono::duration_cast<Milliseconds>(
      SteadyClock::now() - Request.m_DueTime);
  Request.m_Body.clear();
  --m_InFlight;
  finishIfDone();
}

void LoadRun::finishIfDone() {
  if (!m_AllArrived || m_InFlight != 0 || !m_OnDone)
    return;
  const std::function<void(bool)> OnDone = std::move(m_OnDone);
  m_OnDone = nullptr;
  OnDone(true);
}

} // namespace standin
