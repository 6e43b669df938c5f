//===- Entry.cpp - One entry instance -------------------------------------===//

#include "entry/Entry.h"
#include "base/Log.h"

namespace pollenspool {

namespace {

/// How long one call of the lead feed may wait: an answer without a change is
/// the proof that the store answers and the leader is silent.
constexpr Duration FeedWait = std::chrono::milliseconds(400);
/// The leader's cores run this often; followers only watch the clock.
constexpr Duration LeaderTick = std::chrono::milliseconds(20);
constexpr Duration FollowerTick = std::chrono::milliseconds(100);
/// Without an answer of the store for this long callers are better served
/// elsewhere. The feed is answered at least every 400 ms, and a slow store adds
/// up to 300 ms.
constexpr Duration StoreSilence = std::chrono::milliseconds(900);
/// Longest pause between two calls of the lead feed: with the calls' own wait
/// it stays below StoreSilence.
constexpr Duration MaxFollowPause = std::chrono::milliseconds(300);
/// Longest extra wait of a weak instance before it takes over.
constexpr Duration MaxOwnDelay = std::chrono::milliseconds(800);
/// What leading the largest planned deployment takes: 350 backend servers with
/// 1,000 starts a second need a third of a core and 20 Mbit/s at the peak.
constexpr double FullCpuShare = 0.5;
constexpr double FullLinkMbps = 100;

LeadershipOptions leadershipOptions(const EntrySettings &Settings) {
  LeadershipOptions Options;
  Options.m_Strength = std::min({1.0, Settings.m_CpuShare / FullCpuShare,
                                 Settings.m_LinkMbps / FullLinkMbps});
  std::mt19937_64 Random(std::random_device{}());
  // Strong instances come first; a tie is broken by chance.
  double Lack = 1 - Options.m_Strength;
  Options.m_OwnDelay =
      std::chrono::duration_cast<Duration>(MaxOwnDelay * Lack * Lack) +
      std::chrono::milliseconds(
          std::uniform_int_distribution<int>(0, 120)(Random));
  return Options;
}

} // namespace

Entry::Entry(EventLoop &Loop, EntryPorts Ports, const EntrySettings &Settings)
    : m_Loop(Loop), m_Ports(Ports), m_Settings(Settings),
      m_Lead(Settings.m_Name, leadershipOptions(Settings)),
      m_Intake(JobIntake::create(Loop, Ports.m_Store)) {}

Entry::~Entry() {
  if (m_Leader)
    m_Leader->stop();
  if (m_LeadRows)
    m_LeadRows->stop();
}

std::unique_ptr<Entry> Entry::create(EventLoop &Loop, EntryPorts Ports,
                                     const EntrySettings &Settings) {
  return std::unique_ptr<Entry>(new Entry(Loop, Ports, Settings));
}

void Entry::start() {
  FleetNews News;
  News.m_OnConfig = [this](std::shared_ptr<const ServingConfig> Config) {
    m_Config = std::move(Config);
    if (m_Leader)
      m_Leader->onConfig(m_Config);
  };
  News.m_OnWave = [this](const WaveRequest &Wave) {
    m_Waves[Wave.m_Id] = Wave;
    if (m_Leader)
      m_Leader->onWave(Wave);
  };
  m_Ports.m_Feed.followOperators(std::move(News));
  followLead();
  tick(m_Loop.now());
}

void Entry::followLead() {
  TableMirror::Listener Listen;
  Listen.m_OnRow = [this](const StoredRow &Row) {
    m_Lead.onRow(Row, m_Loop.now());
    if (m_Leader && !m_Lead.isLeading())
      stopLeading("the store shows a later term");
    if (!m_Lead.isLeading() && m_Lead.term() != m_LoggedTerm) {
      m_LoggedTerm = m_Lead.term();
      logEvent(Event::TermSeen, {{"term", std::to_string(m_LoggedTerm)},
                                 {"leader", m_Lead.row().m_Leader}});
    }
  };
  Listen.m_OnAnswer = [this] {
    if (!m_StoreAnswering)
      logEvent(Event::StoreRegained);
    m_StoreAnswering = true;
    m_StoreAnswered = m_Loop.now();
    m_Lead.onStoreAnswer(m_LeadRows->answeringSince(), m_LeadRows->answeredAt(),
                         m_LeadRows->version(), m_Loop.now());
  };
  Listen.m_OnFailure = [this](const Error &Why) {
    if (m_StoreAnswering)
      logEvent(Event::StoreLost, {{"error", Why.describe()}});
    m_StoreAnswering = false;
  };
  m_LeadRows = TableMirror::create(m_Loop, m_Ports.m_Store, LeadTable,
                                   {LeadPart}, FeedWait, std::move(Listen));
  followLeadAtEase();
  m_LeadRows->start();
}

void Entry::followLeadAtEase() {
  // An instance that takes over later anyway may see renewals later.
  m_LeadRows->setPause(std::min(m_Lead.options().m_OwnDelay, MaxFollowPause));
}

void Entry::tick(TimePoint Due) {
  TimePoint Now = m_Loop.now();
  m_TimerDelay.note(Now - Due, Now);
  tryLead();
  renew();
  offerRelief();
  if (m_Leader && m_Lead.isRelieved())
    releaseTerm("a stronger instance relieves this one");
  if (m_Leader && (m_Leader->isDeposed() || !m_Lead.isLeading()))
    stopLeading("an order was refused for a later term");
  if (m_Leader)
    m_Leader->tick(m_TimerDelay.mean());
  Duration Wait = m_Leader ? LeaderTick : FollowerTick;
  m_Loop.after(Wait, [this, Next = m_Loop.now() + Wait] { tick(Next); });
}

void Entry::tryLead() {
  if (m_Draining || !m_Config)
    return;
  auto Txn = m_Lead.tryTakeOver(m_Loop.now());
  if (!Txn)
    return;
  m_Ports.m_Store.commit(
      *Txn, PlatformCallTimeout,
      [this, Sent = m_Loop.now()](Result<CommitOutcome> Outcome) {
        m_Lead.onTakeOverResult(Outcome, Sent, m_Loop.now());
        if (!m_Lead.isLeading() || m_Leader)
          return;
        logEvent(Event::TermWon, {{"term", std::to_string(m_Lead.term())}});
        m_LoggedTerm = m_Lead.term();
        // A leader has to learn at once that it is one no longer.
        m_LeadRows->setPause(Duration(0));
        m_Leader = Leader::create(m_Loop, m_Ports, m_Settings, m_Lead);
        m_Leader->start();
        m_Leader->onConfig(m_Config);
        for (const auto &[Id, Wave] : m_Waves)
          m_Leader->onWave(Wave);
      });
}

void Entry::renew() {
  if (!m_Leader || !m_Lead.isRenewalDue(m_Loop.now()))
    return;
  RenewalRow Row = m_Leader->renewal();
  Row.m_Address = m_Settings.m_Metrics;
  Row.m_IsBehind =
      m_TimerDelay.isBehind(m_Loop.now()) || m_Leader->areOrdersLate();
  m_Ports.m_Store.commit(
      m_Lead.renew(std::move(Row), m_Loop.now()), PlatformCallTimeout,
      [this, Sent = m_Loop.now()](Result<CommitOutcome> Outcome) {
        m_Lead.onRenewResult(Outcome, Sent);
        if (!Outcome)
          logEvent(Event::TermUnconfirmed,
                   {{"term", std::to_string(m_Lead.term())},
                    {"error", Outcome.error().describe()}});
      });
}

void Entry::stopLeading(const char *Why) {
  logEvent(Event::TermLost, {{"why", Why}});
  m_Lead.depose();
  m_Leader->stop();
  m_Leader.reset();
  followLeadAtEase();
}

void Entry::drain() {
  if (m_Draining)
    return;
  m_Draining = true;
  if (m_Leader)
    releaseTerm("the process stops");
}

void Entry::offerRelief() {
  if (m_Draining || !m_Config || m_TimerDelay.isBehind(m_Loop.now()))
    return;
  auto Offer = m_Lead.offerRelief(m_Loop.now());
  if (!Offer)
    return;
  m_Ports.m_Store.commit(
      *Offer, PlatformCallTimeout,
      [Term = m_Lead.term()](const Result<CommitOutcome> &Outcome) {
        const char *Result = !Outcome ? "unknown"
                             : Outcome.value().m_Committed
                                 ? "offered"
                                 : "another came first";
        logEvent(Event::ReliefOffered,
                 {{"term", std::to_string(Term)}, {"result", Result}});
      });
}

void Entry::releaseTerm(const char *Why) {
  // No order is given after the term has been given up.
  RowTransaction Release = m_Lead.release(m_Loop.now());
  stopLeading(Why);
  m_Ports.m_Store.commit(
      Release, PlatformCallTimeout, [](Result<CommitOutcome> R) {
        if (!R)
          logEvent(Event::TermUnconfirmed, {{"error", R.error().describe()}});
      });
}

bool Entry::isReady() const {
  return !m_Draining && m_Config && !isStoreSilent();
}

bool Entry::isStoreSilent() const {
  return m_Loop.now() >= m_StoreAnswered + StoreSilence;
}

std::optional<std::uint32_t> Entry::waiting(const QueueName &Queue) const {
  if (m_Lead.renewal().m_Term == 0)
    return std::nullopt;
  auto It = m_Lead.renewal().m_Queues.find(Queue);
  return It == m_Lead.renewal().m_Queues.end() ? 0 : It->second.m_WaitingJobs;
}

} // namespace pollenspool
