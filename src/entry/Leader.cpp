//===- Leader.cpp - One term of a leading entry instance ------------------===//

#include "entry/Leader.h"
#include "base/Log.h"
#include "instances/WaveRows.h"
#include "net/ProcessorTime.h"

namespace pollenspool {

namespace {

/// Delay before a failed read is repeated.
constexpr Duration RetryPause = std::chrono::milliseconds(100);
/// Timeout of the write that tells whether starts are recorded. Starts wait for
/// it when the store has become slow, and it may take over a second then.
constexpr Duration StartRecordsTimeout = std::chrono::milliseconds(1500);
/// Interval between two requests of the instance list.
constexpr Duration InstanceListInterval = std::chrono::milliseconds(1000);
/// The same while servers become unreachable: the runs of a crashed server can
/// only start elsewhere once the list shows the crash.
constexpr Duration MinInstanceListInterval = std::chrono::milliseconds(200);
/// How long a leader continues without confirmation that no other instance has
/// taken over. A longer time bridges longer outages of the store, but the next
/// leader then waits longer for backend servers that it cannot reach.
constexpr Duration MaxUnconfirmedLeadTime = std::chrono::seconds(5);
/// How old the view of the live jobs may be while the store answers. An answer
/// of the feed may wait for FeedWait, and a start order may be carried out half
/// a second later; a cancelled job must not start 3 s after its cancellation.
constexpr Duration MaxJobViewAge = std::chrono::milliseconds(2000);
/// Delay between an event and the decisions that it causes, so that events in
/// quick succession are handled together. It is DecisionPauseFactor times as
/// long as the latest decisions took, within these bounds, so that decisions
/// leave most of the processor to calls.
constexpr Duration MinEventBatchDelay = std::chrono::milliseconds(2);
constexpr Duration MaxEventBatchDelay = std::chrono::milliseconds(20);
constexpr int DecisionPauseFactor = 4;
/// Interval between two searches for unreachable servers without runs.
constexpr Duration IdleServersInterval = std::chrono::milliseconds(100);

} // namespace

Leader::Leader(EventLoop &Loop, EntryPorts Ports, const EntrySettings &Settings,
               Leadership &Lead, LoadMonitor &Load)
    : m_Loop(Loop), m_Ports(Ports), m_Settings(Settings), m_Leadership(Lead),
      m_Load(Load), m_StartRecords(Lead.term(), Lead.termCondition()),
      m_IdleServers(Lead.term(), Lead.termCondition()),
      m_Marks(CancellationMarks::create(finalStateRetention(Settings))) {
  SchedulerOptions Options;
  Options.m_Term = Lead.term();
  Options.m_TermVersion = Lead.termCondition().m_Version;
  Options.m_EarlierLeaderTimeout = MaxUnconfirmedLeadTime;
  Options.m_Lease = std::min(Options.m_Lease, Settings.m_MaxLease);
  Options.m_MaxLease = Settings.m_MaxLease;
  Options.m_CapacitySettlingTime =
      Settings.m_StabilizationTime + Settings.m_RegistrationInterval;
  m_Scheduler = Scheduler::create(Options, m_Ports.m_Backend, Loop.now());
  m_Scheduler->restoreAdmission(Lead.renewal().m_Admission);
  m_ProgressWriter = ProgressWriter::create(*m_Scheduler, Lead.termCondition());
  m_QueueRecords =
      QueueRecords::create(m_Scheduler->queues(), Lead.termCondition());
  m_Waits = WaitMonitor::create(*m_Scheduler, *m_ProgressWriter);
  FleetPlannerOptions Fleet;
  Fleet.m_MoveTime = Settings.m_MoveTime;
  Fleet.m_MaintenanceTime = Settings.m_MaintenanceTime;
  m_Planner = FleetPlanner::create(Fleet, *m_Scheduler);
}

std::shared_ptr<Leader> Leader::create(EventLoop &Loop, EntryPorts Ports,
                                       const EntrySettings &Settings,
                                       Leadership &Lead, LoadMonitor &Load) {
  return std::shared_ptr<Leader>(new Leader(Loop, Ports, Settings, Lead, Load));
}

void Leader::start() {
  m_Ports.m_Backend.setResultListener(this);
  m_StartedAt = m_Loop.now();
  readJobStates();
  readQueueRules({QueueRulesTable, {}, LeaderPartition});
  followJobs();
  readStartRecords();
  readIdleServers();
  readWaves({WavesTable, {}, LeaderPartition});
  readRecentOrders();
  listInstances();
  FleetListener Callbacks;
  Callbacks.m_OnServer = [this](const ServerRegistration &R) {
    m_Scheduler->onServer(R, m_Loop.now());
    scheduleTick();
  };
  Callbacks.m_OnServerUnregistered = [this](const ServerId &Id) {
    m_Scheduler->onServerUnregistered(Id, m_Loop.now());
  };
  Callbacks.m_OnServersListed = [this] { m_ServersLoaded = true; };
  m_Ports.m_Feed.watchServers(std::move(Callbacks));
}

void Leader::stop() {
  m_Stopped = true;
  m_Ports.m_Backend.setResultListener(nullptr);
  m_Ports.m_Feed.stopWatchingServers();
  if (m_LiveJobs)
    m_LiveJobs->stop();
}

void Leader::readWithRetry(const RowAddress &From, std::size_t Limit,
                           std::function<void(RowPage &)> Callback) {
  m_Ports.m_Store.read(
      From, Limit, PlatformCallTimeout,
      whileLeading([this, From, Limit, Sent = m_Loop.now(),
                    Callback = std::move(Callback)](Result<RowPage> Page) {
        if (Page) {
          m_ProgressWriter->onStoreAnswer(m_Loop.now() - Sent, m_Loop.now());
          return Callback(Page.value());
        }
        logEvent(Event::ReadFailed, {{"table", From.m_Table},
                                     {"part", From.m_Partition},
                                     {"error", Page.error().describe()}});
        m_Loop.after(RetryPause, whileLeading([this, From, Limit, Callback] {
                       readWithRetry(From, Limit, Callback);
                     }));
      }));
}

void Leader::readQueueRules(const RowAddress &From) {
  readWithRetry(From, MaxPageRows, [this](RowPage &Page) {
    for (const StoredRow &Row : Page.m_Rows)
      m_QueueRecords->onRead(Row);
    if (Page.m_HasMore && !Page.m_Rows.empty()) {
      RowAddress Next = Page.m_Rows.back().m_At;
      Next.m_Key += '\0';
      return readQueueRules(Next);
    }
    m_QueueRulesRead = true;
    onStatesRead();
  });
}

void Leader::recordQueueRules() {
  if (!m_Leadership.isValid(m_Loop.now()))
    return;
  auto Txn = m_QueueRecords->next(m_Loop.now());
  if (!Txn)
    return;
  m_Ports.m_Store.commit(
      *Txn, PlatformCallTimeout,
      whileLeading([this](const Result<CommitOutcome> &Outcome) {
        m_QueueRecords->onResult(Outcome);
      }));
}

bool Leader::isListDue(TimePoint Now) const {
  if (m_ListPending)
    return false;
  return Now >= m_NextListAt ||
         (m_Scheduler->lastAbruptSilence() > m_ListAskedAt &&
          Now >= m_ListAskedAt + MinInstanceListInterval);
}

void Leader::listInstances() {
  m_ListPending = true;
  m_ListAskedAt = m_Loop.now();
  m_Ports.m_Instances.list(
      PlatformCallTimeout,
      whileLeading([this, Asked = m_Loop.now()](
                       Result<std::vector<InstanceListing>> List) {
        m_ListPending = false;
        m_NextListAt = m_Loop.now() + InstanceListInterval;
        if (!List) {
          logEvent(Event::InstanceListFailed,
                   {{"term", std::to_string(m_Leadership.term())},
                    {"error", List.error().describe()}});
          return;
        }
        m_Scheduler->onInstances(std::move(List.value()), Asked, m_Loop.now());
        m_Planner->onInstances(Asked);
      }));
}

void Leader::onConfig(std::shared_ptr<const ServingConfig> Config) {
  m_Scheduler->onConfig(std::move(Config));
  scheduleTick();
}

void Leader::scheduleTick() {
  if (m_TickScheduled)
    return;
  m_TickScheduled = true;
  m_Loop.after(std::clamp(m_DecisionTime * DecisionPauseFactor,
                          MinEventBatchDelay, MaxEventBatchDelay),
               whileLeading([this] {
                 m_TickScheduled = false;
                 runDecisions();
               }));
}

void Leader::tick(Duration Lag) {
  m_Scheduler->setLag(std::max(Lag, m_AnswerDelay.mean()));
  runDecisions();
}

void Leader::runDecisions() {
  if (m_Stopped || !m_JobsLoaded || !m_ServersLoaded ||
      !m_StartRecords.isRead())
    return;
  ProcessorTimer Timer;
  updateStartRecords();
  TimePoint Now = m_Loop.now();
  // While the store is unavailable no other instance can take over, so the
  // leader continues. It stops after MaxUnconfirmedLeadTime, because the next
  // leader counts on that limit when it waits for this leader's leases to
  // expire.
  Authority Allowed;
  Allowed.m_IsTermConfirmed = m_Leadership.isValid(Now);
  Allowed.m_UncontestedAt = m_Leadership.uncontestedAt();
  if (!Allowed.m_IsTermConfirmed)
    Allowed.m_StartableVersion = m_Leadership.uncontestedVersion();
  // A job that the leader does not know to be cancelled yet must not start.
  if (Allowed.m_IsTermConfirmed &&
      Now >= m_LiveJobs->currentAt() + MaxJobViewAge)
    Allowed.m_StartableVersion = 0;
  const bool MayDecide =
      Now < m_Leadership.uncontestedAt() + MaxUnconfirmedLeadTime;
  if (MayDecide == m_DecisionsSuspended)
    logDecisionsSuspended(!MayDecide);
  if (MayDecide)
    m_Scheduler->tick(Now, wallNow(), Allowed);
  if (isListDue(Now))
    listInstances();
  planInstanceOrders();
  recordProgress();
  recordQueueRules();
  updateIdleServers();
  m_Waits->update(Now);
  recordWaves();
  removeOldStates();
  removeMarks();
  m_DecisionTime = m_Loop.now() - Now;
  m_Load.addDecisions(Timer.elapsed());
}

void Leader::logDecisionsSuspended(bool IsSuspended) {
  m_DecisionsSuspended = IsSuspended;
  const Duration Unconfirmed = m_Loop.now() - m_Leadership.uncontestedAt();
  logEvent(IsSuspended ? Event::DecisionsSuspended : Event::DecisionsResumed,
           {{"term", std::to_string(m_Leadership.term())},
            {"unconfirmed_ms",
             std::to_string(Unconfirmed / std::chrono::milliseconds(1))}});
}

void Leader::recordProgress() {
  while (auto Next = m_ProgressWriter->next(m_Loop.now(), wallNow()))
    m_Ports.m_Store.commit(
        Next->m_Txn, Next->m_Timeout,
        whileLeading(
            [this, Number = Next->m_Number](const Result<CommitOutcome> &R) {
              m_ProgressWriter->onResult(Number, R, m_Loop.now());
              scheduleTick();
            }));
}

void Leader::readStartRecords() {
  readWithRetry({StartRecordsTable, StartRecordsKey, LeaderPartition}, 1,
                [this](RowPage &Page) {
                  std::optional<StoredRow> Row;
                  if (!Page.m_Rows.empty() &&
                      Page.m_Rows.front().m_At.m_Key == StartRecordsKey)
                    Row = Page.m_Rows.front();
                  m_StartRecords.onRead(Row);
                  m_Scheduler->setStartsRecordedSince(
                      m_StartRecords.recordedSince());
                });
}

void Leader::updateStartRecords() {
  auto Txn = m_StartRecords.next(m_ProgressWriter->latency(m_Loop.now()),
                                 m_LiveJobs->newestReported(), m_Loop.now());
  m_Scheduler->setRecordsStarts(m_StartRecords.mustRecord());
  if (Txn)
    m_Ports.m_Store.commit(
        *Txn, StartRecordsTimeout,
        whileLeading([this](const Result<CommitOutcome> &Outcome) {
          m_StartRecords.onResult(Outcome, m_Loop.now());
          scheduleTick();
        }));
}

void Leader::readIdleServers() {
  readWithRetry({IdleServersTable, IdleServersKey, LeaderPartition}, 1,
                [this](RowPage &Page) {
                  std::optional<StoredRow> Row;
                  if (!Page.m_Rows.empty() &&
                      Page.m_Rows.front().m_At.m_Key == IdleServersKey)
                    Row = Page.m_Rows.front();
                  m_IdleServers.onRead(Row);
                  m_Scheduler->setServersWithoutEarlierRuns(
                      m_IdleServers.inherited());
                  scheduleTick();
                });
}

void Leader::updateIdleServers() {
  TimePoint Now = m_Loop.now();
  if (Now < m_NextIdleServersAt || !m_Leadership.isValid(Now))
    return;
  m_NextIdleServersAt = Now + IdleServersInterval;
  auto Txn =
      m_IdleServers.next(m_Scheduler->unreachableServersWithoutRuns(Now), Now);
  if (!Txn)
    return;
  m_Scheduler->holdServers(m_IdleServers.held());
  m_Ports.m_Store.commit(
      *Txn, PlatformCallTimeout,
      whileLeading([this](const Result<CommitOutcome> &Outcome) {
        m_IdleServers.onResult(Outcome, m_Loop.now());
        m_Scheduler->holdServers(m_IdleServers.held());
        scheduleTick();
      }));
}

bool Leader::isSuperseded() const { return m_Scheduler->isSuperseded(); }

RenewalRow Leader::renewal() {
  RenewalRow Row;
  if (!m_JobsLoaded) {
    Row.m_Loads = m_Leadership.renewal().m_Loads;
    Row.m_Admission = m_Leadership.renewal().m_Admission;
    return Row;
  }
  Row.m_Admission = m_Scheduler->updateAdmission(m_Loop.now());
  for (const auto &[Queue, Jobs] : m_Scheduler->waitingJobs())
    Row.m_Loads.m_Queues[Queue].m_WaitingJobs = Jobs;
  Row.m_Loads.m_AsOf = m_LiveJobs->currentStoreTime();
  return Row;
}

bool Leader::areAnswersLate() const {
  return m_AnswerDelay.isOverloaded(m_Loop.now());
}

void Leader::onStartResult(const StartOrder &Order, const StartReply &Reply) {
  m_AnswerDelay.addSample(m_Loop.now() - Order.m_OrderedAt, m_Loop.now());
  m_Scheduler->onStartResult(Order, Reply, m_Loop.now());
  scheduleTick();
}

void Leader::onStopResult(const StopOrder &Order, OrderResult R) {
  m_Scheduler->onStopResult(Order, R, m_Loop.now());
  scheduleTick();
}

void Leader::onPollReply(const PollOrder &Order, const PollReply &Reply) {
  m_Scheduler->onPollReply(Order, Reply, m_Loop.now());
  scheduleTick();
}

void Leader::onAdvice(const AdviceOrder &Order,
                      const Result<AdviceReply> &Reply) {
  m_Scheduler->onAdvice(Order, Reply, m_Loop.now());
  scheduleTick();
}

void Leader::onPollFailed(const PollOrder &Order, OrderResult R) {
  m_Scheduler->onPollFailed(Order, R, m_Loop.now());
  scheduleTick();
}

} // namespace pollenspool
