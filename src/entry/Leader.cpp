//===- Leader.cpp - The duties of the leading instance --------------------===//

#include "entry/Leader.h"
#include "base/Log.h"
#include "jobs/JobRows.h"

namespace pollenspool {

namespace {

/// Rows asked for in one call: the store's own limit.
constexpr std::size_t PageRows = 500;
constexpr Duration RetryPause = std::chrono::milliseconds(100);
/// How long one call of a feed may wait.
constexpr Duration FeedWait = std::chrono::milliseconds(1000);
/// Between two readings of the instance list.
constexpr Duration ListEvery = std::chrono::milliseconds(1000);
/// How long a leader goes on without knowing whether another has begun. Longer
/// bridges longer outages of the store, but makes the next leader wait longer
/// for servers that it cannot reach.
constexpr Duration GoOnFor = std::chrono::seconds(5);
/// Events that arrive together are acted on together.
constexpr Duration TickDelay = std::chrono::milliseconds(2);
/// Last states are removed this long after callers may no longer ask.
constexpr std::chrono::seconds RemovalMargin{60};
constexpr Duration RemovalEvery = std::chrono::seconds(10);
constexpr std::size_t RemovalsAtOnce = 90;

} // namespace

Leader::Leader(EventLoop &Loop, EntryPorts Ports, const EntrySettings &Settings,
               Leadership &Lead)
    : m_Loop(Loop), m_Ports(Ports), m_Settings(Settings), m_Lead(Lead) {
  SchedulerOptions Options;
  Options.m_Term = Lead.term();
  Options.m_TermVersion = Lead.termCondition().m_Version;
  Options.m_EarlierLeaderFor = GoOnFor;
  Options.m_Lease = std::min(Options.m_Lease, Settings.m_LongestLease);
  m_Core = Scheduler::create(Options, m_Ports.m_Backend, Loop.now());
  m_Writer = ProgressWriter::create(*m_Core);
  FleetPlannerOptions Fleet;
  Fleet.m_MoveTime = Settings.m_MoveTime;
  Fleet.m_UpkeepTime = Settings.m_UpkeepTime;
  m_Planner = FleetPlanner::create(Fleet, *m_Core);
}

std::shared_ptr<Leader> Leader::create(EventLoop &Loop, EntryPorts Ports,
                                       const EntrySettings &Settings,
                                       Leadership &Lead) {
  return std::shared_ptr<Leader>(new Leader(Loop, Ports, Settings, Lead));
}

void Leader::start() {
  m_Ports.m_Backend.sendResultsTo(this);
  m_StatePartsLeft = jobParts().size();
  for (const std::string &Part : jobParts())
    readStates({JobStatesTable, {}, Part});
  readWaves();
  readRecentOrders();
  listInstances();
  FleetNews News;
  News.m_OnServer = [this](const ServerRegistration &R) {
    m_Core->onServer(R, m_Loop.now());
    tickSoon();
  };
  News.m_OnServerGone = [this](const ServerId &Id) {
    m_Core->onServerGone(Id, m_Loop.now());
  };
  News.m_OnServersRead = [this] { m_ServersRead = true; };
  m_Ports.m_Feed.followServers(std::move(News));
}

void Leader::stop() {
  m_Stopped = true;
  m_Ports.m_Backend.sendResultsTo(nullptr);
  m_Ports.m_Feed.stopServers();
  if (m_Jobs)
    m_Jobs->stop();
}

void Leader::readUntilAnswered(const RowAddress &From, std::size_t Limit,
                               std::function<void(RowPage &)> Then) {
  m_Ports.m_Store.read(
      From, Limit, PlatformCallTimeout,
      whileLeading(
          [this, From, Limit, Then = std::move(Then)](Result<RowPage> Page) {
            if (Page)
              return Then(Page.value());
            logEvent(Event::ReadFailed, {{"table", From.m_Table},
                                         {"part", From.m_Part},
                                         {"error", Page.error().describe()}});
            m_Loop.after(RetryPause, whileLeading([this, From, Limit, Then] {
                           readUntilAnswered(From, Limit, Then);
                         }));
          }));
}

void Leader::readStates(const RowAddress &From) {
  readUntilAnswered(From, PageRows, [this](RowPage &Page) {
    for (StoredRow &Row : Page.m_Rows)
      m_States[Row.m_At.m_Key] = Row;
    if (Page.m_HasMore && !Page.m_Rows.empty()) {
      RowAddress Next = Page.m_Rows.back().m_At;
      Next.m_Key += '\0';
      readStates(Next);
    } else if (--m_StatePartsLeft == 0) {
      followJobs();
    }
  });
}

void Leader::followJobs() {
  TableMirror::Listener Listen;
  Listen.m_OnRow = [this](const StoredRow &Row) { onLiveRow(Row); };
  Listen.m_OnAnswer = [this] {
    if (!m_Running) {
      m_Running = true;
      // What is not live was over before this term.
      for (const auto &[Id, Row] : m_States)
        if (auto P = decodeProgress(Row.m_Value);
            P && isFinal(P.value().m_State))
          m_OverSince[Id] = P.value().m_ChangedAt;
      m_States.clear();
    }
    tickSoon();
  };
  m_Jobs = TableMirror::create(m_Loop, m_Ports.m_Store, LiveJobsTable,
                               jobParts(), FeedWait, std::move(Listen));
  m_Jobs->start();
}

void Leader::onLiveRow(const StoredRow &Row) {
  JobId Id(Row.m_At.m_Key);
  if (Row.m_Removed) {
    m_OverSince[Id.m_Text] = wallNow();
    m_Core->onJobOver(Id);
    return;
  }
  auto Job = decodeJob(Row.m_Value);
  if (!Job) {
    logEvent(Event::JobUnreadable,
             {{"job", Id.m_Text}, {"error", Job.error().describe()}});
    return;
  }
  JobProgress Progress;
  RowVersion StateVersion = Row.m_Version;
  if (auto It = m_States.find(Id.m_Text); It != m_States.end()) {
    auto Read = decodeProgress(It->second.m_Value);
    if (!Read) {
      logEvent(Event::JobUnreadable,
               {{"job", Id.m_Text}, {"error", Read.error().describe()}});
      return;
    }
    Progress = std::move(Read.value());
    StateVersion = It->second.m_Version;
  }
  m_Core->onJob(std::move(Job.value()), std::move(Progress), Row.m_Version,
                StateVersion, m_Loop.now(), wallNow());
}

void Leader::listInstances() {
  m_ListPending = true;
  m_Ports.m_Instances.list(
      PlatformCallTimeout,
      whileLeading([this, Asked = m_Loop.now()](
                       Result<std::vector<InstanceListing>> List) {
        m_ListPending = false;
        m_NextList = m_Loop.now() + ListEvery;
        if (!List)
          return;
        m_Core->onInstances(std::move(List.value()), Asked, m_Loop.now());
        m_Planner->onInstances(Asked);
      }));
}

void Leader::onConfig(std::shared_ptr<const ServingConfig> Config) {
  m_Core->onConfig(std::move(Config));
  tickSoon();
}

void Leader::tickSoon() {
  if (m_Ticking)
    return;
  m_Ticking = true;
  m_Loop.after(TickDelay, whileLeading([this] {
                 m_Ticking = false;
                 decide();
               }));
}

void Leader::tick(Duration Lag) {
  m_Core->setLag(std::max(Lag, m_OrderDelay.mean()));
  decide();
}

void Leader::decide() {
  if (m_Stopped || !m_Running || !m_ServersRead)
    return;
  TimePoint Now = m_Loop.now();
  // While the store is away nobody else can take over, so work goes on; but
  // not for so long that a later leader could not wait its leases out.
  Authority May;
  May.m_IsCertain = m_Lead.isValid(Now);
  if (!May.m_IsCertain)
    May.m_StartUpTo = m_Lead.uncontestedVersion();
  if (Now < m_Lead.uncontestedAt() + GoOnFor)
    m_Core->tick(Now, wallNow(), May);
  if (!m_ListPending && Now >= m_NextList)
    listInstances();
  orderInstances();
  record();
  recordWaves();
  removeOldStates();
}

void Leader::record() {
  auto Txn = m_Writer->next(m_Loop.now(), wallNow());
  if (!Txn)
    return;
  m_Ports.m_Store.commit(
      *Txn, PlatformCallTimeout,
      whileLeading([this](const Result<CommitOutcome> &Outcome) {
        m_Writer->onResult(Outcome, m_Loop.now());
        tickSoon();
      }));
}

void Leader::removeOldStates() {
  TimePoint Now = m_Loop.now();
  if (Now < m_NextRemoval)
    return;
  m_NextRemoval = Now + RemovalEvery;
  auto Before = wallNow() - RemovalMargin -
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_Settings.m_KeepStates);
  RowTransaction Txn;
  for (auto It = m_OverSince.begin();
       It != m_OverSince.end() && Txn.m_Removes.size() < RemovalsAtOnce;) {
    if (It->second >= Before) {
      ++It;
      continue;
    }
    Txn.m_Removes.push_back(jobStateAddress(JobId(It->first)));
    It = m_OverSince.erase(It);
  }
  if (Txn.m_Removes.empty())
    return;
  m_Ports.m_Store.commit(Txn, PlatformCallTimeout,
                         [](Result<CommitOutcome> Outcome) {
                           // Rows that stay are found again by the next leader.
                           if (!Outcome)
                             logEvent(Event::RecordFailed,
                                      {{"error", Outcome.error().describe()}});
                         });
}

bool Leader::isDeposed() const { return m_Core->isDeposed(); }

RenewalRow Leader::renewal() {
  RenewalRow Row;
  for (const auto &[Queue, Jobs] : m_Core->waitingJobs())
    Row.m_Queues[Queue].m_WaitingJobs = Jobs;
  return Row;
}

bool Leader::areOrdersLate() const {
  return m_OrderDelay.isBehind(m_Loop.now());
}

void Leader::onStartResult(const StartOrder &Order, const StartReply &Reply) {
  m_OrderDelay.note(m_Loop.now() - Order.m_OrderedAt, m_Loop.now());
  m_Core->onStartResult(Order, Reply, m_Loop.now());
  tickSoon();
}

void Leader::onStopResult(const StopOrder &Order, OrderResult R) {
  m_Core->onStopResult(Order, R, m_Loop.now());
  tickSoon();
}

void Leader::onLookReply(const LookOrder &Order, const LookReply &Reply) {
  m_Core->onLookReply(Order, Reply, m_Loop.now());
  tickSoon();
}

void Leader::onAdvice(const AdviceOrder &Order,
                      const Result<AdviceReply> &Reply) {
  m_Core->onAdvice(Order, Reply, m_Loop.now());
  tickSoon();
}

void Leader::onLookFailed(const LookOrder &Order, OrderResult R) {
  m_Core->onLookFailed(Order, R, m_Loop.now());
  tickSoon();
}

} // namespace pollenspool
