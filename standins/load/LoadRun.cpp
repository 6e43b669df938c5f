//===- LoadRun.cpp - Sends requests and records their outcomes ------------===//

#include "load/LoadRun.h"

namespace standin {

namespace {

constexpr Milliseconds EntryPollInterval{20};
constexpr Milliseconds MinRetryDelay{50};
constexpr Milliseconds MaxRetryDelay{250};
constexpr const char *EntryHealthPath = "/healthz";
constexpr const char *BackendHealthPath = "/health";

Balancer::Settings balancerSettings(const LoadOptions &Options) {
  Balancer::Settings Settings;
  Settings.m_Entries = Options.m_Entries;
  Settings.m_HealthPath =
      Options.m_IsDirect ? BackendHealthPath : EntryHealthPath;
  Settings.m_UsesKeepAlive = Options.m_UsesKeepAlive;
  Settings.m_Seed = Options.m_Seed + 1;
  return Settings;
}

const char *lostReason(HttpResult::Kind Kind) {
  return Kind == HttpResult::Kind::TimedOut ? "timeout" : "connection_lost";
}

} // namespace

LoadRun::LoadRun(EventLoop &Loop, const LoadOptions &Options)
    : m_Loop(Loop), m_Options(Options), m_ArrivalGenerator(Options),
      m_Balancer(Loop, balancerSettings(Options)),
      m_Random(Options.m_Seed + 2) {}

void LoadRun::start(std::function<void(bool Sent)> OnDone) {
  m_OnDone = std::move(OnDone);
  m_EntryWaitDeadline = SteadyClock::now() + m_Options.m_EntryWaitTimeout;
  m_Balancer.startPolling();
  waitForEntry();
}

void LoadRun::waitForEntry() {
  const SteadyClock::time_point Now = SteadyClock::now();
  if (m_Balancer.isAnyHealthy())
    beginLoad(Now);
  else if (Now >= m_EntryWaitDeadline)
    m_OnDone(false);
  else
    m_Loop.after(EntryPollInterval, [this] { waitForEntry(); });
}

void LoadRun::beginLoad(SteadyClock::time_point Now) {
  m_StartTime = Now;
  m_StartWallTime = wallTime();
  scheduleNext();
}

void LoadRun::scheduleNext() {
  const std::optional<ArrivalGenerator::Microseconds> Due =
      m_ArrivalGenerator.nextDue();
  if (!Due) {
    m_AllArrived = true;
    finishIfDone();
    return;
  }
  m_Loop.after(m_StartTime + *Due - SteadyClock::now(), [this] { sendDue(); });
}

void LoadRun::sendDue() {
  const SteadyClock::time_point Now = SteadyClock::now();
  for (auto Due = m_ArrivalGenerator.nextDue();
       Due && m_StartTime + *Due <= Now; Due = m_ArrivalGenerator.nextDue()) {
    LoadRequest Request = m_ArrivalGenerator.take();
    Request.m_DueTime = m_StartTime + *Due;
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
                          std::vector<std::size_t> Unreachable) {
  const std::optional<std::size_t> Entry = m_Balancer.pick(Unreachable);
  if (!Entry) {
    recordOutcome(Request, {OutcomeKind::NotRun, "no_entry_reachable"});
    return;
  }
  ++m_AttemptCount;
  m_Balancer.call(
      *Entry,
      makeHttpRequest(Request, m_Options.m_Deadline, m_Options.m_IsDirect),
      m_Options.m_Deadline + m_Options.m_ReplyGrace,
      [this, &Request, Unreachable = std::move(Unreachable),
       Entry = *Entry](const HttpResult &Result) {
        onResult(Request, Unreachable, Entry, Result);
      });
}

void LoadRun::onResult(LoadRequest &Request,
                       std::vector<std::size_t> Unreachable, std::size_t Entry,
                       const HttpResult &Result) {
  switch (Result.m_Kind) {
  case HttpResult::Kind::NotSent:
    // Nothing was sent, so the attempt is made at another entry under the same
    // attempt number.
    Unreachable.push_back(Entry);
    sendAttempt(Request, std::move(Unreachable));
    return;
  case HttpResult::Kind::Lost:
  case HttpResult::Kind::TimedOut:
    recordOutcome(Request, {OutcomeKind::Lost, lostReason(Result.m_Kind)});
    return;
  case HttpResult::Kind::Reply:
    break;
  }
  AttemptOutcome Outcome = readOutcome(Result.m_Reply, m_Options.m_IsDirect);
  if (Outcome.m_Kind == OutcomeKind::Answered)
    checkAnswer(Request, Result.m_Reply);
  recordOutcome(Request, std::move(Outcome));
}

bool LoadRun::shouldRetry(const LoadRequest &Request) const {
  const OutcomeKind Last = Request.final().m_Kind;
  return m_Options.m_RetriesUnknown &&
         (Last == OutcomeKind::Unknown || Last == OutcomeKind::Lost) &&
         Request.m_Attempts.size() < m_Options.m_MaxAttempts;
}

void LoadRun::recordOutcome(LoadRequest &Request, AttemptOutcome Outcome) {
  Request.m_Attempts.push_back(std::move(Outcome));
  if (shouldRetry(Request)) {
    std::uniform_int_distribution<std::int64_t> Delay(MinRetryDelay.count(),
                                                      MaxRetryDelay.count());
    m_Loop.after(Milliseconds(Delay(m_Random)),
                 [this, &Request] { sendAttempt(Request, {}); });
    return;
  }
  Request.m_IsDone = true;
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
