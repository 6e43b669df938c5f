//===- Entry.cpp - An entry instance --------------------------------------===//

#include "entry/Entry.h"
#include "base/Log.h"
#include "net/ProcessorTime.h"
#include <cmath>

namespace pollenspool {

namespace {

/// How long one call of the leader table's feed may wait. An answer without a
/// change proves that the store answers and that the leader has not renewed.
constexpr Duration FeedWait = std::chrono::milliseconds(400);
/// A renewal confirms the term for 1.1 s, so that later answers are of no use.
constexpr Duration RenewalTimeout = std::chrono::milliseconds(1100);
/// Timer interval of a leader, which runs the scheduler, and of a follower,
/// which only checks the time limits of the election.
constexpr Duration LeaderTickInterval = std::chrono::milliseconds(20);
constexpr Duration FollowerTickInterval = std::chrono::milliseconds(100);
/// Time without an answer of the store after which the instance is not ready,
/// so that callers are sent to other instances. The feed is answered at least
/// every 400 ms, and a slow store adds up to 300 ms.
constexpr Duration StoreResponseTimeout = std::chrono::milliseconds(900);
/// Longest delay between two calls of the leader table's feed. Together with
/// FeedWait it is below StoreResponseTimeout.
constexpr Duration MaxFollowerBatchDelay = std::chrono::milliseconds(300);
/// Part of the time within which a configuration must take effect that is left
/// for requests on their way.
constexpr Duration ConfigDelayMargin = std::chrono::milliseconds(250);
/// Callers are promised counts of waiting jobs that are at most this old.
constexpr std::chrono::milliseconds PromisedCountAge{2000};
/// Time for an answer to reach the caller. It is subtracted from the time after
/// which a job must be counted.
constexpr std::chrono::milliseconds CountAnswerTime{250};
/// Extra wait of an instance without any capacity before it takes over. It
/// falls with the fourth power of the missing capacity: an instance of half the
/// full capacity waits for 0.2 s, one of a quarter for 1 s.
constexpr Duration MaxElectionDelay = std::chrono::milliseconds(3200);
/// Extra wait of an instance that did not start lately.
constexpr Duration MaxAgeDelay = std::chrono::milliseconds(120);
/// Random part of the election delay, which breaks ties.
constexpr int MaxRandomDelayMs = 40;
/// Resources at which an instance counts as having full capacity. The largest
/// planned deployment, 350 backend servers with 1,000 starts per second, needs
/// a third of a core and 20 Mbit/s at its peak.
constexpr double FullCapacityCpuShare = 0.5;
constexpr double FullCapacityLinkMbps = 100;

LeadershipOptions leadershipOptions(const EntrySettings &Settings,
                                    TimePoint StartedAt) {
  LeadershipOptions Options;
  Options.m_StartedAt = StartedAt;
  Options.m_MaxAgeDelay = MaxAgeDelay;
  Options.m_RelativeCapacity =
      std::min({1.0, Settings.m_CpuShare / FullCapacityCpuShare,
                Settings.m_LinkMbps / FullCapacityLinkMbps});
  std::mt19937_64 Random(std::random_device{}());
  double Shortfall = 1 - Options.m_RelativeCapacity;
  Options.m_ElectionDelay =
      std::chrono::duration_cast<Duration>(MaxElectionDelay *
                                           std::pow(Shortfall, 4)) +
      std::chrono::milliseconds(
          std::uniform_int_distribution<int>(0, MaxRandomDelayMs)(Random));
  return Options;
}

} // namespace

Entry::Entry(EventLoop &Loop, EntryPorts Ports, const EntrySettings &Settings)
    : m_Loop(Loop), m_Ports(Ports), m_Settings(Settings),
      m_Leadership(Settings.m_Name, leadershipOptions(Settings, Loop.now())),
      m_JobStore(JobStore::create(Loop, Ports.m_Store)),
      m_Load(Settings.m_CpuShare, processorTime(), Loop.now()),
      m_ConfigConfirmedAt(Loop.now()) {}

Entry::~Entry() {
  if (m_Leader)
    m_Leader->stop();
  if (m_LeaderTable)
    m_LeaderTable->stop();
}

std::unique_ptr<Entry> Entry::create(EventLoop &Loop, EntryPorts Ports,
                                     const EntrySettings &Settings) {
  return std::unique_ptr<Entry>(new Entry(Loop, Ports, Settings));
}

void Entry::start() {
  FleetListener Callbacks;
  Callbacks.m_OnConfig = [this](std::shared_ptr<const ServingConfig> Config) {
    m_Config = std::move(Config);
    if (m_Leader)
      m_Leader->onConfig(m_Config);
  };
  Callbacks.m_OnWave = [this](const WaveRequest &Wave) {
    m_Waves[Wave.m_Id] = Wave;
    if (m_Leader)
      m_Leader->onWave(Wave);
  };
  Callbacks.m_OnConfigConfirmed = [this](TimePoint AsOf) {
    m_ConfigConfirmedAt = AsOf;
  };
  m_Ports.m_Feed.watchConfigAndWaves(std::move(Callbacks));
  followLeaderTable();
  tick(m_Loop.now());
}

void Entry::followLeaderTable() {
  TableMirror::Listener RowListener;
  RowListener.m_OnRow = [this](const StoredRow &Row) {
    m_Leadership.onRow(Row, m_Loop.now());
    // The order in which instances take over a released term is decided by
    // differences of milliseconds, which the timer of a follower is too coarse
    // for.
    if (m_Leadership.termRow().m_Released && Row.m_At.m_Key == TermKey)
      m_Loop.after(m_Leadership.electionDelay(m_Loop.now()),
                   [this] { tryBecomeLeader(); });
    if (m_Leader && !m_Leadership.isLeading())
      stopLeading("the store holds a later term");
    if (!m_Leadership.isLeading() && m_Leadership.term() != m_LastLoggedTerm) {
      m_LastLoggedTerm = m_Leadership.term();
      logEvent(Event::TermSeen, {{"term", std::to_string(m_LastLoggedTerm)},
                                 {"leader", m_Leadership.termRow().m_Leader}});
    }
  };
  RowListener.m_OnAnswer = [this] {
    if (!m_IsStoreAnswering)
      logEvent(Event::StoreRegained);
    m_IsStoreAnswering = true;
    m_LastStoreAnswerAt = m_Loop.now();
    m_Leadership.onFeedAnswer(m_LeaderTable->answeringSince(),
                              m_LeaderTable->lastAnswerRequestedAt(),
                              m_LeaderTable->version(), m_Loop.now());
  };
  RowListener.m_OnFailure = [this](const Error &Why) {
    if (m_IsStoreAnswering)
      logEvent(Event::StoreLost, {{"error", Why.describe()}});
    m_IsStoreAnswering = false;
  };
  m_LeaderTable = TableMirror::create(m_Loop, m_Ports.m_Store, LeaderTable,
                                      {LeaderPartition}, CatchUp::ReadRows,
                                      FeedWait, std::move(RowListener));
  useFollowerBatchDelay();
  m_LeaderTable->start();
}

void Entry::useFollowerBatchDelay() {
  // The instance takes over later by its election delay, so it may also see
  // renewals that much later.
  m_LeaderTable->setBatchDelay(std::min(
      m_Leadership.electionDelay(m_Loop.now()), MaxFollowerBatchDelay));
}

void Entry::tick(TimePoint Due) {
  TimePoint Now = m_Loop.now();
  m_TimerDelay.addSample(Now - Due, Now);
  measureLoad(Now);
  checkConfigAge();
  tryBecomeLeader();
  renew();
  offerHandover();
  if (m_Leader && m_Leadership.isHandoverOffered())
    releaseTerm("an instance of higher capacity takes over");
  if (m_Leader && (m_Leader->isSuperseded() || !m_Leadership.isLeading()))
    stopLeading("a backend server or the store refused the term");
  if (m_Leader)
    m_Leader->tick(m_TimerDelay.mean());
  Duration Wait = m_Leader ? LeaderTickInterval : FollowerTickInterval;
  m_Loop.after(Wait, [this, Next = m_Loop.now() + Wait] { tick(Next); });
}

ConfigFreshness Entry::configFreshness() const {
  Duration Age = m_Loop.now() - m_ConfigConfirmedAt;
  return {Age, Age >= m_Settings.m_MaxConfigDelay - ConfigDelayMargin};
}

void Entry::checkConfigAge() {
  const bool IsOutdated = configFreshness().m_IsOutdated;
  if (IsOutdated == m_ConfigUnconfirmedSince.has_value())
    return;
  const TimePoint Since =
      m_ConfigUnconfirmedSince.value_or(m_ConfigConfirmedAt);
  logEvent(IsOutdated ? Event::ConfigOutdated : Event::ConfigConfirmed,
           {{"version", std::to_string(m_Config ? m_Config->version() : 0)},
            {"age_ms", std::to_string((m_Loop.now() - Since) /
                                      std::chrono::milliseconds(1))}});
  m_ConfigUnconfirmedSince.reset();
  if (IsOutdated)
    m_ConfigUnconfirmedSince = Since;
}

void Entry::measureLoad(TimePoint Now) {
  auto Window =
      m_Load.update(processorTime(),
                    m_Leader ? m_Leader->counters() : SchedulerCounters(), Now);
  if (!Window || !m_Leader || !Window->isSaturated())
    return;
  auto Ms = [](Duration D) {
    return std::to_string(D / std::chrono::milliseconds(1));
  };
  logEvent(Event::LeaderSaturated,
           {{"term", std::to_string(m_Leadership.term())},
            {"share_percent",
             std::to_string(std::lround(100 * Window->m_ShareUsed))},
            {"window_ms", Ms(Window->m_Length)},
            {"decision_ms", Ms(Window->m_DecisionTime)},
            {"decisions", std::to_string(Window->m_Decisions)},
            {"passes", std::to_string(Window->m_Passes)},
            {"jobs_examined", std::to_string(Window->m_JobsExamined)},
            {"servers_examined", std::to_string(Window->m_ServersExamined)},
            {"starts", std::to_string(Window->m_Starts)},
            {"polls", std::to_string(Window->m_Polls)},
            {"loop_delay_ms", Ms(m_TimerDelay.mean())}});
}

void Entry::tryBecomeLeader() {
  if (m_Draining || !m_Config)
    return;
  auto Txn = m_Leadership.tryTakeOver(m_Loop.now());
  if (!Txn)
    return;
  m_Ports.m_Store.commit(
      *Txn, PlatformCallTimeout,
      [this, Sent = m_Loop.now()](Result<CommitOutcome> Outcome) {
        m_Leadership.onTakeOverResult(Outcome, Sent, m_Loop.now());
        if (!m_Leadership.isLeading() || m_Leader)
          return;
        logEvent(Event::TermWon,
                 {{"term", std::to_string(m_Leadership.term())}});
        m_LastLoggedTerm = m_Leadership.term();
        // A leader must see a later term without delay.
        m_LeaderTable->setBatchDelay(Duration(0));
        m_Leader =
            Leader::create(m_Loop, m_Ports, m_Settings, m_Leadership, m_Load);
        m_Load.onNewScheduler();
        m_Leader->start();
        m_Leader->onConfig(m_Config);
        for (const auto &[Id, Wave] : m_Waves)
          m_Leader->onWave(Wave);
      });
}

void Entry::renew() {
  if (!m_Leader || !m_Leadership.isRenewalDue(m_Loop.now()))
    return;
  RenewalRow Row = m_Leader->renewal();
  Row.m_Address = m_Settings.m_Metrics;
  Row.m_IsOverloaded =
      m_TimerDelay.isOverloaded(m_Loop.now()) || m_Leader->areAnswersLate();
  m_Ports.m_Store.commit(
      m_Leadership.renew(std::move(Row), m_Loop.now()), RenewalTimeout,
      [this, Sent = m_Loop.now()](Result<CommitOutcome> Outcome) {
        m_Leadership.onRenewResult(Outcome, Sent);
        if (!Outcome)
          logEvent(Event::TermUnconfirmed,
                   {{"term", std::to_string(m_Leadership.term())},
                    {"error", Outcome.error().describe()}});
      });
}

void Entry::stopLeading(const char *Why) {
  logEvent(Event::TermLost, {{"why", Why}});
  m_Leadership.stepDown();
  m_Leader->stop();
  m_Leader.reset();
  m_Load.onNewScheduler();
  useFollowerBatchDelay();
}

void Entry::drain() {
  if (m_Draining)
    return;
  m_Draining = true;
  if (m_Leader)
    releaseTerm("the process is shutting down");
}

void Entry::offerHandover() {
  if (m_Draining || !m_Config || m_TimerDelay.isOverloaded(m_Loop.now()))
    return;
  auto Offer = m_Leadership.offerHandover(m_Loop.now());
  if (!Offer)
    return;
  m_Ports.m_Store.commit(
      *Offer, PlatformCallTimeout,
      [Term = m_Leadership.term()](const Result<CommitOutcome> &Outcome) {
        const char *Result = !Outcome ? "unknown"
                             : Outcome.value().m_Committed
                                 ? "offered"
                                 : "another offer or a later term came first";
        logEvent(Event::ReliefOffered,
                 {{"term", std::to_string(Term)}, {"result", Result}});
      });
}

void Entry::releaseTerm(const char *Why) {
  // Stops the leader first, so that it sends no order after the release.
  RowTransaction Release = m_Leadership.release(m_Loop.now());
  stopLeading(Why);
  m_Ports.m_Store.commit(
      Release, PlatformCallTimeout, [](Result<CommitOutcome> R) {
        if (!R)
          logEvent(Event::TermUnconfirmed, {{"error", R.error().describe()}});
      });
}

bool Entry::isReady() const {
  return !m_Draining && m_Config && !isStoreUnresponsive() &&
         !configFreshness().m_IsOutdated;
}

bool Entry::isStoreUnresponsive() const {
  return m_Loop.now() >= m_LastStoreAnswerAt + StoreResponseTimeout;
}

Result<std::uint32_t> Entry::waiting(const QueueName &Queue) const {
  auto StoreTime = m_LeaderTable->latestStoreTime(m_Loop.now());
  auto MaxAge = std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_Settings.m_JobVisibilityTime) +
                PromisedCountAge - CountAnswerTime;
  auto Count = m_Leadership.waitingJobs(Queue, StoreTime, MaxAge);
  const QueueLoads &Loads = m_Leadership.renewal().m_Loads;
  logEvent(Event::QueueCounted,
           {{"queue", Queue.m_Text},
            {"waiting", Count ? std::to_string(Count.value()) : "refused"},
            {"term", std::to_string(m_Leadership.renewal().m_Term)},
            {"as_of", std::to_string(Loads.m_AsOf.count())},
            {"age_ms", StoreTime
                           ? std::to_string((*StoreTime - Loads.m_AsOf).count())
                           : "unknown"}});
  return Count;
}

} // namespace pollenspool
