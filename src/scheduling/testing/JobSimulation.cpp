//===- JobSimulation.cpp - Scheduling in virtual time ---------------------===//

#include "scheduling/testing/JobSimulation.h"
#include "lead/IdleServers.h"
#include "scheduling/testing/SchedulerInvariants.h"
#include <stdexcept>

namespace pollenspool {

namespace {

using std::chrono::milliseconds;

constexpr Duration OneWayDelay = milliseconds(1);
constexpr Duration CommitDelay = milliseconds(7);
constexpr Duration LateCommitDelay = milliseconds(1500);
constexpr Duration TickInterval = milliseconds(5);
constexpr Duration OrderTimeout = milliseconds(500);
/// How long after a member of a gang the other members end.
constexpr Duration GangEndDelay = milliseconds(5);
/// How long a replaced leader keeps giving orders. The value is the same as in
/// production.
constexpr Duration ReplacedLeaderTimeout = std::chrono::seconds(5);
constexpr char TermRowKey[] = "term";

} // namespace

/// A leader: a scheduler whose orders are carried out by the simulated servers.
class JobSimulation::Instance : public SchedulerOrders {
public:
  Instance(JobSimulation &Simulation, int Number, Term T,
           RowVersion TermVersion, Duration EarlierLeaderTimeout)
      : m_IdleServers(T, {{"lead", TermRowKey, "lead"}, TermVersion}),
        m_Simulation(Simulation), m_Number(Number) {
    SchedulerOptions Options;
    Options.m_Term = T;
    Options.m_TermVersion = TermVersion;
    Options.m_EarlierLeaderTimeout = EarlierLeaderTimeout;
    m_Core = Scheduler::create(Options, *this, Simulation.m_Clock.m_Now);
    m_Writer = ProgressWriter::create(
        *m_Core, {{"lead", TermRowKey, "lead"}, TermVersion},
        Simulation.m_Settings.m_StoreLimits, Simulation.m_Settings.m_PageSize);
    m_QueueRecords = QueueRecords::create(
        m_Core->queues(), {{"lead", TermRowKey, "lead"}, TermVersion});
    // The simulated leaders record all starts from the first term on.
    m_Core->setRecordsStarts(true);
    m_Core->setStartsRecordedSince(0);
  }

  std::unique_ptr<Scheduler> m_Core;
  std::unique_ptr<ProgressWriter> m_Writer;
  std::unique_ptr<QueueRecords> m_QueueRecords;
  IdleServers m_IdleServers;
  bool m_Alive = true;
  /// When the next term was requested; unset while this one is in effect.
  std::optional<TimePoint> m_ReplacedAt;
  RowVersion m_VersionWhenReplaced = 0;
  /// Whether no call to the store is answered or carried out any more.
  bool m_HasLostStore = false;

  void tick() {
    if (!m_Alive)
      return;
    TimePoint Now = m_Simulation.m_Clock.m_Now;
    Authority Allowed;
    Allowed.m_IsTermConfirmed = !m_ReplacedAt;
    if (m_ReplacedAt) {
      Allowed.m_StartableVersion = m_VersionWhenReplaced;
      Allowed.m_UncontestedAt = *m_ReplacedAt;
    }
    if (m_ReplacedAt && Now >= *m_ReplacedAt + ReplacedLeaderTimeout)
      m_Alive = false;
    if (m_Core->isSuperseded())
      m_Alive = false;
    if (m_Alive) {
      checkState("before a tick");
      m_Core->tick(Now, m_Simulation.wall(), Allowed);
      checkState("after a tick");
    }
    record();
    recordQueueRules();
    recordIdleServers();
    m_Simulation.m_Clock.after(TickInterval, [this] { tick(); });
  }

  void start(const StartOrder &Order) override {
    SimServer *S = find(Order.m_Server.m_Id);
    LiveJob *Job = m_Core->jobs().find(Order.m_Run.m_Task.m_Job);
    if (S && Job)
      S->setTaskResources(
          Order.m_Run.m_Task,
          Job->m_Spec.m_Steps[Order.m_Run.m_Task.m_Step].m_RequiredResources);
    Duration Work = m_Simulation.workOf(Order.m_Run.m_Task);
    bool Fails =
        m_Simulation.chance(m_Simulation.m_Settings.m_Faults.m_FailedRunShare);
    send(
        S, Order,
        [this, Work, Fails](SimServer &To, const StartOrder &O) {
          bool Had = To.hasRun(O.m_Run);
          OrderResult R = To.start(O, Work, Fails);
          if (R == OrderResult::Done && !Had &&
              m_Simulation.isDeadly(O.m_Run.m_Task))
            m_Simulation.scheduleCrash(To, O.m_Run);
          return R;
        },
        [this, S](const StartOrder &O, OrderResult R) {
          std::int64_t ClockMs =
              R == OrderResult::Unknown || !S ? 0 : S->clockMs();
          m_Core->onStartResult(O, {R, ClockMs}, m_Simulation.m_Clock.m_Now);
        });
  }

  void stop(const StopOrder &Order) override {
    send(
        find(Order.m_Server.m_Id), Order,
        [](SimServer &To, const StopOrder &O) { return To.stop(O); },
        [this](const StopOrder &O, OrderResult R) {
          m_Core->onStopResult(O, R, m_Simulation.m_Clock.m_Now);
        });
  }

  void poll(const PollOrder &Order) override {
    SimServer *S = find(Order.m_Server.m_Id);
    auto Answered = std::make_shared<bool>(false);
    m_Simulation.m_Clock.after(Order.m_Timeout, [this, Order, Answered] {
      if (!std::exchange(*Answered, true) && m_Alive)
        m_Core->onPollFailed(Order, OrderResult::Unknown,
                             m_Simulation.m_Clock.m_Now);
    });
    if (isRefusedByOther(Order.m_Server))
      return m_Simulation.m_Clock.after(2 * OneWayDelay, [=] {
        if (!std::exchange(*Answered, true) && m_Alive)
          m_Core->onPollFailed(Order, OrderResult::OtherIncarnation,
                               m_Simulation.m_Clock.m_Now);
      });
    if (!canReach(S))
      return;
    m_Simulation.m_Clock.after(OneWayDelay, [this, S, Order, Answered] {
      if (!canReach(S))
        return;
      S->poll(Order, [this, S, Order, Answered](OrderResult R, PollReply L) {
        m_Simulation.m_Clock.after(OneWayDelay, [=] {
          // A crash resets the connection.
          bool IsReset = R == OrderResult::Unknown && !isCutOff(S);
          if ((!IsReset && !canReach(S)) || std::exchange(*Answered, true) ||
              !m_Alive)
            return;
          if (R == OrderResult::Done)
            m_Core->onPollReply(Order, L, m_Simulation.m_Clock.m_Now);
          else
            m_Core->onPollFailed(Order, R, m_Simulation.m_Clock.m_Now);
        });
      });
    });
  }

  void pace(const PaceOrder &) override {}

  void advise(const AdviceOrder &Order) override {
    AdviceReply Reply;
    Reply.m_TicketLifetime = TicketLifetime;
    for (std::size_t N = 0; N < m_Simulation.m_Servers.size(); N += 2)
      Reply.m_Tickets[m_Simulation.m_Servers[N]->m_Registration.m_Id] =
          "ticket";
    m_Simulation.m_Clock.after(AdviceDelay, [this, Order, Reply] {
      if (m_Alive)
        m_Core->onAdvice(Order, Reply, m_Simulation.m_Clock.m_Now);
    });
  }

private:
  void checkState(const char *When) {
    if (!m_Simulation.m_Settings.m_ChecksState)
      return;
    std::string Found = findInconsistency(*m_Core);
    if (!Found.empty())
      throw std::runtime_error("leader " + std::to_string(m_Number) + " " +
                               When + ": " + Found);
  }
  SimServer *find(const ServerId &Id) {
    for (auto &S : m_Simulation.m_Servers)
      if (S->m_Registration.m_Id == Id)
        return S.get();
    return nullptr;
  }
  bool canReach(SimServer *S) const { return S && S->m_IsUp && !isCutOff(S); }
  bool isCutOff(SimServer *S) const {
    return S->m_UnreachableFrom.count(m_Number) != 0;
  }

  /// Whether another server answers at the address of \p To.
  bool isRefusedByOther(const ServerAddress &To) {
    SimServer *Other = m_Simulation.serverAt(To.m_Address);
    return Other && Other->m_Registration.m_Id != To.m_Id && canReach(Other);
  }

  template <typename Order, typename ExecuteFn, typename ResultFn>
  void send(SimServer *S, const Order &O, ExecuteFn Execute,
            ResultFn OnResult) {
    if (isRefusedByOther(O.m_Server))
      return m_Simulation.m_Clock.after(2 * OneWayDelay, [=] {
        if (m_Alive)
          OnResult(O, OrderResult::OtherIncarnation);
      });
    const SimFaults &Faults = m_Simulation.m_Settings.m_Faults;
    bool Late = m_Simulation.chance(Faults.m_DelayedOrderShare);
    bool Lost =
        Late || m_Simulation.chance(Faults.m_LostReplyShare) || !canReach(S);
    if (S && (canReach(S) || Late)) {
      Duration Delay = Late
                           ? milliseconds(2000 + m_Simulation.m_Random() % 4000)
                           : OneWayDelay;
      // A delayed order is lost if the server restarts meanwhile.
      auto Incarnation = S->m_Registration.m_StartTimeMs;
      m_Simulation.m_Clock.after(Delay, [=] {
        if (!S->m_IsUp || (!Late && !canReach(S)) ||
            Incarnation != S->m_Registration.m_StartTimeMs) {
          if (!Lost)
            m_Simulation.m_Clock.after(OrderTimeout, [=] {
              if (m_Alive)
                OnResult(O, OrderResult::Unknown);
            });
          return;
        }
        OrderResult R = Execute(*S, O);
        if (!Lost)
          m_Simulation.m_Clock.after(OneWayDelay, [=] {
            if (m_Alive)
              OnResult(O, R);
          });
      });
    }
    if (Lost)
      m_Simulation.m_Clock.after(OrderTimeout, [=] {
        if (m_Alive)
          OnResult(O, OrderResult::Unknown);
      });
  }

  /// Applies \p Txn to the store and passes the result to \p OnResult, unless
  /// the answer is lost or late.
  void
  commit(const RowTransaction &Txn,
         const std::function<void(const Result<CommitOutcome> &)> &OnResult) {
    const SimFaults &Faults = m_Simulation.m_Settings.m_Faults;
    bool Lost = m_Simulation.chance(Faults.m_LostReplyShare);
    bool Late = m_Simulation.chance(Faults.m_DelayedOrderShare);
    m_Simulation.m_Clock.after(Late ? LateCommitDelay : CommitDelay, [=] {
      if (m_HasLostStore)
        return;
      Result<CommitOutcome> Outcome = m_Simulation.apply(Txn);
      if (!Lost && !Late && m_Alive)
        OnResult(Outcome);
    });
    if (Lost || Late || m_HasLostStore)
      m_Simulation.m_Clock.after(OrderTimeout, [this, OnResult] {
        if (m_Alive)
          OnResult(makeError(ErrorCode::Timeout, "commit"));
      });
  }

  void record() {
    if (!m_Alive)
      return;
    auto Next = m_Writer->next(m_Simulation.m_Clock.m_Now, m_Simulation.wall());
    if (Next)
      commit(Next->m_Txn, [this, N = Next->m_Number](const auto &Outcome) {
        m_Writer->onResult(N, Outcome, m_Simulation.m_Clock.m_Now);
      });
  }

  void recordQueueRules() {
    if (!m_Alive || m_ReplacedAt)
      return;
    if (auto Txn = m_QueueRecords->next(m_Simulation.m_Clock.m_Now))
      commit(*Txn,
             [this](const auto &Result) { m_QueueRecords->onResult(Result); });
  }

  void recordIdleServers() {
    if (!m_Alive || m_ReplacedAt)
      return;
    TimePoint Now = m_Simulation.m_Clock.m_Now;
    auto Txn =
        m_IdleServers.next(m_Core->unreachableServersWithoutRuns(Now), Now);
    if (!Txn)
      return;
    m_Core->holdServers(m_IdleServers.held());
    commit(*Txn, [this](const auto &Outcome) {
      m_IdleServers.onResult(Outcome, m_Simulation.m_Clock.m_Now);
      m_Core->holdServers(m_IdleServers.held());
    });
  }

  JobSimulation &m_Simulation;
  int m_Number;
};

JobSimulation::JobSimulation(const SimulationSettings &Settings)
    : m_Settings(Settings), m_Random(Settings.m_Seed) {
  for (std::size_t N = 0; N < Settings.m_Servers; ++N) {
    ServerRegistration R;
    R.m_Id = ServerId("s" + std::to_string(N));
    R.m_Instance = InstanceId("i" + std::to_string(N));
    R.m_Pool = poolName(N % Settings.m_Pools);
    R.m_Address = R.m_Id.m_Text;
    R.m_Capacity = {Settings.m_CoresPerServer * 1000, 1 << 20, 0};
    R.m_StartTimeMs = 1;
    m_Servers.push_back(
        std::make_unique<SimServer>(m_Clock, m_Random, m_Oracle, R));
    m_Servers.back()->m_MaxListedEnds = Settings.m_MaxListedEnds;
  }
  m_Oracle.m_OnGangMemberGone = [this](const RunId &Member, EndKind Kind) {
    m_Clock.after(GangEndDelay, [this, Member, Kind] {
      for (auto &S : m_Servers)
        S->endGangMembers(Member, Kind);
    });
  };
  for (const OrganisationPolicy &O : Settings.m_Organisations)
    m_Oracle.onCap(O.m_Name, O.m_Cap);
  applyConfig();
  deliverConfig(m_Config);
  startTerm(ReplacedLeaderTimeout);
}

JobSimulation::~JobSimulation() = default;

Scheduler &JobSimulation::core() { return *m_Leaders.back()->m_Core; }

milliseconds JobSimulation::wall() const {
  return std::chrono::duration_cast<milliseconds>(
      m_Clock.m_Now.time_since_epoch());
}

void JobSimulation::forEachLeader(
    const std::function<void(Scheduler &)> &Callback) {
  for (auto &L : m_Leaders)
    if (L->m_Alive && !L->m_ReplacedAt)
      Callback(*L->m_Core);
}

void JobSimulation::deliverConfig(
    const std::shared_ptr<const ServingConfig> &Config) {
  if (m_KnownConfig && Config->version() <= m_KnownConfig->version())
    return;
  m_KnownConfig = Config;
  for (auto &L : m_Leaders)
    if (L->m_Alive)
      L->m_Core->onConfig(Config);
}

void JobSimulation::startTerm(Duration EarlierLeaderTimeout) {
  m_TermVersion = ++m_Version;
  m_Leaders.push_back(std::make_unique<Instance>(
      *this, static_cast<int>(m_Leaders.size()), ++m_Term, m_TermVersion,
      EarlierLeaderTimeout));
  ++m_Figures.m_Terms;
  Instance &Leader = *m_Leaders.back();
  Leader.m_IdleServers.onRead(m_LeaderRows[{IdleServersTable, IdleServersKey}]);
  for (const auto &[Where, Row] : m_LeaderRows)
    if (Where.first == QueueRulesTable && Row.m_Version != 0)
      Leader.m_QueueRecords->onRead(Row);
  Leader.m_Core->setServersWithoutEarlierRuns(Leader.m_IdleServers.inherited());
  Leader.m_Core->onConfig(m_KnownConfig);
  for (auto &[Id, Row] : m_LiveRows)
    Leader.m_Core->onJob(Row.m_Spec, readProgress(Row.m_Spec), Row.m_Version,
                         m_StateRows[Id].m_Version, m_Clock.m_Now, wall());
  for (const auto &[Id, Row] : m_StateRows)
    if (isFinal(Row.m_Progress.m_State))
      Leader.m_Core->onEarlierEnd(JobId(Id), Row.m_Progress.m_Organisation);
  for (auto &S : m_Servers)
    if (!S->m_HasLeft)
      Leader.m_Core->onServer(S->m_Registration, m_Clock.m_Now);
  listInstances();
  Leader.tick();
}

void JobSimulation::listInstances() {
  std::vector<InstanceListing> List;
  for (auto &S : m_Servers) {
    if (S->m_IsReplaced)
      continue;
    InstanceListing L;
    L.m_Id = S->m_Registration.m_Instance;
    L.m_Pool = S->m_Registration.m_Pool;
    if (!S->m_HasLeft)
      L.m_Server = S->m_Registration.m_Id;
    if (!S->m_IsUp)
      L.m_Condition = S->m_ConditionIfNotUp;
    List.push_back(L);
  }
  // The list comes from the platform, so a leader without the store gets it.
  for (auto &L : m_Leaders)
    if (L->m_Alive && (!L->m_ReplacedAt || L->m_HasLostStore))
      L->m_Core->onInstances(List, m_Clock.m_Now, m_Clock.m_Now);
}

void JobSimulation::replaceLeader() {
  beginTermBeside(true, milliseconds(300));
}

void JobSimulation::beginTermBeside(bool HasStore, Duration Delay) {
  Instance &Old = *m_Leaders.back();
  Old.m_ReplacedAt = m_Clock.m_Now;
  Old.m_VersionWhenReplaced = m_Version;
  Old.m_HasLostStore = !HasStore;
  // The next term begins only after the earlier one has certainly expired.
  m_Clock.runUntil(m_Clock.m_Now + Delay);
  startTerm(ReplacedLeaderTimeout);
}

void JobSimulation::killLeader() {
  m_Leaders.back()->m_Alive = false;
  m_Clock.runUntil(m_Clock.m_Now + milliseconds(1500));
  startTerm(ReplacedLeaderTimeout);
}

void JobSimulation::releaseTerm() {
  m_Leaders.back()->m_Alive = false;
  startTerm(ReplacedLeaderTimeout);
}

bool JobSimulation::isLeaderTable(const std::string &Table) {
  return Table == IdleServersTable || Table == QueueRulesTable;
}

StoredRow JobSimulation::currentRow(const RowAddress &At) {
  if (At.m_Key == TermRowKey)
    return {At, {}, m_TermVersion, false};
  if (isLeaderTable(At.m_Table)) {
    StoredRow &Row = m_LeaderRows[{At.m_Table, At.m_Key}];
    Row.m_At = At;
    return Row;
  }
  const StateRow &Row = m_StateRows[At.m_Key];
  return {At, encodeProgress(Row.m_Progress), Row.m_Version, false};
}

JobProgress JobSimulation::readProgress(const JobSpec &Job) {
  JobProgress Progress = m_StateRows[Job.m_Id.m_Text].m_Progress;
  if (!Progress.isPaged())
    return Progress;
  const RowAddress Prefix = pagePrefix(Job.m_Id, Progress.m_PageGeneration);
  for (auto It = m_PageRows.lower_bound(Prefix.m_Key);
       It != m_PageRows.end() && hasPrefix({{}, It->first, {}}, Prefix); ++It)
    if (!addPage(Progress, Job, pageNumber({{}, It->first, {}}, Prefix).value(),
                 It->second))
      throw std::runtime_error("unreadable page " + It->first);
  return Progress;
}

Result<CommitOutcome> JobSimulation::apply(const RowTransaction &Txn) {
  std::size_t ValueBytes = 0;
  bool IsAccepted =
      Txn.entries() <= m_Settings.m_StoreLimits.m_TransactionEntries;
  for (const RowPut &P : Txn.m_Puts) {
    IsAccepted &= P.m_Value.size() <= m_Settings.m_StoreLimits.m_RowBytes;
    ValueBytes += P.m_Value.size();
  }
  if (!IsAccepted || ValueBytes > m_Settings.m_StoreLimits.m_ValueBytes * 2) {
    ++m_Figures.m_Refused;
    return makeError(ErrorCode::InvalidArgument, "commit");
  }
  CommitOutcome Outcome;
  bool Holds = true;
  // A rejected transaction returns the rows of all its conditions.
  for (const RowCondition &C : Txn.m_Conditions) {
    Outcome.m_Conflicts.push_back(currentRow(C.m_At));
    Holds &= Outcome.m_Conflicts.back().m_Version == C.m_Version;
  }
  if (!Holds)
    return Outcome;
  Outcome.m_Conflicts.clear();
  Outcome.m_Committed = true;
  Outcome.m_Version = ++m_Version;
  for (const RowPut &P : Txn.m_Puts) {
    if (isLeaderTable(P.m_At.m_Table)) {
      m_LeaderRows[{P.m_At.m_Table, P.m_At.m_Key}] = {P.m_At, P.m_Value,
                                                      m_Version, false};
      continue;
    }
    if (P.m_At.m_Table == JobPagesTable) {
      m_PageRows[P.m_At.m_Key] = P.m_Value;
      ++m_Figures.m_PagesWritten;
      continue;
    }
    StateRow &Row = m_StateRows[P.m_At.m_Key];
    Row.m_Progress = decodeProgress(P.m_Value).value();
    Row.m_Version = m_Version;
  }
  for (const RowAddress &At : Txn.m_Deletes) {
    m_LeaderRows.erase({At.m_Table, At.m_Key});
    if (At.m_Table == JobPagesTable)
      m_PageRows.erase(At.m_Key);
    auto It = m_LiveRows.find(At.m_Key);
    if (It == m_LiveRows.end())
      continue;
    if (m_StateRows[At.m_Key].m_Progress.m_State == JobState::Completed) {
      ++m_Figures.m_Completed;
      const LiveRow &Row = It->second;
      bool OnTime = m_Clock.m_Now <= Row.m_Objective;
      m_Figures.m_OnTime += OnTime;
      m_Figures.m_Late +=
          !OnTime &&
          m_Clock.m_Now <=
              Row.m_SubmittedAt + (Row.m_Objective - Row.m_SubmittedAt) * 3;
    } else {
      ++m_Figures.m_Failed;
      m_Oracle.onJobFailed(JobId(At.m_Key));
    }
    m_LiveRows.erase(It);
  }
  return Outcome;
}

void JobSimulation::run(Duration Length, bool WithDemand) {
  if (WithDemand && !m_HasDemand) {
    m_HasDemand = true;
    scheduleSubmit();
  }
  m_HasDemand = WithDemand;
  m_Clock.runUntil(m_Clock.m_Now + Length);
}

} // namespace pollenspool
