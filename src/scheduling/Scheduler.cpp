//===- Scheduler.cpp - Jobs, servers and looks ----------------------------===//

#include "scheduling/Scheduler.h"
#include "base/Log.h"
#include "scheduling/Pacing.h"
#include <algorithm>

namespace pollenspool {

namespace {

/// How long a server may wait for an end in a look: several looks fit into one
/// lease, so that a lost one does not let it run out.
constexpr std::chrono::milliseconds LookWait{1000};
/// The same while a run is being stopped.
constexpr std::chrono::milliseconds StoppingLookWait{150};
/// What a look may take beyond its wait. A server answers in a few
/// milliseconds.
constexpr std::chrono::milliseconds LookSlack{600};
/// Between two looks at a server that does not answer.
constexpr Duration LookRetry = std::chrono::milliseconds(250);
/// Growth of the pause while a server stays silent.
constexpr std::uint32_t MaxLookBackoff = 4;
/// Between an answered look and the next at a busy server, so that ends that
/// come close together cost one look.
constexpr Duration LookSpacing = std::chrono::milliseconds(40);
/// A late process collects more ends with each look: the spacing grows by this
/// many times its lag, up to the bound, which leaves a lease several looks.
constexpr int LagFactor = 4;
constexpr Duration MaxLookSpacing = std::chrono::milliseconds(600);
/// An idle server's ends are acknowledged after this, if no other look did.
constexpr Duration AcknowledgeAfter = std::chrono::milliseconds(500);
/// Added to the time in which an earlier leader's runs may go on.
constexpr Duration TakeOverSlack = std::chrono::milliseconds(500);
/// Between two looks at a server whose ends cannot be recorded: it answers at
/// once, since it lists them again.
constexpr Duration UnrecordedSpacing = std::chrono::milliseconds(150);

} // namespace

Scheduler::Scheduler(const SchedulerOptions &Options, SchedulerOrders &Orders,
                     TimePoint Now)
    : m_Options(Options), m_Orders(Orders) {
  // The first term has no predecessor that could have started anything.
  if (Options.m_Term > 1)
    m_UncertainUntil = Now + Options.m_EarlierLeaderFor +
                       std::chrono::duration_cast<Duration>(
                           Options.m_Lease / SlowestServerClock) +
                       TakeOverSlack;
}

std::unique_ptr<Scheduler> Scheduler::create(const SchedulerOptions &Options,
                                             SchedulerOrders &Orders,
                                             TimePoint Now) {
  return std::unique_ptr<Scheduler>(new Scheduler(Options, Orders, Now));
}

void Scheduler::onConfig(std::shared_ptr<const ServingConfig> Config) {
  m_Config = std::move(Config);
  for (auto &[Id, Job] : m_Jobs.all())
    setObjective(*Job);
}

void Scheduler::onJob(JobSpec Spec, JobProgress Progress, RowVersion Accepted,
                      RowVersion State, TimePoint Now,
                      std::chrono::milliseconds Wall) {
  if (m_Jobs.find(Spec.m_Id) || isFinal(Progress.m_State))
    return;
  LiveJob &Job = m_Jobs.add(std::move(Spec), std::move(Progress), Accepted,
                            State, Now, Wall);
  setObjective(Job);
  if (Job.m_OccurrencesDone == Job.m_Spec.occurrences()) {
    Job.m_State = JobState::Completed;
    m_Jobs.touch(Job);
  }
}

void Scheduler::onJobOver(const JobId &Id) {
  LiveJob *Job = m_Jobs.find(Id);
  if (!Job)
    return;
  stopRuns(*Job);
  m_Advice.forget(Id);
  m_Jobs.remove(Id);
}

void Scheduler::onServer(const ServerRegistration &R, TimePoint Now) {
  ServerState *Known = m_Servers.find(R.m_Id);
  std::int64_t KnownBorn = Known ? Known->m_Registration.m_BornMs : 0;
  bool NewLife = KnownBorn != 0 && R.m_BornMs > KnownBorn;
  ServerState &S = m_Servers.upsert(R);
  if (KnownBorn == 0)
    return;
  // Which of our runs are on the new life, only its own list tells; until then
  // the books are of the life that was known.
  S.m_Registration.m_BornMs = KnownBorn;
  if (NewLife) {
    S.m_Vetted = false;
    S.m_NextLook = Now;
  }
}

void Scheduler::onServerGone(const ServerId &Id, TimePoint Now) {
  ServerState *S = m_Servers.find(Id);
  if (!S || !S->m_Registered)
    return;
  S->m_Registered = false;
  S->m_UnregisteredAt = Now;
}

void Scheduler::suspect(const ServerId &Id, TimePoint Now) {
  if (ServerState *S = m_Servers.find(Id)) {
    S->m_Reachable = false;
    S->m_NextLook = Now;
  }
}

void Scheduler::onServerEnded(const ServerId &Id, TimePoint Now) {
  ServerState *S = m_Servers.find(Id);
  if (!S)
    return;
  releaseAllRuns(*S, "its instance was moved or taken down", Now);
  S->m_Registered = false;
  S->m_UnregisteredAt = Now - RegistrationGrace;
  S->m_LeasesEnd = Now;
}

void Scheduler::onInstances(std::vector<InstanceListing> List, TimePoint Asked,
                            TimePoint Now) {
  m_Instances = std::move(List);
  m_InstancesKnown = true;
  std::map<InstanceId, const InstanceListing *> ById;
  for (const InstanceListing &L : m_Instances)
    ById[L.m_Id] = &L;
  for (auto &[Id, S] : m_Servers.all()) {
    auto It = ById.find(S.m_Registration.m_Instance);
    if (S.m_Runs.empty() || It == ById.end())
      continue;
    const InstanceListing &L = *It->second;
    bool Over = L.m_Condition != InstanceCondition::Up ||
                (!L.m_Server.empty() && L.m_Server != Id);
    // An answer newer than the list shows that the server lives.
    if (Over && S.m_ClockAt < Asked && !S.m_Reachable)
      releaseAllRuns(S, "the instance is listed without this server", Now);
  }
}

void Scheduler::onRecordedElsewhere(LiveJob &Job, const JobProgress &Stored) {
  const JobId &Id = Job.m_Spec.m_Id;
  for (const auto &[Where, Bits] : Stored.m_Done)
    for (std::uint32_t I = 0; I < Bits.size(); ++I) {
      TaskId Task{Id, Where.first, Where.second, I};
      if (Bits[I] && m_Jobs.markDone(Job, Task))
        stopOtherRuns(Job, Task);
    }
  for (const auto &[Where, Runs] : Stored.m_Failures)
    for (std::uint32_t Run : Runs) {
      TaskId Task{Id, std::get<0>(Where), std::get<1>(Where),
                  std::get<2>(Where)};
      if (Job.task(Task))
        m_Jobs.markFailed(Job, Task, Run);
    }
}

bool Scheduler::isRecorded(const UnrecordedEnd &End) {
  LiveJob *Job = m_Jobs.find(End.m_Job);
  return !Job || Job->m_RecordedChange >= End.m_Change;
}

void Scheduler::onRecorded(TimePoint Now) {
  for (auto &[Id, S] : m_Servers.all()) {
    bool Any = false;
    while (!S.m_Unrecorded.empty() && isRecorded(S.m_Unrecorded.front())) {
      S.m_EndsRecorded = S.m_Unrecorded.front().m_Number;
      S.m_Unrecorded.pop_front();
      Any = true;
    }
    if (Any)
      S.m_NextLook =
          std::min(S.m_NextLook,
                   Now + (S.m_Runs.empty() ? AcknowledgeAfter : Duration(0)));
  }
}

void Scheduler::tick(TimePoint Now, std::chrono::milliseconds Wall,
                     const Authority &May) {
  m_May = May;
  m_Jobs.releaseDue(Wall);
  expireLeases(Now);
  if (m_Config && !m_Deposed)
    placeReady(Now);
  if (!m_Deposed)
    lookWhereDue(Now);
}

void Scheduler::expireLeases(TimePoint Now) {
  std::vector<ServerId> Gone;
  for (auto &[Id, S] : m_Servers.all()) {
    // A later leader that we do not know of may have extended the leases.
    if (!S.m_Runs.empty() && Now >= S.m_LeasesEnd && !S.m_Reachable &&
        m_May.m_IsCertain) {
      ++m_Counters.m_Lapsed;
      releaseAllRuns(S, "its leases have run out", Now);
    }
    if (!S.m_Registered && S.m_Runs.empty() && !S.m_LookPending &&
        Now >= S.m_UnregisteredAt + RegistrationGrace && Now >= S.m_LeasesEnd)
      Gone.push_back(Id);
  }
  for (const ServerId &Id : Gone)
    m_Servers.erase(Id);
}

void Scheduler::lookWhereDue(TimePoint Now) {
  for (auto &[Id, S] : m_Servers.all()) {
    if (S.m_LookPending || Now < S.m_NextLook)
      continue;
    bool Due = !S.m_Vetted || !S.m_Reachable || !S.m_Runs.empty() ||
               S.m_EndsRecorded > S.m_EndsAcknowledged;
    if (Due && (S.m_Registered || !S.m_Runs.empty()))
      sendLook(S, Now);
  }
}

std::chrono::milliseconds Scheduler::lookWait(const ServerState &S) {
  std::chrono::milliseconds Wait = LookWait;
  for (const auto &[Id, Run] : S.m_Runs) {
    if (Run.m_Phase == RunPhase::Doubtful)
      return std::chrono::milliseconds(0);
    // A run that was never there has no end that the server could wait for.
    if (Run.m_Phase == RunPhase::Stopping)
      Wait = StoppingLookWait;
  }
  return Wait;
}

Duration Scheduler::lookSpacing() const {
  return std::min(LookSpacing + m_Lag * LagFactor, MaxLookSpacing);
}

void Scheduler::sendLook(ServerState &S, TimePoint Now) {
  LookOrder Order;
  Order.m_Server = S.address();
  Order.m_Term = m_Options.m_Term;
  // An end that is forgotten after the next leader has read the store's rows
  // would be lost to it. And a server that was silent may be a new life, whose
  // ends are numbered anew.
  if (m_May.m_IsCertain && S.m_Reachable)
    Order.m_EndsRecorded = S.m_EndsRecorded;
  else if (S.m_Reachable)
    Order.m_EndsRecorded = S.m_EndsAcknowledged;
  // A look at a silent server carries no lease: each one sent would put off
  // the time at which its tasks may be started elsewhere.
  if (S.m_ClockKnown && S.m_Reachable) {
    Order.m_LeaseUntilMs =
        S.clockAtLeast(Now) +
        std::chrono::duration_cast<std::chrono::milliseconds>(m_Options.m_Lease)
            .count();
    ServerRegistry::noteLease(S, Now, m_Options.m_Lease);
  }
  if (S.m_Vetted && S.m_Reachable && !S.m_Runs.empty() &&
      S.m_Unrecorded.empty())
    Order.m_Wait = lookWait(S);
  Order.m_Timeout = Order.m_Wait + LookSlack;
  S.m_LookPending = true;
  S.m_LookSentAt = Now;
  ++m_Counters.m_Looks;
  m_Orders.look(Order);
}

void Scheduler::onLookFailed(const LookOrder &Order, OrderResult R,
                             TimePoint Now) {
  ServerState *S = m_Servers.find(Order.m_Server.m_Id);
  if (!S)
    return;
  S->m_LookPending = false;
  S->m_NextLook =
      Now + LookRetry * std::min(S->m_FailedLooks + 1, MaxLookBackoff);
  if (R == OrderResult::Fenced) {
    m_Deposed = true;
    return;
  }
  if (R == OrderResult::OtherLife) {
    releaseAllRuns(*S, "another server answers at its address", Now);
    S->m_Registered = false;
    S->m_UnregisteredAt = Now - RegistrationGrace;
    S->m_LeasesEnd = Now;
    return;
  }
  if (S->m_Reachable)
    logEvent(Event::BackendSilent,
             {{"server", Order.m_Server.m_Id.m_Text},
              {"runs", std::to_string(S->m_Runs.size())},
              {"result", std::string(orderResultName(R))}});
  S->m_Reachable = false;
  ++S->m_FailedLooks;
}

void Scheduler::onLookReply(const LookOrder &Order, const LookReply &Reply,
                            TimePoint Now) {
  ServerState *S = m_Servers.find(Order.m_Server.m_Id);
  if (!S)
    return;
  S->m_LookPending = false;
  bool WasSilent = !S->m_Reachable;
  if (WasSilent && S->m_FailedLooks > 0)
    logEvent(Event::BackendAnswers,
             {{"server", Order.m_Server.m_Id.m_Text},
              {"failed_looks", std::to_string(S->m_FailedLooks)}});
  S->m_Reachable = true;
  S->m_FailedLooks = 0;
  if (Reply.m_BornMs != 0 && S->m_Registration.m_BornMs != 0 &&
      Reply.m_BornMs != S->m_Registration.m_BornMs)
    startNewLife(*S);
  else
    S->m_EndsAcknowledged =
        std::max(S->m_EndsAcknowledged, Order.m_EndsRecorded);
  S->m_Registration.m_BornMs = Reply.m_BornMs;
  bool First = !S->m_Vetted;
  S->m_Vetted = true;
  S->m_ClockKnown = true;
  S->m_ClockMs = Reply.m_ClockMs;
  S->m_ClockAt = Now;
  for (const EndReport &End : Reply.m_Ended)
    if (End.m_Number > S->m_EndsSeen)
      endRun(*S, End, Now);
  checkListed(*S, Reply, Now);
  watchProgress(*S, Now);
  for (const PaceOrder &Pace : adjustPaces(*S, m_Options.m_Term, Now)) {
    ++m_Counters.m_Paces;
    m_Orders.pace(Pace);
  }
  // This look carried no lease; the runs that it showed need one at once.
  if ((First || WasSilent) && !S->m_Runs.empty())
    S->m_NextLook = Now;
  else if (!S->m_Unrecorded.empty())
    S->m_NextLook = Now + UnrecordedSpacing;
  else
    S->m_NextLook =
        Now + (S->m_Runs.empty() ? AcknowledgeAfter : lookSpacing());
}

} // namespace pollenspool
