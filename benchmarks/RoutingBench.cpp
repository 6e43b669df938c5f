//===- RoutingBench.cpp - Routing strategies under the same load ----------===//
//
// A discrete-event simulation: several entry instances, each with a dispatcher,
// share instances of 8 slots and 64 connections. Prints one row for each
// scenario and strategy.
//
// Run: RoutingBench [--seed N] [--queue PLACES] [--scenario NAME] [--strategy
// NAME].
//
//===----------------------------------------------------------------------===//

#include "dispatch/Dispatcher.h"
#include "routing/Strategy.h"
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <map>
#include <queue>
#include <random>

using namespace pollenspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned Slots = 8;
constexpr unsigned Connections = 64;
constexpr Duration NetworkDelay = std::chrono::microseconds(500);
constexpr Duration TickInterval = milliseconds(5);
constexpr Duration HeartbeatInterval = seconds(1);
constexpr Duration FailureTime = milliseconds(1);
constexpr double SlowFactor = 4;

/// A load under which the strategies are compared.
struct Scenario {
  const char *m_Name;
  unsigned m_Entries;
  unsigned m_Instances;
  /// Demand as a multiple of the throughput of all slots.
  double m_Demand;
  /// True if the load has peaks of 5 times the demand and troughs of 0.05 times
  /// the demand.
  bool m_HasPeaks;
  /// Share of the requests that the first entry instance receives.
  double m_FirstShare;
  /// True if instance 0 is slow and, from 12 s on, instance 1 fails every
  /// request as soon as it arrives.
  bool m_HasFaults;
};

constexpr std::array<Scenario, 9> Scenarios = {{
    {"peaks", 3, 10, 0.4, true, 1.0 / 3, true},
    {"skewed", 3, 10, 0.4, true, 0.7, true},
    {"uneven", 3, 10, 0.8, false, 0.8, false},
    {"nine", 9, 12, 0.4, true, 1.0 / 9, true},
    {"many", 48, 4, 0.4, true, 1.0 / 48, false},
    {"half", 3, 10, 0.5, false, 1.0 / 3, false},
    {"full", 3, 10, 1.0, false, 1.0 / 3, false},
    {"5-fold", 3, 10, 5.0, false, 1.0 / 3, false},
    {"5-faulty", 3, 10, 5.0, false, 1.0 / 3, true},
}};

struct RequestKind {
  const char *m_Service;
  double m_MeanMs;
  Duration m_Deadline;
  UrgencyClass m_Class;
  bool m_Repeatable;
  unsigned m_Weight;
};

/// Mean service time over RequestKinds, weighted by m_Weight: 100 ms.
constexpr double MeanWorkMs = 100;
constexpr std::array<RequestKind, 4> RequestKinds = {{
    {"crew", 50, milliseconds(1500), UrgencyClass::Urgent, true, 30},
    {"swap", 50, seconds(3), UrgencyClass::Normal, false, 30},
    {"board", 150, seconds(3), UrgencyClass::Normal, true, 20},
    {"nightly", 200, seconds(20), UrgencyClass::Nightly, true, 20},
}};

struct ServerTask {
  unsigned m_Entry;
  Ticket m_Ticket;
  std::uint32_t m_Try;
};

struct Server {
  unsigned m_Busy = 0;
  std::deque<ServerTask> m_Waiting;
  std::uint64_t m_Runs = 0;
  /// Requests that failed without delay.
  std::uint64_t m_FailedRuns = 0;
};

struct Caller {
  const RequestKind *m_Kind;
  TimePoint m_Arrived;
  bool m_Started;
};

enum class EventKind {
  Arrival,
  ReachServer,
  Finished,
  Report,
  Tick,
  Heartbeat
};

struct Event {
  TimePoint m_At;
  std::uint64_t m_Sequence;
  EventKind m_Kind;
  ServerTask m_Work;
  unsigned m_Server;
  TryResult m_Result;

  bool operator<(const Event &Other) const {
    return m_At != Other.m_At ? m_At > Other.m_At
                              : m_Sequence > Other.m_Sequence;
  }
};

struct Totals {
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Succeeded = 0;
  /// Sum of the mean service times of the successful requests.
  double m_SucceededWorkMs = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Unknown = 0;
  std::uint64_t m_UrgentSent = 0;
  std::uint64_t m_UrgentSucceeded = 0;
  std::vector<double> m_UrgentStartMs;
};

struct Options {
  std::uint64_t m_Seed = 1;
  /// Queue limit per instance. 0 stands for the default of the configuration
  /// document.
  std::uint32_t m_QueuePerInstance = 0;
  std::string m_Scenario;
  std::string m_Strategy;
};

class Simulation {
public:
  Simulation(const Scenario &Load, const std::string &Strategy,
             const Options &Settings, Duration Length)
      : m_Load(Load), m_QueuePerInstance(Settings.m_QueuePerInstance),
        m_Arrivals(Settings.m_Seed), m_Random(Settings.m_Seed + 1),
        m_End(Length), m_Servers(Load.m_Instances) {
    for (unsigned E = 0; E < Load.m_Entries; ++E) {
      m_Entries.push_back(
          Dispatcher::create({DataCentreName("dc"), Load.m_Entries,
                              Settings.m_Seed + E, Strategy})
              .value());
      m_Entries.back().setDocument(document());
      m_Entries.back().setInstances(targets(), m_Now);
      m_Callers.emplace_back();
    }
  }

  void run() {
    push(NetworkDelay, EventKind::Arrival);
    push(TickInterval, EventKind::Tick);
    push(HeartbeatInterval, EventKind::Heartbeat);
    while (!m_Events.empty()) {
      Event E = m_Events.top();
      m_Events.pop();
      m_Now = E.m_At;
      handle(E);
    }
  }

  const Totals &totals() const { return m_Totals; }

  /// Standard deviation divided by the mean of the number of runs of the
  /// healthy instances.
  double imbalance() const {
    double Sum = 0;
    double Squares = 0;
    unsigned Count = 0;
    for (unsigned I = m_Load.m_HasFaults ? 2 : 0; I < m_Servers.size(); ++I) {
      auto Runs = static_cast<double>(m_Servers[I].m_Runs);
      Sum += Runs;
      Squares += Runs * Runs;
      ++Count;
    }
    double Mean = Sum / Count;
    return std::sqrt(std::max(Squares / Count - Mean * Mean, 0.0)) / Mean;
  }

  std::uint64_t failingRuns() const {
    return m_Load.m_HasFaults ? m_Servers[1].m_FailedRuns : 0;
  }

private:
  std::shared_ptr<const Document> document() const {
    auto Doc = std::make_shared<Document>();
    Doc->m_Pools.push_back({PoolName("pool")});
    if (m_QueuePerInstance != 0)
      Doc->m_Policy.m_QueuePerInstance = m_QueuePerInstance;
    for (const RequestKind &K : RequestKinds)
      Doc->m_Services.push_back({ServiceName(K.m_Service), PoolName("pool")});
    return Doc;
  }

  std::vector<InstanceTarget> targets() const {
    std::vector<InstanceTarget> Targets;
    for (unsigned I = 0; I < m_Load.m_Instances; ++I)
      Targets.push_back({InstanceId(std::to_string(I)), PoolName("pool"),
                         DataCentreName("dc"), RackName("r"), "", true, 1});
    return Targets;
  }

  void push(Duration In, EventKind What, ServerTask W = {}, unsigned Server = 0,
            TryResult Result = TryResult::Answered) {
    m_Events.push({m_Now + In, ++m_Sequence, What, W, Server, Result});
  }

  static double uniform(std::mt19937_64 &Random) {
    return double(Random() >> 11) * 0x1.0p-53;
  }

  static Duration exponential(std::mt19937_64 &Random, double MeanUs) {
    double Draw = -MeanUs * std::log(1 - uniform(Random));
    return Duration(static_cast<long>(Draw) + 1);
  }

  void handle(const Event &E) {
    switch (E.m_Kind) {
    case EventKind::Arrival:
      return submitArrival();
    case EventKind::ReachServer:
      return reachServer(E);
    case EventKind::Finished:
      return finishRun(E);
    case EventKind::Report:
      return reportTryResult(E);
    case EventKind::Tick:
      return tick();
    case EventKind::Heartbeat:
      return heartbeat();
    }
  }

  void reportTryResult(const Event &E) {
    Answer ServerAnswer;
    ServerAnswer.m_Status = E.m_Result == TryResult::Answered ? 200 : 500;
    m_Entries[E.m_Work.m_Entry].finishTry(E.m_Work.m_Ticket, E.m_Work.m_Try,
                                          E.m_Result, Reason::None,
                                          ServerAnswer, m_Now);
    executeActions(E.m_Work.m_Entry);
  }

  /// Repeats a cycle of 12 s: the mean demand for 6 s, a peak for 3 s and a
  /// trough for 3 s.
  double demand() const {
    if (!m_Load.m_HasPeaks)
      return m_Load.m_Demand;
    auto Second = m_Now.time_since_epoch() / seconds(1) % 12;
    double Factor = Second < 6 ? 1 : Second < 9 ? 5 : 0.05;
    return m_Load.m_Demand * Factor;
  }

  void submitArrival() {
    if (m_Now >= m_End)
      return;
    double PerUs = demand() * m_Load.m_Instances * Slots / (MeanWorkMs * 1000);
    push(exponential(m_Arrivals, 1 / PerUs), EventKind::Arrival);
    unsigned Entry = 0;
    if (m_Load.m_Entries > 1 && uniform(m_Arrivals) >= m_Load.m_FirstShare)
      Entry = 1 + static_cast<unsigned>(m_Arrivals() % (m_Load.m_Entries - 1));
    const RequestKind &K = drawKind();
    RequestInfo Info;
    Info.m_Id = RequestId(std::to_string(++m_LastId));
    Info.m_Service = ServiceName(K.m_Service);
    Info.m_Class = K.m_Class;
    Info.m_Deadline = m_Now + K.m_Deadline;
    Info.m_Repeatable = K.m_Repeatable;
    ++m_Totals.m_Sent;
    m_Totals.m_UrgentSent += K.m_Class == UrgencyClass::Urgent ? 1 : 0;
    Ticket T = m_Entries[Entry].submit(Info, m_Now);
    m_Callers[Entry][T] = {&K, m_Now, false};
    executeActions(Entry);
  }

  const RequestKind &drawKind() {
    auto Pick = static_cast<unsigned>(m_Arrivals() % 100);
    std::size_t I = 0;
    for (; Pick >= RequestKinds[I].m_Weight; ++I)
      Pick -= RequestKinds[I].m_Weight;
    return RequestKinds[I];
  }

  void executeActions(unsigned Entry) {
    for (const Action &A : m_Entries[Entry].takeActions()) {
      ServerTask W{Entry, A.m_Ticket, A.m_Try};
      if (A.m_Kind == ActionKind::StartTry)
        push(NetworkDelay, EventKind::ReachServer, W,
             static_cast<unsigned>(std::stoul(A.m_Instance.m_Text)));
      if (A.m_Kind == ActionKind::AbortTry)
        removeWaiting(W,
                      static_cast<unsigned>(std::stoul(A.m_Instance.m_Text)));
      if (A.m_Kind == ActionKind::Finish)
        count(Entry, A);
    }
  }

  void count(unsigned Entry, const Action &A) {
    auto It = m_Callers[Entry].find(A.m_Ticket);
    bool Urgent = It->second.m_Kind->m_Class == UrgencyClass::Urgent;
    const Outcome &Out = A.m_Outcome;
    bool Succeeded =
        Out.m_Kind == OutcomeKind::Answer && Out.m_Answer.m_Status == 200;
    m_Totals.m_Succeeded += Succeeded ? 1 : 0;
    m_Totals.m_SucceededWorkMs += Succeeded ? It->second.m_Kind->m_MeanMs : 0;
    m_Totals.m_UrgentSucceeded += Succeeded && Urgent ? 1 : 0;
    m_Totals.m_Failed +=
        Out.m_Kind == OutcomeKind::Answer && !Succeeded ? 1 : 0;
    m_Totals.m_Refused += Out.m_Kind == OutcomeKind::NotRun ? 1 : 0;
    m_Totals.m_Unknown += Out.m_Kind == OutcomeKind::Unknown ? 1 : 0;
    m_Callers[Entry].erase(It);
  }

  /// A server notices a closed connection only before it starts the request.
  void removeWaiting(const ServerTask &W, unsigned Server) {
    auto &Waiting = m_Servers[Server].m_Waiting;
    Waiting.erase(std::remove_if(Waiting.begin(), Waiting.end(),
                                 [&](const ServerTask &Other) {
                                   return Other.m_Entry == W.m_Entry &&
                                          Other.m_Ticket == W.m_Ticket;
                                 }),
                  Waiting.end());
  }

  bool isFailing(unsigned Server) const {
    return m_Load.m_HasFaults && Server == 1 && m_Now > TimePoint(seconds(12));
  }

  void reachServer(const Event &E) {
    Server &S = m_Servers[E.m_Server];
    if (isFailing(E.m_Server)) {
      ++S.m_FailedRuns;
      push(FailureTime + NetworkDelay, EventKind::Report, E.m_Work, E.m_Server,
           TryResult::AnsweredWithError);
      return;
    }
    if (S.m_Busy + S.m_Waiting.size() >= Connections) {
      push(NetworkDelay, EventKind::Report, E.m_Work, E.m_Server,
           TryResult::NotRun);
      return;
    }
    if (S.m_Busy < Slots)
      startRun(E.m_Work, E.m_Server);
    else
      S.m_Waiting.push_back(E.m_Work);
  }

  void startRun(const ServerTask &W, unsigned Server) {
    auto It = m_Callers[W.m_Entry].find(W.m_Ticket);
    if (It == m_Callers[W.m_Entry].end())
      return;
    ++m_Servers[Server].m_Busy;
    ++m_Servers[Server].m_Runs;
    Caller &C = It->second;
    if (!C.m_Started && C.m_Kind->m_Class == UrgencyClass::Urgent)
      m_Totals.m_UrgentStartMs.push_back(
          std::chrono::duration<double, std::milli>(m_Now - C.m_Arrived)
              .count());
    C.m_Started = true;
    bool Slow = m_Load.m_HasFaults && Server == 0;
    double MeanMs = C.m_Kind->m_MeanMs * (Slow ? SlowFactor : 1);
    push(exponential(m_Random, MeanMs * 1000), EventKind::Finished, W, Server);
  }

  void finishRun(const Event &E) {
    Server &S = m_Servers[E.m_Server];
    --S.m_Busy;
    push(NetworkDelay, EventKind::Report, E.m_Work, E.m_Server);
    while (S.m_Busy < Slots && !S.m_Waiting.empty()) {
      ServerTask Next = S.m_Waiting.front();
      S.m_Waiting.pop_front();
      startRun(Next, E.m_Server);
    }
  }

  void tick() {
    bool Open = false;
    for (unsigned E = 0; E < m_Entries.size(); ++E) {
      auto Next = m_Entries[E].nextTick();
      Open |= Next.has_value();
      if (!Next || *Next > m_Now)
        continue;
      m_Entries[E].tick(m_Now);
      executeActions(E);
    }
    if (Open || m_Now < m_End)
      push(TickInterval, EventKind::Tick);
  }

  void heartbeat() {
    for (unsigned From = 0; From < m_Entries.size(); ++From) {
      PeerLoadReport Loads;
      Loads.m_Peer = EntryId(std::to_string(From));
      Loads.m_Report = m_Entries[From].loadReport();
      for (unsigned To = 0; To < m_Entries.size(); ++To)
        if (To != From)
          m_Entries[To].onPeerLoads(Loads);
    }
    if (m_Now < m_End)
      push(HeartbeatInterval, EventKind::Heartbeat);
  }

  Scenario m_Load;
  std::uint32_t m_QueuePerInstance;
  /// Separate from m_Random, so that each strategy gets the same arrivals.
  std::mt19937_64 m_Arrivals;
  std::mt19937_64 m_Random;
  TimePoint m_Now{};
  TimePoint m_End;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_LastId = 0;
  std::priority_queue<Event> m_Events;
  std::vector<Dispatcher> m_Entries;
  std::vector<std::map<Ticket, Caller>> m_Callers;
  std::vector<Server> m_Servers;
  Totals m_Totals;
};

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(Share * double(Values.size() - 1))];
}

void printRow(const Scenario &Load, std::string_view Strategy,
              const Options &Settings) {
  constexpr seconds Length(60);
  Simulation Sim(Load, std::string(Strategy), Settings, Length);
  Sim.run();
  const Totals &T = Sim.totals();
  double SlotMs = double(Load.m_Instances) * Slots * 1000 * Length.count();
  double Goodput = double(T.m_Succeeded) / double(Length.count());
  double Urgent = 100 * double(T.m_UrgentSucceeded) / double(T.m_UrgentSent);
  std::printf(
      "%-9s %-15s %8llu %8.1f %7.1f %8.1f %9.1f %9.1f %8llu %7llu %8llu "
      "%8.3f %8llu\n",
      Load.m_Name, Strategy.data(), static_cast<unsigned long long>(T.m_Sent),
      Goodput, 100 * T.m_SucceededWorkMs / SlotMs, Urgent,
      quantile(T.m_UrgentStartMs, 0.5), quantile(T.m_UrgentStartMs, 0.99),
      static_cast<unsigned long long>(T.m_Refused),
      static_cast<unsigned long long>(T.m_Unknown),
      static_cast<unsigned long long>(T.m_Failed), Sim.imbalance(),
      static_cast<unsigned long long>(Sim.failingRuns()));
}

} // namespace

int main(int Argc, char **Argv) {
  Options Settings;
  for (int I = 1; I + 1 < Argc; I += 2) {
    if (std::strcmp(Argv[I], "--seed") == 0)
      Settings.m_Seed = std::strtoull(Argv[I + 1], nullptr, 10);
    if (std::strcmp(Argv[I], "--queue") == 0)
      Settings.m_QueuePerInstance =
          static_cast<std::uint32_t>(std::strtoul(Argv[I + 1], nullptr, 10));
    if (std::strcmp(Argv[I], "--scenario") == 0)
      Settings.m_Scenario = Argv[I + 1];
    if (std::strcmp(Argv[I], "--strategy") == 0)
      Settings.m_Strategy = Argv[I + 1];
  }
  std::printf("seed %llu\n%-9s %-15s %8s %8s %7s %8s %9s %9s %8s %7s %8s %8s "
              "%8s\n",
              static_cast<unsigned long long>(Settings.m_Seed), "scenario",
              "strategy", "sent", "good/s", "work%", "urgent%", "start50ms",
              "start99ms", "refused", "unknown", "failed", "imbal.", "badruns");
  for (const Scenario &Load : Scenarios)
    for (const StrategyRow &Row : routingStrategies())
      if ((Settings.m_Scenario.empty() || Settings.m_Scenario == Load.m_Name) &&
          (Settings.m_Strategy.empty() || Settings.m_Strategy == Row.m_Name))
        printRow(Load, Row.m_Name, Settings);
  return 0;
}
